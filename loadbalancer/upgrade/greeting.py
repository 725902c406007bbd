"""The first bytes of a handover: the successor's HELLO, answered by HELLO and a socket.

The listening socket travels as a file descriptor (SCM_RIGHTS), so that no connection is lost:
what waits in its queue is accepted by whichever process accepts next.
"""

from __future__ import annotations

import socket

VERSION = 1
HELLO = b"windrelay upgrade %4d\n" % VERSION


class GreetingError(ConnectionError):
    """The peer's first bytes are not those of this version of the program."""


def send_listener(sock: socket.socket, listener: socket.socket) -> None:
    """Answer a successor's HELLO with the listening socket; OSError where it can't be sent."""
    socket.send_fds(sock, [HELLO], [listener.fileno()])


def request_listener(sock: socket.socket) -> socket.socket:
    """Send HELLO to a predecessor and receive its listening socket.

    Raises:
        GreetingError: it closed the connection or answered something else.
        OSError: the connection failed; TimeoutError where no answer came in time.
    """
    sock.sendall(HELLO)
    data, descriptors, _flags, _address = socket.recv_fds(sock, len(HELLO), 1)
    if len(descriptors) != 1 or data != HELLO:
        for descriptor in descriptors:
            socket.close(descriptor)
        raise GreetingError(f"greeted with {data!r} and {len(descriptors)} sockets")
    return socket.socket(fileno=descriptors[0])

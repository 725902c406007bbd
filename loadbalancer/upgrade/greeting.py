"""The greeting that begins a handover: the successor sends HELLO, the predecessor answers.

The answer is HELLO together with the listening socket, passed as a file descriptor
(SCM_RIGHTS). Both processes then share one accept queue, so no pending connection is lost:
whichever process calls accept next gets it.
"""

from __future__ import annotations

import socket

VERSION = 1
HELLO = b"windrelay upgrade %4d\n" % VERSION


class GreetingError(ConnectionError):
    """The greeting failed: the peer is not a process of this version that can hand over."""


def send_listener(sock: socket.socket, listener: socket.socket) -> None:
    """Answer a successor's HELLO with the listening socket.

    Raises:
        OSError: the socket could not be sent.
    """
    socket.send_fds(sock, [HELLO], [listener.fileno()])


def request_listener(sock: socket.socket) -> socket.socket:
    """Send HELLO to a predecessor and receive its listening socket.

    Raises:
        GreetingError: the predecessor closed the connection or sent an unexpected answer.
        OSError: the connection failed; TimeoutError if no answer arrived in time.
    """
    sock.sendall(HELLO)
    data, descriptors, _flags, _address = socket.recv_fds(sock, len(HELLO), 1)
    if len(descriptors) != 1 or data != HELLO:
        for descriptor in descriptors:
            socket.close(descriptor)
        raise GreetingError(f"unexpected answer {data!r} with {len(descriptors)} sockets")
    return socket.socket(fileno=descriptors[0])

"""Queries the kernel for the state of a client's socket, ahead of the event loop's reports."""

from __future__ import annotations

import select
import socket
import struct

_END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled, with a timeout of 0 seconds


def peer_has_half_closed(sock: socket.socket) -> bool:
    """Whether the peer has shut down its sending, even if unread bytes precede the end."""
    try:
        if sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
            return True
        poll = select.poll()
        poll.register(sock, _END_EVENTS)
        return bool(poll.poll(0))
    except BlockingIOError:
        return False
    except OSError:
        return True


def has_unread_input(sock: socket.socket) -> bool:
    """Whether unread bytes, or an unread end of stream, have arrived from the peer."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return False
    return True


def reset_on_close(sock: socket.socket) -> None:
    """Make closing the socket reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

"""What the kernel knows of a client's socket before the event loop reports it."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

_QUEUED_BYTES = struct.Struct("i")  # as TIOCOUTQ fills it in
_END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for zero seconds


def peer_has_half_closed(sock: socket.socket) -> bool:
    """Whether the peer has ended its sending, also behind bytes that nobody has read yet."""
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
    """Whether bytes, or the peer's end of sending, have come that nobody has read yet."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return False
    return True


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Bytes that the peer's kernel has not acknowledged."""
    (count,) = _QUEUED_BYTES.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))
    return int(count)


def reset_on_close(sock: socket.socket) -> None:
    """Have the connection's end be a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

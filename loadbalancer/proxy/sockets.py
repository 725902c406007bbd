"""Opening listening sockets, and handing sockets over to the event loop."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

from loadbalancer.config.address import Address

_QUEUED_BYTES = struct.Struct("i")  # the result of TIOCOUTQ


def listening_socket(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """Open a socket that listens at `address`; raises OSError if it can't be bound.

    `shared`: another process that also sets SO_REUSEPORT may listen at the same address.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def release_socket(transport: asyncio.BaseTransport, sock: socket.socket) -> None:
    """Detach `sock` from its descriptor if its transport has closed that already.

    The event loop takes ownership of a socket one iteration after `connection_made`. If the
    transport closes before that, as after a first write that fails, the Python object still owns
    the descriptor and closes the same number again when it is freed. By then the number often
    belongs to another connection, which is then closed without any log line: its client sees
    the connection end right after it was accepted.
    """
    if transport.is_closing():
        sock.detach()


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the number of bytes sent that the peer's kernel has not acknowledged."""
    (count,) = _QUEUED_BYTES.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))
    return int(count)

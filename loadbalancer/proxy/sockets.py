"""Sockets: opening one that listens, and giving one over to the event loop."""

from __future__ import annotations

import asyncio
import socket

from loadbalancer.config.address import Address


def listening_socket(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """Open a socket that listens at `address`; OSError where it can't be bound.

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
    """Detach `sock` from its descriptor where its transport has closed that already.

    The event loop takes a socket over only a turn after `connection_made`. Where the
    transport closes in that turn, as after a first write that fails, the Python object
    still counts as the owner and closes the number again when it is freed. By then the
    number often belongs to another connection, which ends without any message in the log:
    a client sees its connection closed right after it was accepted.
    """
    if transport.is_closing():
        sock.detach()

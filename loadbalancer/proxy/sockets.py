"""What every listener and every connection here does with its socket."""

from __future__ import annotations

import asyncio
import socket

from loadbalancer.config.address import Address


def listening(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """A socket that listens there; OSError where the address can't be had.

    `shared`: another process that says so too may listen at the same address.
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


def disown(transport: asyncio.BaseTransport, sock: socket.socket) -> None:
    """Take a socket from an owner that does not know that it is closed.

    The loop takes a socket over only a turn after its connection was told of. One that
    is closed in that turn (a first write that fails does) stays Python's as well, and
    is closed again with its object: by then its number is often another connection's,
    which so ended without an answer (seen: accepted under the number of a server's
    connection that had just been reset, and closed at once).
    """
    if transport.is_closing():
        sock.detach()

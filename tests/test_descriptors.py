"""A descriptor's number that is in use again is not closed for its last owner."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
from typing import cast

import uvloop

from windrelay.sockets import disown

from .harness import listen


class Aborts(asyncio.Protocol):
    """Gives its connection up in the turn that tells of it, as a failed write does."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).abort()


def test_a_connection_closed_as_it_comes_up_leaves_its_number_to_the_next() -> None:
    loop = uvloop.new_event_loop()
    with listen() as server, listen() as other:

        async def dial() -> int:
            sock = socket.create_connection(server.getsockname())
            sock.setblocking(False)
            number = sock.fileno()
            transport, _ = await loop.create_connection(Aborts, sock=sock)
            os.dup2(other.fileno(), number)  # as the next accept would take it
            disown(cast(asyncio.BaseTransport, transport), sock)
            return number

        number = loop.run_until_complete(dial())
        gc.collect()
        os.fstat(number)
        os.close(number)
    loop.close()

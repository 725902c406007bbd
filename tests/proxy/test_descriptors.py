"""A descriptor's number that is in use again is not closed for its last owner."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import resource
import socket
from pathlib import Path
from typing import cast

import uvloop

from loadbalancer.proxy.sockets import release_socket
from tests.harness import LIMIT, accept, answer, listen, node, roster, served_by, target


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
            release_socket(cast(asyncio.BaseTransport, transport), sock)
            return number

        number = loop.run_until_complete(dial())
        gc.collect()
        os.fstat(number)
        os.close(number)
    loop.close()


def test_idle_clients_that_fill_the_descriptors_leave_discovery_and_backends_theirs(
    tmp_path: Path,
) -> None:
    """The process may hold 64, as its configuration says, and discovery is down meanwhile."""
    with listen() as discovery, listen() as gone, listen() as backend:
        known = roster(target("s-1", gone.getsockname()[1]), rev=7)
        port = discovery.getsockname()[1]
        with node(tmp_path, known, port, limits={"sockets": 64}) as n:
            resource.prlimit(n.process.pid, resource.RLIMIT_NOFILE, (64, 64))
            down = accept(discovery)
            idle = []
            for _ in range(100):
                idle.append(n.connect())
                idle[-1].send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                assert idle[-1].message()[0] == "HTTP/1.1 200 OK"
            idle += [n.connect() for _ in range(100)]
            for _ in range(3):
                down.reset()
                down = accept(discovery)  # however full it is, the next call comes
            down.message()
            row = target("s-2", backend.getsockname()[1])
            down.send(answer(json.dumps(roster(row, rev=9)).encode()))
            accept(discovery).message()
            served_by(n, backend)
            assert n.descriptors() <= 64
            n.process.terminate()
            assert n.process.wait(LIMIT) == 0

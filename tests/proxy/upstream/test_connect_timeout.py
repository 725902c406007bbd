"""The timeout of connecting to a backend, over real sockets and the loop that nodes run on."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any, cast

import uvloop

from loadbalancer.config.address import Address
from loadbalancer.core import Outcome
from loadbalancer.proxy.exchange import Attempt
from loadbalancer.proxy.upstream.connection import BackendConnection
from tests.harness import listen
from tests.proxy.full_backlog import FullBacklog

TIMEOUT_S = 0.1
NS_PER_SECOND = 1_000_000_000
HEAD = b"GET /balance/1 HTTP/1.1\r\nX-Timeout-Ms: "


class Loop:
    """The event loop, which may be late in taking over a socket that has connected."""

    def __init__(self, delay_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._delay_s = delay_s

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *args: Any, **options: Any) -> Any:
        await asyncio.sleep(self._delay_s)
        return await self._loop.create_connection(*args, **options)


class Host:
    """Lets every attempt begin, and notes how it ends and that its descriptor is free."""

    def __init__(self, delay_s: float) -> None:
        self.loop = Loop(delay_s)
        settings = SimpleNamespace(connect_timeout=int(TIMEOUT_S * NS_PER_SECOND))
        self.config = SimpleNamespace(settings=settings)
        self.concluded: list[Outcome] = []
        self.is_freed = asyncio.Event()
        self.on_descriptor_freed = self.is_freed.set

    def may_begin(self, _attempt: Attempt) -> bool:
        return True

    def conclude(self, _attempt: Attempt, outcome: Outcome) -> None:
        self.concluded.append(outcome)


def connecting(host: Host, port: int) -> tuple[BackendConnection, Any]:
    """A connection that has begun to connect for an attempt, and its pool."""
    pool = SimpleNamespace(host=host, pending={}, count=0, remove=lambda _: None)
    made = BackendConnection(cast(Any, pool), 1, Address("127.0.0.1", port))
    outgoing = SimpleNamespace(head=HEAD, flow=None, chunked=False, body=[], unsafe=False)
    attempt = Attempt(cast(Any, outgoing), 0, 1, time.monotonic_ns())
    attempt.limit = 10 * NS_PER_SECOND
    made.connect(attempt)
    return made, pool


def run(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


def test_a_connect_that_is_never_answered_ends_with_its_timeout() -> None:
    """A backend's machine has vanished: no connect to it is answered, nor refused.

    The attempt must not wait for its request's deadline. Nothing of it was sent, so another
    backend may get it; and the kernel's further tries end with it, so that no connection
    comes up later.
    """

    async def main() -> None:
        host = Host(delay_s=0.0)
        with FullBacklog() as backend:
            _, pool = connecting(host, backend.port)
            await asyncio.sleep(TIMEOUT_S / 2)
            assert host.concluded == []
            assert backend.is_being_connected_to()
            await asyncio.wait_for(host.is_freed.wait(), 5)
            assert host.concluded == [Outcome.CONNECT_FAILED]
            assert pool.count == 0
            assert not backend.is_being_connected_to()

    run(main())


def test_a_connection_that_was_established_in_time_is_no_failure_where_the_loop_is_late() -> None:
    """The timeout comes due between the handshake and the loop's report of the connection.

    The backend has answered in time, and must not be taken for one that is gone: its attempt
    goes on, and its request is sent once.
    """

    async def main() -> None:
        host = Host(delay_s=3 * TIMEOUT_S)
        with listen() as backend:
            connection, pool = connecting(host, backend.getsockname()[1])
            peer, _ = await asyncio.get_running_loop().run_in_executor(None, backend.accept)
            peer.settimeout(5)
            await asyncio.sleep(2 * TIMEOUT_S)
            assert host.concluded == []
            received = await asyncio.get_running_loop().run_in_executor(None, peer.recv, 65536)
            assert received.startswith(HEAD)
            assert pool.count == 1
            assert connection.abandon()
            await asyncio.wait_for(host.is_freed.wait(), 5)
            assert await_end(peer) == b""

    run(main())


def await_end(peer: socket.socket) -> bytes:
    """What still comes up to the end of a connection, also where that is a reset."""
    with peer:
        try:
            return peer.recv(65536)
        except ConnectionError:
            return b""

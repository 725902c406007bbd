"""The connect timeout, tested with real sockets and uvloop, the event loop of nodes."""

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
from loadbalancer.core.buffer_budget import BufferBudget
from loadbalancer.proxy.exchange import Attempt
from loadbalancer.proxy.upstream.connection import BackendConnection
from tests.harness import listen
from tests.proxy.full_backlog import FullBacklog

TIMEOUT_S = 0.1
NS_PER_SECOND = 1_000_000_000
HEAD = b"GET /balance/1 HTTP/1.1\r\nX-Timeout-Ms: "


class Loop:
    """The event loop, with a delay before it takes over a connected socket."""

    def __init__(self, delay_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._delay_s = delay_s

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *args: Any, **options: Any) -> Any:
        await asyncio.sleep(self._delay_s)
        return await self._loop.create_connection(*args, **options)


class Host:
    """A host that lets every attempt begin; records outcomes and the closed descriptor."""

    def __init__(self, delay_s: float) -> None:
        self.loop = Loop(delay_s)
        settings = SimpleNamespace(connect_timeout=int(TIMEOUT_S * NS_PER_SECOND))
        self.config = SimpleNamespace(settings=settings)
        self.outcomes: list[Outcome] = []
        self.budget = BufferBudget(128)
        self.descriptor_closed = asyncio.Event()
        self.on_descriptor_freed = self.descriptor_closed.set

    def may_begin(self, _attempt: Attempt) -> bool:
        return True

    def record_outcome(self, _attempt: Attempt, outcome: Outcome) -> None:
        self.outcomes.append(outcome)


def begin_connecting(host: Host, port: int) -> tuple[BackendConnection, Any]:
    """Begin to connect for an attempt; returns the connection and its pool."""
    pool = SimpleNamespace(host=host, pending={}, count=0, remove=lambda _: None)
    connection = BackendConnection(cast(Any, pool), 1, Address("127.0.0.1", port))
    outgoing = SimpleNamespace(head=HEAD, flow=None, chunked=False, body=[], unsafe=False)
    attempt = Attempt(cast(Any, outgoing), 0, 1, time.monotonic_ns())
    attempt.timeout = 10 * NS_PER_SECOND
    connection.connect(attempt)
    return connection, pool


def run(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


def test_a_connect_that_is_never_answered_ends_at_the_connect_timeout() -> None:
    """A backend's machine has failed, so that connects are neither accepted nor refused.

    The attempt must not wait for the request's deadline. As nothing was sent, its outcome is
    CONNECT_FAILED and the request can be sent to another backend. The socket is closed, so that
    the kernel stops sending SYNs and no connection is established later.
    """

    async def main() -> None:
        host = Host(delay_s=0.0)
        with FullBacklog() as backend:
            _, pool = begin_connecting(host, backend.port)
            await asyncio.sleep(TIMEOUT_S / 2)
            assert host.outcomes == []
            assert backend.is_being_connected_to()
            await asyncio.wait_for(host.descriptor_closed.wait(), 5)
            assert host.outcomes == [Outcome.CONNECT_FAILED]
            assert pool.count == 0
            assert not backend.is_being_connected_to()

    run(main())


def test_a_connection_established_in_time_does_not_fail_if_the_event_loop_is_late() -> None:
    """The timeout expires between the TCP handshake and the event loop's connection_made.

    The backend accepted in time and must not count as unreachable: the attempt continues, and
    its request is sent once.
    """

    async def main() -> None:
        host = Host(delay_s=3 * TIMEOUT_S)
        with listen() as backend:
            connection, pool = begin_connecting(host, backend.getsockname()[1])
            peer, _ = await asyncio.get_running_loop().run_in_executor(None, backend.accept)
            peer.settimeout(5)
            await asyncio.sleep(2 * TIMEOUT_S)
            assert host.outcomes == []
            received = await asyncio.get_running_loop().run_in_executor(None, peer.recv, 65536)
            assert received.startswith(HEAD)
            assert pool.count == 1
            assert connection.abandon()
            await asyncio.wait_for(host.descriptor_closed.wait(), 5)
            assert receive_to_end(peer) == b""

    run(main())


def receive_to_end(peer: socket.socket) -> bytes:
    """Return what is still received; empty if the connection is closed or reset."""
    with peer:
        try:
            return peer.recv(65536)
        except ConnectionError:
            return b""

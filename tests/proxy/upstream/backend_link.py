"""A connection to a backend whose timers, socket and clock the test controls."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from loadbalancer.config.address import Address
from loadbalancer.core import Outcome
from loadbalancer.core.buffer_budget import BufferBudget
from loadbalancer.core.connection_reuse import SETTLING_TIME_NS
from loadbalancer.proxy.exchange import Attempt
from loadbalancer.proxy.flow_control import Flow
from loadbalancer.proxy.upstream.connection import BackendConnection
from loadbalancer.proxy.upstream.pool import ConnectionPool
from tests.harness import answer

BACKEND = 1
ADDRESS = Address("127.0.0.1", 8001)
TIMEOUT_NS = 1_000_000_000
LATER_NS = 3600 * 1_000_000_000  # more than a test takes, however slow the machine is
HEAD = b"GET /balance/1 HTTP/1.1\r\nX-Timeout-Ms: "
FIRST = answer(b"the first response")


class Loop:
    """An event loop whose timers fire when the test says so."""

    def __init__(self) -> None:
        self.callbacks: list[tuple[float, Callable[[], None]]] = []
        self.next_turn: list[Callable[[], None]] = []

    def call_later(self, delay_s: float, callback: Callable[..., None], *args: Any) -> Any:
        entry = (delay_s, lambda: callback(*args))
        self.callbacks.append(entry)

        def cancel() -> None:
            if entry in self.callbacks:
                self.callbacks.remove(entry)

        return SimpleNamespace(cancel=cancel)

    def delays_s(self) -> list[float]:
        return [delay_s for delay_s, _ in self.callbacks]

    def call_soon(self, callback: Callable[[], None]) -> None:
        self.next_turn.append(callback)

    def run_next_turn(self) -> None:
        callbacks, self.next_turn = self.next_turn, []
        for callback in callbacks:
            callback()

    def fire(self) -> None:
        """Fire the only timer, however long it still has to run."""
        ((_, callback),) = self.callbacks
        self.callbacks = []
        callback()


class Host:
    """A host with one backend that may open no further connection."""

    on_descriptor_freed: Any = staticmethod(lambda: None)

    def __init__(self) -> None:
        endpoint_list = SimpleNamespace(endpoints={BACKEND: ADDRESS})
        self.discovery = SimpleNamespace(endpoint_list=endpoint_list)
        settings = SimpleNamespace(connect_timeout=250_000_000)
        self.config = SimpleNamespace(settings=settings, reports=False, idle_close=TIMEOUT_NS)
        self.loop = Loop()
        self.allows_begin = True
        self.budget = BufferBudget(128)
        self.outcomes: list[Outcome] = []

    def on_response_started(self, _attempt: Attempt) -> None:
        pass

    def may_begin(self, _attempt: Attempt) -> bool:
        return self.allows_begin

    def may_open_upstream(self) -> bool:
        return False

    def on_body_started(self, _attempt: Attempt) -> None:
        pass

    def on_body_sent(self, _attempt: Attempt) -> None:
        pass

    def record_outcome(self, attempt: Attempt, outcome: Outcome, _load: Any = ()) -> None:
        attempt.settled = True
        self.outcomes.append(outcome)


class Transport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.aborted = False
        self.reading = True

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        self.written += data

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


class Client:
    """A client that records the responses it gets."""

    def __init__(self) -> None:
        self.responses: list[bytes] = []
        self.streams: list[Flow] = []  # of the responses that have begun to be streamed
        self.aborted = False

    def respond(self, _content_type: bytes, chunks: list[bytes], _size: int) -> None:
        self.responses.append(b"".join(chunks))

    def begin_streaming(self, _content_type: bytes, _length: int, flow: Flow) -> None:
        self.streams.append(flow)

    def abort_response(self) -> None:
        self.aborted = True


class Link:
    """A connection in a pool that has carried a request, and settles when the test says so."""

    def __init__(self, pool: ConnectionPool, host: Host, response: bytes = FIRST) -> None:
        self.transport = Transport()
        self.connection = BackendConnection(pool, BACKEND, ADDRESS)
        self.connection._sock, self.backend = socket.socketpair()
        self.connection.attempt = attempt(Client())
        self.connection.connection_made(cast(Any, self.transport))
        half = len(response) // 2
        self.connection.data_received(response[:half])
        self.connection.data_received(response[half:])
        self.connection.idle_since += LATER_NS
        host.outcomes.clear()
        self.transport.written = b""

    def settle(self) -> None:
        self.connection.idle_since -= LATER_NS + SETTLING_TIME_NS

    def close(self) -> None:
        assert self.connection._sock is not None
        self.connection._sock.close()
        self.backend.close()


def attempt(client: Client, unsafe: bool = False, flow: Flow | None = None) -> Attempt:
    request = SimpleNamespace(
        head=HEAD, body=[], flow=flow, chunked=False, unsafe=unsafe, ended=False, client=client,
        client_request_id=b"r-1", open_attempts=1,
    )  # fmt: skip
    sent = Attempt(cast(Any, request), 0, BACKEND, time.monotonic_ns())
    sent.timeout = TIMEOUT_NS
    return sent

"""A connection's surroundings that only note what comes: its transport, loop and host."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from loadbalancer.core import Effect
from loadbalancer.core.balancing.model import RequestClass
from loadbalancer.core.balancing.records import ClassState
from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.flow_control import BufferBudget

SECOND_NS = 1_000_000_000
CLASSES = {
    name: ClassState(number, RequestClass(name, SECOND_NS, 2 * SECOND_NS, effect), 0)
    for number, (name, effect) in enumerate(
        (("balance", Effect.PURE), ("credit", Effect.SIDE_EFFECT))
    )
}


class Transport:
    """Notes what is written; an abort or close is reported when the test says so."""

    def __init__(self) -> None:
        self.written = b""
        self.unsent = 0
        self.aborted = self.closed = self.ended = False
        self.reading = True

    def write(self, data: bytes) -> None:
        assert not self.ended, "written after the end of sending"
        self.written += data

    def write_eof(self) -> None:
        self.ended = True

    def abort(self) -> None:
        self.aborted = True

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.aborted or self.closed

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def set_write_buffer_limits(self, high: int | None = None) -> None:
        """Nothing is buffered here."""

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


class Loop:
    """Calls that come soon are made by `turn`; timers never come due."""

    def __init__(self) -> None:
        self._soon: list[Callable[[], None]] = []

    def time(self) -> float:
        return 0.0

    def call_soon(self, call: Callable[[], None]) -> None:
        self._soon.append(call)

    def call_later(self, *_: object) -> object:
        return object()

    def turn(self) -> None:
        soon, self._soon = self._soon, []
        for call in soon:
            call()


class Host:
    """Accepts each request, or rejects it within the call while `rejects`."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.config = SimpleNamespace(sockets=64, settings=SimpleNamespace(tenants=()))
        self.routing = None
        self.balancer = SimpleNamespace(find_class=lambda _now, name, *_: CLASSES.get(name))
        self.budget = BufferBudget(128)
        self.open_request_ids: set[bytes] = set()
        self.other_process_request_ids: set[bytes] = set()
        self.clients = 1
        self.rejects = False
        self.begun: list[Any] = []
        self.events: list[tuple[str, bytes]] = []

    def request(self, client: ClientConnection, incoming: Any, _waited: int) -> Any:
        made = SimpleNamespace(label=incoming.label, flow=incoming.flow, ended=self.rejects)
        self.begun.append(made)
        if self.rejects:
            client.respond_empty(503, 0)
        return made

    def client_disconnected(self, made: Any) -> None:
        self.events.append(("gone", made.label))

    def client_half_closed(self, made: Any) -> None:
        self.events.append(("half-closed", made.label))

    def upload_stalled(self, made: Any) -> None:
        self.events.append(("upload stalled", made.label))

    def body_received(self, made: Any) -> None:
        self.events.append(("body received", made.label))

    def on_descriptor_freed(self) -> None:
        """Nobody waits for a place."""

    def max_clients(self) -> int:
        return 32

    def labels_begun(self) -> list[bytes]:
        return [made.label for made in self.begun]


def sweep(registry: ConnectionRegistry, times: int) -> None:
    for _ in range(times):
        registry.sweep()

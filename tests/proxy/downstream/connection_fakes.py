"""Fakes of a connection's transport, event loop and host, which record calls."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from loadbalancer.core import Effect
from loadbalancer.core.balancing.model import RequestClass
from loadbalancer.core.balancing.records import ClassState
from loadbalancer.core.buffer_budget import BufferBudget
from loadbalancer.core.request_ids import RequestIdTable
from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.registry import ConnectionRegistry

SECOND_NS = 1_000_000_000
CLASSES = {
    name: ClassState(number, RequestClass(name, SECOND_NS, 2 * SECOND_NS, effect), 0)
    for number, (name, effect) in enumerate(
        (("balance", Effect.PURE), ("credit", Effect.SIDE_EFFECT))
    )
}


class Transport:
    """Records calls; after an abort or close the test itself calls `connection_lost`."""

    def __init__(self) -> None:
        self.written = b""
        self.unsent = 0
        self.aborted = self.closed = self.ended = False
        self.reading = True

    def write(self, data: bytes) -> None:
        assert not self.ended, "written after the shutdown of sending"
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
        """Does nothing: this fake buffers nothing."""

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


class Loop:
    """Runs the callbacks of `call_soon` in `run_callbacks`; timers never fire."""

    def __init__(self) -> None:
        self._soon: list[Callable[[], None]] = []

    def time(self) -> float:
        return 0.0

    def call_soon(self, call: Callable[[], None]) -> None:
        self._soon.append(call)

    def call_later(self, *_: object) -> object:
        return object()

    def run_callbacks(self) -> None:
        soon, self._soon = self._soon, []
        for call in soon:
            call()


class Host:
    """Admits each request, or rejects it synchronously if `rejects` is set."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.config = SimpleNamespace(sockets=64, settings=SimpleNamespace(tenants=()))
        self.routing = None
        self.balancer = SimpleNamespace(find_class=lambda _now, name, *_: CLASSES.get(name))
        self.budget = BufferBudget(128)
        self.request_ids = RequestIdTable()
        self.clients = 1
        self.rejects = False
        self.unaccepted = 0  # bytes of an upload that the backend has not accepted
        self.admitted: list[Any] = []
        self.events: list[tuple[str, bytes]] = []

    def admit_request(self, client: ClientConnection, incoming: Any, _waited: int) -> Any:
        request = SimpleNamespace(
            client_request_id=incoming.client_request_id, flow=incoming.flow, ended=self.rejects,
            timeout=incoming.timeout, head_size=incoming.head_size,
        )  # fmt: skip
        self.admitted.append(request)
        if self.rejects:
            client.respond_empty(503, 0)
        return request

    def client_disconnected(self, request: Any) -> None:
        self.events.append(("gone", request.client_request_id))

    def response_delivered(self, request: Any) -> None:
        self.events.append(("delivered", request.client_request_id))

    def client_half_closed(self, request: Any) -> None:
        self.events.append(("half-closed", request.client_request_id))

    def upload_backlog(self, _request: Any) -> int:
        return self.unaccepted

    def upload_timed_out(self, request: Any) -> None:
        self.events.append(("upload stalled", request.client_request_id))

    def on_body_received(self, request: Any, _received_at: int) -> None:
        self.events.append(("body received", request.client_request_id))

    def on_descriptor_freed(self) -> None:
        """Does nothing: no client waits to be accepted."""

    def max_clients(self) -> int:
        return 32

    def admitted_ids(self) -> list[bytes]:
        return [request.client_request_id for request in self.admitted]


def sweep(registry: ConnectionRegistry, times: int) -> None:
    for _ in range(times):
        registry.sweep()

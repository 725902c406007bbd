"""Fakes around a host in its tests: a Balancer, clients and connections that record calls."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from loadbalancer.core import Outcome
from loadbalancer.proxy.exchange import Attempt, Request
from loadbalancer.proxy.host import Node

MS = 1_000_000
TIMEOUT_NS = 500 * MS
CONNECT_TIMEOUT_NS = 250 * MS  # as in the harness's settings
BACKEND = 1


def raise_fault() -> None:
    """Raise, as a stand-in for a faulty function."""
    raise ZeroDivisionError


class Clock:
    """A monotonic clock that the test advances."""

    def __init__(self) -> None:
        self.now = 1_000_000 * MS

    def __call__(self) -> int:
        return self.now


class Balancer:
    """Records events and checks that none begins within another; the next one calls `acts`."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.outcomes: list[Outcome] = []
        self.acts: Callable[[], None] = lambda: None
        self._inside = False

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: self._event(name, *args)

    def on_outcome(self, now: int, request: int, number: int, outcome: Outcome, *rest: Any) -> None:
        self.outcomes.append(outcome)
        self._event("on_outcome", now, request, number, outcome, *rest)

    def may_begin(self, _now: int, _request: int, _number: int) -> bool:
        return True

    def _event(self, name: str, *args: Any) -> None:
        assert not self._inside, "an event within an event"
        self.events.append((name, *args))
        acts, self.acts = self.acts, lambda: None
        self._inside = True
        try:
            acts()
        finally:
            self._inside = False

    def names(self) -> list[str]:
        return [event[0] for event in self.events]


class Client:
    """A client's connection that records its responses."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.aborted = False
        self.half_closed = False

    def respond_empty(self, status: int, _retry_after: int) -> None:
        self.statuses.append(status)

    def abort_response(self) -> None:
        self.aborted = True

    def has_half_closed(self) -> bool:
        return self.half_closed


class Connection:
    """A backend connection; `request_written` says whether it has sent the request completely."""

    def __init__(self, written: bool) -> None:
        self.request_written = written
        self.abandoned = False

    def abandon(self) -> bool:
        self.abandoned = True
        return self.request_written


class Upstream:
    """A pool that gives each attempt a connection, or reports `settles_as` as its outcome."""

    def __init__(self, host: Node) -> None:
        self._host = host
        self.count = 0
        self.written = False  # whether the next attempts send their requests completely
        self.settles_as: Outcome | None = None
        self.expired_at = 0  # the time of the last `close_expired`
        self.attempts: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)
        if self.settles_as is not None:
            self._host.record_outcome(attempt, self.settles_as)
            return
        attempt.connected = True
        attempt.connection = cast(Any, Connection(self.written))

    def close_expired(self, now: int) -> None:
        self.expired_at = now

    def connecting_attempts(self, _backends: list[int]) -> list[Attempt]:
        return self.attempts


def incoming_request() -> SimpleNamespace:
    """An unsafe request as its connection has read it."""
    return SimpleNamespace(
        head=b"", head_size=0, client_request_id=b"r-1", method=b"POST", body=[b"x"], size=1,
        flow=None, chunked=False, cls=SimpleNamespace(number=1), timeout=TIMEOUT_NS, tenant=0,
        key=0, hint=0, retried=False, policy=None,
    )  # fmt: skip


def admit(host: Node, client: Client, attempts: int = 0) -> Request:
    """Admit an unsafe request of this client, and start this many attempts of it."""
    request = host.admit_request(cast(Any, client), cast(Any, incoming_request()), 0)
    assert request is not None
    for _ in range(attempts):
        host.begin_event()
        host.send(request.id, BACKEND, 0)
        host.end_event()
    return request

"""Invariants of the Balancer's actions over random event sequences.

- A request's effect happens at most once, and a rejection is given only if a retry is harmless.
- No attempt is sent to an endpoint that is not ready, or for a client that has half-closed.
- A request has one attempt in flight at a time and at most `max_attempts`.
- Each request is answered exactly once, in time.

CheckingHost checks every action of the Balancer; the test reports outcomes, list updates and
timers in random order. test_retries.py and test_final_answer.py have fixed examples.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core import (
    Balancer,
    Effect,
    Listing,
    RequestClass,
    Scope,
    Settings,
    State,
    Tenant,
    Update,
)
from loadbalancer.core.balancing.model import MS, SECOND
from tests.recording_host import Host

CLASSES = (
    RequestClass("pure", 200 * MS, 900 * MS, Effect.PURE),
    RequestClass(
        "unsafe", 200 * MS, 900 * MS, Effect.SIDE_EFFECT, repeat_window=SECOND, late_weight=0.3
    ),
    RequestClass("all", 200 * MS, 900 * MS, Effect.TOKEN, Scope.ALL, 60 * MS),
    RequestClass("zone", 200 * MS, 900 * MS, Effect.TOKEN, Scope.ZONE, 60 * MS),
    RequestClass("cell", 200 * MS, 900 * MS, Effect.TOKEN, Scope.CELL, 60 * MS),
)
MAX_DELAY_NS = 20 * MS
MAY_HAVE_EXECUTED = {1, 2, 4, 6, 7}


class CheckingHost(Host):
    """A host that checks each action when the Balancer calls it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.requests: dict[int, dict[str, object]] = {}
        self.attempts: dict[int, list[dict[str, int]]] = {}
        self.ended: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.half_closed: set[int] = set()  # requests whose clients have half-closed
        self.rows = {
            b: Listing(b, State.READY, zone=b % 2, cell=b % 4, cell_is_known=b % 5 > 0)
            for b in range(10, 22)
        }

    def set_timer(self, token: int, due: int) -> None:
        self.timers.append((due, token))

    def send(self, request: int, backend: int, timeout: int) -> None:
        spec = CLASSES[int(str(self.requests[request]["cls"]))]
        attempts = self.attempts[request]
        assert request not in self.ended
        assert request not in self.half_closed, "sent after the client half-closed"
        assert self.rows[backend].state == State.READY, "sent to an endpoint that is not ready"
        assert timeout > 0
        assert len(attempts) < 4
        assert not any(t["code"] == 0 for t in attempts), "two attempts in flight"
        executed = [t for t in attempts if t["code"] in MAY_HAVE_EXECUTED]
        if executed and spec.effect == Effect.SIDE_EFFECT:
            raise AssertionError("effect may happen twice")
        if executed and spec.effect == Effect.TOKEN:
            first, row = self.rows[executed[0]["backend"]], self.rows[backend]
            assert self.now <= executed[0]["sent"] + spec.repeat_window, "repeat window is over"
            if spec.scope == Scope.ZONE:
                assert first.zone == row.zone, "sent to another zone"
            if spec.scope == Scope.CELL:
                assert first.cell == row.cell, "sent to another cell"
                assert first.cell_is_known, "sent again though the cell is not known"
                assert row.cell_is_known, "sent to an unknown cell"
        attempts.append({"backend": backend, "sent": self.now, "code": 0, "by": self.now + timeout})

    def refuse(self, request: int, _retry_after: int) -> None:
        spec = CLASSES[int(str(self.requests[request]["cls"]))]
        may_have_executed = any(
            t["code"] in MAY_HAVE_EXECUTED or t["code"] == 0 for t in self.attempts[request]
        )
        if may_have_executed and spec.effect != Effect.PURE:
            assert spec.effect == Effect.TOKEN, "rejected though a retry is harmful"
            assert spec.scope == Scope.ALL, "rejected though a retry is harmful"
        self.record_end(request)

    def fail(self, request: int) -> None:
        self.record_end(request)

    def record_end(self, request: int) -> None:
        assert request not in self.ended, "two answers"
        self.ended[request] = self.now


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "request",
                "request",
                "answer",
                "answer",
                "wait",
                "list",
                "disconnect",
                "timer",
                "half-close",
                "connected",
            ]
        ),
        st.integers(0, 1_000_000),
    ),
    min_size=20,
    max_size=150,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(EVENTS, st.booleans())
def test_invariants_hold(  # noqa: C901, PLR0912 - one branch per event
    events: list[tuple[str, int]], tenants: bool
) -> None:
    host = CheckingHost()
    tenant_settings = (Tenant("a", 0.7, 50.0), Tenant("b", 0.3, 5.0)) if tenants else ()
    balancer = Balancer(Settings(classes=CLASSES, tenants=tenant_settings, max_attempts=4), 5, host)
    balancer.start(0)
    balancer.on_members(0, Update.CACHED, list(host.rows.values()))
    for kind, value in [*events, ("finish", 0)]:
        if kind == "request":
            request_id = len(host.requests)
            remaining = 100 * MS + value % 800 * MS
            host.requests[request_id] = {"cls": value % len(CLASSES), "by": host.now + remaining}
            host.attempts[request_id] = []
            balancer.on_request(host.now, request_id, value % len(CLASSES), remaining, value % 2)
        elif kind == "answer":
            open_attempts = [
                (r, i)
                for r, attempts in host.attempts.items()
                for i, t in enumerate(attempts)
                if t["code"] == 0
            ]
            if open_attempts:
                request_id, i = open_attempts[value % len(open_attempts)]
                report_outcome(host, balancer, request_id, i, (1, 1, 2, 3, 5, 6, 4)[value % 7])
        elif kind == "list":
            b = 10 + value % 12
            state = (State.READY, State.DRAINING, State.GONE)[value // 12 % 3]
            if sum(r.state == State.READY for r in host.rows.values()) > 2 or state == 1:
                host.rows[b] = host.rows[b]._replace(state=state)
                balancer.on_members(host.now, Update.DELTA, [host.rows[b]])
        elif kind == "disconnect" and host.requests:
            request_id = value % len(host.requests)
            if request_id not in host.ended:
                host.ended[request_id] = host.now
                balancer.on_client_disconnected(host.now, request_id)
        elif kind == "half-close" and host.requests:
            request_id = value % len(host.requests)
            host.half_closed.add(request_id)
            balancer.on_client_half_closed(host.now, request_id)
            has_attempt_in_flight = any(t["code"] == 0 for t in host.attempts[request_id])
            assert (
                request_id in host.ended or has_attempt_in_flight
            ), "open though no attempt is in flight or allowed"
        elif kind == "connected" and host.requests:
            establish_connection(host, balancer, value)
        elif kind == "timer":
            balancer.on_timer(host.now, value % 7)
        else:
            advance_time(host, balancer, host.now + (value % 300 * MS if value else 3 * SECOND))
    for request_id, request in host.requests.items():
        assert request_id in host.ended, "never answered"
        assert host.ended[request_id] <= int(str(request["by"])) + MAX_DELAY_NS, "late answer"


def establish_connection(host: CheckingHost, balancer: Balancer, value: int) -> None:
    """Establish the connection of an attempt; if it must not begin, it ends unexecuted."""
    open_attempts = [
        (request_id, i, t)
        for request_id, attempts in host.attempts.items()
        for i, t in enumerate(attempts)
        if t["code"] == 0
    ]
    if not open_attempts:
        return
    request_id, i, t = open_attempts[value % len(open_attempts)]
    spec = CLASSES[int(str(host.requests[request_id]["cls"]))]
    executed = [old for old in host.attempts[request_id] if old["code"] in MAY_HAVE_EXECUTED]
    late = (
        executed
        and spec.effect == Effect.TOKEN
        and host.now >= executed[0]["sent"] + spec.repeat_window
    )
    has_ended = request_id in host.ended or request_id in host.half_closed
    is_leaving = host.rows[t["backend"]].state != State.READY
    may_begin_now = balancer.may_begin(host.now, request_id, i)
    assert may_begin_now == (not (has_ended or is_leaving or late))
    if not may_begin_now:
        report_outcome(host, balancer, request_id, i, 8)


def report_outcome(
    host: CheckingHost, balancer: Balancer, request_id: int, i: int, code: int
) -> None:
    attempt = host.attempts[request_id][i]
    attempt["code"] = code
    done = request_id in host.ended
    if code == 1 and not done:
        host.ended[request_id] = host.now
        done = True
    balancer.on_outcome(host.now, request_id, i, code, host.now - attempt["sent"], done)


def advance_time(host: CheckingHost, balancer: Balancer, until: int) -> None:
    """Advance the time: fire timers, and time attempts out, at the deadline at the latest."""
    while True:
        due: list[tuple[int, int, int, int]] = [(d, 0, t, 0) for d, t in host.timers]
        for request_id, attempts in host.attempts.items():
            by = int(str(host.requests[request_id]["by"]))
            due += [
                (min(t["by"], by), 1, request_id, i)
                for i, t in enumerate(attempts)
                if t["code"] == 0
            ]
        due = [d for d in due if d[0] <= until]
        if not due:
            host.now = until
            return
        at, kind, a, i = min(due)
        host.now = max(host.now, at)
        if kind:
            report_outcome(host, balancer, a, i, 4)
        else:
            host.timers.remove((at, a))
            balancer.on_timer(host.now, a)

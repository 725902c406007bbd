"""The host over a Balancer that notes what is reported to it, and connections that do nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.config.node import load
from loadbalancer.core import Outcome
from loadbalancer.core.balancing.retries import NOT_EXECUTED
from loadbalancer.proxy.exchange import Attempt, Request
from loadbalancer.proxy.flow_control import Flow
from loadbalancer.proxy.host import Node
from tests.harness import config, roster, target

MS = 1_000_000
TIMEOUT_NS = 500 * MS
CONNECT_TIMEOUT_NS = 250 * MS  # as in the harness's settings
BACKEND = 1


class Clock:
    """The monotonic clock, moved by the test."""

    def __init__(self) -> None:
        self.now = 1_000_000 * MS

    def __call__(self) -> int:
        return self.now


class Balancer:
    """Notes events and is never called from within one; `acts` is what its next event does."""

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
    """A client's connection that notes its answers."""

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
    """A connection to a backend on which an attempt's request was written, or was not."""

    def __init__(self, written: bool) -> None:
        self.request_written = written
        self.abandoned = False

    def abandon(self) -> bool:
        self.abandoned = True
        return self.request_written


class Upstream:
    """A pool that gives each attempt a connection, or settles it at once."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self.count = 0
        self.written = False  # whether the requests of the next attempts get written
        self.settles_as: Outcome | None = None
        self.attempts: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)
        if self.settles_as is not None:
            self._node.conclude(attempt, self.settles_as)
            return
        attempt.connected = True
        attempt.connection = cast(Any, Connection(self.written))

    def connecting(self, _backends: list[int]) -> list[Attempt]:
        return self.attempts


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr("time.monotonic_ns", clock)
    return clock


@pytest.fixture
def node(tmp_path: Path, clock: Clock) -> Iterator[Node]:
    """A host that has not been started, with the Balancer and the pool of this file."""
    del clock  # in force before the node is made
    loop = asyncio.new_event_loop()
    made = Node(load(config(tmp_path, roster(target("s-1", 9)), 1)), loop)
    made.balancer = cast(Any, Balancer())
    made.upstream = cast(Any, Upstream(made))
    yield made
    loop.close()


@pytest.fixture
def balancer(node: Node) -> Balancer:
    return cast(Balancer, node.balancer)


@pytest.fixture
def upstream(node: Node) -> Upstream:
    return cast(Upstream, node.upstream)


@pytest.fixture
def client() -> Client:
    return Client()


def admit(node: Node, client: Client, attempts: int = 0) -> Request:
    """An unsafe request of this client, with so many attempts."""
    incoming = SimpleNamespace(
        head=b"", label=b"r-1", method=b"POST", body=[b"x"], size=1, flow=None, chunked=False,
        cls=SimpleNamespace(number=1), timeout=TIMEOUT_NS, tenant=0, key=0, hint=0, retried=False,
        policy=None,
    )  # fmt: skip
    request = node.request(cast(Any, client), cast(Any, incoming), 0)
    assert request is not None
    for _ in range(attempts):
        node.enter()
        node.send(request.id, BACKEND, 0)
        node.leave()
    return request


def raise_fault() -> None:
    raise ZeroDivisionError


# ---- whether an attempt may have been executed ---------------------------------


def by_cancel(node: Node, request: Request, _clock: Clock) -> None:
    node.enter()
    node.cancel(request.id, 0)
    node.leave()


def by_timeout(node: Node, _request: Request, clock: Clock) -> None:
    clock.now += TIMEOUT_NS
    node._on_timers_due()


def by_backend_that_accepts_no_more(node: Node, request: Request, _clock: Clock) -> None:
    node.stalled(request)


def by_removed_backend(node: Node, _request: Request, _clock: Clock) -> None:
    node.enter()
    node.withdraw([BACKEND])
    node.leave()


def by_client_that_leaves_while_it_streams(node: Node, request: Request, _clock: Clock) -> None:
    request.started = True
    node.client_gone(request)


ENDS = [
    by_cancel,
    by_timeout,
    by_backend_that_accepts_no_more,
    by_removed_backend,
    by_client_that_leaves_while_it_streams,
]


@pytest.mark.parametrize("written", [False, True])
@pytest.mark.parametrize("end", ENDS)
def test_a_written_attempt_is_never_reported_as_one_that_was_not_executed(
    node: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    clock: Clock,
    end: Callable[[Node, Request, Clock], None],
    written: bool,
) -> None:
    """The Balancer rejects an unsafe request with a 503 where none of its attempts ran.

    An attempt whose request was written, and that is given up then, may have run. Reported as
    one that did not, the client would be invited to send the request a second time.
    """
    upstream.written = written
    request = admit(node, client, attempts=1)
    end(node, request, clock)
    assert len(balancer.outcomes) == 1
    assert (balancer.outcomes[0] not in NOT_EXECUTED) == written
    assert request.attempts == [] or request.attempts[0].connection is None


@pytest.mark.parametrize("leaves", [Node.client_gone, Node.client_ended])
@pytest.mark.parametrize("written", [False, True])
def test_a_client_that_leaves_ends_only_what_was_not_written(
    node: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    leaves: Callable[[Node, Request], None],
    written: bool,
) -> None:
    upstream.written = written
    request = admit(node, client, attempts=1)
    leaves(node, request)
    assert balancer.outcomes == ([] if written else [Outcome.MOOT])
    assert request.open_attempts == written


@pytest.mark.parametrize(
    ("leaves", "outcomes"), [(Node.client_gone, [Outcome.MOOT]), (Node.client_ended, [])]
)
def test_a_long_body_goes_on_only_where_its_client_may_wait_for_the_answer(
    node: Node,
    balancer: Balancer,
    client: Client,
    leaves: Callable[[Node, Request], None],
    outcomes: list[Outcome],
) -> None:
    """All of it has been read, and its end waits in this process to be written.

    Where its client is gone that end is discarded: the attempt can never be completed.
    """
    request = admit(node, client, attempts=1)
    flow = request.flow = Flow(node.budget, cast(Any, None))
    flow.finish()
    leaves(node, request)
    assert balancer.outcomes == outcomes


@pytest.mark.parametrize(
    ("waited_ns", "outcome"),
    [
        (CONNECT_TIMEOUT_NS // 4 - 1, Outcome.MOOT),
        (CONNECT_TIMEOUT_NS // 4, Outcome.CONNECT_FAILED),
    ],
)
def test_an_attempt_that_times_out_unwritten_counts_against_its_backend_after_a_while(
    node: Node, balancer: Balancer, client: Client, clock: Clock, waited_ns: int, outcome: Outcome
) -> None:
    """A machine that has vanished answers no connect, and attempts may time out before that."""
    request = admit(node, client, attempts=1)
    clock.now += waited_ns
    node.stalled(request)
    assert balancer.outcomes == [outcome]


def test_the_first_outcome_of_an_attempt_counts(
    node: Node, balancer: Balancer, client: Client
) -> None:
    request = admit(node, client, attempts=1)
    attempt = request.attempts[0]
    node.conclude(attempt, Outcome.RESET)
    node.conclude(attempt, Outcome.OK)
    node.give_up(attempt, Outcome.TIMEOUT)
    assert balancer.outcomes == [Outcome.RESET]


# ---- events ------------------------------------------------------------------


def test_an_outcome_that_an_action_causes_is_reported_after_the_event(
    node: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    """Two attempts in a row fail at once, as where no descriptor is left."""
    upstream.settles_as = Outcome.MOOT
    balancer.acts = lambda: node.send(1, BACKEND, 0)
    request = admit(node, client)
    balancer.acts = lambda: node.send(request.id, BACKEND, 0)
    node.enter()
    node.send(request.id, BACKEND, 0)
    node.leave()
    assert balancer.names() == ["on_request", *["on_outcome"] * 3]
    assert request.open_attempts == 0


def test_a_request_without_time_left_is_not_sent(
    node: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    request = admit(node, client)
    clock.now += TIMEOUT_NS
    node.enter()
    node.send(request.id, BACKEND, 0)
    node.leave()
    assert balancer.outcomes == [Outcome.MOOT]
    assert not upstream.attempts


def test_an_old_request_is_not_sent_once_its_client_has_ended_its_sending(
    node: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    """The loop may have the client's end still to report, so its socket is asked."""
    request = admit(node, client)
    client.half_closed = True
    clock.now += 51 * MS
    node.enter()
    node.send(request.id, BACKEND, 0)
    node.leave()
    assert balancer.names() == ["on_request", "on_client_half_closed", "on_outcome"]
    assert balancer.outcomes == [Outcome.MOOT]
    assert not upstream.attempts


# ---- faults of the Balancer ----------------------------------------------------


def test_a_fault_in_an_event_fails_its_request_alone(
    node: Node, balancer: Balancer, client: Client
) -> None:
    balancer.acts = raise_fault
    request = admit(node, client)
    assert client.statuses == [502]
    assert request.ended
    assert not node.requests
    assert not node.labels


def test_a_fault_in_an_outcome_fails_its_request_and_does_not_reject_it(
    node: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    upstream.written = True
    request = admit(node, client, attempts=1)
    balancer.acts = raise_fault
    node.conclude(request.attempts[0], Outcome.RESET)
    assert client.statuses == [502]
    assert not node.requests


def test_a_timer_whose_event_raised_comes_again(
    node: Node, balancer: Balancer, clock: Clock
) -> None:
    """The Balancer sets its next timer in this event: it would never be called again."""
    node.set_timer(7, clock.now)
    balancer.acts = raise_fault
    node._on_timers_due()
    clock.now += 100 * MS
    node._on_timers_due()
    assert [event[2] for event in balancer.events] == [7, 7]


def test_a_request_that_the_balancer_forgot_is_failed_after_its_deadline(
    node: Node, balancer: Balancer, client: Client, clock: Clock
) -> None:
    admit(node, client)
    clock.now += TIMEOUT_NS + 9 * MS
    node._on_timers_due()
    assert client.statuses == []
    clock.now += MS
    node._on_timers_due()
    assert client.statuses == [504]
    assert balancer.names() == ["on_request", "on_client_disconnected"]


def test_the_answer_to_an_attempt_that_ends_in_the_same_event_goes_before_that(
    node: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    """The process has paused: the attempt's time and the request's last limit are over at once.

    The Balancer's answer says whether a retry is harmless. A 504 in its place says nothing.
    """
    upstream.written = True
    request = admit(node, client, attempts=1)
    balancer.acts = lambda: node.fail(request.id)
    clock.now += 2 * TIMEOUT_NS
    node._on_timers_due()
    assert client.statuses == [502]
    assert balancer.outcomes == [Outcome.TIMEOUT]


# ---- the end of requests -------------------------------------------------------


def test_an_ended_request_is_forgotten_with_its_last_attempt(
    node: Node, upstream: Upstream, client: Client
) -> None:
    upstream.written = True
    node.budget.reserve(1)
    request = admit(node, client, attempts=2)
    first, second = request.attempts
    node.conclude(first, Outcome.OK)
    assert request.ended
    assert node.open_count == 0
    assert not node.labels
    assert node.requests == {request.id: request}
    assert node.budget.buffered == 1
    node.conclude(second, Outcome.CANCELLED)
    assert not node.requests
    assert node.budget.buffered == 0


def test_a_client_with_a_part_of_its_response_sees_it_as_incomplete(
    node: Node, client: Client
) -> None:
    request = admit(node, client)
    request.started = True
    node.finish(request, 503)
    assert client.aborted
    assert client.statuses == []


def test_a_stop_fails_all_open_requests(node: Node, client: Client) -> None:
    admit(node, client)
    admit(node, client)
    node.fail_all()
    assert client.statuses == [502, 502]
    assert not node.requests


@pytest.mark.parametrize("class_is_gone", [False, True])
def test_what_can_not_be_admitted_is_left_to_its_connection(
    node: Node, balancer: Balancer, client: Client, class_is_gone: bool
) -> None:
    """At the limit of open requests, and where a reload has removed the class meanwhile."""
    if not class_is_gone:
        node.open_count = node.config.max_open
    incoming = SimpleNamespace(cls=SimpleNamespace(number=-1 if class_is_gone else 0))
    assert node.request(cast(Any, client), cast(Any, incoming), 0) is None
    assert not balancer.events

"""The events of a host: their order, exceptions of its Balancer, and the end of requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.core import Outcome, Update
from loadbalancer.core.memory_account import Holder
from loadbalancer.core.process_pair import SuccessorShare
from loadbalancer.proxy.exchange import Request
from loadbalancer.proxy.host import Node
from loadbalancer.proxy.reload import apply_configuration
from tests.proxy.host_fakes import (
    BACKEND,
    MS,
    TIMEOUT_NS,
    Balancer,
    Client,
    Clock,
    Upstream,
    admit,
    incoming_request,
    raise_fault,
)


def test_the_outcome_of_an_attempt_that_fails_within_an_event_is_reported_after_it(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    """Successive attempts fail as soon as they are sent, as without a free descriptor."""
    upstream.settles_as = Outcome.MOOT
    balancer.acts = lambda: host.send(1, BACKEND, 0)
    request = admit(host, client)
    balancer.acts = lambda: host.send(request.id, BACKEND, 0)
    host.begin_event()
    host.send(request.id, BACKEND, 0)
    host.end_event()
    assert balancer.names() == ["on_request", *["on_outcome"] * 3]
    assert request.open_attempts == 0


def test_a_request_past_its_deadline_is_not_sent(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    request = admit(host, client)
    clock.now += TIMEOUT_NS
    host.begin_event()
    host.send(request.id, BACKEND, 0)
    host.end_event()
    assert balancer.outcomes == [Outcome.MOOT]
    assert not upstream.attempts


def test_an_old_request_is_not_sent_after_its_client_has_half_closed(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    """The event loop may not have reported the half-close yet, so the socket is checked."""
    request = admit(host, client)
    client.half_closed = True
    clock.now += 51 * MS
    host.begin_event()
    host.send(request.id, BACKEND, 0)
    host.end_event()
    assert balancer.names() == ["on_request", "on_client_half_closed", "on_outcome"]
    assert balancer.outcomes == [Outcome.MOOT]
    assert not upstream.attempts


def test_a_request_that_lay_in_the_kernel_is_not_sent_for_a_client_that_has_left(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    """The process was held up, and read the request long after its client had left."""
    client.half_closed = True
    incoming = incoming_request()
    balancer.acts = lambda: host.send(1, BACKEND, 0)
    host.admit_request(cast(Any, client), cast(Any, incoming), 51 * MS)
    assert not upstream.attempts
    assert balancer.outcomes == [Outcome.MOOT]


def test_an_exception_in_a_request_event_fails_only_that_request(
    host: Node, balancer: Balancer, client: Client
) -> None:
    balancer.acts = raise_fault
    request = admit(host, client)
    assert client.statuses == [502]
    assert request.ended
    assert not host.requests
    assert not host.request_ids.own()


def test_an_exception_in_an_outcome_event_fails_its_request_and_does_not_reject_it(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    upstream.written = True
    request = admit(host, client, attempts=1)
    balancer.acts = raise_fault
    host.record_outcome(request.attempts[0], Outcome.RESET)
    assert client.statuses == [502]
    assert not host.requests


def test_a_timer_whose_event_raised_fires_again(
    host: Node, balancer: Balancer, clock: Clock
) -> None:
    """The Balancer sets its next timer in this event, so a lost event would end its timers."""
    host.set_timer(7, clock.now)
    balancer.acts = raise_fault
    host._on_timers_due()
    clock.now += 100 * MS
    host._on_timers_due()
    assert [event[2] for event in balancer.events] == [7, 7]


def test_a_request_that_the_balancer_forgot_is_failed_after_its_deadline(
    host: Node, balancer: Balancer, client: Client, clock: Clock
) -> None:
    admit(host, client)
    clock.now += TIMEOUT_NS + 9 * MS
    host._on_timers_due()
    assert client.statuses == []
    clock.now += MS
    host._on_timers_due()
    assert client.statuses == [504]
    assert balancer.names() == ["on_request", "on_client_disconnected"]


def test_the_balancers_answer_precedes_the_hosts_own_limit_when_both_are_due(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    """After a pause of the process, an attempt's timeout and the host's limit are due together.

    The status that the Balancer chooses tells the client whether it may retry; the host's 504
    does not.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    balancer.acts = lambda: host.fail(request.id)
    clock.now += 2 * TIMEOUT_NS
    host._on_timers_due()
    assert client.statuses == [502]
    assert balancer.outcomes == [Outcome.TIMEOUT]


def apply_new_settings(host: Node) -> None:
    settings = replace(host.config.settings, max_attempts=host.config.settings.max_attempts + 1)
    apply_configuration(host, replace(host.config, settings=settings))


def use_limit_share(host: Node) -> None:
    host.use_limit_share(SuccessorShare())


def end_sharing(host: Node) -> None:
    host.end_sharing()


def start(host: Node) -> None:
    host.start()


@pytest.mark.parametrize("event", [apply_new_settings, use_limit_share, end_sharing, start])
def test_outcomes_are_reported_after_an_event_that_raised(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    event: Callable[[Node], None],
) -> None:
    """Guards against an event that never ends because the Balancer raised in it.

    This concerns events that are not about a request, such as new settings. All later outcomes
    were queued until the end of that event and never reported, so that every request waited for
    its deadline until the process was restarted.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    balancer.acts = raise_fault
    with pytest.raises(ZeroDivisionError):
        event(host)
    host.record_outcome(request.attempts[0], Outcome.OK)
    assert balancer.outcomes == [Outcome.OK]
    assert not host.requests


def test_outcomes_are_reported_after_a_list_update_that_raised(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an event that never ends because giving up attempts raised.

    A list update gives up the attempts that are still connecting to a removed backend. When that
    raised, no later outcome was reported.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    monkeypatch.setattr(upstream, "connecting_attempts", lambda _backends: raise_fault())
    monkeypatch.setattr(upstream, "close_idle", lambda _backend: None, raising=False)
    with pytest.raises(ZeroDivisionError):
        host.on_list_update(Update.FULL, [], [BACKEND])
    host.record_outcome(request.attempts[0], Outcome.OK)
    assert balancer.outcomes == [Outcome.OK]


def test_a_timeout_that_raises_delays_no_other(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    clock: Clock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against losing all timeouts because one raised.

    Two attempts time out together, and closing the first one's connection raises. The event
    never ended and the loop's timer was not set again, so no attempt timed out from then on.
    """
    upstream.written = True
    request = admit(host, client, attempts=2)
    monkeypatch.setattr(request.attempts[0].connection, "abandon", raise_fault)
    clock.now += TIMEOUT_NS
    with pytest.raises(ZeroDivisionError):
        host._timers._fire()
    assert host._timers._handle is not None
    host._timers._fire()
    assert request.attempts[1].settled
    assert balancer.outcomes == [Outcome.TIMEOUT]


def test_queued_outcomes_are_reported_after_one_that_raised(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against losing queued outcomes because the report of one raised.

    The Balancer raises in an outcome event, and the connection of the client raises as the
    request is failed. The exception interrupted the reports at the end of the event: the queued
    outcomes behind this one, and all later ones, were not reported.
    """
    upstream.written = True
    first, second, third = (admit(host, c, attempts=1) for c in (client, Client(), Client()))
    balancer.acts = raise_fault
    monkeypatch.setattr(client, "respond_empty", lambda _status, _retry_after: raise_fault())
    host.begin_event()
    host.record_outcome(first.attempts[0], Outcome.RESET)
    host.record_outcome(second.attempts[0], Outcome.OK)
    host.end_event()
    assert balancer.outcomes == [Outcome.RESET, Outcome.OK]
    host.record_outcome(third.attempts[0], Outcome.OK)
    assert balancer.outcomes == [Outcome.RESET, Outcome.OK, Outcome.OK]
    assert not host.requests


def test_a_request_is_forgotten_even_if_its_end_raises(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    """Guards against a memory leak when discarding the body of a request raises.

    The Balancer raises in an outcome event, so the request is failed, and discarding its body
    raises too. The request was not removed, and stayed in memory with its body.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    request.flow = cast(Any, SimpleNamespace(discard=raise_fault))
    balancer.acts = raise_fault
    host.begin_event()
    host.record_outcome(request.attempts[0], Outcome.RESET)
    host.end_event()
    assert not host.requests
    assert host.open_count == 0  # a stop waits for open requests
    assert not host.request_ids.own()


def test_an_ended_request_is_forgotten_after_the_outcome_of_its_last_attempt(
    host: Node, upstream: Upstream, client: Client
) -> None:
    upstream.written = True
    host.budget.reserve(Holder.CONTENT, 1)
    request = admit(host, client, attempts=2)
    first, second = request.attempts
    host.record_outcome(first, Outcome.OK)
    assert request.ended
    assert host.open_count == 0
    assert host.request_ids.own() == [b"r-1"]  # the second attempt may be in execution
    assert host.requests == {request.id: request}
    assert host.budget.buffered == 1
    host.record_outcome(second, Outcome.CANCELLED)
    assert not host.requests
    assert not host.request_ids.own()
    assert host.budget.buffered == 0


@pytest.mark.parametrize("delivered_first", [False, True])
def test_an_id_is_in_use_until_its_client_has_the_last_byte(
    host: Node, upstream: Upstream, client: Client, delivered_first: bool
) -> None:
    """An id was free again once the first part of a long response had been sent.

    Another client's request with that id was executed while the first one was still open.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    (attempt,) = request.attempts
    host.on_response_started(attempt)
    steps: list[Callable[[], None]] = [
        lambda: host.record_outcome(attempt, Outcome.OK),
        lambda: host.response_delivered(request),
    ]
    for step in reversed(steps) if delivered_first else steps:
        assert host.request_ids.own() == [b"r-1"]
        step()
    assert not host.request_ids.own()


@pytest.mark.parametrize("has_answer", [False, True], ids=["executing", "answered in part"])
def test_the_id_of_a_client_that_left_stays_in_use_for_its_time(
    host: Node, upstream: Upstream, client: Client, clock: Clock, has_answer: bool
) -> None:
    """The id came again after its client had left, and the backend executed it twice."""
    upstream.written = True
    request = admit(host, client, attempts=1)
    (attempt,) = request.attempts
    if has_answer:
        host.on_response_started(attempt)
        host.record_outcome(attempt, Outcome.OK)
    host.client_disconnected(request)
    host.record_outcome(attempt, Outcome.OK)
    clock.now += TIMEOUT_NS - 1
    host.sweep()
    assert host.request_ids.in_use(b"r-1", clock.now)
    clock.now += 1
    assert not host.request_ids.in_use(b"r-1", clock.now)
    host.sweep()
    assert not host.request_ids.own()


def test_the_id_of_a_safe_request_is_free_once_its_attempts_are_over(
    host: Node, upstream: Upstream, client: Client
) -> None:
    upstream.written = True
    request = admit(host, client, attempts=1)
    request.unsafe = False
    host.client_disconnected(request)
    assert host.request_ids.own() == [b"r-1"]
    host.record_outcome(request.attempts[0], Outcome.OK)
    assert not host.request_ids.own()


def test_an_id_that_was_never_sent_is_free_once_its_client_has_left(
    host: Node, client: Client
) -> None:
    host.client_disconnected(admit(host, client))
    assert not host.request_ids.own()


def test_a_started_response_is_aborted_when_its_request_fails(host: Node, client: Client) -> None:
    request = admit(host, client)
    request.started = True
    host.finish(request, 503)
    assert client.aborted
    assert client.statuses == []


def test_a_stop_fails_all_open_requests(host: Node, client: Client) -> None:
    admit(host, client)
    admit(host, client)
    host.fail_all()
    assert client.statuses == [502, 502]
    assert not host.requests


@pytest.mark.parametrize("class_is_removed", [False, True])
def test_a_request_that_can_not_be_admitted_is_returned_to_its_connection(
    host: Node, balancer: Balancer, client: Client, class_is_removed: bool
) -> None:
    """At the limit of open requests, or after a reload that has removed the request's class."""
    if not class_is_removed:
        host.open_count = host.config.max_open
    incoming = SimpleNamespace(cls=SimpleNamespace(number=-1 if class_is_removed else 0))
    assert host.admit_request(cast(Any, client), cast(Any, incoming), 0) is None
    assert not balancer.events


def test_a_nested_event_raises_and_the_outer_one_goes_on(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    """Guards against nested events: the end of the inner one would end the outer one too.

    Outcomes would then be reported while the Balancer is still in a call of the outer event.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    with host.event():
        host.record_outcome(request.attempts[0], Outcome.OK)
        with pytest.raises(AssertionError), host.event():
            pass
        assert balancer.outcomes == []
    assert balancer.outcomes == [Outcome.OK]
    assert not host.in_event


def test_an_event_ends_even_after_an_interrupt(host: Node) -> None:
    """The Balancer's call raises a BaseException that is no Exception."""

    def interrupt(_now: int) -> None:
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        host.notify_balancer(interrupt)
    assert not host.in_event


def test_an_idle_backend_connection_gives_its_memory_to_a_client_that_waits(
    host: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients waited to be accepted until their time was over, beside idle connections."""
    closed: list[bool] = []
    host.budget.add_connections(host.budget.capacity_bytes)
    monkeypatch.setattr(host.upstream, "close_oldest", lambda: closed.append(True), raising=False)
    monkeypatch.setattr(host.upstream, "count", 1, raising=False)
    assert not host.may_accept_client()
    assert closed == [True]
    host.budget.add_connections(-host.budget.capacity_bytes)
    assert host.may_accept_client()
    assert closed == [True]


def test_a_new_backend_connection_replaces_an_idle_one_while_many_take_the_memory(
    host: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    closed: list[bool] = []
    monkeypatch.setattr(host.upstream, "close_oldest", lambda: closed.append(True), raising=False)
    assert host.may_open_upstream()
    host.budget.add_connections(host.budget.capacity_bytes)
    assert host.may_open_upstream()
    assert closed == [True]
    host.budget.add_connections(host.budget.overload_bytes - host.budget.total)
    assert not host.may_open_upstream()


def test_two_processes_use_half_of_the_memory_each(host: Node) -> None:
    whole = host.budget.limit_bytes
    host.use_limit_share(cast(Any, None))
    assert host.budget.limit_bytes == whole // 2
    host.end_sharing()
    assert host.budget.limit_bytes == whole


def test_what_is_over_needs_no_timer_and_holds_no_content(
    host: Node, upstream: Upstream, client: Client
) -> None:
    """Until its deadline a request that was over stayed in the timers, with its head."""
    upstream.written = True
    request = admit(host, client, attempts=1)
    (attempt,) = request.attempts
    request.head = b"head"
    assert not host._is_over(request)
    assert not host._is_over(attempt)
    host.record_outcome(attempt, Outcome.OK)
    assert host._is_over(request)
    assert host._is_over(attempt)
    assert request.head == b""
    assert not host._is_over(1)  # a token of the Balancer


def test_a_long_body_is_in_its_flow_alone(client: Client) -> None:
    """The list that it is read into was the request's body, and kept the next read for good."""
    incoming = incoming_request()
    incoming.flow = cast(Any, SimpleNamespace(complete=False, discard=lambda: None))
    request = Request(1, cast(Any, client), cast(Any, incoming), 0, 0, 1)
    incoming.body.append(b"read later")
    assert not request.body


def test_the_rows_of_the_first_list_do_not_stay_with_the_configuration(host: Node) -> None:
    """As objects they took more memory than the list itself, for the process's life."""
    node = Node(host.config, host.loop)
    assert node.config.known
    node.start()
    assert not node.config.known
    assert node.discovery.endpoint_list.endpoints

"""A host's events: their order, faults of its Balancer, and the end of requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.core import Outcome, Update
from loadbalancer.core.process_pair import SuccessorShare
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
    raise_fault,
)

# ---- events ------------------------------------------------------------------


def test_an_outcome_that_an_action_causes_is_reported_after_the_event(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    """Two attempts in a row fail at once, as where no descriptor is left."""
    upstream.settles_as = Outcome.MOOT
    balancer.acts = lambda: host.send(1, BACKEND, 0)
    request = admit(host, client)
    balancer.acts = lambda: host.send(request.id, BACKEND, 0)
    host.begin_event()
    host.send(request.id, BACKEND, 0)
    host.end_event()
    assert balancer.names() == ["on_request", *["on_outcome"] * 3]
    assert request.open_attempts == 0


def test_a_request_without_time_left_is_not_sent(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    request = admit(host, client)
    clock.now += TIMEOUT_NS
    host.begin_event()
    host.send(request.id, BACKEND, 0)
    host.end_event()
    assert balancer.outcomes == [Outcome.MOOT]
    assert not upstream.attempts


def test_an_old_request_is_not_sent_once_its_client_has_ended_its_sending(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    """The loop may have the client's end still to report, so its socket is asked."""
    request = admit(host, client)
    client.half_closed = True
    clock.now += 51 * MS
    host.begin_event()
    host.send(request.id, BACKEND, 0)
    host.end_event()
    assert balancer.names() == ["on_request", "on_client_half_closed", "on_outcome"]
    assert balancer.outcomes == [Outcome.MOOT]
    assert not upstream.attempts


# ---- faults of the Balancer ----------------------------------------------------


def test_a_fault_in_an_event_fails_its_request_alone(
    host: Node, balancer: Balancer, client: Client
) -> None:
    balancer.acts = raise_fault
    request = admit(host, client)
    assert client.statuses == [502]
    assert request.ended
    assert not host.requests
    assert not host.open_request_ids


def test_a_fault_in_an_outcome_fails_its_request_and_does_not_reject_it(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    upstream.written = True
    request = admit(host, client, attempts=1)
    balancer.acts = raise_fault
    host.record_outcome(request.attempts[0], Outcome.RESET)
    assert client.statuses == [502]
    assert not host.requests


def test_a_timer_whose_event_raised_comes_again(
    host: Node, balancer: Balancer, clock: Clock
) -> None:
    """The Balancer sets its next timer in this event: it would never be called again."""
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


def test_the_answer_to_an_attempt_that_ends_in_the_same_event_goes_before_that(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client, clock: Clock
) -> None:
    """The process has paused: the attempt's time and the request's last limit are over at once.

    The Balancer's answer says whether a retry is harmless. A 504 in its place says nothing.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    balancer.acts = lambda: host.fail(request.id)
    clock.now += 2 * TIMEOUT_NS
    host._on_timers_due()
    assert client.statuses == [502]
    assert balancer.outcomes == [Outcome.TIMEOUT]


def takes_new_settings(host: Node) -> None:
    settings = replace(host.config.settings, max_attempts=host.config.settings.max_attempts + 1)
    apply_configuration(host, replace(host.config, settings=settings))


def shares_its_limits(host: Node) -> None:
    host.use_limit_share(SuccessorShare())


def has_its_limits_back(host: Node) -> None:
    host.end_sharing()


def starts(host: Node) -> None:
    host.start()


@pytest.mark.parametrize(
    "event", [takes_new_settings, shares_its_limits, has_its_limits_back, starts]
)
def test_outcomes_are_reported_after_an_event_that_an_exception_has_left(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    event: Callable[[Node], None],
) -> None:
    """The Balancer raises in an event that is not about a request, such as new settings.

    The event never ended. Each outcome after it was taken for one within it, and was queued
    and not reported: every request waited for its deadline, until the process was restarted.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    balancer.acts = raise_fault
    with pytest.raises(ZeroDivisionError):
        event(host)
    host.record_outcome(request.attempts[0], Outcome.OK)
    assert balancer.outcomes == [Outcome.OK]
    assert not host.requests


def test_outcomes_are_reported_after_a_list_whose_use_raised(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What waits for a connection to a removed backend is given up, and that raises.

    As with new settings: the event never ended, and no later outcome was reported.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    monkeypatch.setattr(upstream, "connecting_attempts", lambda _backends: raise_fault())
    monkeypatch.setattr(upstream, "close_idle", lambda _backend: None, raising=False)
    with pytest.raises(ZeroDivisionError):
        host.on_list_update(Update.FULL, [], [BACKEND])
    host.record_outcome(request.attempts[0], Outcome.OK)
    assert balancer.outcomes == [Outcome.OK]


def test_a_timer_that_raises_delays_no_other(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    clock: Clock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two attempts run out of time at once, and the first one's connection raises as it closes.

    The event never ended, and the loop's timer was not set again: neither the second attempt
    nor any other was timed out from then on.
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


def test_outcomes_are_reported_after_a_report_that_raised(
    host: Node,
    balancer: Balancer,
    upstream: Upstream,
    client: Client,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The Balancer's fault in an outcome fails the request, and its client's connection raises.

    The event's end itself was left by the exception: the outcomes that were queued behind this
    one waited for the next event, and no later outcome was reported.
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


def test_a_request_whose_end_raises_is_forgotten_all_the_same(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    """The Balancer's fault in an outcome fails a request, and the release of its body raises.

    The exception went past the request's removal: it and its body stayed in memory for good.
    """
    upstream.written = True
    request = admit(host, client, attempts=1)
    request.flow = cast(Any, SimpleNamespace(discard=raise_fault))
    balancer.acts = raise_fault
    host.begin_event()
    host.record_outcome(request.attempts[0], Outcome.RESET)
    host.end_event()
    assert not host.requests
    assert host.open_count == 0  # a stop waits for those that are open
    assert not host.open_request_ids


# ---- the end of requests -------------------------------------------------------


def test_an_ended_request_is_forgotten_with_its_last_attempt(
    host: Node, upstream: Upstream, client: Client
) -> None:
    upstream.written = True
    host.budget.reserve(1)
    request = admit(host, client, attempts=2)
    first, second = request.attempts
    host.record_outcome(first, Outcome.OK)
    assert request.ended
    assert host.open_count == 0
    assert not host.open_request_ids
    assert host.requests == {request.id: request}
    assert host.budget.buffered == 1
    host.record_outcome(second, Outcome.CANCELLED)
    assert not host.requests
    assert host.budget.buffered == 0


def test_a_client_with_a_part_of_its_response_sees_it_as_incomplete(
    host: Node, client: Client
) -> None:
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


@pytest.mark.parametrize("class_is_gone", [False, True])
def test_what_can_not_be_admitted_is_left_to_its_connection(
    host: Node, balancer: Balancer, client: Client, class_is_gone: bool
) -> None:
    """At the limit of open requests, and where a reload has removed the class meanwhile."""
    if not class_is_gone:
        host.open_count = host.config.max_open
    incoming = SimpleNamespace(cls=SimpleNamespace(number=-1 if class_is_gone else 0))
    assert host.admit_request(cast(Any, client), cast(Any, incoming), 0) is None
    assert not balancer.events


def test_an_event_within_an_event_raises_and_the_outer_one_goes_on(
    host: Node, balancer: Balancer, upstream: Upstream, client: Client
) -> None:
    """A step of an event begins another one, whose end would end both.

    The outcomes of the outer event would be reported from within a call of the Balancer.
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


def test_an_event_of_the_balancers_ends_whatever_it_raises(host: Node) -> None:
    """What the Balancer raises is no ordinary fault, as where the process is interrupted."""

    def interrupt(_now: int) -> None:
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        host.notify_balancer(interrupt)
    assert not host.in_event

"""Events that come late, twice, early, out of order, or of what is not known any more."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core import Balancer, Listing, Outcome, Settings, State, Update
from loadbalancer.core.balancing.model import MS, SECOND, ReportedState, Timer
from loadbalancer.core.balancing.outlier_detection import MAX_RATIO
from loadbalancer.core.balancing.records import FIRST_EJECTION_NS
from loadbalancer.core.balancing.request_classes import RETIRE_AFTER_NS
from tests.core.balancing.policy_fleet import COPY, Fleet
from tests.recording_host import KEYED, PURE, UNSAFE, build, rows

UNKNOWN = 77  # a request, or an endpoint


def counts(balancer: Balancer) -> tuple[int, ...]:
    """All counts that an event of an attempt or request may change."""
    state = balancer.state
    endpoints = state.endpoints.values()
    return (
        state.in_flight, state.transferring, state.queued, state.deferred, state.outcomes,
        len(state.requests), sum(e.in_flight for e in endpoints),
        sum(e.transferring for e in endpoints), sum(e.consecutive_failures for e in endpoints),
        sum(c.in_flight for c in state.classes),
    )  # fmt: skip


# ---- the endpoint list -------------------------------------------------------


def test_the_list_is_polled_once_however_often_its_timer_comes_due() -> None:
    """Two failures in a row set two timers; the second must not begin a second call."""
    balancer, host = build(Settings(classes=(PURE,), poll=True))
    for now in (SECOND, SECOND + 1):
        balancer.on_timer(now, Timer.LIST)
    assert len(host.named("watch")) == 1
    # A list that was kept says nothing of the call that is out.
    balancer.on_members(SECOND + 2, Update.CACHED, [Listing(100, State.READY)])
    balancer.on_timer(SECOND + 3, Timer.LIST)
    assert len(host.named("watch")) == 1
    balancer.on_members(SECOND + 4, Update.DELTA)
    balancer.on_timer(SECOND + 5, Timer.LIST)
    assert len(host.named("watch")) == 2


def test_an_older_start_of_an_endpoint_makes_it_no_warmer() -> None:
    """A replica of the list that lags names the process before the present one."""
    balancer, _ = build(Settings(classes=(PURE,), cold=10 * SECOND), count=0)
    for boot in (20 * SECOND, 5 * SECOND):
        balancer.on_members(21 * SECOND, Update.DELTA, [Listing(100, State.READY, boot=boot)])
    assert balancer.endpoints[100].cold_until == 30 * SECOND


def test_the_same_list_again_ends_no_ejection() -> None:
    balancer, _ = build(count=0)
    listed = [Listing(backend, State.READY, boot=1) for backend in (100, 101, 102)]
    balancer.on_members(SECOND, Update.FULL, listed)
    balancer.on_load_report(SECOND, 100, 1.0, failing=True)
    balancer.on_members(SECOND + 1, Update.FULL, listed)
    assert balancer.endpoints[100].ejected_until == SECOND + FIRST_EJECTION_NS
    # Nor does a removal whose row names no process, or another one.
    balancer.on_members(SECOND + 2, Update.DELTA, [Listing(101, State.GONE, boot=9)])
    assert 101 not in balancer.endpoints


def test_a_removal_of_an_endpoint_with_a_request_in_flight_starts_no_process() -> None:
    balancer, _ = build(Settings(classes=(PURE,), cold=10 * SECOND), count=1)
    balancer.on_request(SECOND, 1, 0, SECOND)
    balancer.on_members(SECOND, Update.DELTA, [Listing(100, State.GONE, boot=SECOND)])
    endpoint = balancer.endpoints[100]
    assert (endpoint.state, endpoint.boot, endpoint.cold_until) == (State.GONE, 0, 0)


# ---- attempts and requests -----------------------------------------------------


def test_events_of_an_unknown_request_or_attempt_change_nothing() -> None:
    balancer, host = build()
    balancer.on_request(1, 1, 0, SECOND)
    before, calls = counts(balancer), list(host.calls)
    for request, number in ((UNKNOWN, 0), (1, 1)):
        assert not balancer.may_begin(2, request, number)
        balancer.on_response_started(2, request, number, MS)
        balancer.on_body_started(2, request, number)
        balancer.on_body_sent(2, request, number)
        balancer.on_outcome(2, request, number, Outcome.RESET, MS, False)
    balancer.on_client_half_closed(2, UNKNOWN)
    balancer.on_client_disconnected(2, UNKNOWN)
    assert counts(balancer) == before
    assert host.calls == calls


def test_an_outcome_that_is_reported_twice_counts_once() -> None:
    """The attempt has ended, and its request has another one in flight."""
    balancer, host = build()
    balancer.on_request(1, 1, 0, SECOND)
    balancer.on_outcome(2, 1, 0, Outcome.RESET, 1, False)
    assert len(host.named("send")) == 2
    before = counts(balancer)
    balancer.on_outcome(3, 1, 0, Outcome.RESET, 1, False)
    balancer.on_outcome(3, 1, 0, Outcome.OK, 1, True)
    assert counts(balancer) == before
    assert len(host.named("send")) == 2


def test_a_transfer_that_begins_or_ends_twice_counts_once() -> None:
    balancer, _ = build()
    balancer.on_request(1, 1, 0, SECOND)
    for _ in range(2):
        balancer.on_body_started(2, 1, 0)
        assert balancer.state.transferring == 1
    for _ in range(2):
        balancer.on_body_sent(3, 1, 0)
        assert balancer.state.transferring == 0


def test_a_response_that_starts_after_its_attempt_has_ended_cancels_no_other() -> None:
    """An attempt's start and its end are reported in the wrong order, beside its hedge."""
    fleet = Fleet()
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    assert len(fleet.sends(1)) == 2
    fleet.end(60 * MS, 1, 0, Outcome.RESET)
    fleet.balancer.on_response_started(60 * MS, 1, 0, 60 * MS)
    assert fleet.host.named("cancel") == []
    assert fleet.balancer.state.transferring == 0


def test_a_client_that_leaves_twice_or_after_its_answer_leaves_nothing_behind() -> None:
    balancer, host = build()
    balancer.on_request(1, 1, 1, SECOND)
    for _ in range(2):
        balancer.on_client_disconnected(2, 1)
        balancer.on_client_half_closed(2, 1)
    assert not balancer.may_begin(2, 1, 0)
    balancer.on_outcome(3, 1, 0, Outcome.RESET, 1, False)
    assert balancer.in_flight == 0
    assert not balancer.state.requests
    assert not host.named("fail") + host.named("refuse")


def test_a_queued_request_whose_client_leaves_twice_is_counted_out_once() -> None:
    balancer, _ = build(count=0)
    balancer.on_request(1, 1, 0, SECOND)
    balancer.on_request(1, 2, 0, SECOND)
    for _ in range(2):
        balancer.on_client_disconnected(2, 1)
    assert balancer.state.queued == 1
    assert list(balancer.state.requests) == [2]


def test_a_client_that_has_half_closed_gets_no_attempt_that_has_not_begun() -> None:
    balancer, _ = build()
    balancer.on_request(1, 1, 1, SECOND)
    assert balancer.may_begin(2, 1, 0)
    balancer.on_client_half_closed(2, 1)
    assert not balancer.may_begin(3, 1, 0)


# ---- what others report ----------------------------------------------------------


def test_reports_on_an_unknown_endpoint_are_skipped() -> None:
    balancer, _ = build()
    balancer.on_load_report(1, UNKNOWN, 9.0, failing=True)
    balancer.on_peer_report(1, UNKNOWN, ReportedState.SILENT, 9.0, cold=True)
    assert UNKNOWN not in balancer.endpoints
    assert balancer.state.ejected == 0


def test_what_peers_report_of_an_endpoint_that_drains_is_skipped() -> None:
    """The report was on its way when the list changed: a drained endpoint is ejected by no one."""
    balancer, _ = build()
    balancer.on_members(1, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_peer_report(2, 100, ReportedState.SILENT, 1.0, cold=True)
    endpoint = balancer.endpoints[100]
    assert (balancer.state.ejected, endpoint.ejected_until, endpoint.cold_until) == (0, 0, 0)


def test_a_load_report_that_comes_twice_ejects_once() -> None:
    balancer, _ = build()
    for now in (SECOND, SECOND + 1):
        balancer.on_load_report(now, 100, 1.0, failing=True)
    endpoint = balancer.endpoints[100]
    assert balancer.state.ejected == 1
    assert endpoint.ejected_until == SECOND + FIRST_EJECTION_NS
    assert endpoint.next_ejection_ns == 2 * FIRST_EJECTION_NS


def test_a_load_report_of_an_absurd_latency_is_bounded() -> None:
    balancer, _ = build()
    balancer.on_load_report(SECOND, 100, 1e9, failing=False)
    assert 1.0 < balancer.endpoints[100].latency_ratio < MAX_RATIO


# ---- timers ------------------------------------------------------------------------


def test_a_timer_that_comes_early_or_twice_ends_nothing_and_loses_nothing() -> None:
    balancer, host = build(count=2)
    balancer.on_load_report(SECOND, 100, 1.0, failing=True)
    balancer.on_members(SECOND, Update.DELTA, [Listing(101, State.DRAINING)])
    balancer.on_request(SECOND, 1, 0, SECOND)
    for _ in range(3):
        balancer.on_timer(SECOND + 1, Timer.WAKE)
    assert balancer.endpoints[100].ejected_until == SECOND + FIRST_EJECTION_NS
    assert not host.named("refuse")
    assert balancer.state.queued == 1
    # Nor is what they waited for forgotten.
    balancer.on_timer(SECOND + FIRST_EJECTION_NS, Timer.WAKE)
    assert host.named("refuse") == [("refuse", 1)]
    assert not balancer.endpoints[100].ejected_until


def test_the_end_of_a_back_off_ends_no_ejection() -> None:
    """Both are due at one endpoint, and the timer does not say for which it comes."""
    balancer, _ = build()
    balancer.on_peer_report(SECOND, 100, ReportedState.FULL, 1.0, cold=False)
    balancer.on_load_report(SECOND, 100, 1.0, failing=True)
    endpoint = balancer.endpoints[100]
    assert SECOND < endpoint.backoff_until < endpoint.ejected_until
    balancer.on_timer(endpoint.backoff_until, Timer.WAKE)
    assert endpoint.ejected_until == SECOND + FIRST_EJECTION_NS


def test_a_request_that_is_queued_again_outlives_the_end_of_its_first_wait() -> None:
    """Its first wait's timer is still set, and comes while it is queued for a retry."""
    balancer, host = build(count=0)
    balancer.on_request(0, 1, 0, SECOND)
    request = balancer.state.requests[1]
    first_wait = request.wait_until
    balancer.on_members(MS, Update.DELTA, [Listing(100, State.READY)])
    balancer.on_members(2 * MS, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_outcome(3 * MS, 1, 0, Outcome.CONNECT_FAILED, MS, False)
    assert request.wait_until > first_wait
    balancer.on_timer(first_wait, Timer.WAKE)
    assert not host.named("refuse")
    balancer.on_timer(request.wait_until, Timer.WAKE)
    assert host.named("refuse") == [("refuse", 1)]


def test_a_hedge_whose_timer_comes_twice_or_late_is_sent_once_or_not_at_all() -> None:
    fleet = Fleet()
    fleet.request(0, 1, COPY)
    for _ in range(3):
        fleet.wake(50 * MS)
    assert len(fleet.sends(1)) == 2
    # The other one has been answered, and its attempt is not over for the host.
    fleet.request(100 * MS, 2, COPY)
    fleet.balancer.on_client_disconnected(120 * MS, 2)
    fleet.wake(200 * MS)
    assert len(fleet.sends(2)) == 1


def test_a_wake_of_another_purpose_begins_no_hedge_and_no_retry() -> None:
    """The end of a request's wait in the queue comes while its hedge is not due yet."""
    fleet = Fleet(count=0)
    fleet.request(0, 1, COPY)
    first_wait = fleet.balancer.state.requests[1].wait_until
    fleet.balancer.on_members(first_wait - 10 * MS, Update.DELTA, rows(4))
    assert len(fleet.sends(1)) == 1
    fleet.wake(first_wait)
    assert len(fleet.sends(1)) == 1
    fleet.wake(first_wait + 40 * MS)
    assert len(fleet.sends(1)) == 2


def test_a_queued_request_under_a_policy_is_answered_once_its_wait_is_over() -> None:
    fleet = Fleet(count=0)
    fleet.request(0, 1, COPY)
    fleet.wake(fleet.balancer.state.requests[1].wait_until)
    assert fleet.answers(1) == 1
    assert fleet.balancer.state.queued == 0


def test_a_queued_retry_is_not_sent_once_its_repeat_window_has_ended() -> None:
    """A free slot comes late: endpoints have forgotten the request's key by then."""
    balancer, host = build(count=1)
    balancer.on_request(0, 1, 2, SECOND)
    balancer.on_members(MS, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_outcome(2 * MS, 1, 0, Outcome.RESET, MS, False)
    assert balancer.state.queued == 1
    balancer.on_members(KEYED.repeat_window + MS, Update.DELTA, [Listing(101, State.READY)])
    assert len(host.named("send")) == 1
    assert host.named("fail") == [("fail", 1)]


# ---- settings ------------------------------------------------------------------------


def test_settings_that_come_twice_retire_a_class_no_later() -> None:
    balancer, _ = build(Settings(classes=(PURE, UNSAFE)))
    alone = Settings(classes=(PURE,))
    balancer.on_settings(SECOND, alone)
    balancer.on_settings(2 * SECOND, alone)
    (retired,) = (c for c in balancer.classes if c.retires_at)
    assert retired.retires_at == SECOND + RETIRE_AFTER_NS


@pytest.mark.parametrize("first", [0, 1])
def test_settings_that_come_in_any_order_leave_what_the_last_ones_say(first: int) -> None:
    balancer, _ = build(Settings(classes=(PURE,)))
    changes = [Settings(classes=(replace(PURE, deadline=d * SECOND),)) for d in (2, 3)]
    balancer.on_settings(SECOND, changes[first])
    balancer.on_settings(SECOND, changes[1 - first])
    (in_force,) = (c.spec for c in balancer.classes if not c.retires_at)
    assert in_force == changes[1 - first].classes[0]

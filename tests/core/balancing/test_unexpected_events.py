"""Tests with events that are late, early, duplicated, reordered, or for unknown objects."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core import Balancer, Listing, Outcome, Settings, State, Update
from loadbalancer.core.balancing.model import MS, SECOND, ReportedState, Timer
from loadbalancer.core.balancing.outlier_detection import MAX_LATENCY_RATIO
from loadbalancer.core.balancing.records import FIRST_EJECTION_NS
from loadbalancer.core.balancing.request_classes import RETIRE_AFTER_NS
from tests.core.balancing.policy_harness import HEDGED_POLICY, PolicyHarness
from tests.recording_host import KEYED, PURE, UNSAFE, build, rows

UNKNOWN = 77  # id of no request and of no endpoint


def counters(balancer: Balancer) -> tuple[int, ...]:
    """All counters that an event of an attempt or a request may change."""
    state = balancer.state
    endpoints = state.endpoints.values()
    return (
        state.in_flight, state.transferring, state.queued, state.deferred, state.outcomes,
        len(state.requests), sum(e.in_flight for e in endpoints),
        sum(e.transferring for e in endpoints), sum(e.consecutive_failures for e in endpoints),
        sum(c.in_flight for c in state.classes),
    )  # fmt: skip


def test_repeated_list_timers_start_one_poll_at_a_time() -> None:
    """Two consecutive failures set two timers; the second one must not start another poll."""
    balancer, host = build(Settings(classes=(PURE,), poll=True))
    for now in (SECOND, SECOND + 1):
        balancer.on_timer(now, Timer.LIST)
    assert len(host.named("watch")) == 1
    # A cached list is not the response to the poll in progress.
    balancer.on_members(SECOND + 2, Update.CACHED, [Listing(100, State.READY)])
    balancer.on_timer(SECOND + 3, Timer.LIST)
    assert len(host.named("watch")) == 1
    balancer.on_members(SECOND + 4, Update.DELTA)
    balancer.on_timer(SECOND + 5, Timer.LIST)
    assert len(host.named("watch")) == 2


def test_an_older_boot_time_does_not_shorten_the_slow_start() -> None:
    """A stale replica of the list still has the endpoint's previous process."""
    balancer, _ = build(Settings(classes=(PURE,), cold=10 * SECOND), count=0)
    for boot in (20 * SECOND, 5 * SECOND):
        balancer.on_members(21 * SECOND, Update.DELTA, [Listing(100, State.READY, boot=boot)])
    assert balancer.endpoints[100].cold_until == 30 * SECOND


def test_receiving_the_same_list_again_does_not_end_an_ejection() -> None:
    balancer, _ = build(count=0)
    listed = [Listing(backend, State.READY, boot=1) for backend in (100, 101, 102)]
    balancer.on_members(SECOND, Update.FULL, listed)
    balancer.on_load_report(SECOND, 100, 1.0, failing=True)
    balancer.on_members(SECOND + 1, Update.FULL, listed)
    assert balancer.endpoints[100].ejected_until == SECOND + FIRST_EJECTION_NS
    # A removal row with another boot time just removes the endpoint.
    balancer.on_members(SECOND + 2, Update.DELTA, [Listing(101, State.GONE, boot=9)])
    assert 101 not in balancer.endpoints


def test_a_removal_with_a_request_in_flight_does_not_mark_the_endpoint_cold() -> None:
    balancer, _ = build(Settings(classes=(PURE,), cold=10 * SECOND), count=1)
    balancer.on_request(SECOND, 1, 0, SECOND)
    balancer.on_members(SECOND, Update.DELTA, [Listing(100, State.GONE, boot=SECOND)])
    endpoint = balancer.endpoints[100]
    assert (endpoint.state, endpoint.boot, endpoint.cold_until) == (State.GONE, 0, 0)


def test_events_of_an_unknown_request_or_attempt_change_nothing() -> None:
    balancer, host = build()
    balancer.on_request(1, 1, 0, SECOND)
    before, calls = counters(balancer), list(host.calls)
    for request, number in ((UNKNOWN, 0), (1, 1)):
        assert not balancer.may_begin(2, request, number)
        balancer.on_response_started(2, request, number, MS)
        balancer.on_body_started(2, request, number)
        balancer.on_body_sent(2, request, number)
        balancer.on_outcome(2, request, number, Outcome.RESET, MS, False)
    balancer.on_client_half_closed(2, UNKNOWN)
    balancer.on_client_disconnected(2, UNKNOWN)
    assert counters(balancer) == before
    assert host.calls == calls


def test_a_duplicate_outcome_is_counted_once() -> None:
    """The attempt has ended, and its request has another attempt in flight."""
    balancer, host = build()
    balancer.on_request(1, 1, 0, SECOND)
    balancer.on_outcome(2, 1, 0, Outcome.RESET, 1, False)
    assert len(host.named("send")) == 2
    before = counters(balancer)
    balancer.on_outcome(3, 1, 0, Outcome.RESET, 1, False)
    balancer.on_outcome(3, 1, 0, Outcome.OK, 1, True)
    assert counters(balancer) == before
    assert len(host.named("send")) == 2


def test_duplicate_transfer_events_are_counted_once() -> None:
    balancer, _ = build()
    balancer.on_request(1, 1, 0, SECOND)
    for _ in range(2):
        balancer.on_body_started(2, 1, 0)
        assert balancer.state.transferring == 1
    for _ in range(2):
        balancer.on_body_sent(3, 1, 0)
        assert balancer.state.transferring == 0


def test_a_response_start_after_the_attempts_end_cancels_no_other_attempt() -> None:
    """An attempt's response start and its end are reported in the wrong order, with a hedge in
    flight.
    """
    harness = PolicyHarness()
    harness.request(0, 1, HEDGED_POLICY)
    harness.wake(50 * MS)
    assert len(harness.sends(1)) == 2
    harness.end_attempt(60 * MS, 1, 0, Outcome.RESET)
    harness.balancer.on_response_started(60 * MS, 1, 0, 60 * MS)
    assert harness.host.named("cancel") == []
    assert harness.balancer.state.transferring == 0


def test_duplicate_disconnects_leave_no_state_behind() -> None:
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


def test_a_duplicate_disconnect_dequeues_a_request_once() -> None:
    balancer, _ = build(count=0)
    balancer.on_request(1, 1, 0, SECOND)
    balancer.on_request(1, 2, 0, SECOND)
    for _ in range(2):
        balancer.on_client_disconnected(2, 1)
    assert balancer.state.queued == 1
    assert list(balancer.state.requests) == [2]


def test_after_a_half_close_no_attempt_may_begin() -> None:
    balancer, _ = build()
    balancer.on_request(1, 1, 1, SECOND)
    assert balancer.may_begin(2, 1, 0)
    balancer.on_client_half_closed(2, 1)
    assert not balancer.may_begin(3, 1, 0)


def test_reports_on_an_unknown_endpoint_are_ignored() -> None:
    balancer, _ = build()
    balancer.on_load_report(1, UNKNOWN, 9.0, failing=True)
    balancer.on_peer_report(1, UNKNOWN, ReportedState.SILENT, 9.0, cold=True)
    assert UNKNOWN not in balancer.endpoints
    assert balancer.state.ejected == 0


def test_peer_reports_on_a_draining_endpoint_are_ignored() -> None:
    """The report arrives after the list has changed; draining endpoints are never ejected."""
    balancer, _ = build()
    balancer.on_members(1, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_peer_report(2, 100, ReportedState.SILENT, 1.0, cold=True)
    endpoint = balancer.endpoints[100]
    assert (balancer.state.ejected, endpoint.ejected_until, endpoint.cold_until) == (0, 0, 0)


def test_a_duplicate_load_report_ejects_once() -> None:
    balancer, _ = build()
    for now in (SECOND, SECOND + 1):
        balancer.on_load_report(now, 100, 1.0, failing=True)
    endpoint = balancer.endpoints[100]
    assert balancer.state.ejected == 1
    assert endpoint.ejected_until == SECOND + FIRST_EJECTION_NS
    assert endpoint.next_ejection_ns == 2 * FIRST_EJECTION_NS


def test_an_extreme_latency_in_a_load_report_is_bounded() -> None:
    balancer, _ = build()
    balancer.on_load_report(SECOND, 100, 1e9, failing=False)
    assert 1.0 < balancer.endpoints[100].latency_ratio < MAX_LATENCY_RATIO


def test_early_and_duplicate_wake_ups_change_nothing() -> None:
    balancer, host = build(count=2)
    balancer.on_load_report(SECOND, 100, 1.0, failing=True)
    balancer.on_members(SECOND, Update.DELTA, [Listing(101, State.DRAINING)])
    balancer.on_request(SECOND, 1, 0, SECOND)
    for _ in range(3):
        balancer.on_timer(SECOND + 1, Timer.WAKE)
    assert balancer.endpoints[100].ejected_until == SECOND + FIRST_EJECTION_NS
    assert not host.named("refuse")
    assert balancer.state.queued == 1
    # The wake-ups that were not due yet still take place.
    balancer.on_timer(SECOND + FIRST_EJECTION_NS, Timer.WAKE)
    assert host.named("refuse") == [("refuse", 1)]
    assert not balancer.endpoints[100].ejected_until


def test_the_end_of_a_back_off_does_not_end_an_ejection() -> None:
    """One endpoint has both, and a wake-up does not tell which one it is for."""
    balancer, _ = build()
    balancer.on_peer_report(SECOND, 100, ReportedState.FULL, 1.0, cold=False)
    balancer.on_load_report(SECOND, 100, 1.0, failing=True)
    endpoint = balancer.endpoints[100]
    assert SECOND < endpoint.backoff_until < endpoint.ejected_until
    balancer.on_timer(endpoint.backoff_until, Timer.WAKE)
    assert endpoint.ejected_until == SECOND + FIRST_EJECTION_NS


def test_a_request_queued_for_a_retry_ignores_the_timer_of_its_first_wait() -> None:
    """The timer of its first queueing time is still set and fires while it waits for a retry."""
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


def test_duplicate_or_late_hedge_timers_send_at_most_one_hedge() -> None:
    harness = PolicyHarness()
    harness.request(0, 1, HEDGED_POLICY)
    for _ in range(3):
        harness.wake(50 * MS)
    assert len(harness.sends(1)) == 2
    # The client of the other request disconnects before its hedge is due.
    harness.request(100 * MS, 2, HEDGED_POLICY)
    harness.balancer.on_client_disconnected(120 * MS, 2)
    harness.wake(200 * MS)
    assert len(harness.sends(2)) == 1


def test_an_unrelated_wake_up_starts_no_hedge() -> None:
    """The wake-up for the end of a request's queueing time comes before its hedge is due."""
    harness = PolicyHarness(count=0)
    harness.request(0, 1, HEDGED_POLICY)
    first_wait = harness.balancer.state.requests[1].wait_until
    harness.balancer.on_members(first_wait - 10 * MS, Update.DELTA, rows(4))
    assert len(harness.sends(1)) == 1
    harness.wake(first_wait)
    assert len(harness.sends(1)) == 1
    harness.wake(first_wait + 40 * MS)
    assert len(harness.sends(1)) == 2


def test_a_queued_request_with_a_policy_gets_a_final_response_after_its_wait() -> None:
    harness = PolicyHarness(count=0)
    harness.request(0, 1, HEDGED_POLICY)
    harness.wake(harness.balancer.state.requests[1].wait_until)
    assert harness.final_responses(1) == 1
    assert harness.balancer.state.queued == 0


def test_a_queued_retry_is_not_sent_after_its_repeat_window() -> None:
    """A slot becomes free only after the endpoints have discarded the request's key."""
    balancer, host = build(count=1)
    balancer.on_request(0, 1, 2, SECOND)
    balancer.on_members(MS, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_outcome(2 * MS, 1, 0, Outcome.RESET, MS, False)
    assert balancer.state.queued == 1
    balancer.on_members(KEYED.repeat_window + MS, Update.DELTA, [Listing(101, State.READY)])
    assert len(host.named("send")) == 1
    assert host.named("fail") == [("fail", 1)]


def test_repeated_settings_do_not_postpone_a_class_retirement() -> None:
    balancer, _ = build(Settings(classes=(PURE, UNSAFE)))
    without_unsafe = Settings(classes=(PURE,))
    balancer.on_settings(SECOND, without_unsafe)
    balancer.on_settings(2 * SECOND, without_unsafe)
    (retired,) = (c for c in balancer.classes if c.retires_at)
    assert retired.retires_at == SECOND + RETIRE_AFTER_NS


@pytest.mark.parametrize("first", [0, 1])
def test_the_last_settings_received_are_in_force(first: int) -> None:
    balancer, _ = build(Settings(classes=(PURE,)))
    changes = [Settings(classes=(replace(PURE, deadline=d * SECOND),)) for d in (2, 3)]
    balancer.on_settings(SECOND, changes[first])
    balancer.on_settings(SECOND, changes[1 - first])
    (in_force,) = (c.spec for c in balancer.classes if not c.retires_at)
    assert in_force == changes[1 - first].classes[0]

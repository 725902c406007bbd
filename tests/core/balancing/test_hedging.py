"""Tests of when a hedge is sent, and how its request ends."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core import (
    Outcome,
    Settings,
)
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.routes.table import HedgingSpec
from tests.core.balancing.policy_harness import (
    HEDGED_POLICY,
    SETTINGS,
    PolicyHarness,
)


def test_a_hedge_goes_to_another_endpoint_and_a_cancelled_attempt_keeps_its_slot() -> None:
    harness = PolicyHarness()
    harness.request(0, 1, HEDGED_POLICY)
    harness.wake(49 * MS)
    assert len(harness.sends(1)) == 1
    harness.wake(50 * MS)
    first, second = harness.sends(1)
    assert first[2] != second[2]
    harness.end_attempt(60 * MS, 1, 1, Outcome.OK)
    assert harness.host.named("cancel") == [("cancel", 1, 0)]
    assert harness.balancer.endpoints[first[2]].in_flight == 1
    assert harness.balancer.in_flight == 1
    harness.end_attempt(60 * MS, 1, 0, Outcome.CANCELLED, 60 * MS)
    assert harness.balancer.in_flight == 0
    assert not harness.balancer.state.requests
    assert harness.final_responses(1) == 0


def test_the_first_attempt_and_its_hedge_may_both_respond() -> None:
    """Both respond at the same time: the second outcome comes before the cancel takes effect."""
    harness = PolicyHarness()
    harness.request(0, 1, HEDGED_POLICY)
    harness.wake(50 * MS)
    harness.end_attempt(60 * MS, 1, 0, Outcome.OK)
    harness.end_attempt(60 * MS, 1, 1, Outcome.OK)
    assert harness.balancer.in_flight == 0
    assert not harness.balancer.state.requests
    assert harness.policies.node_budget.active == 0


def test_a_failed_first_attempt_waits_for_its_hedge() -> None:
    harness = PolicyHarness()
    harness.request(0, 1, replace(HEDGED_POLICY, attempts=3))
    harness.wake(50 * MS)
    harness.end_attempt(60 * MS, 1, 0, Outcome.ERROR)
    assert len(harness.sends(1)) == 2
    assert not harness.final_responses(1)
    harness.end_attempt(70 * MS, 1, 1, Outcome.ERROR)
    assert len(harness.sends(1)) == 3  # then the policy retries as usual
    harness.end_attempt(80 * MS, 1, 2, Outcome.ERROR)
    assert harness.final_responses(1) == 1


def test_no_hedge_is_sent_without_a_free_slot_nor_ahead_of_queued_requests() -> None:
    harness = PolicyHarness(2)
    requests = 0
    while not harness.balancer.state.queued:
        requests += 1
        harness.request(0, requests, HEDGED_POLICY)
    sent = len(harness.host.named("send"))
    harness.wake(50 * MS)
    assert len(harness.host.named("send")) == sent


def test_no_hedge_is_sent_to_the_endpoint_of_the_first_attempt() -> None:
    harness = PolicyHarness(1)
    harness.request(0, 1, HEDGED_POLICY)
    harness.wake(50 * MS)
    assert len(harness.sends(1)) == 1


def test_hedges_stay_within_their_part_of_the_requests() -> None:
    harness = PolicyHarness(8)
    policy = replace(HEDGED_POLICY, hedging=HedgingSpec(50 * MS, 0.0, 0.05))
    now = 0
    for request_id in range(1, 401):
        now += 100 * MS
        harness.request(now, request_id, policy, remaining=2000 * MS)
        harness.wake(now + 50 * MS)
        for attempt in range(len(harness.sends(request_id))):
            harness.end_attempt(now + 60 * MS, request_id, attempt, Outcome.OK, 60 * MS)
    hedges = len(harness.host.named("send")) - 400
    assert 15 <= hedges <= 0.05 * 400 + 2


@pytest.mark.parametrize(
    "change", [replace(SETTINGS, hedging=False), replace(SETTINGS, can_cancel=False)]
)
def test_no_hedge_is_sent_if_the_settings_do_not_allow_it(change: Settings) -> None:
    harness = PolicyHarness(settings=change)
    harness.request(0, 1, HEDGED_POLICY)
    harness.wake(50 * MS)
    assert len(harness.sends(1)) == 1


def test_the_hedge_of_a_disconnected_client_is_cancelled() -> None:
    harness = PolicyHarness()
    harness.request(0, 1, HEDGED_POLICY)
    harness.wake(50 * MS)
    harness.balancer.on_client_disconnected(55 * MS, 1)
    assert harness.host.named("cancel") == [("cancel", 1, 1)]
    harness.end_attempt(55 * MS, 1, 1, Outcome.CANCELLED)
    assert harness.balancer.in_flight == 1
    harness.end_attempt(90 * MS, 1, 0, Outcome.OK)
    assert harness.balancer.in_flight == 0
    assert not harness.balancer.state.requests


def test_no_hedge_is_sent_until_the_percentile_is_known() -> None:
    harness = PolicyHarness()
    policy = replace(HEDGED_POLICY, hedging=HedgingSpec(0, 90.0, 1.0))
    for request_id in range(1, 101):
        harness.request(request_id * SECOND, request_id, policy)
        harness.wake(request_id * SECOND + 9 * MS)
        harness.end_attempt(request_id * SECOND + 10 * MS, request_id, 0, Outcome.OK, 10 * MS)
    # No hedge is sent while the percentile is unknown, or before it has passed.
    assert len(harness.host.named("send")) == 100
    harness.request(200 * SECOND, 200, policy)
    due = harness.balancer.state.requests[200].policy_state.due  # type: ignore[union-attr]
    assert 10 * MS <= due - 200 * SECOND <= 12 * MS

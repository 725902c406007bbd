"""When a second copy of a slow request is sent, and what becomes of both."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.core import (
    Outcome,
    Settings,
)
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.routes.table import HedgingSpec
from tests.core.balancing.policy_fleet import (
    COPY,
    SETTINGS,
    Fleet,
)


def test_a_hedge_goes_to_another_endpoint_and_the_loser_uses_its_slot_until_its_outcome() -> None:
    fleet = Fleet()
    fleet.request(0, 1, COPY)
    fleet.wake(49 * MS)
    assert len(fleet.sends(1)) == 1
    fleet.wake(50 * MS)
    first, second = fleet.sends(1)
    assert first[2] != second[2]
    fleet.end(60 * MS, 1, 1, Outcome.OK)
    assert fleet.host.named("cancel") == [("cancel", 1, 0)]
    assert fleet.balancer.endpoints[first[2]].in_flight == 1
    assert fleet.balancer.in_flight == 1
    fleet.end(60 * MS, 1, 0, Outcome.CANCELLED, 60 * MS)
    assert fleet.balancer.in_flight == 0
    assert not fleet.balancer.state.requests
    assert fleet.answers(1) == 0


def test_one_whose_hedge_has_answered_may_still_answer_itself() -> None:
    """Both in one turn: the second outcome comes before the cancel takes effect."""
    fleet = Fleet()
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    fleet.end(60 * MS, 1, 0, Outcome.OK)
    fleet.end(60 * MS, 1, 1, Outcome.OK)
    assert fleet.balancer.in_flight == 0
    assert not fleet.balancer.state.requests
    assert fleet.policies.node_budget.active == 0


def test_a_first_attempt_that_fails_waits_for_its_hedge() -> None:
    fleet = Fleet()
    fleet.request(0, 1, replace(COPY, attempts=3))
    fleet.wake(50 * MS)
    fleet.end(60 * MS, 1, 0, Outcome.ERROR)
    assert len(fleet.sends(1)) == 2
    assert not fleet.answers(1)
    fleet.end(70 * MS, 1, 1, Outcome.ERROR)
    assert len(fleet.sends(1)) == 3  # then the policy goes on as usual
    fleet.end(80 * MS, 1, 2, Outcome.ERROR)
    assert fleet.answers(1) == 1


def test_no_hedge_is_sent_without_a_free_slot_nor_ahead_of_queued_requests() -> None:
    fleet = Fleet(2)
    requests = 0
    while not fleet.balancer.state.queued:
        requests += 1
        fleet.request(0, requests, COPY)
    sent = len(fleet.host.named("send"))
    fleet.wake(50 * MS)
    assert len(fleet.host.named("send")) == sent


def test_no_hedge_is_sent_where_only_the_first_endpoint_is_free() -> None:
    fleet = Fleet(1)
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    assert len(fleet.sends(1)) == 1


def test_hedges_stay_within_their_part_of_requests() -> None:
    fleet = Fleet(8)
    policy = replace(COPY, hedging=HedgingSpec(50 * MS, 0.0, 0.05))
    now = 0
    for rid in range(1, 401):
        now += 100 * MS
        fleet.request(now, rid, policy, remaining=2000 * MS)
        fleet.wake(now + 50 * MS)
        for attempt in range(len(fleet.sends(rid))):
            fleet.end(now + 60 * MS, rid, attempt, Outcome.OK, 60 * MS)
    hedges = len(fleet.host.named("send")) - 400
    assert 15 <= hedges <= 0.05 * 400 + 2


@pytest.mark.parametrize(
    "change", [replace(SETTINGS, hedging=False), replace(SETTINGS, can_cancel=False)]
)
def test_no_hedge_where_the_settings_allow_none(change: Settings) -> None:
    fleet = Fleet(settings=change)
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    assert len(fleet.sends(1)) == 1


def test_a_client_that_leaves_with_both_in_flight_gets_its_hedge_cancelled() -> None:
    fleet = Fleet()
    fleet.request(0, 1, COPY)
    fleet.wake(50 * MS)
    fleet.balancer.on_client_disconnected(55 * MS, 1)
    assert fleet.host.named("cancel") == [("cancel", 1, 1)]
    fleet.end(55 * MS, 1, 1, Outcome.CANCELLED)
    assert fleet.balancer.in_flight == 1
    fleet.end(90 * MS, 1, 0, Outcome.OK)
    assert fleet.balancer.in_flight == 0
    assert not fleet.balancer.state.requests


def test_a_learned_delay_waits_until_enough_is_known() -> None:
    fleet = Fleet()
    policy = replace(COPY, hedging=HedgingSpec(0, 90.0, 1.0))
    for rid in range(1, 101):
        fleet.request(rid * SECOND, rid, policy)
        fleet.wake(rid * SECOND + 9 * MS)
        fleet.end(rid * SECOND + 10 * MS, rid, 0, Outcome.OK, 10 * MS)
    assert len(fleet.host.named("send")) == 100  # none while unknown, none before its time
    fleet.request(200 * SECOND, 200, policy)
    due = fleet.balancer.state.requests[200].policy_state.due  # type: ignore[union-attr]
    assert 10 * MS <= due - 200 * SECOND <= 12 * MS

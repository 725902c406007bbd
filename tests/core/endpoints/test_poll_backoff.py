"""Tests for polls of the list after failures: pauses, timeouts, and the load of a whole fleet."""

from __future__ import annotations

import math
from random import Random

import pytest

from loadbalancer.core import Settings
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints import poll_timing as timing
from loadbalancer.core.endpoints.poll_backoff import (
    FIRST_LIST_PAUSE_NS,
    FIRST_LIST_TIMEOUT_NS,
    FLEET_CALLS_PER_S,
    MIN_LINES_PER_S,
    OVERLOAD_FAILURES,
    QUICK_FAILURES,
    PollBackoff,
    PollFailure,
    classify_failure,
    fleet_pause_bound,
)
from simulation.caller_world import (
    FIRST_CALLS_WITHIN,
    CallCount,
    CallersPlan,
    CallerWorld,
    ListServicePlan,
)
from simulation.list_world.service import ServiceCount
from simulation.list_world.world import ListWorld
from tests.recording_host import PURE

ROWS = 200
FLEETS = [40, 200, 7800]


def new_backoff(nodes: int = 40, poll: bool = True) -> PollBackoff:
    return PollBackoff(Settings((PURE,), nodes=nodes, poll=poll), Random(1))


def overloaded(nodes: int, failure: PollFailure = PollFailure.REJECTED) -> PollBackoff:
    """The backoff of a node that has a list and suspects an overload of the service."""
    backoff = new_backoff(nodes)
    for _ in range(OVERLOAD_FAILURES):
        backoff.on_failure(failure, timing.ANSWER_TIMEOUT_NS, ROWS)
    assert backoff.suspects_overload(ROWS)
    return backoff


def test_a_failed_call_is_classified_by_how_it_ended() -> None:
    limit = timing.ANSWER_TIMEOUT_NS
    assert classify_failure(MS, limit, False, False) == PollFailure.UNREACHABLE
    assert classify_failure(MS, limit, True, False) == PollFailure.UNREACHABLE
    assert classify_failure(3 * SECOND, limit, True, False) == PollFailure.REJECTED
    assert classify_failure(limit, limit, True, False) == PollFailure.TIMED_OUT
    assert classify_failure(MS, limit, True, True) == PollFailure.UNUSABLE


def test_without_a_list_a_call_waits_for_the_services_own_answer() -> None:
    backoff = new_backoff()
    assert backoff.answer_timeout(0) == FIRST_LIST_TIMEOUT_NS
    assert backoff.answer_timeout(ROWS) == timing.ANSWER_TIMEOUT_NS
    backoff.on_failure(PollFailure.TIMED_OUT, FIRST_LIST_TIMEOUT_NS, 0)
    assert backoff.answer_timeout(0) == 2 * FIRST_LIST_TIMEOUT_NS
    # An agent answers at no cost.
    assert new_backoff(poll=False).answer_timeout(0) < timing.ANSWER_TIMEOUT_NS


@pytest.mark.parametrize("failure", PollFailure)
def test_with_a_list_the_first_failures_cause_no_backoff(failure: PollFailure) -> None:
    backoff = new_backoff(7800)
    for number in range(QUICK_FAILURES):
        assert backoff.answer_timeout(ROWS) == timing.ANSWER_TIMEOUT_NS
        pause = backoff.on_failure(failure, timing.ANSWER_TIMEOUT_NS, ROWS)
        if number < QUICK_FAILURES - 1 or failure in (
            PollFailure.UNREACHABLE,
            PollFailure.UNUSABLE,
        ):
            assert pause == 0


def test_unusable_answers_cause_no_backoff() -> None:
    backoff = new_backoff(7800)
    assert {backoff.on_failure(PollFailure.UNUSABLE, MS, ROWS) for _ in range(50)} == {0}
    assert backoff.answer_timeout(ROWS) == timing.ANSWER_TIMEOUT_NS


def test_a_suspected_overload_ends_only_with_an_answer_in_time() -> None:
    backoff = overloaded(40)
    assert backoff.answer_timeout(ROWS) == FIRST_LIST_TIMEOUT_NS
    backoff.on_answer(timing.EXPECTED_ANSWER_NS + 1)
    assert backoff.suspects_overload(ROWS)
    backoff.on_answer(timing.EXPECTED_ANSWER_NS)
    assert not backoff.suspects_overload(ROWS)
    assert backoff.answer_timeout(ROWS) == timing.ANSWER_TIMEOUT_NS


def test_no_overload_is_suspected_where_all_lists_could_be_answered_in_time() -> None:
    """With few nodes, a silent service is down and not overloaded, so polls stay frequent."""
    rows = MIN_LINES_PER_S * timing.EXPECTED_ANSWER_NS // SECOND // 5
    backoff = new_backoff(5)
    for _ in range(30):
        assert backoff.on_failure(PollFailure.TIMED_OUT, timing.ANSWER_TIMEOUT_NS, rows) == 0
        assert backoff.answer_timeout(rows) == timing.ANSWER_TIMEOUT_NS
        assert backoff.on_failure(PollFailure.UNREACHABLE, MS, rows) <= timing.MAX_PAUSE_NS


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("elapsed", [0, timing.CONNECT_TIMEOUT_NS])
def test_a_change_arrives_within_six_seconds_after_an_outage(nodes: int, elapsed: int) -> None:
    """The failed call began just before the service came back."""
    backoff = new_backoff(nodes)
    pauses = [backoff.on_failure(PollFailure.UNREACHABLE, elapsed, ROWS) for _ in range(300)]
    longest = max(timing.MAX_PAUSE_NS, *pauses)
    assert elapsed + longest + timing.EXPECTED_ANSWER_NS <= timing.MAX_NOTIFICATION_NS
    if nodes >= 200:  # the bound has grown, and still fits
        assert longest > 4 * timing.MAX_PAUSE_NS


@pytest.mark.parametrize("nodes", [40, 200])
def test_a_change_arrives_within_six_seconds_after_a_rejection_under_load(nodes: int) -> None:
    backoff = overloaded(nodes)
    pauses = [backoff.on_failure(PollFailure.REJECTED, 3 * SECOND, ROWS) for _ in range(300)]
    assert (
        max(timing.MAX_PAUSE_NS, *pauses) + timing.EXPECTED_ANSWER_NS <= timing.MAX_NOTIFICATION_NS
    )


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("rows", [0, ROWS])
def test_all_nodes_together_make_fewer_calls_than_the_service_can_answer(
    nodes: int, rows: int
) -> None:
    """Checks the mean rate of calls, and its peak if all begin at once: e times half the mean."""
    backoff = overloaded(nodes)
    pauses = [backoff.on_failure(PollFailure.REJECTED, 3 * SECOND, rows) for _ in range(4000)]
    usual_pause = (timing.MIN_PAUSE_NS + timing.MAX_PAUSE_NS) / 2
    mean = max(sum(pauses) / len(pauses), usual_pause)
    assert nodes * SECOND / mean <= 1.05 * FLEET_CALLS_PER_S
    assert math.e * nodes * SECOND / fleet_pause_bound(nodes) < MIN_LINES_PER_S
    assert max(pauses) <= max(FIRST_LIST_PAUSE_NS, fleet_pause_bound(nodes))


def test_agents_and_shared_lists_are_polled_without_backoff() -> None:
    agent, reader = new_backoff(7800, poll=False), new_backoff(7800)
    reader.use_list_readers()
    for backoff in (agent, reader):
        assert {backoff.on_failure(PollFailure.UNREACHABLE, MS, 0) for _ in range(20)} == {0}
    assert reader.probe_interval() == SECOND
    assert new_backoff(7800).probe_interval() > 60 * SECOND


# The load of all calls of a fleet, including those that are given up.


@pytest.mark.parametrize(
    "plan",
    [
        ListServicePlan(),
        ListServicePlan(max_queue_time=3 * SECOND),
        ListServicePlan(rejects_until=10 * SECOND),
        ListServicePlan(unreachable_until=10 * SECOND),
        ListServicePlan(lines_per_s=20),
    ],
)
@pytest.mark.parametrize(("nodes", "servers"), [(40, 100), (200, 270)])
def test_a_cold_fleet_gets_its_lists_as_fast_as_the_service_can_answer(
    plan: ListServicePlan, nodes: int, servers: int
) -> None:
    world = CallerWorld(CallersPlan(nodes, servers), plan)
    needed = nodes * servers / plan.lines_per_s
    returns_at_s = max(plan.rejects_until, plan.unreachable_until) / SECOND
    assert world.run(int((returns_at_s + 1.1 * needed) * SECOND))
    assert world.counts[CallCount.WASTED_LINES] == 0
    assert world.counts[CallCount.LINES] == nodes * servers


@pytest.mark.parametrize("rows", [0, 270])
def test_thousands_of_nodes_make_fewer_calls_than_the_service_can_answer(rows: int) -> None:
    """Holds from the second round on: each node's first call is not limited by the backoff."""
    plan = ListServicePlan()
    world = CallerWorld(CallersPlan(7800, 270, known_rows=rows), plan)
    world.run(150 * SECOND)
    settled = FIRST_CALLS_WITHIN // SECOND + 2 * 5 + 3
    assert max(world.calls_by_second[s] for s in range(settled, 150)) < MIN_LINES_PER_S
    # With a list, the calls of the rounds without backoff are given up, of each round as many as
    # the service had queued.
    max_wasted = (
        QUICK_FAILURES * plan.lines_per_s * (plan.max_queue_time / SECOND + 2) if rows else 0
    )
    assert world.counts[CallCount.WASTED_LINES] <= max_wasted


@pytest.mark.parametrize(("nodes", "lines"), [(40, 100), (200, 270)])
def test_a_fleet_with_an_old_list_gets_the_new_one_without_a_retry_storm(
    nodes: int, lines: int
) -> None:
    world = CallerWorld(CallersPlan(nodes, lines, known_rows=lines), ListServicePlan())
    wasted = QUICK_FAILURES * 200 * 7  # lines: of calls queued in the rounds without backoff
    assert world.run((nodes * lines + wasted) * SECOND // 200)
    assert world.counts[CallCount.WASTED_LINES] <= wasted


def test_a_fleet_gets_changes_in_time_where_the_service_can_answer_in_time() -> None:
    """All of 200 nodes have their change of one line six seconds after the service is back."""
    for plan in (
        ListServicePlan(rejects_until=20 * SECOND),
        ListServicePlan(unreachable_until=20 * SECOND),
    ):
        world = CallerWorld(CallersPlan(200, 1, known_rows=270), plan)
        assert world.run(20 * SECOND + timing.MAX_NOTIFICATION_NS)


def test_two_hundred_cold_nodes_with_balancers_get_the_list_in_time() -> None:
    """Each node polls for itself when its Balancer says so: 270 rows each, 200 lines a second."""
    world = ListWorld(200, 270, 1, 0)
    world.service.max_queue_time = 5 * SECOND
    world.start_all()
    needed = 270 * SECOND

    def all_ready() -> bool:
        return all(node.ready_at is not None for node in world.list_nodes.values())

    assert world.run(needed * 11 // 10, all_ready)
    assert world.service.counts[ServiceCount.COMPLETE_LISTS] == 200

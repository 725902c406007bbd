"""Calls for the list after failures: when each may begin, how long it waits, what all come to."""

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
    """The backoff of a node with a list that suspects an overload of the service."""
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


def test_without_a_list_a_call_waits_for_the_service_s_own_answer() -> None:
    backoff = new_backoff()
    assert backoff.answer_timeout(0) == FIRST_LIST_TIMEOUT_NS
    assert backoff.answer_timeout(ROWS) == timing.ANSWER_TIMEOUT_NS
    backoff.on_failure(PollFailure.TIMED_OUT, FIRST_LIST_TIMEOUT_NS, 0)
    assert backoff.answer_timeout(0) == 2 * FIRST_LIST_TIMEOUT_NS
    assert (
        new_backoff(poll=False).answer_timeout(0) < timing.ANSWER_TIMEOUT_NS
    )  # an agent answers at no cost


@pytest.mark.parametrize("failure", PollFailure)
def test_with_a_list_the_first_failures_change_nothing(failure: PollFailure) -> None:
    backoff = new_backoff(7800)
    for number in range(QUICK_FAILURES):
        assert backoff.answer_timeout(ROWS) == timing.ANSWER_TIMEOUT_NS
        pause = backoff.on_failure(failure, timing.ANSWER_TIMEOUT_NS, ROWS)
        if number < QUICK_FAILURES - 1 or failure in (
            PollFailure.UNREACHABLE,
            PollFailure.UNUSABLE,
        ):
            assert pause == 0


def test_after_unusable_answers_polls_go_on_at_the_usual_pace() -> None:
    backoff = new_backoff(7800)
    assert {backoff.on_failure(PollFailure.UNUSABLE, MS, ROWS) for _ in range(50)} == {0}
    assert backoff.answer_timeout(ROWS) == timing.ANSWER_TIMEOUT_NS


def test_the_suspicion_of_an_overload_ends_only_with_an_answer_in_time() -> None:
    backoff = overloaded(40)
    assert backoff.answer_timeout(ROWS) == FIRST_LIST_TIMEOUT_NS
    backoff.on_answer(timing.EXPECTED_ANSWER_NS + 1)
    assert backoff.suspects_overload(ROWS)
    backoff.on_answer(timing.EXPECTED_ANSWER_NS)
    assert not backoff.suspects_overload(ROWS)
    assert backoff.answer_timeout(ROWS) == timing.ANSWER_TIMEOUT_NS


def test_where_all_complete_lists_fit_into_the_time_no_overload_is_suspected() -> None:
    """With a few nodes a silent service is down, not overloaded, and polls stay quick."""
    rows = MIN_LINES_PER_S * timing.EXPECTED_ANSWER_NS // SECOND // 5
    backoff = new_backoff(5)
    for _ in range(30):
        assert backoff.on_failure(PollFailure.TIMED_OUT, timing.ANSWER_TIMEOUT_NS, rows) == 0
        assert backoff.answer_timeout(rows) == timing.ANSWER_TIMEOUT_NS
        assert backoff.on_failure(PollFailure.UNREACHABLE, MS, rows) <= timing.MAX_PAUSE_NS


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("took", [0, timing.CONNECT_TIMEOUT_NS])
def test_a_change_is_in_hand_six_seconds_after_an_outage(nodes: int, took: int) -> None:
    """The call that failed had begun just before the service came back."""
    backoff = new_backoff(nodes)
    pauses = [backoff.on_failure(PollFailure.UNREACHABLE, took, ROWS) for _ in range(300)]
    longest = max(timing.MAX_PAUSE_NS, *pauses)
    assert took + longest + timing.EXPECTED_ANSWER_NS <= timing.MAX_NOTIFICATION_NS
    if nodes >= 200:  # and no longer the shortest
        assert longest > 4 * timing.MAX_PAUSE_NS


@pytest.mark.parametrize("nodes", [40, 200])
def test_after_a_refusal_under_load_a_change_is_in_hand_six_seconds_later(nodes: int) -> None:
    backoff = overloaded(nodes)
    pauses = [backoff.on_failure(PollFailure.REJECTED, 3 * SECOND, ROWS) for _ in range(300)]
    assert (
        max(timing.MAX_PAUSE_NS, *pauses) + timing.EXPECTED_ANSWER_NS <= timing.MAX_NOTIFICATION_NS
    )


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("rows", [0, ROWS])
def test_all_nodes_together_poll_less_than_the_service_can_answer(nodes: int, rows: int) -> None:
    """The mean of their calls, and its peak where all begin at once: e times half of it."""
    backoff = overloaded(nodes)
    pauses = [backoff.on_failure(PollFailure.REJECTED, 3 * SECOND, rows) for _ in range(4000)]
    host = (timing.MIN_PAUSE_NS + timing.MAX_PAUSE_NS) / 2
    mean = max(sum(pauses) / len(pauses), host)
    assert nodes * SECOND / mean <= 1.05 * FLEET_CALLS_PER_S
    assert math.e * nodes * SECOND / fleet_pause_bound(nodes) < MIN_LINES_PER_S
    assert max(pauses) <= max(FIRST_LIST_PAUSE_NS, fleet_pause_bound(nodes))


def test_agents_and_shared_lists_are_polled_at_the_usual_pace() -> None:
    agent, reader = new_backoff(7800, poll=False), new_backoff(7800)
    reader.use_list_readers()
    for backoff in (agent, reader):
        assert {backoff.on_failure(PollFailure.UNREACHABLE, MS, 0) for _ in range(20)} == {0}
    assert reader.probe_interval() == SECOND
    assert new_backoff(7800).probe_interval() > 60 * SECOND


# ---- the sum of all calls, calls given up counted as work ------------------------


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
def test_a_cold_fleet_has_its_lists_as_soon_as_the_service_can_give_them(
    plan: ListServicePlan, nodes: int, servers: int
) -> None:
    world = CallerWorld(CallersPlan(nodes, servers), plan)
    needed = nodes * servers / plan.lines_per_s
    returns_at_s = max(plan.rejects_until, plan.unreachable_until) / SECOND
    assert world.run(int((returns_at_s + 1.1 * needed) * SECOND))
    assert world.counts[CallCount.WASTED_LINES] == 0
    assert world.counts[CallCount.LINES] == nodes * servers


@pytest.mark.parametrize("rows", [0, 270])
def test_a_fleet_of_thousands_stays_under_what_the_service_can_answer(rows: int) -> None:
    """From the second round on; the first call of each is the protocol's own."""
    plan = ListServicePlan()
    world = CallerWorld(CallersPlan(7800, 270, known_rows=rows), plan)
    world.run(150 * SECOND)
    settled = FIRST_CALLS_WITHIN // SECOND + 2 * 5 + 3
    assert max(world.calls_by_second[s] for s in range(settled, 150)) < MIN_LINES_PER_S
    # With a list, calls of the quick first rounds are given up: what the queue took in, once each.
    max_wasted = (
        QUICK_FAILURES * plan.lines_per_s * (plan.max_queue_time / SECOND + 2) if rows else 0
    )
    assert world.counts[CallCount.WASTED_LINES] <= max_wasted


@pytest.mark.parametrize(("nodes", "lines"), [(40, 100), (200, 270)])
def test_a_fleet_with_an_old_list_gets_the_new_one_without_a_storm(nodes: int, lines: int) -> None:
    world = CallerWorld(CallersPlan(nodes, lines, known_rows=lines), ListServicePlan())
    wasted = QUICK_FAILURES * 200 * 7  # lines: what the queue takes in during the quick rounds
    assert world.run((nodes * lines + wasted) * SECOND // 200)
    assert world.counts[CallCount.WASTED_LINES] <= wasted


def test_a_fleet_whose_changes_can_be_answered_in_time_has_them_in_time() -> None:
    """Six seconds after the service is back, at 200 nodes and a line each."""
    for plan in (
        ListServicePlan(rejects_until=20 * SECOND),
        ListServicePlan(unreachable_until=20 * SECOND),
    ):
        world = CallerWorld(CallersPlan(200, 1, known_rows=270), plan)
        assert world.run(20 * SECOND + timing.MAX_NOTIFICATION_NS)


def test_two_hundred_cold_nodes_of_the_world_all_have_the_list_in_time() -> None:
    """Whole nodes' own Balancers say when to poll; each for itself, 270 rows of 200 a second."""
    world = ListWorld(200, 270, 1, 0)
    world.service.max_queue_time = 5 * SECOND
    world.start_all()
    needed = 270 * SECOND

    def all_ready() -> bool:
        return all(node.ready_at is not None for node in world.list_nodes.values())

    assert world.run(needed * 11 // 10, all_ready)
    assert world.service.counts[ServiceCount.COMPLETE_LISTS] == 200

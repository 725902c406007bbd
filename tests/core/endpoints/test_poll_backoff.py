"""Calls for the list after failures: when each may begin, how long it waits, what all come to."""

from __future__ import annotations

import math
from random import Random

import pytest

from loadbalancer.core import Settings
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints import poll_timing as asking
from loadbalancer.core.endpoints.poll_backoff import (
    FLEET_CALLS,
    LEAST_LINES,
    PATIENT,
    QUICK,
    SUSPECT,
    WITHOUT_LIST,
    Caller,
    Failure,
    failure_of,
    fleet_bound,
)
from simulation.list_callers import CallWorld, ServicePlan
from simulation.list_world import ListWorld
from tests.recording_host import PURE

ROWS = 200
FLEETS = [40, 200, 7800]
SPREAD = 2500 * MS  # of first calls, as the settings' usual time for asking has it


def caller(nodes: int = 40, ask: bool = True) -> Caller:
    return Caller(Settings((PURE,), nodes=nodes, poll=ask), Random(1))


def loaded(nodes: int, failure: Failure = Failure.TURNED_AWAY) -> Caller:
    """One that holds a list and suspects the service's load."""
    c = caller(nodes)
    for _ in range(SUSPECT):
        c.failed(failure, asking.ANSWER, ROWS)
    assert c.suspects_load(ROWS)
    return c


def test_a_failed_call_says_how_it_ended() -> None:
    limit = asking.ANSWER
    assert failure_of(MS, limit, False, False) == Failure.UNREACHED
    assert failure_of(MS, limit, True, False) == Failure.UNREACHED
    assert failure_of(3 * SECOND, limit, True, False) == Failure.TURNED_AWAY
    assert failure_of(limit, limit, True, False) == Failure.GIVEN_UP
    assert failure_of(MS, limit, True, True) == Failure.UNUSABLE


def test_without_a_list_a_call_waits_for_the_service_s_own_word() -> None:
    c = caller()
    assert c.limit(0) == PATIENT and c.limit(ROWS) == asking.ANSWER
    c.failed(Failure.GIVEN_UP, PATIENT, 0)
    assert c.limit(0) == 2 * PATIENT
    assert caller(ask=False).limit(0) < asking.ANSWER  # an agent answers at no cost


@pytest.mark.parametrize("failure", Failure)
def test_with_a_list_the_first_failures_change_nothing(failure: Failure) -> None:
    c = caller(7800)
    for number in range(QUICK):
        assert c.limit(ROWS) == asking.ANSWER
        pause = c.failed(failure, asking.ANSWER, ROWS)
        if number < QUICK - 1 or failure in (Failure.UNREACHED, Failure.UNUSABLE):
            assert pause == 0


def test_answers_that_can_t_be_used_are_asked_for_again_as_ever() -> None:
    c = caller(7800)
    assert {c.failed(Failure.UNUSABLE, MS, ROWS) for _ in range(50)} == {0}
    assert c.limit(ROWS) == asking.ANSWER


def test_the_suspicion_of_load_ends_with_an_answer_in_time_alone() -> None:
    c = loaded(40)
    assert c.limit(ROWS) == PATIENT
    c.answered(asking.ANSWER_AIM + 1)
    assert c.suspects_load(ROWS)
    c.answered(asking.ANSWER_AIM)
    assert not c.suspects_load(ROWS) and c.limit(ROWS) == asking.ANSWER


def test_where_all_whole_lists_could_be_given_in_time_no_load_is_suspected() -> None:
    """A handful of nodes: what is silent there is silent, and the quick terms go on."""
    rows = LEAST_LINES * asking.ANSWER_AIM // SECOND // 5
    c = caller(5)
    for _ in range(30):
        assert c.failed(Failure.GIVEN_UP, asking.ANSWER, rows) == 0
        assert c.limit(rows) == asking.ANSWER
        assert c.failed(Failure.UNREACHED, MS, rows) <= asking.PAUSE_MOST


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("took", [0, asking.CONNECT])
def test_a_change_is_in_hand_six_seconds_after_an_outage(nodes: int, took: int) -> None:
    """The call that failed had begun just before the service came back."""
    c = caller(nodes)
    pauses = [c.failed(Failure.UNREACHED, took, ROWS) for _ in range(300)]
    longest = max(asking.PAUSE_MOST, *pauses)
    assert took + longest + asking.ANSWER_AIM <= asking.TOLD
    if nodes >= 200:  # and it is not the shortest any more
        assert longest > 4 * asking.PAUSE_MOST


@pytest.mark.parametrize("nodes", [40, 200])
def test_after_a_refusal_under_load_a_change_is_in_hand_six_seconds_later(nodes: int) -> None:
    c = loaded(nodes)
    pauses = [c.failed(Failure.TURNED_AWAY, 3 * SECOND, ROWS) for _ in range(300)]
    assert max(asking.PAUSE_MOST, *pauses) + asking.ANSWER_AIM <= asking.TOLD


@pytest.mark.parametrize("nodes", FLEETS)
@pytest.mark.parametrize("rows", [0, ROWS])
def test_all_nodes_together_ask_less_than_the_service_can_answer(nodes: int, rows: int) -> None:
    """The mean of what they ask, and its peak where all began at once: e times half of it."""
    c = loaded(nodes)
    pauses = [c.failed(Failure.TURNED_AWAY, 3 * SECOND, rows) for _ in range(4000)]
    host = (asking.PAUSE_LEAST + asking.PAUSE_MOST) / 2
    mean = max(sum(pauses) / len(pauses), host)
    assert nodes * SECOND / mean <= 1.05 * FLEET_CALLS
    assert math.e * nodes * SECOND / fleet_bound(nodes) < LEAST_LINES
    assert max(pauses) <= max(WITHOUT_LIST, fleet_bound(nodes))


def test_an_agent_and_a_few_readers_are_asked_as_ever() -> None:
    agent, reader = caller(7800, ask=False), caller(7800)
    reader.share()
    for c in (agent, reader):
        assert {c.failed(Failure.UNREACHED, MS, 0) for _ in range(20)} == {0}
    assert reader.probe_every() == SECOND and caller(7800).probe_every() > 60 * SECOND


# ---- the sum of all calls, calls given up counted as work ------------------------


@pytest.mark.parametrize(
    "plan",
    [
        ServicePlan(),
        ServicePlan(patience=3 * SECOND),
        ServicePlan(refuses_until=10 * SECOND),
        ServicePlan(silent_until=10 * SECOND),
        ServicePlan(lines=20),
    ],
)
@pytest.mark.parametrize(("nodes", "servers"), [(40, 100), (200, 270)])
def test_a_cold_fleet_has_its_lists_as_soon_as_the_service_can_give_them(
    plan: ServicePlan, nodes: int, servers: int
) -> None:
    world = CallWorld(nodes, 0, servers, plan, SPREAD)
    needed = nodes * servers / plan.lines
    back = max(plan.refuses_until, plan.silent_until) / SECOND
    assert world.run(int((back + 1.1 * needed) * SECOND))
    assert world.counts["lines for nobody"] == 0
    assert world.counts["lines"] == nodes * servers


@pytest.mark.parametrize("rows", [0, 270])
def test_a_fleet_of_thousands_stays_under_what_the_service_can_answer(rows: int) -> None:
    """From the second round on; the first call of each is the protocol's own."""
    plan = ServicePlan()
    world = CallWorld(7800, rows, 270, plan, SPREAD)
    world.run(150 * SECOND)
    settled = SPREAD // SECOND + 2 * 5 + 3
    assert max(world.calls[s] for s in range(settled, 150)) < LEAST_LINES
    # With a list, calls of the quick first rounds are given up: what the queue took in, once each.
    most = QUICK * plan.lines * (plan.patience / SECOND + 2) if rows else 0
    assert world.counts["lines for nobody"] <= most


@pytest.mark.parametrize(("nodes", "lines"), [(40, 100), (200, 270)])
def test_a_fleet_with_an_old_list_gets_the_new_one_without_a_storm(nodes: int, lines: int) -> None:
    world = CallWorld(nodes, lines, lines, ServicePlan(), SPREAD)
    wasted = QUICK * 200 * 7  # lines: what the queue takes in during the quick rounds
    assert world.run((nodes * lines + wasted) * SECOND // 200)
    assert world.counts["lines for nobody"] <= wasted


def test_a_fleet_whose_changes_can_be_answered_in_time_has_them_in_time() -> None:
    """Six seconds after the service is back, at 200 nodes and a line each."""
    for plan in (
        ServicePlan(refuses_until=20 * SECOND),
        ServicePlan(silent_until=20 * SECOND),
    ):
        world = CallWorld(200, 270, 1, plan, SPREAD)
        assert world.run(20 * SECOND + asking.TOLD)


def test_two_hundred_cold_nodes_of_the_world_all_have_the_list_in_time() -> None:
    """Whole nodes' own Balancers say when to ask; each for itself, 270 rows of 200 a second."""
    world = ListWorld(200, 270, 1, 0)
    world.service.patience = 5 * SECOND
    world.start_all()
    needed = 270 * SECOND
    ready = lambda: all(s.ready >= 0 for s in world.starters.values())  # noqa: E731
    assert world.run(needed * 11 // 10, ready)
    assert world.service.counts["whole lists"] == 200

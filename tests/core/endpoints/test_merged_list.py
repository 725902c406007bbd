"""Tests of the merged list: faulty sources can't empty the pool, real departures take effect."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest

from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence
from loadbalancer.core.endpoints.departure_limits import MergeLimits
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.server_report import Health
from tests.core.endpoints.reported_pool import (
    CONSUL,
    LIST,
    MINUTE,
    attempts_find,
    pool,
    pool_list,
    ready,
    report,
    server,
)


def test_reported_health_decides_the_state() -> None:
    reports = pool(10)
    reports[:3] = [
        report(1, Health.WARNING, weight=0.5),
        report(2, Health.CRITICAL),
        report(3, Health.MAINTENANCE),
    ]
    merged = pool_list(10, limits=MergeLimits(max_drained_fraction=1.0))
    merged.update(SECOND, "consul", reports, complete=True)
    first = server(merged, "s-1")
    assert (first.state, first.weight) == (State.READY, 0.5)
    for uid, reason in (("s-2", "critical"), ("s-3", "maintenance")):
        drained = server(merged, uid)
        assert (drained.state, drained.reason) == (State.DRAINING, reason)
    assert server(merged, "s-4").reports == (("consul", Health.PASSING, 0),)


def test_a_server_first_reported_critical_is_listed_once_it_passes() -> None:
    merged = MergedList([CONSUL])
    merged.update(0, "consul", pool(3, 2), complete=True)
    assert ready(merged) == {"s-1", "s-3"}
    assert server(merged, "s-2").reason == "never in: critical"
    merged.update(SECOND, "consul", pool(3), complete=True)
    assert len(ready(merged)) == 3


def test_a_deregistered_server_drains_and_is_then_removed() -> None:
    merged = pool_list(10)
    merged.update(SECOND, "consul", pool(9), complete=True)
    drained_server = server(merged, "s-10")
    assert (drained_server.state, drained_server.reason) == (State.DRAINING, "gone")
    assert merged.next_reassessment_at(SECOND) == 2 * SECOND
    merged.reassess(2 * SECOND)
    assert server(merged, "s-10").state == State.DRAINING
    merged.reassess(3 * SECOND)
    assert "s-10" not in {found.uid for found in merged.servers()}
    assert merged.next_reassessment_at(3 * SECOND) == 0


# Empty and missing answers.


def test_an_empty_list_is_ignored_until_repeated_for_a_minute() -> None:
    """A source has lost its data and answers with an empty list, while all servers are up."""
    merged = pool_list(10)
    for second in range(1, 60):
        merged.update(second * SECOND, "consul", [], complete=True)
        assert len(ready(merged)) == 10
    for second in range(60, 400):
        merged.update(second * SECOND, "consul", [], complete=True)
    assert ready(merged) == set()


def test_an_answer_with_servers_restarts_the_confirmation_of_an_empty_list() -> None:
    merged = pool_list(10)
    merged.update(SECOND, "consul", [], complete=True)
    merged.update(50 * SECOND, "consul", pool(10), complete=True)
    merged.update(MINUTE, "consul", [], complete=True)
    merged.update(2 * MINUTE - SECOND, "consul", [], complete=True)
    assert len(ready(merged)) == 10


def test_a_source_that_stops_reporting_removes_nothing() -> None:
    merged = pool_list(10)
    for minute in range(1, 100):
        assert not merged.reassess(minute * MINUTE)
    assert len(ready(merged)) == 10


# Limits on departures.


def test_deregistering_half_the_list_is_rate_limited() -> None:
    """Half of the servers are deregistered at once; a fifth of the pool may depart per window."""
    merged = pool_list(100)
    departed = []
    for second in range(1, 121):
        merged.update(second * SECOND, "consul", pool(50), complete=True)
        departed.append(100 - len(ready(merged)))
    assert departed[0] == 16  # a fifth of the pool that remains
    assert departed[29] <= 36
    assert departed[-1] == 50
    assert all(0 <= later - earlier <= 2 for earlier, later in pairwise(departed))


def test_critical_servers_that_answer_are_drained_up_to_a_quarter_of_the_pool() -> None:
    """Faulty health checks report half of the pool as critical, but all servers answer."""
    unhealthy = range(1, 51)
    merged = pool_list(100, attempts_find(dead=()))
    for second in range(1, 600):
        merged.update(second * SECOND, "consul", pool(100, *unhealthy), complete=True)
        assert len(ready(merged)) >= 75
    servers = merged.servers()
    retained = [
        s for s in servers if s.state == State.READY and "none confirmed by attempts" in s.reason
    ]
    assert len(retained) == 25


def test_critical_servers_that_attempts_find_dead_are_drained_at_once() -> None:
    unhealthy = range(1, 51)
    merged = pool_list(100, attempts_find(dead={f"s-{number}" for number in unhealthy}))
    merged.update(SECOND, "consul", pool(100, *unhealthy), complete=True)
    assert len(ready(merged)) == 50
    assert "confirmed by failed attempts" in server(merged, "s-1").reason


def test_servers_that_answer_attempts_are_drained_last() -> None:
    evidence = {"s-1": AttemptEvidence.ALIVE}
    merged = pool_list(10, lambda uid: evidence.get(uid, AttemptEvidence.UNKNOWN))
    merged.update(SECOND, "consul", pool(10, 1, 2, 3, health=Health.MAINTENANCE), complete=True)
    departed = {f"s-{number}" for number in range(1, 11)} - ready(merged)
    assert departed == {"s-2"}  # a fifth of nine


def test_replacing_an_unconfirmed_server_lets_another_be_drained_unconfirmed() -> None:
    """Of four servers one may be drained on its health checks alone.

    Another server replaces that one at its address, so it must no longer count toward the limit.
    The platform's list still reports it, so it is not dropped.
    """
    merged = MergedList([CONSUL, LIST], MergeLimits(max_drained_fraction=1.0))
    merged.update(0, "consul", pool(4), complete=True)
    merged.update(0, "list", [report(5, Health.CRITICAL), report(1)], complete=False)
    merged.update(SECOND, "consul", pool(4, 1), complete=True)
    assert len(ready(merged)) == 3
    replacement = report(9, port=9001)
    merged.update(2 * SECOND, "consul", [replacement, *pool(4, 1)], complete=True)
    assert "s-9" in ready(merged)
    merged.update(3 * SECOND, "consul", [replacement, *pool(4, 1, 2)], complete=True)
    assert server(merged, "s-2").state == State.DRAINING


@pytest.mark.parametrize("seed", range(40))
def test_no_sequence_of_answers_drains_more_than_the_limit(seed: int) -> None:
    """Two sources answer at random, and attempts find some servers dead.

    Departures that no attempt confirms stay within the limit of every window. Once the sources
    agree again, exactly the servers that they report are ready.
    """
    random = Random(seed)
    count = random.choice([1, 5, 40])
    dead: set[str] = set()
    limits = MergeLimits()

    def evidence_of(uid: str) -> AttemptEvidence:
        return AttemptEvidence.DEAD if uid in dead else AttemptEvidence.UNKNOWN

    merged = MergedList([CONSUL, LIST], limits, evidence_of)
    merged.update(0, "consul", pool(count), complete=True)
    now = 0
    departed_at: list[int] = []  # of servers that attempts did not find dead
    before = ready(merged)
    for _ in range(300):
        now += random.randrange(1, 3 * SECOND)
        reports = [
            report(number, random.choice(list(Health)[:4]))
            for number in range(1, count + 1)
            if random.random() < 0.7
        ]
        if random.random() < 0.1:
            reports = []
        if random.random() < 0.05:
            dead = {f"s-{random.randrange(1, count + 1)}"}
        source = random.choice(["consul", "list"])
        merged.update(now, source, reports, complete=random.random() < 0.5)
        after = ready(merged)
        departed_at += [now for uid in before - after if uid not in dead]
        before = after
        recent = [at for at in departed_at if now - at < limits.window_ns]
        assert len(recent) <= 2 * max(limits.max_drained_fraction * count, 1.0)
    dead = set()
    remaining = pool(count)[: count // 2 + 1]
    for _ in range(400):
        now += SECOND
        merged.update(now, "list", remaining, complete=True)
        merged.update(now, "consul", remaining, complete=True)
    assert ready(merged) == {one.uid for one in remaining}


# Flapping health checks.


def test_flapping_health_checks_change_the_list_a_bounded_number_of_times() -> None:
    """The checks of 30 out of 270 servers fail and pass alternately each second for an hour."""
    merged = pool_list(270)
    changes = merged.changes
    for second in range(1, 3601):
        flapping = range(1, 31) if second % 2 else ()
        merged.update(second * SECOND, "consul", pool(270, *flapping), complete=True)
    # Each may be drained and return a few times before it is held in its state.
    assert merged.changes - changes <= 30 * 4
    assert len(ready(merged)) >= 240
    for second in range(3601, 3800):
        merged.update(second * SECOND, "consul", pool(270), complete=True)
    assert len(ready(merged)) == 270


def test_a_flapping_server_that_stays_critical_is_drained() -> None:
    merged = pool_list(10)
    for second in range(1, 20):
        unhealthy = [1] if second % 2 else []
        merged.update(second * SECOND, "consul", pool(10, *unhealthy), complete=True)
    assert server(merged, "s-1").state in (State.READY, State.DRAINING)
    for second in range(20, 200):
        merged.update(second * SECOND, "consul", pool(10, 1), complete=True)
    assert server(merged, "s-1").state == State.DRAINING

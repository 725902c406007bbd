"""Substitutes for dead nodes in a partly lost zone: the choice of nodes, and its cost."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection
from dataclasses import replace
from functools import cache
from random import Random

import pytest

from benchmarks.assignment import make_services
from loadbalancer.core.assignment import zones
from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.assignment import Constraint
from loadbalancer.core.assignment.model import NodeSpec
from loadbalancer.core.assignment.substitutes import Substitutes, _AvailableNodes
from tests.core.assignment.fleets import (
    FULL_NODES,
    FULL_SERVICES,
    RULES,
    assert_consistent,
    full,
    full_assignment,
    names,
)

# Of the assignment with 1,650 dead nodes; a walk of the complete orders gives the same.
DIGEST_OF_1650_DEAD = "76c2f3f4f412f85db9954df91d269321"
# Of nodes in one assignment. The complete orders of a zone for 4,500 services have 8.8 million.
MAX_LOOKUPS = 200_000


def partly_lost(dead: int) -> frozenset[str]:
    """Return the living nodes when this many of one zone's 1,950 nodes are dead."""
    return names(FULL_NODES) - {f"east-1-{number:04}" for number in range(dead)}


class CountingNodes(frozenset[str]):
    """A set of living nodes that counts lookups."""

    lookups = 0

    def __contains__(self, name: object) -> bool:
        self.lookups += 1
        return super().__contains__(name)


@pytest.mark.parametrize("dead", [10, 40, 400, 1000, 1300, 1650, 1900, 1950])
def test_a_partly_lost_zone_costs_no_walk_of_the_zone_for_each_service(
    dead: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Most nodes of a zone are dead, or full with the services of the dead ones.

    If the zone were walked for each service, an assignment would take many seconds at a time when
    it is urgent.
    """
    counts = Counter[str]()
    mix64, with_rate = zones._mix64, _AvailableNodes.with_rate

    def counted_mix64(value: int) -> int:
        counts["ranked"] += 1
        return mix64(value)

    def counted_with_rate(nodes: _AvailableNodes, rate: float) -> list[str]:
        available = with_rate(nodes, rate)
        counts["listed"] += len(available)
        return available

    full()
    monkeypatch.setattr(zones, "_mix64", counted_mix64)
    monkeypatch.setattr(_AvailableNodes, "with_rate", counted_with_rate)
    living = CountingNodes(partly_lost(dead))
    full().assign(living)
    assert living.lookups + counts.total() < MAX_LOOKUPS, (living.lookups, counts)


def test_a_partly_lost_zone_uses_its_living_nodes_to_their_limits() -> None:
    """1,650 of a zone's 1,950 nodes are dead.

    The others must be used up to their own limits, and every service without capacity must be
    reported.
    """
    after = full().assign(partly_lost(1650))
    assert_consistent(after)
    assert after.digest == DIGEST_OF_1650_DEAD
    before = full_assignment()
    load: defaultdict[str, float] = defaultdict(float)
    short: dict[str, Constraint] = {}
    rates: dict[str, float] = {}
    for spec in FULL_SERVICES:
        assert [node for node in after.holders[spec.name] if not node.startswith("east-1")] == [
            node for node in before.holders[spec.name] if not node.startswith("east-1")
        ]
        wanted = sum(node.startswith("east-1") for node in before.holders[spec.name])
        living = [node for node in after.holders[spec.name] if node.startswith("east-1")]
        if len(living) < wanted:
            few = len(living) < RULES.min_per_zone
            short[spec.name] = Constraint.MINIMUM if few else Constraint.CAPACITY
        rates[spec.name] = spec.rate / 3 / wanted  # of one holder, if another zone is lost
        for node in living:
            load[node] += rates[spec.name]
    reported = {
        (unmet.service, unmet.constraint) for unmet in after.unmet if unmet.zone == "east-1"
    }
    assert reported == set(short.items())
    assert max(load.values()) <= RULES.node_rate * (1 + 1e-9)
    assert max(map(len, after.services_by_node.values())) <= FULL_NODES[0].capacity
    for service in short:  # no other node could take it
        others = load.keys() - set(after.holders[service])
        free = RULES.node_rate - min(load[node] for node in others)
        assert rates[service] > free - 1e-6
    assert len(load) == 300
    assert full().assign(names(FULL_NODES)) == before


def walked(
    search: Substitutes, service: str, count: int, rate: float, excluded: Collection[str]
) -> list[str]:
    """Choose substitutes by a walk of the service's complete order, as `choose` is defined."""
    chosen: list[str] = []
    for name in search._zone.order(service):
        eligible = name in search._living and name not in excluded
        if len(chosen) < count and eligible and search._loads.reserve(name, rate):
            chosen.append(name)
    return chosen


ONE_ZONE_NODES = [
    NodeSpec(f"node-{number:03}", "east", "east-1", 6 + number % 7, rate=100.0 + number % 5 * 90)
    for number in range(300)
]
ONE_ZONE_SERVICES = [
    replace(spec, region="east", zones=("east-1",)) for spec in make_services(250, 9000, 0.8)
]


@cache
def one_zone() -> Assigner:
    return Assigner(ONE_ZONE_NODES, ONE_ZONE_SERVICES, RULES)


@pytest.mark.parametrize("living", [1, 2, 5, 15, 25, 40, 60, 90, 200])
def test_substitutes_are_those_of_a_walk_of_the_full_order(
    living: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    random = Random(living)
    sets = [frozenset(random.sample(sorted(names(ONE_ZONE_NODES)), living)) for _ in range(2)]
    assignments = [one_zone().assign(alive) for alive in sets]
    monkeypatch.setattr(Substitutes, "choose", walked)
    assert assignments == [one_zone().assign(alive) for alive in sets]

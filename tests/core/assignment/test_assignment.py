"""Services to nodes: bounds, few moves, lost racks and zones, the same bytes everywhere."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter, defaultdict
from dataclasses import replace
from functools import cache
from math import ceil
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.assignment import ZONES, make_nodes, make_services
from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.assignment import Constraint, UnmetConstraint
from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec, ServiceSpec
from loadbalancer.core.assignment.rules import AssignmentRules
from tests.core.assignment.fleets import (
    FULL_NODES,
    FULL_SERVICES,
    RULES,
    SMALL_NODES,
    SMALL_SERVICES,
    assert_consistent,
    assign,
    full,
    full_assignment,
    moved,
    moved_slots,
    names,
    small,
)


def test_the_full_assignment_keeps_every_limit() -> None:
    """4,500 services on 7,800 nodes: each zone has enough holders, and no node is overloaded once
    any one zone is lost.
    """
    assignment = full_assignment()
    assert_consistent(assignment)
    zone_of = {node.name: node.zone for node in FULL_NODES}
    load: defaultdict[str, float] = defaultdict(float)
    for spec in FULL_SERVICES:
        holders = assignment.holders[spec.name]
        by_zone = Counter(zone_of[node] for node in holders)
        assert set(by_zone) == set(ZONES)
        assert min(by_zone.values()) >= RULES.min_per_zone
        for node in holders:
            load[node] += spec.rate / 3 / by_zone[zone_of[node]]  # any one of four zones lost
    assert max(load.values()) <= RULES.node_rate * (1 + 1e-9)
    slots = sum(map(len, assignment.holders.values()))
    assert max(map(len, assignment.services_by_node.values())) <= ceil(
        RULES.load_factor * slots / len(FULL_NODES)
    )
    crowded = {name for name, nodes in assignment.holders.items() if len(nodes) > 12}
    assert assignment.unmet == tuple(
        UnmetConstraint(name, "", Constraint.CONNECTIONS) for name in sorted(crowded)
    )
    assert 0 < len(crowded) < 100


def test_a_lost_rack_moves_its_own_services_and_nothing_else() -> None:
    """40 nodes die at once. Moving other services too would cost connections and cold caches all
    over the fleet; when the rack is back, every node must hold what it held before.
    """
    before = full_assignment()
    alive = names(FULL_NODES)
    rack = frozenset(f"east-1-{number:04}" for number in range(40))
    after = full().assign(alive - rack)
    assert_consistent(after)
    affected = {service for node in rack for service in before.services_by_node[node]}
    assert moved(before, after) == affected
    assert moved_slots(before, after) == sum(len(before.services_by_node[node]) for node in rack)
    assert not any(after.services_by_node[node] for node in rack)
    assert after.unmet == before.unmet  # each has a substitute in its zone
    assert full().assign(alive) == before


def test_a_lost_zone_moves_nothing_and_its_return_gives_the_earlier_bytes() -> None:
    """A quarter of the fleet dies. Moving its services would load the other zones at the worst
    time; their nodes hold enough of each service already.
    """
    before = full_assignment()
    lost = frozenset(node.name for node in FULL_NODES if node.zone == "west-1")
    after = full().assign(names(FULL_NODES) - lost)
    assert_consistent(after)
    for name, holders in before.holders.items():
        assert after.holders[name] == tuple(node for node in holders if node not in lost)
    assert sum(one.constraint is Constraint.MINIMUM for one in after.unmet) == len(FULL_SERVICES)
    again = full().assign(names(FULL_NODES))
    assert again == before
    assert again.digest == before.digest


def test_one_more_node_or_service_moves_little() -> None:
    nodes, services = make_nodes(500), make_services(1150, 218_000)
    before = assign(nodes, names(nodes), services, RULES)
    slots = sum(map(len, before.holders.values()))
    node = NodeSpec("east-1-new", "east", "east-1", 64)
    after = assign([*nodes, node], names([*nodes, node]), services, RULES)
    assert len(after.services_by_node["east-1-new"]) > 0
    assert moved_slots(before, after) < slots / 300
    service = replace(services[600], name="service-new")
    after = assign(nodes, names(nodes), [*services, service], RULES)
    assert moved_slots(before, after) < slots / 300


def test_one_more_service_moves_little_where_it_raises_the_bound_of_a_node() -> None:
    nodes = make_nodes(100)
    services = make_services(240, 1000)  # 480 places a zone: 6 a node with the factor, exactly
    alive = names(nodes)
    before = assign(nodes, alive, services, RULES)
    assert max(map(len, before.services_by_node.values())) == 6
    after = assign(nodes, alive, [*services, replace(services[-1], name="new")], RULES)
    assert moved_slots(before, after) < 20  # of 1920


sets_of_nodes = st.sets(st.sampled_from(sorted(names(SMALL_NODES))), max_size=20)


@given(sets_of_nodes, st.sampled_from(sorted(names(SMALL_NODES))))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_loss_moves_only_the_services_of_the_lost_node(dead: set[str], node: str) -> None:
    """One more node dies, whichever others are dead already."""
    alive = names(SMALL_NODES) - dead - {node}
    with_it = small().assign(alive | {node})
    without = small().assign(alive)
    assert_consistent(without)
    assert moved(with_it, without) <= set(with_it.services_by_node[node])
    assert moved_slots(with_it, without) == len(with_it.services_by_node[node])
    again = Assigner(SMALL_NODES, SMALL_SERVICES, RULES).assign(alive | {node})
    assert again == with_it


@given(st.randoms(use_true_random=False), sets_of_nodes)
@settings(max_examples=20, deadline=None, derandomize=True)
def test_inputs_in_any_order_give_the_same(random: Random, dead: set[str]) -> None:
    nodes, services = list(SMALL_NODES), list(SMALL_SERVICES)
    alive = sorted(names(SMALL_NODES) - dead)
    random.shuffle(nodes)
    random.shuffle(services)
    random.shuffle(alive)
    zones = [replace(spec, zones=tuple(reversed(spec.zones))) for spec in services]
    expected = small().assign(frozenset(alive))
    got = assign(nodes, alive, zones, RULES)
    assert got == expected
    assert list(got.holders) == list(expected.holders)
    assert list(got.services_by_node) == list(expected.services_by_node)


DIGEST = "f7c424c62355d80d42f41210f56c4229"  # of the program below: other hashing gives another
PROGRAM = """
from tests.core.assignment.fleets import RULES, SMALL_NODES, SMALL_SERVICES, assign, names
alive = names(SMALL_NODES) - {"east-1-0003", "west-2-0001"}
print(assign(SMALL_NODES, alive, SMALL_SERVICES, RULES).digest)
"""


@pytest.mark.parametrize("seed", ["0", "1", "77"])
def test_a_fresh_process_gives_the_same_bytes(seed: str) -> None:
    """Each control machine computes the assignment by itself. If it depended on the process's
    hash seed, two machines would give nodes different orders.
    """
    environment = {**os.environ, "PYTHONHASHSEED": seed}
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], env=environment, capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == DIGEST


def test_the_digest_tells_assignments_apart() -> None:
    alive = names(SMALL_NODES)
    digests = {small().assign(alive - {node}).digest for node in alive}
    used = {node for node in alive if small().assign(alive).services_by_node[node]}
    assert len(digests) == len(used) + (len(used) < len(alive))


def test_after_a_zone_is_lost_each_node_takes_its_share_of_the_others() -> None:
    """A zone is lost and its clients come in at the other zones: no node there is overloaded."""
    for lost in ZONES:
        dead = frozenset(node.name for node in SMALL_NODES if node.zone == lost)
        after = small().assign(names(SMALL_NODES) - dead)
        load: defaultdict[str, float] = defaultdict(float)
        for spec in SMALL_SERVICES:
            for zone in set(ZONES) - {lost}:
                holders = [node for node in after.holders[spec.name] if node.startswith(zone)]
                assert len(holders) >= RULES.min_per_zone
                for node in holders:
                    load[node] += spec.rate / 3 / len(holders)
        assert max(load.values()) <= RULES.node_rate


def test_a_service_of_one_zone_goes_to_the_other_zone_of_its_region() -> None:
    """The only zone of a service is lost, then its region, then everything."""
    services = [ServiceSpec("only", "west", ("west-2",), 100.0, 10), *SMALL_SERVICES]
    assigner = Assigner(SMALL_NODES, services, RULES)
    alive = names(SMALL_NODES)
    dead = frozenset(node for node in alive if node.startswith("west-2"))
    before, after = assigner.assign(alive), assigner.assign(alive - dead)
    assert {node[:6] for node in before.holders["only"]} == {"west-2"}
    assert {node[:6] for node in after.holders["only"]} == {"west-1"}
    assert len(after.holders["only"]) == len(before.holders["only"])
    assert UnmetConstraint("only", "", Constraint.ZONES) in after.unmet
    region = frozenset(node for node in alive if node.startswith("west"))
    far = assigner.assign(alive - region)
    assert {node[:6] for node in far.holders["only"]} == {"east-1", "east-2"}
    nobody = assigner.assign(())
    assert not any(nobody.holders.values())
    assert sum(one.constraint is Constraint.NO_NODE for one in nobody.unmet) == len(services)


def test_a_service_on_every_node_does_not_move() -> None:
    rules = AssignmentRules(on_every_node=frozenset({"service-0039"}))
    assigner = Assigner(SMALL_NODES, SMALL_SERVICES, rules)
    alive = names(SMALL_NODES)
    before = assigner.assign(alive)
    assert set(before.holders["service-0039"]) == alive
    assert UnmetConstraint("service-0039", "", Constraint.CONNECTIONS) in before.unmet
    after = assigner.assign(alive - {"east-2-0005"})
    assert set(after.holders["service-0039"]) == alive - {"east-2-0005"}
    assert after.unmet == before.unmet


def test_the_connections_rule_is_stated_by_service() -> None:
    service = ServiceSpec("s", "east", ZONES, 10.0, 10)
    alive = names(SMALL_NODES)
    assert assign(SMALL_NODES, alive, [service], RULES).unmet == ()
    strict = AssignmentRules(max_sharers_by_service={"s": 7})
    assert assign(SMALL_NODES, alive, [service], strict).unmet == (
        UnmetConstraint("s", "", Constraint.CONNECTIONS),
    )
    busy = replace(service, rate=3 * 4 * 200.0 + 1)  # 5 holders a zone
    assert len(assign(SMALL_NODES, alive, [busy], RULES).holders["s"]) == 20
    many = AssignmentRules(max_sharers_by_service={"s": 20})
    assert assign(SMALL_NODES, alive, [busy], many).unmet == ()


TIGHT_NODES = make_nodes(4, capacity=5)
TIGHT_SERVICES = make_services(9, 2000)  # 18 places a zone, of 20


@cache
def tight() -> Assigner:
    return Assigner(TIGHT_NODES, TIGHT_SERVICES, RULES)


@given(st.sets(st.sampled_from(sorted(names(TIGHT_NODES)))))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_no_node_exceeds_its_limits_and_missing_capacity_is_stated(dead: set[str]) -> None:
    after = tight().assign(names(TIGHT_NODES) - dead)
    assert_consistent(after)
    assert not any(after.services_by_node[node] for node in dead)
    zone_of = {node.name: node.zone for node in TIGHT_NODES}
    load: defaultdict[str, float] = defaultdict(float)
    short = set()
    for spec in TIGHT_SERVICES:
        by_zone = Counter(zone_of[node] for node in after.holders[spec.name])
        short |= {(spec.name, zone) for zone in ZONES if by_zone[zone] < 2}
        for node in after.holders[spec.name]:
            load[node] += spec.rate / 3 / max(by_zone[zone_of[node]], 2)
    assert max(load.values(), default=0) <= RULES.node_rate * (1 + 1e-9)
    assert max(map(len, after.services_by_node.values())) <= 5
    stated = {
        (one.service, one.zone) for one in after.unmet if one.constraint is Constraint.MINIMUM
    }
    assert stated == short


def test_rates_that_exceed_the_nodes_are_stated() -> None:
    """A service asks for more than all nodes together can take."""
    nodes = make_nodes(4)
    services = [ServiceSpec("big", "east", ZONES, 10_000.0, 100)]
    assignment = assign(nodes, names(nodes), services, RULES)
    assert set(assignment.holders["big"]) == names(nodes)
    assert {one.constraint for one in assignment.unmet} == {Constraint.RATE, Constraint.CONNECTIONS}


def test_an_unknown_living_node_is_refused() -> None:
    with pytest.raises(
        InvalidInputError, match="alive: unknown node 'x', must be a registered node"
    ):
        small().assign({"x"})

"""Services to nodes: bounds, few moves, lost racks and zones, the same bytes everywhere."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter, defaultdict
from collections.abc import Collection
from dataclasses import replace
from functools import cache
from math import ceil
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.assignment import ZONES, make_nodes, make_services
from loadbalancer.core.assignment import zones as scale_zones
from loadbalancer.core.assignment.assignment import (
    Assigner,
    Assignment,
    AssignmentRules,
    Constraint,
    UnmetConstraint,
    assign,
)
from loadbalancer.core.assignment.model import InvalidInputError, MachineSpec, NodeSpec, ServiceSpec
from loadbalancer.core.assignment.substitutes import Substitutes, _OpenNodes
from loadbalancer.core.assignment.validation import check_machine_known, check_machines

RULES = AssignmentRules()


def names(nodes: Collection[NodeSpec]) -> frozenset[str]:
    return frozenset(node.name for node in nodes)


def moved(before: Assignment, after: Assignment) -> set[str]:
    """The services whose holders differ."""
    return {name for name in before.holders if before.holders[name] != after.holders.get(name)}


def moved_slots(before: Assignment, after: Assignment) -> int:
    """Holders that have lost a service which they held before."""
    return sum(
        len(set(before.holders[name]) - set(after.holders.get(name, ()))) for name in before.holders
    )


def assert_consistent(assignment: Assignment) -> None:
    held = {
        (node, service)
        for node, services in assignment.services_by_node.items()
        for service in services
    }
    holders = {(node, service) for service, nodes in assignment.holders.items() for node in nodes}
    assert held == holders
    assert sum(map(len, assignment.holders.values())) == len(holders)


DIGEST_OF_1650_DEAD = "76c2f3f4f412f85db9954df91d269321"  # what a walk of whole orders gives too
MOST_LOOKED_AT = 200_000  # nodes, in an assignment; 4,500 whole orders of a zone have 8.8 million

FULL_NODES = make_nodes(1950)
FULL_SERVICES = make_services(4500, 850_000)


@cache
def full() -> Assigner:
    return Assigner(FULL_NODES, FULL_SERVICES, RULES)


@cache
def full_assignment() -> Assignment:
    return full().with_alive(names(FULL_NODES))


def test_the_full_deal_keeps_every_bound() -> None:
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
    most = max(map(len, assignment.services_by_node.values()))
    assert most <= ceil(RULES.load_factor * slots / len(FULL_NODES))
    crowded = {name for name, nodes in assignment.holders.items() if len(nodes) > 12}
    assert assignment.unmet == tuple(
        UnmetConstraint(name, "", Constraint.CONNECTIONS) for name in sorted(crowded)
    )
    assert 0 < len(crowded) < 100


def test_a_rack_lost_and_back_at_full_size_moves_what_it_held_and_nothing_else() -> None:
    before = full_assignment()
    alive = names(FULL_NODES)
    rack = frozenset(f"east-1-{number:04}" for number in range(40))
    after = full().with_alive(alive - rack)
    assert_consistent(after)
    held = {service for node in rack for service in before.services_by_node[node]}
    assert moved(before, after) == held
    assert moved_slots(before, after) == sum(len(before.services_by_node[node]) for node in rack)
    assert not any(after.services_by_node[node] for node in rack)
    assert after.unmet == before.unmet  # each has a substitute in its zone
    assert full().with_alive(alive) == before


def test_a_zone_lost_at_full_size_moves_nothing_and_back_gives_the_earlier_bytes() -> None:
    before = full_assignment()
    lost = frozenset(node.name for node in FULL_NODES if node.zone == "west-1")
    after = full().with_alive(names(FULL_NODES) - lost)
    assert_consistent(after)
    for name, holders in before.holders.items():
        assert after.holders[name] == tuple(node for node in holders if node not in lost)
    assert sum(one.constraint is Constraint.MINIMUM for one in after.unmet) == len(FULL_SERVICES)
    again = full().with_alive(names(FULL_NODES))
    assert again == before
    assert again.digest == before.digest


def partly_lost(dead: int) -> frozenset[str]:
    """The nodes that live while this many of one zone's 1,950 are dead."""
    return names(FULL_NODES) - {f"east-1-{number:04}" for number in range(dead)}


class CountingNodes(frozenset[str]):
    """Living nodes that count how often one of them is looked up."""

    lookups = 0

    def __contains__(self, name: object) -> bool:
        self.lookups += 1
        return super().__contains__(name)


@pytest.mark.parametrize("dead", [10, 40, 400, 1000, 1300, 1650, 1900, 1950])
def test_a_partly_lost_zone_costs_no_walk_of_the_zone_for_each_service(
    dead: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    counts = Counter[str]()
    rank, able = scale_zones._mix, _OpenNodes.able

    def counted_rank(value: int) -> int:
        counts["ranked"] += 1
        return rank(value)

    def counted_able(nodes: _OpenNodes, rate: float) -> list[str]:
        found = able(nodes, rate)
        counts["listed"] += len(found)
        return found

    full()
    monkeypatch.setattr(scale_zones, "_mix", counted_rank)
    monkeypatch.setattr(_OpenNodes, "able", counted_able)
    living = CountingNodes(partly_lost(dead))
    full().with_alive(living)
    assert living.lookups + counts.total() < MOST_LOOKED_AT, (living.lookups, counts)


def test_a_partly_lost_zone_uses_its_living_nodes_to_their_bounds_and_states_the_rest() -> None:
    after = full().with_alive(partly_lost(1650))
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
        rates[spec.name] = spec.rate / 3 / wanted  # of a holder, once another zone is lost
        for node in living:
            load[node] += rates[spec.name]
    stated = {(one.service, one.constraint) for one in after.unmet if one.zone == "east-1"}
    assert stated == set(short.items())
    assert max(load.values()) <= RULES.node_rate * (1 + 1e-9)
    assert max(map(len, after.services_by_node.values())) <= FULL_NODES[0].capacity
    for service in short:  # no node that could take it was left out
        others = load.keys() - set(after.holders[service])
        free = RULES.node_rate - min(load[node] for node in others)
        assert rates[service] > free - 1e-6
    assert len(load) == 300
    assert full().with_alive(names(FULL_NODES)) == before


def walked(
    search: Substitutes, service: str, count: int, rate: float, without: Collection[str]
) -> list[str]:
    """The definition of `Substitutes.choose`: a walk of the service's whole order."""
    chosen: list[str] = []
    for name in search._zone.order(service):
        able = name in search._living and name not in without
        if len(chosen) < count and able and search._loads.take(name, rate):
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
def test_substitutes_are_those_of_a_walk_of_the_whole_order(
    living: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    random = Random(living)
    sets = [frozenset(random.sample(sorted(names(ONE_ZONE_NODES)), living)) for _ in range(2)]
    got = [one_zone().with_alive(alive) for alive in sets]
    monkeypatch.setattr(Substitutes, "choose", walked)
    assert got == [one_zone().with_alive(alive) for alive in sets]


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


SMALL_NODES = make_nodes(12)
SMALL_SERVICES = make_services(40, 1000)  # one node of a zone has room for all of them


@cache
def small() -> Assigner:
    return Assigner(SMALL_NODES, SMALL_SERVICES, RULES)


sets_of_nodes = st.sets(st.sampled_from(sorted(names(SMALL_NODES))), max_size=20)


@given(sets_of_nodes, st.sampled_from(sorted(names(SMALL_NODES))))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_loss_moves_only_what_the_node_held_whoever_else_is_dead(
    dead: set[str], node: str
) -> None:
    alive = names(SMALL_NODES) - dead - {node}
    with_it = small().with_alive(alive | {node})
    without = small().with_alive(alive)
    assert_consistent(without)
    assert moved(with_it, without) <= set(with_it.services_by_node[node])
    assert moved_slots(with_it, without) == len(with_it.services_by_node[node])
    again = Assigner(SMALL_NODES, SMALL_SERVICES, RULES).with_alive(alive | {node})
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
    expected = small().with_alive(frozenset(alive))
    got = assign(nodes, alive, zones, RULES)
    assert got == expected
    assert list(got.holders) == list(expected.holders)
    assert list(got.services_by_node) == list(expected.services_by_node)


DIGEST = "f7c424c62355d80d42f41210f56c4229"  # of the program below: other hashing gives another
PROGRAM = """
from tests.core.assignment.test_assignment import RULES
from tests.core.assignment.test_assignment import SMALL_NODES
from tests.core.assignment.test_assignment import SMALL_SERVICES
from tests.core.assignment.test_assignment import assign
from tests.core.assignment.test_assignment import names
alive = names(SMALL_NODES) - {"east-1-0003", "west-2-0001"}
print(assign(SMALL_NODES, alive, SMALL_SERVICES, RULES).digest)
"""


@pytest.mark.parametrize("seed", ["0", "1", "77"])
def test_a_fresh_process_gives_the_same_bytes(seed: str) -> None:
    environment = {**os.environ, "PYTHONHASHSEED": seed}
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], env=environment, capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == DIGEST


def test_the_digest_tells_assignments_apart() -> None:
    alive = names(SMALL_NODES)
    digests = {small().with_alive(alive - {node}).digest for node in alive}
    held = {node for node in alive if small().with_alive(alive).services_by_node[node]}
    assert len(digests) == len(held) + (len(held) < len(alive))


def test_after_a_zone_is_lost_each_node_takes_its_share_of_the_others() -> None:
    for lost in ZONES:
        dead = frozenset(node.name for node in SMALL_NODES if node.zone == lost)
        after = small().with_alive(names(SMALL_NODES) - dead)
        load: defaultdict[str, float] = defaultdict(float)
        for spec in SMALL_SERVICES:
            for zone in set(ZONES) - {lost}:
                holders = [node for node in after.holders[spec.name] if node.startswith(zone)]
                assert len(holders) >= RULES.min_per_zone
                for node in holders:
                    load[node] += spec.rate / 3 / len(holders)
        assert max(load.values()) <= RULES.node_rate


def test_a_service_of_one_zone_goes_to_the_other_zone_of_its_region() -> None:
    services = [ServiceSpec("only", "west", ("west-2",), 100.0, 10), *SMALL_SERVICES]
    assigner = Assigner(SMALL_NODES, services, RULES)
    alive = names(SMALL_NODES)
    dead = frozenset(node for node in alive if node.startswith("west-2"))
    before, after = assigner.with_alive(alive), assigner.with_alive(alive - dead)
    assert {node[:6] for node in before.holders["only"]} == {"west-2"}
    assert {node[:6] for node in after.holders["only"]} == {"west-1"}
    assert len(after.holders["only"]) == len(before.holders["only"])
    assert UnmetConstraint("only", "", Constraint.ZONES) in after.unmet
    region = frozenset(node for node in alive if node.startswith("west"))
    far = assigner.with_alive(alive - region)
    assert {node[:6] for node in far.holders["only"]} == {"east-1", "east-2"}
    nobody = assigner.with_alive(())
    assert not any(nobody.holders.values())
    assert sum(one.constraint is Constraint.NO_NODE for one in nobody.unmet) == len(services)


def test_a_service_that_all_use_is_held_by_all_and_its_loss_moves_nothing_of_it() -> None:
    rules = AssignmentRules(on_every_node=frozenset({"service-0039"}))
    assigner = Assigner(SMALL_NODES, SMALL_SERVICES, rules)
    alive = names(SMALL_NODES)
    before = assigner.with_alive(alive)
    assert set(before.holders["service-0039"]) == alive
    assert UnmetConstraint("service-0039", "", Constraint.CONNECTIONS) in before.unmet
    after = assigner.with_alive(alive - {"east-2-0005"})
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
def test_no_node_is_over_its_own_bounds_and_what_finds_no_room_is_stated(dead: set[str]) -> None:
    after = tight().with_alive(names(TIGHT_NODES) - dead)
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


def test_rates_over_what_the_nodes_take_are_stated() -> None:
    nodes = make_nodes(4)
    services = [ServiceSpec("big", "east", ZONES, 10_000.0, 100)]
    assignment = assign(nodes, names(nodes), services, RULES)
    assert set(assignment.holders["big"]) == names(nodes)
    assert {one.constraint for one in assignment.unmet} == {Constraint.RATE, Constraint.CONNECTIONS}


NODE = NodeSpec("n", "east", "east-1", 4)
SERVICE = ServiceSpec("s", "east", ("east-1",), 1.0, 1)


@pytest.mark.parametrize(
    ("nodes", "services", "message"),
    [
        ([NODE, NODE], [SERVICE], "node 'n': named twice, a name must be unique"),
        ([NODE], [SERVICE, SERVICE], "service 's': named twice, a name must be unique"),
        ([], [SERVICE], "nodes: 0 of them, must be 1 to 20000"),
        ([NODE], [], "services: 0 of them, must be 1 to 20000"),
        ([replace(NODE, name="")], [SERVICE], "node '': a name must have 1 to 256 characters"),
        ([replace(NODE, zone="")], [SERVICE], "node 'n': region and zone must both be named"),
        (
            [NODE, replace(NODE, name="m", region="west")],
            [SERVICE],
            "node 'm': zone 'east-1' is in region 'east' by another, it can't be in 'west' too",
        ),
        ([replace(NODE, capacity=0)], [SERVICE], "node 'n': capacity is 0, must be 1 to 20000"),
        (
            [replace(NODE, rate=float("nan"))],
            [SERVICE],
            "node 'n': rate is nan, must be 0 to 1000000000",
        ),
        (
            [NODE],
            [replace(SERVICE, region="north")],
            "service 's': unknown region 'north', must be one of east",
        ),
        (
            [NODE],
            [replace(SERVICE, zones=("east-9",))],
            "service 's': unknown zone 'east-9', must be one of east-1",
        ),
        (
            [NODE],
            [replace(SERVICE, zones=())],
            "service 's': zones names none, it must name at least one",
        ),
        (
            [NODE],
            [replace(SERVICE, zones=("east-1", "east-1"))],
            "service 's': zones names one twice, each may be named once",
        ),
        (
            [NODE],
            [replace(SERVICE, rate=-1.0)],
            "service 's': rate is -1.0, must be 0 to 1000000000",
        ),
        (
            [NODE],
            [replace(SERVICE, backends=-1)],
            "service 's': backends is -1, must be 0 to 200000",
        ),
    ],
)
def test_tables_that_cannot_be_used_get_one_clear_line(
    nodes: list[NodeSpec], services: list[ServiceSpec], message: str
) -> None:
    with pytest.raises(InvalidInputError) as caught:
        Assigner(nodes, services, RULES)
    assert str(caught.value) == message


def test_an_unknown_living_node_is_refused() -> None:
    with pytest.raises(
        InvalidInputError, match="alive: unknown node 'x', must be a registered one"
    ):
        small().with_alive({"x"})


@pytest.mark.parametrize(
    ("machine", "message"),
    [
        (MachineSpec("m", "north", "east-1"), "machine 'm': unknown region 'north'"),
        (MachineSpec("m", "east", "east-9"), "machine 'm': unknown zone 'east-9'"),
        (MachineSpec("m", "east", "west-1"), "machine 'm': zone 'west-1' is in region 'west'"),
    ],
)
def test_machines_that_do_not_fit_are_refused(machine: MachineSpec, message: str) -> None:
    with pytest.raises(InvalidInputError) as caught:
        check_machines([machine], SMALL_NODES)
    assert str(caught.value).startswith(message)


def test_machines_of_one_name_or_of_none_are_refused() -> None:
    machine = MachineSpec("m", "east", "east-1")
    check_machines([machine], SMALL_NODES)
    with pytest.raises(InvalidInputError, match="machine 'm': named twice, a name must be unique"):
        check_machines([machine, machine], SMALL_NODES)
    with pytest.raises(InvalidInputError, match="unknown machine 'x', must be one of m"):
        check_machine_known("x", [machine])
    check_machine_known("m", [machine])


@pytest.mark.parametrize(
    ("rules", "message"),
    [
        ({"min_per_zone": 0}, "least_per_zone is 0"),
        ({"max_sharers": 0}, "most_sharers is 0"),
        ({"node_rate": 0.0}, "node_rate is 0.0"),
        ({"load_factor": 1.0}, "load_factor is 1.0"),
        ({"max_share": 0.0}, "largest_share is 0.0"),
        ({"max_sharers_by_service": {"s": 0}}, "sharers of 's' is 0"),
    ],
)
def test_rules_out_of_range_are_refused(rules: dict[str, float], message: str) -> None:
    with pytest.raises(InvalidInputError, match=f"rules: {message}, must be"):
        AssignmentRules(**rules)  # type: ignore[arg-type]

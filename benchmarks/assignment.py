"""Assignment at full size: what it costs, what the loss of nodes moves, how even it is.

    python -m benchmarks.assignment [--quick]

4,500 services on 7,800 nodes in 4 zones, 850,000 requests a second and 120,000 backends in all.
How both are spread over services is an assumption: Zipf's law, with exponents 0.8 and 1.2, and
once with one service that all nodes hold. Times are milliseconds on this machine, one process.
The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import time
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random
from statistics import mean, median
from typing import Any, NamedTuple, TypeVar

from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.assignment import Assignment, Constraint
from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.model import NodeSpec, ServiceSpec
from loadbalancer.core.assignment.rules import AssignmentRules

ZONES = ("east-1", "east-2", "west-1", "west-2")
ZONE_NODES = 1_950
SERVICES = 4_500
RATE = 850_000  # requests a second, of all services
BACKENDS = 120_000
CAPACITY = 64  # services that a node may hold
RACK_NODES = 40
SEED = 1
ASSIGNER_RUNS = 3
LOSS_RUNS = 200
NEXT_LOSS_RUNS = 50
PARTIAL_LOSSES = (10, 40, 400, 1000, 1300, 1500, 1650, 1900, 1950)  # dead nodes of a full zone
PARTIAL_LOSS_RUNS = 5
LARGE_LOSS = 1_650  # nodes of a full zone: most of it
T = TypeVar("T")


class Timed(NamedTuple):
    """An assignment and the milliseconds that it took."""

    ms: float
    assignment: Assignment


@dataclass(frozen=True, slots=True)
class Difference:
    """What one assignment changes against another."""

    services: int  # whose holders differ
    nodes: int  # whose services differ
    lost_pairs: int  # pairs of a node and a service that it holds no more


@dataclass(frozen=True, slots=True)
class Scale:
    """The size of a run."""

    zone_nodes: int
    services: int
    loss_runs: int

    @property
    def rate(self) -> float:
        """Requests a second of all services, in proportion to the nodes."""
        return RATE * self.zone_nodes / ZONE_NODES

    def part_of_zone(self, nodes: int) -> int:
        """So many nodes of a full zone, in proportion to this one."""
        return round(nodes * self.zone_nodes / ZONE_NODES)


FULL = Scale(ZONE_NODES, SERVICES, LOSS_RUNS)
QUICK = Scale(zone_nodes=100, services=230, loss_runs=20)


# ---- nodes and services ---------------------------------------------------------


def make_nodes(zone_nodes: int, capacity: int = CAPACITY) -> list[NodeSpec]:
    """So many nodes in each zone; `capacity`: services that each may hold."""
    return [
        NodeSpec(f"{zone}-{number:04}", zone[:4], zone, capacity)
        for zone in ZONES
        for number in range(zone_nodes)
    ]


def make_services(count: int, rate: float, exponent: float = 1.2) -> list[ServiceSpec]:
    """Services that share `rate` requests a second, and its part of all backends, by Zipf's law."""
    weights = [1 / (rank + 1) ** exponent for rank in range(count)]
    total = sum(weights)
    return [
        ServiceSpec(
            f"service-{rank:04}",
            ("east", "west")[rank % 2],
            ZONES,
            rate * weight / total,
            max(1, round(BACKENDS * rate / RATE * weight / total)),
        )
        for rank, weight in enumerate(weights)
    ]


def first_nodes(count: int) -> frozenset[str]:
    """The names of the first nodes of the first zone."""
    return frozenset(f"{ZONES[0]}-{number:04}" for number in range(count))


def rack(scale: Scale) -> frozenset[str]:
    """The nodes of one rack; of half a zone where that is smaller."""
    return first_nodes(min(RACK_NODES, scale.zone_nodes // 2))


# ---- measuring -------------------------------------------------------------------


def elapsed_ms(work: Callable[[], object]) -> float:
    """Milliseconds of one call."""
    return timed(work)[0]


def timed(work: Callable[[], T]) -> tuple[float, T]:
    """Milliseconds of one call, and its result."""
    start = time.perf_counter()
    result = work()
    return round((time.perf_counter() - start) * 1000, 1), result


def timed_assignment(assigner: Assigner, alive: frozenset[str]) -> Timed:
    """The assignment to these living nodes, and the time it took."""
    return Timed(*timed(lambda: assigner.assign(alive)))


def retained_bytes(work: Callable[[], object]) -> int:
    """Bytes that the result of a call occupies, of what the call has allocated."""
    tracemalloc.start()
    result = work()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert result is not None
    return size


def difference(before: Assignment, after: Assignment) -> Difference:
    """What a change of living nodes or of the tables has changed."""
    services = [name for name in before.holders if before.holders[name] != after.holders[name]]
    nodes = [
        name
        for name in before.services_by_node
        if before.services_by_node[name] != after.services_by_node.get(name)
    ]
    lost_pairs = sum(len(set(before.holders[name]) - set(after.holders[name])) for name in services)
    return Difference(len(services), len(nodes), lost_pairs)


def spread_of(assignment: Assignment) -> dict[str, float]:
    """How evenly services and nodes are spread over each other."""
    services_by_node = [len(services) for services in assignment.services_by_node.values()]
    holders = [len(nodes) for nodes in assignment.holders.values()]
    exceeded = [unmet for unmet in assignment.unmet if unmet.constraint is Constraint.CONNECTIONS]
    return {
        "services_a_node_mean": round(mean(services_by_node), 2),
        "services_a_node_most": max(services_by_node),
        "sharers_mean": round(mean(holders), 2),
        "sharers_most": max(holders),
        "over_their_connections": len(exceeded),
        "unmet": len(assignment.unmet),
    }


# ---- nodes that die --------------------------------------------------------------


def losses(assigner: Assigner, before: Assignment, scale: Scale) -> dict[str, Any]:
    """The loss of one node, drawn many times, of a rack, of half a zone, and of a zone."""
    random = Random(SEED)
    alive = frozenset(assigner.nodes)
    names = sorted(alive)
    lost_sets: dict[str, list[frozenset[str]]] = {
        "node": [frozenset({random.choice(names)}) for _ in range(scale.loss_runs)],
        "rack of 40": [rack(scale)],
        "half a zone": [first_nodes(scale.zone_nodes // 2)],
        "zone": [first_nodes(scale.zone_nodes)],
    }
    result = {
        name: loss_figures(before, [timed_assignment(assigner, alive - lost) for lost in sets])
        for name, sets in lost_sets.items()
    }
    assert assigner.assign(alive) == before
    return result


def loss_figures(before: Assignment, after: Sequence[Timed]) -> dict[str, float]:
    """Times and changes of the assignments that followed losses of one kind."""
    differences = [difference(before, one.assignment) for one in after]
    max_services = max(
        len(services) for one in after for services in one.assignment.services_by_node.values()
    )
    return {
        "ms": median(one.ms for one in after),
        "ms_most": max(one.ms for one in after),
        "nodes_mean": round(mean(one.nodes for one in differences), 1),
        "nodes_most": max(one.nodes for one in differences),
        "services_most": max(one.services for one in differences),
        "held_most": max_services,
        "unmet_more": max(len(one.assignment.unmet) for one in after) - len(before.unmet),
    }


def partial_losses(assigner: Assigner, scale: Scale) -> dict[str, Any]:
    """The time of one assignment by the number of dead nodes of a zone."""
    alive = frozenset(assigner.nodes)
    result: dict[str, Any] = {}
    for dead in map(scale.part_of_zone, PARTIAL_LOSSES):
        living = alive - first_nodes(dead)
        runs = [timed_assignment(assigner, living) for _ in range(PARTIAL_LOSS_RUNS)]
        result[f"{dead} dead"] = {
            "ms": median(run.ms for run in runs),
            "ms_most": max(run.ms for run in runs),
            "unmet": len(runs[0].assignment.unmet),
        }
    return result


def next_loss(assigner: Assigner, scale: Scale) -> dict[str, int]:
    """With half a zone dead, one more: services moved that this node did not hold."""
    random = Random(SEED)
    half = scale.zone_nodes // 2
    runs = min(scale.loss_runs, NEXT_LOSS_RUNS)
    alive = frozenset(assigner.nodes) - first_nodes(half)
    before = assigner.assign(alive)
    others = 0
    for _ in range(runs):
        node = f"{ZONES[0]}-{random.randrange(half, scale.zone_nodes):04}"
        after = assigner.assign(alive - {node})
        moved = {name for name in before.holders if before.holders[name] != after.holders[name]}
        others += len(moved - set(before.services_by_node[node]))
    return {"losses": runs, "services_moved_that_it_did_not_hold": others}


# ---- tables that change ------------------------------------------------------------


def table_changes(assigner: Assigner, before: Assignment) -> dict[str, int]:
    """The pairs of node and service that a change of the tables moves, and all pairs."""
    nodes, services = list(assigner.nodes.values()), list(assigner.services.values())
    largest = services[0]
    tables = {
        "a node more": ([*nodes, replace(nodes[0], name="new")], services),
        "a service more": (nodes, [*services, replace(services[-1], name="new")]),
        "largest doubled": (nodes, [replace(largest, rate=2 * largest.rate), *services[1:]]),
        "all rates 3% up": (nodes, [replace(one, rate=1.03 * one.rate) for one in services]),
    }
    result = {"pairs": sum(map(len, before.holders.values()))}
    for name, (changed_nodes, changed_services) in tables.items():
        changed = Assigner(changed_nodes, changed_services, assigner.rules)
        after = changed.assign(frozenset(changed.nodes))
        result[name] = difference(before, after).lost_pairs
    return result


# ---- handover ------------------------------------------------------------------------


def handovers(assigner: Assigner, scale: Scale) -> dict[str, Any]:
    """A rack, most of a zone and a zone that are lost and return, as the handover sees it."""
    lost_sets = {
        "rack of 40": rack(scale),
        "most of a zone": first_nodes(scale.part_of_zone(LARGE_LOSS)),
        "zone": first_nodes(scale.zone_nodes),
    }
    return {name: handover_figures(assigner, lost) for name, lost in lost_sets.items()}


def handover_figures(assigner: Assigner, lost: frozenset[str]) -> dict[str, float]:
    """Milliseconds of each step until the nodes that were lost serve again, and moves under way."""
    alive = frozenset(assigner.nodes)
    full, without = assigner.assign(alive), assigner.assign(alive - lost)
    handover = Handover(assigner.nodes.values())

    def lose_nodes() -> None:
        for node in lost:
            handover.on_dead(node)
        handover.on_assignment(without)

    first_ms = elapsed_ms(lambda: handover.on_assignment(full))
    reports_ms = elapsed_ms(lambda: report(handover, alive, full))
    loss_ms = elapsed_ms(lose_nodes)
    report(handover, alive - lost, without)
    return_ms = elapsed_ms(lambda: handover.on_assignment(full))
    moving = handover.pending_moves()
    served_ms = elapsed_ms(lambda: report(handover, lost, full))
    return {
        "first_ms": first_ms,
        "all_report_ms": reports_ms,
        "gone_ms": loss_ms,
        "back_ms": return_ms,
        "kept_on": moving,
        "cold_ones_serve_ms": served_ms,
        "kept_on_then": handover.pending_moves(),
    }


def report(handover: Handover, nodes: frozenset[str], assignment: Assignment) -> None:
    """Let each of these nodes report that it serves what it is assigned."""
    for node in nodes:
        handover.on_report(node, assignment.services_by_node[node], handover.generation)


# ---- one case --------------------------------------------------------------------------


def case_figures(
    scale: Scale, services: list[ServiceSpec], rules: AssignmentRules
) -> dict[str, Any]:
    """All figures of one distribution of rates."""
    nodes = make_nodes(scale.zone_nodes)
    alive = frozenset(node.name for node in nodes)
    runs = [timed(lambda: Assigner(nodes, services, rules)) for _ in range(ASSIGNER_RUNS)]
    _, assigner = runs[-1]
    first_ms, before = timed_assignment(assigner, alive)
    one_dead = alive - {nodes[0].name}
    return {
        "deal_ms": median(ms for ms, _ in runs),
        "with_all_ms": first_ms,
        "deal_bytes": retained_bytes(lambda: Assigner(nodes, services, rules)),
        "assignment_bytes": retained_bytes(lambda: assigner.assign(one_dead)),
        "spread": spread_of(before),
        "lost": losses(assigner, before, scale),
        "partly_lost": partial_losses(assigner, scale),
        "one_more_lost": next_loss(assigner, scale),
        "changed": table_changes(assigner, before),
        "hand_over": handovers(assigner, scale),
    }


def cases(scale: Scale) -> Mapping[str, tuple[list[ServiceSpec], AssignmentRules]]:
    """The services and rules of each case, by its name."""
    plain = AssignmentRules()
    last_service = f"service-{scale.services - 1:04}"
    everywhere = AssignmentRules(on_every_node=frozenset({last_service}))
    return {
        "zipf 0.8": (make_services(scale.services, scale.rate, 0.8), plain),
        "zipf 1.2": (make_services(scale.services, scale.rate, 1.2), plain),
        "zipf 1.2, one held by all": (make_services(scale.services, scale.rate, 1.2), everywhere),
    }


def main() -> None:
    """Run all cases, and print each and then all as JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="400 nodes and 230 services")
    scale = QUICK if parser.parse_args().quick else FULL
    result: dict[str, Any] = {
        "benchmark": "assignment",
        "nodes": scale.zone_nodes * len(ZONES),
        "services": scale.services,
        "node_rate": AssignmentRules().node_rate,
    }
    for name, (services, rules) in cases(scale).items():
        result[name] = case_figures(scale, services, rules)
        print(name, json.dumps(result[name], indent=1))
    print(json.dumps(result))


if __name__ == "__main__":
    main()

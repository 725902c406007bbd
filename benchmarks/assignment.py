"""Assignment at full size: what the deal costs, what a loss moves, how even it is.

    python -m benchmarks.assignment [--quick]

4,500 services on 7,800 nodes in 4 zones, 850,000 requests a second and 120,000 backends in all.
How both are spread over services is an assumption: Zipf's law, with exponents 0.8 and 1.2, and
once with one service that all nodes hold. Times are of this machine, one process.
"""

from __future__ import annotations

import argparse
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from random import Random
from statistics import mean, median
from typing import Any, TypeVar

from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.assignment import Assignment
from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.model import NodeSpec, ServiceSpec
from loadbalancer.core.assignment.rules import AssignmentRules

ZONES = ("east-1", "east-2", "west-1", "west-2")
RATE = 850_000
BACKENDS = 120_000
CAPACITY = 64
SEED = 1
PARTLY_LOST = (10, 40, 400, 1000, 1300, 1500, 1650, 1900, 1950)  # dead nodes, of a zone of 1,950
PARTLY_LOST_RUNS = 5
T = TypeVar("T")


def make_nodes(a_zone: int, capacity: int = CAPACITY) -> list[NodeSpec]:
    return [
        NodeSpec(f"{zone}-{number:04}", zone[:4], zone, capacity)
        for zone in ZONES
        for number in range(a_zone)
    ]


def make_services(count: int, rate: float, exponent: float = 1.2) -> list[ServiceSpec]:
    """Services that share this rate, and its part of all backends, by Zipf's law."""
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


def timed(work: Callable[[], T]) -> tuple[float, T]:
    """Milliseconds, and what came out."""
    start = time.perf_counter()
    done = work()
    return round((time.perf_counter() - start) * 1000, 1), done


def kept_bytes(work: Callable[[], object]) -> int:
    """Bytes that the result takes, of what the work itself has allocated."""
    tracemalloc.start()
    kept = work()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return size


def difference(before: Assignment, after: Assignment) -> dict[str, int]:
    """Services and nodes that a change touched, and holders that lost a service by it."""
    services = [name for name in before.holders if before.holders[name] != after.holders[name]]
    nodes = [
        name
        for name in before.services_by_node
        if before.services_by_node[name] != after.services_by_node.get(name)
    ]
    left = sum(len(set(before.holders[name]) - set(after.holders[name])) for name in services)
    return {"services": len(services), "nodes": len(nodes), "left": left}


def spread_of(assignment: Assignment) -> dict[str, float]:
    held = [len(services) for services in assignment.services_by_node.values()]
    sharers = [len(nodes) for nodes in assignment.holders.values()]
    return {
        "services_a_node_mean": round(mean(held), 2),
        "services_a_node_most": max(held),
        "sharers_mean": round(mean(sharers), 2),
        "sharers_most": max(sharers),
        "over_their_connections": sum(
            one.constraint.name == "CONNECTIONS" for one in assignment.unmet
        ),
        "unmet": len(assignment.unmet),
    }


def losses(assigner: Assigner, before: Assignment, a_zone: int, runs: int) -> dict[str, Any]:
    random = Random(SEED)
    alive = frozenset(assigner.nodes)
    sets = {
        "node": [{random.choice(sorted(alive))} for _ in range(runs)],
        "rack of 40": [{f"east-1-{n:04}" for n in range(min(40, a_zone // 2))}],
        "half a zone": [{f"east-1-{n:04}" for n in range(a_zone // 2)}],
        "zone": [{f"east-1-{n:04}" for n in range(a_zone)}],
    }
    result: dict[str, Any] = {}
    for name, losses_of in sets.items():
        found = [timed(lambda dead=dead: assigner.with_alive(alive - dead)) for dead in losses_of]  # type: ignore[misc]
        touched = [difference(before, after) for _, after in found]
        result[name] = {
            "ms": median(ms for ms, _ in found),
            "ms_most": max(ms for ms, _ in found),
            "nodes_mean": round(mean(one["nodes"] for one in touched), 1),
            "nodes_most": max(one["nodes"] for one in touched),
            "services_most": max(one["services"] for one in touched),
            "held_most": max(max(map(len, after.services_by_node.values())) for _, after in found),
            "unmet_more": max(len(after.unmet) for _, after in found) - len(before.unmet),
        }
    back = assigner.with_alive(alive)
    assert back == before
    return result


def partly_lost(assigner: Assigner, a_zone: int) -> dict[str, Any]:
    """The time of one assignment while this many nodes of a zone are dead."""
    alive = frozenset(assigner.nodes)
    result: dict[str, Any] = {}
    for share in PARTLY_LOST:
        dead = round(share * a_zone / 1950)
        living = alive - {f"east-1-{n:04}" for n in range(dead)}
        found = [
            timed(lambda living=living: assigner.with_alive(living))  # type: ignore[misc]
            for _ in range(PARTLY_LOST_RUNS)
        ]
        result[f"{dead} dead"] = {
            "ms": median(ms for ms, _ in found),
            "ms_most": max(ms for ms, _ in found),
            "unmet": len(found[0][1].unmet),
        }
    return result


def next_loss(assigner: Assigner, a_zone: int, runs: int) -> dict[str, int]:
    """With half a zone dead, one more: services moved that it did not hold."""
    random = Random(SEED)
    alive = frozenset(assigner.nodes) - {f"east-1-{n:04}" for n in range(a_zone // 2)}
    before = assigner.with_alive(alive)
    others = 0
    for _ in range(runs):
        node = f"east-1-{random.randrange(a_zone // 2, a_zone):04}"
        after = assigner.with_alive(alive - {node})
        moved = {name for name in before.holders if before.holders[name] != after.holders[name]}
        others += len(moved - set(before.services_by_node[node]))
    return {"losses": runs, "services_moved_that_it_did_not_hold": others}


def changes(assigner: Assigner, before: Assignment) -> dict[str, Any]:
    """What a change of the tables moves, of all pairs of node and service."""
    nodes, services = list(assigner.nodes.values()), list(assigner.services.values())
    rules = assigner.rules
    top = services[0]
    cases = {
        "a node more": ([*nodes, replace(nodes[0], name="new")], services),
        "a service more": (nodes, [*services, replace(services[-1], name="new")]),
        "largest doubled": (nodes, [replace(top, rate=2 * top.rate), *services[1:]]),
        "all rates 3% up": (nodes, [replace(one, rate=1.03 * one.rate) for one in services]),
    }
    result: dict[str, Any] = {"pairs": sum(map(len, before.holders.values()))}
    for name, (other_nodes, other_services) in cases.items():
        other = Assigner(other_nodes, other_services, rules)
        result[name] = difference(before, other.with_alive(frozenset(other.nodes)))["left"]
    return result


def hand_over(assigner: Assigner, a_zone: int) -> dict[str, Any]:
    """A zone and a rack that go and are back, cold, until all have said that they serve."""
    alive = frozenset(assigner.nodes)
    result: dict[str, Any] = {}
    rack = {f"east-1-{n:04}" for n in range(min(40, a_zone // 2))}
    zone = {f"east-1-{n:04}" for n in range(a_zone)}
    most = {f"east-1-{n:04}" for n in range(round(1650 * a_zone / 1950))}
    for name, dead in (("rack of 40", rack), ("most of a zone", most), ("zone", zone)):
        whole, without = assigner.with_alive(alive), assigner.with_alive(alive - dead)
        handover = Handover(assigner.nodes.values())

        def report(nodes: frozenset[str], assignment: Assignment, to: Handover = handover) -> None:
            for node in nodes:
                to.on_report(node, assignment.services_by_node[node], to.generation)

        def go(lost: set[str] = dead, after: Assignment = without, to: Handover = handover) -> None:
            for node in lost:
                to.on_dead(node)
            to.on_assignment(after)

        first, _ = timed(lambda to=handover, to_be=whole: to.on_assignment(to_be))  # type: ignore[misc]
        reports, _ = timed(lambda to_be=whole: report(alive, to_be))  # type: ignore[misc]
        gone, _ = timed(go)
        report(alive - dead, without)
        back, _ = timed(lambda to=handover, to_be=whole: to.on_assignment(to_be))  # type: ignore[misc]
        waiting = handover.moving()
        serve, _ = timed(lambda lost=dead, to_be=whole: report(frozenset(lost), to_be))  # type: ignore[misc]
        result[name] = {
            "first_ms": first,
            "all_report_ms": reports,
            "gone_ms": gone,
            "back_ms": back,
            "kept_on": waiting,
            "cold_ones_serve_ms": serve,
            "kept_on_then": handover.moving(),
        }
    return result


def full_deal(
    a_zone: int, services: list[ServiceSpec], rules: AssignmentRules, runs: int
) -> dict[str, Any]:
    nodes = make_nodes(a_zone)
    alive = frozenset(node.name for node in nodes)
    times = [timed(lambda: Assigner(nodes, services, rules)) for _ in range(3)]
    assigner = times[-1][1]
    all_ms, before = timed(lambda: assigner.with_alive(alive))
    return {
        "deal_ms": median(ms for ms, _ in times),
        "with_all_ms": all_ms,
        "deal_bytes": kept_bytes(lambda: Assigner(nodes, services, rules)),
        "assignment_bytes": kept_bytes(lambda: assigner.with_alive(alive - {nodes[0].name})),
        "spread": spread_of(before),
        "lost": losses(assigner, before, a_zone, runs),
        "partly_lost": partly_lost(assigner, a_zone),
        "one_more_lost": next_loss(assigner, a_zone, min(runs, 50)),
        "changed": changes(assigner, before),
        "hand_over": hand_over(assigner, a_zone),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    a_zone, count, runs = (100, 230, 20) if args.quick else (1950, 4500, 200)
    rate = RATE * a_zone / 1950
    plain = AssignmentRules()
    everywhere = AssignmentRules(on_every_node=frozenset({f"service-{count - 1:04}"}))
    cases = {
        "zipf 0.8": (make_services(count, rate, 0.8), plain),
        "zipf 1.2": (make_services(count, rate, 1.2), plain),
        "zipf 1.2, one held by all": (make_services(count, rate, 1.2), everywhere),
    }
    result: dict[str, Any] = {
        "benchmark": "assignment",
        "nodes": a_zone * len(ZONES),
        "services": count,
        "node_rate": plain.node_rate,
    }
    for name, (services, rules) in cases.items():
        result[name] = full_deal(a_zone, services, rules, runs)
        print(name, json.dumps(result[name], indent=1))
    print(json.dumps(result))


if __name__ == "__main__":
    main()

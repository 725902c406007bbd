"""What distributing a sharded configuration costs: one change, a storm of snapshots, the delay.

    python -m benchmarks.distribution [--quick]

One JSON line last. `change`: CPU and bytes of one change that S subscribers of one machine hold.
`storm`: bytes and answers by second when 1,950 cold nodes come at once to five machines
(simulated time). `in_force`: from acceptance to the last holder, in the deterministic world.
"""

from __future__ import annotations

import argparse
import json
import time
from collections import Counter
from heapq import heappop, heappush
from typing import Any

from loadbalancer.core.assignment.model import START, Change, MachineSpec, Position, Row
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.subscription.answers import RetryAfter, SendUpdate
from loadbalancer.core.subscription.publisher import Publisher, PublisherLimits
from simulation.control_world.settings import REGIONS
from simulation.control_world.world import World

MACHINES = [MachineSpec(f"{r}-{i}", r, f"{r}-{i % 2}") for r in REGIONS for i in range(3)]
BODY = 160  # bytes of a row
ROWS = 27  # of a service: 120,000 backends in 4,500 services
HELD = 32  # services of a region that a node holds


def _log(services: int) -> ChangeLog:
    log = ChangeLog("east", 20_000, 8 << 20)
    for number in range(services):
        rows = tuple(Row(f"s{number}-{i}", "x" * BODY) for i in range(ROWS))
        log.append(Change(Position(1, number + 1), f"s{number}", rows))
    return log


def _publisher(log: ChangeLog, nodes: int) -> Publisher:
    publisher = Publisher(MACHINES[0], MACHINES, {"east": log}, PublisherLimits())
    publisher.on_nodes({f"n{i}": "east" for i in range(nodes)})
    return publisher


def change_cost(subscribers: int, services: int = 2250, rounds: int = 20) -> dict[str, float]:
    """Mean CPU and bytes of a change that all subscribers hold, woken and answered."""
    log = _log(services)
    publisher = _publisher(log, subscribers)
    held = {
        f"n{i}": frozenset({"s0", *(f"s{(i * 31 + k) % services}" for k in range(HELD - 1))})
        for i in range(subscribers)
    }
    for node, names in held.items():
        publisher.subscribe(0, node, "east", log.position, names, names, True)
    spent = size = 0.0
    for _ in range(rounds):
        before = log.position
        began = time.process_time()
        change = Change(
            Position(1, before.revision + 1), "s0", (Row("s0-1", "y" * BODY),)
        )  # fmt: skip
        log.append(change)
        for node in publisher.on_change("east", change):
            names = held[node]
            answer = publisher.subscribe(0, node, "east", before, names, names, True)
            assert isinstance(answer, SendUpdate)
            size += answer.size
        spent += time.process_time() - began
        for node, names in held.items():
            publisher.subscribe(0, node, "east", log.position, names, names, True)
    return {
        "subscribers": subscribers,
        "cpu_ms": round(spent / rounds * 1000, 3),
        "bytes": size / rounds,
    }


def storm(nodes: int) -> dict[str, Any]:
    """A machine's part of a storm by second: a fifth of the nodes, all cold at once."""
    log = _log(2250)
    publisher = _publisher(log, 7800)
    due = [(0, f"n{i}") for i in range(nodes // 5)]
    sent: Counter[int] = Counter()
    answered: Counter[int] = Counter()
    asked = 0
    while due:
        now, node = heappop(due)
        asked += 1
        number = int(node[1:])
        names = frozenset(f"s{(number * 31 + k) % 2250}" for k in range(HELD))
        answer = publisher.subscribe(now, node, "east", START, names, None, True)
        if isinstance(answer, RetryAfter):
            heappush(due, (now + answer.delay, node))
        elif isinstance(answer, SendUpdate):
            sent[now // SECOND] += answer.size
            answered[now // SECOND] += 1
    return {
        "nodes": nodes,
        "questions_each": asked / (nodes // 5),
        "kilobytes_by_second": [sent[s] // 1000 for s in range(max(sent) + 1)],
        "answers_by_second": [answered[s] for s in range(max(sent) + 1)],
    }


def in_force(changes: int) -> dict[str, float]:
    """Milliseconds from a change's acceptance until all holders have it, without faults."""
    world = World(11)
    world.run(20 * SECOND, lambda: not world.differences())
    taken: list[float] = []
    source = world.sources["east"]
    while len(taken) < changes:
        source.change()
        service = next(iter(source.outstanding))
        source.propose_outstanding()
        proposal = source.outstanding[service]
        assert proposal is not None  # without faults the leader takes it at once
        while not world.referee.accepted("east", proposal.position):
            world.run(MS)
        began = world.now
        rows = source.desired.get(service)
        holders = world.assigner.with_alive(world.topology.node_index).holders[service]
        nodes = [world.nodes.running[world.topology.node_index[name]] for name in holders]
        while any(node.holder.rows(service) != rows for node in nodes):
            world.run(MS)
        taken.append((world.now - began) / MS)
        world.run(300 * MS)
    taken.sort()
    return {"changes": changes, "median_ms": taken[changes // 2], "worst_ms": taken[-1]}


def main() -> None:
    """Print one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    sizes = (20, 200) if quick else (130, 1300, 7800)
    result = {
        "change": [change_cost(size, rounds=5 if quick else 20) for size in sizes],
        "storm": storm(200 if quick else 1950),
        "in_force": in_force(10 if quick else 60),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()

"""What distributing a sharded configuration costs: one change, a burst of snapshots, the delay.

    python -m benchmarks.distribution [--quick]

Prints one JSON line. `change`: processor time and bytes of one change whose service S subscribers
of one machine hold. `storm`: bytes and answers by second when 1,950 nodes without state subscribe
to five machines at once (simulated time). `in_force`: from acceptance to the last holder, in the
deterministic simulation.
"""

from __future__ import annotations

import argparse
import json
import time
from collections import Counter
from dataclasses import asdict, dataclass
from heapq import heappop, heappush

from loadbalancer.core.assignment.model import START, Change, MachineSpec, Position, Row
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.subscription.answers import RetryAfter, SendUpdate
from loadbalancer.core.subscription.publisher import Publisher, PublisherLimits
from simulation.control_world.settings import REGIONS
from simulation.control_world.world import World

MACHINES = [MachineSpec(f"{r}-{i}", r, f"{r}-{i % 2}") for r in REGIONS for i in range(3)]
ROW_BYTES = 160
ROWS_PER_SERVICE = 27  # 120,000 backends in 4,500 services
HELD_SERVICES = 32  # of a region, by one node
REGION_SERVICES = 2_250
NODES = 7_800
STORM_MACHINES = 5  # that answer it
LOG_CHANGES = 20_000
LOG_BYTES = 8 << 20
SIMULATION_SEED = 11
START_NS = 20 * SECOND  # of simulated time, for the nodes to hold what is assigned to them
PAUSE_NS = 300 * MS  # between two changes


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """Means of one change."""

    subscribers: int
    cpu_ms: float
    bytes: float


@dataclass(frozen=True, slots=True)
class Storm:
    """One machine's answers to nodes that subscribe at once."""

    nodes: int  # to all machines
    questions_each: float  # polls of a node until it had its snapshot
    kilobytes_by_second: list[int]
    answers_by_second: list[int]


@dataclass(frozen=True, slots=True)
class PropagationDelay:
    """From a change's acceptance to the last holder."""

    changes: int
    median_ms: float
    worst_ms: float


def filled_log(services: int) -> ChangeLog:
    """Return a log with one change for each service, with all its rows."""
    log = ChangeLog("east", LOG_CHANGES, LOG_BYTES)
    for number in range(services):
        rows = tuple(Row(f"s{number}-{i}", "x" * ROW_BYTES) for i in range(ROWS_PER_SERVICE))
        log.append(Change(Position(1, number + 1), f"s{number}", rows))
    return log


def publisher_of(log: ChangeLog, nodes: int) -> Publisher:
    """Return a machine's publisher of a log, for `nodes` nodes of the region."""
    publisher = Publisher(MACHINES[0], MACHINES, {"east": log}, PublisherLimits())
    publisher.on_registered_nodes({f"n{i}": "east" for i in range(nodes)})
    return publisher


def held_services(node: int, services: int, count: int = HELD_SERVICES) -> list[str]:
    """Return the names of `count` services that a node holds, spread over all."""
    return [f"s{(node * 31 + k) % services}" for k in range(count)]


def change_cost(subscribers: int, rounds: int) -> ChangeCost:
    """Measure a change of one service that all subscribers hold, until all have its answer."""
    log = filled_log(REGION_SERVICES)
    publisher = publisher_of(log, subscribers)
    held = {
        f"n{i}": frozenset({"s0", *held_services(i, REGION_SERVICES, HELD_SERVICES - 1)})
        for i in range(subscribers)
    }
    _subscribe_all(publisher, log, held)
    cpu_s = size = 0.0
    for _ in range(rounds):
        began = time.process_time()
        size += _publish_change(publisher, log, held)
        cpu_s += time.process_time() - began
        _subscribe_all(publisher, log, held)
    return ChangeCost(subscribers, round(cpu_s / rounds * 1000, 3), size / rounds)


def _subscribe_all(publisher: Publisher, log: ChangeLog, held: dict[str, frozenset[str]]) -> None:
    for node, names in held.items():
        publisher.subscribe(0, node, "east", log.position, names, names, True)


def _publish_change(publisher: Publisher, log: ChangeLog, held: dict[str, frozenset[str]]) -> int:
    """Append a change, answer each subscriber whose poll it ends, and return the bytes sent."""
    size = 0
    before = log.position
    rows = (Row("s0-1", "y" * ROW_BYTES),)
    change = Change(Position(1, before.revision + 1), "s0", rows)
    log.append(change)
    for node in publisher.on_change("east", change):
        names = held[node]
        answer = publisher.subscribe(0, node, "east", before, names, names, True)
        assert isinstance(answer, SendUpdate)
        size += answer.size
    return size


def storm(nodes: int) -> Storm:
    """Simulate one machine's part of the nodes, all of which subscribe at once without state."""
    publisher = publisher_of(filled_log(REGION_SERVICES), NODES)
    own_nodes = nodes // STORM_MACHINES
    due = [(0, f"n{i}") for i in range(own_nodes)]
    sent: Counter[int] = Counter()  # bytes by second
    answered: Counter[int] = Counter()
    polls = 0
    while due:
        now, node = heappop(due)
        polls += 1
        names = frozenset(held_services(int(node[1:]), REGION_SERVICES))
        answer = publisher.subscribe(now, node, "east", START, names, None, True)
        if isinstance(answer, RetryAfter):
            heappush(due, (now + answer.delay_ns, node))
        elif isinstance(answer, SendUpdate):
            sent[now // SECOND] += answer.size
            answered[now // SECOND] += 1
    seconds = range(max(sent) + 1)
    return Storm(
        nodes=nodes,
        questions_each=polls / own_nodes,
        kilobytes_by_second=[sent[second] // 1000 for second in seconds],
        answers_by_second=[answered[second] for second in seconds],
    )


def propagation_delay(changes: int) -> PropagationDelay:
    """Simulate changes one after another, without faults."""
    world = World(SIMULATION_SEED)
    world.run(START_NS, lambda: not world.differences())
    delays_ms: list[float] = []
    for _ in range(changes):
        delays_ms.append(_propagate_change(world) / MS)
        world.run(PAUSE_NS)
    delays_ms.sort()
    return PropagationDelay(changes, delays_ms[changes // 2], delays_ms[-1])


def _propagate_change(world: World) -> int:
    """Make a change and return the nanoseconds from its acceptance to its last holder."""
    source = world.sources["east"]
    source.change()
    service = next(iter(source.outstanding))
    source.propose_outstanding()
    proposal = source.outstanding[service]
    assert proposal is not None  # without faults the leader takes it at once
    while not world.log_checker.is_accepted("east", proposal.position):
        world.run(MS)
    accepted = world.now
    rows = source.desired.get(service)
    holders = world.assigner.assign(world.topology.node_index).holders[service]
    nodes = [world.nodes.running[world.topology.node_index[name]] for name in holders]
    while any(node.holder.rows(service) != rows for node in nodes):
        world.run(MS)
    return world.now - accepted


def main() -> None:
    """Print one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    sizes = (20, 200) if quick else (130, 1300, 7800)
    rounds = 5 if quick else 20
    result = {
        "change": [asdict(change_cost(size, rounds)) for size in sizes],
        "storm": asdict(storm(200 if quick else 1950)),
        "in_force": asdict(propagation_delay(10 if quick else 60)),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()

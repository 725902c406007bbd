"""A cold start of many nodes: when each has the list, what that costs, what is served.

    python -m benchmarks.coldstart [--quick]

Real nodes that start together before one list service of 200 rows a second, each polling for itself
and with list readers for all; the list in their configuration is empty, old or fresh. Simulated:
the same with 200 nodes, without loss and with, and a node in a crash loop. A black start,
simulated: all nodes and all servers start under load, against what servers that cold can do.
Prints one JSON object; times are seconds.
"""

from __future__ import annotations

import argparse
import itertools
import json
import tempfile
import time
from collections.abc import Sequence
from enum import StrEnum
from multiprocessing import Pool
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.polling import times_until
from benchmarks.stats import spread_by_key
from fakes.cluster import Cluster, ClusterOptions
from fakes.discovery import target
from fakes.processes import Process, running_backends, running_process
from loadbalancer.core.balancing.model import SECOND
from simulation.list_world.rows import KnownList
from simulation.list_world.service import ServiceCount
from simulation.list_world.world import ListWorld
from simulation.service_world.counters import Count
from simulation.service_world.settings import ServicePlan
from simulation.service_world.world import ServiceWorld

ROWS_PER_SECOND = 200  # of the list service
TIMEOUT_S = 120.0
BACKENDS = 4  # processes that all servers of the list share
BACKEND_WORK_MS = 2.0
OLD_PART = 0.75  # of the servers, that an old list has
READERS = 2


class KnownAtStart(StrEnum):
    """The list in a node's configuration as it starts."""

    EMPTY = "empty"
    OLD = "old"
    FRESH = "fresh"


# ---- real processes ---------------------------------------------------------


class StartCase(NamedTuple):
    """Real nodes that start together."""

    nodes: int
    servers: int
    known: KnownAtStart
    readers: int  # 0: each node polls for itself

    @property
    def name(self) -> str:
        """In the result."""
        return f"{self.nodes}x{self.servers} known {self.known}, readers {self.readers}"


def start_figures(case: StartCase) -> dict[str, Any]:
    """Seconds until the nodes are ready, and what the list service has sent."""
    service = ("-m", "fakes.discovery", "--lines", str(ROWS_PER_SECOND))
    with (
        running_backends(BACKENDS, BACKEND_WORK_MS) as backends,
        tempfile.TemporaryDirectory() as folder,
        running_process(service) as discovery,
    ):
        known = publish_lists(discovery, backends, case)
        options = cluster_options(Path(folder), discovery, known, case.readers)
        with Cluster(case.nodes, [], Path(folder), options) as cluster:
            began = time.monotonic()
            cluster.start()
            up_s = time.monotonic() - began
            nodes = list(cluster.nodes)
            ready = times_until(lambda node: cluster.nodes[node].is_ready(), nodes, TIMEOUT_S)
            if case.readers:
                times_until(
                    lambda node: has_full_list(cluster, node, case.servers), nodes, TIMEOUT_S
                )
            counters = discovery.call("GET", "/standin/state")
    return {
        "up_s": round(up_s, 2),
        "first_ready_s": round(up_s + min(ready), 2),
        "last_ready_s": round(up_s + max(ready), 2),
        "lists": counters.get("whole", 0),
        "lines": counters.get("lines", 0),
        "calls": counters["calls"],
        "turned_away": counters.get("turned away", 0),
        "most_lines_s": max(counters["by_second"], default=0),
    }


def publish_lists(
    discovery: Process, backends: Sequence[Process], case: StartCase
) -> dict[str, Any]:
    """Publish an old list, then the full one; the list that the nodes know at their start."""
    rows = [target(f"s-{i}", backends[i % BACKENDS].address) for i in range(case.servers)]
    old = rows[: int(case.servers * OLD_PART)]
    discovery.call("POST", "/standin/targets", old)
    discovery.call("POST", "/standin/targets", rows)
    # The fake's empty list is version 1, so the old one is 2 and the full one 3.
    version, targets = {
        KnownAtStart.EMPTY: (0, []),
        KnownAtStart.OLD: (2, old),
        KnownAtStart.FRESH: (3, rows),
    }[case.known]
    return {"rev": version, "all": True, "targets": targets}


def cluster_options(
    folder: Path, discovery: Process, known: dict[str, Any], readers: int
) -> ClusterOptions:
    """Nodes that poll this service; a fleet file names the number of readers."""
    fleet_file = folder / "fleet.toml"
    fleet_file.write_text(f"version = 1\nreaders = {readers}\n")
    return ClusterOptions(
        gossip=readers > 0,
        discovery=discovery.address,
        fleet=str(fleet_file),
        settings={"registry_mode": "ask"},
        overrides=lambda _node: {"known": known},
    )


def has_full_list(cluster: Cluster, node: int, servers: int) -> bool:
    """Whether a node has so many servers by the list that it shares with others."""
    shared_list = cluster.status(node).get("list")
    return shared_list is not None and shared_list["rows"] == servers


# ---- simulated --------------------------------------------------------------


class SimulatedCase(NamedTuple):
    """Simulated nodes that start together; `loss` is a part of all gossip messages."""

    nodes: int
    servers: int
    readers: int
    loss: float = 0.0

    @property
    def name(self) -> str:
        """In the result."""
        return f"{self.nodes}x{self.servers}, readers {self.readers}, loss {self.loss:g}"


def simulated_figures(case: SimulatedCase) -> dict[str, Any]:
    """Until all nodes have the list, or for 30 s: without readers it takes minutes."""
    world = ListWorld(case.nodes, case.servers, 1, case.readers)
    world.links.loss = case.loss
    world.start_all()
    is_current = world.run(30 * SECOND, world.is_current)
    list_nodes = world.list_nodes.values()
    ready_at = [node.ready_at for node in list_nodes if node.ready_at is not None]
    counters = world.service.counts
    return {
        "last_s": round(world.now / SECOND, 2) if is_current else None,
        "with_a_list": len(ready_at),
        "first_list_s": round(min(ready_at) / SECOND, 2),
        "lists": counters[ServiceCount.COMPLETE_LISTS],
        "calls": counters[ServiceCount.CALLS],
        "turned_away": counters[ServiceCount.REJECTED],
        "most_lines_s": max(world.service.lines_by_second.values()),
    }


def crash_loop_rows(readers: int, starts: int) -> int:
    """Rows sent because one node starts so many times without a list; a reader if there is one."""
    world = ListWorld(20, 100, 1, readers)
    world.start_all()
    world.run(20 * SECOND, world.is_current)
    world.run(world.now + 2 * SECOND)
    node = next((n for n in world.nodes if is_reader(world, n)), 0)
    before = world.service.counts[ServiceCount.LINES]
    for _ in range(starts):
        world.kill(node)
        world.start(node)
        world.run(world.now + 2 * SECOND)
    world.run(world.now + 10 * SECOND)
    return world.service.counts[ServiceCount.LINES] - before


def is_reader(world: ListWorld, node: int) -> bool:
    """Whether the node polls the list service for all."""
    shared_list = world.nodes[node].shared_list
    return shared_list is not None and shared_list.is_polling


# ---- a black start ----------------------------------------------------------

BLACK_START_NODES = 100
BLACK_START_SERVERS = 135
BLACK_START_S = 10
KNOWN_VERSION = 41  # of the list that nodes without readers know as they start
SERVER_RATE = 200  # requests a second that a warm server can do
COLD_PART = 0.1  # of that, which a server can do as it starts
WARMING_PART = 0.09  # by which that grows each second
BLACK_START_LOADS = (0.5, 1.5)  # parts of what all warm servers can do


class BlackStart(NamedTuple):
    """All nodes and servers start at once, under a load."""

    load: float
    gossip: bool
    seed: int

    @property
    def possible(self) -> float:
        """The part of requests that servers warming up can serve."""
        capacities = (COLD_PART + WARMING_PART * (s + 0.5) for s in range(BLACK_START_S))
        served = sum(min(self.load, capacity) for capacity in capacities)
        return served / (BLACK_START_S * self.load)


def black_start_figures(case: BlackStart) -> dict[str, float]:
    """The served part of what was possible, servers overwhelmed, and the most requests at one."""
    world = ServiceWorld(
        ServicePlan(
            nodes=BLACK_START_NODES,
            servers=BLACK_START_SERVERS,
            seed=case.seed,
            gossip=case.gossip,
            rate=case.load * BLACK_START_SERVERS * SERVER_RATE,
            list_readers=READERS if case.gossip else 0,
        )
    )
    service = world.endpoint_list.service
    if not case.gossip:
        # Each node for itself would still wait for its list: here it has the list of its start.
        known = KnownList(KNOWN_VERSION, dict(service.rows) if service else {})
        world.endpoint_list.known_at_start = lambda _node: known
    world.start_cold()
    world.clients.run(BLACK_START_S * SECOND)
    world.run(BLACK_START_S * SECOND)
    served = world.counts[Count.SERVED] / world.counts[Count.REQUESTS]
    return {
        "served_of_possible": served / case.possible,
        "falls": float(world.counts[Count.OVERWHELMED] + len(world.breaches)),
        "most_held": float(max(server.max_in_flight for server in world.pool)),
    }


def black_starts(seeds: int) -> dict[str, Any]:
    """Each load with gossip and without, so many seeds."""
    groups = list(itertools.product(BLACK_START_LOADS, (False, True)))
    cases = [BlackStart(load, gossip, s) for load, gossip in groups for s in range(seeds)]
    with Pool() as pool:
        figures = pool.map(black_start_figures, cases, chunksize=1)
    result: dict[str, Any] = {}
    for place, (load, gossip) in enumerate(groups):
        name = f"load_{load:g}_{'with' if gossip else 'without'}_words"
        result[name] = spread_by_key(figures[place * seeds : (place + 1) * seeds], 3)
    return result


# ---- the command ------------------------------------------------------------


class Plan(NamedTuple):
    """How much is run; sizes are nodes and servers."""

    real_sizes: tuple[tuple[int, int], ...]
    simulated: tuple[SimulatedCase, ...]
    seeds: int  # of the black start


QUICK = Plan(
    ((40, 100),),
    (
        SimulatedCase(200, 270, 0),
        SimulatedCase(200, 270, READERS),
        SimulatedCase(200, 270, READERS, 0.1),
        SimulatedCase(200, 270, READERS, 0.3),
    ),
    seeds=2,
)
FULL = Plan(
    ((40, 100), (60, 200)),
    (
        *QUICK.simulated,
        SimulatedCase(1000, 1000, READERS),
        SimulatedCase(1000, 1000, READERS, 0.1),
    ),
    seeds=5,
)


def run(plan: Plan) -> dict[str, Any]:
    """All parts of the benchmark."""
    starts = [
        StartCase(nodes, servers, known, readers)
        for nodes, servers in plan.real_sizes
        for known in KnownAtStart
        for readers in (0, READERS)
    ]
    return {
        "real": {case.name: start_figures(case) for case in starts},
        "world": {case.name: simulated_figures(case) for case in plan.simulated},
        "crash_loop_lines": {
            f"{starts} starts, readers {readers}": crash_loop_rows(readers, starts)
            for readers in (0, READERS)
            for starts in (2, 20)
        },
        "black_start": black_starts(plan.seeds),
    }


def main() -> None:
    """Run the benchmark and print its result."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="one size of each, fewer seeds")
    print(json.dumps(run(QUICK if parser.parse_args().quick else FULL)))


if __name__ == "__main__":
    main()

"""Ten real nodes under load: nodes killed and servers silent, or one node with more requests."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from enum import StrEnum
from random import Random
from typing import Any

from benchmarks.stats import spread_by_key
from fakes.cluster import Cluster, ClusterOptions, running_cluster
from fakes.load import NO_ANSWER, OK, Clients
from fakes.processes import Process, running_backends

NODES = 10
KILLED_NODES = 7
SERVERS = 24
SILENT_SERVERS = 3
WORK_MS = 20.0  # of a server for a request
FULL_RATE = SERVERS * 1000 / WORK_MS  # requests a second that all servers can do
CREDIT_PART = 0.2  # of all requests
UNEVEN_WEIGHT = 8
WARM_UP_S = 8.0
MEASURED_S = 12.0


class Scenario(StrEnum):
    """What happens to the nodes, by its name in the result."""

    KILL = "kill"  # seven nodes are killed, and three servers silent
    UNEVEN = "uneven"  # one node gets eight times what others do


LOADS = {Scenario.KILL: 0.95, Scenario.UNEVEN: 0.8}  # parts of the full rate


class WeightedClients:
    """Clients of all nodes: each request goes to a running node, drawn by weight."""

    def __init__(self, cluster: Cluster, weights: dict[int, int], seed: int) -> None:
        self.weights = weights  # by node
        self._random = Random(seed)
        self._clients = {
            node: Clients(process.address, node) for node, process in cluster.nodes.items()
        }

    async def send(self, rate: float, seconds: float) -> list[int]:
        """Send `rate` requests a second; their statuses, NO_ANSWER where none came."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = []
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(began + number / rate - loop.time(), 0))
            tasks.append(asyncio.create_task(self._next_request()))
        return list(await asyncio.gather(*tasks))

    def _next_request(self) -> Coroutine[Any, Any, int]:
        (node,) = self._random.choices(list(self.weights), list(self.weights.values()))
        cls = "credit" if self._random.random() < CREDIT_PART else "balance"
        return self._clients[node].send(cls)


def load_figures(runs: int) -> dict[str, Any]:
    """Each scenario so many times, without gossip and with in turn."""
    figures: dict[str, Any] = {}
    for scenario in Scenario:
        rows: dict[str, list[dict[str, float]]] = {"without": [], "with": []}
        for seed in range(runs):
            rows["without"].append(_run(scenario, False, seed))
            rows["with"].append(_run(scenario, True, seed))
        figures[scenario] = {name: spread_by_key(found, 4) for name, found in rows.items()}
    return figures


def _run(scenario: Scenario, gossip: bool, seed: int) -> dict[str, float]:
    with running_backends(SERVERS, WORK_MS) as servers:
        addresses = [server.address for server in servers]
        with running_cluster(NODES, addresses, ClusterOptions(gossip=gossip)) as cluster:
            if gossip:
                cluster.agree(set(range(NODES)))
            return asyncio.run(_measure(cluster, servers, scenario, seed))


async def _measure(
    cluster: Cluster, servers: list[Process], scenario: Scenario, seed: int
) -> dict[str, float]:
    """The part of requests served in the 12 s after the fault, and what went wrong in them."""
    weights = dict.fromkeys(cluster.nodes, 1)
    if scenario is Scenario.UNEVEN:
        weights[0] = UNEVEN_WEIGHT
    clients = WeightedClients(cluster, weights, seed)
    rate = FULL_RATE * LOADS[scenario]
    await clients.send(rate, WARM_UP_S)
    before = _states(servers)
    if scenario is Scenario.KILL:
        _kill(cluster, servers, clients)
    statuses = await clients.send(rate, MEASURED_S)
    after = _states(servers)

    def growth(counter: str) -> float:
        pairs = zip(before, after, strict=True)
        return float(sum(new.get(counter, 0) - old.get(counter, 0) for old, new in pairs))

    return {
        "served": statuses.count(OK) / len(statuses),
        "unanswered": float(statuses.count(NO_ANSWER)),
        "to_silent": growth("silent"),
        "turned_away": growth("refused"),
        "effects_doubled": float(sum(state["effects_doubled"] for state in after)),
    }


def _states(servers: list[Process]) -> list[dict[str, int]]:
    return [server.call("GET", "/standin/state") for server in servers]


def _kill(cluster: Cluster, servers: list[Process], clients: WeightedClients) -> None:
    for server in servers[:SILENT_SERVERS]:
        server.call("POST", "/standin/faults", {"silent": 1.0})
    for node in range(KILLED_NODES):
        cluster.nodes[node].child.kill()
        del clients.weights[node]

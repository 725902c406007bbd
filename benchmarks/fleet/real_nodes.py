"""Real nodes without requests: when all know a drain or a death, and what gossip costs."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple

from benchmarks.polling import times_until
from benchmarks.stats import p50_and_p99, spread
from fakes.cluster import Cluster, ClusterOptions, LinkCounters, running_cluster, wait_until
from fakes.discovery import target
from fakes.processes import Process, running_backends, running_process
from loadbalancer.sources.endpoint_list import backend_id

NODES = 12
SERVERS = 4
SERVER_WORK_MS = 2.0
LOSSES = (0.0, 0.1, 0.3)  # parts of all datagrams
IDLE_S = 5.0  # over which costs without requests are measured
KILLED_NODE = 5
NOTIFIED_NODE = 0  # the one that reads the list with the drains


class ListRecord(NamedTuple):
    """What a node has received by gossip of a server's state in a list."""

    server: str  # its id in hexadecimal digits
    version: int  # of that list


def real_node_figures(drains: int) -> dict[str, Any]:
    """Times for each loss, from so many drains and one death; costs without requests."""
    figures: dict[str, Any] = {"nodes": NODES}
    with running_backends(SERVERS, SERVER_WORK_MS) as servers:
        for loss in LOSSES:
            figures[f"loss_{loss:g}"] = _times(servers, loss, drains)
        addresses = [server.address for server in servers]
        figures["at_rest"] = {
            "with_words": _idle_costs(addresses, gossip=True),
            "without": _idle_costs(addresses, gossip=False),
        }
    return figures


def _times(servers: list[Process], loss: float, drains: int) -> dict[str, Any]:
    """Seconds until all nodes know a drain and a death; milliseconds of a catch-up."""
    rows = [target(f"s-{i}", server.address) for i, server in enumerate(servers, 1)]
    targets = [
        argument for row in rows for argument in ("--target", f"{row['uid']}={row['endpoint']}")
    ]
    with running_process(("-m", "fakes.discovery", *targets)) as discovery:

        def overrides(node: int) -> dict[str, Any]:
            return {"discovery": discovery.address} if node == NOTIFIED_NODE else {}

        with running_cluster(
            NODES,
            [server.address for server in servers],
            ClusterOptions(settings={"registry_mode": "ask"}, overrides=overrides),
        ) as cluster:
            cluster.agree(set(range(NODES)))
            cluster.set_links(loss=loss)
            return {
                "drain_s": p50_and_p99(_drain_times(cluster, rows, discovery, drains)),
                "death_s": p50_and_p99(_death_times(cluster)),
                "catch_up_ms": _catch_up_ms(cluster),
            }


def _drain_times(
    cluster: Cluster, rows: list[dict[str, Any]], discovery: Process, drains: int
) -> list[float]:
    """Seconds until each other node knows a drain that one node is notified of, for all drains."""
    times: list[float] = []
    others = [node for node in cluster.nodes if node != NOTIFIED_NODE]
    for number in range(drains):
        draining = rows[number % len(rows)]
        # With each version another server drains, and the one before is active again.
        for row in rows:
            row["state"] = "active"
        draining["state"] = "leaving"
        server = f"{backend_id(draining['uid']):016x}"
        version = max((record.version for record in _records(cluster, NOTIFIED_NODE)), default=1)
        discovery.call("POST", "/standin/targets", rows)

        def knows(node: int, server: str = server, version: int = version) -> bool:
            records = _records(cluster, node)
            return any(one.server == server and one.version > version for one in records)

        times_until(knows, [NOTIFIED_NODE])
        times += times_until(knows, others)
    return times


def _records(cluster: Cluster, node: int) -> list[ListRecord]:
    """The records that come from a list; their texts end with its version."""
    return [
        ListRecord(server, int(text.rsplit(" ", 1)[1]))
        for server, author, _age_ms, text, _verdict in cluster.status(node)["servers"]
        if author == "list"
    ]


def _death_times(cluster: Cluster) -> list[float]:
    """Kill one node: seconds until each other node knows."""
    cluster.kill(KILLED_NODE)
    others = sorted(set(range(NODES)) - {KILLED_NODE})
    return times_until(lambda node: KILLED_NODE not in cluster.living(node), others)


def _catch_up_ms(cluster: Cluster) -> int:
    """Start the killed node again: milliseconds until it has the others' records."""
    cluster.start(KILLED_NODE)
    wait_until(lambda: bool(cluster.status(KILLED_NODE)["caught_up"]))
    return int(cluster.status(KILLED_NODE)["counts"]["catch_up_ms"])


def _idle_costs(addresses: list[str], gossip: bool) -> dict[str, Any]:
    """What a node without requests costs: percent of a core, messages and bytes a second, MB."""
    with running_cluster(NODES, addresses, ClusterOptions(gossip=gossip)) as cluster:
        if gossip:
            wait_until(lambda: all(cluster.status(node)["caught_up"] for node in cluster.nodes))
        nodes = list(cluster.nodes.values())
        cpu_before = [node.cpu_seconds() for node in nodes]
        links_before = cluster.link_counters()
        time.sleep(IDLE_S)
        links_after = cluster.link_counters()
        cpu_percent = [
            (node.cpu_seconds() - before) / IDLE_S * 100
            for node, before in zip(nodes, cpu_before, strict=True)
        ]

        def per_second(value: Callable[[LinkCounters], int]) -> dict[str, float]:
            pairs = zip(links_before, links_after, strict=True)
            return spread([(value(after) - value(before)) / IDLE_S for before, after in pairs], 1)

        return {
            "cpu_percent": spread(cpu_percent, 2),
            "words_s": per_second(lambda counters: counters.datagrams),
            "bytes_s": per_second(lambda counters: counters.bytes),
            "resident_mb": spread([node.resident_mb() for node in nodes], 1),
        }

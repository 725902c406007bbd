"""A cold start of many nodes: who has the list when, what that costs, what is served.

    python -m benchmarks.coldstart [--quick]

Real nodes that start together before one list service of 200 lines a second, each for itself
and with readers for all, their lists in hand empty, old or fresh. The world: the same at 200
nodes, without loss and with, and a node in a crash loop. A black start in the world: all nodes
and all servers new under load, against what servers that cold can do. In turn, in one run.
"""

from __future__ import annotations

import argparse
import json
import tempfile
import time
from multiprocessing import Pool
from pathlib import Path
from typing import Any

from benchmarks.fleet import known_by_all
from benchmarks.stats import spread
from fakes.cluster import Cluster, ClusterOptions
from fakes.discovery import target
from fakes.fleet import backends, started
from loadbalancer.core.balancing.model import SECOND
from simulation.list_world.rows import KnownList
from simulation.list_world.world import ListWorld
from simulation.service_world.settings import ServicePlan
from simulation.service_world.world import ServiceWorld

LINES = 200
LIMIT_S = 120.0
KNOWN = ("empty", "old", "fresh")
OLD_PART = 0.75  # of the servers, that an old list has


# ---- real processes ---------------------------------------------------------


def whole(t: Cluster, node: int, count: int) -> bool:
    """Whether a node has so many servers by the list that it reads with others."""
    listed = t.status(node).get("list")
    return listed is not None and listed["rows"] == count


def real(nodes: int, servers: int, readers: int, known: str) -> dict[str, Any]:
    """`nodes` started together; seconds from there until they say yes and have the whole list."""
    with (
        backends(4, 2.0) as stand_ins,
        tempfile.TemporaryDirectory() as folder,
        started(("-m", "fakes.discovery", "--lines", str(LINES))) as discovery,
    ):
        rows = [target(f"s-{i}", stand_ins[i % 4].address) for i in range(servers)]
        old = rows[: int(servers * OLD_PART)]
        discovery.call("POST", "/standin/targets", old)
        discovery.call("POST", "/standin/targets", rows)
        # The stand-in counts from 1: the old list is its version 2, the whole one version 3.
        had = {"empty": (0, []), "old": (2, old), "fresh": (3, rows)}[known]
        fleet = Path(folder, "fleet.toml")
        fleet.write_text(f"version = 1\nreaders = {readers}\n")
        options = ClusterOptions(
            gossip=readers > 0, discovery=discovery.address, fleet=str(fleet),
            settings={"registry_mode": "ask"},
            overrides=lambda _n: {"known": {"rev": had[0], "all": True, "targets": had[1]}},
        )  # fmt: skip
        with Cluster(nodes, [], Path(folder), options) as t:
            began = time.monotonic()
            t.start()
            up = time.monotonic() - began
            every = list(t.nodes)
            yes = [up + s for s in known_by_all(lambda n: t.nodes[n].ready(), every, LIMIT_S)]
            if readers:
                known_by_all(lambda n: whole(t, n, servers), every, LIMIT_S)
            books = discovery.call("GET", "/standin/state")
            return {
                "up_s": round(up, 2), "first_ready_s": round(min(yes), 2),
                "last_ready_s": round(max(yes), 2), "lists": books.get("whole", 0),
                "lines": books.get("lines", 0), "calls": books["calls"],
                "turned_away": books.get("turned away", 0),
                "most_lines_s": max(books["by_second"], default=0),
            }  # fmt: skip


# ---- the world ----------------------------------------------------------------


def world(nodes: int, servers: int, readers: int, loss: float, seed: int) -> dict[str, Any]:
    """Until all have the list, or half a minute: without readers it takes minutes."""
    w = ListWorld(nodes, servers, seed, readers)
    w.links.loss = loss
    w.start_all()
    done = w.run(30 * SECOND, w.is_current)
    counts = w.service.counts
    ready_at = [n.ready_at for n in w.list_nodes.values() if n.ready_at is not None]
    return {
        "last_s": round(w.now / SECOND, 2) if done else None,
        "with_a_list": len(ready_at),
        "first_list_s": round(min(ready_at) / 1e9, 2),
        "lists": counts["whole lists"], "calls": counts["calls"],
        "turned_away": counts["turned away"],
        "most_lines_s": max(w.service.lines_by_second.values()),
    }  # fmt: skip


def crash_loop(readers: int, starts: int) -> int:
    """Lines that one node costs which starts so many times with nothing, the first of readers."""
    w = ListWorld(20, 100, 1, readers)
    w.start_all()
    w.run(20 * SECOND, w.is_current)
    w.run(w.now + 2 * SECOND)
    reads = [n for n, f in w.nodes.items() if f.shared_list is not None and f.shared_list.polls]
    first = reads[0] if reads else 0
    before = w.service.counts["lines"]
    for _ in range(starts):
        w.kill(first)
        w.start(first)
        w.run(w.now + 2 * SECOND)
    w.run(w.now + 10 * SECOND)
    return w.service.counts["lines"] - before


def black_start(load: float, words: bool, seed: int) -> dict[str, float]:
    """Served in the first 10 s of what servers that cold could do, all nodes and servers new."""
    nodes, servers = 100, 135
    w = ServiceWorld(
        ServicePlan(
            nodes=nodes,
            servers=servers,
            seed=seed,
            gossip=words,
            rate=load * servers * 200,
            list_readers=2 if words else 0,
        )
    )
    service = w.endpoint_list.service
    if not words:
        # Each for itself would still wait for its list: without words it has it already.
        known = KnownList(41, dict(service.rows) if service else {})
        w.endpoint_list.known_at_start = lambda _n: known
    w.start_cold()
    w.clients.run(10 * SECOND)
    w.run(10 * SECOND)
    could = sum(min(load, 0.1 + 0.09 * (second + 0.5)) for second in range(10)) / (10 * load)
    return {
        "served_of_possible": w.counts["served"] / w.counts["asked"] / could,
        "falls": float(w.counts["falls of cold servers"] + len(w.breaches)),
        "most_held": float(max(s.max_in_flight for s in w.pool)),
    }


def black_starts(seeds: int) -> dict[str, Any]:
    jobs = [
        (load, words, s) for load in (0.5, 1.5) for words in (False, True) for s in range(seeds)
    ]
    with Pool() as pool:
        runs = pool.starmap(black_start, jobs)
    found: dict[str, Any] = {}
    for load in (0.5, 1.5):
        for words in (False, True):
            rows = [r for r, job in zip(runs, jobs, strict=True) if job[:2] == (load, words)]
            name = f"load_{load:g}_{'with' if words else 'without'}_words"
            found[name] = {key: spread([r[key] for r in rows], 3) for key in rows[0]}
    return found


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="one size of each, fewer seeds")
    quick = parser.parse_args().quick
    sizes = [(40, 100)] if quick else [(40, 100), (60, 200)]
    found: dict[str, Any] = {"real": {}, "world": {}}
    for nodes, servers in sizes:
        for known in KNOWN:
            for readers in (0, 2):
                name = f"{nodes}x{servers} known {known}, readers {readers}"
                found["real"][name] = real(nodes, servers, readers, known)
    for nodes, servers, readers, loss in (
        (200, 270, 0, 0.0), (200, 270, 2, 0.0), (200, 270, 2, 0.1), (200, 270, 2, 0.3),
        *(() if quick else ((1000, 1000, 2, 0.0), (1000, 1000, 2, 0.1))),
    ):  # fmt: skip
        name = f"{nodes}x{servers}, readers {readers}, loss {loss:g}"
        found["world"][name] = world(nodes, servers, readers, loss, 1)
    found["crash_loop_lines"] = {
        f"{starts} starts, readers {readers}": crash_loop(readers, starts)
        for readers in (0, 2)
        for starts in (2, 20)
    }
    found["black_start"] = black_starts(2 if quick else 5)
    print(json.dumps(found))


if __name__ == "__main__":
    main()

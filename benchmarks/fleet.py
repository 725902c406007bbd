"""Words between nodes: how soon all know, what it costs, and what it saves.

    python -m benchmarks.fleet [--quick]

Real nodes with links that lose words: the time until a drain told to one, and a kill, is known
to all, until a returning node has the whole picture, CPU and bytes beside nodes without
words. Under load, with words and without in turn: seven of ten nodes killed with three of 24
servers silent, and one node that gets eight times what others do. The world: the same at more
nodes. Service with words against without, on the same seeds in turn, in the world.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections.abc import Callable
from multiprocessing import Pool
from random import Random
from typing import Any

from benchmarks.stats import spread
from fakes.cluster import Cluster, running_cluster, wait_until
from fakes.discovery import target
from fakes.fleet import Process, backends, started
from fakes.load import Clients
from loadbalancer.core.balancing.model import SECOND, State
from loadbalancer.sources.endpoint_list import backend_id
from simulation.gossip_world import GossipWorld
from simulation.service_world.faults import Fault, cause
from simulation.service_world.settings import ServicePlan
from simulation.service_world.world import ServiceWorld

NODES = 12
LOSSES = (0.0, 0.1, 0.3)
AT_REST_S = 5.0
DRAINS = 8
WORK_MS = 20.0


def quantiles(seconds: list[float]) -> dict[str, float]:
    ordered = sorted(seconds)
    at = min(int(0.99 * len(ordered)), len(ordered) - 1)
    return {"p50": round(ordered[len(ordered) // 2], 3), "p99": round(ordered[at], 3)}


# ---- real processes -------------------------------------------------------


def known_by_all(
    knows: Callable[[int], bool], nodes: list[int], limit: float = 30.0
) -> list[float]:
    """Seconds until each of these nodes knows, as asked in turn."""
    began = time.monotonic()
    left, times = list(nodes), []
    while left:
        for node in list(left):
            if knows(node):
                left.remove(node)
                times.append(time.monotonic() - began)
        if time.monotonic() - began > limit:
            raise RuntimeError(f"nodes {left} never knew")
    return times


def drains(t: Cluster, servers: list[Process], discovery: Process, rounds: int) -> list[float]:
    """The list service tells node 0 alone of one drain after another."""
    rows = [target(f"s-{i}", s.address) for i, s in enumerate(servers, 1)]
    times: list[float] = []
    for i in range(rounds):
        # Each round another server drains and the one before is back, as a newer list says.
        for row in rows:
            row["state"] = "active"
        rows[i % len(rows)]["state"] = "leaving"
        name = f"{backend_id(rows[i % len(rows)]['uid']):016x}"
        before = max([int(text.rsplit(" ", 1)[1]) for *_, text, _ in lists(t, 0)] or [1])
        discovery.call("POST", "/standin/targets", rows)

        def knows(node: int, name: str = name, before: int = before) -> bool:
            return any(
                server == name and int(text.rsplit(" ", 1)[1]) > before
                for server, _, _, text, _ in lists(t, node)
            )

        known_by_all(knows, [0])
        times += known_by_all(knows, [n for n in t.nodes if n])
    return times


def lists(t: Cluster, node: int) -> list[list[Any]]:
    return [row for row in t.status(node)["servers"] if row[1] == "list"]


def real(rounds: int) -> dict[str, Any]:
    found: dict[str, Any] = {"nodes": NODES}
    with backends(4, 2.0) as servers:
        addresses = [s.address for s in servers]
        pairs = [w for i, a in enumerate(addresses, 1) for w in ("--target", f"s-{i}={a}")]
        for loss in LOSSES:
            with (
                started(("-m", "fakes.discovery", *pairs)) as discovery,
                running_cluster(
                    NODES, addresses, settings={"registry_mode": "ask"},
                    overrides=lambda n, d=discovery: {"discovery": d.address} if n == 0 else {},
                ) as t,
            ):  # fmt: skip
                t.agree(set(range(NODES)))
                t.order(loss=loss)
                row: dict[str, Any] = {"drain_s": quantiles(drains(t, servers, discovery, rounds))}
                t.kill(5)
                rest = set(range(NODES)) - {5}

                def knows(node: int, t: Cluster = t, rest: set[int] = rest) -> bool:
                    return 5 not in t.living(node)

                row["death_s"] = quantiles(known_by_all(knows, sorted(rest)))
                t.start(5)
                wait_until(lambda t=t: t.status(5)["caught_up"])  # type: ignore[misc]
                row["catch_up_ms"] = t.status(5)["counts"]["catch_up_ms"]
                found[f"loss_{loss:g}"] = row
        found["at_rest"] = {
            "with_words": at_rest(addresses, True), "without": at_rest(addresses, False),
        }  # fmt: skip
    return found


def at_rest(addresses: list[str], words: bool) -> dict[str, Any]:
    """What a node takes with nothing to do: percent of a core, words and bytes a second."""
    with running_cluster(NODES, addresses, gossip=words) as t:
        if words:
            wait_until(lambda: all(t.status(n)["caught_up"] for n in t.nodes))
        before = {n: p.cpu() for n, p in t.nodes.items()}
        books = t.order(books=True)
        time.sleep(AT_REST_S)
        later = t.order(books=True)
        cpu = [(p.cpu() - before[n]) / AT_REST_S * 100 for n, p in t.nodes.items()]

        def a_second(what: str) -> dict[str, float]:
            pairs = zip(books, later, strict=True)
            return spread([(b.get(what, 0) - a.get(what, 0)) / AT_REST_S for a, b in pairs], 1)

        memory = [resident_mb(p) for p in t.nodes.values()]
        return {
            "cpu_percent": spread(cpu, 2), "words_s": a_second("words"),
            "bytes_s": a_second("bytes"), "resident_mb": spread(memory, 1),
        }  # fmt: skip


def resident_mb(process: Process) -> float:
    with open(f"/proc/{process.popen.pid}/statm") as file:
        return int(file.read().split()[1]) * 4096 / (1 << 20)


# ---- real processes under load ----------------------------------------------


class Front:
    """Clients of all nodes, each request at a node that runs, by weight."""

    def __init__(self, t: Cluster, weights: dict[int, int], seed: int) -> None:
        self.random = Random(seed)
        self.clients = {n: Clients(p.address, n) for n, p in t.nodes.items()}
        self.weights = weights

    async def play(self, rate: float, seconds: float) -> list[int]:
        """Requests at a steady rate; their statuses, 0 where there was no answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks = []
        for i in range(int(rate * seconds)):
            await asyncio.sleep(max(began + i / rate - loop.time(), 0))
            nodes = list(self.weights)
            (node,) = self.random.choices(nodes, list(self.weights.values()))
            cls = "credit" if self.random.random() < 0.2 else "balance"
            tasks.append(asyncio.create_task(self.clients[node].send(cls)))
        return list(await asyncio.gather(*tasks))


async def under_load(t: Cluster, servers: list[Process], what: str, seed: int) -> dict[str, float]:
    """Part of requests served in the 12 s after the fault, with 24 servers at 0.95 or 0.8."""
    weights = {n: 8 if what == "uneven" and n == 0 else 1 for n in t.nodes}
    front = Front(t, weights, seed)
    full = len(servers) * 1000 / WORK_MS
    rate = full * (0.8 if what == "uneven" else 0.95)
    await front.play(rate, 8)
    before = [s.call("GET", "/standin/state") for s in servers]
    if what == "kill":
        for server in servers[:3]:
            server.call("POST", "/standin/faults", {"silent": 1.0})
        for node in range(7):
            t.nodes[node].popen.kill()
            del front.weights[node]
    statuses = await front.play(rate, 12)
    after = [s.call("GET", "/standin/state") for s in servers]
    books = [(a.get("silent", 0), b.get("silent", 0)) for b, a in zip(before, after, strict=True)]
    return {
        "served": statuses.count(200) / len(statuses), "unanswered": float(statuses.count(0)),
        "to_silent": float(sum(a - b for a, b in books)),
        "turned_away": float(
            sum(a.get("refused", 0) - b.get("refused", 0)
                for b, a in zip(before, after, strict=True))
        ),
        "effects_doubled": float(sum(a["effects_doubled"] for a in after)),
    }  # fmt: skip


def loaded(pairs: int) -> dict[str, Any]:
    """Ten real nodes before 24 servers, with words and without in turn."""
    found: dict[str, Any] = {}
    for what in ("kill", "uneven"):
        rows: dict[bool, list[dict[str, float]]] = {False: [], True: []}
        for i in range(pairs):
            for words in (False, True):
                with backends(24, WORK_MS) as servers, running_cluster(
                    10, [s.address for s in servers], gossip=words
                ) as t:  # fmt: skip
                    if words:
                        t.agree(set(range(10)))
                    rows[words].append(asyncio.run(under_load(t, servers, what, i)))
        found[what] = {
            "with" if words else "without": {k: spread([r[k] for r in runs], 4) for k in runs[0]}
            for words, runs in rows.items()
        }
    return found


# ---- the world -------------------------------------------------------------


def world(nodes: int, servers: int, loss: float, drains_of: int) -> dict[str, Any]:
    w = GossipWorld(nodes, servers, 1)
    w.links.loss = loss
    w.start_all()
    w.run(6 * SECOND)
    before = w.sent.copy()
    w.run(11 * SECOND)
    words = [(w.sent[n] - before[n]) / 5 for n in w.nodes]
    times: list[float] = []
    for i in range(drains_of):
        began = w.now
        w.nodes[0].on_local_list(w.clock(0), 2 + i, [(i, 0, State.DRAINING)], False)
        w.schedule_turn(0, w.now + 1)
        left = set(range(1, nodes))
        while left and w.now < began + 20 * SECOND:
            w.run(w.now + SECOND // 200)
            knew = {n for n in left if w.nodes[n].effective_state(i, 0, State.READY) != State.READY}
            times += [(w.now - began) / SECOND] * len(knew)
            left -= knew
    began = w.now
    w.kill(nodes // 2)
    deaths: list[float] = []
    left = set(w.nodes)
    while left and w.now < began + 60 * SECOND:
        w.run(w.now + SECOND // 50)
        knew = {n for n in left if not w.nodes[n].members.is_alive(nodes // 2)}
        deaths += [(w.now - began) / SECOND] * len(knew)
        left -= knew
    return {
        "nodes": nodes, "servers": servers, "loss": loss, "drain_s": quantiles(times),
        "death_s": quantiles(deaths), "words_s": spread(words, 1),
        "held_for_dead_in_error": sum(
            not f.members.is_alive(n) for f in w.nodes.values() for n in w.nodes
        ),
    }  # fmt: skip


# ---- service with words against without ------------------------------------


def served(words: bool, seed: int, what: str) -> dict[str, float]:
    """What was answered may have been asked before the count began: a little over 1 can be."""
    # 24 servers are good for 4,800 a second; with three of them silent 0.92 of 4,560 is left.
    nodes, servers, rate, hot = {
        "silent": (100, 135, 10000.0, 0),
        "kill": (10, 24, 4560.0, 0),
        "uneven": (100, 135, 0.8 * 135 * 200, 3),
        "replaced": (100, 135, 0.5 * 135 * 200, 0),
        "cut": (100, 135, 0.8 * 135 * 200, 3),
        "slow": (100, 135, 0.5 * 135 * 200, 0),
        "tight": (100, 135, 0.8 * 135 * 200, 0),
    }.get(what, (40, 40, 2500.0, 0))
    w = ServiceWorld(
        ServicePlan(
            nodes=nodes,
            servers=servers,
            seed=seed,
            gossip=words,
            rate=rate,
            hot_nodes=tuple(range(hot)),
            hot_weight=10,
        )
    )
    w.start_all()
    w.clients.run(30 * SECOND)
    w.run(8 * SECOND)
    w.counts.clear()
    if what != "uneven":
        cause(w, Fault(what))
    if what == "silent":
        # Before its first attempt is timed out no node can know: what follows counts.
        w.run(w.now + 3 * SECOND // 2)
        w.counts.clear()
    w.run(18 * SECOND)
    if w.breaches:
        raise RuntimeError(w.breaches[0])
    bad = {
        "drain": "sent to a drained server", "silent": "sent to a silent server",
        "replaced": "sent to a server that is gone", "tight": "turned away",
    }.get(what, "")  # fmt: skip
    return {
        "served": w.counts["served"] / w.counts["asked"], "to_the_bad": w.counts[bad],
        "unmet": w.counts["sent to a silent server unmet"],
    }  # fmt: skip


def service(seeds: int) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for what in ("drain", "silent", "replaced", "slow", "tight", "kill", "uneven", "cut"):
        with Pool() as pool:
            runs = pool.starmap(served, [(w, s, what) for s in range(seeds) for w in (False, True)])
        rows = list(zip(runs[::2], runs[1::2], strict=True))
        found[what] = {
            "served_without": spread([a["served"] for a, _ in rows], 4),
            "served_with": spread([b["served"] for _, b in rows], 4),
        }
        if what in ("drain", "silent", "replaced", "tight"):
            ratios = [b["to_the_bad"] / max(a["to_the_bad"], 1) for a, b in rows]
            found[what]["sent_to_the_bad_with_over_without"] = spread(ratios)
        if what == "silent":
            # By nodes whose own attempts had not met it: the others try again, and have to.
            found[what]["sent_by_who_had_not_met_it"] = {
                "without": spread([a["unmet"] for a, _ in rows], 0),
                "with": spread([b["unmet"] for _, b in rows], 0),
            }
    return found


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="fewer drains and seeds, no 1,000")
    quick = parser.parse_args().quick
    sizes = [(21, 30), (200, 270)] if quick else [(21, 30), (200, 270), (1000, 1000)]
    found = {
        "real": real(3 if quick else DRAINS),
        "under_load": loaded(1 if quick else 3),
        "world": [world(n, s, loss, 3 if quick else 5) for n, s in sizes for loss in LOSSES],
        "service": service(2 if quick else 5),
    }
    print(json.dumps(found))


if __name__ == "__main__":
    main()

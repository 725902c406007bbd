"""Lines a second, age of the list and time to act, with Consul as the source of servers.

    python -m benchmarks.consul [--quick]

Readers are the product's own (loadbalancer.sources.consul.reader), all in one process, before a
stand-in Consul in another that counts each line it returns by its own clock second.
Side by side in one run:

- `direct`: 21 readers with a 21st of the lines each;
- `passed on`: one reader with all lines, whose list the others get without a line read;
- `unlimited`: one reader of 21 with no limit (each change read whole), its lines counted
  for 21 as they would all read the same; the floor of the age.

Churn: each second one server's check changes (another one each time), and it is noted
when it did. Age of the list at a reader: how long after a change its merged list's word
on that server is the new one. At the end a server that its users find dead: time until
the last reader has acted. Scaled down: loopback, one machine, minutes and not days.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from statistics import mean, quantiles
from typing import Any

from benchmarks.stats import spread
from fakes.fleet import Process, started
from loadbalancer.config.address import parse_address
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.server_report import Health, ServerReport
from loadbalancer.sources.consul.credentials import Credentials
from loadbalancer.sources.consul.file import MARGIN, Consistency, ConsulFile
from loadbalancer.sources.consul.list_updater import sources_of
from loadbalancer.sources.consul.reader import ConsulReader

READERS = 21
LINES = 200
UNLIMITED = 1_000_000
WAYS = ("unlimited", "passed on", "direct")
DEATH_S = 90.0  # for the last reader to act on a death


@dataclass(slots=True)
class Player:
    """One reader and its merged list; `dead` is what its users found out."""

    members: MergedList
    reader: ConsulReader
    dead: set[str]
    seen: dict[str, tuple[Health, float]] = field(default_factory=dict)

    def told(self, source: str, words: list[ServerReport], whole: bool) -> None:
        now = time.monotonic()
        self.members.update(time.monotonic_ns(), source, words, whole)
        for w in words:
            old = self.seen.get(w.uid)
            if old is None or old[0] != w.health:
                self.seen[w.uid] = (w.health, now)


def player(agent: Process, share: int, seed: int) -> Player:
    file = ConsulFile(
        (parse_address(agent.address),),
        "topup",
        {"dc1": "east"},
        None,
        None,
        share,
        Consistency.STALE,
        600,
    )

    def told(source: str, words: list[ServerReport], whole: bool) -> None:
        made.told(source, words, whole)

    dead: set[str] = set()

    def evidence_of(uid: str) -> AttemptEvidence:
        return AttemptEvidence.DEAD if uid in dead else AttemptEvidence.UNKNOWN

    members = MergedList(sources_of(file), evidence_of=evidence_of)
    made = Player(members, ConsulReader(file, Credentials(), told, seed), dead)
    return made


async def call(agent: Process, method: str, path: str, body: Any = None) -> Any:
    return await asyncio.to_thread(agent.call, method, path, body)


def rows(count: int) -> list[dict[str, Any]]:
    return [
        {"ID": f"topup-{i}", "Service": "topup", "Address": "127.0.0.1", "Port": 10_000 + i}
        for i in range(count)
    ]


async def until(condition: Callable[[], bool], seconds: float) -> bool:
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.05)
    return True


async def play(
    agent: Process, players: list[Player], count: int, seconds: int, first: float, seed: int
) -> dict[str, Any]:
    """Read `count` servers through `seconds` of churn; the figures of this way."""
    began = time.monotonic()
    cpu = time.process_time()
    for p in players:
        p.reader.start()
    whole = await until(lambda: all(p.reader.completed_rounds() for p in players), first)
    first_s = time.monotonic() - began
    random = Random(seed)
    before = await call(agent, "GET", "/standin/lines")
    changes: list[tuple[float, str, Health]] = []
    for i in range(seconds):
        due = began + first_s + i
        await asyncio.sleep(max(due - time.monotonic(), 0))
        uid = random.randrange(count)
        bad = i % 2 == 0
        status = "critical" if bad else "passing"
        changes.append(
            (
                time.monotonic(),
                f"node-topup-{uid}/topup-{uid}",
                Health.CRITICAL if bad else Health.PASSING,
            )
        )
        await call(agent, "POST", "/standin/status", {f"topup-{uid}": status})
    churn_cpu = time.process_time() - cpu
    dead_s = await death(agent, players, count)
    ages = ages_of(players, changes)
    lines = await call(agent, "GET", "/standin/lines")
    for p in players:
        p.reader.close()
    counts = [lines["seconds"].get(str(s), 0) for s in _seconds(lines["seconds"])]
    return {
        "servers": count,
        "first_whole_list_s": round(first_s, 1) if whole else None,
        "lines_a_second_most": max(counts, default=0),
        "lines_a_second_mean": round(mean(counts), 1) if counts else 0,
        "questions": lines["asked"],
        "bytes_a_change": (lines["bytes"] - before["bytes"]) // len(changes),
        "age_p50_s": _quantile(ages, 50),
        "age_p99_s": _quantile(ages, 99),
        "changes_heard": len(ages),
        "changes_made_x_readers": len(changes) * len(players),
        "cpu_ms_a_change_a_reader": round(
            1000 * churn_cpu / max(len(changes), 1) / len(players), 2
        ),
        "death_to_last_reader_s": None if dead_s is None else round(dead_s, 2),
    }


async def death(agent: Process, players: list[Player], count: int) -> float | None:
    """A server dies, its check fails and its users agree: when has the last reader acted?"""
    uid = f"node-topup-{count - 1}/topup-{count - 1}"
    for p in players:
        p.dead.add(uid)
    began = time.monotonic()
    await call(agent, "POST", "/standin/status", {f"topup-{count - 1}": "critical"})

    def out() -> bool:
        return all(any(m.uid == uid and m.state != 1 for m in p.members.servers()) for p in players)

    return time.monotonic() - began if await until(out, DEATH_S) else None


def ages_of(players: list[Player], changes: list[tuple[float, str, Health]]) -> list[float]:
    """Seconds from each change that was the last of its server to each reader's word of it."""
    last = {uid: (at, health) for at, uid, health in changes}
    out = []
    for p in players:
        for uid, (at, health) in last.items():
            seen = p.seen.get(uid)
            if seen is not None and seen[0] == health and seen[1] >= at:
                out.append(seen[1] - at)
    return out


def _seconds(found: dict[str, int]) -> range:
    numbers = [int(s) for s in found]
    return range(min(numbers), max(numbers) + 1) if numbers else range(0)


def _quantile(values: list[float], percent: int) -> float | None:
    if len(values) < 2:
        return None
    return round(quantiles(values, n=100, method="inclusive")[percent - 1], 2)


async def way(name: str, count: int, seconds: int, first: float, seed: int) -> dict[str, Any]:
    with started(("-m", "fakes.consul")) as agent:
        # The stand-in takes a body of 1 MiB at most: a part of the list at a time.
        every = rows(count)
        for at in range(2000, count + 2000, 2000):
            await call(agent, "PUT", "/standin/services", every[:at])
        if name == "direct":
            share = int(LINES * MARGIN) // READERS
            players = [player(agent, share, seed + i) for i in range(READERS)]
        else:
            share = int(LINES * MARGIN) if name == "passed on" else UNLIMITED
            players = [player(agent, share, seed)]
        found = await play(agent, players, count, seconds, first, seed)
        found["stand_in_cpu_s"] = round(agent.cpu(), 1)
    if name == "unlimited":
        for key in ("lines_a_second_most", "lines_a_second_mean"):
            found[f"{key}_of_21"] = round(found[key] * READERS, 1)
    return {"way": name} | found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="20 s of churn, 270 servers only")
    parser.add_argument("--seconds", type=int, default=120, help="of churn")
    parser.add_argument("--first", type=float, help="seconds to wait for first whole lists")
    parser.add_argument("--ways", nargs="+", default=WAYS, choices=WAYS)
    parser.add_argument("--counts", type=int, nargs="+", default=[270, 2000])
    args = parser.parse_args()
    counts = [270] if args.quick else args.counts
    seconds = 20 if args.quick else args.seconds
    out = []
    for count in counts:
        for name in args.ways:
            first = args.first or max(120.0, count / 3)
            found = asyncio.run(way(name, count, seconds, first, 11))
            print(json.dumps(found), flush=True)
            out.append(found)
    most = [f["lines_a_second_most"] for f in out if f["way"] != "unlimited"]
    print(
        json.dumps(
            {
                "benchmark": "consul",
                "cores": os.cpu_count(),
                "readers": READERS,
                "ceiling": LINES,
                "churn_s": seconds,
                "most": spread(most) if most else None,
                "ways": out,
            }
        )
    )


if __name__ == "__main__":
    main()

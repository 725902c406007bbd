"""Rows a second, age of the list and time to react, with Consul as the source of servers.

    python -m benchmarks.consul [--quick]

Readers are the product's own (loadbalancer.sources.consul.reader), all in one process, before a
fake Consul in another that counts each row it returns by its own clock second. The ways of reading
follow each other in one run:

- `direct`: 21 readers with a 21st of the rows each;
- `passed on`: one reader with all rows, whose list the others get without reading a row;
- `unlimited`: one reader of 21 with no limit (each change reads the complete list), its rows
  counted for 21 as they would all read the same; the lower bound of the age.

Churn: each second the check of one server changes, another one each time. Age of the list at a
reader: the time from a change until the reader's merged list has the new health. At the end a
server dies for its users too: the time until the last reader has removed it. Scaled down:
loopback, one machine, minutes and not days. The last line is one JSON object; times in it are
seconds unless their names say otherwise.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from statistics import mean, quantiles
from typing import Any, NamedTuple

from benchmarks.stats import spread
from fakes.processes import Process, running_process
from loadbalancer.config.address import parse_address
from loadbalancer.core.balancing.model import State
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.server_report import Health, ServerReport
from loadbalancer.sources.consul.credentials import Credentials
from loadbalancer.sources.consul.file import MARGIN, Consistency, ConsulFile
from loadbalancer.sources.consul.list_updater import sources_of
from loadbalancer.sources.consul.reader import ConsulReader

READERS = 21
ROWS_PER_SECOND = 200  # that all readers together may request
UNLIMITED = 1_000_000
SERVERS = (270, 2000)
QUICK_SERVERS = (270,)
CHURN_S = 120
QUICK_CHURN_S = 20
MIN_FIRST_LIST_S = 120.0
FIRST_LIST_ROWS_PER_SECOND = 3  # a longer list may take longer to be read first
REMOVAL_TIMEOUT_S = 90.0  # for the last reader to remove a server that died
POLL_INTERVAL_S = 0.05
MAX_REGISTERED_ROWS = 2000  # that one call adds: the fake accepts a body of 1 MiB
MAX_AGE_S = 600
MIN_PERCENTILE_VALUES = 2
SEED = 11


class Way(StrEnum):
    """How the fleet's readers come by the list."""

    UNLIMITED = "unlimited"
    PASSED_ON = "passed on"
    DIRECT = "direct"


class SeenHealth(NamedTuple):
    """A server's health as a reader has it, and since when by the monotonic clock."""

    health: Health
    at: float


class HealthChange(NamedTuple):
    """A server's health as the benchmark has changed it, and when by the monotonic clock."""

    uid: str
    health: Health
    at: float


class FleetReader:
    """One reader and its merged list.

    Args:
        agent: the fake Consul.
        rows_per_second: that this reader may request.
        seed: of the reader's own choices.
    """

    def __init__(self, agent: Process, rows_per_second: int, seed: int) -> None:
        file = _consul_file(agent, rows_per_second)
        self.dead: set[str] = set()  # uids of servers that fail this reader's own attempts
        self.seen: dict[str, SeenHealth] = {}  # by uid
        self.members = MergedList(sources_of(file), evidence_of=self._evidence_of)
        self.reader = ConsulReader(file, Credentials(), self._on_reports, seed)

    def _evidence_of(self, uid: str) -> AttemptEvidence:
        return AttemptEvidence.DEAD if uid in self.dead else AttemptEvidence.UNKNOWN

    def _on_reports(self, source: str, reports: list[ServerReport], is_complete: bool) -> None:
        now = time.monotonic()
        self.members.update(time.monotonic_ns(), source, reports, is_complete)
        for report in reports:
            seen = self.seen.get(report.uid)
            if seen is None or seen.health != report.health:
                self.seen[report.uid] = SeenHealth(report.health, now)

    def has_removed(self, uid: str) -> bool:
        """Whether the server is in the list but not ready."""
        servers = self.members.servers()
        return any(server.uid == uid and server.state != State.READY for server in servers)


def _consul_file(agent: Process, rows_per_second: int) -> ConsulFile:
    return ConsulFile(
        agents=(parse_address(agent.address),),
        service="topup",
        zones_by_datacentre={"dc1": "east"},
        token_file=None,
        ca_file=None,
        lines_per_second=rows_per_second,
        consistency=Consistency.STALE,
        max_age_s=MAX_AGE_S,
    )


def fleet_readers(agent: Process, way: Way, seed: int) -> list[FleetReader]:
    """The readers that a way of reading needs."""
    if way is Way.DIRECT:
        share = int(ROWS_PER_SECOND * MARGIN) // READERS
        return [FleetReader(agent, share, seed + i) for i in range(READERS)]
    limit = int(ROWS_PER_SECOND * MARGIN) if way is Way.PASSED_ON else UNLIMITED
    return [FleetReader(agent, limit, seed)]


# ---- the fake Consul ---------------------------------------------------------------


async def call(agent: Process, method: str, path: str, body: object = None) -> Any:
    """Call the fake, in a thread: the readers go on meanwhile."""
    return await asyncio.to_thread(agent.call, method, path, body)


async def register_servers(agent: Process, count: int) -> None:
    """Register so many servers of one service."""
    rows = [
        {"ID": f"topup-{i}", "Service": "topup", "Address": "127.0.0.1", "Port": 10_000 + i}
        for i in range(count)
    ]
    for end in range(MAX_REGISTERED_ROWS, count + MAX_REGISTERED_ROWS, MAX_REGISTERED_ROWS):
        await call(agent, "PUT", "/standin/services", rows[:end])


async def set_health(agent: Process, server: int, health: Health) -> HealthChange:
    """Change the check of one server."""
    change = HealthChange(uid_of(server), health, time.monotonic())
    status = "passing" if health is Health.PASSING else "critical"
    await call(agent, "POST", "/standin/status", {f"topup-{server}": status})
    return change


def uid_of(server: int) -> str:
    """The id under which readers list a server."""
    return f"node-topup-{server}/topup-{server}"


async def until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait for a condition; whether it held within so many seconds."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


# ---- one way -----------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Plan:
    """One case: how many servers, and for how long."""

    servers: int
    churn_s: int
    first_list_timeout_s: float
    seed: int


async def run_case(agent: Process, readers: list[FleetReader], plan: Plan) -> dict[str, Any]:
    """Start the readers, let servers' health change, then let one die; the figures of it."""
    began = time.monotonic()
    cpu_began_s = time.process_time()
    for one in readers:
        one.reader.start()
    is_listed = await until(
        lambda: all(one.reader.completed_rounds() for one in readers), plan.first_list_timeout_s
    )
    first_list_s = time.monotonic() - began
    counters_before = await call(agent, "GET", "/standin/lines")
    changes = await churn(agent, plan, began + first_list_s)
    cpu_s = time.process_time() - cpu_began_s
    removal_s = await removal_time(agent, readers, plan.servers - 1)
    ages = ages_of(readers, changes)
    counters = await call(agent, "GET", "/standin/lines")
    for one in readers:
        one.reader.close()
    cpu_ms = 1000 * cpu_s / max(len(changes), 1) / len(readers)
    return {
        "servers": plan.servers,
        "first_whole_list_s": round(first_list_s, 1) if is_listed else None,
        **_row_rates(counters["seconds"]),
        "questions": counters["asked"],
        "bytes_a_change": (counters["bytes"] - counters_before["bytes"]) // len(changes),
        "age_p50_s": _percentile(ages, 50),
        "age_p99_s": _percentile(ages, 99),
        "changes_heard": len(ages),
        "changes_made_x_readers": len(changes) * len(readers),
        "cpu_ms_a_change_a_reader": round(cpu_ms, 2),
        "death_to_last_reader_s": None if removal_s is None else round(removal_s, 2),
    }


async def churn(agent: Process, plan: Plan, began: float) -> list[HealthChange]:
    """Change the health of one server each second; `began` is of the monotonic clock."""
    random = Random(plan.seed)
    changes = []
    for second in range(plan.churn_s):
        await asyncio.sleep(max(began + second - time.monotonic(), 0))
        health = Health.CRITICAL if second % 2 == 0 else Health.PASSING
        changes.append(await set_health(agent, random.randrange(plan.servers), health))
    return changes


async def removal_time(agent: Process, readers: list[FleetReader], server: int) -> float | None:
    """Seconds until all readers have removed a server that dies; None past the time limit.

    Its check becomes critical, and each reader's own attempts at it fail.
    """
    uid = uid_of(server)
    for one in readers:
        one.dead.add(uid)
    began = time.monotonic()
    await set_health(agent, server, Health.CRITICAL)
    is_removed = await until(
        lambda: all(one.has_removed(uid) for one in readers), REMOVAL_TIMEOUT_S
    )
    return time.monotonic() - began if is_removed else None


def ages_of(readers: Sequence[FleetReader], changes: Sequence[HealthChange]) -> list[float]:
    """Seconds from the last change of each server until each reader had it."""
    last = {change.uid: change for change in changes}
    ages = []
    for one in readers:
        for uid, change in last.items():
            seen = one.seen.get(uid)
            if seen is not None and seen.health == change.health and seen.at >= change.at:
                ages.append(seen.at - change.at)
    return ages


def _row_rates(rows_by_second: dict[str, int]) -> dict[str, float]:
    """The maximum and the mean of rows a second, seconds without a row among them."""
    seconds = [int(text) for text in rows_by_second]
    if not seconds:
        return {"lines_a_second_most": 0, "lines_a_second_mean": 0}
    rates = [rows_by_second.get(str(second), 0) for second in range(min(seconds), max(seconds) + 1)]
    return {"lines_a_second_most": max(rates), "lines_a_second_mean": round(mean(rates), 1)}


def _percentile(values: list[float], percent: int) -> float | None:
    if len(values) < MIN_PERCENTILE_VALUES:
        return None
    return round(quantiles(values, n=100, method="inclusive")[percent - 1], 2)


async def run_way(way: Way, plan: Plan) -> dict[str, Any]:
    """One way of reading, with an agent of its own."""
    with running_process(("-m", "fakes.consul")) as agent:
        await register_servers(agent, plan.servers)
        figures = await run_case(agent, fleet_readers(agent, way, plan.seed), plan)
        figures["stand_in_cpu_s"] = round(agent.cpu_seconds(), 1)
    if way is Way.UNLIMITED:
        for key in ("lines_a_second_most", "lines_a_second_mean"):
            figures[f"{key}_of_21"] = round(figures[key] * READERS, 1)
    return {"way": way} | figures


def main() -> None:
    """Run each way with each number of servers, and print all figures as JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="20 s of churn, 270 servers only")
    parser.add_argument("--seconds", type=int, default=CHURN_S, help="of churn")
    parser.add_argument("--first", type=float, help="seconds to wait for first complete lists")
    parser.add_argument("--ways", nargs="+", type=Way, default=list(Way), choices=list(Way))
    parser.add_argument("--counts", type=int, nargs="+", default=SERVERS, help="of servers")
    args = parser.parse_args()
    churn_s = QUICK_CHURN_S if args.quick else args.seconds
    results = []
    for servers in QUICK_SERVERS if args.quick else args.counts:
        default_first_s = max(MIN_FIRST_LIST_S, servers / FIRST_LIST_ROWS_PER_SECOND)
        plan = Plan(servers, churn_s, args.first or default_first_s, SEED)
        for way in args.ways:
            figures = asyncio.run(run_way(way, plan))
            print(json.dumps(figures), flush=True)
            results.append(figures)
    print(json.dumps(summary(results, churn_s)))


def summary(results: list[dict[str, Any]], churn_s: int) -> dict[str, Any]:
    """The result of all ways."""
    limited = [one for one in results if one["way"] != Way.UNLIMITED]
    peaks = [one["lines_a_second_most"] for one in limited]
    return {
        "benchmark": "consul",
        "cores": os.cpu_count(),
        "readers": READERS,
        "ceiling": ROWS_PER_SECOND,
        "churn_s": churn_s,
        "most": spread(peaks) if peaks else None,
        "ways": results,
    }


if __name__ == "__main__":
    main()

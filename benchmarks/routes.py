"""Routes: what matching costs, what a routes file costs the node, what hedging and budgets do.

    python -m benchmarks.routes [--quick]

Servers and clients are fakes on this machine: the ratios count, not the figures. A server's work is
a sleep, so a server has a core of its own. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from benchmarks.stats import spread
from fakes.files import routes_toml
from fakes.load import OK, Clients, send_at_rate
from fakes.node import running_node
from fakes.processes import Process, running_backends, running_process
from loadbalancer.config.toml_file import parse
from loadbalancer.core.routes.canonical import is_canonical
from loadbalancer.core.routes.file import decode
from loadbalancer.core.routes.table import Service

PATHS = ('path = "/balance/{id}"', 'prefix = "/credit"')
CLASS = "balance"  # of the requests that are measured


# ---- routes files ---------------------------------------------------------------


def small_file(policy: str = "") -> str:
    """A routes file of three routes; `policy`: further lines of class `balance`."""
    return routes_toml(policy, paths=PATHS)


def large_file(routes: int) -> str:
    """A routes file of so many: beside three, a third each by path, template and prefix."""
    rows = []
    for number in range(routes - 3):
        patterns = (
            f'path = "/shop/{number}/list"',
            f'path = "/shop/{number}/{{item}}/price"',
            f'prefix = "/shop/{number}/stock"',
        )
        pattern = patterns[number % 3]
        rows.append(f'[[service.route]]\nname = "r{number}"\n{pattern}\nclass = "{CLASS}"\n')
    policy = 'attempts = 2\nretry_on = ["refused", "connect-failure", "error"]\n'
    return routes_toml(policy, paths=PATHS, more="".join(rows))


@contextlib.contextmanager
def written(text: str) -> Iterator[str]:
    """The path of a file with this text, until the end of the block; empty for no text."""
    if not text:
        yield ""
        return
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "routes.toml")
        path.write_text(text)
        yield str(path)


# ---- matching --------------------------------------------------------------------

MATCHED_PATHS = 20_000
MATCHED_ROUTES = (10, 1000, 10_000)


class LoadedService(NamedTuple):
    """A service from its file, and the seconds that reading and checking the file took."""

    service: Service
    load_s: float


def load_service(routes: int) -> LoadedService:
    """The service of a file with so many routes."""
    data = large_file(routes).encode()
    began = time.perf_counter()
    raw, lines = parse(data)
    result = decode(raw, lines)
    load_s = time.perf_counter() - began
    assert result.table is not None, result.faults[:1]
    return LoadedService(result.table.services[0], load_s)


def call_ns(call: Callable[[bytes], object], paths: Sequence[bytes]) -> float:
    """Mean nanoseconds of a call."""
    began = time.perf_counter_ns()
    for path in paths:
        call(path)
    return (time.perf_counter_ns() - began) / len(paths)


def draw_paths(random: Random, routes: int) -> list[bytes]:
    """Paths of routes of a large file."""
    paths = []
    for _ in range(MATCHED_PATHS):
        number = random.randrange(routes - 3)
        tail = ("list", f"{random.randrange(10**6)}/price", "stock/x/y")[number % 3]
        paths.append(f"/shop/{number}/{tail}".encode())
    return paths


def matching(runs: int) -> dict[str, Any]:
    """Nanoseconds of a match by the number of routes, beside those of a dict's look-up."""
    random = Random(1)
    figures: dict[str, Any] = {
        str(routes): matching_figures(routes, draw_paths(random, routes), runs)
        for routes in MATCHED_ROUTES
    }
    growth = figures["10000"]["match_ns"]["median"] / figures["10"]["match_ns"]["median"]
    figures["growth_10_to_10000"] = round(growth, 2)
    return figures


def matching_figures(routes: int, paths: Sequence[bytes], runs: int) -> dict[str, Any]:
    """The figures of one file, so many runs of each call in turn."""
    service, load_s = load_service(routes)

    def match(path: bytes) -> object:
        return service.match(path, path.split(b"/"), b"GET", CLASS.encode())

    known = dict.fromkeys(paths, 1)
    dict_ns, match_ns, canonical_ns = [], [], []
    for _ in range(runs):
        dict_ns.append(call_ns(known.get, paths))
        match_ns.append(call_ns(match, paths))
        canonical_ns.append(call_ns(is_canonical, paths))
    ratio = spread(match_ns)["median"] / spread(dict_ns)["median"]
    return {
        "dict_ns": spread(dict_ns, 0),
        "match_ns": spread(match_ns, 0),
        "canonical_ns": spread(canonical_ns, 0),
        "match_over_dict": round(ratio, 1),
        "load_s": round(load_s, 2),
    }


# ---- processor time of a request ---------------------------------------------------

CPU_ROUTES = 1000
CONCURRENCY = 8  # requests in flight
MAX_FAILED_PART = 0.01  # of the requests


async def send_concurrently(address: str, count: int, concurrency: int, seed: int) -> None:
    """Send so many requests, each worker one after another; at most 1% may fail."""
    clients = Clients(address, seed)

    async def send_share() -> None:
        for _ in range(count // concurrency):
            await clients.send(CLASS)

    await asyncio.gather(*(send_share() for _ in range(concurrency)))
    clients.close()
    statuses = clients.results[CLASS].statuses
    assert statuses.total() - statuses[OK] <= count * MAX_FAILED_PART, clients.results


def cpu(runs: int, count: int) -> dict[str, Any]:
    """Microseconds of processor time a request of a node without a file and with one."""
    with (
        running_backends(4, 0.0, 64) as servers,
        written(large_file(CPU_ROUTES)) as path,
        running_node(servers) as plain,
        running_node(servers) as same,
        running_node(servers, routes=path) as routed,
        running_process(
            ("-m", "benchmarks.passthrough", *(server.address for server in servers))
        ) as bare,
    ):
        # The second node without a file shows the machine's own noise.
        processes = {"bare": bare, "no_file": plain, "no_file_2": same, "file_1000": routed}
        cpu_us = cpu_readings(processes, runs, count)
    return cpu_figures(cpu_us)


def cpu_readings(processes: dict[str, Process], runs: int, count: int) -> dict[str, list[float]]:
    """Microseconds a request of each process, so many runs in a rotating order."""
    readings: dict[str, list[float]] = {name: [] for name in processes}
    names = list(processes)
    for run in range(runs + 1):
        first = run % len(names)
        for name in names[first:] + names[:first]:
            process = processes[name]
            before_s = process.cpu_seconds()
            asyncio.run(send_concurrently(process.address, count, CONCURRENCY, run))
            if run:  # the first warms up
                readings[name].append((process.cpu_seconds() - before_s) / count * 1e6)
    return readings


def cpu_figures(readings: dict[str, list[float]]) -> dict[str, Any]:
    """The readings and their ratios."""
    no_file = readings["no_file"]

    def ratios(name: str) -> dict[str, float]:
        return spread([a / b for a, b in zip(readings[name], no_file, strict=True)])

    bare_ratio = spread(no_file)["median"] / spread(readings["bare"])["median"]
    return {f"{name}_us": spread(values, 1) for name, values in readings.items()} | {
        "file_over_no_file": ratios("file_1000"),
        "no_file_2_over_no_file": ratios("no_file_2"),
        "file_over_no_file_least": round(min(readings["file_1000"]) / min(no_file), 3),
        "no_file_over_bare": round(bare_ratio, 2),
    }


# ---- hedged requests -----------------------------------------------------------------

HEDGING_SERVERS = 10
HEDGING_WORK_MS = 5.0
SLOWDOWN = 10  # of the slow server
# About 0.6 of what the servers can do: below, the slow one gets too few requests.
HEDGING_RATE = 1100.0  # requests a second
HEDGING_POLICIES = {
    "off": "",
    "on": 'attempts = 2\nsecond_copy = { after = "12ms", most = 0.05 }\n',
    "learned": "attempts = 2\nsecond_copy = { percentile = 95, most = 0.05 }\n",
}
QUANTILES = {"p50": 0.5, "p99": 0.99, "p999": 0.999}


def hedging(runs: int, count: int) -> dict[str, Any]:
    """Milliseconds with one slow server in ten, and attempts beyond one a request."""
    readings: dict[str, dict[str, list[float]]] = {
        name: {key: [] for key in (*QUANTILES, "extra")} for name in HEDGING_POLICIES
    }
    for seed in range(runs):
        for name, policy in HEDGING_POLICIES.items():
            for key, value in hedging_run(policy, count, seed).items():
                readings[name][key].append(value)
    figures: dict[str, Any] = {
        name: {key: spread(values) for key, values in found.items()}
        for name, found in readings.items()
    }
    ratio = figures["on"]["p99"]["median"] / figures["off"]["p99"]["median"]
    figures["p99_on_over_off"] = round(ratio, 2)
    return figures


def hedging_run(policy: str, count: int, seed: int) -> dict[str, float]:
    """One run with this policy."""
    with (
        running_backends(HEDGING_SERVERS, HEDGING_WORK_MS) as servers,
        written(small_file(policy)) as path,
        running_node(servers, routes=path) as node,
    ):
        servers[0].call("POST", "/standin/faults", {"slow": SLOWDOWN})
        clients = Clients(node.address, seed)
        asyncio.run(send_at_rate(clients, HEDGING_RATE, count, credit_part=0.0))
        attempts = attempts_received(servers)
    results = clients.results[CLASS]
    times = {key: results.quantile_ms(part) for key, part in QUANTILES.items()}
    return times | {"extra": attempts / count - 1}


def attempts_received(servers: Sequence[Process]) -> int:
    """By all servers."""
    states = [server.call("GET", "/standin/state") for server in servers]
    return sum(state.get("received", 0) for state in states)


# ---- retry budgets --------------------------------------------------------------------

RETRYING_SERVERS = 8
FAILING_SERVERS = 4
RETRYING_WORK_MS = 4.0
RETRYING_RATE = 200.0  # requests a second
RETRY = 'attempts = 3\nretry_on = ["connect-failure", "refused", "reset", "error", "timeout"]\n'


def amplification(runs: int, count: int) -> dict[str, Any]:
    """Half of the servers answer errors at once: attempts a request, and the part served."""
    files = {
        "no_file": "",
        "budget_0.2": small_file(RETRY + "budget = { part = 0.2, floor = 1 }\n"),
        "budget_1.0": small_file(RETRY + "budget = { part = 1.0, floor = 1000 }\n"),
    }
    figures: dict[str, Any] = {}
    for name, text in files.items():
        results = [amplification_run(text, count, seed) for seed in range(runs)]
        figures[name] = {
            "attempts_a_request": spread([one.attempts_per_request for one in results]),
            "served": spread([one.served_part for one in results]),
        }
    return figures


class Amplification(NamedTuple):
    """What one run came to."""

    attempts_per_request: float
    served_part: float  # of the requests


def amplification_run(text: str, count: int, seed: int) -> Amplification:
    """One run with this routes file, empty for none."""
    with (
        running_backends(RETRYING_SERVERS, RETRYING_WORK_MS) as servers,
        written(text) as path,
        running_node(servers, routes=path) as node,
    ):
        for server in servers[:FAILING_SERVERS]:
            server.call("POST", "/standin/faults", {"error": 1.0})
        clients = Clients(node.address, seed)
        asyncio.run(send_at_rate(clients, RETRYING_RATE, count, credit_part=0.0))
        attempts = attempts_received(servers)
    return Amplification(attempts / count, clients.results[CLASS].statuses[OK] / count)


# ---- the command ----------------------------------------------------------------------


class Plan(NamedTuple):
    """How much is run."""

    matching_runs: int
    cpu_runs: int
    load_runs: int  # of hedging and of budgets
    requests: int  # of a run; half of it for processor time and budgets


FULL = Plan(matching_runs=5, cpu_runs=15, load_runs=3, requests=4000)
QUICK = Plan(matching_runs=2, cpu_runs=6, load_runs=2, requests=600)
PARTS: dict[str, Callable[[Plan], dict[str, Any]]] = {
    "matching": lambda plan: matching(plan.matching_runs),
    "cpu": lambda plan: cpu(plan.cpu_runs, plan.requests // 2),
    "copies": lambda plan: hedging(plan.load_runs, plan.requests),
    "amplification": lambda plan: amplification(plan.load_runs, plan.requests // 2),
}


def main() -> None:
    """Run the parts, and print each and then all as JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="fewer runs and requests")
    parser.add_argument("--only", choices=tuple(PARTS), help="this part alone")
    args = parser.parse_args()
    plan = QUICK if args.quick else FULL
    result: dict[str, Any] = {"benchmark": "routes", "scaled": "one machine, stand-ins that sleep"}
    for name, measure in PARTS.items():
        if args.only in (None, name):
            result[name] = measure(plan)
            print(name, json.dumps(result[name], indent=1))
    print(json.dumps(result))


if __name__ == "__main__":
    main()

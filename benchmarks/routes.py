"""Routes: what matching costs, what the file costs the node, what second copies and
budgets do.

    python -m benchmarks.routes [--quick]

Everything is played on one machine by stand-ins: the ratios count, not the
figures. Servers' work is a sleep, so a server has one core of its own.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.stats import spread
from fakes.files import routes_toml
from fakes.load import Clients, send_at_rate
from fakes.node import running_node
from fakes.processes import running_backends, running_process
from loadbalancer.config.toml_file import parse
from loadbalancer.core.routes.canonical import is_canonical
from loadbalancer.core.routes.file import decode
from loadbalancer.core.routes.table import Service

PATHS = ('path = "/balance/{id}"', 'prefix = "/credit"')


def classes(balance: str = "", more: str = "") -> str:
    return routes_toml(balance, paths=PATHS, more=more)


RETRY = 'attempts = 3\nretry_on = ["connect-failure", "refused", "reset", "error", "timeout"]\n'
# In the place of what the policies would grant, to be told from the module without a file.
RATE = 1100.0  # a second, some 0.6 of what the servers can do: below, the slow one gets too few
COPIES = 'second_copy = { after = "%dms", most = 0.05 }\n'


def many(routes: int) -> str:
    """The file with so many further routes: a third each exact, template and prefix."""
    rows = []
    for i in range(routes - 3):
        pattern = (f'path = "/shop/{i}/list"', f'path = "/shop/{i}/{{item}}/price"',
                   f'prefix = "/shop/{i}/stock"')[i % 3]  # fmt: skip
        rows.append(f'[[service.route]]\nname = "r{i}"\n{pattern}\nclass = "balance"\n')
    policy = 'attempts = 2\nretry_on = ["refused", "connect-failure", "error"]\n'
    return classes(policy, "".join(rows))


# ---- (a) matching ------------------------------------------------------


def table(routes: int) -> tuple[Service, float]:
    """The service, and the seconds that reading and checking its file took."""
    text = many(routes).encode()
    began = time.perf_counter()
    raw, lines = parse(text)
    result = decode(raw, lines)
    taken = time.perf_counter() - began
    assert result.table is not None, result.faults[:1]
    return result.table.services[0], taken


def per_call(call: Callable[[bytes], object], paths: list[bytes]) -> float:
    """Nanoseconds."""
    began = time.perf_counter_ns()
    for path in paths:
        call(path)
    return (time.perf_counter_ns() - began) / len(paths)


def matching(runs: int) -> dict[str, Any]:
    random = Random(1)
    out: dict[str, Any] = {}
    for routes in (10, 1000, 10_000):
        service, load_s = table(routes)

        def match(path: bytes, service: Service = service) -> object:
            return service.match(path, path.split(b"/"), b"GET", b"balance")

        paths = []
        for _ in range(20_000):
            i = random.randrange(routes - 3)
            tail = ("list", f"{random.randrange(10**6)}/price", "stock/x/y")[i % 3]
            paths.append(f"/shop/{i}/{tail}".encode())
        known = dict.fromkeys(paths, 1)
        looked, matched, placed = [], [], []
        for _ in range(runs):
            looked.append(per_call(known.get, paths))
            matched.append(per_call(match, paths))
            placed.append(per_call(is_canonical, paths))
        out[str(routes)] = {
            "dict_ns": spread(looked, 0),
            "match_ns": spread(matched, 0),
            "canonical_ns": spread(placed, 0),
            "match_over_dict": round(spread(matched)["median"] / spread(looked)["median"], 1),
            "load_s": round(load_s, 2),
        }
    out["growth_10_to_10000"] = round(
        out["10000"]["match_ns"]["median"] / out["10"]["match_ns"]["median"], 2
    )
    return out


# ---- (b) CPU a request -------------------------------------------------


@contextlib.contextmanager
def routes_file(text: str) -> Iterator[str]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "routes.toml")
        path.write_text(text)
        yield str(path)


async def closed_loop(address: str, count: int, at_once: int, seed: int) -> None:
    clients = Clients(address, seed)

    async def worker() -> None:
        for _ in range(count // at_once):
            await clients.send("balance")

    await asyncio.gather(*(worker() for _ in range(at_once)))
    clients.close()
    wrong = clients.results["balance"].statuses.total() - clients.results["balance"].statuses[200]
    assert wrong <= count // 100, clients.results


def cpu(runs: int, count: int) -> dict[str, Any]:
    """Microseconds of CPU a request of each process, rounds in turn."""
    with (
        running_backends(4, 0.0, 64) as servers,
        routes_file(many(1000)) as path,
        running_node(servers) as plain,
        running_node(servers) as same,
        running_node(servers, routes=path) as routed,
        running_process(
            ("-m", "benchmarks.passthrough", *(s.address for s in servers))
        ) as bare,
    ):  # fmt: skip
        # The second node without a file shows what the machine's own noise is.
        processes = {"bare": bare, "no_file": plain, "no_file_2": same, "file_1000": routed}
        spent: dict[str, list[float]] = {name: [] for name in processes}
        for turn in range(runs + 1):
            names = [*processes]
            for name in names[turn % 4 :] + names[: turn % 4]:
                process = processes[name]
                before = process.cpu_seconds()
                asyncio.run(closed_loop(process.address, count, 8, turn))
                if turn:  # the first warms up
                    spent[name].append((process.cpu_seconds() - before) / count * 1e6)

    def over(name: str) -> dict[str, float]:
        pairs = zip(spent[name], spent["no_file"], strict=True)
        return spread([a / b for a, b in pairs])

    return {f"{name}_us": spread(values, 1) for name, values in spent.items()} | {
        "file_over_no_file": over("file_1000"),
        "no_file_2_over_no_file": over("no_file_2"),
        "file_over_no_file_least": round(min(spent["file_1000"]) / min(spent["no_file"]), 3),
        "no_file_over_bare": round(
            spread(spent["no_file"])["median"] / spread(spent["bare"])["median"], 2
        ),
    }


# ---- (c) second copies -------------------------------------------------


def one_slow(text: str, count: int, seed: int) -> tuple[Clients, int]:
    """Ten servers of which one takes ten times as long; clients and attempts received."""
    with (
        running_backends(10, 5.0) as servers,
        routes_file(text) as path,
        running_node(servers, routes=path) as node,
    ):
        servers[0].call("POST", "/standin/faults", {"slow": 10})
        clients = Clients(node.address, seed)
        asyncio.run(send_at_rate(clients, RATE, count, credit_part=0.0))
        states = [s.call("GET", "/standin/state") for s in servers]
    return clients, sum(s["received"] for s in states)


def copies(runs: int, count: int) -> dict[str, Any]:
    learned = "second_copy = { percentile = 95, most = 0.05 }\n"
    texts = {
        "off": classes(),
        "on": classes("attempts = 2\n" + COPIES % 12),
        "learned": classes("attempts = 2\n" + learned),
    }
    seen: dict[str, dict[str, list[float]]] = {
        name: {"p50": [], "p99": [], "p999": [], "extra": []} for name in texts
    }
    for seed in range(runs):
        for name, text in texts.items():
            clients, attempts = one_slow(text, count, seed)
            times = clients.results["balance"]
            for key, part in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
                seen[name][key].append(times.quantile_ms(part))
            seen[name]["extra"].append(attempts / count - 1)
    out: dict[str, Any] = {
        name: {key: spread(values) for key, values in figures.items()}
        for name, figures in seen.items()
    }
    out["p99_on_over_off"] = round(out["on"]["p99"]["median"] / out["off"]["p99"]["median"], 2)
    return out


# ---- (d) amplification -------------------------------------------------


def amplification(runs: int, count: int) -> dict[str, Any]:
    """Half of eight servers answer errors at once: attempts a request."""
    texts = {
        "no_file": "",
        "budget_0.2": classes(RETRY + "budget = { part = 0.2, floor = 1 }\n"),
        "budget_1.0": classes(RETRY + "budget = { part = 1.0, floor = 1000 }\n"),
    }
    out: dict[str, Any] = {}
    for name, text in texts.items():
        ratios, served = [], []
        for seed in range(runs):
            with (
                running_backends(8, 4.0) as servers,
                routes_file(text) as path,
                running_node(servers, routes=path if text else "") as node,
            ):
                for server in servers[:4]:
                    server.call("POST", "/standin/faults", {"error": 1.0})
                clients = Clients(node.address, seed)
                asyncio.run(send_at_rate(clients, 200.0, count, credit_part=0.0))
                states = [s.call("GET", "/standin/state") for s in servers]
            ratios.append(sum(s.get("received", 0) for s in states) / count)
            served.append(clients.results["balance"].statuses[200] / count)
        out[name] = {"attempts_a_request": spread(ratios), "served": spread(served)}
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--only", choices=("matching", "cpu", "copies", "amplification"))
    args = parser.parse_args()
    runs, count = (2, 600) if args.quick else (5, 4000)
    parts: dict[str, Callable[[], dict[str, Any]]] = {
        "matching": lambda: matching(runs),
        "cpu": lambda: cpu(3 * runs, count // 2),
        "copies": lambda: copies(min(runs, 3), count),
        "amplification": lambda: amplification(min(runs, 3), count // 2),
    }
    result: dict[str, Any] = {"benchmark": "routes", "scaled": "one machine, stand-ins that sleep"}
    for name, measure in parts.items():
        if args.only in (None, name):
            result[name] = measure()
            print(name, json.dumps(result[name], indent=1))
    print(json.dumps(result))


if __name__ == "__main__":
    main()

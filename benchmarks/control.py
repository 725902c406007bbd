"""The control service before many proxies: time to the last answer, bytes, CPU, memory.

    python -m benchmarks.control [--quick]

Each case is a number of connected proxies and of servers. A change replaces one server;
told is when discovery was told, the end when a proxy has acknowledged it. Beside it the
floor: bare grpcio streams that write the same bytes to the same proxies. Proxies are
stand-ins in Python processes on this machine: their own work is part of both times.
Scaled to one machine; prints one JSON line last.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks.stats import spread
from fakes.files import write_control
from fakes.node import SETTINGS
from fakes.processes import Process, running_process
from loadbalancer.cli.check import settings_of
from loadbalancer.config.routes_file import check_file
from loadbalancer.control.xds.encoder import Encoder
from loadbalancer.control.xds.wire import ResponseEncoder
from loadbalancer.core import State
from loadbalancer.core.balancing.model import ServerView
from loadbalancer.core.xds.messages import DiscoveryResponse
from loadbalancer.core.xds.plan import make_plan
from loadbalancer.core.xds.snapshot import ResourceType, make_resource
from loadbalancer.core.xds.target_proxies import ProxyKind, TargetProxies

CASES = ((21, 270), (200, 270), (1000, 270), (21, 5000))
QUICK = ((5, 20), (21, 270))
CHANGES = 10
PROCESSES = 5  # that the proxies are spread over
VARIANTS = {"whole": "sotw", "incremental": "incremental"}  # of a result: of the protocol


def address(number: int) -> str:
    """Each server has a host of its own, which is found in its endpoints' bytes."""
    return f"127.{1 + number // 62500}.{number // 250 % 250}.{1 + number % 250}"


def listed(first: int, count: int) -> list[dict[str, Any]]:
    return [
        {"uid": f"s-{i}", "endpoint": f"{address(i)}:9000", "az": "east", "model": "m2",
         "pod_group": 1, "state": "active", "capacity_hint": 1.0, "boot_ms": 0}
        for i in range(first, first + count)
    ]  # fmt: skip


def say(process: Process, **order: Any) -> Any:
    return json.loads(process.send_line(json.dumps(order)))


def memory_mb(process: Process) -> float:
    """Resident memory."""
    for line in Path(f"/proc/{process.child.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


@contextlib.contextmanager
def control(folder: Path, discovery: str, servers: int, port: int = 0) -> Iterator[Process]:
    known = {"rev": 0, "all": True, "targets": listed(0, servers)}
    path = write_control(folder, SETTINGS, known, port, discovery)
    with running_process(("-m", "loadbalancer", "control", str(path))) as process:
        process.collect_log()
        yield process


@contextlib.contextmanager
def crowd(at: str, count: int, variant: str) -> Iterator[list[Process]]:
    share = -(-count // min(PROCESSES, count))
    with contextlib.ExitStack() as stack:
        out = []
        for i in range(0, count, share):
            words = ("-m", "fakes.xds_proxy", at, "--count", str(min(share, count - i)),
                     "--variant", VARIANTS[variant], "--id", f"p{i}", "--light",
                     "--reconnect")  # fmt: skip
            out.append(stack.enter_context(running_process(words)))
        for process in out:
            say(process, do="connect")
        yield out


def seen(proxies: list[Process], host: str) -> list[float]:
    """When each proxy had answered what holds this host."""
    for process in proxies:
        assert process.child.stdin is not None
        process.child.stdin.write(json.dumps({"do": "seen", "text": host}) + "\n")
        process.child.stdin.flush()
    out: list[float] = []
    for process in proxies:
        assert process.child.stdout is not None
        out += json.loads(process.child.stdout.readline())
    return out


def received(proxies: list[Process]) -> int:
    return sum(s["bytes"] for p in proxies for s in say(p, do="state").values())


def changes(
    proxies: list[Process], served: Process, change: Any, hosts: list[str]
) -> dict[str, Any]:
    """So many changes one after the other; `change(i)` tells the i-th and returns when."""
    p50, p99, last, cpu = [], [], [], []
    before = received(proxies)
    count = 0
    for i, host in enumerate(hosts):
        used = served.cpu_seconds()
        told = change(i)
        times = sorted(t - told for t in seen(proxies, host))
        time.sleep(0.3)  # what else follows from the change is its cost too
        cpu.append(served.cpu_seconds() - used)
        count = len(times)
        p50.append(times[count // 2])
        p99.append(times[min(int(0.99 * count), count - 1)])
        last.append(times[-1])
    size = (received(proxies) - before) / len(hosts) / count
    return {
        "p50_ms": spread([1000 * t for t in p50], 1),
        "p99_ms": spread([1000 * t for t in p99], 1),
        "last_ms": spread([1000 * t for t in last], 1),
        "bytes_a_change_and_proxy": round(size),
        "cpu_ms_a_change": spread([1000 * t for t in cpu], 1),
    }


def case(count: int, servers: int, variant: str, turns: int) -> dict[str, Any]:
    """One case, and its floor in the same run for the whole variant."""
    with (
        tempfile.TemporaryDirectory() as name,
        running_process(("-m", "fakes.discovery")) as discovery,
    ):
        folder = Path(name)
        discovery.call("POST", "/standin/targets", listed(0, servers))
        with contextlib.ExitStack() as stack:
            with control(folder, discovery.address, servers) as process:
                port = int(process.address.rpartition(":")[2])
                alone = memory_mb(process)
                began = time.monotonic()
                proxies = stack.enter_context(crowd(process.address, count, variant))
                connected = max(seen(proxies, address(servers - 1))) - began
                time.sleep(1.0)  # bounds settle after the last one has come

                def change(i: int) -> float:
                    told = time.monotonic()
                    discovery.call("POST", "/standin/targets", listed(i + 1, servers))
                    return told

                hosts = [address(servers + i) for i in range(turns)]
                out = changes(proxies, process, change, hosts)
                out["connect_s"] = round(connected, 2)
                out["memory_mb"] = round(memory_mb(process), 1)
                out["memory_kb_a_proxy"] = round(1024 * (memory_mb(process) - alone) / count, 1)
            with control(folder, discovery.address, servers, port) as process:
                began = time.monotonic()
                discovery.call("POST", "/standin/targets", listed(turns + 1, servers))
                back = max(seen(proxies, address(servers + turns))) - began
                out["all_back_after_restart_s"] = round(back, 2)
        if variant == "whole":
            out["floor"] = floor(folder, count, servers, turns)
            ratio = out["last_ms"]["median"] / max(out["floor"]["last_ms"]["median"], 0.1)
            out["last_over_floor"] = round(ratio, 2)
        return out


def floor(folder: Path, count: int, servers: int, turns: int) -> dict[str, Any]:
    """The same bytes over streams that decide nothing."""
    settings = settings_of(str(folder / "config.json"))
    table = check_file(str(folder / "routes.toml"), settings).table
    assert table is not None
    with (
        running_process(("-m", "benchmarks.bare_streams")) as process,
        crowd(process.address, count, "whole") as proxies,
    ):
        while json.loads(process.send_line(""))["streams"] < count:
            time.sleep(0.05)

        def change(i: int) -> float:
            rows = range(i, i + servers)
            view = [ServerView(n, 0, State.READY, 4, 1.0, 1.0, False) for n in rows]
            where = {n: (address(n), 9000) for n in rows}
            audience = TargetProxies(ProxyKind.ENVOY, 0, ("east",), count)
            made = make_plan(table.services[0], settings, table.node_budget, view, where, audience)
            picture = Encoder(ProxyKind.ENVOY, ("127.0.0.1", 1)).build([made])
            (body,) = picture.of_type(ResourceType.ENDPOINTS).values()
            reply = DiscoveryResponse(
                ResourceType.ENDPOINTS, body.version, "", (make_resource("topup", body.body),)
            )
            path = folder / "answer"
            path.write_bytes(ResponseEncoder(False).encode(reply))
            told = time.monotonic()
            process.send_line(str(path))
            return told

        hosts = [address(servers + i) for i in range(turns)]
        return changes(proxies, process, lambda i: change(i + 1), hosts)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="small cases, to try it")
    parser.add_argument("--case", help="one case alone, as 200x270")
    args = parser.parse_args()
    cases: tuple[tuple[int, int], ...] = QUICK if args.quick else CASES
    if args.case:
        count, servers = (int(n) for n in args.case.split("x"))
        cases = ((count, servers),)
    out: dict[str, Any] = {"machine": f"{os.cpu_count()} cores, scaled to one machine"}
    for count, servers in cases:
        for variant in ("whole", "incremental"):
            name = f"{count}x{servers} {variant}"
            out[name] = case(count, servers, variant, 3 if args.quick else CHANGES)
            print(name, json.dumps(out[name]), flush=True)
    print(json.dumps(out))


if __name__ == "__main__":
    main()

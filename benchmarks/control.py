"""The control service before many proxies: time to the last ACK, bytes, processor time, memory.

    python -m benchmarks.control [--quick]

Each case is a number of connected proxies and of servers. A change replaces one server; its time
runs from the call that gives discovery the new list until a proxy has acknowledged it. Beside it
the floor: bare grpcio streams that write the same bytes to the same proxies. Proxies are fakes in
Python processes on this machine: their own work is part of both times. Scaled to one machine;
prints one JSON line last.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.stats import spread
from fakes.discovery import target
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

CHANGES = 10  # of each case
QUICK_CHANGES = 3
PROXY_PROCESSES = 5  # at most, that the proxies are spread over
SERVER_PORT = 9000
CHANGE_END_S = 0.3  # what else follows from a change belongs to its cost
SETTLE_S = 1.0  # after the last proxy has connected: its share of the limits settles
POLL_INTERVAL_S = 0.05
MIN_FLOOR_MS = 0.1  # by which a time is divided at least


class Case(NamedTuple):
    """How many proxies and servers."""

    proxies: int
    servers: int


CASES = (Case(21, 270), Case(200, 270), Case(1000, 270), Case(21, 5000))
QUICK_CASES = (Case(5, 20), Case(21, 270))


class Variant(StrEnum):
    """The xDS variant that proxies use, by its name in the result."""

    STATE_OF_THE_WORLD = "whole"
    INCREMENTAL = "incremental"

    @property
    def option(self) -> str:
        """Of the fake proxies."""
        return "sotw" if self is Variant.STATE_OF_THE_WORLD else "incremental"


# ---- servers ------------------------------------------------------------------


def server_host(number: int) -> str:
    """A server's own address, by which it is found in the bytes of endpoints."""
    return f"127.{1 + number // 62500}.{number // 250 % 250}.{1 + number % 250}"


def server_rows(first: int, count: int) -> list[dict[str, Any]]:
    """So many servers in the list's form."""
    numbers = range(first, first + count)
    return [target(f"s-{number}", f"{server_host(number)}:{SERVER_PORT}") for number in numbers]


# ---- proxies ------------------------------------------------------------------


class Proxies:
    """Fake proxies in a few processes."""

    def __init__(self, processes: Sequence[Process]) -> None:
        self._processes = processes

    def connect(self) -> None:
        """Open the streams of all proxies."""
        for process in self._processes:
            command(process, "connect")

    def received_bytes(self) -> int:
        """What all proxies have received so far."""
        states = [command(process, "state") for process in self._processes]
        return sum(proxy["bytes"] for state in states for proxy in state.values())

    def acknowledged_at(self, host: str) -> list[float]:
        """When each proxy acknowledged endpoints with this host, by the monotonic clock."""
        order = json.dumps({"do": "seen", "text": host})
        for process in self._processes:
            process.write_line(order)
        return [at for process in self._processes for at in json.loads(process.read_json_line())]


def command(process: Process, name: str) -> Any:
    """Give a process of proxies a command without arguments; its answer."""
    return json.loads(process.send_line(json.dumps({"do": name})))


@contextlib.contextmanager
def connected_proxies(address: str, count: int, variant: Variant) -> Iterator[Proxies]:
    """So many proxies with streams to the service at this address."""
    share = -(-count // min(PROXY_PROCESSES, count))
    with contextlib.ExitStack() as stack:
        processes = [
            stack.enter_context(
                running_process(
                    (
                        *("-m", "fakes.xds_proxy", address),
                        *("--count", str(min(share, count - first))),
                        *("--variant", variant.option, "--id", f"p{first}"),
                        *("--light", "--reconnect"),
                    )
                )
            )
            for first in range(0, count, share)
        ]
        proxies = Proxies(processes)
        proxies.connect()
        yield proxies


# ---- changes ------------------------------------------------------------------


def change_figures(
    proxies: Proxies, service: Process, change: Callable[[int], float], hosts: Sequence[str]
) -> dict[str, Any]:
    """Make one change after another.

    Args:
        proxies: that acknowledge them.
        service: the process that serves them.
        change: makes the change of this number, and returns when by the monotonic clock.
        hosts: by number, the host that the change adds.
    """
    p50_ms, p99_ms, last_ms, cpu_ms = [], [], [], []
    bytes_before = proxies.received_bytes()
    count = 0
    for number, host in enumerate(hosts):
        cpu_before_s = service.cpu_seconds()
        changed_at = change(number)
        times_ms = sorted(1000 * (at - changed_at) for at in proxies.acknowledged_at(host))
        time.sleep(CHANGE_END_S)
        cpu_ms.append(1000 * (service.cpu_seconds() - cpu_before_s))
        count = len(times_ms)
        p50_ms.append(times_ms[count // 2])
        p99_ms.append(times_ms[min(int(0.99 * count), count - 1)])
        last_ms.append(times_ms[-1])
    size = (proxies.received_bytes() - bytes_before) / len(hosts) / count
    return {
        "p50_ms": spread(p50_ms, 1),
        "p99_ms": spread(p99_ms, 1),
        "last_ms": spread(last_ms, 1),
        "bytes_a_change_and_proxy": round(size),
        "cpu_ms_a_change": spread(cpu_ms, 1),
    }


# ---- one case -----------------------------------------------------------------


class CaseRun:
    """One case: a control service, its discovery service, and its proxies."""

    def __init__(
        self, case: Case, variant: Variant, changes: int, folder: Path, discovery: Process
    ) -> None:
        self._case = case
        self._variant = variant
        self._changes = changes
        self._folder = folder
        self._discovery = discovery

    def figures(self) -> dict[str, Any]:
        """Run the case; with its floor, in the same run, for the state of the world."""
        self._publish(0)
        with contextlib.ExitStack() as stack:
            with self._control() as service:
                port = int(service.address.rpartition(":")[2])
                figures, proxies = self._connect_and_change(service, stack)
            back_s = self._restart(port, proxies)
        figures["all_back_after_restart_s"] = round(back_s, 2)
        if self._variant is Variant.STATE_OF_THE_WORLD:
            figures["floor"] = self._floor()
            floor_ms = max(figures["floor"]["last_ms"]["median"], MIN_FLOOR_MS)
            figures["last_over_floor"] = round(figures["last_ms"]["median"] / floor_ms, 2)
        return figures

    def _publish(self, first: int) -> float:
        """Give discovery the servers from this number on; when, by the monotonic clock."""
        began = time.monotonic()
        rows = server_rows(first, self._case.servers)
        self._discovery.call("POST", "/standin/targets", rows)
        return began

    @contextlib.contextmanager
    def _control(self, port: int = 0) -> Iterator[Process]:
        known = {"rev": 0, "all": True, "targets": server_rows(0, self._case.servers)}
        path = write_control(self._folder, SETTINGS, known, port, self._discovery.address)
        with running_process(("-m", "loadbalancer", "control", str(path))) as process:
            process.collect_log()
            yield process

    def _connect_and_change(
        self, service: Process, stack: contextlib.ExitStack
    ) -> tuple[dict[str, Any], Proxies]:
        """Connect proxies, which stay until the stack ends, and make the changes."""
        servers, count = self._case.servers, self._case.proxies
        memory_alone_mb = service.resident_mb()
        began = time.monotonic()
        proxies = stack.enter_context(connected_proxies(service.address, count, self._variant))
        connect_s = max(proxies.acknowledged_at(server_host(servers - 1))) - began
        time.sleep(SETTLE_S)
        hosts = [server_host(servers + number) for number in range(self._changes)]
        figures = change_figures(proxies, service, lambda number: self._publish(number + 1), hosts)
        memory_mb = service.resident_mb()
        figures["connect_s"] = round(connect_s, 2)
        figures["memory_mb"] = round(memory_mb, 1)
        figures["memory_kb_a_proxy"] = round(1024 * (memory_mb - memory_alone_mb) / count, 1)
        return figures, proxies

    def _restart(self, port: int, proxies: Proxies) -> float:
        """Start the service again: seconds until all proxies have the next change."""
        with self._control(port):
            began = self._publish(self._changes + 1)
            host = server_host(self._case.servers + self._changes)
            return max(proxies.acknowledged_at(host)) - began

    def _floor(self) -> dict[str, Any]:
        """The same bytes over streams that decide nothing."""
        servers, count = self._case.servers, self._case.proxies
        response = EndpointsResponse(self._folder, self._case)
        path = self._folder / "answer"
        with (
            running_process(("-m", "benchmarks.bare_streams")) as streams,
            connected_proxies(streams.address, count, self._variant) as proxies,
        ):
            while json.loads(streams.send_line(""))["streams"] < count:
                time.sleep(POLL_INTERVAL_S)

            def change(number: int) -> float:
                path.write_bytes(response.encode(number + 1))
                began = time.monotonic()
                streams.send_line(str(path))
                return began

            hosts = [server_host(servers + number) for number in range(self._changes)]
            return change_figures(proxies, streams, change, hosts)


class EndpointsResponse:
    """The endpoints as the control service encodes them, from the files in its folder."""

    def __init__(self, folder: Path, case: Case) -> None:
        self._case = case
        self._settings = settings_of(str(folder / "config.json"))
        table = check_file(str(folder / "routes.toml"), self._settings).table
        assert table is not None
        self._table = table

    def encode(self, first: int) -> bytes:
        """The response with the servers from this number on."""
        numbers = range(first, first + self._case.servers)
        views = [ServerView(n, 0, State.READY, 4, 1.0, 1.0, False) for n in numbers]
        addresses = {n: (server_host(n), SERVER_PORT) for n in numbers}
        proxies = TargetProxies(ProxyKind.ENVOY, 0, ("east",), self._case.proxies)
        service, budget = self._table.services[0], self._table.node_budget
        plan = make_plan(service, self._settings, budget, views, addresses, proxies)
        snapshot = Encoder(ProxyKind.ENVOY, ("127.0.0.1", 1)).build([plan])
        (endpoints,) = snapshot.of_type(ResourceType.ENDPOINTS).values()
        resource = make_resource("topup", endpoints.body)
        response = DiscoveryResponse(ResourceType.ENDPOINTS, endpoints.version, "", (resource,))
        return ResponseEncoder(False).encode(response)


def case_figures(case: Case, variant: Variant, changes: int) -> dict[str, Any]:
    """The figures of one case with so many changes."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_process(("-m", "fakes.discovery")) as discovery,
    ):
        return CaseRun(case, variant, changes, Path(folder), discovery).figures()


# ---- the command --------------------------------------------------------------


def parse_case(text: str) -> Case:
    """A case from its name, such as 200x270."""
    proxies, servers = text.split("x")
    return Case(int(proxies), int(servers))


def main() -> None:
    """Run the cases, and print each and then all as JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="small cases, to try it")
    parser.add_argument("--case", type=parse_case, help="one case alone, as 200x270")
    args = parser.parse_args()
    cases = QUICK_CASES if args.quick else CASES
    changes = QUICK_CHANGES if args.quick else CHANGES
    result: dict[str, Any] = {"machine": f"{os.cpu_count()} cores, scaled to one machine"}
    for case in (args.case,) if args.case else cases:
        for variant in Variant:
            name = f"{case.proxies}x{case.servers} {variant}"
            result[name] = case_figures(case, variant, changes)
            print(name, json.dumps(result[name]), flush=True)
    print(json.dumps(result))


if __name__ == "__main__":
    main()

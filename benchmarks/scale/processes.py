"""Slopes of real processes: a node by backends, connections and requests; a control service."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks import control
from benchmarks.routes import closed_loop
from benchmarks.scale import meter
from benchmarks.scale.balancers import SHARING
from benchmarks.scale.fit import Point, Slope, fit
from benchmarks.scale.lists import rows
from fakes.files import write_config
from fakes.node import SETTINGS, running_node
from fakes.processes import Process, running_backends, running_process

REST_S = 2.5
RESTS = 5
SETTLE_S = 1.0


def resident(process: Process) -> float:
    """Resident bytes."""
    return 1024 * 1024 * control.memory_mb(process)


@contextlib.contextmanager
def holding(backends: int) -> Iterator[Process]:
    """A node that holds so many backends, and is asked nothing."""
    limits = {"cores": 1.0, "memory_mb": 1024, "sockets": 1024}
    known = {"rev": 1, "all": True, "targets": rows(backends)}
    with tempfile.TemporaryDirectory() as folder:
        settings = SETTINGS | {"balancers": SHARING}
        path = write_config(Path(folder, "config.json"), settings, known, limits=limits)
        with running_process(("-m", "loadbalancer"), {"PROXY_CONFIG": str(path)}) as process:
            process.collect_log()
            time.sleep(SETTLE_S)
            yield process


def node_by_backends(quick: bool) -> list[Slope]:
    """A real node at rest: resident bytes, and microseconds of processor time a second."""
    sizes = (10, 100, 200) if quick else (10, 500, 1_000, 2_000)
    held, spent = [], []
    for size in sizes:
        with holding(size) as process:
            spent.append(meter.point(size, [at_rest(process) for _ in range(RESTS)]))
            held.append(meter.point(size, [resident(process)]))
    return [
        fit("node.memory", "bytes", "backend", held),
        fit("node.rest", "us a second", "backend", spent),
    ]


def at_rest(process: Process) -> float:
    """Microseconds of processor time a second while it is left alone."""
    before = process.cpu_seconds()
    time.sleep(REST_S)
    return 1e6 * (process.cpu_seconds() - before) / REST_S


def node_by_connections(quick: bool) -> list[Slope]:
    """Clients' connections of a real node: resident bytes each, microseconds to open and end."""
    sizes = (50, 100, 200) if quick else (300, 600, 900, 1_200)
    held, spent = [], []
    for size in sizes:
        with (
            running_backends(1, 0.0) as servers,
            running_node(servers, memory_mb=1024, sockets=16_384) as process,
        ):
            process.collect_log()
            descriptors = open_descriptors(process)
            ping(process, 1)
            before = resident(process)
            with connected(process, size):
                if open_descriptors(process) - descriptors < size:
                    raise RuntimeError(f"the node keeps less than {size} connections")
                held.append(meter.point(size, [resident(process) - before]))
            spent.append(meter.point(size, [openings(process, size) for _ in range(3)]))
    return [
        fit("connection.memory", "bytes", "connection", held),
        fit("connection.open", "us", "connection", spent),
    ]


def open_descriptors(process: Process) -> int:
    """Files and sockets that it has open."""
    return len(list(Path(f"/proc/{process.child.pid}/fd").iterdir()))


@contextlib.contextmanager
def connected(process: Process, count: int) -> Iterator[None]:
    """So many clients that have had an answer and keep their connections."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            stack.enter_context(answered(process))
        yield


def answered(process: Process) -> socket.socket:
    """A connection on which one question was answered."""
    host, _, port = process.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), 5.0)
    sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
    if not sock.recv(4096).startswith(b"HTTP/1.1 200"):
        raise RuntimeError("the node does not answer")
    return sock


def ping(process: Process, count: int) -> None:
    """So many connections one after the other, each for one question."""
    for _ in range(count):
        answered(process).close()


def openings(process: Process, count: int) -> float:
    """Microseconds of the node for so many connections, less what their questions take."""
    before = process.cpu_seconds()
    ping(process, count)
    with answered(process) as sock:
        between = process.cpu_seconds()
        for _ in range(count):
            sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            sock.recv(4096)
        after = process.cpu_seconds()
    return 1e6 * max((between - before) - (after - between), 0.0)


def node_by_requests(quick: bool) -> list[Slope]:
    """Microseconds of a real node's processor time for so many requests, eight at a time."""
    sizes = (400, 800, 1_600) if quick else (1_000, 2_000, 4_000)
    readings: dict[int, list[float]] = {size: [] for size in sizes}
    with running_backends(4, 0.0, 64) as servers, running_node(servers) as process:
        process.collect_log()
        asyncio.run(closed_loop(process.address, 400, 8, 1))
        for turn in range(8):
            for size in sizes:
                before = process.cpu_seconds()
                asyncio.run(closed_loop(process.address, size, 8, turn + 2))
                readings[size].append(1e6 * (process.cpu_seconds() - before))
    return [fit("node.requests", "us", "request", points(readings))]


def points(readings: dict[int, list[float]]) -> list[Point]:
    """One point a size."""
    return [meter.point(size, found) for size, found in readings.items()]


def control_by_proxies(quick: bool) -> list[Slope]:
    """`benchmarks.control`'s own cases: a real control service, one change of 270 servers."""
    sizes = (5, 10, 20) if quick else (21, 200, 600)
    servers, turns = (20, 2) if quick else (270, 4)
    cpu, sent, held, told = [], [], [], []
    for size in sizes:
        found: dict[str, Any] = control.case(size, servers, "incremental", turns)
        cpu.append(spread_point(size, found["cpu_ms_a_change"], 1000))
        told.append(spread_point(size, found["last_ms"], 1))
        sent.append(meter.point(size, [size * found["bytes_a_change_and_proxy"]]))
        held.append(meter.point(size, [1e6 * found["memory_mb"]]))
    return [
        fit("control.cpu", "us", "proxy", cpu),
        fit("control.last", "ms", "proxy", told),
        fit("control.bytes", "bytes", "proxy", sent),
        fit("control.memory", "bytes", "proxy", held),
    ]


def spread_point(size: int, found: dict[str, float], factor: float) -> Point:
    """A point from what `benchmarks.stats.spread` gave: its median counts there."""
    return Point(size, factor * found["median"], factor * found["median"], factor * found["most"])

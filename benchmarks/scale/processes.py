"""Slopes of real processes: a node by backends, connections and requests; a control service."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from benchmarks.control import Case, Variant, case_figures
from benchmarks.routes import send_concurrently
from benchmarks.scale import meter
from benchmarks.scale.balancers import SHARING_NODES
from benchmarks.scale.fit import Point, Slope, fit
from benchmarks.scale.lists import rows
from fakes.files import write_config
from fakes.node import SETTINGS, running_node
from fakes.processes import Process, running_backends, running_process

IDLE_S = 2.5  # of one reading of a node without requests
IDLE_READINGS = 5
SETTLE_S = 1.0  # after a node's start
OPENING_READINGS = 3
REQUEST_READINGS = 8
CONCURRENCY = 8  # requests in flight
WARM_UP_REQUESTS = 400
CONNECT_TIMEOUT_S = 5.0
MEMORY_MB = 1024  # the nodes' limit
SOCKETS = 16_384  # the limit of a node with many connections
MAX_RESPONSE_BYTES = 4096
READINESS_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"


def resident_bytes(process: Process) -> float:
    """Resident memory in bytes."""
    return 1024 * 1024 * process.resident_mb()


# ---- by backends -----------------------------------------------------------------


def node_by_backends(quick: bool) -> list[Slope]:
    """A real node at rest: resident bytes, and microseconds of processor time a second."""
    sizes = (10, 100, 200) if quick else (10, 500, 1_000, 2_000)
    memory, cpu = [], []
    for size in sizes:
        with _node_with_backends(size) as process:
            cpu.append(meter.point(size, [_idle_cpu(process) for _ in range(IDLE_READINGS)]))
            memory.append(meter.point(size, [resident_bytes(process)]))
    return [
        fit("node.memory", "bytes", "backend", memory),
        fit("node.rest", "us a second", "backend", cpu),
    ]


@contextlib.contextmanager
def _node_with_backends(count: int) -> Iterator[Process]:
    """A node whose list has so many backends, and that gets no requests."""
    settings = SETTINGS | {"balancers": SHARING_NODES}
    known = {"rev": 1, "all": True, "targets": rows(count)}
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    with tempfile.TemporaryDirectory() as folder:
        path = write_config(Path(folder, "config.json"), settings, known, limits=limits)
        with running_process(("-m", "loadbalancer"), {"PROXY_CONFIG": str(path)}) as process:
            process.collect_log()
            time.sleep(SETTLE_S)
            yield process


def _idle_cpu(process: Process) -> float:
    """Microseconds of processor time a second without requests."""
    before_s = process.cpu_seconds()
    time.sleep(IDLE_S)
    return 1e6 * (process.cpu_seconds() - before_s) / IDLE_S


# ---- by connections --------------------------------------------------------------


def node_by_connections(quick: bool) -> list[Slope]:
    """Clients' connections of a real node: resident bytes each, microseconds to open and end."""
    sizes = (50, 100, 200) if quick else (300, 600, 900, 1_200)
    memory, cpu = [], []
    for size in sizes:
        with (
            running_backends(1, 0.0) as servers,
            running_node(servers, memory_mb=MEMORY_MB, sockets=SOCKETS) as process,
        ):
            process.collect_log()
            memory.append(meter.point(size, [_connections_memory(process, size)]))
            readings = [_opening_cpu(process, size) for _ in range(OPENING_READINGS)]
            cpu.append(meter.point(size, readings))
    return [
        fit("connection.memory", "bytes", "connection", memory),
        fit("connection.open", "us", "connection", cpu),
    ]


def _connections_memory(process: Process, count: int) -> float:
    """Bytes by which the node grows with so many connections, each of which had a response."""
    descriptors = process.open_descriptors()
    _open_and_close(process, 1)
    before = resident_bytes(process)
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            stack.enter_context(_answered_connection(process))
        if process.open_descriptors() - descriptors < count:
            raise RuntimeError(f"the node has fewer than {count} connections open")
        return resident_bytes(process) - before


def _answered_connection(process: Process) -> socket.socket:
    """A connection on which one request was answered."""
    host, _, port = process.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
    sock.sendall(READINESS_REQUEST)
    if not sock.recv(MAX_RESPONSE_BYTES).startswith(b"HTTP/1.1 200"):
        raise RuntimeError("the node does not answer")
    return sock


def _open_and_close(process: Process, count: int) -> None:
    """So many connections one after the other, each for one request."""
    for _ in range(count):
        _answered_connection(process).close()


def _opening_cpu(process: Process, count: int) -> float:
    """Microseconds of the node for so many connections, less what their requests take."""
    before_s = process.cpu_seconds()
    _open_and_close(process, count)
    with _answered_connection(process) as sock:
        between_s = process.cpu_seconds()
        for _ in range(count):
            sock.sendall(READINESS_REQUEST)
            sock.recv(MAX_RESPONSE_BYTES)
        after_s = process.cpu_seconds()
    return 1e6 * max((between_s - before_s) - (after_s - between_s), 0.0)


# ---- by requests -----------------------------------------------------------------


def node_by_requests(quick: bool) -> list[Slope]:
    """Microseconds of a real node's processor time for so many requests, eight at a time."""
    sizes = (400, 800, 1_600) if quick else (1_000, 2_000, 4_000)
    readings: dict[int, list[float]] = {size: [] for size in sizes}
    with running_backends(4, 0.0, 64) as servers, running_node(servers) as process:
        process.collect_log()
        _send(process, WARM_UP_REQUESTS, 1)
        for reading in range(REQUEST_READINGS):
            for size in sizes:
                before_s = process.cpu_seconds()
                _send(process, size, reading + 2)
                readings[size].append(1e6 * (process.cpu_seconds() - before_s))
    points = [meter.point(size, found) for size, found in readings.items()]
    return [fit("node.requests", "us", "request", points)]


def _send(process: Process, count: int, seed: int) -> None:
    asyncio.run(send_concurrently(process.address, count, CONCURRENCY, seed))


# ---- the control service -----------------------------------------------------------


def control_by_proxies(quick: bool) -> list[Slope]:
    """Cases of `benchmarks.control`: a real control service, changes of one of 270 servers."""
    sizes = (5, 10, 20) if quick else (21, 200, 600)
    servers, changes = (20, 2) if quick else (270, 4)
    cpu, last, sent, memory = [], [], [], []
    for size in sizes:
        figures = case_figures(Case(size, servers), Variant.INCREMENTAL, changes)
        cpu.append(_spread_point(size, figures["cpu_ms_a_change"], 1000))
        last.append(_spread_point(size, figures["last_ms"], 1))
        sent.append(meter.point(size, [size * figures["bytes_a_change_and_proxy"]]))
        memory.append(meter.point(size, [1e6 * figures["memory_mb"]]))
    return [
        fit("control.cpu", "us", "proxy", cpu),
        fit("control.last", "ms", "proxy", last),
        fit("control.bytes", "bytes", "proxy", sent),
        fit("control.memory", "bytes", "proxy", memory),
    ]


def _spread_point(size: int, spread: dict[str, float], factor: float) -> Point:
    """A point from what `benchmarks.stats.spread` returned: its median is the value."""
    value = factor * spread["median"]
    return Point(size, value, value, factor * spread["most"])

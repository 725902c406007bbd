"""Many hollow nodes in one process: all of a node but its request traffic.

Each has its own `Holder`, its own subscriber with its own connections, and for each service that
it holds its own list (`EndpointList`) and its own `Balancer` with its cycle timer. A few probes
stand for requests: the Balancer chooses a backend, which answers at once.

    python -m benchmarks.scale.hollow < ORDERS

Orders and answers are JSON, one a line. Each step of a node goes to a file of MessagePack, which
the referee reads against its own books.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import sys
import time
import zlib
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, BinaryIO, cast

import msgpack
import uvloop

from benchmarks.scale.host_status import HostStatus
from benchmarks.scale.world import REGIONS
from loadbalancer.config.address import Address
from loadbalancer.config.node import Config
from loadbalancer.control.machine.subscriber import PollTiming, Subscriber, ordered_machines
from loadbalancer.core import Settings
from loadbalancer.core.assignment.model import Change, Row, Snapshot
from loadbalancer.core.assignment.model import Update as ScaleUpdate
from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import MS, SECOND, Outcome, RequestClass, Tenant, Timer
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.updates import UpdateResult
from loadbalancer.sources.endpoint_list import EndpointList, backend_id

ZONES = tuple(zone for zones in REGIONS.values() for zone in zones)
PROBE_S = 5.0  # between two probes of one node
FLUSH_S = 0.5
MINUTE_STEPS = 12  # in which bytes are looked at
BEHIND_STEP_S = 0.1  # of the watch over this process's own loop
CLASSES = (RequestClass("balance", 1_800 * MS, 2_000 * MS),)
REGION_NAMES = tuple(REGIONS)


def digest(rows: Mapping[str, Row]) -> int:
    """Of a service's rows in any order."""
    return sum(zlib.crc32(f"{row.uid}\0{row.body}".encode()) for row in rows.values())


def since(total: int, before: int) -> int:
    """How much a count has grown; one that has begun anew has grown by all it is."""
    return total - before if total >= before else total


@dataclass(frozen=True, slots=True)
class Plan:
    """What the process was ordered to be."""

    machines: dict[str, tuple[str, Address]]
    tenants: dict[str, tuple[Tenant, ...]]  # by service
    steps: Path
    seed: int
    hold: float
    late: float
    stretch: int  # cycles of the Balancers come so many times slower than usual
    every: bool  # each node holds every service: the baseline


class Actions:
    """What one Balancer asks its host for. Backends answer a probe at once."""

    def __init__(self, process: Process, node: str, stretch: int) -> None:
        self.process = process
        self.node = node
        self.stretch = stretch
        self.balancer: Balancer | None = None
        self.told: dict[int, int] = {}  # drains by backend, and when they were told
        self.timers: set[asyncio.TimerHandle] = set()
        self.grace = SECOND

    def send(self, request: int, backend: int, timeout: int) -> None:
        now = time.monotonic_ns()
        told = self.told.get(backend)
        self.process.counts["probes sent"] += 1
        if told is not None and now - told > self.grace:
            self.process.faults.append(
                f"{self.node}: probe to {backend} {(now - told) / SECOND:.3f} s after its drain"
            )
        loop = asyncio.get_running_loop()
        loop.call_soon(self._answered, request)

    def _answered(self, request: int) -> None:
        if self.balancer is not None:
            now = time.monotonic_ns()
            self.balancer.on_outcome(now, request, 0, Outcome.OK, MS, True)

    def refuse(self, request: int, retry_after: int) -> None:
        self.process.counts["probes refused"] += 1

    def fail(self, request: int) -> None:
        self.process.counts["probes failed"] += 1

    def cancel(self, request: int, attempt: int) -> None:
        """No attempt is out for long."""

    def probe(self, backend: int) -> None:
        """Nothing listens."""

    def watch(self) -> None:
        """The subscriber asks."""

    def log(self, text: str) -> None:
        self.process.counts["log lines"] += 1

    def set_timer(self, token: int, due: int) -> None:
        wait = max(due - time.monotonic_ns(), 0) / SECOND
        if token == Timer.CYCLE:
            wait *= self.stretch
        loop = asyncio.get_running_loop()
        handle: asyncio.TimerHandle
        handle = loop.call_later(wait, lambda: self._fire(handle, token))
        self.timers.add(handle)

    def _fire(self, handle: asyncio.TimerHandle, token: int) -> None:
        self.timers.discard(handle)
        if self.balancer is None:
            return
        before = time.thread_time_ns()
        self.balancer.on_timer(time.monotonic_ns(), token)
        if token == Timer.CYCLE:
            self.process.counts["cycles"] += 1
            self.process.counts["cycles_cpu_ns"] += time.thread_time_ns() - before

    def close(self) -> None:
        """Nothing comes any more."""
        self.balancer = None
        for handle in self.timers:
            handle.cancel()
        self.timers.clear()


class HeldService:
    """One service of one node: its list in hand and its Balancer."""

    def __init__(self, node: HollowNode, service: str) -> None:
        process = node.process
        config = cast(Config, SimpleNamespace(zones=ZONES, kinds=("m2",)))
        self.roster = EndpointList(config)
        self.actions = Actions(process, node.name, process.plan.stretch)
        settings = process.settings(service, node.zone)
        self.balancer = Balancer(settings, node.seed, self.actions)
        self.actions.balancer = self.balancer
        self.actions.grace = settings.drain_grace
        self.balancer.start(time.monotonic_ns())
        self.revision = 0

    def take(self, whole: bool, rows: list[dict[str, Any]]) -> None:
        """The list's rows, as a node takes them."""
        self.revision += 1
        raw = {"rev": self.revision, "all": whole, "targets": rows}
        update, listings, endpoints = self.roster.read(raw)
        self.roster.apply(self.revision, update, listings, endpoints)
        now = time.monotonic_ns()
        self._note_drains(now, whole, rows)
        self.balancer.on_members(now, update, listings)

    def _note_drains(self, now: int, whole: bool, rows: list[dict[str, Any]]) -> None:
        told = self.actions.told
        if whole:
            named = {backend_id(row["uid"]) for row in rows}
            for backend in [b for b in told if b not in named]:
                told[backend] = min(told[backend], now)
        for row in rows:
            backend = backend_id(row["uid"])
            if row["state"] == "active":
                told.pop(backend, None)
            else:
                told.setdefault(backend, now)


class HollowNode:
    """One node."""

    def __init__(self, process: Process, name: str, region: str, zone: str, number: int) -> None:
        self.process = process
        self.name = name
        self.number = number
        self.zone = zone
        self.seed: int = process.plan.seed + number
        limits = (
            HolderLimits(max_services=20_000, max_bytes=1 << 33)
            if process.plan.every
            else HolderLimits()
        )
        self.holder = Holder(name, REGIONS, limits)
        self.services: dict[str, HeldService] = {}
        self._random = Random(self.seed)
        self._probe: asyncio.TimerHandle | None = None
        self._requests = 0
        timing = PollTiming(hold_s=process.plan.hold, margin_s=process.plan.late)
        machines = ordered_machines(process.plan.machines, region, self.seed)
        self.subscriber = Subscriber(
            self.holder, REGION_NAMES, machines, self._told, self.seed, timing, self._released
        )

    def start(self) -> None:
        self.subscriber.start()
        self._probe_later()

    def close(self) -> None:
        self.subscriber.close()
        if self._probe is not None:
            self._probe.cancel()
        for held in self.services.values():
            held.actions.close()
        self.services.clear()

    def _told(self, update: ScaleUpdate, taken: UpdateResult) -> None:
        """Pass on what has changed, and note the step."""
        steps = []
        for service in taken.changed:
            rows = self.holder.rows(service)
            self._pass_on(service, update, rows)
            steps.append((service, digest(rows) if rows is not None else -1))
        position = self.holder.position(update.region)
        self.process.step(self.number, update.region, position, taken.status.name, steps)

    def _released(self, services: tuple[str, ...]) -> None:
        """These are held no more."""
        for service in services:
            held = self.services.pop(service, None)
            if held is not None:
                held.actions.close()
        steps = [(service, -2) for service in services]
        self.process.step(self.number, "", (0, 0), "RELEASED", steps)

    def _pass_on(self, service: str, update: ScaleUpdate, rows: Mapping[str, Row] | None) -> None:
        if rows is None:
            held = self.services.pop(service, None)
            if held is not None:
                held.actions.close()
            return
        held = self.services.get(service)
        if held is None:
            held = self.services[service] = HeldService(self, service)
        changes: list[Change] = []
        if not isinstance(update, Snapshot):
            changes = [change for change in update.changes if change.service == service]
        if not changes or any(change.complete or change.deleted for change in changes):
            held.take(True, [json.loads(row.body) for row in rows.values()])
            return
        for change in changes:
            targets = [json.loads(row.body) for row in change.rows]
            targets += [{"uid": uid, "state": "left"} for uid in change.removed]
            held.take(False, targets)

    # ---- probes ---------------------------------------------------------------

    def _probe_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._probe = loop.call_later(PROBE_S * self._random.uniform(0.5, 1.5), self._probe_now)

    def _probe_now(self) -> None:
        if self.services:
            held = self.services[self._random.choice(sorted(self.services))]
            self._requests += 1
            now = time.monotonic_ns()
            held.balancer.on_request(now, self._requests, 0, CLASSES[0].deadline)
        self._probe_later()


class Process:
    """The nodes of this process."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.nodes: dict[str, HollowNode] = {}
        self.places: dict[str, tuple[str, str, int]] = {}
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self.behind = 0.0  # seconds that this process's loop was late at most
        self.sent = self.received = 0  # of subscribers that are no more
        self.events: Counter[str] = Counter()
        self.kept: deque[dict[str, int]] = deque(maxlen=MINUTE_STEPS + 1)  # bytes, by node
        self.worst_warm_bytes = 0.0  # the same of one that had begun before that minute
        self.worst_bytes = 0.0  # a second of one node, in its worst minute
        self._settings: dict[tuple[str, str], Settings] = {}
        self._steps: BinaryIO = open(plan.steps, "wb")  # noqa: SIM115
        self._packer = msgpack.Packer()

    def settings(self, service: str, zone: str) -> Settings:
        """Of a service in a zone, shared by all nodes of this process."""
        key = (service, zone)
        if key not in self._settings:
            self._settings[key] = Settings(
                classes=CLASSES,
                tenants=self.plan.tenants.get(service, ()),
                nodes=8,
                zones=len(ZONES),
                zone=ZONES.index(zone),
            )
        return self._settings[key]

    def step(
        self, node: int, region: str, position: tuple[int, int], kind: str, steps: list[Any]
    ) -> None:
        """Write one step of one node."""
        at = time.monotonic_ns()
        self._steps.write(self._packer.pack([node, region, list(position), at, kind, steps]))

    def up(self, names: list[str]) -> None:
        """These nodes begin, cold."""
        for name in names:
            if name not in self.nodes:
                region, zone, number = self.places[name]
                node = self.nodes[name] = HollowNode(self, name, region, zone, number)
                self.step(number, "", (0, 0), "UP", [])
                node.start()

    def down(self, names: list[str]) -> None:
        """These nodes are lost."""
        for name in names:
            node = self.nodes.pop(name, None)
            if node is not None:
                node.close()
                self.sent += node.subscriber.counts.sent
                self.received += node.subscriber.counts.received
                self.events.update(node.subscriber.counts.events)
                self.step(node.number, "", (0, 0), "DOWN", [])

    def status(self) -> HostStatus:
        """Bytes, processor time and what is held."""
        nodes = self.nodes.values()
        events = self.events.copy()
        for node in nodes:
            events.update(node.subscriber.counts.events)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return HostStatus(
            at_ns=time.monotonic_ns(),
            nodes=len(self.nodes),
            services=sum(len(node.services) for node in nodes),
            rows=sum(len(h.roster.endpoints) for n in nodes for h in n.services.values()),
            bytes_held=sum(node.holder.retained_bytes for node in nodes),
            sent=self.sent + sum(node.subscriber.counts.sent for node in nodes),
            received=self.received + sum(node.subscriber.counts.received for node in nodes),
            cpu_s=usage.ru_utime + usage.ru_stime,
            rss=int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize(),
            behind_s=self.behind,
            worst_bytes=self.worst_bytes,
            worst_warm_bytes=self.worst_warm_bytes,
            counts=dict(self.counts),
            events=dict(events),
            faults=self.faults[:10],
            fault_count=len(self.faults),
        )

    async def flush(self) -> None:
        """Write the steps out now and then."""
        while True:
            await asyncio.sleep(FLUSH_S)
            self._steps.flush()

    async def watch_bytes(self) -> None:
        """The most bytes that one node has for control in any minute."""
        kept = self.kept
        while True:
            now = {
                name: node.subscriber.counts.sent + node.subscriber.counts.received
                for name, node in self.nodes.items()
            }
            kept.append(now)
            oldest = kept[0]
            # One that has begun anew within the minute counts from nothing.
            most = max(
                (since(total, oldest.get(name, 0)) for name, total in now.items()), default=0
            )
            self.worst_bytes = max(self.worst_bytes, most / 60.0)
            warm = [
                total - oldest[n] for n, total in now.items() if total >= oldest.get(n, total + 1)
            ]
            self.worst_warm_bytes = max(self.worst_warm_bytes, max(warm, default=0) / 60.0)
            await asyncio.sleep(60.0 / MINUTE_STEPS)

    async def watch_loop(self) -> None:
        """How late this process's own loop is: a late process tells nothing of control."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(BEHIND_STEP_S)
            self.behind = max(self.behind, time.monotonic() - before - BEHIND_STEP_S)


def obey(process: Process, order: dict[str, Any]) -> HostStatus:
    """Carry out one order."""
    what = order["order"]
    if what == "up":
        process.up(order["nodes"])
    elif what == "down":
        process.down(order["nodes"])
    elif what == "settle":
        process.behind = 0.0
        process.worst_bytes = process.worst_warm_bytes = 0.0
        process.kept.clear()
        gc.collect()
        gc.freeze()
    return process.status()


def plan_of(raw: dict[str, Any]) -> Plan:
    """The first order."""
    machines = {name: (region, Address(host, port)) for name, region, host, port in raw["machines"]}
    tenants = {
        service: tuple([Tenant(f"{service}-t{i}", 1.0, 1.0) for i in range(count)])
        for service, count in raw["tenants"].items()
    }
    return Plan(
        machines, tenants, Path(raw["steps"]), raw["seed"], raw["hold"], raw["late"],
        raw["stretch"], raw["every"],
    )  # fmt: skip


async def run() -> None:
    """Obey until the orders end."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=64 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = json.loads(await reader.readline())
    process = Process(plan_of(first))
    process.places = {name: (region, zone, n) for name, region, zone, n in first["nodes"]}
    gc.set_threshold(100_000, 50, 100)
    tasks = [loop.create_task(process.flush()), loop.create_task(process.watch_loop())]
    tasks.append(loop.create_task(process.watch_bytes()))
    print(json.dumps(asdict(process.status())), flush=True)
    while line := await reader.readline():
        print(json.dumps(asdict(obey(process, json.loads(line)))), flush=True)
    for task in tasks:
        task.cancel()
    process._steps.flush()


if __name__ == "__main__":
    uvloop.run(run())

"""The whole fleet in one run: six real control machines, hollow nodes, some real nodes.

    python -m benchmarks.scale run [--quick] [--nodes N] [--backends N] [--services N] ...

Each hollow node runs the project's own decision and state modules with its own connections and
timers; its request traffic alone is left out. Changes and failures come at a stated multiple of
the target's daily rates while control machines are killed and stopped, racks and a zone are lost
and come back cold. A referee checks each step of each node. Times are of this machine's
monotonic clock, which all processes share.

Progress goes to standard error; the last line of standard output is one JSON object. Status 0:
done and all assertions hold; 1: one does not, or a budget ended the run; 2: bad input.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from difflib import get_close_matches
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.scale.budget import GB, Budget, Spent
from benchmarks.scale.driver import Driver
from benchmarks.scale.fleet import Control, Host, controls_of, until
from benchmarks.scale.realnodes import RealNodes
from benchmarks.scale.referee import Books, Referee
from benchmarks.scale.world import (
    CHANGES_A_DAY,
    DAY_S,
    FAILURES_A_DAY,
    MOST_MULTIPLE,
    Sizes,
    World,
    WorldError,
)
from loadbalancer.control.machine.file import read_scale

RESTARTS_A_DAY = 18_000.0
PORTS = 40  # that one run uses, from a free one on
PHASES = ("steady", "killed", "stopped", "three", "rack", "zone")
IDLE_S = 2.0  # over which a host's empty loop is measured
LOAD_S = 60.0  # for the regions to be loaded
LOST_S = 16.0  # until a lost node's services have moved: its silence and a turn
PROPAGATION_HOLDS = 2  # questions at the end, for the last change to be in force


def configure(parser: argparse.ArgumentParser) -> None:
    """Options of the sub-command."""
    usual = Sizes()
    for name in ("nodes", "backends", "services", "routes", "tenants"):
        parser.add_argument(f"--{name}", type=int, default=getattr(usual, name))
    parser.add_argument("--quick", action="store_true", help="60 nodes, under a minute")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=12, help="processes of hollow nodes")
    parser.add_argument("--multiple", type=float, default=60.0, help="of the daily changes")
    parser.add_argument("--failures", type=float, default=10.0, help="multiple of daily failures")
    parser.add_argument("--seconds", type=float, default=40.0, help="of each phase")
    parser.add_argument("--hold", type=float, default=4.0, help="seconds a question is held")
    parser.add_argument("--late", type=float, default=0.5, help="seconds until silence counts")
    parser.add_argument("--stretch", type=int, default=10, help="Balancers' cycles so much rarer")
    parser.add_argument("--every", action="store_true", help="baseline: nodes hold everything")
    parser.add_argument("--real", type=int, default=2, help="real nodes, one service each")
    parser.add_argument("--memory-gb", type=float, default=12.0)
    parser.add_argument("--processes", type=int, default=200)
    parser.add_argument("--phases", default=",".join(PHASES), help="what happens, in this order")
    parser.add_argument("--out", type=Path, help="folder for the result, its table and charts")
    parser.add_argument("--name", default="run", help="of the result's files")


@dataclass(frozen=True, slots=True)
class Options:
    """What one run is, checked."""

    sizes: Sizes
    seed: int
    hosts: int
    multiple: float
    failures: float
    seconds: float
    hold: float
    late: float
    stretch: int
    every: bool
    real: int
    memory_gb: float
    processes: int
    phases: tuple[str, ...] = PHASES

    def __post_init__(self) -> None:
        for phase in self.phases:
            if phase not in PHASES:
                near = get_close_matches(phase, PHASES, 1) or PHASES[:1]
                raise WorldError(f"--phases: [unknown] {phase!r}; did you mean {near[0]!r}?")
        _within("--hosts", self.hosts, 1, 190)
        _within("--multiple", self.multiple, 0.1, MOST_MULTIPLE)
        _within("--failures", self.failures, 0.0, MOST_MULTIPLE)
        _within("--seconds", self.seconds, 1.0, 86_400.0)
        _within("--hold", self.hold, 0.5, 60.0)
        _within("--late", self.late, 0.1, 60.0)
        _within("--stretch", self.stretch, 1, 1_000)
        _within("--real", self.real, 0, 32)
        _within("--memory-gb", self.memory_gb, 0.001, 12.0)
        _within("--processes", self.processes, 1, 200)
        needed = 6 + 1 + self.hosts + self.real + 1
        if needed > self.processes:
            raise WorldError(f"--processes: [budget] {self.processes}; {needed} are needed")
        least = 0.05 * needed  # an interpreter with its imports
        if least > self.memory_gb:
            raise WorldError(f"--memory-gb: [budget] {self.memory_gb}; {least:.2f} are needed")
        if self.hosts > self.sizes.nodes:
            raise WorldError(f"--hosts: [range] {self.hosts} for {self.sizes.nodes} nodes")
        if self.every and (self.sizes.services > 1024 or self.sizes.nodes > 256):
            raise WorldError("--every: [range] at most 256 nodes and 1024 services")


def _within(name: str, value: float, least: float, most: float) -> None:
    if not least <= value <= most:
        raise WorldError(f"{name}: [range] {value}; write {least:g} to {most:g}")


def options_of(args: argparse.Namespace) -> Options:
    """The command line's options; WorldError naming the one that is out of range."""
    sizes = Sizes(args.nodes, args.backends, args.services, args.routes, args.tenants)
    values = {name: getattr(args, name) for name in Options.__slots__ if name != "sizes"}
    values["phases"] = tuple(name for name in args.phases.split(",") if name)
    if args.quick:
        sizes = Sizes(60, 1_000, 40, 1_240, 4_360)
        values |= {"hosts": 2, "seconds": 3.0, "stretch": 1, "multiple": 20.0, "failures": 1.0}
        values["hold"] = 1.5
    return Options(sizes, **values)


def say(text: str) -> None:
    """Progress."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


def free_ports(count: int, seed: int) -> int:
    """The first of so many free ports in a row, below those that the kernel gives out."""
    random = Random(seed ^ os.getpid())
    for _ in range(100):
        first = random.randrange(20_000, 32_000 - count)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return first
    raise OSError("no free ports in a row")


@dataclass(slots=True)
class Phase:
    """One part of the run, and what its processes had used when it began and ended."""

    name: str
    began: int
    ended: int = 0
    alive: int = 0  # control machines
    controls: tuple[dict[str, Any], dict[str, Any]] = ({}, {})
    hosts: tuple[dict[str, Any], dict[str, Any]] = ({}, {})


class Run:
    """One run."""

    def __init__(self, options: Options, folder: Path) -> None:
        self.options = options
        self.folder = folder
        self.random = Random(options.seed)
        self.budget = Budget(int(options.memory_gb * GB), options.processes)
        self.world = World(options.sizes, options.seed, options.every)
        self.port = free_ports(PORTS, options.seed)
        self.path = self._write()
        self.file = read_scale(str(self.path))
        self.controls = controls_of(self.file, self.path, folder, self.budget)
        self.regions = {service.name: service.region for service in self.world.services}
        self.books = Books(self.world.backends, self.regions)
        self.driver: Driver | None = None
        self.hosts = self._hosts()
        self.real = RealNodes(self.file, folder, self.budget)
        self.phases: list[Phase] = []
        self.seconds: list[dict[str, Any]] = []
        self.checks: list[dict[str, Any]] = []
        self.notes: dict[str, Any] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._down: set[str] = set()
        self._loss = 0

    def _write(self) -> Path:
        real = [
            {"machine": "east-a", "service": service.name, "listen": f"127.0.0.1:{port}"}
            for port, service in zip(
                range(self.port + 18, self.port + 18 + self.options.real),
                [one for one in self.world.services if one.backends < 200],
                strict=False,
            )
        ]
        extra = {"least_per_zone": 64, "node_rate": 1e9} if self.options.every else {}
        return self.world.write(self.folder, self.port, real, extra)

    def _hosts(self) -> list[Host]:
        """Hosts of like size; the first has one node alone, whose memory nobody shares."""
        rows = [
            (node.name, node.region, node.zone, number)
            for number, node in enumerate(self.world.nodes)
        ]
        shares = [rows[:1]]
        count = self.options.hosts
        shares += [rows[1 + i :: count] for i in range(count)]
        return [
            Host(f"host-{i}", share, self.folder / f"steps-{i}.msgpack")
            for i, share in enumerate(shares)
        ]

    # ---- the whole ------------------------------------------------------------

    async def run(self) -> dict[str, Any]:
        """All phases; the result."""
        stopped = ""
        try:
            await self._watched()
        except Spent as err:
            stopped = str(err)
        except TimeoutError as err:
            self._check("in time", False, f"{err}; {await self._roles()}")
            if self.driver is not None:
                await self.driver.catch_up()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*(host.close() for host in self.hosts), return_exceptions=True)
            self.real.close()
            for control in self.controls.values():
                control.close()
        return self._result(stopped)

    async def _watched(self) -> None:
        """The phases, ended where a budget is reached."""
        loop = asyncio.get_running_loop()
        watch = loop.create_task(self._watch_budget())
        phases = loop.create_task(self._phases())
        done, pending = await asyncio.wait((watch, phases), return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        for task in done:
            task.result()

    async def _watch_budget(self) -> None:
        while True:
            await asyncio.to_thread(self.budget.check)
            await asyncio.sleep(2.0)

    async def _phases(self) -> None:
        pause = self.options.seconds
        await self._start()
        scenarios: dict[str, Callable[[float], Awaitable[None]]] = {
            "steady": self._steady,
            "killed": self._one_killed,
            "stopped": self._one_stopped,
            "three": self._three_alive,
            "rack": self._rack,
            "zone": self._zone,
        }
        for name in self.options.phases:
            await scenarios[name](pause)
        await self._finish()

    async def _start(self) -> None:
        """Control machines, the regions' logs, then all nodes at once, cold."""
        for control in self.controls.values():
            control.start()
        taken = await until("regions loaded", LOAD_S, self._loaded)
        say(f"six control machines have both logs after {taken:.1f} s")
        for region in self.books.regions.values():
            self.books.versions.setdefault(region, 0)
        status = await asyncio.to_thread(next(iter(self.controls.values())).status)
        for region, log in status["logs"].items():
            self.books.begin(region, log["version"])
        rate = CHANGES_A_DAY / DAY_S * self.options.multiple
        self.driver = Driver(self.world, self.controls, self.books, rate)
        machines = [
            (m.spec.name, m.spec.region, m.subscribers.host, m.subscribers.port)
            for m in self.file.machines
        ]
        plan = {
            "machines": machines, "tenants": self._tenants(), "seed": self.options.seed,
            "hold": self.options.hold, "late": self.options.late,
            "stretch": self.options.stretch, "every": self.options.every,
        }  # fmt: skip
        await asyncio.gather(*(host.start(plan, self.budget) for host in self.hosts))
        await self._measure_idle()
        self._tasks.append(asyncio.create_task(self._sample()))
        self.real.start()
        async with self._phase("cold start"):
            await self._order("up")
            taken = await until("all nodes hold their services", 240.0, self._all_hold)
        self.notes["cold_start_s"] = round(taken, 2)
        say(f"{self.options.sizes.nodes} nodes hold their services after {taken:.1f} s")
        await asyncio.gather(*(host.order("settle") for host in self.hosts))
        self._tasks.append(asyncio.create_task(self.driver.drive()))
        self._tasks.append(asyncio.create_task(self.driver.follow()))

    async def _measure_idle(self) -> None:
        """What a host's empty loop takes of a core."""
        before = await self._host_statuses()
        await asyncio.sleep(IDLE_S)
        after = await self._host_statuses()
        for host in self.hosts:
            spent = after[host.name]["cpu_s"] - before[host.name]["cpu_s"]
            host.idle = spent / (after[host.name]["at_ns"] - before[host.name]["at_ns"]) * 1e9

    def _tenants(self) -> dict[str, int]:
        """Tenants by service: like parts."""
        names = [service.name for service in self.world.services]
        each, more = divmod(self.options.sizes.tenants, len(names))
        return {name: each + (i < more) for i, name in enumerate(names)}

    async def _loaded(self) -> bool:
        found = await self._statuses()
        logs = [tuple(log["version"] for log in row["logs"].values()) for row in found.values()]
        return len(found) == len(self.controls) and len(set(logs)) == 1 and all(logs[0])

    async def _all_hold(self) -> bool:
        """Each service is held by as many nodes as the assignment asks for."""
        rows = await asyncio.gather(*(host.order("status") for host in self.hosts))
        statuses = await self._statuses()
        wanted = {row["assignment"]["pairs"] for row in statuses.values()}
        held = sum(row["services"] for row in rows)
        say(f"  {held} of {max(wanted, default=0)} services held")
        return len(wanted) == 1 and held >= max(wanted)

    async def _steady(self, pause: float) -> None:
        """Changes, restarts, and the loss of one node."""
        async with self._phase("steady"):
            self._tasks.append(asyncio.create_task(self._restarts()))
            lost = self.world.nodes[-1].name
            before = await self._generation()
            await self._order("down", [lost])
            await asyncio.sleep(max(pause, LOST_S))
            statuses = await self._statuses()
            touched = {row["assignment"]["touched"] for row in statuses.values()}
            self.notes["nodes_touched_by_one_loss"] = max(touched)
            moved = await self._generation() > before
            self._check("one node's loss is noticed", moved, f"touched {sorted(touched)}")
            await self._order("up", [lost])

    async def _generation(self) -> int:
        found = (await self._statuses()).values()
        return max((int(row["assignment"]["generation"]) for row in found), default=0)

    async def _restarts(self) -> None:
        """Machines restart and fail at the stated multiple of the daily rates."""
        rate = (RESTARTS_A_DAY + FAILURES_A_DAY) / DAY_S * self.options.failures
        if not rate:
            return
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            name = self.random.choice(self.world.nodes).name
            if name in self._down:
                continue
            failed = self.random.random() < FAILURES_A_DAY / (RESTARTS_A_DAY + FAILURES_A_DAY)
            self._loss += 1
            await self._order("down", [name])
            self._tasks.append(asyncio.create_task(self._back(name, 30.0 if failed else 1.0)))

    async def _back(self, name: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._order("up", [name])

    async def _one_killed(self, pause: float) -> None:
        killed = self._leader("east")
        say(f"SIGKILL to {killed.name}, which leads its region")
        async with self._phase("one killed"):
            killed.signal(signal.SIGKILL)
            await asyncio.sleep(pause)
        killed.start()

    async def _one_stopped(self, pause: float) -> None:
        stopped = self._leader("west")
        seconds = min(30.0, 1.2 * pause)
        say(f"SIGSTOP to {stopped.name} for {seconds:g} s, which leads its region")
        async with self._phase("one stopped"):
            stopped.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            stopped.signal(signal.SIGCONT)
            await asyncio.sleep(2.0)

    async def _three_alive(self, pause: float) -> None:
        """Two of the east, one of the west: the west accepts nothing, and is served as it was.

        A majority of the west has lost its memory when it comes back: the region is loaded again
        from its source, which is kept as accepted.
        """
        assert self.driver is not None
        self.driver.regions = {"east"}
        await self.driver.settle()
        await self.driver.catch_up()
        await asyncio.to_thread(self.books.write_source, self.folder / "backends.jsonl")
        killed = [self.controls[name] for name in ("east-b", "west-b", "west-c")]
        say(f"SIGKILL to {', '.join(control.name for control in killed)}")
        async with self._phase("three alive"):
            for control in killed:
                control.signal(signal.SIGKILL)
            await asyncio.sleep(pause)
        for control in killed:
            control.start()
        taken = await until("both regions accept again", 60.0, self._accepting)
        self.notes["back_from_three_s"] = round(taken, 2)
        self.books.begin("west", await self._version("west"))
        self.driver.regions = set(self.books.versions)

    async def _roles(self) -> str:
        """What each machine says it is, for a run that waits in vain."""
        return ", ".join(
            f"{name} {row['role']} {[log['position'] for log in row['logs'].values()]}"
            for name, row in (await self._statuses()).items()
        )

    async def _version(self, region: str) -> int:
        """Where a region's log is, by its leader's word."""
        status = await asyncio.to_thread(self._leader(region).status)
        return int(status["logs"][region]["version"])

    async def _accepting(self) -> bool:
        """Each region has a leader, and all machines have caught up."""
        found = await self._statuses()
        leaders = {row["region"] for row in found.values() if row["role"] == "leader"}
        versions = {row["logs"]["west"]["version"] for row in found.values()}
        empty = any(row["needs_load"] or row["role"] == "empty" for row in found.values())
        ready = len(found) == len(self.controls) and len(leaders) == 2 and len(versions) == 1
        return ready and not empty and versions != {self.books.versions["west"]}

    async def _rack(self, pause: float) -> None:
        rack = [node.name for node in self.world.nodes if node.zone == "east-2"][:40]
        rack = rack[: max(1, self.options.sizes.nodes // 6)]
        say(f"a rack of {len(rack)} nodes is lost and comes back cold")
        async with self._phase("rack lost"):
            await self._order("down", rack)
            await asyncio.sleep(max(pause / 2, LOST_S if pause > LOST_S else 1.0))
        async with self._phase("rack back"):
            await self._order("up", rack)
            await asyncio.sleep(pause / 2)

    async def _zone(self, pause: float) -> None:
        zone = [node.name for node in self.world.nodes if node.zone == "west-1"]
        say(f"a zone of {len(zone)} nodes is lost and comes back cold")
        async with self._phase("zone lost"):
            await self._order("down", zone)
            await asyncio.sleep(max(pause / 2, LOST_S if pause > LOST_S else 1.0))
        async with self._phase("zone back"):
            before = len(self.seconds)
            await self._order("up", zone)
            await asyncio.sleep(pause)
        storm = [row["snapshots"] for row in self.seconds[before:]]
        self.notes["zone_back"] = {
            "nodes": len(zone), "snapshots": sum(storm), "most_a_second": max(storm, default=0),
        }  # fmt: skip

    async def _finish(self) -> None:
        """No more changes: all of them come into force, and the books are closed."""
        assert self.driver is not None
        for task in self._tasks[1:]:
            task.cancel()
        await self.driver.settle()
        await asyncio.sleep(PROPAGATION_HOLDS * (self.options.hold + self.options.late) + 1.0)
        await self.driver.catch_up()
        self.notes["real_nodes"] = await asyncio.to_thread(self.real.verdict)
        for name, fine in self.notes["real_nodes"].items():
            self._check(f"real node {name} serves its service", fine["ready"], str(fine))
        for host in self.hosts:
            await host.order("status")

    # ---- what phases are made of ------------------------------------------------

    def _leader(self, region: str) -> Control:
        """The machine that leads a region, by its own word."""
        for control in self.controls.values():
            if control.alive() and control.machine.spec.region == region:
                with contextlib.suppress(OSError):
                    if control.status()["role"] == "leader":
                        return control
        raise TimeoutError(f"region {region} has no leader")

    async def _order(self, order: str, names: list[str] | None = None) -> None:
        """Give an order about these nodes, or all, to the hosts that have them."""
        wanted = None if names is None else set(names)
        if wanted is not None:
            (self._down.update if order == "down" else self._down.difference_update)(wanted)
        orders = []
        for host in self.hosts:
            mine = [row[0] for row in host.nodes if wanted is None or row[0] in wanted]
            if mine:
                orders.append(host.order(order, nodes=mine))
        await asyncio.gather(*orders)

    async def _statuses(self) -> dict[str, dict[str, Any]]:
        """Of the machines that answer."""

        def ask(control: Control) -> dict[str, Any] | None:
            try:
                return control.status() if control.alive() else None
            except OSError:
                return None

        controls = self.controls.values()
        found = await asyncio.gather(*(asyncio.to_thread(ask, one) for one in controls))
        rows = zip(self.controls, found, strict=True)
        return {name: row for name, row in rows if row is not None}

    @contextlib.asynccontextmanager
    async def _phase(self, name: str) -> Any:
        """A part of the run: what all processes use in it."""
        phase = Phase(name, time.monotonic_ns())
        hosts = await self._host_statuses()
        before = await self._statuses()
        self.phases.append(phase)
        say(f"phase: {name}")
        yield
        after = await self._statuses()
        phase.ended = time.monotonic_ns()
        phase.alive = len(after)
        phase.controls = (before, after)
        phase.hosts = (hosts, await self._host_statuses())

    async def _host_statuses(self) -> dict[str, Any]:
        rows = await asyncio.gather(*(host.order("status") for host in self.hosts))
        return {host.name: row for host, row in zip(self.hosts, rows, strict=True)}

    async def _sample(self) -> None:
        """Each second: the snapshots that all machines have sent."""
        before: Counter[str] = Counter()
        began = time.monotonic()
        while True:
            now: Counter[str] = Counter()
            for name, row in (await self._statuses()).items():
                now[name] = row["counts"]["publisher"].get("snapshots", 0)
            sent = sum(max(now[name] - before[name], 0) for name in now)
            before.update({name: now[name] - before[name] for name in now})
            phase = self.phases[-1].name if self.phases else ""
            second = round(time.monotonic() - began)
            self.seconds.append({"second": second, "snapshots": sent, "phase": phase})
            await asyncio.sleep(1.0)

    def _check(self, name: str, fine: bool, detail: str = "") -> None:
        self.checks.append({"check": name, "ok": fine, "detail": detail})
        if not fine:
            say(f"FAILED: {name}: {detail}")

    # ---- the result ---------------------------------------------------------------

    def _result(self, stopped: str) -> dict[str, Any]:
        from benchmarks.scale.results import result_of

        referee = Referee(self.books, {n: node.name for n, node in enumerate(self.world.nodes)})
        for host in self.hosts:
            if host.steps.exists():
                referee.read(host.steps)
        return result_of(self, referee, stopped)


async def _run(options: Options) -> dict[str, Any]:
    folder = Path(tempfile.mkdtemp(prefix="scale-"))
    try:
        return await Run(options, folder).run()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def main(args: argparse.Namespace) -> None:
    """Run it; one JSON line last."""
    try:
        options = options_of(args)
        World(Sizes(8, 8, 8, 0, 0), options.seed)
    except WorldError as err:
        print(f"scale run: {err}", file=sys.stderr)
        raise SystemExit(2) from None
    result = asyncio.run(_run(options))
    if args.out is not None:
        from benchmarks.scale.results import write

        write(result, args.out, args.name)
    print(json.dumps(result))
    raise SystemExit(0 if result["ok"] else 1)

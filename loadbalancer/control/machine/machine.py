"""One control machine: the decisions of `loadbalancer.core`, and the sockets around them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import uvloop

from loadbalancer.control.machine.backends import read_backends
from loadbalancer.control.machine.bound_list import BoundList
from loadbalancer.control.machine.file import Machine, ScaleFile, ScaleFileError, read_scale
from loadbalancer.control.machine.fleet_digest import fleet_digest
from loadbalancer.control.machine.messages import PresenceWanted, Reports, codec
from loadbalancer.control.machine.node_requests import NodeRequests, SubscriberConnection
from loadbalancer.control.machine.nodes import RELEASE_RULES, NodeRegistry
from loadbalancer.control.machine.operator_calls import Call, Calls, Reply
from loadbalancer.control.machine.stream import Hello, Streams
from loadbalancer.control.machine.submitted_changes import Changes
from loadbalancer.control.machine.version import position_of, version_of
from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.assignment.presence import PresenceUpdate
from loadbalancer.core.assignment.release import ReleaseAuthority, ReleaseGrant
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import Message
from loadbalancer.core.replicated_log.replication import Replica, Role, Timing
from loadbalancer.core.subscription.publisher import Publisher, PublisherLimits
from loadbalancer.sources.watchers import Watcher

TICK_S = 0.05  # of the replica
TURN_S = 1.0  # of presence and liveness
LOG_CHANGES, LOG_BYTES = 100_000, 64 << 20  # of accepted changes that are kept
LOAD_AGAIN_S = 2.0  # after a source that could not be used
LOG_ANSWER = 1 << 20  # bytes of changes in one answer to GET /log
STATUS_MEMORY = "/proc/self/statm"
# The roles by the words of GET /status, which stay as operators' tools know them.
ROLE_STATUS = {
    Role.RECOVERING: "empty",
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "candidate",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}


class ControlMachine:
    """One machine of the file, from its start to its end."""

    def __init__(
        self,
        file: ScaleFile,
        machine: Machine,
        log: Callable[[str], None],
        timing: Timing | None = None,
    ) -> None:
        now = time.monotonic_ns()
        self.file = file
        self.machine = machine
        self.counts: Counter[str] = Counter()
        self._log = log
        specs = [one.spec for one in file.machines]
        self.logs = {name: ChangeLog(name, LOG_CHANGES, LOG_BYTES) for name in file.regions}
        seed = int.from_bytes(os.urandom(8), "big")
        self.replica = Replica(machine.spec, specs, self.logs, seed, now, timing)
        limits = PublisherLimits(
            snapshot_rate=file.limits.snapshot_rate, snapshot_burst=file.limits.snapshot_rate
        )
        self.publisher = Publisher(machine.spec, specs, self.logs, limits)
        self.publisher.on_nodes({node.name: node.region for node in file.nodes})
        homes = {service.name: service.region for service in file.services}
        self.releases = ReleaseAuthority(now, machine.spec, specs, homes, RELEASE_RULES)
        self.nodes = NodeRegistry(file, now, self.releases)
        self.questions = NodeRequests(
            self.nodes,
            self.publisher,
            self.replica,
            {one.spec.name: one.subscribers for one in file.machines},
            file.limits.subscribers,
        )
        self.changes = Changes(self.replica, machine.spec.region, self.nodes.regions)
        self.bound = [
            BoundList(self.logs[self.nodes.regions[one.service]], one.service, 1024)
            for one in file.bound
            if one.machine == machine.spec.name
        ]
        others = {one.spec.name: one.peers for one in file.machines if one.spec != machine.spec}
        self.streams = Streams(
            Hello(machine.spec.name, fleet_digest(file)),
            others,
            codec(),
            file.limits.backlog,
            self._told,
            self._up,
        )
        self._living: frozenset[str] = frozenset(one.spec.name for one in file.machines)
        self._loading: asyncio.Task[None] | None = None
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Listen at all addresses and begin; OSError where one can't be had."""
        loop = asyncio.get_running_loop()
        machine = self.machine
        calls = Calls(self, self.file.limits.change_bytes)
        await self.streams.open(machine.peers)
        for factory, address in (
            (lambda: SubscriberConnection(self.questions), machine.subscribers),
            (lambda: Call(calls), machine.admin),
        ):
            server = await loop.create_server(factory, address.host, address.port, backlog=4096)
            self._servers.append(server)
        mine = [one for one in self.file.bound if one.machine == machine.spec.name]
        for one, host in zip(mine, self.bound, strict=True):
            at = one.listen
            server = await loop.create_server(lambda host=host: Watcher(host), at.host, at.port)  # type: ignore[misc]
            self._servers.append(server)
        self._tasks = [
            loop.create_task(self._every(TICK_S, self._tick)),
            loop.create_task(self._every(TURN_S, self._turn)),
        ]

    def close(self) -> None:
        """End everything at once: what is accepted is with the others too."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self.streams.close()

    async def _every(self, seconds: float, work: Callable[[], None]) -> None:
        while True:
            await asyncio.sleep(seconds)
            work()

    # ---- time ------------------------------------------------------------

    def _tick(self) -> None:
        self.replica.on_tick(time.monotonic_ns())
        if self.replica.needs_load() and self._loading is None:
            self._loading = asyncio.get_running_loop().create_task(self._load())
        self._pump()

    def _turn(self) -> None:
        now = time.monotonic_ns()
        if self.nodes.on_time(now):
            self.counts["assignments"] += 1
        self.nodes.send_changes(self.streams.send_all)
        living = self.nodes.presence.machines(now) | {self.machine.spec.name}
        if living != self._living:
            self._living = living
            self._log(f"control machines heard: {', '.join(sorted(living))}")
            self.questions.wake_keys(self.publisher.on_living(living))
        leads = self.replica.role is Role.LEADER
        grant = self.nodes.advance_releases(now, self.replica.current_term if leads else None)
        if grant is not None:
            self.streams.send_all(grant)
        if self.nodes.changed:
            self.nodes.changed = False
            self.questions.push_assignments()

    async def _load(self) -> None:
        """Load a region that has no log from the services' source."""
        region = self.machine.spec.region
        services = [name for name, home in self.nodes.regions.items() if home == region]
        try:
            if self.file.backends is None:
                rows: Any = dict.fromkeys(services, ())
            else:
                loop = asyncio.get_running_loop()
                rows = await loop.run_in_executor(None, read_backends, self.file.backends, services)
        except InvalidInputError as err:
            self._log(f"region {region} is not loaded: {err}")
            await asyncio.sleep(LOAD_AGAIN_S)
            self._loading = None
            return
        if self.replica.needs_load():
            self.replica.load(rows)
            self._log(f"region {region} is loaded: {len(services)} services")
            self._pump()
        self._loading = None

    # ---- the other machines -------------------------------------------------

    def _up(self, machine: str) -> None:
        """A stream to another machine is up: all that went before is told whole."""
        self.nodes.send_full_state(lambda message: self.streams.send(machine, message))

    def _told(self, sender: str, message: Any) -> None:
        now = time.monotonic_ns()
        self.nodes.presence.on_machine_heartbeat(now, sender)
        if isinstance(message, PresenceUpdate):
            if not self.nodes.on_presence(now, sender, message):
                self.streams.send(sender, PresenceWanted())
        elif isinstance(message, PresenceWanted):
            self._up(sender)
        elif isinstance(message, Reports):
            self.nodes.on_reports(message.reports)
        elif isinstance(message, ReleaseGrant):
            self.releases.on_grant(now, sender, message)
        else:
            self._replicate(now, sender, message)

    def _replicate(self, now: int, sender: str, message: Message) -> None:
        self.replica.on_message(now, sender, message)
        self._pump()

    def _pump(self) -> None:
        """Carry out what the replica wants, until it wants no more."""
        for region in self.replica.restored():
            self.questions.wake(region, self.publisher.on_restored(region))
            self._bound_changed(region, "")
        for region, change in self.replica.committed():
            self.changes.on_committed(region, change)
            if change.service:
                self.questions.wake(region, self.publisher.on_change(region, change))
                self._bound_changed(region, change.service)
        for recipient, message in self.replica.outgoing():
            self.streams.send(recipient, message)

    def _bound_changed(self, region: str, service: str) -> None:
        for host in self.bound:
            if host.region == region and service in ("", host.service):
                host.on_change()

    # ---- operators' calls ---------------------------------------------------

    def change(self, body: bytes, reply: Reply) -> None:
        """Changes handed in."""
        self.changes.hand_in(body, reply)
        self._pump()

    def log_after(self, region: str, version: int) -> tuple[int, bytes]:
        """The accepted changes after a version, about LOG_ANSWER bytes of them."""
        log = self.logs.get(region)
        if log is None:
            return 400, f"region: [unknown-region] no region {region[:64]!r}".encode()
        try:
            changes = log.after(position_of(version), LOG_ANSWER)
        except InvalidInputError as err:
            return 400, str(err).encode()
        if changes is None:
            return 410, b"the log does not reach back to it"
        rows = [
            {
                "version": version_of(change.position),
                "service": change.service,
                "rows": [row.body for row in change.rows],
                "removed": change.removed,
                "deleted": change.deleted,
                "whole": change.complete,
            }
            for change in changes
        ]
        return 200, json.dumps({"version": version_of(log.position), "changes": rows}).encode()

    def status(self) -> dict[str, Any]:
        """For whoever is on call; docs/operate/scale.md says what each line means."""
        now = time.monotonic_ns()
        nodes = self.nodes
        return {
            "machine": self.machine.spec.name,
            "region": self.machine.spec.region,
            "role": ROLE_STATUS[self.replica.role],
            "epoch": self.replica.current_term,
            "leader": self.replica.leader,
            "needs_load": self.replica.needs_load(),
            "logs": {
                name: {"version": version_of(log.position), "position": list(log.position),
                       "changes": len(log)}
                for name, log in self.logs.items()
            },
            "machines": sorted(nodes.presence.machines(now) | {self.machine.spec.name}),
            "nodes": {
                "registered": len(self.file.nodes),
                "alive": len(nodes.liveness.alive),
                "here": nodes.presence.local_count(),
            },
            "questions": {
                "connections": self.questions.connections,
                "waiting": self.questions.waiting_count(),
            },
            "assignment": {
                "digest": nodes.assignment.digest,
                "generation": nodes.handover.generation,
                "pairs": sum(map(len, nodes.assignment.holders.values())),
                "moving": nodes.handover.moving(),
                "unmet": len(nodes.assignment.unmet),
                "touched": nodes.touched,
            },
            "memory_bytes": resident(),
            "cpu_seconds": sum(resource.getrusage(resource.RUSAGE_SELF)[:2]),
            "counts": {
                "questions": dict(self.questions.counts),
                "publisher": dict(self.publisher.counts),
                "replica": dict(self.replica.counts),
                "streams": dict(self.streams.counts),
                "machine": dict(self.counts),
                "ignored_grants": dict(self.releases.counts),
            },
        }  # fmt: skip


def resident() -> int:
    """Resident bytes of this process."""
    with open(STATUS_MEMORY) as file:
        return int(file.read().split()[1]) * resource.getpagesize()


async def serve(file: ScaleFile, name: str, log: Callable[[str], None]) -> None:
    """Run one machine until SIGTERM or SIGINT."""
    machine = ControlMachine(file, file.machine(name), log)
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await machine.open()
    log(f"control machine {name} serves {len(file.nodes)} nodes, {len(file.services)} services")
    await ended.wait()
    machine.close()


def main(path: str, name: str) -> int:
    """Start it; 0 after a stop, 2 where the file or an address can't be used."""

    def log(text: str) -> None:
        with contextlib.suppress(OSError):
            print(f"loadbalancer scale {name}: {text}", file=sys.stderr, flush=True)

    try:
        file = read_scale(path)
        uvloop.run(serve(file, name, log))
    except (ScaleFileError, InvalidInputError) as err:
        print(err, file=sys.stderr)
        return 2
    except OSError as err:
        print(f"loadbalancer scale: {name}: {err}", file=sys.stderr)
        return 2
    return 0

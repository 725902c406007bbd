"""One control machine: the decisions of `loadbalancer.core`, and the sockets around them.

It listens for the other machines, for subscribers (nodes), for nodes of one service each, and for
operators. The replicated log is ticked twenty times a second, the registry of nodes once a second.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import time
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from http import HTTPStatus
from typing import Any, NamedTuple

from loadbalancer.config.address import Address
from loadbalancer.control.machine import status
from loadbalancer.control.machine.bound_list import BoundList
from loadbalancer.control.machine.file import Machine, ScaleFile
from loadbalancer.control.machine.fleet_digest import fleet_digest
from loadbalancer.control.machine.log_loader import LogLoader
from loadbalancer.control.machine.messages import NodeReports, PresenceRequest, message_codec
from loadbalancer.control.machine.node_requests import NodeRequests, SubscriberConnection
from loadbalancer.control.machine.nodes import RELEASE_RULES, NodeRegistry
from loadbalancer.control.machine.operator_calls import (
    OperatorConnection,
    OperatorHost,
    OperatorResponse,
    Reply,
)
from loadbalancer.control.machine.stream import Hello, PeerStreams
from loadbalancer.control.machine.submitted_changes import ChangeSubmissions
from loadbalancer.control.machine.version import position_of, version_of
from loadbalancer.core.assignment.model import Change, InvalidInputError
from loadbalancer.core.assignment.presence import PresenceUpdate
from loadbalancer.core.assignment.release import ReleaseAuthority, ReleaseGrant
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import Message
from loadbalancer.core.replicated_log.replication import Replica, Role, Timing
from loadbalancer.core.subscription.publisher import Publisher, PublisherLimits
from loadbalancer.faults import run_logged
from loadbalancer.sources.watchers import Watcher

REPLICA_TICK_S = 0.05
NODES_TICK_S = 1.0  # presence, liveness, assignment and releases
MAX_LOG_CHANGES, MAX_LOG_BYTES = 100_000, 64 << 20  # of committed changes that are retained
LOG_ANSWER_BYTES = 1 << 20  # of changes in one answer to GET /log
MAX_BOUND_WATCHERS = 1024  # connections to one bound listener
ACCEPT_BACKLOG = 4096  # connections that wait to be accepted, on a listener of the machine
BOUND_ACCEPT_BACKLOG = 100  # the same on a bound listener
SEED_BYTES = 8  # of the replica's seed, which must differ at each start
MAX_QUOTED = 64  # characters of a wrong value that an answer repeats

logger = logging.getLogger(__name__)


class _OpenBoundListener(NamedTuple):
    """A listener that serves one service to a node that knows of no others."""

    address: Address
    list: BoundList


class _Listener(NamedTuple):
    protocol: Callable[[], asyncio.Protocol]
    address: Address
    backlog: int


class ControlMachine:
    """One machine of the file, from its start to its end."""

    def __init__(self, file: ScaleFile, machine: Machine, timing: Timing | None = None) -> None:
        now = time.monotonic_ns()
        spec = machine.spec
        self.file = file
        self.machine = machine
        self.counts: Counter[str] = Counter()
        specs = [one.spec for one in file.machines]
        self.logs = {name: ChangeLog(name, MAX_LOG_CHANGES, MAX_LOG_BYTES) for name in file.regions}
        seed = int.from_bytes(os.urandom(SEED_BYTES), "big")
        self.replica = Replica(spec, specs, self.logs, seed, now, timing)
        rate = file.limits.snapshot_rate
        limits = PublisherLimits(snapshot_rate=rate, snapshot_burst=rate)
        self.publisher = Publisher(spec, specs, self.logs, limits)
        self.publisher.on_registered_nodes({node.name: node.region for node in file.nodes})
        homes = {service.name: service.region for service in file.services}
        self.releases = ReleaseAuthority(now, spec, specs, homes, RELEASE_RULES)
        self.nodes = NodeRegistry(file, now, self.releases)
        self.node_requests = NodeRequests(
            self.nodes,
            self.publisher,
            self.replica,
            {one.spec.name: one.subscribers for one in file.machines},
            file.limits.subscribers,
        )
        self.submissions = ChangeSubmissions(self.replica, spec.region, self.nodes.regions)
        self.bound_listeners = self._bound_listeners()
        self.streams = self._peer_streams()
        services = [name for name, home in self.nodes.regions.items() if home == spec.region]
        self._loader = LogLoader(
            self.replica, spec.region, services, file.backends, self._process_output
        )
        self._live_machines = frozenset(one.spec.name for one in file.machines)
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    def _bound_listeners(self) -> list[_OpenBoundListener]:
        return [
            _OpenBoundListener(
                one.listen,
                BoundList(
                    self.logs[self.nodes.regions[one.service]], one.service, MAX_BOUND_WATCHERS
                ),
            )
            for one in self.file.bound_listeners
            if one.machine == self.machine.spec.name
        ]

    def _peer_streams(self) -> PeerStreams:
        spec = self.machine.spec
        return PeerStreams(
            Hello(spec.name, fleet_digest(self.file)),
            {one.spec.name: one.peers for one in self.file.machines if one.spec != spec},
            message_codec(),
            self.file.limits.backlog,
            self._on_message,
            self._on_connected,
        )

    # ---- sockets ---------------------------------------------------------

    async def open(self) -> None:
        """Listen at all addresses and begin.

        Raises:
            OSError: an address can't be listened on.
        """
        loop = asyncio.get_running_loop()
        await self.streams.open(self.machine.peers)
        for one in self._listeners():
            host, port = one.address.host, one.address.port
            server = await loop.create_server(one.protocol, host, port, backlog=one.backlog)
            self._servers.append(server)
        self._tasks = [
            loop.create_task(_every(REPLICA_TICK_S, self._tick_replica)),
            loop.create_task(_every(NODES_TICK_S, self._tick_nodes)),
        ]

    def _listeners(self) -> Iterator[_Listener]:
        operators = OperatorHost(self, self.file.limits.change_bytes)
        yield _Listener(
            lambda: SubscriberConnection(self.node_requests),
            self.machine.subscribers,
            ACCEPT_BACKLOG,
        )
        yield _Listener(lambda: OperatorConnection(operators), self.machine.admin, ACCEPT_BACKLOG)
        for one in self.bound_listeners:
            yield _Listener(partial(Watcher, one.list), one.address, BOUND_ACCEPT_BACKLOG)

    def close(self) -> None:
        """End all streams and listeners at once: a majority has all that is committed."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self.streams.close()

    # ---- time ------------------------------------------------------------

    def _tick_replica(self) -> None:
        run_logged(self.replica.on_tick, time.monotonic_ns())
        run_logged(self._loader.start_if_needed)
        self._process_output()

    def _tick_nodes(self) -> None:
        now = time.monotonic_ns()
        if self.nodes.on_time(now):
            self.counts["assignments"] += 1
        self.nodes.send_changes(self.streams.send_all)
        live = self.live_machines(now)
        if live != self._live_machines:
            self._live_machines = live
            logger.info("control machines alive: %s", ", ".join(sorted(live)))
            self.node_requests.wake_keys(self.publisher.on_live_machines(live))
        leads = self.replica.role is Role.LEADER
        grant = self.nodes.advance_releases(now, self.replica.current_term if leads else None)
        if grant is not None:
            self.streams.send_all(grant)
        # Failure: a fault in the push, and the nodes whose turn had not come learn of their new
        # services only after a further change. What was not pushed is left to the next tick.
        if self.nodes.take_changed() and not self.node_requests.push_assignments():
            self.nodes.changed = True

    def live_machines(self, now: int) -> frozenset[str]:
        """The names of the machines that were heard lately, this one included."""
        return frozenset(self.nodes.presence.live_machines(now) | {self.machine.spec.name})

    # ---- the other machines ----------------------------------------------

    def _on_connected(self, machine: str) -> None:
        """A stream to another machine is up: it may have missed everything until now."""
        self.nodes.send_full_state(lambda message: self.streams.send(machine, message))

    def _on_message(self, sender: str, message: Any) -> None:
        now = time.monotonic_ns()
        self.nodes.presence.on_machine_heartbeat(now, sender)
        if isinstance(message, PresenceUpdate):
            if not self.nodes.on_presence(now, sender, message):
                self.streams.send(sender, PresenceRequest())
        elif isinstance(message, PresenceRequest):
            self._on_connected(sender)
        elif isinstance(message, NodeReports):
            self.nodes.on_reports(message.reports)
        elif isinstance(message, ReleaseGrant):
            self.releases.on_grant(now, sender, message)
        else:
            self._on_log_message(now, sender, message)

    def _on_log_message(self, now: int, sender: str, message: Message) -> None:
        self.replica.on_message(now, sender, message)
        self._process_output()

    def _process_output(self) -> None:
        """Publish what the replica has committed, and send its messages.

        Failure: the replica's lists are drained before they are walked, and one item raises. What
        follows it is lost: operators get a 504 for changes that are committed, nodes are not told
        of them, and the replica's messages are not sent. A fault costs only the step that raises.
        """
        for region in self.replica.drain_restored():
            run_logged(self._wake_restored, region)
            self._update_bound(region, "")
        for region, change in self.replica.drain_committed():
            run_logged(self.submissions.on_committed, region, change)
            if change.service:
                run_logged(self._wake_changed, region, change)
                self._update_bound(region, change.service)
        for recipient, message in self.replica.drain_outgoing():
            run_logged(self.streams.send, recipient, message)

    def _wake_restored(self, region: str) -> None:
        self.node_requests.wake(region, self.publisher.on_restored(region))

    def _wake_changed(self, region: str, change: Change) -> None:
        self.node_requests.wake(region, self.publisher.on_change(region, change))

    def _update_bound(self, region: str, service: str) -> None:
        """Notify bound listeners of a change of a region's service, "" for all of its services."""
        for _, bound in self.bound_listeners:
            if bound.region == region and service in ("", bound.service):
                run_logged(bound.on_change)

    # ---- operators' calls ------------------------------------------------

    def submit(self, body: bytes, reply: Reply) -> None:
        """Propose the changes in a body; `reply` is called once."""
        self.submissions.submit(body, reply)
        self._process_output()

    def log_after(self, region: str, version: int) -> OperatorResponse:
        """Committed changes after a version, about LOG_ANSWER_BYTES."""
        log = self.logs.get(region)
        if log is None:
            text = f"region: [unknown-region] no region {region[:MAX_QUOTED]!r}"
            return OperatorResponse(HTTPStatus.BAD_REQUEST, text.encode())
        try:
            changes = log.changes_after(position_of(version), LOG_ANSWER_BYTES)
        except InvalidInputError as err:
            return OperatorResponse(HTTPStatus.BAD_REQUEST, str(err).encode())
        if changes is None:
            return OperatorResponse(HTTPStatus.GONE, b"the log does not reach back to it")
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
        answer = {"version": version_of(log.position), "changes": rows}
        return OperatorResponse(HTTPStatus.OK, json.dumps(answer).encode())

    def status(self) -> dict[str, Any]:
        """The machine's state for GET /status."""
        return status.report(self, time.monotonic_ns())


async def _every(seconds: float, work: Callable[[], None]) -> None:
    """Do this work at this interval for ever.

    Failure: one tick raises, and the task ends with it. The machine accepts polls still, but no
    longer takes part in elections, or no longer notices that nodes die, and the log has no line.
    Each tick's fault is logged, and the next tick comes.
    """
    while True:
        await asyncio.sleep(seconds)
        run_logged(work)

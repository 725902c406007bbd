"""One control machine: connects the decisions of `loadbalancer.core` with sockets and timers.

It listens for the other control machines, for subscribers (nodes that are assigned services), on
bound listeners (each serves one service to plain nodes), and for operators. The replicated log is
ticked twenty times a second, the registry of nodes once a second.
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
NODES_TICK_S = 1.0  # interval of presence, liveness, assignment and releases
MAX_LOG_CHANGES, MAX_LOG_BYTES = 100_000, 64 << 20  # committed changes retained for each region
LOG_ANSWER_BYTES = 1 << 20  # approximate size of the changes in one response to GET /log
MAX_BOUND_WATCHERS = 1024  # connections to one bound listener
ACCEPT_BACKLOG = 4096  # accept queue of the listeners for subscribers and operators
BOUND_ACCEPT_BACKLOG = 100  # accept queue of a bound listener
SEED_BYTES = 8  # size of the replica's random seed, which must differ at each start
MAX_QUOTED = 64  # characters of an invalid value that an error message repeats

logger = logging.getLogger(__name__)


class _OpenBoundListener(NamedTuple):
    """A bound listener of this machine, with the list that it serves."""

    address: Address
    list: BoundList


class _Listener(NamedTuple):
    protocol: Callable[[], asyncio.Protocol]
    address: Address
    backlog: int


class ControlMachine:
    """One control machine of the file, with its listeners, streams and timers."""

    def __init__(self, file: ScaleFile, machine: Machine, timing: Timing | None = None) -> None:
        now = time.monotonic_ns()
        spec = machine.spec
        self.file = file
        self.machine = machine
        self.counts: Counter[str] = Counter()
        specs = [other.spec for other in file.machines]
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
            {other.spec.name: other.subscribers for other in file.machines},
            file.limits.subscribers,
        )
        self.submissions = ChangeSubmissions(self.replica, spec.region, self.nodes.regions)
        self.bound_listeners = self._bound_listeners()
        self.streams = self._peer_streams()
        services = [name for name, home in self.nodes.regions.items() if home == spec.region]
        self._loader = LogLoader(
            self.replica, spec.region, services, file.backends, self._process_output
        )
        self._live_machines = frozenset(other.spec.name for other in file.machines)
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    def _bound_listeners(self) -> list[_OpenBoundListener]:
        return [
            _OpenBoundListener(
                bound.listen,
                BoundList(
                    self.logs[self.nodes.regions[bound.service]], bound.service, MAX_BOUND_WATCHERS
                ),
            )
            for bound in self.file.bound_listeners
            if bound.machine == self.machine.spec.name
        ]

    def _peer_streams(self) -> PeerStreams:
        spec = self.machine.spec
        return PeerStreams(
            Hello(spec.name, fleet_digest(self.file)),
            {other.spec.name: other.peers for other in self.file.machines if other.spec != spec},
            message_codec(),
            self.file.limits.backlog,
            self._on_message,
            self._on_connected,
        )

    async def open(self) -> None:
        """Listen on all addresses, and start the streams and the periodic work.

        Raises:
            OSError: the machine can't listen on one of its addresses.
        """
        loop = asyncio.get_running_loop()
        await self.streams.open(self.machine.peers)
        for listener in self._listeners():
            host, port = listener.address.host, listener.address.port
            server = await loop.create_server(
                listener.protocol, host, port, backlog=listener.backlog
            )
            self._servers.append(server)
        self._tasks = [
            loop.create_task(_run_periodically(REPLICA_TICK_S, self._tick_replica)),
            loop.create_task(_run_periodically(NODES_TICK_S, self._tick_nodes)),
        ]

    def _listeners(self) -> Iterator[_Listener]:
        operators = OperatorHost(self, self.file.limits.change_bytes)
        yield _Listener(
            lambda: SubscriberConnection(self.node_requests),
            self.machine.subscribers,
            ACCEPT_BACKLOG,
        )
        yield _Listener(lambda: OperatorConnection(operators), self.machine.admin, ACCEPT_BACKLOG)
        for bound in self.bound_listeners:
            yield _Listener(partial(Watcher, bound.list), bound.address, BOUND_ACCEPT_BACKLOG)

    def close(self) -> None:
        """Close all streams and listeners without a flush.

        Nothing is lost: a change counts as committed only once a majority has stored it.
        """
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self.streams.close()

    def _tick_replica(self) -> None:
        run_logged(self.replica.on_tick, time.monotonic_ns())
        run_logged(self._loader.start_if_needed)
        self._process_output()

    def _tick_nodes(self) -> None:
        now = time.monotonic_ns()
        if self.nodes.on_tick(now):
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
        # After an exception for some node the push is repeated at the next tick. Otherwise that
        # node would learn of its new services only after a further change.
        if self.nodes.pop_changed() and not self.node_requests.push_assignments():
            self.nodes.changed = True

    def live_machines(self, now: int) -> frozenset[str]:
        """Return the names of the machines with a recent heartbeat, and this machine's own."""
        return frozenset(self.nodes.presence.live_machines(now) | {self.machine.spec.name})

    # Streams to and from the other control machines.

    def _on_connected(self, machine: str) -> None:
        """Send the full state to a newly connected machine, which may have missed all updates."""
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
        """Publish the changes that the replica has committed, and send its messages.

        Each item is processed by itself, because the replica's lists are emptied when they are
        read. If an exception ended the loop, the remaining items would be lost: operators would
        get 504 for committed changes, nodes would miss them, and messages would not be sent.
        """
        for region in self.replica.drain_restored():
            run_logged(self._wake_restored, region)
            self._update_bound_lists(region, "")
        for region, change in self.replica.drain_committed():
            run_logged(self.submissions.on_committed, region, change)
            if change.service:
                run_logged(self._wake_changed, region, change)
                self._update_bound_lists(region, change.service)
        for recipient, message in self.replica.drain_outgoing():
            run_logged(self.streams.send, recipient, message)

    def _wake_restored(self, region: str) -> None:
        self.node_requests.wake(region, self.publisher.on_restored(region))

    def _wake_changed(self, region: str, change: Change) -> None:
        self.node_requests.wake(region, self.publisher.on_change(region, change))

    def _update_bound_lists(self, region: str, service: str) -> None:
        """Notify bound lists that a service of a region has changed, "" for all its services."""
        for _, bound in self.bound_listeners:
            if bound.region == region and service in ("", bound.service):
                run_logged(bound.on_change)

    # Called for operators.

    def submit(self, body: bytes, reply: Reply) -> None:
        """Propose the changes in a request body; `reply` is called exactly once."""
        self.submissions.submit(body, reply)
        self._process_output()

    def log_after(self, region: str, version: int) -> OperatorResponse:
        """Return committed changes after a version, about LOG_ANSWER_BYTES of them."""
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
        """Return the machine's state for GET /status."""
        return status.report(self, time.monotonic_ns())


async def _run_periodically(seconds: float, work: Callable[[], None]) -> None:
    """Call `work` every `seconds` seconds until cancelled; log exceptions and continue.

    If an exception ended the task, the machine would still accept polls, but silently stop taking
    part in elections or noticing dead nodes.
    """
    while True:
        await asyncio.sleep(seconds)
        run_logged(work)

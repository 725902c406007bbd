"""Updates that nobody polled for: deltas after a gap, and snapshots made long ago.

Links alone bring these too rarely. A node's holder must ignore them by its own rules.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.core.assignment.model import Position, Snapshot, Update
from loadbalancer.core.subscription.answers import SendUpdate
from simulation.control_world.messages import NodeAssignment, Poll, PollReply

if TYPE_CHECKING:
    from simulation.control_world.environment import Environment
    from simulation.control_world.machine import ControlMachine
    from simulation.control_world.node import HollowNode


class _SnapshotKey(NamedTuple):
    node: int
    incarnation: int
    region: str


class StaleUpdates:
    """Sends a node updates that no longer, or don't yet, follow what it holds."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._snapshots: dict[_SnapshotKey, Snapshot] = {}

    def send_delta_after_gap(self, node: HollowNode, region: str) -> None:
        """Send the last change alone, as if the node had all before it."""
        newest = self._newest_machine(region)
        log = newest.logs[region]
        revision = log.position.revision - 1
        base = Position(log.epoch_at(revision) or 0, revision)
        delta = log.delta_since(base, node.holder.subscribed_services(region))
        if base > node.holder.position(region) and delta is not None and delta.changes:
            self._send(newest.index, node, delta)

    def send_former_snapshot(self, node: HollowNode, region: str) -> None:
        """Send the snapshot that was made at the last call, and make one for the next."""
        newest = self._newest_machine(region)
        key = _SnapshotKey(node.index, node.incarnation, region)
        snapshot = newest.logs[region].snapshot(node.holder.subscribed_services(region))
        former = self._snapshots.get(key)
        self._snapshots[key] = snapshot
        if former is not None:
            self._send(newest.index, node, former)

    def _newest_machine(self, region: str) -> ControlMachine:
        machines = self._environment.machines.running.values()
        return max(machines, key=lambda machine: machine.logs[region].position)

    def _send(self, machine: int, node: HollowNode, update: Update) -> None:
        """Send an update as the answer to a poll that is not the node's current one."""
        poll = Poll(
            node=node.index,
            incarnation=node.incarnation,
            serial=0,
            subscription=node.holder.make_subscription(update.region),
            assignment=None,
            redirected=False,
        )
        reply = PollReply(machine, poll, SendUpdate(update, 0), NodeAssignment(), 0)
        self._environment.network.reply(reply)

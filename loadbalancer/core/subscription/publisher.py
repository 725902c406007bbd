"""A control machine's answers to its subscribers.

A subscriber resumes from its position in one region's log, as with the list service, and waits if
there is nothing newer (a long poll). It is sent the changes of its services since that position
and, in the same update, all rows of newly assigned services. It is sent a snapshot only if its
position does not belong to the log's history. The rate of complete services and snapshots is
limited in bytes a second; changes are never delayed.

Sans-I/O: the caller passes in the time in nanoseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from loadbalancer.core.assignment.model import START, Change, Delta, MachineSpec, Position, Update
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.replicated_log.change_log import ChangeLog, change_size
from loadbalancer.core.subscription.answers import (
    Answer,
    Redirect,
    Refusal,
    Refused,
    RetryAfter,
    SendUpdate,
    Wait,
)
from loadbalancer.core.subscription.pacing import Pacer
from loadbalancer.core.subscription.placement import Placement
from loadbalancer.core.subscription.subscribers import Subscriber, SubscriberKey, Subscribers

NOT_READY_DELAY_NS = 500 * MS  # until a subscriber retries, if the log is empty or behind


@dataclass(frozen=True, slots=True)
class PublisherLimits:
    """Limits on what the subscribers of one control machine may cost it."""

    snapshot_rate: int = 2_000_000  # bytes a second for complete services and snapshots
    snapshot_burst: int = 2_000_000  # bytes that may be sent at once after an idle time
    unpaced_bytes: int = 16 * 1024  # of complete services in one answer, sent without a delay
    max_services: int = 1024  # in one subscription
    max_epochs_ahead: int = 1_000_000  # of the log; a position further ahead is refused
    max_revision: int = 1 << 40  # of a position; a higher one is refused


class Publisher:
    """One control machine's answers to the nodes that poll it."""

    def __init__(
        self,
        machine: MachineSpec,
        machines: Sequence[MachineSpec],
        logs: Mapping[str, ChangeLog],
        limits: PublisherLimits,
    ) -> None:
        """Create a publisher without registered nodes.

        Args:
            machine: this control machine.
            machines: all control machines, including this one.
            logs: the log of each region, which the publisher only reads.
            limits: limits on what subscribers may cost.
        """
        self.counts: Counter[str] = Counter()
        self._name = machine.name
        self._machines = tuple(machines)
        self._logs = dict(logs)
        self._limits = limits
        self._living = frozenset(spec.name for spec in machines)
        self._placement = Placement({}, self._machines)
        self._pacer = Pacer(limits.snapshot_rate, limits.snapshot_burst)
        self._subscribers = Subscribers()

    def on_registered_nodes(self, nodes: Mapping[str, str]) -> None:
        """Replace the registered nodes, whether alive or not; `nodes` has their regions."""
        self._placement = Placement(nodes, self._machines)
        for node, region in list(self._subscribers):
            if node not in nodes:
                self._forget(node, region)

    def on_live_machines(self, living: Iterable[str]) -> tuple[SubscriberKey, ...]:
        """Replace the set of living control machines.

        Returns:
            The waiting subscribers that now belong to another machine and have to be answered
            again.
        """
        self._living = frozenset(living)
        moved = [
            key
            for key in self._subscribers
            if self._placement.machine_for(key.node, self._living) != self._name
        ]
        waiting = tuple(key for key in moved if self._subscribers.is_waiting(*key))
        for node, region in moved:
            self._forget(node, region)
        return waiting

    def machine_for(self, node: str, living: Iterable[str]) -> str | None:
        """Return the machine that a node has to poll; None if the node is unknown."""
        return self._placement.machine_for(node, living)

    def _forget(self, node: str, region: str) -> None:
        self._subscribers.remove(node, region)
        self._pacer.forget(SubscriberKey(node, region))

    def subscribe(
        self,
        now: int,
        node: str,
        region: str,
        position: Position,
        services: frozenset[str],
        current: frozenset[str] | None = None,
        redirected: bool = False,
    ) -> Answer:
        """Return the answer to a node's poll of a region's log.

        Args:
            now: the time in nanoseconds.
            node: the node.
            region: the region whose log it polls.
            position: the node's position in the log.
            services: the services of the region that the node has to hold by its assignment.
            current: the services whose rows the node has as of `position`. If None, they are those
                that this machine last sent to it, provided that this update led to `position`;
                otherwise there are none.
            redirected: whether another machine redirected the node here. It is then answered even
                if it belongs to another machine.
        """
        refusal = self._refusal(node, region, position, services)
        if refusal is not None:
            self.counts[f"refused: {refusal.value}"] += 1
            return Refused(refusal)
        belongs_to = self._placement.machine_for(node, self._living)
        if belongs_to is not None and belongs_to != self._name and not redirected:
            return Redirect(belongs_to)
        log = self._logs[region]
        if position > log.position or position.revision > log.position.revision:
            return self._answer_if_behind(node, redirected)
        if log.position == START:
            self.counts["not ready"] += 1
            return RetryAfter(NOT_READY_DELAY_NS)
        key = SubscriberKey(node, region)
        subscriber = self._subscribers.update(node, region, services)
        if current is None:
            current = subscriber.sent if subscriber.position == position else frozenset()
        if position == START or not log.contains(position):
            return self._snapshot(now, key, log, subscriber)
        return self._changes(now, key, log, subscriber, position, current & services)

    def _refusal(
        self, node: str, region: str, position: Position, services: frozenset[str]
    ) -> Refusal | None:
        if node not in self._placement:
            return Refusal.UNKNOWN_NODE
        log = self._logs.get(region)
        if log is None:
            return Refusal.UNKNOWN_REGION
        if len(services) > self._limits.max_services:
            return Refusal.TOO_MANY_SERVICES
        ahead = position.epoch - log.position.epoch
        if (
            min(position) < 0
            or (position.epoch == 0) != (position.revision == 0)
            or ahead > self._limits.max_epochs_ahead
            or position.revision > self._limits.max_revision
        ):
            return Refusal.INVALID_POSITION
        return None

    def _answer_if_behind(self, node: str, redirected: bool) -> Answer:
        """Redirect a subscriber that is ahead of this machine's log.

        A subscriber that was redirected to this machine has to retry after a delay instead. If the
        next machine is behind as well, the two would otherwise redirect it to each other in a loop.
        """
        self.counts["behind a subscriber"] += 1
        others = self._placement.ranked_machines(node, self._living - {self._name})
        if others and not redirected:
            return Redirect(others[0])
        return RetryAfter(NOT_READY_DELAY_NS)

    def _snapshot(
        self, now: int, key: SubscriberKey, log: ChangeLog, subscriber: Subscriber
    ) -> Answer:
        size = log.size(subscriber.services)
        delay = self._pacer.delay(now, key, size)
        if delay:
            self.counts["snapshots put off"] += 1
            return RetryAfter(delay)
        self.counts["snapshots"] += 1
        snapshot = log.snapshot(subscriber.services)
        return self._send(subscriber, snapshot, size, subscriber.services)

    def _changes(
        self,
        now: int,
        key: SubscriberKey,
        log: ChangeLog,
        subscriber: Subscriber,
        position: Position,
        current: frozenset[str],
    ) -> Answer:
        """Answer with the changes of the `current` services and with the others completely.

        If there is nothing to send yet, the answer is to wait.
        """
        compacted = log.compacted_since(position, current)
        complete = compacted | (subscriber.services - current)
        until = None
        if complete and (delay := self._delay(now, key, log.size(complete))):
            until = now + delay
            if compacted:
                # A delta would advance the position past changes that it does not contain.
                return Wait(until)
            complete = frozenset()
        delta = log.delta_since(position, current - compacted)
        assert delta is not None, "services with compacted changes are excluded"
        if not delta.changes and not complete:
            subscriber.waiting = True
            return Wait(until)
        size = sum(change_size(change) for change in delta.changes)
        self._pacer.count(now, size)
        replacements = log.replacements(sorted(complete))
        update = Delta(log.region, position, log.position, (*delta.changes, *replacements))
        self.counts["deltas"] += 1
        return self._send(subscriber, update, size + log.size(complete), current | complete)

    def _delay(self, now: int, key: SubscriberKey, size: int) -> int:
        """Return after how many nanoseconds `size` bytes of complete services may be sent.

        Up to `unpaced_bytes` may be sent at once, but are counted.
        """
        if size <= self._limits.unpaced_bytes:
            self._pacer.count(now, size)
            return 0
        return self._pacer.delay(now, key, size)

    def _send(
        self, subscriber: Subscriber, update: Update, size: int, sent: frozenset[str]
    ) -> SendUpdate:
        subscriber.waiting = False
        subscriber.position = update.position
        subscriber.sent = sent
        self.counts["bytes"] += size
        return SendUpdate(update, size)

    def on_change(self, region: str, change: Change) -> tuple[str, ...]:
        """Return the waiting nodes to answer again after a change was appended to the log.

        The cost is proportional to the subscribers of the change's service.
        """
        return self._subscribers.waiting_for_service(region, change.service)

    def on_restored(self, region: str) -> tuple[str, ...]:
        """Return the waiting nodes to answer again after a region's log was replaced."""
        return self._subscribers.waiting_for_region(region)

    def cancel(self, node: str, region: str) -> None:
        """Stop waiting for a subscriber that has disconnected."""
        if subscriber := self._subscribers.get(node, region):
            subscriber.waiting = False

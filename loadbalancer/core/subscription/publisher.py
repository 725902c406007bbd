"""What a control machine answers its subscribers, and when.

A subscriber resumes from its position in one region's log, as in the list service, and waits while
there is nothing newer (a long poll). It is sent the changes of its own services since then, and
newly assigned ones completely in the same update; a snapshot only where the log's history does not
have its position. Complete services and snapshots are paced by bytes a second; changes never wait.
Pure: time is given in nanoseconds, no I/O.
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

NOT_READY_DELAY_NS = 500 * MS  # for a subscriber of a log that has nothing yet


@dataclass(frozen=True, slots=True)
class PublisherLimits:
    """What one machine's subscribers may cost it."""

    snapshot_rate: int = 2_000_000  # bytes a second for complete services and snapshots
    snapshot_burst: int = 2_000_000  # bytes that may go at once after a quiet time
    unpaced_bytes: int = 16 * 1024  # of newly assigned services, that go with changes at once
    max_services: int = 1024  # that one subscription may name
    max_epochs_ahead: int = 1_000_000  # a position further ahead of the log is refused
    max_revision: int = 1 << 40  # of a position; a higher one is refused


class Publisher:
    """One control machine's answers to the nodes that subscribe at it."""

    def __init__(
        self,
        machine: MachineSpec,
        machines: Sequence[MachineSpec],
        logs: Mapping[str, ChangeLog],
        limits: PublisherLimits,
    ) -> None:
        """`logs` has one log a region; they are read here and written to by replication."""
        self.counts: Counter[str] = Counter()
        self._name = machine.name
        self._machines = tuple(machines)
        self._logs = dict(logs)
        self._limits = limits
        self._living = frozenset(spec.name for spec in machines)
        self._placement = Placement({}, self._machines)
        self._pacer = Pacer(limits.snapshot_rate, limits.snapshot_burst)
        self._subscribers = Subscribers()

    # ---- nodes and machines -------------------------------------------------

    def on_registered_nodes(self, nodes: Mapping[str, str]) -> None:
        """Replace the registered nodes, living or not; `nodes` gives their regions."""
        self._placement = Placement(nodes, self._machines)
        for node, region in list(self._subscribers):
            if node not in nodes:
                self._forget(node, region)

    def on_live_machines(self, living: Iterable[str]) -> tuple[SubscriberKey, ...]:
        """Replace the set of living control machines.

        Returns the waiting subscribers that belong to another machine now and are to be
        answered again.
        """
        self._living = frozenset(living)
        moved = [
            key
            for key in self._subscribers
            if self._placement.machine_for(key.node, self._living) != self._name
        ]
        woken = tuple(key for key in moved if self._subscribers.waiting(*key))
        for node, region in moved:
            self._forget(node, region)
        return woken

    def machine_for(self, node: str, living: Iterable[str]) -> str | None:
        """The machine that a node subscribes at; None where the node is unknown."""
        return self._placement.machine_for(node, living)

    def _forget(self, node: str, region: str) -> None:
        self._subscribers.remove(node, region)
        self._pacer.forget(SubscriberKey(node, region))

    # ---- answers ------------------------------------------------------------

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
        """What to answer a node that is at `position` of a region's log.

        `services` are those that it is to hold, by the assignment; `current` those that it holds as
        of `position`, None where it does not say: then what this machine last sent it counts, if
        that took it to `position`, and nothing otherwise. `redirected`: another machine has sent
        it here, so it is answered here although it belongs there.
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
            return self._behind(node, redirected)
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

    def _behind(self, node: str, redirected: bool) -> Answer:
        """The subscriber is ahead of this machine's log: it is redirected without an update.

        One that was redirected here already has to retry after a delay instead: the next machine
        may be behind as well, and two such machines would redirect it to each other in a loop.
        """
        self.counts["behind a subscriber"] += 1
        others = self._placement.others(node, self._living - {self._name})
        if others and not redirected:
            return Redirect(others[0])
        return RetryAfter(NOT_READY_DELAY_NS)

    def _snapshot(
        self, now: int, key: SubscriberKey, log: ChangeLog, subscriber: Subscriber
    ) -> Answer:
        size = log.size(subscriber.services)
        delay = self._pacer.wait(now, key, size)
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
        """The changes of the `current` services, and the others completely, or a wait."""
        not_logged = log.compacted_since(position, current)
        complete = not_logged | (subscriber.services - current)
        until = None
        if complete and (delay := self._delay(now, key, log.size(complete))):
            until = now + delay
            if not_logged:
                # A delta would move its position past changes that it does not contain.
                return Wait(until)
            complete = frozenset()
        delta = log.delta_since(position, current - not_logged)
        assert delta is not None, "every service that the log does not reach was taken out"
        if not delta.changes and not complete:
            subscriber.waiting = True
            return Wait(until)
        size = sum(change_size(change) for change in delta.changes)
        self._pacer.spend(now, size)
        replacements = log.replacements(sorted(complete))
        update = Delta(log.region, position, log.position, (*delta.changes, *replacements))
        self.counts["deltas"] += 1
        return self._send(subscriber, update, size + log.size(complete), current | complete)

    def _delay(self, now: int, key: SubscriberKey, size: int) -> int:
        """Nanoseconds until services may be sent completely: a few at once, yet counted."""
        if size <= self._limits.unpaced_bytes:
            self._pacer.spend(now, size)
            return 0
        return self._pacer.wait(now, key, size)

    def _send(
        self, subscriber: Subscriber, update: Update, size: int, sent: frozenset[str]
    ) -> SendUpdate:
        subscriber.waiting = False
        subscriber.position = update.position
        subscriber.sent = sent
        self.counts["bytes"] += size
        return SendUpdate(update, size)

    # ---- which waiting nodes to answer again --------------------------------

    def on_change(self, region: str, change: Change) -> tuple[str, ...]:
        """The waiting nodes to answer again now that a change is in the log.

        Cost follows the subscribers of the change's service.
        """
        return self._subscribers.waiting_for_service(region, change.service)

    def on_restored(self, region: str) -> tuple[str, ...]:
        """The waiting nodes to answer again after a region's log was restored from a snapshot."""
        return self._subscribers.waiting_for_region(region)

    def cancel(self, node: str, region: str) -> None:
        """A waiting subscriber has disconnected."""
        if subscriber := self._subscribers.get(node, region):
            subscriber.waiting = False

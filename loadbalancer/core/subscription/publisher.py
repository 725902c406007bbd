"""What a control machine answers its subscribers, and when.

A subscriber asks with its position in one region's log, as a reader asks the list service, and
waits while there is nothing newer. It is given the changes of its own services since then, and
newly assigned ones whole in the same update; a snapshot only where the log's history does not
have its position. Whole services and snapshots are paced by bytes a second; changes never wait.
Pure: told the time in nanoseconds, no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.assignment.model import (
    START,
    Change,
    Delta,
    MachineSpec,
    Position,
    Update,
)
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.replicated_log.change_log import ChangeLog, change_size
from loadbalancer.core.subscription.pacing import Pacer
from loadbalancer.core.subscription.placement import Placement

NOT_READY = 500 * MS  # pause for a subscriber of a log that has nothing yet


class Refusal(Enum):
    """Why a subscription can't be used; asking again in the same way is of no use."""

    UNKNOWN_NODE = "unknown node"
    UNKNOWN_REGION = "unknown region"
    INVALID_POSITION = "nonsense position"
    TOO_MANY_SERVICES = "too many services"


@dataclass(frozen=True, slots=True)
class SendUpdate:
    """An update to take now, of about `size` bytes."""

    update: Update
    size: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to be sent yet: held until `on_change` or another event names the node.

    Then, and at `until` where that is not None, `subscribe` is called again and answers.
    """

    until: int | None = None


@dataclass(frozen=True, slots=True)
class Redirect:
    """Another machine is to be asked."""

    machine: str


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """To be asked again after `delay` nanoseconds, when the snapshot's turn has come."""

    delay: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The subscription can't be used."""

    reason: Refusal


Answer = SendUpdate | Wait | Redirect | RetryAfter | Refused


@dataclass(frozen=True, slots=True)
class PublisherLimits:
    """What one machine's subscribers may cost it."""

    snapshot_rate: int = 2_000_000  # bytes a second for whole services and snapshots
    snapshot_burst: int = 2_000_000  # bytes that may go at once after a quiet time
    unpaced_bytes: int = 16 * 1024  # bytes of newly assigned services that go with changes, unpaced
    max_services: int = 1024  # that one subscription may name
    max_epochs_ahead: int = 1_000_000  # a position further ahead of the log is nonsense
    max_revision: int = 1 << 40


@dataclass(slots=True)
class _Subscriber:
    """What is known here of one node's subscription to one region's log."""

    services: frozenset[str] = frozenset()
    position: Position = START  # that the last update sent from here takes it to
    sent: frozenset[str] = frozenset()  # the services that it then holds
    waiting: bool = False


_Key = tuple[str, str]  # node and region


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
        self._subscribers: dict[_Key, _Subscriber] = {}
        # The nodes that subscribe to each service, by region and service, in the order they came.
        self._index: dict[tuple[str, str], dict[str, None]] = {}

    def on_nodes(self, nodes: Mapping[str, str]) -> None:
        """All registered nodes with their regions, living or not."""
        self._placement = Placement(nodes, self._machines)
        for node, region in list(self._subscribers):
            if node not in nodes:
                self._forget(node, region)

    def on_living(self, living: Iterable[str]) -> tuple[_Key, ...]:
        """The control machines that live; gives waiting (node, region) pairs to answer again."""
        self._living = frozenset(living)
        moved = [
            (node, region)
            for node, region in self._subscribers
            if self._placement.machine_for(node, self._living) != self._name
        ]
        woken = tuple(key for key in moved if self._subscribers[key].waiting)
        for node, region in moved:
            self._forget(node, region)
        return woken

    def machine_for(self, node: str, living: Iterable[str]) -> str | None:
        """The machine that a node subscribes at; None where the node is unknown."""
        return self._placement.machine_for(node, living)

    def subscribe(
        self,
        now: int,
        node: str,
        region: str,
        position: Position,
        services: frozenset[str],
        held: frozenset[str] | None = None,
        redirected: bool = False,
    ) -> Answer:
        """What to answer a node that is at `position` of a region's log.

        `services` are those that it is to hold, by the assignment; `held` those that it holds as
        of `position`, None where it does not say: then what this machine last sent it counts, if
        that took it to `position`, and nothing otherwise. `redirected`: another machine has sent
        it here, so it is answered here although it belongs there.
        """
        refusal = self._refusal(node, region, position, services)
        if refusal is not None:
            self.counts[f"refused: {refusal.value}"] += 1
            return Refused(refusal)
        belongs = self._placement.machine_for(node, self._living)
        if belongs is not None and belongs != self._name and not redirected:
            return Redirect(belongs)
        log = self._logs[region]
        if position > log.position or position.revision > log.position.revision:
            return self._behind(node, redirected)
        if log.position == START:
            self.counts["not ready"] += 1
            return RetryAfter(NOT_READY)
        subscriber = self._subscriber(node, region, services)
        if held is None:
            held = subscriber.sent if subscriber.position == position else frozenset()
        if position == START or not log.contains(position):
            return self._snapshot(now, (node, region), log, subscriber)
        return self._changes(now, (node, region), log, subscriber, position, held & services)

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
        """The subscriber knows more than this machine: it is sent to another, with nothing.

        One that was sent here already waits a little: the next may know no more.
        """
        self.counts["behind a subscriber"] += 1
        others = self._placement.others(node, self._living - {self._name})
        return Redirect(others[0]) if others and not redirected else RetryAfter(NOT_READY)

    def _snapshot(self, now: int, key: _Key, log: ChangeLog, subscriber: _Subscriber) -> Answer:
        size = log.size(subscriber.services)
        wait = self._pacer.wait(now, key, size)
        if wait:
            self.counts["snapshots put off"] += 1
            return RetryAfter(wait)
        self.counts["snapshots"] += 1
        return self._sent(subscriber, log.snapshot(subscriber.services), size, subscriber.services)

    def _changes(
        self,
        now: int,
        key: _Key,
        log: ChangeLog,
        subscriber: _Subscriber,
        position: Position,
        held: frozenset[str],
    ) -> Answer:
        missing = log.missing(position, held)
        fresh = subscriber.services - held
        whole = missing | fresh
        until = None
        if whole and (wait := self._whole_wait(now, key, log.size(whole))):
            until = now + wait
            if missing:
                # Its position must not move past changes that it would not get.
                return Wait(until)
            whole = frozenset()
        delta = log.since(position, held - missing)
        assert delta is not None, "every service that the log does not reach was taken out"
        if not delta.changes and not whole:
            subscriber.waiting = True
            return Wait(until)
        size = sum(change_size(change) for change in delta.changes)
        self._pacer.spend(now, size)
        update = Delta(
            log.region, position, log.position, (*delta.changes, *log.replacements(sorted(whole)))
        )
        self.counts["deltas"] += 1
        return self._sent(subscriber, update, size + log.size(whole), held | whole)

    def _whole_wait(self, now: int, key: _Key, size: int) -> int:
        """How long until services may go whole: a few go at once, but count."""
        if size <= self._limits.unpaced_bytes:
            self._pacer.spend(now, size)
            return 0
        return self._pacer.wait(now, key, size)

    def _sent(
        self, subscriber: _Subscriber, update: Update, size: int, sent: frozenset[str]
    ) -> SendUpdate:
        subscriber.waiting = False
        subscriber.position = update.position
        subscriber.sent = sent
        self.counts["bytes"] += size
        return SendUpdate(update, size)

    # ---- who waits for what -----------------------------------------------

    def on_change(self, region: str, change: Change) -> tuple[str, ...]:
        """The waiting nodes to answer again now that a change is in the log.

        Cost follows the subscribers of the change's service.
        """
        nodes = self._index.get((region, change.service), ())
        return tuple(node for node in nodes if self._subscribers[node, region].waiting)

    def on_restored(self, region: str) -> tuple[str, ...]:
        """The waiting nodes to answer again after a region's log was restored from an image."""
        return tuple(
            node
            for (node, where), subscriber in self._subscribers.items()
            if where == region and subscriber.waiting
        )

    def on_assigned(self, node: str, region: str, services: frozenset[str]) -> bool:
        """A node's services have changed; gives whether it waits and is to be answered again."""
        subscriber = self._subscribers.get((node, region))
        return subscriber is not None and subscriber.waiting and subscriber.services != services

    def cancel(self, node: str, region: str) -> None:
        """A waiting subscriber has gone away."""
        if subscriber := self._subscribers.get((node, region)):
            subscriber.waiting = False

    def _subscriber(self, node: str, region: str, services: frozenset[str]) -> _Subscriber:
        subscriber = self._subscribers.setdefault((node, region), _Subscriber())
        for name in services - subscriber.services:
            self._index.setdefault((region, name), {})[node] = None
        self._unindex(node, region, subscriber.services - services)
        subscriber.services = services
        subscriber.waiting = False
        return subscriber

    def _unindex(self, node: str, region: str, services: frozenset[str]) -> None:
        for name in services:
            nodes = self._index[region, name]
            nodes.pop(node, None)
            if not nodes:
                del self._index[region, name]

    def _forget(self, node: str, region: str) -> None:
        subscriber = self._subscribers.pop((node, region))
        self._unindex(node, region, subscriber.services)
        self._pacer.forget((node, region))

"""Messages between nodes and machines, and their form in a run's digest.

Replicas' messages and grants have a form on the wire, and a digest takes those bytes. A poll and
its reply are records of the simulation: a digest takes their values, in the order given here.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core.assignment.model import Delta, Snapshot
from loadbalancer.core.subscription.answers import Answer, SendUpdate
from loadbalancer.core.subscription.updates import Subscription


@dataclass(frozen=True, slots=True)
class NodeAssignment:
    """Which services a machine assigns to a node, and which the node may release."""

    wanted: frozenset[str] = frozenset()
    releasable: frozenset[str] = frozenset()

    def digest_values(self) -> object:
        """What a digest takes of it."""
        return self.wanted, self.releasable


@dataclass(frozen=True, slots=True)
class Poll:
    """A node's poll of a machine for one region's updates."""

    node: int
    incarnation: int  # of the node
    serial: int  # grows by one with each of the node's polls for the region
    subscription: Subscription
    # The last that this incarnation received from the polled machine; None before the first.
    assignment: NodeAssignment | None
    redirected: bool

    @property
    def region(self) -> str:
        """The region that it is about."""
        return self.subscription.region

    def digest_values(self) -> object:
        """What a digest takes of it."""
        subscription = self.subscription
        return (
            self.incarnation,
            self.serial,
            subscription.region,
            subscription.position,
            subscription.services,
            subscription.current,
            None if self.assignment is None else self.assignment.digest_values(),
            self.redirected,
        )


@dataclass(frozen=True, slots=True)
class PollReply:
    """A machine's answer to a poll; `answer` is None where there was no update."""

    machine: int
    poll: Poll
    answer: Answer | None
    assignment: NodeAssignment
    generation: int  # of the machine's handover

    def digest_values(self) -> object:
        """What a digest takes of it."""
        return (
            self.poll.incarnation,
            self.poll.serial,
            _answer_values(self.answer),
            self.assignment.digest_values(),
            self.generation,
        )


def _answer_values(answer: Answer | None) -> object:
    if not isinstance(answer, SendUpdate):
        return answer
    update = answer.update
    if isinstance(update, Snapshot):
        return update.region, update.position, _snapshot_rows(update), answer.size
    return update.region, update.base, update.position, _changes(update), answer.size


def _snapshot_rows(snapshot: Snapshot) -> object:
    """Sorted: a snapshot's services come in the order of a set, which differs by process."""
    return sorted((name, tuple(rows.values())) for name, rows in snapshot.services.items())


def _changes(delta: Delta) -> object:
    return [
        (
            change.position,
            change.service,
            change.rows,
            change.removed,
            change.deleted,
            change.complete,
        )
        for change in delta.changes
    ]

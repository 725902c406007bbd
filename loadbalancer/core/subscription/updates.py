"""What becomes of an update at a node, and of the rows that it changes."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from loadbalancer.core.assignment.model import Change, Delta, Position, Row
from loadbalancer.core.replicated_log.change_log import apply_change
from loadbalancer.core.subscription.limits import ROW_BYTES

Rows = dict[str, Row]  # by uid


class UpdateStatus(Enum):
    """What came of an update. Measurements record the members' names."""

    APPLIED = "applied"
    OLDER = "of an older epoch or revision: ignored"
    GAP = "does not follow what is held: ask for a snapshot"
    OVER_LIMIT = "applied, less what is new in services that don't fit"
    NOT_WANTED = "applied, and nothing of it is held here"
    MALFORMED = "its positions or its changes contradict themselves: ignored"


APPLIED_STATUSES = (UpdateStatus.APPLIED, UpdateStatus.OVER_LIMIT, UpdateStatus.NOT_WANTED)


class UpdateResult(NamedTuple):
    """What came of an update: the services whose rows changed, and those that don't fit.

    One may be both: it has lost rows that were removed, and takes nothing new.
    """

    status: UpdateStatus
    changed: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


class Subscription(NamedTuple):
    """A node's poll for one region; a control machine answers it with an update."""

    region: str
    position: Position
    services: frozenset[str]  # to be sent: all that are wanted or still held
    current: frozenset[str]  # those for which deltas suffice: the others must come completely


def is_valid(delta: Delta) -> bool:
    """Whether a delta goes forward, and each of its changes lies between its two positions.

    A complete service may be as of the base: it was assigned, and has not changed since.
    """
    base, position = delta.base, delta.position
    if position.epoch < base.epoch or position.revision < base.revision:
        return False
    return all(
        change.position <= position and (change.complete or change.position > base)
        for change in delta.changes
    )


def rows_after(before: Mapping[str, Row] | None, change: Change) -> Rows | None:
    """A service's rows after a change; None where it was deleted."""
    return None if change.deleted else apply_change(before or {}, change)


def rows_without_removed(before: Mapping[str, Row] | None, change: Change) -> Rows | None:
    """The rows less those that the change removes or drains; it adds and modifies nothing."""
    if before is None:
        return None
    named = {row.uid: row for row in change.rows}
    removed = set(change.removed) | {uid for uid, row in named.items() if row.draining}
    if change.complete:
        removed |= before.keys() - named.keys()
    return {uid: row for uid, row in before.items() if uid not in removed}


def rows_bytes(rows: Mapping[str, Row] | None) -> int:
    """About how many bytes of memory these rows take."""
    return sum(ROW_BYTES + len(row.uid) + len(row.body) for row in (rows or {}).values())

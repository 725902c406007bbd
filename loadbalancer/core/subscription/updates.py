"""The result of an update at a node, and its effect on the rows of a service."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from loadbalancer.core.assignment.model import Change, Delta, Position, Row
from loadbalancer.core.replicated_log.change_log import apply_change
from loadbalancer.core.subscription.limits import ROW_BYTES

Rows = dict[str, Row]  # by uid


class UpdateStatus(Enum):
    """The result of an update.

    Measurements record the names of the members. The values are part of the recorded digests of
    simulated runs, so they must not change; the attributes describe the members.

    Attributes:
        APPLIED: the update was applied.
        OLDER: it was ignored, as its epoch or revision is older than the node's position.
        GAP: it was ignored, as it does not follow the node's position; a snapshot is needed.
        OVER_LIMIT: it was applied except for new rows of services that exceed the limits.
        NOT_WANTED: its position was applied, but the node holds none of its services.
        MALFORMED: it was ignored, as its positions or changes are inconsistent.
    """

    APPLIED = "applied"
    OLDER = "of an older epoch or revision: ignored"
    GAP = "does not follow what is held: ask for a snapshot"
    OVER_LIMIT = "applied, less what is new in services that don't fit"
    NOT_WANTED = "applied, and nothing of it is held here"
    MALFORMED = "its positions or its changes contradict themselves: ignored"


APPLIED_STATUSES = (UpdateStatus.APPLIED, UpdateStatus.OVER_LIMIT, UpdateStatus.NOT_WANTED)


class UpdateResult(NamedTuple):
    """The result of an update: the services whose rows changed, and those that were refused.

    A service may be in both: rows of it were removed, but none were added.
    """

    status: UpdateStatus
    changed: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


class Subscription(NamedTuple):
    """A node's poll of one region's log, which a control machine answers with an update."""

    region: str
    position: Position
    services: frozenset[str]  # all that are wanted or still held
    current: frozenset[str]  # those for which deltas are sufficient


def is_valid(delta: Delta) -> bool:
    """Return whether a delta does not go back, and its changes lie between its two positions.

    A complete change may have the position of the base: it is that of a newly assigned service that
    has not changed since.
    """
    base, position = delta.base, delta.position
    if position.epoch < base.epoch or position.revision < base.revision:
        return False
    return all(
        change.position <= position and (change.complete or change.position > base)
        for change in delta.changes
    )


def rows_after(before: Mapping[str, Row] | None, change: Change) -> Rows | None:
    """Return a service's rows after a change, or None if it was deleted."""
    return None if change.deleted else apply_change(before or {}, change)


def rows_without_removed(before: Mapping[str, Row] | None, change: Change) -> Rows | None:
    """Return the rows without those that the change removes or drains.

    Nothing else of the change is applied.
    """
    if before is None:
        return None
    changed = {row.uid: row for row in change.rows}
    removed = set(change.removed) | {uid for uid, row in changed.items() if row.draining}
    if change.complete:
        removed |= before.keys() - changed.keys()
    return {uid: row for uid, row in before.items() if uid not in removed}


def rows_bytes(rows: Mapping[str, Row] | None) -> int:
    """Return the approximate memory use of these rows in bytes."""
    return sum(ROW_BYTES + len(row.uid) + len(row.body) for row in (rows or {}).values())

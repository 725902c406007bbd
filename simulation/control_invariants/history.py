"""What was accepted, by region, log and position: the record that machines and nodes must match."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.core.assignment.model import START, Change, Position, Row

Rows = Mapping[str, Row]  # a service's backends by uid


class ProposedRows(NamedTuple):
    """What a source proposed for a service; `rows` is None where the service is to be deleted."""

    service: str
    rows: Rows | None


@dataclass
class ServiceHistory:
    """All states of one service, by the revision of the change that led there."""

    revisions: list[int] = field(default_factory=list)
    rows: list[Rows | None] = field(default_factory=list)

    def add(self, revision: int, rows: Rows | None) -> None:
        """Record the rows after a revision, None for a deleted service."""
        self.revisions.append(revision)
        self.rows.append(rows)

    def at(self, revision: int) -> Rows | None:
        """The rows as of a revision; None where the service did not exist."""
        index = bisect_right(self.revisions, revision)
        return self.rows[index - 1] if index else None

    def was_active(self, uid: str, after: int, until: int) -> bool:
        """Whether a revision in (after, until] lists this backend and does not drain it."""
        return any(
            after < revision <= until
            and rows is not None
            and uid in rows
            and not rows[uid].draining
            for revision, rows in zip(self.revisions, self.rows, strict=True)
        )


@dataclass
class AcceptedLog:
    """Changes that follow each other, from one load of a region's log on."""

    changes: dict[int, Change] = field(default_factory=dict)  # by revision
    services: dict[str, ServiceHistory] = field(default_factory=lambda: defaultdict(ServiceHistory))
    last: Position = START

    def has(self, position: Position) -> bool:
        """Whether the change at this position was accepted in this log."""
        change = self.changes.get(position.revision)
        return change is not None and change.position == position

    def is_followed_by(self, position: Position) -> bool:
        """Whether a change at this position may be the next one."""
        return position.revision == self.last.revision + 1 and position.epoch >= self.last.epoch

    def append(self, change: Change) -> None:
        """Accept the next change."""
        self.changes[change.position.revision] = change
        self.last = change.position


@dataclass
class RegionHistory:
    """One region's logs in order; each begins with a load from the source."""

    logs: list[AcceptedLog] = field(default_factory=list)
    proposed: dict[Position, ProposedRows] = field(default_factory=dict)
    loaded: list[dict[str, Rows]] = field(default_factory=list)

    def log_with(self, position: Position) -> AcceptedLog | None:
        """The log in which a position was accepted; None where it was not."""
        return next((log for log in reversed(self.logs) if log.has(position)), None)

    def log_before(self, position: Position) -> AcceptedLog | None:
        """The last log whose next change may be at this position; None where there is none."""
        return next((log for log in reversed(self.logs) if log.is_followed_by(position)), None)

    def rows_at(self, service: str, position: Position) -> Rows | None:
        """A service's rows as of a position; None where it did not exist, or was not accepted."""
        log = self.log_with(position)
        return None if log is None else log.services[service].at(position.revision)

    def rows_before_load(self, service: str) -> Rows | None:
        """A service's rows at the end of the log before the last one."""
        log = self.logs[-2]
        return log.services[service].at(log.last.revision)


class AcceptedHistory:
    """The histories of all regions, each from the first thing that is recorded of it."""

    def __init__(self) -> None:
        self.regions: dict[str, RegionHistory] = defaultdict(RegionHistory)
        self.deleted_at: dict[str, int] = {}  # the world's time, by service

"""One region's committed changes: the current rows of every service and a bounded log.

A subscriber resumes from its position with the changes of its own services. The log is compacted
once it exceeds a number of changes or of bytes. How far back it reaches is tracked for each
service, so that a subscriber can resume from a position that precedes the log as long as its own
services have not changed since. Cost follows the subscriber's services and their changes, never the
region's size.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from loadbalancer.core.assignment.model import (
    START,
    Change,
    Delta,
    InvalidInputError,
    Position,
    Row,
    Snapshot,
)

ROW_OVERHEAD = 12  # bytes around one row on the wire: quotes, commas, flags
CHANGE_OVERHEAD = 32  # bytes around one change on the wire: its position and its flags
MAX_EPOCHS = 1024  # epochs whose start is remembered; older positions need a snapshot

Rows = Mapping[str, Row]


def rows_size(service: str, rows: Iterable[Row]) -> int:
    """The approximate size in bytes of a service with these rows on the wire."""
    return (
        CHANGE_OVERHEAD
        + len(service)
        + sum(len(row.uid) + len(row.body) + ROW_OVERHEAD for row in rows)
    )


def change_size(change: Change) -> int:
    """The approximate size in bytes of a change on the wire."""
    removed = sum(len(uid) + ROW_OVERHEAD for uid in change.removed)
    return rows_size(change.service, change.rows) + removed


def applied(rows: Rows, change: Change) -> dict[str, Row]:
    """The rows of a service after a change; the given ones are not modified."""
    if change.deleted:
        return {}
    merged = {} if change.complete else dict(rows)
    for uid in change.removed:
        merged.pop(uid, None)
    for row in change.rows:
        merged[row.uid] = row
    return merged


@dataclass(frozen=True, slots=True)
class LogSnapshot:
    """A change log's state without its changes (Raft, section 7): all that a copy of it needs.

    Rows are shared with the log and never written to.
    """

    position: Position
    rows: Mapping[str, Rows] = field(default_factory=dict)  # by service
    last_changed: Mapping[str, int] = field(default_factory=dict)  # each service's last revision
    last_deletion: int = 0  # revision of the last deletion of any service
    epoch_starts: tuple[Position, ...] = ()  # the first position of each epoch, in order
    history: Position = START  # as in `ChangeLog.reset`


@dataclass(frozen=True, slots=True)
class _Service:
    """A service as of its last change."""

    rows: Rows
    size: int  # of the rows, in bytes
    last_changed: int  # revision


@dataclass(frozen=True, slots=True)
class _Logged:
    """A change in the log, and its size in bytes."""

    change: Change
    size: int


class ChangeLog:
    """The services of one region as of `position`, and the changes that led there."""

    def __init__(self, region: str, max_changes: int, max_bytes: int) -> None:
        """Retain at most `max_changes` changes, of at most `max_bytes` bytes in total.

        Raises:
            InvalidInputError: a bound is not positive.
        """
        if max_changes < 1 or max_bytes < 1:
            raise InvalidInputError(f"change log of {region}: bounds must be at least 1")
        self.region = region
        self._max_changes = max_changes
        self._max_bytes = max_bytes
        self.reset()

    def reset(self, history: Position = START) -> None:
        """Discard all services and changes: a new history begins.

        Args:
            history: the epoch in which it was begun, and the revision before its first change.
        """
        self.position = Position(0, history.revision)
        self.history = history
        self.size_bytes = 0  # of the changes in the log
        self._services: dict[str, _Service] = {}
        self._log: deque[_Logged] = deque()
        self._by_service: dict[str, deque[Change]] = {}
        self._compacted: dict[str, int] = {}  # each service's last revision that left the log
        self._last_deletion = 0  # revision of the last deletion of any service
        self._compacted_deletion = 0  # deletions up to this revision may have left the log
        self._epoch_starts: list[Position] = []  # the first position of each epoch

    # ---- writing ----------------------------------------------------------

    def append(self, change: Change) -> None:
        """Apply the next committed change. One without a service moves the position alone.

        Raises:
            InvalidInputError: the change does not follow the log's position directly.
        """
        epoch, revision = change.position
        # Epochs of changes begin at 1: 0 is that of `START` and of a log that has no change yet.
        if revision != self.position.revision + 1 or epoch < max(self.position.epoch, 1):
            raise InvalidInputError(
                f"change log of {self.region}: {change.position} does not follow {self.position}"
            )
        if not self._epoch_starts or epoch > self._epoch_starts[-1].epoch:
            self._epoch_starts.append(change.position)
            if len(self._epoch_starts) > MAX_EPOCHS:
                del self._epoch_starts[0]
        self.position = change.position
        if change.service:
            self._apply(change)
        size = change_size(change)
        self._log.append(_Logged(change, size))
        self.size_bytes += size
        while len(self._log) > self._max_changes or self.size_bytes > self._max_bytes:
            self._compact()

    def _apply(self, change: Change) -> None:
        service = change.service
        if service not in self._services and service not in self._by_service:
            # A service of this name may have been deleted, and its deletion compacted away. A
            # subscriber that still has the old one must not get the new one as a delta.
            self._compacted.setdefault(service, self._compacted_deletion)
        before = self._services.get(service)
        if change.deleted:
            self._last_deletion = change.position.revision
            self._services.pop(service, None)
        else:
            rows = applied(before.rows if before else {}, change)
            size = rows_size(service, rows.values())
            self._services[service] = _Service(rows, size, change.position.revision)
        self._by_service.setdefault(service, deque()).append(change)

    def _compact(self) -> None:
        """Remove the oldest change from the log (Raft, section 7)."""
        oldest = self._log.popleft()
        self.size_bytes -= oldest.size
        service = oldest.change.service
        if not service:
            return
        logged = self._by_service[service]
        logged.popleft()
        self._compacted[service] = oldest.change.position.revision
        if not logged:
            del self._by_service[service]
            if service not in self._services:
                self._compacted_deletion = max(
                    self._compacted_deletion, self._compacted.pop(service)
                )

    def restore(self, snapshot: LogSnapshot) -> None:
        """Replace all services by another machine's snapshot, and discard the logged changes.

        Raises:
            InvalidInputError: the snapshot is older than the log.
        """
        if snapshot.position < self.position:
            raise InvalidInputError(
                f"change log of {self.region}: a snapshot of {snapshot.position}"
                f" is older than {self.position}"
            )
        self.reset()
        self.position = snapshot.position
        self.history = snapshot.history
        for name, rows in snapshot.rows.items():
            last_changed = snapshot.last_changed.get(name, snapshot.position.revision)
            size = rows_size(name, rows.values())
            self._services[name] = _Service(rows, size, last_changed)
            # No change up to the snapshot is logged: count each service's last one as compacted.
            self._compacted[name] = last_changed
        self._last_deletion = self._compacted_deletion = snapshot.last_deletion
        self._epoch_starts = list(snapshot.epoch_starts)

    # ---- reading ----------------------------------------------------------

    def log_snapshot(self) -> LogSnapshot:
        """The region as of now, unaffected by later changes. Cost is linear in its services."""
        rows = {name: service.rows for name, service in self._services.items()}
        last_changed = {name: service.last_changed for name, service in self._services.items()}
        return LogSnapshot(
            self.position, rows, last_changed, self._last_deletion, tuple(self._epoch_starts),
            self.history,
        )  # fmt: skip

    def contains(self, position: Position) -> bool:
        """Whether the log's history went through this position."""
        # An uncommitted entry of an older epoch can have a higher revision than the log.
        if position > self.position or position.revision > self.position.revision:
            return False
        return self._logged_epoch(position.revision) == position.epoch

    def epoch_at(self, revision: int) -> int | None:
        """The epoch of the change with this revision; None where it is not known."""
        if not 0 < revision <= self.position.revision:
            return None
        return self._logged_epoch(revision)

    def _logged_epoch(self, revision: int) -> int | None:
        index = bisect_right(self._epoch_starts, revision, key=lambda start: start.revision)
        return self._epoch_starts[index - 1].epoch if index else None

    def compacted_since(self, position: Position, services: Iterable[str]) -> frozenset[str]:
        """Of these services, those whose changes since `position` are no longer all logged."""
        revision = position.revision
        return frozenset(name for name in services if self._complete_after(name) > revision)

    def _complete_after(self, service: str) -> int:
        """The log has every change of the service after this revision."""
        compacted = self._compacted.get(service)
        if compacted is not None:
            return compacted
        return 0 if service in self._services else self._compacted_deletion

    def delta_since(self, position: Position, services: Iterable[str]) -> Delta | None:
        """What changed in these services after `position`, up to now.

        None where the log no longer reaches back for one of them, or where the position is not
        one of this log's history. Cost follows the services and the changes returned.
        """
        if not self.contains(position):
            return None
        revision = position.revision
        changes: list[Change] = []
        for service in services:
            if self._complete_after(service) > revision:
                return None
            for change in reversed(self._by_service.get(service, ())):
                if change.position.revision <= revision:
                    break
                changes.append(change)
        changes.sort(key=lambda change: change.position.revision)
        return Delta(self.region, position, self.position, tuple(changes))

    def replacements(self, services: Iterable[str]) -> tuple[Change, ...]:
        """Each service's rows as of `position` as one change that replaces them all.

        A service that the region does not know is given as deleted.
        """
        return tuple(self._replacement(service) for service in services)

    def _replacement(self, service: str) -> Change:
        rows = self.rows(service)
        if rows is None:
            return Change(self.position, service, deleted=True, complete=True)
        return Change(self.position, service, tuple(rows.values()), complete=True)

    def snapshot(self, services: Iterable[str]) -> Snapshot:
        """A subscriber's snapshot of these services, without those the region does not know."""
        known = self._services
        found = {name: known[name].rows for name in services if name in known}
        return Snapshot(self.region, self.position, found)

    def size(self, services: Iterable[str]) -> int:
        """The approximate size in bytes of all rows of these services."""
        known = self._services
        return sum(known[name].size if name in known else CHANGE_OVERHEAD for name in services)

    def rows(self, service: str) -> Rows | None:
        """The rows of a service; None where the region does not know it."""
        found = self._services.get(service)
        return None if found is None else found.rows

    def services(self) -> Iterator[str]:
        """Every service of the region."""
        return iter(self._services)

    def changes_after(self, position: Position, max_bytes: int) -> tuple[Change, ...] | None:
        """All changes after `position`, in order, up to about `max_bytes` and at least one.

        None where the log does not reach back to it: a snapshot is needed.
        """
        if not self.contains(position):
            return None
        skip = position.revision - (self.position.revision - len(self._log))
        if skip < 0:
            return None
        found: list[Change] = []
        size = 0
        for index in range(skip, len(self._log)):
            entry = self._log[index]
            if found and size + entry.size > max_bytes:
                break
            found.append(entry.change)
            size += entry.size
        return tuple(found)

    def __len__(self) -> int:
        """Changes in the log."""
        return len(self._log)

"""One region's committed changes: the current rows of every service and a bounded log.

A subscriber resumes from its position and receives the changes of its own services. The oldest
changes are compacted away once the log exceeds a number of changes or of bytes. The last compacted
revision is tracked for each service, so that a subscriber can resume from a position that precedes
the log as long as its own services have not changed since. The cost of an answer is proportional to
the subscriber's services and their changes, not to the number of services in the region.
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

ROW_OVERHEAD_BYTES = 12  # of one row on the wire: quotes, commas, flags
CHANGE_OVERHEAD_BYTES = 32  # of one change on the wire: its position and its flags
MAX_EPOCHS = 1024  # whose first position is stored; subscribers of older ones need a snapshot

Rows = Mapping[str, Row]


def rows_size(service: str, rows: Iterable[Row]) -> int:
    """Return the approximate size in bytes of a service with these rows on the wire."""
    return (
        CHANGE_OVERHEAD_BYTES
        + len(service)
        + sum(len(row.uid) + len(row.body) + ROW_OVERHEAD_BYTES for row in rows)
    )


def change_size(change: Change) -> int:
    """Return the approximate size in bytes of a change on the wire."""
    removed = sum(len(uid) + ROW_OVERHEAD_BYTES for uid in change.removed)
    return rows_size(change.service, change.rows) + removed


def apply_change(rows: Rows, change: Change) -> dict[str, Row]:
    """Return the rows of a service after a change; `rows` is not modified."""
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
    """The state of a change log without its logged changes (paper, section 7).

    A replica that restores it continues from `position`. The rows are shared with the log and must
    not be modified.
    """

    position: Position
    rows: Mapping[str, Rows] = field(default_factory=dict)  # by service
    last_changed: Mapping[str, int] = field(default_factory=dict)  # revision, by service
    last_deletion: int = 0  # revision of the last deletion of any service
    epoch_starts: tuple[Position, ...] = ()  # the first position of each epoch, in order
    history: Position = START  # as described in `ChangeLog.reset`


@dataclass(frozen=True, slots=True)
class _Service:
    """The current state of a service."""

    rows: Rows
    size: int  # of the rows, in bytes
    last_changed: int  # revision of the last change


@dataclass(frozen=True, slots=True)
class _LogEntry:
    """A change in the log, and its size in bytes."""

    change: Change
    size: int


class ChangeLog:
    """The services of one region as of `position`, and the most recent changes before it."""

    def __init__(self, region: str, max_changes: int, max_bytes: int) -> None:
        """Create an empty log that retains up to `max_changes` changes and `max_bytes` bytes.

        Raises:
            InvalidInputError: a bound is not positive.
        """
        if max_changes < 1 or max_bytes < 1:
            raise InvalidInputError(
                f"change log of {region}: max_changes and max_bytes must be at least 1"
            )
        self.region = region
        self._max_changes = max_changes
        self._max_bytes = max_bytes
        self.reset()

    def reset(self, history: Position = START) -> None:
        """Discard all services and changes, and begin a new history.

        A history is the sequence of changes that follows one complete load of the log. A new one
        begins when a majority has lost the log, or when a subscriber reports a position that the
        log has not reached.

        Args:
            history: the epoch in which the history begins, and the revision before its first
                change.
        """
        self.position = Position(0, history.revision)
        self.history = history
        self.size_bytes = 0  # of the changes in the log
        self._services: dict[str, _Service] = {}
        self._log: deque[_LogEntry] = deque()
        self._changes_by_service: dict[str, deque[Change]] = {}  # those in the log
        self._last_compacted: dict[str, int] = {}  # revision of the last change, by service
        self._last_deletion = 0  # revision of the last deletion of any service
        self._compacted_deletion = 0  # deletions up to this revision may have been compacted
        self._epoch_starts: list[Position] = []  # the first position of each epoch

    def append(self, change: Change) -> None:
        """Apply the next committed change. One without a service only advances the position.

        Raises:
            InvalidInputError: the change's position is not the next one after the log's.
        """
        epoch, revision = change.position
        # Epochs of changes start at 1. Epoch 0 is that of `START` and of a log without changes.
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
        self._log.append(_LogEntry(change, size))
        self.size_bytes += size
        while len(self._log) > self._max_changes or self.size_bytes > self._max_bytes:
            self._compact()

    def _apply(self, change: Change) -> None:
        service = change.service
        if service not in self._services and service not in self._changes_by_service:
            # An earlier service of this name may have been deleted and the deletion compacted. A
            # subscriber that still has the old rows must not be sent the new service as a delta.
            self._last_compacted.setdefault(service, self._compacted_deletion)
        before = self._services.get(service)
        if change.deleted:
            self._last_deletion = change.position.revision
            self._services.pop(service, None)
        else:
            rows = apply_change(before.rows if before else {}, change)
            size = rows_size(service, rows.values())
            self._services[service] = _Service(rows, size, change.position.revision)
        self._changes_by_service.setdefault(service, deque()).append(change)

    def _compact(self) -> None:
        """Remove the oldest change from the log (paper, section 7)."""
        oldest = self._log.popleft()
        self.size_bytes -= oldest.size
        service = oldest.change.service
        if not service:
            return
        logged = self._changes_by_service[service]
        logged.popleft()
        self._last_compacted[service] = oldest.change.position.revision
        if not logged:
            del self._changes_by_service[service]
            if service not in self._services:
                self._compacted_deletion = max(
                    self._compacted_deletion, self._last_compacted.pop(service)
                )

    def restore(self, snapshot: LogSnapshot) -> None:
        """Replace all services with another machine's snapshot, and discard the logged changes.

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
            # The log has no change up to the snapshot, so the last one counts as compacted.
            self._last_compacted[name] = last_changed
        self._last_deletion = self._compacted_deletion = snapshot.last_deletion
        self._epoch_starts = list(snapshot.epoch_starts)

    def log_snapshot(self) -> LogSnapshot:
        """Return the current state, unaffected by later changes, in time linear in the services."""
        rows = {name: service.rows for name, service in self._services.items()}
        last_changed = {name: service.last_changed for name, service in self._services.items()}
        return LogSnapshot(
            self.position, rows, last_changed, self._last_deletion, tuple(self._epoch_starts),
            self.history,
        )  # fmt: skip

    def contains(self, position: Position) -> bool:
        """Return whether this is the position of a committed change of the current history."""
        # An uncommitted entry of an older epoch can have a higher revision than the log's.
        if position > self.position or position.revision > self.position.revision:
            return False
        return self._epoch_of(position.revision) == position.epoch

    def epoch_at(self, revision: int) -> int | None:
        """Return the epoch of the change with this revision, or None if it is unknown."""
        if not 0 < revision <= self.position.revision:
            return None
        return self._epoch_of(revision)

    def _epoch_of(self, revision: int) -> int | None:
        index = bisect_right(self._epoch_starts, revision, key=lambda start: start.revision)
        return self._epoch_starts[index - 1].epoch if index else None

    def compacted_since(self, position: Position, services: Iterable[str]) -> frozenset[str]:
        """Return those of `services` that have changes after `position` which were compacted."""
        revision = position.revision
        return frozenset(name for name in services if self._complete_after(name) > revision)

    def _complete_after(self, service: str) -> int:
        """Return the revision after which the log has every change of the service."""
        compacted = self._last_compacted.get(service)
        if compacted is not None:
            return compacted
        return 0 if service in self._services else self._compacted_deletion

    def delta_since(self, position: Position, services: Iterable[str]) -> Delta | None:
        """Return the changes of `services` after `position`.

        None if changes of one of them were compacted, or if the position does not belong to this
        log's history. The cost is proportional to the services and the changes returned.
        """
        if not self.contains(position):
            return None
        revision = position.revision
        changes: list[Change] = []
        for service in services:
            if self._complete_after(service) > revision:
                return None
            for change in reversed(self._changes_by_service.get(service, ())):
                if change.position.revision <= revision:
                    break
                changes.append(change)
        changes.sort(key=lambda change: change.position.revision)
        return Delta(self.region, position, self.position, tuple(changes))

    def replacements(self, services: Iterable[str]) -> tuple[Change, ...]:
        """Return one complete change for each service, with all its rows as of `position`.

        A service that the region does not know is returned as deleted.
        """
        return tuple(self._replacement(service) for service in services)

    def _replacement(self, service: str) -> Change:
        rows = self.rows(service)
        if rows is None:
            return Change(self.position, service, deleted=True, complete=True)
        return Change(self.position, service, tuple(rows.values()), complete=True)

    def snapshot(self, services: Iterable[str]) -> Snapshot:
        """Return a subscriber's snapshot of those of `services` that the region knows."""
        known = self._services
        rows = {name: known[name].rows for name in services if name in known}
        return Snapshot(self.region, self.position, rows)

    def size(self, services: Iterable[str]) -> int:
        """Return the approximate size in bytes of all rows of these services on the wire."""
        known = self._services
        return sum(
            known[name].size if name in known else CHANGE_OVERHEAD_BYTES for name in services
        )

    def rows(self, service: str) -> Rows | None:
        """Return the rows of a service, or None if the region does not know it."""
        state = self._services.get(service)
        return None if state is None else state.rows

    def services(self) -> Iterator[str]:
        """Iterate over the names of all services of the region."""
        return iter(self._services)

    def changes_after(self, position: Position, max_bytes: int) -> tuple[Change, ...] | None:
        """Return the changes of all services after `position`, in order.

        They are limited to about `max_bytes`, but include at least one change. None if the changes
        after the position were compacted, so that a snapshot is needed.
        """
        if not self.contains(position):
            return None
        skip = position.revision - (self.position.revision - len(self._log))
        if skip < 0:
            return None
        changes: list[Change] = []
        size = 0
        for index in range(skip, len(self._log)):
            entry = self._log[index]
            if changes and size + entry.size > max_bytes:
                break
            changes.append(entry.change)
            size += entry.size
        return tuple(changes)

    def __len__(self) -> int:
        """Return the number of changes in the log."""
        return len(self._log)

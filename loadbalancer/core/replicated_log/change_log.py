"""One region's accepted changes: the current rows of every service and a bounded log.

A subscriber resumes from its position with the changes of its own services. The log is trimmed by
number and by bytes, and how far back it reaches is known for each service: one that has not
changed since a subscriber's position needs no log at all. Cost follows the subscriber's services
and their changes, never the region's size. Pure: no I/O and no clock.
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
MOST_EPOCHS = 1024  # leaders that a log remembers; older positions need a snapshot

Rows = Mapping[str, Row]


def rows_size(service: str, rows: Iterable[Row]) -> int:
    """Bytes of a service with these rows on the wire, about."""
    return (
        CHANGE_OVERHEAD
        + len(service)
        + sum(len(row.uid) + len(row.body) + ROW_OVERHEAD for row in rows)
    )


def change_size(change: Change) -> int:
    """Bytes of a change on the wire, about."""
    removed = sum(len(uid) + ROW_OVERHEAD for uid in change.removed)
    return rows_size(change.service, change.rows) + removed


def applied(rows: Rows, change: Change) -> Rows:
    """The rows of a service after a change; the given ones stay as they are."""
    if change.deleted:
        return {}
    merged = {} if change.complete else dict(rows)
    for uid in change.removed:
        merged.pop(uid, None)
    for row in change.rows:
        merged[row.uid] = row
    return merged


@dataclass(frozen=True, slots=True)
class LogImage:
    """All that a log's successor needs: what a machine that starts empty takes over.

    `changed` gives the revision of each service's last change, `gone` that of the last deletion,
    `epochs` the first revision of each epoch, in order, `history` as `ChangeLog` does.
    Rows are shared and never written to.
    """

    position: Position
    rows: Mapping[str, Rows] = field(default_factory=dict)
    changed: Mapping[str, int] = field(default_factory=dict)
    gone: int = 0
    epochs: tuple[Position, ...] = ()
    history: Position = START


@dataclass(slots=True)
class _Logged:
    change: Change
    size: int


class ChangeLog:
    """The services of one region as of `position`, and the changes that led there."""

    def __init__(self, region: str, most_changes: int, most_bytes: int) -> None:
        """At most `most_changes` changes of `most_bytes` bytes together are kept as a log.

        Raises InvalidInputError where a bound is not positive.
        """
        if most_changes < 1 or most_bytes < 1:
            raise InvalidInputError(f"change log of {region}: bounds must be at least 1")
        self.region = region
        self._most_changes = most_changes
        self._most_bytes = most_bytes
        self.reset()

    def reset(self, history: Position = START) -> None:
        """Forget all: a new history follows.

        `history` is the epoch in which it was begun, and the revision before its first change.
        """
        self.position = Position(0, history.revision)
        self.history = history
        self.bytes = 0  # of the changes in the log
        self._rows: dict[str, Rows] = {}
        self._sizes: dict[str, int] = {}
        self._log: deque[_Logged] = deque()
        self._by_service: dict[str, deque[Change]] = {}
        self._changed: dict[str, int] = {}  # revision of each service's last change
        self._trimmed: dict[str, int] = {}  # revision of each service's last change not in the log
        self._deleted = 0  # revision of the last deletion of any service
        self._gone = 0  # services deleted up to this revision may have left the log
        self._epochs: list[Position] = []  # the first position of each epoch

    # ---- writing ----------------------------------------------------------

    def append(self, change: Change) -> None:
        """Take the next accepted change. One with no service moves the position alone.

        Raises InvalidInputError unless it follows the log's position directly.
        """
        epoch, revision = change.position
        if revision != self.position.revision + 1 or epoch < max(self.position.epoch, 1):
            raise InvalidInputError(
                f"change log of {self.region}: {change.position} does not follow {self.position}"
            )
        if not self._epochs or epoch > self._epochs[-1].epoch:
            self._epochs.append(change.position)
            if len(self._epochs) > MOST_EPOCHS:
                del self._epochs[0]
        self.position = change.position
        if change.service:
            self._apply(change)
        size = change_size(change)
        self._log.append(_Logged(change, size))
        self.bytes += size
        while len(self._log) > self._most_changes or self.bytes > self._most_bytes:
            self._trim()

    def _apply(self, change: Change) -> None:
        service = change.service
        if service not in self._rows and service not in self._by_service:
            # It may have been deleted before: whoever still holds it from then needs it whole.
            self._trimmed.setdefault(service, self._gone)
        rows = applied(self._rows.get(service, {}), change)
        if change.deleted:
            self._deleted = change.position.revision
            self._rows.pop(service, None)
            self._sizes.pop(service, None)
            self._changed.pop(service, None)
        else:
            self._rows[service] = rows
            self._sizes[service] = rows_size(service, rows.values())
            self._changed[service] = change.position.revision
        self._by_service.setdefault(service, deque()).append(change)

    def _trim(self) -> None:
        oldest = self._log.popleft()
        self.bytes -= oldest.size
        service = oldest.change.service
        if not service:
            return
        logged = self._by_service[service]
        logged.popleft()
        self._trimmed[service] = oldest.change.position.revision
        if not logged:
            del self._by_service[service]
            if service not in self._rows:
                self._gone = max(self._gone, self._trimmed.pop(service))

    def restore(self, image: LogImage) -> None:
        """Take over another machine's image, in place of all that is here.

        Raises InvalidInputError where the image is older than the log.
        """
        if image.position < self.position:
            raise InvalidInputError(
                f"change log of {self.region}: an image of {image.position}"
                f" is older than {self.position}"
            )
        self.reset()
        self.position = image.position
        self.history = image.history
        self._rows = dict(image.rows)
        self._sizes = {name: rows_size(name, rows.values()) for name, rows in self._rows.items()}
        self._changed = dict(image.changed)
        self._trimmed = {
            name: self._changed.get(name, image.position.revision) for name in image.rows
        }
        self._deleted = self._gone = image.gone
        self._epochs = list(image.epochs)

    # ---- reading ----------------------------------------------------------

    def image(self) -> LogImage:
        """The region as of now; later changes leave it as it is. Cost: an entry a service."""
        return LogImage(
            self.position, dict(self._rows), dict(self._changed), self._deleted,
            tuple(self._epochs), self.history,
        )  # fmt: skip

    def contains(self, position: Position) -> bool:
        """Whether the log's history went through this position."""
        if position > self.position or position.revision > self.position.revision:
            return False
        index = bisect_right(self._epochs, position.revision, key=lambda first: first.revision)
        return index > 0 and self._epochs[index - 1].epoch == position.epoch

    def missing(self, position: Position, services: Iterable[str]) -> frozenset[str]:
        """Of these services, those whose changes since `position` are no longer all logged."""
        revision = position.revision
        return frozenset(name for name in services if self._reach(name) > revision)

    def _reach(self, service: str) -> int:
        """The log holds every change of the service after this revision."""
        reach = self._trimmed.get(service)
        if reach is not None:
            return reach
        return 0 if service in self._rows else self._gone

    def since(self, position: Position, services: Iterable[str]) -> Delta | None:
        """What changed in these services after `position`, up to now.

        None where the log no longer reaches back for one of them, or where the position is not
        one of this log's history. Cost follows the services and the changes returned.
        """
        if not self.contains(position):
            return None
        revision = position.revision
        changes: list[Change] = []
        for service in services:
            if self._reach(service) > revision:
                return None
            for change in reversed(self._by_service.get(service, ())):
                if change.position.revision <= revision:
                    break
                changes.append(change)
        changes.sort(key=lambda change: change.position.revision)
        return Delta(self.region, position, self.position, tuple(changes))

    def whole(self, services: Iterable[str]) -> tuple[Change, ...]:
        """These services whole as of `position`, each as one change; unknown ones as deleted."""
        return tuple(self._whole(service) for service in services)

    def _whole(self, service: str) -> Change:
        rows = self._rows.get(service)
        if rows is None:
            return Change(self.position, service, deleted=True, complete=True)
        return Change(self.position, service, tuple(rows.values()), complete=True)

    def snapshot(self, services: Iterable[str]) -> Snapshot:
        """These services whole. One that the region does not know is left out."""
        held = {name: self._rows[name] for name in services if name in self._rows}
        return Snapshot(self.region, self.position, held)

    def size(self, services: Iterable[str]) -> int:
        """Bytes of these services whole, about."""
        return sum(self._sizes.get(name, CHANGE_OVERHEAD) for name in services)

    def rows(self, service: str) -> Rows | None:
        """The rows of a service; None where the region does not know it."""
        return self._rows.get(service)

    def services(self) -> Iterator[str]:
        """Every service of the region that there is."""
        return iter(self._rows)

    def after(self, position: Position, most_bytes: int) -> tuple[Change, ...] | None:
        """All changes after `position`, in order, up to about `most_bytes` and at least one.

        None where the log does not reach back to it: an image is needed.
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
            if found and size + entry.size > most_bytes:
                break
            found.append(entry.change)
            size += entry.size
        return tuple(found)

    def epoch_at(self, revision: int) -> int | None:
        """The epoch of the change with this revision; None where it is not known."""
        if not 0 < revision <= self.position.revision:
            return None
        index = bisect_right(self._epochs, revision, key=lambda first: first.revision)
        return self._epochs[index - 1].epoch if index else None

    def __len__(self) -> int:
        """Changes in the log."""
        return len(self._log)

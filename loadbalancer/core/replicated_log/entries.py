"""A group member's log: what is accepted lies in its `ChangeLog`, the rest follows here.

A log that was lost begins a new history, in the epoch of the leader that loads it. Its entries
are kept apart until the load has been accepted to its end; only then they replace, all at once,
what the `ChangeLog` had. A leader's first entry, and the last one of a load, has no service.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.core.assignment.model import Change, InvalidInputError, Position, Row
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogImage, change_size


def marker(position: Position) -> Change:
    """The entry with which a leader begins its epoch, or ends a load."""
    return Change(position, "")


class Entries:
    """Accepted and proposed entries of one region, in order."""

    def __init__(self, log: ChangeLog) -> None:
        """`log` is written to here alone."""
        self._log = log
        self._base = log.position  # before the first proposed entry
        self._proposed: list[Change] = []
        self.history = log.history
        self.loading = False

    @property
    def last(self) -> Position:
        """The position of the last entry."""
        return self._proposed[-1].position if self._proposed else self._base

    @property
    def accepted(self) -> int:
        """The last revision that was taken into the change log; none of a load until its end."""
        return self._base.revision

    @property
    def proposed(self) -> Sequence[Change]:
        """Entries that are not accepted, as far as is known here."""
        return self._proposed

    def load_ended(self) -> bool:
        """Whether there is a log, or at least the end of a load among the proposed entries."""
        if self.loading:
            return any(not entry.service for entry in self._proposed)
        return self._base.epoch > 0

    def epoch_accepted(self, epoch: int) -> bool:
        """Whether an entry of this epoch is accepted, and so all before it."""
        return not self.loading and self._base.epoch == epoch

    def rows(self) -> dict[str, tuple[Row, ...]]:
        """All accepted services."""
        log = self._log
        return {name: tuple((log.rows(name) or {}).values()) for name in log.services()}

    def begin(self, history: Position) -> None:
        """A new history is being loaded. What the change log has stays until that has ended."""
        self.history = history
        self.loading = True
        self._base = Position(0, history.revision)
        self._proposed = []

    # ---- the leader's side ------------------------------------------------

    def append(self, change: Change) -> None:
        """The leader's next entry."""
        self._proposed.append(change)

    def position_at(self, revision: int) -> Position | None:
        """The position of the entry with this revision; None where it is not known."""
        index = revision - self._base.revision
        if index > len(self._proposed):
            return None
        if index > 0:
            return self._proposed[index - 1].position
        if index == 0:
            return self._base
        epoch = self._log.epoch_at(revision)
        return None if epoch is None else Position(epoch, revision)

    def after(self, previous: Position, most_bytes: int) -> tuple[Change, ...] | None:
        """Entries after this position, up to about `most_bytes` and at least one.

        None where they are no longer in the log.
        """
        index = previous.revision - self._base.revision
        if index < 0:
            return self._log.after(previous, most_bytes)
        end = index
        size = 0
        while end < len(self._proposed):
            size += change_size(self._proposed[end])
            if end > index and size > most_bytes:
                break
            end += 1
        return tuple(self._proposed[index:end])

    # ---- the follower's side ----------------------------------------------

    def take(self, previous: Position, entries: Sequence[Change]) -> bool:
        """A leader's entries, which follow `previous`; False where that is not in this log.

        Raises InvalidInputError where they do not follow each other.
        """
        for revision, entry in enumerate(entries, previous.revision + 1):
            if entry.position.revision != revision or entry.position.epoch < previous.epoch:
                raise InvalidInputError(
                    f"entries after {previous}: {entry.position} is out of order"
                )
        if previous.revision >= self._base.revision:
            if self.position_at(previous.revision) != previous:
                return False
        elif previous.revision + len(entries) < self._base.revision:
            return True  # all of it was accepted long ago
        for entry in entries:
            index = entry.position.revision - self._base.revision - 1
            if index < 0:
                continue
            if index < len(self._proposed):
                if self._proposed[index].position == entry.position:
                    continue
                del self._proposed[index:]
            self._proposed.append(entry)
        return True

    # ---- accepting ----------------------------------------------------------

    def accept(self, revision: int) -> tuple[list[Change], bool]:
        """A majority holds all up to `revision`: what the change log took of it.

        The second value is True where a load has ended, and all that was taken replaced what the
        change log had.
        """
        count = min(revision - self._base.revision, len(self._proposed))
        taken = self._proposed[: max(count, 0)]
        if not taken:
            return [], False
        replaced = self.loading
        if replaced:
            if all(entry.service for entry in taken):
                return [], False
            self._log.reset(self.history)
            self.loading = False
        for entry in taken:
            self._log.append(entry)
        del self._proposed[:count]
        self._base = self._log.position
        return taken, replaced

    def learn(self, changes: Sequence[Change]) -> None:
        """Accepted changes that follow the change log's position, from whichever machine."""
        for change in changes:
            self._log.append(change)
        if not self.loading:
            self._rebase()

    def restore(self, image: LogImage) -> None:
        """An image that is later than the change log, from whichever machine."""
        self._log.restore(image)
        if not self.loading or image.history == self.history:
            self.loading = False
            self._rebase()

    def _rebase(self) -> None:
        """The change log went on by itself: of the proposed entries those that follow it stay."""
        follows = self.position_at(self._log.position.revision) == self._log.position
        count = self._log.position.revision - self._base.revision
        self._proposed = self._proposed[count:] if follows and count >= 0 else []
        self._base = self._log.position
        self.history = self._log.history

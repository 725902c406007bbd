"""One member's Raft log: committed entries in a `ChangeLog`, followed by uncommitted ones.

An entry is applied to the `ChangeLog` when it is committed, so the paper's `lastApplied` always
equals the commit index.

When a majority has lost the log, a leader loads it again from its source. The load begins a new
history, in the leader's term and from an index above all known ones. The entries of a load are not
applied until the entry that ends it is committed; then all of them replace the content of the
`ChangeLog` at once. The first entry of a leader's term, and the last entry of a load, are no-ops
without a service.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from loadbalancer.core.assignment.model import Change, InvalidInputError, Position, Row
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogSnapshot, change_size


class Committed(NamedTuple):
    """The changes that a commit applied to the change log."""

    changes: Sequence[Change]
    replaced: bool  # a load was completed: `changes` replaced the content of the change log


def no_op(position: Position) -> Change:
    """Return the entry that begins a leader's term (paper, section 8) or ends a load."""
    return Change(position, "")


class RaftLog:
    """Committed and uncommitted entries of one region, in order of their index."""

    def __init__(self, change_log: ChangeLog) -> None:
        """Create a log without uncommitted entries; nothing else may write to `change_log`."""
        self._change_log = change_log
        self._base = change_log.position  # of the entry before the first uncommitted one
        self._uncommitted: list[Change] = []
        self.history = change_log.history
        self.loading = False

    @property
    def last(self) -> Position:
        """The position of the last entry: lastLogTerm and lastLogIndex."""
        return self._uncommitted[-1].position if self._uncommitted else self._base

    @property
    def commit_index(self) -> int:
        """The index of the last committed entry, not counting those of an incomplete load."""
        return self._base.revision

    @property
    def uncommitted(self) -> Sequence[Change]:
        """The entries that this member does not know to be committed."""
        return self._uncommitted

    def is_loaded(self) -> bool:
        """Return whether the log has been loaded, even if the load is not committed yet."""
        if self.loading:
            return any(not entry.service for entry in self._uncommitted)
        return self._base.epoch > 0

    def has_committed_in(self, term: int) -> bool:
        """Return whether an entry of this term, and so all entries before it, is committed."""
        return not self.loading and self._base.epoch == term

    def rows(self) -> dict[str, tuple[Row, ...]]:
        """Return the committed rows by service."""
        log = self._change_log
        return {name: tuple((log.rows(name) or {}).values()) for name in log.services()}

    def begin_history(self, history: Position) -> None:
        """Begin to load a new history; the change log keeps the old one until the load ends."""
        self.history = history
        self.loading = True
        self._base = Position(0, history.revision)
        self._uncommitted = []

    def append(self, change: Change) -> None:
        """Append the leader's next entry."""
        self._uncommitted.append(change)

    def position_at(self, index: int) -> Position | None:
        """Return the position of the entry with this index, or None if it is unknown."""
        offset = index - self._base.revision
        if offset > len(self._uncommitted):
            return None
        if offset > 0:
            return self._uncommitted[offset - 1].position
        if offset == 0:
            return self._base
        epoch = self._change_log.epoch_at(index)
        return None if epoch is None else Position(epoch, index)

    def entries_after(self, previous: Position, max_bytes: int) -> tuple[Change, ...] | None:
        """Return the entries after this position, or None if they were compacted.

        They are limited to about `max_bytes`, but include at least one entry if there is any.
        """
        start = previous.revision - self._base.revision
        if start < 0:
            return self._change_log.changes_after(previous, max_bytes)
        end = start
        size = 0
        while end < len(self._uncommitted):
            size += change_size(self._uncommitted[end])
            if end > start and size > max_bytes:
                break
            end += 1
        return tuple(self._uncommitted[start:end])

    def append_entries(self, previous: Position, entries: Sequence[Change]) -> bool:
        """Append a leader's entries after `previous` (paper, figure 2, AppendEntries steps 2 to 4).

        An uncommitted entry that conflicts with a new one is removed, with all that follow it.

        Returns:
            False if the log has no entry `previous`; nothing is appended then.

        Raises:
            InvalidInputError: the positions of the entries are not consecutive.
        """
        for index, entry in enumerate(entries, previous.revision + 1):
            if entry.position.revision != index or entry.position.epoch < previous.epoch:
                raise InvalidInputError(
                    f"entries after {previous}: {entry.position} is not consecutive"
                )
        base = self._base.revision
        if previous.revision >= base and self.position_at(previous.revision) != previous:
            return False
        for entry in entries:
            offset = entry.position.revision - base - 1
            if offset < 0:
                continue  # already committed here
            if offset < len(self._uncommitted):
                if self._uncommitted[offset].position == entry.position:
                    continue
                del self._uncommitted[offset:]
            self._uncommitted.append(entry)
        return True

    def commit(self, index: int) -> Committed:
        """Commit the entries up to `index`, which a majority has, and apply them."""
        count = min(index - self._base.revision, len(self._uncommitted))
        entries = self._uncommitted[: max(count, 0)]
        if not entries:
            return Committed((), replaced=False)
        replaced = self.loading
        if replaced:
            if all(entry.service for entry in entries):
                return Committed((), replaced=False)  # the load is not complete
            self._change_log.reset(self.history)
            self.loading = False
        for entry in entries:
            self._change_log.append(entry)
        del self._uncommitted[:count]
        self._base = self._change_log.position
        return Committed(entries, replaced)

    def apply_fetched(self, changes: Sequence[Change]) -> None:
        """Apply committed changes that were fetched; they directly follow the change log."""
        for change in changes:
            self._change_log.append(change)
        if not self.loading:
            self._rebase()

    def install_snapshot(self, snapshot: LogSnapshot) -> None:
        """Install a snapshot that is newer than the change log (paper, section 7).

        Raises:
            InvalidInputError: the snapshot is older than the change log.
        """
        self._change_log.restore(snapshot)
        if not self.loading or snapshot.history == self.history:
            self.loading = False
            self._rebase()

    def _rebase(self) -> None:
        """Keep only the uncommitted entries that follow the change log's new position."""
        position = self._change_log.position
        follows = self.position_at(position.revision) == position
        count = position.revision - self._base.revision
        self._uncommitted = self._uncommitted[count:] if follows and count >= 0 else []
        self._base = position
        self.history = self._change_log.history

"""This node's replica of the shared list, and the deltas that lead to its version.

A delta is applied as a whole, and only where the rows that result have the checksum that it
names: pieces of two versions that were mixed, a replica that differs from the base, or a fault at
the delta's writer change nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

from loadbalancer.core.endpoints.list_versions import (
    FULL_LIST,
    NO_VERSION,
    ListDelta,
    ListVersion,
    PackedDelta,
    pack,
    row_checksum,
)
from loadbalancer.core.endpoints.revisions import Revisions

FULL_LIST_PART = 2  # from one changed row in so many on, all rows are sent instead of a delta
MAX_CACHED_DELTAS = 8


class ListReplica:
    """The rows at their version, and what has changed since earlier versions of its epoch."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        self._list: Revisions[str] = Revisions(0)
        self._cache: OrderedDict[tuple[int, ListVersion], PackedDelta] = OrderedDict()

    @property
    def rows(self) -> Mapping[str, str]:
        """The rows by id."""
        return self._list.rows

    def load_configured_list(self, rev: int, rows: Mapping[str, str]) -> None:
        """Start from the list in the configuration, which may be old: its epoch is 0."""
        self._advance(ListVersion(0, rev, self._checksum_with(rows)), rows)

    def read(self, rev: int, rows: Mapping[str, str | None], complete: bool) -> ListDelta | None:
        """Apply the list service's answer, which overrides the present version.

        Returns the delta to it, None where nothing has changed. Where the service names an earlier
        version, or other rows for the same one, it has restarted its numbers: a new epoch begins.
        """
        old, before = self.version, dict(self.rows)
        changed = self._changed_rows(rows, complete)
        restarted = rev < old.rev or (rev == old.rev and bool(changed))
        new_epoch = not old.epoch or restarted
        target = ListVersion(old.epoch + new_epoch, rev, self._checksum_with(changed))
        if target == old:
            return None
        leads_on = rev >= old.rev and (not new_epoch or not old.epoch)
        is_short = leads_on and len(changed) * FULL_LIST_PART < len(before)
        self._advance(target, changed)
        if is_short:
            return ListDelta(old.rev, target, changed)
        return ListDelta(FULL_LIST, target, dict(self.rows))

    def fits(self, delta: ListDelta | PackedDelta) -> bool:
        """Whether a delta leads from this version, or any, to a later one.

        A list that was not read counts by its `rev`: `apply` then verifies the checksum.
        """
        ours, target = self.version, delta.target
        leads_on = delta.base <= ours.rev and ours.epoch in (0, target.epoch)
        return target > ours and (delta.base == FULL_LIST or leads_on)

    def removed_by(self, delta: ListDelta) -> int:
        """How many of the rows a delta would remove."""
        if delta.base == FULL_LIST:
            return sum(uid not in delta.rows for uid in self.rows)
        return sum(row is None and uid in self.rows for uid, row in delta.rows.items())

    def apply(self, delta: ListDelta) -> Mapping[str, str | None] | None:
        """Apply a delta that `fits`; returns the rows that change, None for a wrong checksum.

        The checksum may be wrong without a fault: a row that changed after the delta's base and
        changed back is not in the delta, and a replica of a version in between has the other row.
        """
        changed = self._changed_rows(delta.rows, delta.base == FULL_LIST)
        if self._checksum_with(changed) != delta.target.checksum:
            return None
        self._advance(delta.target, changed)
        return changed

    def delta_since(self, version: ListVersion) -> PackedDelta:
        """The packed delta for a node that has that version."""
        base, rows = FULL_LIST, dict[str, str | None](self.rows)
        if version.epoch == self.version.epoch and version.rev < self.version.rev:
            changed, complete = self._list.since(version.rev)
            if not complete and len(changed) * FULL_LIST_PART < len(rows):
                base, rows = version.rev, changed
        return self.packed(ListDelta(base, self.version, rows))

    # ---- packed deltas -------------------------------------------------------

    def packed(self, delta: ListDelta) -> PackedDelta:
        """A delta as bytes, from the cache where it is there."""
        packed = self._cache.get((delta.base, delta.target)) or pack(delta)
        self.cache(packed)
        return packed

    def cached(self, checksum: int) -> PackedDelta | None:
        """The packed delta with these bytes, where it is in the cache."""
        return next((p for p in self._cache.values() if p.checksum == checksum), None)

    def cache(self, packed: PackedDelta) -> None:
        """Cache a packed delta for nodes that request pieces of it."""
        self._cache[packed.base, packed.target] = packed
        self._cache.move_to_end((packed.base, packed.target))
        if len(self._cache) > MAX_CACHED_DELTAS:
            self._cache.popitem(last=False)

    # ---- rows ----------------------------------------------------------------

    def _changed_rows(
        self, rows: Mapping[str, str | None], complete: bool
    ) -> dict[str, str | None]:
        """The rows that differ from ours; `complete`: those that are not named are removed."""
        changed = {uid: row for uid, row in rows.items() if row != self.rows.get(uid)}
        if complete:
            changed |= {uid: None for uid in self.rows if uid not in rows}
        return changed

    def _checksum_with(self, changed: Mapping[str, str | None]) -> int:
        """The checksum that results with these rows changed."""
        checksum = self.version.checksum
        for uid, row in changed.items():
            old = self.rows.get(uid)
            checksum ^= row_checksum(uid, old) if old is not None else 0
            checksum ^= row_checksum(uid, row) if row is not None else 0
        return checksum

    def _advance(self, target: ListVersion, changed: Mapping[str, str | None]) -> None:
        """Change to a version; the changes before it are remembered only within its epoch."""
        if target.epoch != self.version.epoch:
            rows, self._list = self._list.rows, Revisions(target.rev)
            self._list.rows = rows
        self._list.advance(target.rev, changed)
        self.version = target

"""This node's replica of the shared endpoint list, and the deltas that lead to its version.

A delta is applied completely or not at all: only if the resulting rows have the checksum of its
target version. So nothing changes if pieces of two versions were mixed, if the replica differs
from the delta's base, or if the node that wrote the delta is faulty.
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

FULL_LIST_DIVISOR = 2  # if 1/FULL_LIST_DIVISOR of the rows or more changed, all rows are sent
MAX_CACHED_DELTAS = 8


class ListReplica:
    """The rows of one version, and the changes since earlier versions of its epoch."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        self._list: Revisions[str] = Revisions(0)
        self._cache: OrderedDict[tuple[int, ListVersion], PackedDelta] = OrderedDict()

    @property
    def rows(self) -> Mapping[str, str]:
        """The rows by id."""
        return self._list.rows

    def load_configured_list(self, rev: int, rows: Mapping[str, str]) -> None:
        """Start with the list from the configuration, which may be old, so its epoch is 0."""
        self._advance(ListVersion(0, rev, self._checksum_with(rows)), rows)

    def apply_answer(
        self, rev: int, rows: Mapping[str, str | None], complete: bool
    ) -> ListDelta | None:
        """Apply an answer of the list service, which overrides the present version.

        Returns the delta to the new version, or None if nothing has changed. If the service reports
        an earlier revision, or other rows for the present one, it has restarted its revision
        numbers, and a new epoch begins.
        """
        old, before = self.version, dict(self.rows)
        changed = self._changed_rows(rows, complete)
        restarted = rev < old.rev or (rev == old.rev and bool(changed))
        new_epoch = not old.epoch or restarted
        target = ListVersion(old.epoch + new_epoch, rev, self._checksum_with(changed))
        if target == old:
            return None
        is_continuation = rev >= old.rev and (not new_epoch or not old.epoch)
        as_delta = is_continuation and len(changed) * FULL_LIST_DIVISOR < len(before)
        self._advance(target, changed)
        if as_delta:
            return ListDelta(old.rev, target, changed)
        return ListDelta(FULL_LIST, target, dict(self.rows))

    def fits(self, delta: ListDelta | PackedDelta) -> bool:
        """Whether a delta leads to a later version, from this one or from any version.

        A delta from an earlier base fits as well. A list from the configuration (epoch 0) is
        compared by `rev` alone; `apply` then verifies the checksum.
        """
        ours, target = self.version, delta.target
        is_continuation = delta.base <= ours.rev and ours.epoch in (0, target.epoch)
        return target > ours and (delta.base == FULL_LIST or is_continuation)

    def removed_count(self, delta: ListDelta) -> int:
        """How many rows of this replica a delta would remove."""
        if delta.base == FULL_LIST:
            return sum(uid not in delta.rows for uid in self.rows)
        return sum(row is None and uid in self.rows for uid, row in delta.rows.items())

    def apply(self, delta: ListDelta) -> Mapping[str, str | None] | None:
        """Apply a delta that `fits`; returns the rows that change, None if the checksum is wrong.

        The checksum may be wrong without a fault: a row that changed after the delta's base and
        then changed back is not in the delta, but a replica of a version in between differs in it.
        """
        changed = self._changed_rows(delta.rows, delta.base == FULL_LIST)
        if self._checksum_with(changed) != delta.target.checksum:
            return None
        self._advance(delta.target, changed)
        return changed

    def delta_since(self, version: ListVersion) -> PackedDelta:
        """The packed delta for a node that has this version."""
        base, rows = FULL_LIST, dict[str, str | None](self.rows)
        if version.epoch == self.version.epoch and version.rev < self.version.rev:
            changed, complete = self._list.since(version.rev)
            if not complete and len(changed) * FULL_LIST_DIVISOR < len(rows):
                base, rows = version.rev, changed
        return self.packed(ListDelta(base, self.version, rows))

    def packed(self, delta: ListDelta) -> PackedDelta:
        """Return a packed delta from the cache, or pack it and cache it."""
        packed = self._cache.get((delta.base, delta.target)) or pack(delta)
        self.cache(packed)
        return packed

    def cached(self, checksum: int) -> PackedDelta | None:
        """The cached packed delta whose bytes have this checksum, if any."""
        return next(
            (packed for packed in self._cache.values() if packed.checksum == checksum), None
        )

    def cache(self, packed: PackedDelta) -> None:
        """Cache a packed delta for nodes that request pieces of it."""
        self._cache[packed.base, packed.target] = packed
        self._cache.move_to_end((packed.base, packed.target))
        if len(self._cache) > MAX_CACHED_DELTAS:
            self._cache.popitem(last=False)

    def _changed_rows(
        self, rows: Mapping[str, str | None], complete: bool
    ) -> dict[str, str | None]:
        """The rows that differ from the replica's; with `complete`, missing rows are removed."""
        changed = {uid: row for uid, row in rows.items() if row != self.rows.get(uid)}
        if complete:
            changed |= {uid: None for uid in self.rows if uid not in rows}
        return changed

    def _checksum_with(self, changed: Mapping[str, str | None]) -> int:
        """The version's checksum after these rows have changed."""
        checksum = self.version.checksum
        for uid, row in changed.items():
            old = self.rows.get(uid)
            checksum ^= row_checksum(uid, old) if old is not None else 0
            checksum ^= row_checksum(uid, row) if row is not None else 0
        return checksum

    def _advance(self, target: ListVersion, changed: Mapping[str, str | None]) -> None:
        """Move to a version; earlier changes are remembered only if they are of its epoch."""
        if target.epoch != self.version.epoch:
            rows, self._list = self._list.rows, Revisions(target.rev)
            self._list.rows = rows
        self._list.advance(target.rev, changed)
        self.version = target

"""A list's versions: what has changed since any of the last ones, or all of it; pure.

For passing one list on to many watchers: each asks with the version it holds. Versions
only grow. Either this counts them, from a number that the host gives (its wall clock, so that
they grow across restarts too), or they come from elsewhere with the rows (`move`); one that
never was is answered with the whole list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Generic, TypeVar

KEPT = 4096  # changes that are remembered
OLD_TRIES = 6  # answers older than ours in a row before they are taken for the truth: 1 to 3 s

Row = TypeVar("Row")


class Revisions(Generic[Row]):
    """Rows by id, as of version `rev`."""

    __slots__ = ("_changes", "_floor", "rev", "rows")

    def __init__(self, first: int) -> None:
        self.rev = first
        self.rows: dict[str, Row] = {}
        self._floor = first  # of this version and later ones the changes are known
        self._changes: deque[tuple[int, str]] = deque()

    def replace(self, rows: Mapping[str, Row]) -> bool:
        """Take over a whole list; one version more where anything differs."""
        changed = [u for u in sorted({*rows, *self.rows}) if rows.get(u) != self.rows.get(u)]
        if not changed:
            return False
        self.move(self.rev + 1, {uid: rows.get(uid) for uid in changed})
        return True

    def move(self, rev: int, changed: Mapping[str, Row | None]) -> None:
        """On to a later version, with the rows that differ in it, None for one that has gone."""
        self.rev = rev
        for uid, row in changed.items():
            if row is None:
                self.rows.pop(uid, None)
            else:
                self.rows[uid] = row
            self._changes.append((rev, uid))
        while len(self._changes) > KEPT:
            self._floor = self._changes.popleft()[0]

    def since(self, rev: int) -> tuple[dict[str, Row | None], bool]:
        """(rows that changed after `rev`, None for one that has gone; False), or (all, True)."""
        if not self._floor <= rev <= self.rev:
            return dict(self.rows), True
        changed: dict[str, Row | None] = {}
        for at, uid in reversed(self._changes):
            if at <= rev:
                break
            changed[uid] = self.rows.get(uid)
        return changed, False


class Lag:
    """What to make of answers of a version older than the one in hand.

    A replica that lags must not bring back what has left. One that says the same again and
    again has lost its count: then it is right.
    """

    __slots__ = ("older",)

    def __init__(self) -> None:
        self.older = 0  # such answers in a row

    def takes(self, rev: int, whole: bool, held: int) -> bool:
        """Whether an answer of that version is to be gone by, where `held` is in hand."""
        self.older = self.older + 1 if rev < held else 0
        taken = not self.older or (whole and self.older >= OLD_TRIES)
        if taken:
            self.older = 0
        return taken

    def trust(self) -> None:
        """Whatever whole list comes next is taken: what is in hand may be another service's."""
        self.older = OLD_TRIES

"""A list's versions: what has changed since any of the last ones, or all of it; pure.

For passing one list on to many watchers: each requests what has changed since the version it has.
Versions only grow. Either this counts them, from a number that the host gives (its wall clock, so
that they grow across restarts too), or they come with the rows (`advance`). A version that never
was is answered with the complete list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Generic, TypeVar

MAX_CHANGES = 4096  # that are remembered
MAX_OLDER_ANSWERS = 6  # in a row, before an older list is accepted: 1 to 3 s

Row = TypeVar("Row")


class Revisions(Generic[Row]):
    """Rows by id, as of version `rev`."""

    __slots__ = ("_changes", "_first_known", "rev", "rows")

    def __init__(self, first: int) -> None:
        self.rev = first
        self.rows: dict[str, Row] = {}
        self._first_known = first  # the changes since this version and later ones are known
        self._changes: deque[tuple[int, str]] = deque()

    def replace(self, rows: Mapping[str, Row]) -> bool:
        """Take a complete list; one version more, and True, where anything differs."""
        changed = [u for u in sorted({*rows, *self.rows}) if rows.get(u) != self.rows.get(u)]
        if not changed:
            return False
        self.advance(self.rev + 1, {uid: rows.get(uid) for uid in changed})
        return True

    def advance(self, rev: int, changed: Mapping[str, Row | None]) -> None:
        """Go on to a later version, with the rows that differ in it, None for a removed one."""
        self.rev = rev
        for uid, row in changed.items():
            if row is None:
                self.rows.pop(uid, None)
            else:
                self.rows[uid] = row
            self._changes.append((rev, uid))
        while len(self._changes) > MAX_CHANGES:
            self._first_known = self._changes.popleft()[0]

    def since(self, rev: int) -> tuple[dict[str, Row | None], bool]:
        """(rows that changed after `rev`, None for a removed one; False), or (all rows, True)."""
        if not self._first_known <= rev <= self.rev:
            return dict(self.rows), True
        changed: dict[str, Row | None] = {}
        for changed_at, uid in reversed(self._changes):
            if changed_at <= rev:
                break
            changed[uid] = self.rows.get(uid)
        return changed, False


class OlderAnswerFilter:
    """What to make of answers of a version older than the present one.

    A replica that lags must not restore removed servers. A service that repeats an older version
    has restarted its numbers: then its list is accepted.
    """

    __slots__ = ("older",)

    def __init__(self) -> None:
        self.older = 0  # such answers in a row

    def accepts(self, rev: int, complete: bool, present_rev: int) -> bool:
        """Whether an answer of version `rev` is to be used, where `present_rev` is in hand."""
        self.older = self.older + 1 if rev < present_rev else 0
        accepted = not self.older or (complete and self.older >= MAX_OLDER_ANSWERS)
        if accepted:
            self.older = 0
        return accepted

    def accept_next(self) -> None:
        """Accept the next complete list: the one in hand may be another service's."""
        self.older = MAX_OLDER_ANSWERS

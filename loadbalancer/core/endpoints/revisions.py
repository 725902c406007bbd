"""Versions of a list, and the rows that have changed since a recent version; no I/O.

Serves one list to many watchers: each requests what has changed since the version that it has.
Versions only increase. Either `replace` counts them, from a first number that the host gives (its
wall clock, so that they increase across restarts too), or they come with the rows (`advance`). A
request with an unknown version is answered with the complete list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Generic, TypeVar

MAX_CHANGES = 4096  # changed rows that are remembered
MAX_OLDER_ANSWERS = 6  # consecutive ones from which an older list is accepted: 1 to 3 s

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
        """Apply a complete list; where it differs the version is raised by 1, and True returned."""
        changed = [u for u in sorted({*rows, *self.rows}) if rows.get(u) != self.rows.get(u)]
        if not changed:
            return False
        self.advance(self.rev + 1, {uid: rows.get(uid) for uid in changed})
        return True

    def advance(self, rev: int, changed: Mapping[str, Row | None]) -> None:
        """Change to a later version, with the rows that differ in it, None for a removed one."""
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
    """Whether to accept answers with a version older than the present one.

    A replica that lags must not restore removed servers. A service that repeats an older version
    has restarted its numbers: then its list is accepted.
    """

    __slots__ = ("consecutive_older",)

    def __init__(self) -> None:
        self.consecutive_older = 0  # consecutive older answers

    def accepts(self, rev: int, complete: bool, present_rev: int) -> bool:
        """Whether an answer of version `rev` is to be used, where this node has `present_rev`."""
        self.consecutive_older = self.consecutive_older + 1 if rev < present_rev else 0
        accepted = not self.consecutive_older or (
            complete and self.consecutive_older >= MAX_OLDER_ANSWERS
        )
        if accepted:
            self.consecutive_older = 0
        return accepted

    def accept_next(self) -> None:
        """Accept the next complete list: the present one may be of another list service."""
        self.consecutive_older = MAX_OLDER_ANSWERS

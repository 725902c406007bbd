"""A list with numbered revisions, and the rows changed since a recent revision; no I/O.

Serves one list to many watchers: each requests the rows that have changed since the revision that
it has. Revisions only increase. Either `replace` counts them, starting from a number that the host
provides (its wall clock, so that they also increase across restarts), or they are passed in with
the rows (`advance`). A request with an unknown revision is answered with the complete list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Generic, TypeVar

MAX_CHANGES = 4096  # number of changed rows remembered for requests since a recent revision
# Number of consecutive older answers after which an older list is accepted: takes 1 to 3 s.
MAX_OLDER_ANSWERS = 6

Row = TypeVar("Row")


class Revisions(Generic[Row]):
    """The rows of a list by id, as of revision `rev`."""

    __slots__ = ("_changes", "_first_known", "rev", "rows")

    def __init__(self, first: int) -> None:
        self.rev = first
        self.rows: dict[str, Row] = {}
        # The changes since this revision and all later ones are remembered.
        self._first_known = first
        self._changes: deque[tuple[int, str]] = deque()

    def replace(self, rows: Mapping[str, Row]) -> bool:
        """Apply a complete list; if it differs, increase `rev` by 1 and return True."""
        changed = [
            key for key in sorted({*rows, *self.rows}) if rows.get(key) != self.rows.get(key)
        ]
        if not changed:
            return False
        self.advance(self.rev + 1, {uid: rows.get(uid) for uid in changed})
        return True

    def advance(self, rev: int, changed: Mapping[str, Row | None]) -> None:
        """Move to a later revision with the rows that changed in it, None for a removed one."""
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
        """Return the rows changed after `rev` (None for a removed one) and False.

        If the changes after `rev` are not known, returns all rows and True.
        """
        if not self._first_known <= rev <= self.rev:
            return dict(self.rows), True
        changed: dict[str, Row | None] = {}
        for changed_at, uid in reversed(self._changes):
            if changed_at <= rev:
                break
            changed[uid] = self.rows.get(uid)
        return changed, False


class OlderAnswerFilter:
    """Decides whether to use an answer with a revision older than the present one.

    A lagging replica of the list service must not restore removed servers. But a service that
    repeatedly answers with an older revision has restarted its numbers, so its list is accepted.
    """

    __slots__ = ("consecutive_older",)

    def __init__(self) -> None:
        self.consecutive_older = 0  # consecutive older answers

    def accepts(self, rev: int, complete: bool, present_rev: int) -> bool:
        """Whether to use an answer of revision `rev` on a node that has `present_rev`."""
        self.consecutive_older = self.consecutive_older + 1 if rev < present_rev else 0
        accepted = not self.consecutive_older or (
            complete and self.consecutive_older >= MAX_OLDER_ANSWERS
        )
        if accepted:
            self.consecutive_older = 0
        return accepted

    def accept_next(self) -> None:
        """Accept the next complete list: the present one may come from another list service."""
        self.consecutive_older = MAX_OLDER_ANSWERS

"""Which records still have to be gossiped, least sent first, each a number of times.

Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987), section 1.4:
an update is sent until it has been sent often enough, and hearing it from others counts as
well. Records are named by keys here; what they say is looked up as they are sent.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from math import ceil, log2
from typing import Generic, TypeVar

MOST = 2048  # updates at once; past it the most sent ones go: a digest repairs what is missed
K = TypeVar("K", bound=Hashable)


class DisseminationQueue(Generic[K]):
    """Keys by how often they were sent: one dict a number, so that taking the least is a walk
    over few entries and counting one up is two dict operations."""

    __slots__ = ("_at", "_rows", "limit")

    def __init__(self, nodes: int) -> None:
        self.limit = ceil(log2(nodes + 1)) + 4
        self._rows: list[dict[K, None]] = [{} for _ in range(self.limit)]
        self._at: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._at)

    def __contains__(self, key: K) -> bool:
        return key in self._at

    def fresh(self) -> bool:
        """Whether any has not been sent yet."""
        return bool(self._rows[0])

    def add(self, key: K) -> None:
        """Send from the beginning, also where an older record of that key was under way."""
        self.drop(key)
        if len(self._at) >= MOST:
            for row in reversed(self._rows):
                if row:
                    del self._at[row.popitem()[0]]
                    break
        self._at[key] = 0
        self._rows[0][key] = None

    def transmitted(self, key: K) -> None:
        """It was sent, or heard from another: one transmission less to go."""
        at = self._at.get(key)
        if at is None:
            return
        del self._rows[at][key]
        if at + 1 >= self.limit:
            del self._at[key]
        else:
            self._at[key] = at + 1
            self._rows[at + 1][key] = None

    def drop(self, key: K) -> None:
        at = self._at.pop(key, None)
        if at is not None:
            del self._rows[at][key]

    def take(self, wanted: Callable[[K], bool]) -> None:
        """Offer keys, least sent first, each once, until `wanted` says no; taken ones count."""
        taken = []
        for row in self._rows:
            for key in row:
                if not wanted(key):
                    break
                taken.append(key)
            else:
                continue
            break
        for key in taken:
            self.transmitted(key)

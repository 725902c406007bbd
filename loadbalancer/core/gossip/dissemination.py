"""The updates still to be disseminated, least transmitted first.

Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987), section 1.4:
an update is sent a limited number of times, and receiving it from another node counts as well.
An update is identified by a key; the record of the key is looked up when it is sent.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from math import ceil, log2
from typing import Generic, TypeVar

MAX_UPDATES = 2048  # above it the most transmitted are dropped: anti-entropy repairs the loss
EXTRA_TRANSMISSIONS = 4  # in addition to log2 of the fleet's size
K = TypeVar("K", bound=Hashable)


class DisseminationQueue(Generic[K]):
    """Keys grouped by how often they were transmitted.

    One dict for each number of transmissions: selecting the least transmitted is a walk over few
    entries, and counting a transmission is two dict operations.
    """

    __slots__ = ("_by_count", "_count_of", "limit")

    def __init__(self, nodes: int) -> None:
        self.limit = ceil(log2(nodes + 1)) + EXTRA_TRANSMISSIONS
        self._by_count: list[dict[K, None]] = [{} for _ in range(self.limit)]
        self._count_of: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._count_of)

    def __contains__(self, key: K) -> bool:
        return key in self._count_of

    def has_unsent(self) -> bool:
        """Whether any update has not been transmitted at all."""
        return bool(self._by_count[0])

    def add(self, key: K) -> None:
        """Begin to disseminate an update; an earlier one under the same key is replaced."""
        self.discard(key)
        if len(self._count_of) >= MAX_UPDATES:
            for keys in reversed(self._by_count):
                if keys:
                    del self._count_of[keys.popitem()[0]]
                    break
        self._count_of[key] = 0
        self._by_count[0][key] = None

    def transmitted(self, key: K) -> None:
        """Count one transmission, sent or received; at the limit the update is removed."""
        count = self._count_of.get(key)
        if count is None:
            return
        del self._by_count[count][key]
        if count + 1 >= self.limit:
            del self._count_of[key]
        else:
            self._count_of[key] = count + 1
            self._by_count[count + 1][key] = None

    def discard(self, key: K) -> None:
        """Stop disseminating an update, where it is queued."""
        count = self._count_of.pop(key, None)
        if count is not None:
            del self._by_count[count][key]

    def select(self, accept: Callable[[K], bool]) -> None:
        """Offer each key once, least transmitted first, until `accept` returns False.

        Each accepted key counts as transmitted.
        """
        accepted = []
        for keys in self._by_count:
            for key in keys:
                if not accept(key):
                    break
                accepted.append(key)
            else:
                continue
            break
        for key in accepted:
            self.transmitted(key)

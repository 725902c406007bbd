"""The queue of updates to disseminate, least transmitted first.

Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987), section 1.4:
an update is sent a limited number of times, and receiving it from another node counts as well.
The queue has only the keys of updates: the record of a key is looked up when it is sent.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from math import ceil, log2
from typing import Generic, TypeVar

# A longer queue drops its most transmitted updates; anti-entropy delivers them later.
MAX_QUEUED_UPDATES = 2048
EXTRA_TRANSMISSIONS = 4  # an update is sent this + log2(number of nodes) times
K = TypeVar("K", bound=Hashable)


class DisseminationQueue(Generic[K]):
    """Keys of updates, grouped by how often they were transmitted.

    There is one dict for each number of transmissions. Selecting the least transmitted keys visits
    few entries, and counting a transmission takes two dict operations.
    """

    __slots__ = ("_by_transmissions", "_transmissions", "max_transmissions")

    def __init__(self, nodes: int) -> None:
        self.max_transmissions = ceil(log2(nodes + 1)) + EXTRA_TRANSMISSIONS
        self._by_transmissions: list[dict[K, None]] = [{} for _ in range(self.max_transmissions)]
        self._transmissions: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def __contains__(self, key: K) -> bool:
        return key in self._transmissions

    def has_unsent(self) -> bool:
        """Whether some update has not been transmitted at all."""
        return bool(self._by_transmissions[0])

    def add(self, key: K) -> None:
        """Queue an update; it replaces an earlier one with the same key."""
        self.discard(key)
        if len(self._transmissions) >= MAX_QUEUED_UPDATES:
            for keys in reversed(self._by_transmissions):
                if keys:
                    del self._transmissions[keys.popitem()[0]]
                    break
        self._transmissions[key] = 0
        self._by_transmissions[0][key] = None

    def count_transmission(self, key: K) -> None:
        """Count one transmission, sent or received; remove the update after the last one."""
        count = self._transmissions.get(key)
        if count is None:
            return
        del self._by_transmissions[count][key]
        if count + 1 >= self.max_transmissions:
            del self._transmissions[key]
        else:
            self._transmissions[key] = count + 1
            self._by_transmissions[count + 1][key] = None

    def discard(self, key: K) -> None:
        """Remove an update from the queue if it is there."""
        count = self._transmissions.pop(key, None)
        if count is not None:
            del self._by_transmissions[count][key]

    def select(self, accept: Callable[[K], bool]) -> None:
        """Pass each key to `accept`, least transmitted first, until it returns False.

        Each accepted key counts as transmitted.
        """
        accepted = []
        for keys in self._by_transmissions:
            for key in keys:
                if not accept(key):
                    break
                accepted.append(key)
            else:
                continue
            break
        for key in accepted:
            self.count_transmission(key)

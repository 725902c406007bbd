"""How the two processes of one node divide its caps while one succeeds the other.

The predecessor retains some slots of each endpoint and only ever releases them; the
successor uses its own cap less what the predecessor last said it retains. Even if both
act on outdated or reordered messages, together they stay within the larger of their
two caps. Free of I/O and clock; counts are requests in flight.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from loadbalancer.core.balancing.balancer import Balancer

RETAINED_PART = 0.5  # of a warm endpoint's cap, to begin with
# Multiplicative hashing (Knuth): ids may be hashes, or count from 1.
HASH_FACTOR = 0x9E3779B97F4A7C15
HASH_RANGE = 1 << 64


class EndpointUsage(NamedTuple):
    """One endpoint as the predecessor sees it."""

    backend: int
    cap: int  # of the node, both processes
    in_flight: int
    cold: bool


def endpoint_usage(balancer: Balancer, now: int) -> list[EndpointUsage]:
    """Every endpoint as this Balancer sees it."""
    return [
        EndpointUsage(e.id, e.node_cap, e.in_flight, e.cold_until > now)
        for e in balancer.endpoints.values()
    ]


class PredecessorShare:
    """The predecessor's part: the slots that it has announced to retain; only ever lowered."""

    __slots__ = ("slots",)

    def __init__(self) -> None:
        self.slots: dict[int, int] = {}

    def cap_for(self, backend: int, cap: int) -> int:
        """This process's part of a node's cap."""
        return min(cap, self.slots.get(backend, 0))

    def begin(self, rows: Iterable[EndpointUsage]) -> dict[int, int]:
        """Retain half of every warm endpoint's slots, and what is in flight at the others."""
        for row in rows:
            self.slots[row.backend] = _retained(row, 1.0)
        return dict(self.slots)

    def release(self, rows: Iterable[EndpointUsage], need: float) -> dict[int, int]:
        """Release slots down to `need` (0 to 1) times RETAINED_PART, but no slot in use.

        Returns what has changed, with 0 for what is no longer retained at all.
        """
        changed: dict[int, int] = {}
        known = {row.backend: row for row in rows}
        for backend, slots in list(self.slots.items()):
            row = known.get(backend)
            wanted = 0 if row is None else _retained(row, need)
            if wanted < slots:
                changed[backend] = wanted
                if wanted:
                    self.slots[backend] = wanted
                else:
                    del self.slots[backend]
        return changed


class SuccessorShare:
    """The successor's part: all slots but those that the predecessor has announced to retain."""

    __slots__ = ("retained",)

    def __init__(self) -> None:
        self.retained: dict[int, int] = {}

    def cap_for(self, backend: int, cap: int) -> int:
        """This process's part of a node's cap."""
        return max(cap - self.retained.get(backend, 0), 0)

    def update(self, retained: Mapping[int, int]) -> None:
        """Apply the predecessor's message; 0 slots: it has released all of them."""
        for backend, slots in retained.items():
            if slots > 0:
                self.retained[backend] = slots
            else:
                self.retained.pop(backend, None)


def _retained(row: EndpointUsage, need: float) -> int:
    """The slots of an endpoint that the predecessor needs."""
    share = 0.0 if row.cold else RETAINED_PART * need
    return max(row.in_flight, _rounded(row.backend, row.cap * share))


def _rounded(backend: int, slots: float) -> int:
    """Round up or down by the id, so that caps of 1 are not all rounded to one process."""
    return int(slots + (backend * HASH_FACTOR % HASH_RANGE) / HASH_RANGE)

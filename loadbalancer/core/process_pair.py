"""Divides a node's caps between its two processes while one succeeds the other.

The predecessor retains some slots of each endpoint and only ever releases them. The successor
uses its own cap minus the slots that the predecessor last announced to retain. So even if both
act on outdated or reordered messages, their requests in flight together stay within the larger
of their two caps. No I/O and no clock; caps and slots count requests in flight.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from loadbalancer.core.balancing.balancer import Balancer

RETAINED_FRACTION = 0.5  # part of a warm endpoint's cap that the predecessor retains at first
# Multiplicative hashing (Knuth) spreads ids, which may be hashes or consecutive numbers.
HASH_FACTOR = 0x9E3779B97F4A7C15
HASH_RANGE = 1 << 64


class EndpointUsage(NamedTuple):
    """One endpoint's cap and its requests in flight, as one process sees them."""

    backend: int
    cap: int  # of the node: of both processes together
    in_flight: int
    cold: bool  # still in its slow start


def endpoint_usage(balancer: Balancer, now: int) -> list[EndpointUsage]:
    """The usage of each endpoint of this Balancer."""
    return [
        EndpointUsage(endpoint.id, endpoint.node_cap, endpoint.in_flight, endpoint.cold_until > now)
        for endpoint in balancer.endpoints.values()
    ]


class PredecessorShare:
    """The predecessor's share: the slots that it has announced to retain, which only decrease."""

    __slots__ = ("slots",)

    def __init__(self) -> None:
        self.slots: dict[int, int] = {}

    def cap_for(self, backend: int, cap: int) -> int:
        """This process's share of the node's cap of an endpoint."""
        return min(cap, self.slots.get(backend, 0))

    def begin(self, usages: Iterable[EndpointUsage]) -> dict[int, int]:
        """Retain half of each warm endpoint's cap, and in any case the slots in use."""
        for usage in usages:
            self.slots[usage.backend] = _needed_slots(usage, 1.0)
        return dict(self.slots)

    def release(self, usages: Iterable[EndpointUsage], need: float) -> dict[int, int]:
        """Release slots down to `need` (0 to 1) times RETAINED_FRACTION of a cap.

        Slots in use are not released. Returns the number of slots of each endpoint for which it
        has changed: 0 where none are retained any more.
        """
        changed: dict[int, int] = {}
        by_backend = {usage.backend: usage for usage in usages}
        for backend, slots in list(self.slots.items()):
            usage = by_backend.get(backend)
            wanted = 0 if usage is None else _needed_slots(usage, need)
            if wanted < slots:
                changed[backend] = wanted
                if wanted:
                    self.slots[backend] = wanted
                else:
                    del self.slots[backend]
        return changed


class SuccessorShare:
    """The successor's share: all slots except those that the predecessor announced to retain."""

    __slots__ = ("retained",)

    def __init__(self) -> None:
        self.retained: dict[int, int] = {}

    def cap_for(self, backend: int, cap: int) -> int:
        """This process's share of the node's cap of an endpoint."""
        return max(cap - self.retained.get(backend, 0), 0)

    def update(self, retained: Mapping[int, int]) -> None:
        """Apply an announcement of the predecessor; 0 slots where it has released all of them."""
        for backend, slots in retained.items():
            if slots > 0:
                self.retained[backend] = slots
            else:
                self.retained.pop(backend, None)


def _needed_slots(usage: EndpointUsage, need: float) -> int:
    """The slots of an endpoint that the predecessor still needs."""
    share = 0.0 if usage.cold else RETAINED_FRACTION * need
    return max(usage.in_flight, _round_by_id(usage.backend, usage.cap * share))


def _round_by_id(backend: int, slots: float) -> int:
    """Round up or down depending on the id.

    Otherwise all endpoints with a cap of 1 would be rounded to the same process.
    """
    return int(slots + (backend * HASH_FACTOR % HASH_RANGE) / HASH_RANGE)

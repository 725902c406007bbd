"""How two processes that are one node divide its caps while one succeeds the other.

The old one keeps some slots of each backend and only ever gives up; the new one
uses its own cap less what it last heard is kept. Both may then act on old words,
in any order, and together stay within the larger of their two caps. Free of I/O
and clock; counts are requests in flight.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from loadbalancer.core.balancing.balancer import Balancer

GOLDEN = 0x9E3779B97F4A7C15  # ids are hashes, but a list in a test may count from 1
TURN = 1 << 64


class Standing(NamedTuple):
    """One backend as the old process sees it."""

    backend: int
    cap: int  # a whole node's
    held: int
    cold: bool


def standing(balancer: Balancer, now: int) -> list[Standing]:
    """Every backend as this Balancer sees it."""
    return [
        Standing(b.id, b.node_cap, b.in_flight, b.cold_until > now)
        for b in balancer.endpoints.values()
    ]


class Kept:
    """The old process's part: what it has said it keeps. It never rises."""

    __slots__ = ("slots",)

    def __init__(self) -> None:
        self.slots: dict[int, int] = {}

    def of(self, backend: int, cap: int) -> int:
        return min(cap, self.slots.get(backend, 0))

    def begin(self, rows: Iterable[Standing]) -> dict[int, int]:
        """Keep half of every warm backend's slots, and what is held of the others."""
        for row in rows:
            share = 0.0 if row.cold else 0.5
            self.slots[row.backend] = max(row.held, _rounded(row.backend, row.cap * share))
        return dict(self.slots)

    def give_up(self, rows: Iterable[Standing], need: float) -> dict[int, int]:
        """Lower to this part (0 to 1) of a half, never under what is held.

        Returns what has changed, with 0 for what is no longer kept at all.
        """
        changed: dict[int, int] = {}
        standing = {row.backend: row for row in rows}
        for backend, kept in list(self.slots.items()):
            row = standing.get(backend)
            want = 0
            if row is not None:
                share = 0.0 if row.cold else 0.5 * need
                want = max(row.held, _rounded(backend, row.cap * share))
            if want < kept:
                changed[backend] = want
                if want:
                    self.slots[backend] = want
                else:
                    del self.slots[backend]
        return changed


class Left:
    """The new process's part: whatever the old one has not said it keeps."""

    __slots__ = ("kept",)

    def __init__(self) -> None:
        self.kept: dict[int, int] = {}

    def of(self, backend: int, cap: int) -> int:
        return max(cap - self.kept.get(backend, 0), 0)

    def hear(self, kept: Mapping[int, int]) -> None:
        """Take the old process's word; what it names 0 is all ours."""
        for backend, slots in kept.items():
            if slots > 0:
                self.kept[backend] = slots
            else:
                self.kept.pop(backend, None)


def _rounded(backend: int, slots: float) -> int:
    """To a whole number, up or down by the id: caps of one must not all fall to one side."""
    return int(slots + (backend * GOLDEN % TURN) / TURN)

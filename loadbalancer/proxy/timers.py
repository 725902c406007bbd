"""The timers of one host, in a heap driven by a single timer of the event loop.

An attempt or a request nearly always ends before its timer is due. Its entry stays in the heap
and is ignored once it is due. That costs less than one event-loop timer for each, which would
have to be cancelled. Once half of many entries are over, they are removed: clients choose how long
after its end a request would otherwise stay in memory.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Attempt, Request

    TimerItem = int | Attempt | Request  # a token of the Balancer, or what may time out

UNARMED = 1 << 63  # later than any time on the monotonic clock, in nanoseconds
# Added to each delay. The event loop rounds delays to whole milliseconds: without it the timer
# could fire just before the item is due, and would have to be set a second time.
ROUNDING_S = 0.0005
MIN_COMPACTED_ENTRIES = 512


class TimerHeap:
    """Items ordered by their due times, in nanoseconds of the monotonic clock.

    The event loop calls `on_due` when the earliest item is due. `on_due` removes the due items
    with `pop_due` and finally calls `arm`. `is_over` tells whether an item needs no timer any more.
    """

    __slots__ = ("_armed_at", "_compact_at", "_count", "_handle", "_heap", "_is_over", "_loop",
                 "_on_due")  # fmt: skip

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_due: Callable[[], None],
        is_over: Callable[[TimerItem], bool],
    ) -> None:
        self._loop = loop
        self._is_over = is_over
        self._compact_at = MIN_COMPACTED_ENTRIES  # entries
        self._on_due = on_due
        self._heap: list[tuple[int, int, TimerItem]] = []
        self._count = 0  # keeps items with equal due times in the order they were added
        self._handle: asyncio.TimerHandle | None = None
        self._armed_at = UNARMED

    def add(self, due: int, item: TimerItem) -> None:
        """Add an item; `on_due` is not scheduled for it until the next call of `arm`."""
        self._count += 1
        heappush(self._heap, (due, self._count, item))
        if len(self._heap) > self._compact_at:
            self._compact()

    def _compact(self) -> None:
        """Remove the items that are over; again once there are twice as many as are left."""
        is_over = self._is_over
        self._heap = [entry for entry in self._heap if not is_over(entry[2])]
        heapify(self._heap)
        self._compact_at = max(2 * len(self._heap), MIN_COMPACTED_ENTRIES)

    def arm(self) -> None:
        """Schedule the call of `on_due` for the time at which the earliest item is due."""
        heap = self._heap
        if not heap or heap[0][0] >= self._armed_at:
            return
        if self._handle is not None:
            self._handle.cancel()
        due = self._armed_at = heap[0][0]
        delay_s = max(due - time.monotonic_ns(), 0) / SECOND + ROUNDING_S
        self._handle = self._loop.call_later(delay_s, self._fire)

    def pop_due(self, now: int) -> TimerItem | None:
        """Remove and return the earliest item if it is due at `now`, else return None."""
        heap = self._heap
        if heap and heap[0][0] <= now:
            return heappop(heap)[2]
        return None

    def _fire(self) -> None:
        self._handle = None
        self._armed_at = UNARMED
        self._on_due()

"""The timers of one host: a heap of all of them, and one timer of the event loop.

An attempt or a request nearly always ends before its timer comes due. Its entry is left in
the heap and skipped when it comes up: that costs less than a timer of the loop for each,
which would have to be cancelled.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Attempt, Request

    TimerItem = int | Attempt | Request  # a token of the Balancer's, or what may time out

UNARMED = 1 << 63  # later than any time on the monotonic clock, in nanoseconds
# The loop rounds to whole milliseconds; a call before the time would only come again.
ROUNDING_S = 0.0005


class TimerHeap:
    """Items by the time at which they are due, on the monotonic clock in nanoseconds.

    `on_due` is called by the event loop once the earliest one is due; it takes the items
    with `pop_due` and calls `arm` at its end.
    """

    __slots__ = ("_armed_at", "_count", "_handle", "_heap", "_loop", "_on_due")

    def __init__(self, loop: asyncio.AbstractEventLoop, on_due: Callable[[], None]) -> None:
        self._loop = loop
        self._on_due = on_due
        self._heap: list[tuple[int, int, TimerItem]] = []
        self._count = 0  # orders items that are due at the same time
        self._handle: asyncio.TimerHandle | None = None
        self._armed_at = UNARMED

    def add(self, due: int, item: TimerItem) -> None:
        """Add an item; takes effect with the next `arm`."""
        self._count += 1
        heappush(self._heap, (due, self._count, item))

    def arm(self) -> None:
        """Have `on_due` called when the earliest item is due."""
        heap = self._heap
        if not heap or heap[0][0] >= self._armed_at:
            return
        if self._handle is not None:
            self._handle.cancel()
        due = self._armed_at = heap[0][0]
        delay_s = max(due - time.monotonic_ns(), 0) / SECOND + ROUNDING_S
        self._handle = self._loop.call_later(delay_s, self._fire)

    def pop_due(self, now: int) -> TimerItem | None:
        """Remove and return the earliest item if it is due at `now`."""
        heap = self._heap
        if heap and heap[0][0] <= now:
            return heappop(heap)[2]
        return None

    def _fire(self) -> None:
        self._handle = None
        self._armed_at = UNARMED
        self._on_due()

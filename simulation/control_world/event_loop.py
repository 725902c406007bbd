"""Simulated time: callbacks run in the order of their times, and of their scheduling in a tie."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from simulation.control_world.settings import CONDITION_INTERVAL


class _Event(NamedTuple):
    due: int
    number: int  # unique, so that callbacks are never compared
    callback: Callable[[], None]


class EventLoop:
    """Times are integer nanoseconds since the start of the world."""

    def __init__(self) -> None:
        self.now = 0
        self._events: list[_Event] = []
        self._scheduled = 0

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Run `callback` once, `delay` nanoseconds from now."""
        self._scheduled += 1
        heapq.heappush(self._events, _Event(self.now + delay, self._scheduled, callback))

    def run(self, duration: int, condition: Callable[[], bool] | None = None) -> bool:
        """Run events for `duration` nanoseconds, or until `condition` holds.

        Returns whether the condition holds; False where there is none.
        """
        until = self.now + duration
        next_check = self.now
        while self._events and self._events[0].due <= until:
            event = heapq.heappop(self._events)
            self.now = event.due
            event.callback()
            if condition is not None and self.now >= next_check:
                if condition():
                    return True
                next_check = self.now + CONDITION_INTERVAL
        self.now = until
        return condition is not None and condition()

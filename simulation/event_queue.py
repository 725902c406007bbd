"""Simulated time: callbacks run in the order of their times, and of their scheduling in a tie."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple, TypeVarTuple

Arguments = TypeVarTuple("Arguments")


class _Event(NamedTuple):
    due: int
    number: int  # unique, so that callbacks are never compared
    callback: Callable[..., None]
    arguments: tuple[Any, ...]


class EventQueue:
    """Callbacks with their times; `now` is in integer nanoseconds since the start of the world."""

    def __init__(self) -> None:
        self.now = 0
        self._events: list[_Event] = []
        self._scheduled = 0

    def call_at(
        self, due: int, callback: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> None:
        """Run `callback` once, at the time `due`."""
        self._scheduled += 1
        heappush(self._events, _Event(due, self._scheduled, callback, arguments))

    def run_next(self, until: int) -> bool:
        """Run the next callback if it is due by `until`; returns whether there was one."""
        if not self._events or self._events[0].due > until:
            return False
        self.now, _, callback, arguments = heappop(self._events)
        callback(*arguments)
        return True

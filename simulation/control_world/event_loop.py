"""The control world's time, by delays from now."""

from __future__ import annotations

from collections.abc import Callable

from simulation.control_world.settings import CONDITION_INTERVAL
from simulation.event_queue import EventQueue


class EventLoop(EventQueue):
    """Runs what is due; times are integer nanoseconds since the start of the world."""

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Run `callback` once, `delay` nanoseconds from now."""
        self.call_at(self.now + delay, callback)

    def run(self, duration: int, condition: Callable[[], bool] | None = None) -> bool:
        """Run events for `duration` nanoseconds, or until `condition` holds.

        The condition is checked at intervals. Returns whether it holds; False where there is none.
        """
        until = self.now + duration
        next_check = self.now
        while self.run_next(until):
            if condition is not None and self.now >= next_check:
                if condition():
                    return True
                next_check = self.now + CONDITION_INTERVAL
        self.now = until
        return condition is not None and condition()

"""Spreads many new streams over time; pure, the time is passed in as nanoseconds."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND


class StreamPacer:
    """Gives each new stream the next free place in time, `rate` a second after a burst.

    Guards against all proxies reconnecting at once after a restart. Without it the work of all
    first responses comes in one block, in which nothing else is served. With it that work has
    a steady rate, and proxies that wait go on with the configuration they have. A stream that
    would wait longer than `max_wait` nanoseconds is better rejected: its proxy retries.
    """

    __slots__ = ("_burst", "_interval", "_max_wait", "_next")

    def __init__(self, rate: int, burst: int, max_wait: int) -> None:
        self._interval = SECOND // rate
        self._burst = burst * self._interval
        self._max_wait = max_wait
        self._next = 0

    def reserve(self, now: int) -> int | None:
        """Take the next place: nanoseconds to wait for it, None where that is too long."""
        start = max(self._next, now - self._burst)
        wait = max(start - now, 0)
        if wait > self._max_wait:
            return None
        self._next = start + self._interval
        return wait

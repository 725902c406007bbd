"""Spreads a storm of streams over time; pure, told the time in nanoseconds."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND


class Pacing:
    """Gives each comer the next free place in time, `rate` a second after a burst.

    Guards against all proxies coming back at once after a restart: the work of
    answering a first request comes at a steady rate instead, and proxies that wait
    go on with what they have. `longest` bounds the wait: beyond it a comer is better
    told to come again.
    """

    __slots__ = ("_burst", "_gap", "_longest", "_next")

    def __init__(self, rate: int, burst: int, longest: int) -> None:
        self._gap = SECOND // rate
        self._burst = burst * self._gap
        self._longest = longest
        self._next = 0

    def wait(self, now: int) -> int | None:
        """How long to wait in nanoseconds; None where it would be too long."""
        start = max(self._next, now - self._burst)
        wait = max(start - now, 0)
        if wait > self._longest:
            return None
        self._next = start + self._gap
        return wait

"""Paces snapshots by bytes a second, first come first served. Pure, told the time.

Each snapshot is given a place in time when it is first asked for, right behind those before it.
Whoever comes back at its place is served: one retry a snapshot, however many wait. Changes are
never put off, but what they spend moves the places that are given after them.
"""

from __future__ import annotations

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import SECOND

KEPT = 30 * SECOND  # a place that is not taken up is kept so long

_Key = tuple[str, str]


class Pacer:
    """Places in time for snapshots, `rate` bytes a second after `burst` bytes."""

    def __init__(self, rate: int, burst: int) -> None:
        """Raises InvalidInputError unless both are positive."""
        if rate < 1 or burst < 1:
            raise InvalidInputError("snapshot pace: rate and burst must be at least 1 byte")
        self._rate = rate
        self._burst = burst * SECOND // rate  # nanoseconds
        self._free = 0  # when the bytes given out so far have been paid for
        self._places: dict[_Key, int] = {}

    def wait(self, now: int, key: _Key, size: int) -> int:
        """Nanoseconds until it may be sent; 0 if now, and then its place is taken up."""
        place = self._places.get(key)
        if place is None or now > place + KEPT:
            place = self._places[key] = self._take(now, size)
        if place > now:
            return place - now
        del self._places[key]
        return 0

    def spend(self, now: int, size: int) -> None:
        """Bytes that go at once, whatever the pace."""
        self._take(now, size)

    def forget(self, key: _Key) -> None:
        """Its place will not be taken up."""
        self._places.pop(key, None)

    def _take(self, now: int, size: int) -> int:
        place = max(self._free, now - self._burst)
        self._free = place + size * SECOND // self._rate
        return place

"""Paces snapshots by bytes a second, first come first served. Pure: time is given.

Each snapshot reserves a time when it is first asked for, right behind those before it. A subscriber
that returns at its time is served: one retry a snapshot, however many wait. Changes are never
delayed, but the bytes that they spend move the times that are reserved after them.
"""

from __future__ import annotations

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.subscribers import SubscriberKey

RESERVATION_TTL = 30 * SECOND  # from the reserved time until the reservation lapses


class Pacer:
    """Reserves times for snapshots: `rate` bytes a second after `burst` bytes.

    Raises:
        InvalidInputError: one of them is not positive.
    """

    def __init__(self, rate: int, burst: int) -> None:
        if rate < 1 or burst < 1:
            raise InvalidInputError("snapshot pace: rate and burst must be at least 1 byte")
        self._rate = rate
        self._burst_ns = burst * SECOND // rate  # the time in which the burst is sent at the rate
        self._next = 0  # the first time that is not reserved yet, in nanoseconds
        self._reservations: dict[SubscriberKey, int] = {}  # the reserved times, in nanoseconds

    def wait(self, now: int, key: SubscriberKey, size: int) -> int:
        """Nanoseconds until `size` bytes may go; 0 means now, and consumes the reservation."""
        time = self._reservations.get(key)
        if time is None or now > time + RESERVATION_TTL:
            time = self._reservations[key] = self._reserve(now, size)
        if time > now:
            return time - now
        del self._reservations[key]
        return 0

    def spend(self, now: int, size: int) -> None:
        """Count bytes that go at once, whatever the pace."""
        self._reserve(now, size)

    def forget(self, key: SubscriberKey) -> None:
        """Drop the reservation: the subscriber has moved away."""
        self._reservations.pop(key, None)

    def _reserve(self, now: int, size: int) -> int:
        time = max(self._next, now - self._burst_ns)
        self._next = time + size * SECOND // self._rate
        return time

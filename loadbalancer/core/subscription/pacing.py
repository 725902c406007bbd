"""Limits the rate in bytes a second at which snapshots are sent, first come, first served.

When a snapshot is requested for the first time, the next free time slot is reserved for it. A
subscriber that polls again at the reserved time is served. So each snapshot costs one retry,
however many subscribers wait. Changes are never delayed, but their bytes are counted, which delays
the slots that are reserved after them.

Sans-I/O: the caller passes in the time in nanoseconds.
"""

from __future__ import annotations

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.subscribers import SubscriberKey

RESERVATION_TTL_NS = 30 * SECOND  # from the reserved time until the reservation expires


class Pacer:
    """A rate limiter of `rate` bytes a second with bursts of `burst` bytes.

    Raises:
        InvalidInputError: `rate` or `burst` is not positive.
    """

    def __init__(self, rate: int, burst: int) -> None:
        if rate < 1 or burst < 1:
            raise InvalidInputError("snapshot rate limit: rate and burst must be at least 1 byte")
        self._rate = rate
        self._burst_ns = burst * SECOND // rate  # how long it takes to send the burst at the rate
        self._next_free = 0  # the first time that is not reserved yet, in nanoseconds
        self._reservations: dict[SubscriberKey, int] = {}  # reserved times in nanoseconds

    def delay(self, now: int, key: SubscriberKey, size: int) -> int:
        """Return after how many nanoseconds `size` bytes may be sent to a subscriber.

        0 means now; the reservation is then used up.
        """
        send_at = self._reservations.get(key)
        if send_at is None or now > send_at + RESERVATION_TTL_NS:
            send_at = self._reservations[key] = self._reserve(now, size)
        if send_at > now:
            return send_at - now
        del self._reservations[key]
        return 0

    def count(self, now: int, size: int) -> None:
        """Count bytes that are sent without a delay."""
        self._reserve(now, size)

    def forget(self, key: SubscriberKey) -> None:
        """Remove the reservation of a subscriber, if any."""
        self._reservations.pop(key, None)

    def _reserve(self, now: int, size: int) -> int:
        send_at = max(self._next_free, now - self._burst_ns)
        self._next_free = send_at + size * SECOND // self._rate
        return send_at

"""A token bucket, which limits a rate and its bursts."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND


class TokenBucket:
    """Contains up to `capacity` tokens and gains `rate` tokens per second."""

    __slots__ = ("_capacity", "_rate", "_refilled_at", "tokens")

    def __init__(self, rate: float, capacity: float, now: int) -> None:
        self._rate = rate
        self._capacity = capacity
        self._refilled_at = now
        self.tokens = capacity

    def refill(self, now: int) -> float:
        """Add the tokens accrued until `now` (ns); returns the number available."""
        accrued = (now - self._refilled_at) * self._rate / SECOND
        self.tokens = min(self._capacity, self.tokens + accrued)
        self._refilled_at = now
        return self.tokens

    def take(self, now: int, count: float = 1.0) -> bool:
        """Take `count` tokens; returns False and takes none if there are fewer."""
        if self.refill(now) < count:
            return False
        self.tokens -= count
        return True

"""A token bucket: bounds a rate and its bursts."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND


class TokenBucket:
    """Contains up to `capacity` tokens and gains `rate` tokens a second."""

    __slots__ = ("_capacity", "_rate", "_refilled_at", "tokens")

    def __init__(self, rate: float, capacity: float, now: int) -> None:
        self._rate = rate
        self._capacity = capacity
        self._refilled_at = now
        self.tokens = capacity

    def refill(self, now: int) -> float:
        """Add what has accrued by `now` (ns) and return the tokens available."""
        accrued = (now - self._refilled_at) * self._rate / SECOND
        self.tokens = min(self._capacity, self.tokens + accrued)
        self._refilled_at = now
        return self.tokens

    def take(self, now: int, count: float = 1.0) -> bool:
        """Take `count` tokens; False, taking none, where there are fewer."""
        if self.refill(now) < count:
            return False
        self.tokens -= count
        return True

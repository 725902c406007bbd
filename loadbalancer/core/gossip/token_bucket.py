"""Tokens by time: how fast something may go on."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND


class Bucket:
    """Tokens, `rate` a second and `most` at once."""

    __slots__ = ("_at", "_most", "_rate", "tokens")

    def __init__(self, rate: float, most: float, now: int) -> None:
        self._rate, self._most, self._at = rate, most, now
        self.tokens = most

    def fill(self, now: int) -> float:
        self.tokens = min(self._most, self.tokens + (now - self._at) * self._rate / SECOND)
        self._at = now
        return self.tokens

    def take(self, now: int, count: float = 1.0) -> bool:
        if self.fill(now) < count:
            return False
        self.tokens -= count
        return True

"""A histogram of the answer times of one route and class, for a percentile; times in ns."""

from __future__ import annotations

from bisect import bisect_left

# Each bucket's edge is an eighth above the last: a hedge's delay within 12% is exact enough.
GROWTH = 1.125
SHORTEST_NS = 100_000
BUCKETS = 110  # to 42 s
MAX_ANSWERS = 2000  # after which all counts are halved
MIN_ANSWERS = 50  # before a percentile is used
REFRESH_ANSWERS = 50  # between two look-ups of the percentile

EDGES = [int(SHORTEST_NS * GROWTH**i) for i in range(BUCKETS)]


class AnswerTimes:
    """Answer times of one route and class in geometric buckets; older ones decay."""

    __slots__ = ("_counts", "_known", "_since_look_up", "_total")

    def __init__(self) -> None:
        self._counts = [0.0] * (BUCKETS + 1)
        self._total = 0.0
        self._since_look_up = 0
        self._known = 0

    def add(self, duration: int) -> None:
        """Count one answer."""
        self._counts[bisect_left(EDGES, duration)] += 1.0
        self._total += 1.0
        self._since_look_up += 1
        if self._total > MAX_ANSWERS:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def at(self, percentile: float) -> int:
        """The upper edge of the percentile's bucket, ns; 0 while too few answers are known."""
        if self._total < MIN_ANSWERS:
            return 0
        if self._since_look_up >= REFRESH_ANSWERS or not self._known:
            self._since_look_up = 0
            self._known = self._look_up(percentile)
        return self._known

    def _look_up(self, percentile: float) -> int:
        remaining = self._total * percentile / 100.0
        for edge, count in zip(EDGES, self._counts, strict=False):
            remaining -= count
            if remaining <= 0:
                return edge
        return EDGES[-1]

"""A histogram of the answer times of one route and class, for a percentile; times in ns."""

from __future__ import annotations

from bisect import bisect_left

# Each bucket's edge is an eighth above the last: a hedge's delay within 12% is exact enough.
BUCKET_GROWTH = 1.125
FIRST_EDGE_NS = 100_000
BUCKET_COUNT = 110  # to 42 s
MAX_TOTAL = 2000  # after which all counts are halved
MIN_SAMPLES = 50  # before a percentile is used
REFRESH_SAMPLES = 50  # between two look-ups of the percentile

BUCKET_EDGES = [int(FIRST_EDGE_NS * BUCKET_GROWTH**i) for i in range(BUCKET_COUNT)]


class ResponseTimes:
    """Answer times of one route and class in geometric buckets; older ones decay."""

    __slots__ = ("_counts", "_cached", "_since_lookup", "_total")

    def __init__(self) -> None:
        self._counts = [0.0] * (BUCKET_COUNT + 1)
        self._total = 0.0
        self._since_lookup = 0
        self._cached = 0

    def add(self, duration: int) -> None:
        """Count one answer."""
        self._counts[bisect_left(BUCKET_EDGES, duration)] += 1.0
        self._total += 1.0
        self._since_lookup += 1
        if self._total > MAX_TOTAL:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def percentile(self, percent: float) -> int:
        """The upper edge of the percentile's bucket, ns; 0 while too few answers are known."""
        if self._total < MIN_SAMPLES:
            return 0
        if self._since_lookup >= REFRESH_SAMPLES or not self._cached:
            self._since_lookup = 0
            self._cached = self._find_percentile(percent)
        return self._cached

    def _find_percentile(self, percent: float) -> int:
        remaining = self._total * percent / 100.0
        for edge, count in zip(BUCKET_EDGES, self._counts, strict=False):
            remaining -= count
            if remaining <= 0:
                return edge
        return BUCKET_EDGES[-1]

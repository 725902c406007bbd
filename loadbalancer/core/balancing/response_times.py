"""A histogram of response times from which a percentile is computed; times in nanoseconds."""

from __future__ import annotations

from bisect import bisect_left

# Each bucket edge is 1/8 above the previous one: 12% is accurate enough for the delay of a hedge.
BUCKET_GROWTH = 1.125
FIRST_EDGE_NS = 100_000
BUCKET_COUNT = 110  # up to 42 s
MAX_TOTAL = 2000  # total count above which all counts are halved
MIN_SAMPLES = 50  # needed before a percentile is returned
REFRESH_SAMPLES = 50  # samples after which a cached percentile is recomputed

BUCKET_EDGES = [int(FIRST_EDGE_NS * BUCKET_GROWTH**i) for i in range(BUCKET_COUNT)]


class ResponseTimes:
    """Response times of one route and class, in geometric buckets; older samples decay."""

    __slots__ = ("_counts", "_cached", "_since_lookup", "_total")

    def __init__(self) -> None:
        self._counts = [0.0] * (BUCKET_COUNT + 1)
        self._total = 0.0
        self._since_lookup = 0
        self._cached = 0

    def add(self, duration: int) -> None:
        """Add one response time."""
        self._counts[bisect_left(BUCKET_EDGES, duration)] += 1.0
        self._total += 1.0
        self._since_lookup += 1
        if self._total > MAX_TOTAL:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def percentile(self, percent: float) -> int:
        """The upper edge of the percentile's bucket; 0 if there are too few samples."""
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

"""Tests of the histogram of response times."""

from __future__ import annotations

from random import Random

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.balancing.response_times import ResponseTimes


def test_a_percentile_is_accurate_to_a_bucket_and_old_samples_decay() -> None:
    response_times_histogram = ResponseTimes()
    random = Random(1)
    values = [int(random.expovariate(1 / (20 * MS))) for _ in range(1999)]
    for value in values:
        response_times_histogram.add(value)
    exact = sorted(values)[int(0.95 * len(values))]
    assert exact <= response_times_histogram.percentile(95.0) * 1.05
    assert response_times_histogram.percentile(95.0) <= exact * 1.2
    for _ in range(20_000):
        response_times_histogram.add(MS)
    assert response_times_histogram.percentile(95.0) < 2 * MS

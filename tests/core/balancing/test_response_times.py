"""The learned percentile of a route's answer times."""

from __future__ import annotations

from random import Random

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.balancing.response_times import ResponseTimes


def test_a_percentile_is_right_within_a_bucket_and_old_answers_fade() -> None:
    latencies = ResponseTimes()
    random = Random(1)
    values = [int(random.expovariate(1 / (20 * MS))) for _ in range(1999)]
    for value in values:
        latencies.add(value)
    exact = sorted(values)[int(0.95 * len(values))]
    assert exact <= latencies.percentile(95.0) * 1.05
    assert latencies.percentile(95.0) <= exact * 1.2
    for _ in range(20_000):
        latencies.add(MS)
    assert latencies.percentile(95.0) < 2 * MS

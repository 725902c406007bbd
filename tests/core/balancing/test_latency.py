"""Tests of the latency averages that attempt durations update."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing import latency
from loadbalancer.core.balancing.model import MS
from tests.recording_host import build


def test_a_duration_updates_the_class_the_endpoint_and_the_congestion() -> None:
    balancer, _ = build(count=1)
    c, endpoint = balancer.classes[0], balancer.endpoints[100]
    assert c.latency == 50 * MS  # a quarter of the objective until it is measured
    ratio = latency.record(balancer.state, c, endpoint, 100 * MS)
    assert c.latency == 60 * MS
    assert c.latency_samples == 1
    assert ratio == pytest.approx(100 / 60)
    assert endpoint.latency_ratio == pytest.approx(1 + latency.LATENCY_RATIO_GAIN * (100 / 60 - 1))
    assert balancer.state.congestion_sum[0] == 0.5
    assert balancer.state.congestion_samples[0] == 1


def test_a_recorded_duration_is_bounded_by_a_multiple_of_the_objective() -> None:
    """Otherwise a few time-outs of one unresponsive endpoint look like congestion of all."""
    balancer, _ = build(count=1)
    latency.record(balancer.state, balancer.classes[0], balancer.endpoints[100], 60_000 * MS)
    assert balancer.state.congestion_sum[0] == pytest.approx(latency.MAX_DURATION_OBJECTIVES)


def test_a_class_with_many_samples_follows_new_durations_slowly() -> None:
    balancer, _ = build(count=1)
    c = balancer.classes[0]
    c.latency_samples = latency.MIN_STABLE_SAMPLES + 1
    latency.record(balancer.state, c, balancer.endpoints[100], 100 * MS)
    assert c.latency == pytest.approx(52.5 * MS)

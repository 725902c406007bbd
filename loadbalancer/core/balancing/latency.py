"""Latency averages of classes and endpoints, and congestion samples, from attempt durations.

Durations and a class's mean latency are in nanoseconds. An endpoint's latency ratio is relative
to the mean of its requests' classes. A congestion sample is in units of the latency objective.
"""

from __future__ import annotations

from loadbalancer.core.balancing.records import ClassState, Endpoint
from loadbalancer.core.balancing.state import BalancerState

MAX_DURATION_OBJECTIVES = 1.2  # upper bound of a recorded duration, in latency objectives
# A class with more samples than this uses STABLE_LATENCY_GAIN instead of INITIAL_LATENCY_GAIN.
MIN_STABLE_SAMPLES = 20
# Gains per sample of the moving average of a class's latency: a new class adapts faster.
INITIAL_LATENCY_GAIN = 0.2
STABLE_LATENCY_GAIN = 0.05
# Gain per sample of the moving average of an endpoint's latency ratio.
LATENCY_RATIO_GAIN = 0.2
MAX_LATENCY_RATIO = 10.0  # upper bound of one sample of an endpoint's latency ratio


def record(
    state: BalancerState, request_class: ClassState, endpoint: Endpoint, duration: int
) -> float:
    """Record an attempt's duration; returns its ratio to the class's mean latency.

    The duration is bounded: otherwise a few time-outs at one unresponsive endpoint would look
    like congestion of the whole fleet and cut the concurrency limit of all endpoints.
    """
    objective = request_class.latency_objective
    duration = min(duration, int(MAX_DURATION_OBJECTIVES * objective))
    gain = (
        STABLE_LATENCY_GAIN
        if request_class.latency_samples > MIN_STABLE_SAMPLES
        else INITIAL_LATENCY_GAIN
    )
    request_class.latency_samples += 1
    request_class.latency += gain * (duration - request_class.latency)
    number = request_class.number
    state.congestion_sum[number] += duration / objective
    state.congestion_samples[number] += 1
    ratio = min(duration / request_class.latency, MAX_LATENCY_RATIO)
    endpoint.latency_ratio += LATENCY_RATIO_GAIN * (ratio - endpoint.latency_ratio)
    return ratio

"""Latency averages of classes and endpoints, and congestion samples, from attempt durations.

Durations and a class's mean latency are in nanoseconds. An endpoint's latency ratio is relative
to the mean of its requests' classes. A congestion sample is in units of the latency objective.
"""

from __future__ import annotations

from loadbalancer.core.balancing.records import ClassState, Endpoint
from loadbalancer.core.balancing.state import BalancerState

MAX_OBJECTIVES = 1.2  # upper bound of a recorded duration, in latency objectives
MIN_STABLE_SAMPLES = 20  # up to so many, a class's mean follows new samples quickly
FAST_GAIN = 0.2  # per sample, of the moving average of a class's latency, at first ...
SLOW_GAIN = 0.05  # ... and after MIN_STABLE_SAMPLES
RATIO_GAIN = 0.2  # per sample, of the moving average of an endpoint's latency ratio
MAX_RATIO = 10.0  # upper bound of one sample of that ratio


def record(
    state: BalancerState, request_class: ClassState, endpoint: Endpoint, duration: int
) -> float:
    """Record an attempt's duration; returns its ratio to the class's mean latency.

    The duration is bounded: otherwise a few time-outs at one unresponsive endpoint would look
    like congestion of the whole fleet and cut the concurrency limit of all endpoints.
    """
    objective = request_class.latency_objective
    duration = min(duration, int(MAX_OBJECTIVES * objective))
    gain = SLOW_GAIN if request_class.latency_samples > MIN_STABLE_SAMPLES else FAST_GAIN
    request_class.latency_samples += 1
    request_class.latency += gain * (duration - request_class.latency)
    number = request_class.number
    state.congestion_sum[number] += duration / objective
    state.congestion_samples[number] += 1
    ratio = min(duration / request_class.latency, MAX_RATIO)
    endpoint.latency_ratio += RATIO_GAIN * (ratio - endpoint.latency_ratio)
    return ratio

"""Latency averages of classes and endpoints, and congestion samples, from attempts' durations.

Inputs are durations in nanoseconds; a class's mean is in nanoseconds too, an
endpoint's ratio is against its class's mean, a congestion sample is in objectives.
"""

from __future__ import annotations

from loadbalancer.core.balancing.records import ClassState, Endpoint
from loadbalancer.core.balancing.state import BalancerState

MAX_OBJECTIVES = 1.2  # bound of the duration of one attempt, in latency objectives
MIN_STABLE_SAMPLES = 20  # up to which a class's mean follows new samples quickly
FAST_GAIN = 0.2  # gains of moving averages, a sample: of a class's mean at first ...
SLOW_GAIN = 0.05  # ... and later
RATIO_GAIN = 0.2  # of an endpoint's latency ratio
MAX_RATIO = 10.0  # bound of one sample of it


def record(
    state: BalancerState, request_class: ClassState, endpoint: Endpoint, duration: int
) -> float:
    """Record an attempt's duration; returns its ratio to the class's mean latency.

    The duration is bounded: in full, a few time-outs of one unresponsive endpoint
    would look like congestion of the whole fleet and cut the limit for all of them.
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

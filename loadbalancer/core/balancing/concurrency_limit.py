"""Adaptive limit on the requests that all nodes together have in flight at one endpoint.

The limit follows the congestion of the most congested class. Congestion is the part of the
time between a class's uncongested latency and its latency objective that its attempts use on
average: 0 on idle endpoints, 1 when the mean latency reaches the objective. Once per cycle the
limit is cut if congestion, rejections or time-outs are high, and raised if requests had to
wait while congestion is low. Each node adjusts it from its own attempts alone.

Inputs: the sums of `latency.record`, counts of outcomes, and whether any request had to wait
since the last cycle.
"""

from __future__ import annotations

from loadbalancer.core.balancing.class_weights import DECAY
from loadbalancer.core.balancing.latency import MIN_STABLE_SAMPLES
from loadbalancer.core.balancing.records import ClassState
from loadbalancer.core.balancing.state import BalancerState

MIN_LIMIT = 1.0  # requests in flight at one endpoint
MAX_LIMIT = 64.0
LOW_CONGESTION = 0.17  # below which the limit may grow
HIGH_CONGESTION = 0.32  # above which it is cut
SEVERE_CONGESTION = 2.0 * HIGH_CONGESTION  # above which SEVERE_CUT applies and is logged
GROWTH = 1.15  # factors on the limit per cycle
CUT = 0.9
SEVERE_CUT = CUT * CUT * CUT
MAX_REJECTED_PART = (
    0.05  # rejections by endpoints, as a part of outcomes, above which the limit is cut
)
MAX_TIMEOUT_PART = 0.04  # the same for time-outs; an unresponsive endpoint's are counted once
MIN_SAMPLES = 3  # attempts needed to measure a class's congestion
CARRIED_SAMPLES = 10  # below so many samples, a class's sums are carried into the next cycle
BASE_GROWTH = 1.005  # per cycle, so that the uncongested latency is not an all-time minimum
MAX_BASE_PART = 0.9  # upper bound of the uncongested latency, as a part of the objective


def adjust(state: BalancerState, now: int) -> None:
    """Cut, raise or keep the limit, from the outcomes counted since the last cycle."""
    for request_class in state.classes:
        _update_base_latency(request_class)
    congestion = _worst_congestion(state)
    has_enough_samples = any(samples >= MIN_SAMPLES for samples in state.congestion_samples)
    cut = False
    if state.outcomes:
        if _must_cut(state, congestion):
            cut = True
            severe = congestion > SEVERE_CONGESTION
            limit = state.concurrency_limit * (SEVERE_CUT if severe else CUT)
            state.concurrency_limit = max(MIN_LIMIT, limit)
            if severe:
                state.log(now, f"level down to {state.concurrency_limit:.1f}")
        elif state.saturated and has_enough_samples and congestion < LOW_CONGESTION:
            state.concurrency_limit = min(MAX_LIMIT, state.concurrency_limit * GROWTH)
    state.outcomes = state.rejections = state.timeouts = 0
    state.saturated = False
    _carry_samples(state, cut)


def _update_base_latency(request_class: ClassState) -> None:
    """Track the class's uncongested latency: its minimum mean latency, which grows slowly."""
    if request_class.latency_samples <= MIN_STABLE_SAMPLES:
        return
    if request_class.base_latency:
        grown = request_class.base_latency * BASE_GROWTH
        request_class.base_latency = min(grown, request_class.latency)
    else:
        request_class.base_latency = request_class.latency


def _worst_congestion(state: BalancerState) -> float:
    """The highest congestion among the classes with at least MIN_SAMPLES; at least 0."""
    worst = 0.0
    for number, samples in enumerate(state.congestion_samples):
        request_class = state.classes[number]
        # While the uncongested latency is unknown, a class that takes half its objective even on
        # idle endpoints would look congested.
        if samples >= MIN_SAMPLES and request_class.base_latency:
            # Only latency above the uncongested latency counts as congestion.
            base = min(request_class.base_latency / request_class.latency_objective, MAX_BASE_PART)
            worst = max(worst, (state.congestion_sum[number] / samples - base) / (1.0 - base))
    return worst


def _must_cut(state: BalancerState, congestion: float) -> bool:
    outcomes = state.outcomes
    return (
        congestion > HIGH_CONGESTION
        or state.rejections > MAX_REJECTED_PART * outcomes
        or state.timeouts > max(MAX_TIMEOUT_PART * outcomes, 1)
    )


def _carry_samples(state: BalancerState, cut: bool) -> None:
    """Carry the decayed samples of a class that has few of them into the next cycle.

    In a large fleet a node sees only one or two responses per cycle, and their mean is mostly
    noise. Nothing is carried after a cut: otherwise one congestion would cut the limit
    several times.
    """
    for number, samples in enumerate(state.congestion_samples):
        carry = DECAY if samples < CARRIED_SAMPLES and not cut else 0.0
        state.congestion_sum[number] *= carry
        state.congestion_samples[number] *= carry

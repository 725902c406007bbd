"""Adaptive limit on the requests that all nodes together have in flight at one endpoint.

The design after Pacifici et al. 2005, "Performance Management for Cluster-Based Web Services",
leaves the size of the limits open; this rule is the project's own. The limit follows the
congestion of the most congested class. Congestion is the part of the time between a class's
uncongested latency and its latency objective that its attempts use on average: 0 on idle
endpoints, 1 when the mean latency reaches the objective. Once per cycle the limit is cut if
congestion, rejections or time-outs are high, and raised if requests had to wait while congestion
is low. Each node adjusts it from its own attempts alone.

Inputs: the sums of `latency.record`, counts of outcomes, and whether any request had to wait since
the last cycle.
"""

from __future__ import annotations

from loadbalancer.core.balancing.class_weights import DECAY
from loadbalancer.core.balancing.latency import MIN_STABLE_SAMPLES
from loadbalancer.core.balancing.records import ClassState
from loadbalancer.core.balancing.state import BalancerState

# Bounds of the concurrency limit, in requests at one endpoint.
MIN_LIMIT = 1.0
MAX_LIMIT = 64.0
LOW_CONGESTION = 0.17  # congestion below which the limit may grow
HIGH_CONGESTION = 0.32  # congestion above which the limit is cut
# Congestion above which the limit is cut by SEVERE_LIMIT_CUT_FACTOR and the cut is logged.
SEVERE_CONGESTION = 2.0 * HIGH_CONGESTION
# Factors that are applied to the limit at most once per cycle.
LIMIT_GROWTH_FACTOR = 1.15
LIMIT_CUT_FACTOR = 0.9
SEVERE_LIMIT_CUT_FACTOR = LIMIT_CUT_FACTOR * LIMIT_CUT_FACTOR * LIMIT_CUT_FACTOR
# The limit is cut if endpoints reject more than this fraction of attempts.
MAX_REJECTED_FRACTION = 0.05
# The limit is cut if more than this fraction of attempts times out. Consecutive time-outs of one
# unresponsive endpoint count once.
MAX_TIMEOUT_FRACTION = 0.04
MIN_SAMPLES = 3  # attempts of a class from which its congestion is computed
# A class with fewer samples in a cycle carries its sums into the next cycle.
CARRIED_SAMPLES = 10
# Growth of the uncongested latency per cycle, so that it is not an all-time minimum.
BASE_LATENCY_GROWTH_FACTOR = 1.005
# The uncongested latency counts as at most this fraction of the latency objective.
MAX_BASE_LATENCY_OBJECTIVE_FRACTION = 0.9


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
            limit = state.concurrency_limit * (
                SEVERE_LIMIT_CUT_FACTOR if severe else LIMIT_CUT_FACTOR
            )
            state.concurrency_limit = max(MIN_LIMIT, limit)
            if severe:
                state.log(now, f"level down to {state.concurrency_limit:.1f}")
        elif state.saturated and has_enough_samples and congestion < LOW_CONGESTION:
            state.concurrency_limit = min(MAX_LIMIT, state.concurrency_limit * LIMIT_GROWTH_FACTOR)
    state.outcomes = state.rejections = state.timeouts = 0
    state.saturated = False
    _carry_samples(state, cut)


def _update_base_latency(request_class: ClassState) -> None:
    """Track the class's uncongested latency: its minimum mean latency, which grows slowly."""
    if request_class.latency_samples <= MIN_STABLE_SAMPLES:
        return
    if request_class.base_latency:
        grown = request_class.base_latency * BASE_LATENCY_GROWTH_FACTOR
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
            base = min(
                request_class.base_latency / request_class.latency_objective,
                MAX_BASE_LATENCY_OBJECTIVE_FRACTION,
            )
            worst = max(worst, (state.congestion_sum[number] / samples - base) / (1.0 - base))
    return worst


def _must_cut(state: BalancerState, congestion: float) -> bool:
    outcomes = state.outcomes
    return (
        congestion > HIGH_CONGESTION
        or state.rejections > MAX_REJECTED_FRACTION * outcomes
        or state.timeouts > max(MAX_TIMEOUT_FRACTION * outcomes, 1)
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

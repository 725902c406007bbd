"""How many requests all nodes together have in flight at one endpoint.

The DESIGN-wharfspread page leaves the sizing of the caps open. Here the limit
follows the congestion of the worst class: the part of the time between its
uncongested latency and its latency objective that its attempts use up, 0 on idle
endpoints, 1 where the objective is missed on average. Once a cycle the limit is
cut where congestion, rejections or time-outs are high, and grows where requests
wait while congestion is low. Each node does so from its own attempts alone.

Inputs: the sums of `latency.record`, counts of outcomes, and whether any request
had to wait since the last cycle.
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
SEVERE_CONGESTION = 2.0 * HIGH_CONGESTION  # above which it is cut by SEVERE_CUT
GROWTH = 1.15  # factors on the limit, a cycle
CUT = 0.9
SEVERE_CUT = CUT * CUT * CUT
MAX_REJECTED_PART = 0.05  # of outcomes, above which endpoints' rejections cut the limit
MAX_TIMEOUT_PART = 0.04  # the same of time-outs, counted once for an unresponsive endpoint
MIN_SAMPLES = 3  # attempts of a class by which its congestion is has_enough_samples
CARRIED_SAMPLES = 10  # samples up to which a class's sums are carried to the next cycle
BASE_GROWTH = 1.005  # factor a cycle, so that the uncongested latency is not a minimum of all time
MAX_BASE_PART = 0.9  # of the objective: an uncongested latency counts as no more


def adjust(state: BalancerState, now: int) -> None:
    """Cut, raise or leave the limit, by the outcomes counted since the last cycle."""
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
    """Follow the class's uncongested latency: its lowest one, that grows slowly."""
    if request_class.latency_samples <= MIN_STABLE_SAMPLES:
        return
    if request_class.base_latency:
        grown = request_class.base_latency * BASE_GROWTH
        request_class.base_latency = min(grown, request_class.latency)
    else:
        request_class.base_latency = request_class.latency


def _worst_congestion(state: BalancerState) -> float:
    """The highest congestion of all classes that have MIN_SAMPLES, at least 0."""
    worst = 0.0
    for number, samples in enumerate(state.congestion_samples):
        request_class = state.classes[number]
        # Without a base latency, half an objective on idle endpoints would count as congestion.
        if samples >= MIN_SAMPLES and request_class.base_latency:
            # Only the time beyond the latency on idle endpoints is congestion.
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
    """Carry the samples of a class that has few of them, decayed, into the next cycle.

    In a large fleet a node sees an answer or two a cycle, and a mean over so few is mostly
    noise. Nothing is carried after a cut: one congestion would cut the limit many times.
    """
    for number, samples in enumerate(state.congestion_samples):
        carry = DECAY if samples < CARRIED_SAMPLES and not cut else 0.0
        state.congestion_sum[number] *= carry
        state.congestion_samples[number] *= carry

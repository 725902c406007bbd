"""How many of a node's slots each request class is given (DESIGN-wharfspread, point 4).

The paper is Pacifici et al., "Performance Management for Cluster-Based Web
Services". Every cycle an M/M/1 queue predicts each class's mean response time at
any share, from the rate, response time and share of the cycles before (its
equations 8 and 9); a utility curve rates the prediction against the class's
latency objective; integer shares of at least 1 that sum to the node's total N_g
maximise the smallest utility. Rates are per second, times in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.records import ClassState, Request, RequestState
from loadbalancer.core.balancing.state import BalancerState

CYCLE_NS = SECOND // 2
DECAY = 0.85  # factor on earlier cycles' sums: averages sparse traffic over some seconds
ALPHA = BETA = 1.0  # exponents of the utility curve, within and beyond the objective
MAX_OBJECTIVES = 10.0  # bound of a predicted time, in latency objectives
REJECTED_OBJECTIVES = 10.0  # a rejection counts as a response time of so many objectives
MIN_SERVED_PART = 0.02  # bounds the extrapolation from the served part of a class to all of it
IDLE_UTILITY = 1.0  # the utility of a class without traffic: that of a response time of 0

ENDED = RequestState.ENDED


class ClassTraffic(NamedTuple):
    """What the solve knows of one class."""

    rate: float  # arrivals a second
    mean: float  # response time in seconds, rejections included; 0 without traffic
    share: float  # slots of the class while the mean was measured
    objective: float  # latency objective in seconds
    weight: float  # of missing the objective


def predict(rate: float, mean: float, old: float, new: float) -> float:
    """Mean response time at share `new`, from `mean` at share `old`; inf where saturated.

    Equations 8 and 9 of the paper.
    """
    denominator = 1.0 / mean + rate * (1.0 / old - 1.0 / new)
    return 1.0 / denominator if denominator > 0 else inf


def utility(objective: float, time: float, weight: float) -> float:
    """The paper's utility of a response time; the weight scales it only beyond the objective."""
    miss = min(time / objective, MAX_OBJECTIVES) - 1.0
    return float((-miss) ** ALPHA if miss <= 0 else -weight * miss**BETA)


def utility_at(flow: ClassTraffic, share: int) -> float:
    """A class's utility at a share."""
    rate, mean, old, objective, weight = flow
    if rate <= 0 or mean <= 0:
        return IDLE_UTILITY
    time = predict(rate, mean, max(old, 1.0), share)
    if time == inf:
        # Still rising with the share, so that saturated classes are compared by overload.
        bound = -weight * (MAX_OBJECTIVES - 1.0) ** BETA
        return float(bound - weight * rate * objective / share)
    return utility(objective, time, weight)


def solve(total: int, flows: Sequence[ClassTraffic]) -> list[int]:
    """Max-min integer shares of `total` slots, each at least 1.

    The paper's dynamic program grows with the square of the total. Adding slots one
    by one to the class of the lowest utility gives the same optimum, because no
    utility falls as a share grows. A class without traffic stays at its one slot
    until all others have reached the utility IDLE_UTILITY.
    """
    shares = [1] * len(flows)
    utilities = [utility_at(flow, 1) for flow in flows]
    for _ in range(total - len(flows)):
        low = min(range(len(flows)), key=utilities.__getitem__)
        shares[low] += 1
        utilities[low] = utility_at(flows[low], shares[low])
    return shares


def count_served(request: Request, now: int) -> None:
    """Count a request that is answered, unless it has ended: by another attempt, or unanswered."""
    if request.state is not ENDED:
        request_class = request.request_class
        request_class.response_time += now - request.arrived
        request_class.served += 1


def update(state: BalancerState) -> None:
    """Compute the shares from the cycles so far, and let the sums of those decay."""
    flows = []
    for request_class in state.classes:
        request_class.cycles = request_class.cycles * DECAY + 1
        request_class.share_sum = request_class.share_sum * DECAY + request_class.share
        flows.append(_flow(request_class))
        request_class.arrivals *= DECAY
        request_class.rejected *= DECAY
        request_class.response_time *= DECAY
        request_class.served *= DECAY
    for request_class, share in zip(state.classes, solve(state.max_in_flight, flows), strict=True):
        request_class.share = share


def _flow(request_class: ClassState) -> ClassTraffic:
    """The rate, mean response time and share of a class over the cycles so far."""
    objective = request_class.latency_objective
    seen = request_class.served + request_class.rejected
    rejected_time = request_class.rejected * REJECTED_OBJECTIVES * objective
    mean = (request_class.response_time + rejected_time) / seen if seen else 0.0
    # Equation 8 assumes that all arrivals are served. Where this share served only some of
    # them, the share that would have served all is extrapolated.
    share = request_class.share_sum / request_class.cycles
    if seen:
        share /= max(request_class.served / seen, MIN_SERVED_PART)
    rate = request_class.arrivals / (request_class.cycles * CYCLE_NS / SECOND)
    weight = request_class.spec.priority_weight
    return ClassTraffic(rate, mean / SECOND, share, objective / SECOND, weight)

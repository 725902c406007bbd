"""Divides a node's slots among the request classes.

The method is that of Pacifici et al. 2005, "Performance Management for Cluster-Based Web Services"
("the paper"), except that the shares are found by a greedy search (see `solve`). Every cycle, an
M/M/1 model predicts each class's mean response time at any share from the rate, response time and
share of earlier cycles (equations 8 and 9); a utility curve rates the prediction against the
class's latency objective; and the integer shares, each at least 1 and with a sum of
`BalancerState.max_in_flight` (the paper's N_g), are chosen to maximise the smallest utility. Rates
are per second, times in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.records import ClassState, Request, RequestState
from loadbalancer.core.balancing.state import BalancerState

CYCLE_NS = SECOND // 2
# Factor per cycle on the sums of earlier cycles: averages sparse traffic over several seconds.
DECAY = 0.85
ALPHA = BETA = 1.0  # exponents of the utility curve, within and beyond the objective
MAX_RESPONSE_TIME_OBJECTIVES = (
    10.0  # upper bound of a predicted response time, in latency objectives
)
# A rejection counts as a response time of this multiple of the latency objective.
REJECTED_RESPONSE_TIME_OBJECTIVES = 10.0
# Lower bound of the fraction of requests served, from which the share for all is extrapolated.
MIN_SERVED_FRACTION = 0.02
IDLE_UTILITY = 1.0  # utility of a class without traffic: the same as for a response time of 0

ENDED = RequestState.ENDED


class ClassTraffic(NamedTuple):
    """Measured traffic of one class, the input of `solve`."""

    rate: float  # arrivals a second
    mean: float  # mean response time in seconds, including rejections; 0 without traffic
    share: float  # mean number of slots while `mean` was measured
    objective: float  # latency objective in seconds
    weight: float  # cost of missing the objective


def predict(rate: float, mean: float, old_share: float, new_share: float) -> float:
    """Predict the mean response time at share `new_share` from `mean` at share `old_share`.

    Equations 8 and 9 of the paper; infinite if the class would be saturated.
    """
    denominator = 1.0 / mean + rate * (1.0 / old_share - 1.0 / new_share)
    return 1.0 / denominator if denominator > 0 else inf


def utility(objective: float, time: float, weight: float) -> float:
    """The paper's utility of a response time; `weight` applies only beyond the objective."""
    miss = min(time / objective, MAX_RESPONSE_TIME_OBJECTIVES) - 1.0
    return float((-miss) ** ALPHA if miss <= 0 else -weight * miss**BETA)


def utility_at(traffic: ClassTraffic, share: int) -> float:
    """The utility of a class at a given share."""
    rate, mean, old_share, objective, weight = traffic
    if rate <= 0 or mean <= 0:
        return IDLE_UTILITY
    time = predict(rate, mean, max(old_share, 1.0), share)
    if time == inf:
        # Increases with the share, so that saturated classes are ranked by their overload.
        bound = -weight * (MAX_RESPONSE_TIME_OBJECTIVES - 1.0) ** BETA
        return float(bound - weight * rate * objective / share)
    return utility(objective, time, weight)


def solve(total: int, traffic_by_class: Sequence[ClassTraffic]) -> list[int]:
    """Max-min fair integer shares of `total` slots, each at least 1.

    The running time of the paper's dynamic program is quadratic in `total`. Adding slots one
    at a time to the class with the lowest utility finds the same optimum, because utility
    never decreases with the share. A class without traffic stays at one slot until all
    others have reached IDLE_UTILITY.
    """
    shares = [1] * len(traffic_by_class)
    utilities = [utility_at(traffic, 1) for traffic in traffic_by_class]
    for _ in range(total - len(traffic_by_class)):
        lowest = min(range(len(traffic_by_class)), key=utilities.__getitem__)
        shares[lowest] += 1
        utilities[lowest] = utility_at(traffic_by_class[lowest], shares[lowest])
    return shares


def count_served(request: Request, now: int) -> None:
    """Count a successful response, unless the request has already ended."""
    if request.state is not ENDED:
        request_class = request.request_class
        request_class.response_time += now - request.arrived
        request_class.served += 1


def update(state: BalancerState) -> None:
    """Recompute the shares from the decayed sums of all cycles so far, and decay the sums."""
    traffic_by_class = []
    for request_class in state.classes:
        request_class.cycles = request_class.cycles * DECAY + 1
        request_class.share_sum = request_class.share_sum * DECAY + request_class.share
        traffic_by_class.append(_measure_traffic(request_class))
        request_class.arrivals *= DECAY
        request_class.rejected *= DECAY
        request_class.response_time *= DECAY
        request_class.served *= DECAY
    for request_class, share in zip(
        state.classes, solve(state.max_in_flight, traffic_by_class), strict=True
    ):
        request_class.share = share


def _measure_traffic(request_class: ClassState) -> ClassTraffic:
    """The rate, mean response time and share of a class over the cycles so far, decayed."""
    objective = request_class.latency_objective
    finished = request_class.served + request_class.rejected
    rejected_time = request_class.rejected * REJECTED_RESPONSE_TIME_OBJECTIVES * objective
    mean = (request_class.response_time + rejected_time) / finished if finished else 0.0
    # Equation 8 assumes that all arrivals are served. If this share served only part of them,
    # the share that would have served all is extrapolated from it.
    share = request_class.share_sum / request_class.cycles
    if finished:
        share /= max(request_class.served / finished, MIN_SERVED_FRACTION)
    rate = request_class.arrivals / (request_class.cycles * CYCLE_NS / SECOND)
    weight = request_class.spec.priority_weight
    return ClassTraffic(rate, mean / SECOND, share, objective / SECOND, weight)

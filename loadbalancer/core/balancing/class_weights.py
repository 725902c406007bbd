"""How many of a node's slots each request class is given (DESIGN-wharfspread, point 4).

The paper is Pacifici et al., "Performance Management for Cluster-Based Web
Services". Every cycle an M/M/1 queue predicts each class's mean response time at
any share, from the rate, response time and share of the cycles before (its
equations 8 and 9); a utility curve rates the prediction against the class's
latency objective; integer shares of at least 1 that sum to the node's total N_g
maximise the smallest utility. Rates are a second, times are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.balancing.state import BalancerState

CYCLE_NS = SECOND // 2
DECAY = 0.85  # of the earlier cycles' sums, so that thin traffic is averaged over seconds
ALPHA = BETA = 1.0  # exponents of the utility curve, within and beyond the objective
MAX_OBJECTIVES = 10.0  # at which a predicted time is bounded
REJECTED_OBJECTIVES = 10.0  # a rejection enters the mean response time as this many objectives
MIN_SERVED_PART = 0.02  # of a class's requests, where the share to serve all is extrapolated
CONTENT = 1.0  # the utility of a class without traffic: no time at all


class Flow(NamedTuple):
    """What the solve knows of one class."""

    rate: float  # arrivals a second
    mean: float  # response time in seconds, rejections included; 0 without traffic
    share: float  # slots that the mean was seen at
    objective: float  # latency objective in seconds
    weight: float  # of missing the objective


def predict(rate: float, mean: float, old: float, new: float) -> float:
    """Mean response time at share `new`, seen at share `old`; inf where saturated.

    Equations 8 and 9 of the paper.
    """
    denominator = 1.0 / mean + rate * (1.0 / old - 1.0 / new)
    return 1.0 / denominator if denominator > 0 else inf


def utility(objective: float, time: float, weight: float) -> float:
    """The paper's curve over times in objectives; the weight scales only the side of missing."""
    miss = min(time / objective, MAX_OBJECTIVES) - 1.0
    return float((-miss) ** ALPHA if miss <= 0 else -weight * miss**BETA)


def utility_at(flow: Flow, share: int) -> float:
    """A class's utility at a share."""
    rate, mean, old, objective, weight = flow
    if rate <= 0 or mean <= 0:
        return CONTENT
    time = predict(rate, mean, max(old, 1.0), share)
    if time == inf:
        # Among saturated classes more slots still mean less overload.
        bound = -weight * (MAX_OBJECTIVES - 1.0) ** BETA
        return float(bound - weight * rate * objective / share)
    return utility(objective, time, weight)


def solve(total: int, flows: Sequence[Flow]) -> list[int]:
    """Max-min integer shares of `total` slots, each at least 1.

    The paper's dynamic program grows with the square of the total. Adding slots one
    by one to the class of the lowest utility gives the same optimum, because no
    utility falls as a share grows. A class without traffic stays at its one slot
    until all others are content.
    """
    shares = [1] * len(flows)
    utilities = [utility_at(flow, 1) for flow in flows]
    for _ in range(total - len(flows)):
        low = min(range(len(flows)), key=utilities.__getitem__)
        shares[low] += 1
        utilities[low] = utility_at(flows[low], shares[low])
    return shares


def update(state: BalancerState) -> None:
    """Solve the shares anew from the cycles so far, and let those fade."""
    flows = []
    for c in state.classes:
        c.cycles = c.cycles * DECAY + 1
        c.share_sum = c.share_sum * DECAY + c.share
        seen = c.served + c.rejected
        rejected_time = c.rejected * REJECTED_OBJECTIVES * c.latency_objective
        mean = (c.response_time + rejected_time) / seen if seen else 0.0
        # Equation 8 assumes that all arrivals are served; here a share served only some.
        share = c.share_sum / c.cycles
        if seen:
            share /= max(c.served / seen, MIN_SERVED_PART)
        rate = c.arrivals / (c.cycles * CYCLE_NS / SECOND)
        objective = c.latency_objective / SECOND
        flows.append(Flow(rate, mean / SECOND, share, objective, c.spec.priority_weight))
        c.arrivals *= DECAY
        c.rejected *= DECAY
        c.response_time *= DECAY
        c.served *= DECAY
    for c, share in zip(state.classes, solve(state.total, flows), strict=True):
        c.share = share

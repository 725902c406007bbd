"""Tests of the class shares: the greedy solve is compared with a brute-force search."""

from __future__ import annotations

from itertools import product

import pytest

from loadbalancer.core import (
    Effect,
    Outcome,
    RequestClass,
    Settings,
)
from loadbalancer.core.balancing import class_weights
from loadbalancer.core.balancing.class_weights import (
    MAX_RESPONSE_TIME_OBJECTIVES,
    ClassTraffic,
    predict,
    solve,
    utility,
)
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from tests.recording_host import build


def expected_utility(traffic: ClassTraffic, share: int) -> float:
    rate, mean, old, objective, weight = traffic
    if rate <= 0 or mean <= 0:
        return 1.0
    t = predict(rate, mean, max(old, 1.0), share)
    if t == float("inf"):
        return -weight * (MAX_RESPONSE_TIME_OBJECTIVES - 1.0) - weight * rate * objective / share
    return utility(objective, t, weight)


def best_min_utility(total: int, traffic_by_class: list[ClassTraffic]) -> float:
    n = len(traffic_by_class)
    return max(
        min(expected_utility(f, s) for f, s in zip(traffic_by_class, shares, strict=True))
        for shares in product(range(1, total - n + 2), repeat=n)
        if sum(shares) == total
    )


CASES: list[list[ClassTraffic]] = [
    [ClassTraffic(20, 0.1, 4, 0.2, 1), ClassTraffic(20, 0.1, 4, 0.2, 1)],
    [
        ClassTraffic(50, 0.4, 3, 0.2, 1),
        ClassTraffic(20, 0.1, 6, 0.5, 5),
        ClassTraffic(5, 0.05, 2, 0.1, 1),
    ],
    [ClassTraffic(500, 0.9, 6, 0.2, 1), ClassTraffic(400, 0.9, 3, 0.2, 10)],
    [ClassTraffic(0, 0, 3, 0.2, 1), ClassTraffic(30, 0.3, 4, 0.2, 2)],
    [ClassTraffic(0, 0.1, 3, 0.2, 1), ClassTraffic(0, 0, 4, 0.2, 2)],
]


@pytest.mark.parametrize("traffic_by_class", CASES)
@pytest.mark.parametrize("total", [3, 5, 9, 12])
def test_the_greedy_solve_is_max_min_optimal(
    traffic_by_class: list[ClassTraffic], total: int
) -> None:
    shares = solve(total, traffic_by_class)
    assert sum(shares) == total
    assert min(shares) >= 1
    min_utility = min(expected_utility(f, s) for f, s in zip(traffic_by_class, shares, strict=True))
    assert min_utility == pytest.approx(best_min_utility(total, traffic_by_class))


def test_with_too_few_slots_each_class_gets_one() -> None:
    assert solve(2, CASES[1]) == [1, 1, 1]


def test_under_overload_shares_follow_the_priority_weights() -> None:
    high_priority = RequestClass(
        "high_priority", 200 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=10.0
    )
    low_priority = RequestClass(
        "low_priority", 200 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=1.0
    )
    balancer, host = build(Settings(classes=(high_priority, low_priority)), count=6)
    for k in range(12):
        now = (k + 1) * SECOND // 2
        for i in range(60):
            balancer.on_request(now, 1000 * k + i, i % 2, SECOND)
        for c in host.named("send"):
            balancer.on_outcome(now + 100 * MS, int(str(c[1])), 0, Outcome.OK, 100 * MS, True)
        balancer.on_timer(now + 190 * MS, Timer.WAKE)
        host.calls.clear()
        balancer.on_timer(now + 200 * MS, Timer.CYCLE)
    assert balancer.classes[0].share > 2 * balancer.classes[1].share


def test_a_class_with_many_rejections_gets_a_much_larger_share() -> None:
    """Equation 8 assumes that all arrivals are served: for a class that is mostly rejected it would
    predict that one more slot is enough.
    """
    low_priority = RequestClass(
        "low_priority", 800 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=1.0
    )
    high_priority = RequestClass(
        "high_priority", 750 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=5.0
    )
    balancer, host = build(Settings(classes=(low_priority, high_priority)), count=40)
    for c, share in zip(balancer.classes, (157, 2), strict=True):
        c.share, c.share_sum, c.cycles = share, share * 6.0, 6.0
    for _ in range(3):
        for c, arrived, served in zip(balancer.classes, (195, 120), (120, 4), strict=True):
            c.arrivals += arrived
            c.served += served
            c.response_time += served * 400.0 * MS
            c.rejected += arrived - served
        class_weights.update(balancer.state)
    assert balancer.classes[1].share > 20

"""The greedy solve against brute force, and the curve it climbs."""

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
    MAX_OBJECTIVES,
    ClassTraffic,
    predict,
    solve,
    utility,
)
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from tests.recording_host import build


def stand(flow: ClassTraffic, share: int) -> float:
    rate, mean, old, objective, weight = flow
    if rate <= 0 or mean <= 0:
        return 1.0
    t = predict(rate, mean, max(old, 1.0), share)
    if t == float("inf"):
        return -weight * (MAX_OBJECTIVES - 1.0) - weight * rate * objective / share
    return utility(objective, t, weight)


def best(total: int, flows: list[ClassTraffic]) -> float:
    n = len(flows)
    return max(
        min(stand(f, s) for f, s in zip(flows, shares, strict=True))
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


@pytest.mark.parametrize("flows", CASES)
@pytest.mark.parametrize("total", [3, 5, 9, 12])
def test_greedy_is_max_min(flows: list[ClassTraffic], total: int) -> None:
    shares = solve(total, flows)
    assert sum(shares) == total
    assert min(shares) >= 1
    got = min(stand(f, s) for f, s in zip(flows, shares, strict=True))
    assert got == pytest.approx(best(total, flows))


def test_too_few_slots_gives_each_class_one() -> None:
    assert solve(2, CASES[1]) == [1, 1, 1]


def test_priority_weights_move_shares_when_requests_are_rejected() -> None:
    rich = RequestClass("rich", 200 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=10.0)
    poor = RequestClass("poor", 200 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=1.0)
    balancer, host = build(Settings(classes=(rich, poor)), count=6)
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


def test_a_class_rejected_at_a_small_share_gets_a_larger_one() -> None:
    """Equation 8 with a rejected class's mean predicts that one more slot cures it."""
    poor = RequestClass("poor", 800 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=1.0)
    rich = RequestClass("rich", 750 * MS, SECOND, Effect.SIDE_EFFECT, priority_weight=5.0)
    balancer, host = build(Settings(classes=(poor, rich)), count=40)
    for c, share in zip(balancer.classes, (157, 2), strict=True):
        c.share, c.share_sum, c.cycles = share, share * 6.0, 6.0
    for _ in range(3):
        for c, came, served in zip(balancer.classes, (195, 120), (120, 4), strict=True):
            c.arrivals += came
            c.served += served
            c.response_time += served * 400.0 * MS
            c.rejected += came - served
        class_weights.update(balancer.state)
    assert balancer.classes[1].share > 20

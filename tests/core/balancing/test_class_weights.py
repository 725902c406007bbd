"""The greedy solve against brute force, and the curve it climbs."""

from __future__ import annotations

from itertools import product

import pytest

from loadbalancer.core.balancing.class_weights import MAX_OBJECTIVES, Flow, predict, solve, utility


def stand(flow: Flow, share: int) -> float:
    rate, mean, old, aim, worth = flow
    if rate <= 0 or mean <= 0:
        return 1.0
    t = predict(rate, mean, max(old, 1.0), share)
    if t == float("inf"):
        return -worth * (MAX_OBJECTIVES - 1.0) - worth * rate * aim / share
    return utility(aim, t, worth)


def best(total: int, flows: list[Flow]) -> float:
    n = len(flows)
    return max(
        min(stand(f, s) for f, s in zip(flows, shares, strict=True))
        for shares in product(range(1, total - n + 2), repeat=n)
        if sum(shares) == total
    )


CASES: list[list[Flow]] = [
    [Flow(20, 0.1, 4, 0.2, 1), Flow(20, 0.1, 4, 0.2, 1)],
    [Flow(50, 0.4, 3, 0.2, 1), Flow(20, 0.1, 6, 0.5, 5), Flow(5, 0.05, 2, 0.1, 1)],
    [Flow(500, 0.9, 6, 0.2, 1), Flow(400, 0.9, 3, 0.2, 10)],
    [Flow(0, 0, 3, 0.2, 1), Flow(30, 0.3, 4, 0.2, 2)],
    [Flow(0, 0.1, 3, 0.2, 1), Flow(0, 0, 4, 0.2, 2)],
]


@pytest.mark.parametrize("flows", CASES)
@pytest.mark.parametrize("total", [3, 5, 9, 12])
def test_greedy_is_max_min(flows: list[Flow], total: int) -> None:
    shares = solve(total, flows)
    assert sum(shares) == total
    assert min(shares) >= 1
    got = min(stand(f, s) for f, s in zip(flows, shares, strict=True))
    assert got == pytest.approx(best(total, flows))


def test_too_few_slots_gives_each_class_one() -> None:
    assert solve(2, CASES[1]) == [1, 1, 1]

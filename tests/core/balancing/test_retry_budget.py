"""Tests of how many retries the budgets allow."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from loadbalancer.core import (
    Outcome,
)
from loadbalancer.core.balancing import rotation
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.balancing.records import AttemptState
from loadbalancer.core.balancing.retry_budget import RetryBudget
from loadbalancer.core.routes.table import BudgetSpec
from tests.core.balancing.policy_harness import (
    LARGE_BUDGET,
    SAFE_POLICY,
    PolicyHarness,
)

FAILURES = [Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("route_budget", [None, BudgetSpec(1.0, 1000.0)])
def test_while_all_backends_fail_attempts_stay_within_the_node_budget(
    seed: int, route_budget: BudgetSpec | None
) -> None:
    """Holds for any number of requests and any route budget. After the outage the tokens that have
    accumulated allow no burst.
    """
    node = BudgetSpec(0.2, 2.0)
    harness = PolicyHarness(8, node)
    policy = replace(SAFE_POLICY, attempts=4, budget=route_budget)
    random = Random(seed)
    now = 0
    request_id = 0
    in_flight: list[tuple[int, int]] = []
    for _ in range(3000):
        now += random.randrange(1, 4 * MS)
        for _ in range(random.randrange(4)):
            request_id += 1
            harness.request(now, request_id, policy)
        for b in harness.balancer.endpoints.values():
            b.backoff_until = b.ejected_until = 0
            harness.balancer.state.ejected = 0
            rotation.update(harness.balancer.state, b)
        in_flight = [
            (r.id, i)
            for r in harness.balancer.state.requests.values()
            for i, a in enumerate(r.attempts)
            if a.state is not AttemptState.ENDED
        ]
        for open_id, attempt in in_flight:
            harness.end_attempt(now, open_id, attempt, random.choice(FAILURES), MS)
    sent = len(harness.host.named("send"))
    served = len({c[1] for c in harness.host.named("send")})
    assert served > 500
    assert sent - served <= 0.2 * request_id + 2.0 * now / SECOND + 2.0
    # After ten seconds without failures the accumulated tokens are at most one capacity.
    budget = harness.policies.node_budget
    paid = 0
    while budget.try_spend(now + 10 * SECOND):
        paid += 1
    assert paid <= node.floor + node.part * budget.active


def test_a_budgets_capacity_is_its_floor_plus_its_part_of_active_requests() -> None:
    budget = RetryBudget(BudgetSpec(0.5, 2.0), 0)
    budget.arrivals += 100  # requests that have already ended
    assert [budget.try_spend(0) for _ in range(3)] == [True, True, False]
    assert budget.try_spend(SECOND)
    assert budget.try_spend(SECOND)
    assert not budget.try_spend(SECOND)
    budget.active += 10
    budget.arrivals += 10
    assert sum(budget.try_spend(SECOND) for _ in range(20)) == 5


def test_a_route_without_budget_does_not_affect_other_routes() -> None:
    harness = PolicyHarness(8, BudgetSpec(0.2, 10.0))
    low_budget = replace(SAFE_POLICY, name="s/low_budget", budget=BudgetSpec(0.0, 1.0))
    for request_id, policy, sends in ((1, low_budget, 2), (2, low_budget, 1), (3, SAFE_POLICY, 2)):
        harness.request(0, request_id, policy)
        harness.end_attempt(0, request_id, 0, Outcome.ERROR)
        assert len(harness.sends(request_id)) == sends, request_id
    assert harness.policies.node_budget.tokens > 7.9


def test_a_budget_survives_the_replacement_of_its_routes_policy() -> None:
    harness = PolicyHarness(8)
    policy = replace(SAFE_POLICY, budget=BudgetSpec(0.0, 1.0))
    harness.request(0, 1, policy)
    harness.end_attempt(0, 1, 0, Outcome.ERROR)
    assert len(harness.sends(1)) == 2  # all tokens of the floor are used
    harness.policies.replace(LARGE_BUDGET, {policy.name})
    harness.request(0, 2, replace(policy, budget=BudgetSpec(0.0, 1.0), attempts=3))
    harness.end_attempt(0, 2, 0, Outcome.ERROR)
    assert len(harness.sends(2)) == 1

"""How many further attempts the budgets allow."""

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
from tests.core.balancing.policy_fleet import (
    SAFE,
    WIDE,
    Fleet,
)

FAILS = [Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("granted", [None, BudgetSpec(1.0, 1000.0)])
def test_with_all_backends_failing_attempts_stay_within_the_nodes_budget(
    seed: int, granted: BudgetSpec | None
) -> None:
    """However many clients come and whatever a route grants; then it recovers without a jump."""
    node = BudgetSpec(0.2, 2.0)
    fleet = Fleet(8, node)
    policy = replace(SAFE, attempts=4, budget=granted)
    random = Random(seed)
    now = 0
    rid = 0
    out: list[tuple[int, int]] = []
    for _ in range(3000):
        now += random.randrange(1, 4 * MS)
        for _ in range(random.randrange(4)):
            rid += 1
            fleet.request(now, rid, policy)
        for b in fleet.balancer.endpoints.values():
            b.backoff_until = b.ejected_until = 0
            fleet.balancer.state.ejected = 0
            rotation.update(fleet.balancer.state, b)
        out = [
            (r.id, i)
            for r in fleet.balancer.state.requests.values()
            for i, a in enumerate(r.attempts)
            if a.state is not AttemptState.ENDED
        ]
        for one, attempt in out:
            fleet.end(now, one, attempt, random.choice(FAILS), MS)
    sent = len(fleet.host.named("send"))
    served = len({c[1] for c in fleet.host.named("send")})
    assert served > 500
    assert sent - served <= 0.2 * rid + 2.0 * now / SECOND + 2.0
    # Well again for ten seconds: what is saved up is no more than one floor.
    budget = fleet.policies.node_budget
    paid = 0
    while budget.try_spend(now + 10 * SECOND):
        paid += 1
    assert paid <= node.floor + node.part * budget.active


def test_a_budget_never_contains_more_than_its_part_of_the_active_and_the_floor() -> None:
    budget = RetryBudget(BudgetSpec(0.5, 2.0), 0)
    budget.arrivals += 100  # come and gone
    assert [budget.try_spend(0) for _ in range(3)] == [True, True, False]
    assert budget.try_spend(SECOND)
    assert budget.try_spend(SECOND)
    assert not budget.try_spend(SECOND)
    budget.active += 10
    budget.arrivals += 10
    assert sum(budget.try_spend(SECOND) for _ in range(20)) == 5


def test_a_route_out_of_budget_leaves_the_others_theirs() -> None:
    fleet = Fleet(8, BudgetSpec(0.2, 10.0))
    poor = replace(SAFE, name="s/poor", budget=BudgetSpec(0.0, 1.0))
    for rid, policy, sends in ((1, poor, 2), (2, poor, 1), (3, SAFE, 2)):
        fleet.request(0, rid, policy)
        fleet.end(0, rid, 0, Outcome.ERROR)
        assert len(fleet.sends(rid)) == sends, rid
    assert fleet.policies.node_budget.tokens > 7.9


def test_a_budget_survives_the_replacement_of_its_policy() -> None:
    fleet = Fleet(8)
    policy = replace(SAFE, budget=BudgetSpec(0.0, 1.0))
    fleet.request(0, 1, policy)
    fleet.end(0, 1, 0, Outcome.ERROR)
    assert len(fleet.sends(1)) == 2  # the whole floor is spent
    fleet.policies.replace(WIDE, {policy.name})
    fleet.request(0, 2, replace(policy, budget=BudgetSpec(0.0, 1.0), attempts=3))
    fleet.end(0, 2, 0, Outcome.ERROR)
    assert len(fleet.sends(2)) == 1

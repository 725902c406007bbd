"""State of a route under a policy, and of a request under it; `route_policies` decides."""

from __future__ import annotations

from loadbalancer.core.balancing.response_times import ResponseTimes
from loadbalancer.core.balancing.retry_budget import RetryBudget
from loadbalancer.core.routes.table import Condition, Policy


class RouteState:
    """Counts of one route and class; they outlast replacements of its policy."""

    __slots__ = (
        "budget", "budgets", "hedge_allowance", "node_budget", "policy", "response_times",
        "uses_early_timeout",
    )  # fmt: skip

    def __init__(self, policy: Policy, node: RetryBudget, now: int) -> None:
        self.node_budget = node
        self.budget: RetryBudget | None = None
        self.hedge_allowance = 0.0  # that may be sent now
        self.response_times = ResponseTimes()
        self.set_policy(policy, now)

    def set_policy(self, policy: Policy, now: int) -> None:
        """Use another policy from now on; the counts stay."""
        self.policy = policy
        # An early timeout only makes sense where the policy retries time-outs.
        retried = policy.retry_on is None or Condition.TIMEOUT in policy.retry_on
        self.uses_early_timeout = retried and not policy.attempt_timeout
        if policy.budget is None:
            self.budget = None
        elif self.budget is None:
            self.budget = RetryBudget(policy.budget, now)
        else:
            self.budget.spec = policy.budget
        self.budgets = (
            (self.node_budget,) if self.budget is None else (self.node_budget, self.budget)
        )


class RequestPolicyState:
    """One request's policy, and the budgets that count it as active until it ends."""

    __slots__ = ("budgets", "due", "policy", "route")

    def __init__(self, policy: Policy, route: RouteState, budgets: tuple[RetryBudget, ...]) -> None:
        self.policy = policy
        self.route = route
        self.budgets = budgets
        self.due = 0  # when its back-off ends or its hedge is sent; 0 for none

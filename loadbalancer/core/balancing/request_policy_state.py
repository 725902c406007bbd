"""State of routes that have a policy, and of their requests; used by `route_policies`."""

from __future__ import annotations

from loadbalancer.core.balancing.response_times import ResponseTimes
from loadbalancer.core.balancing.retry_budget import RetryBudget
from loadbalancer.core.routes.table import Condition, Policy


class RouteState:
    """Counters of one route and class; they survive a replacement of its policy."""

    __slots__ = (
        "budget", "budgets", "hedge_allowance", "node_budget", "policy", "response_times",
        "uses_early_timeout",
    )  # fmt: skip

    def __init__(self, policy: Policy, node: RetryBudget, now: int) -> None:
        self.node_budget = node
        self.budget: RetryBudget | None = None
        self.hedge_allowance = 0.0  # how many hedges may be sent now
        self.response_times = ResponseTimes()
        self.set_policy(policy, now)

    def set_policy(self, policy: Policy, now: int) -> None:
        """Use another policy from now on; the counters are kept."""
        self.policy = policy
        # An early timeout is only useful if the policy retries time-outs.
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
    """A request's policy, and the budgets that count the request as active until it ends."""

    __slots__ = ("budgets", "due", "policy", "route")

    def __init__(self, policy: Policy, route: RouteState, budgets: tuple[RetryBudget, ...]) -> None:
        self.policy = policy
        self.route = route
        self.budgets = budgets
        self.due = 0  # when its back-off ends or its hedge is to be sent; 0: neither

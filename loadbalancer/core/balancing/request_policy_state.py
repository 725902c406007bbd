"""What is kept for a route's policy and for a request under it; `route_policies` decides."""

from __future__ import annotations

from loadbalancer.core.balancing.answer_times import AnswerTimes
from loadbalancer.core.balancing.retry_budget import RetryBudget
from loadbalancer.core.routes.table import Condition, Policy


class RouteState:
    """What is counted for one route and class, however often its policy is replaced."""

    __slots__ = ("answers", "budget", "budgets", "hedges", "node", "ends_early", "policy")

    def __init__(self, policy: Policy, node: RetryBudget, now: int) -> None:
        self.node = node
        self.budget: RetryBudget | None = None
        self.hedges = 0.0  # that may be sent now
        self.answers = AnswerTimes()
        self.follow(policy, now)

    def follow(self, policy: Policy, now: int) -> None:
        """Take a policy's figures over; what is counted stays."""
        self.policy = policy
        # Ended early, a request whose time-outs are not tried again would only be lost.
        retried = policy.retry_on is None or Condition.TIMEOUT in policy.retry_on
        self.ends_early = retried and not policy.attempt_timeout
        if policy.budget is None:
            self.budget = None
        elif self.budget is None:
            self.budget = RetryBudget(policy.budget, now)
        else:
            self.budget.spec = policy.budget
        self.budgets = (self.node,) if self.budget is None else (self.node, self.budget)


class RequestPolicyState:
    """One request's policy, and the budgets that it counts in to its end."""

    __slots__ = ("budgets", "due", "policy", "state")

    def __init__(self, policy: Policy, state: RouteState, budgets: tuple[RetryBudget, ...]) -> None:
        self.policy = policy
        self.state = state
        self.budgets = budgets
        self.due = 0  # when its back-off ends or its hedge is sent; 0 for none

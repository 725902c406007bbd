"""State of a route under a policy, and of a request under it; `route_policies` decides."""

from __future__ import annotations

from loadbalancer.core.balancing.answer_times import AnswerTimes
from loadbalancer.core.balancing.retry_budget import RetryBudget
from loadbalancer.core.routes.table import Condition, Policy


class RouteState:
    """Counts of one route and class; they outlast replacements of its policy."""

    __slots__ = ("answers", "budget", "budgets", "hedges", "node", "ends_early", "policy")

    def __init__(self, policy: Policy, node: RetryBudget, now: int) -> None:
        self.node = node
        self.budget: RetryBudget | None = None
        self.hedges = 0.0  # that may be sent now
        self.answers = AnswerTimes()
        self.follow(policy, now)

    def follow(self, policy: Policy, now: int) -> None:
        """Use another policy from now on; the counts stay."""
        self.policy = policy
        # An early timeout only makes sense where the policy retries time-outs.
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
    """One request's policy, and the budgets that count it as active until it ends."""

    __slots__ = ("budgets", "due", "policy", "state")

    def __init__(self, policy: Policy, state: RouteState, budgets: tuple[RetryBudget, ...]) -> None:
        self.policy = policy
        self.state = state
        self.budgets = budgets
        self.due = 0  # when its back-off ends or its hedge is sent; 0 for none

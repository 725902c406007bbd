"""A Balancer with route policies, for tests of retries, hedges and retry budgets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from loadbalancer.core import (
    Balancer,
    Effect,
    Outcome,
    RequestClass,
    Settings,
    Update,
)
from loadbalancer.core.balancing.model import MS, Timer
from loadbalancer.core.balancing.route_policies import RoutePolicies
from loadbalancer.core.routes.table import NEVER_RAN, BudgetSpec, HedgingSpec, Policy
from tests.recording_host import Host, rows

BALANCE = RequestClass("balance", 800 * MS, 2000 * MS)
CREDIT = RequestClass("credit", 800 * MS, 3000 * MS, Effect.SIDE_EFFECT)
SETTINGS = Settings(classes=(BALANCE, CREDIT), max_attempts=4, hedging=True, can_cancel=True)
LARGE_BUDGET = BudgetSpec(1.0, 1000.0)
SAFE_POLICY = Policy("s/balance", "balance", 0, Effect.PURE)
UNSAFE_POLICY = Policy("s/credit", "credit", 1, Effect.SIDE_EFFECT, retry_on=NEVER_RAN)
HEDGED_POLICY = replace(SAFE_POLICY, hedging=HedgingSpec(50 * MS, 0.0, 1.0))


class PolicyHarness:
    """A Balancer with route policies; its attempts stay in flight until a test ends them."""

    def __init__(
        self, count: int = 4, node: BudgetSpec = LARGE_BUDGET, settings: Settings = SETTINGS
    ) -> None:
        self.host = Host()
        self.balancer = Balancer(settings, 1, self.host)
        self.policies = RoutePolicies(self.balancer, 1, node, 0)
        self.balancer.set_policies(self.policies)
        self.balancer.start(0)
        self.balancer.on_members(0, Update.CACHED, rows(count))

    def request(
        self, now: int, request_id: int, policy: Policy, remaining: int = 2000 * MS
    ) -> None:
        self.balancer.on_request(now, request_id, policy.number, remaining, policy=policy)

    def sends(self, request_id: int) -> list[Any]:
        return [c for c in self.host.named("send") if c[1] == request_id]

    def end_attempt(
        self,
        now: int,
        request_id: int,
        attempt: int,
        outcome: Outcome,
        duration: int = 5 * MS,
        **more: Any,
    ) -> None:
        done = outcome == Outcome.OK
        self.balancer.on_outcome(now, request_id, attempt, outcome, duration, done, (), **more)

    def wake(self, now: int) -> None:
        self.balancer.on_timer(now, Timer.WAKE)

    def final_responses(self, request_id: int) -> int:
        return sum(c[0] in ("refuse", "fail") and c[1] == request_id for c in self.host.calls)

"""Further attempts and hedges under a route's policy.

Nothing here runs for requests without a policy. At each end of an attempt the Balancer
calls `retry_or_finish`, which decides whether and when another one is sent. The Balancer's own
rules take precedence: no second send of what may have executed, no more attempts than
the settings allow, none that can't end in time.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from loadbalancer.core.balancing import final_answer, hedging, retries
from loadbalancer.core.balancing.dispatch import send
from loadbalancer.core.balancing.endpoint_selection import pick, pick_for
from loadbalancer.core.balancing.model import Effect, Outcome
from loadbalancer.core.balancing.records import AttemptState, RequestState
from loadbalancer.core.balancing.request_policy_state import RequestPolicyState, RouteState
from loadbalancer.core.balancing.retry_budget import RetryBudget
from loadbalancer.core.routes.table import BudgetSpec, Policy, condition

if TYPE_CHECKING:
    from loadbalancer.core.balancing.balancer import Balancer
    from loadbalancer.core.balancing.records import Request

MAX_BACKOFF_DOUBLINGS = 30  # keeps the shifted integer small

OK, CANCELLED = Outcome.OK, Outcome.CANCELLED
ENDED = RequestState.ENDED


class RoutePolicies:
    """The policies' part in one Balancer; see `ports.Policies` for when each is called."""

    __slots__ = (
        "_random",
        "_routes",
        "_state",
        "hedges",
        "node_budget",
        "retries",
        "denied_by_budget",
    )

    def __init__(self, balancer: Balancer, seed: int, node: BudgetSpec, now: int) -> None:
        self._state = balancer.state
        self._random = Random(seed)
        self._routes: dict[tuple[str, str], RouteState] = {}
        self.node_budget = RetryBudget(node, now)
        self.retries = 0  # attempts granted after one that failed
        self.hedges = 0  # sent
        self.denied_by_budget = 0  # of either, not sent for want of budget

    def replace(self, node: BudgetSpec, names: set[str]) -> None:
        """Use a new routes file: its node budget, and only the routes in `names`.

        Open requests retain the policy and the budgets that they arrived with.
        """
        self.node_budget.spec = node
        self._routes = {key: state for key, state in self._routes.items() if key[0] in names}

    # ---- one request, in the order of the calls -----------------

    def apply_policy(self, now: int, request: Request, policy: Policy) -> None:
        """Apply a policy to a new request, which retains it to its end."""
        key = (policy.name, policy.cls)
        route = self._routes.get(key)
        if route is None:
            route = self._routes[key] = RouteState(policy, self.node_budget, now)
        elif route.policy is not policy:
            route.set_policy(policy, now)
        if policy.hedging is not None:
            route.hedge_allowance = hedging.allowance(
                policy.hedging, route.hedge_allowance, self.node_budget.active
            )
        for budget in route.budgets:
            budget.active += 1
            budget.arrivals += 1
        request.policy_state = RequestPolicyState(policy, route, route.budgets)
        _restrict(now, request, policy)

    def begin_attempt(
        self, now: int, request: Request, policy_state: RequestPolicyState, timeout: int
    ) -> tuple[int, bool]:
        """An attempt is sent: its timeout, and whether the early timeout of `retries` bounds it.

        It does not where the policy has an attempt timeout, nor where the policy does not
        retry time-outs.
        """
        policy, route = policy_state.policy, policy_state.route
        if policy.attempt_timeout and policy.attempt_timeout < timeout:
            timeout = policy.attempt_timeout
        first = not request.attempts
        if policy.hedging is not None and first and hedging.may_hedge(self._state, request):
            after = hedging.delay(policy.hedging, route.response_times)
            if 0 < after < timeout:
                policy_state.due = now + after
                self._state.wake(policy_state.due, request)
        return timeout, route.uses_early_timeout

    def attempt_ended(
        self,
        now: int,
        request: Request,
        policy_state: RequestPolicyState,
        number: int,
        outcome: int,
        duration: int,
    ) -> None:
        """Learn from an attempt's end, and cancel the other attempts of an answered request.

        Each cancelled attempt uses its slot until its own outcome.
        """
        if number == 0 and policy_state.policy.hedging and outcome in (OK, CANCELLED):
            policy_state.route.response_times.add(duration)
        if outcome == CANCELLED:
            endpoint = request.attempts[number].endpoint
            hedging.on_cancelled(self._state, now, request, endpoint, duration)
        elif request.state is ENDED and request.in_flight:
            self.cancel_others(request, number)

    def retry_or_finish(
        self,
        now: int,
        request: Request,
        policy_state: RequestPolicyState,
        outcome: int,
        connected: bool,
    ) -> None:
        """Retry after the back-off where the policy allows it, else give the final answer."""
        policy = policy_state.policy
        policy_state.due = 0
        delay = self._delay(policy, len(request.attempts))
        latency = int(request.request_class.latency)
        request.wait_until = min(request.objective_at, request.deadline) - latency
        granted = policy.retry_on is None or condition(outcome, connected) in policy.retry_on
        in_time = now + delay < request.wait_until and retries.may_resend(now, request)
        if not (granted and in_time and self._charge_budgets(now, policy_state)):
            final_answer.reject_or_fail(self._state, request)
            return
        self.retries += 1
        if delay:
            policy_state.due = now + delay
            self._state.wake(policy_state.due, request)
        else:
            retries.retry_or_finish(self._state, now, request, 0.0)

    def on_due(self, now: int, request: Request, policy_state: RequestPolicyState) -> None:
        """Retry after a back-off, or send a hedge that is due; a hedge only into a free slot."""
        policy_state.due = 0
        if request.state is ENDED:
            return
        if not request.in_flight:
            retries.retry_or_finish(self._state, now, request, 0.0)
        elif request.in_flight == 1 and hedging.may_hedge(self._state, request):
            self._hedge(now, request, policy_state)

    def cancel_others(self, request: Request, retained: int) -> None:
        """Cancel a request's open attempts but the one of this number."""
        for number, attempt in enumerate(request.attempts):
            if attempt.state is not AttemptState.ENDED and number != retained:
                self._state.actions.cancel(request.id, number)

    def request_ended(self, policy_state: RequestPolicyState) -> None:
        """The request is answered or its client has disconnected; called once for each."""
        for budget in policy_state.budgets:
            budget.active -= 1

    # ---- hedges, back-off and budgets ---------------------------------------------------------

    def _hedge(self, now: int, request: Request, policy_state: RequestPolicyState) -> None:
        """Send a hedge to another endpoint with a free slot, within the route's allowance.

        It takes no slot from queued requests, which are dispatched to free slots first.
        """
        state, route = self._state, policy_state.route
        if route.hedge_allowance < 1.0 or state.in_flight >= state.max_in_flight:
            return
        endpoint = pick(state, now)
        if endpoint is not None:
            endpoint = pick_for(state, now, request, endpoint)
        if endpoint is None or any(a.endpoint is endpoint for a in request.attempts):
            return
        if self._charge_budgets(now, policy_state):
            route.hedge_allowance -= 1
            self.hedges += 1
            send(state, now, request, endpoint)

    def _delay(self, policy: Policy, attempts: int) -> int:
        """The back-off after so many attempts, ns: full jitter under a doubling bound."""
        if not policy.backoff_base:
            return 0
        doubled = policy.backoff_base << min(attempts - 1, MAX_BACKOFF_DOUBLINGS)
        return self._random.randrange(min(doubled, policy.max_backoff) + 1)

    def _charge_budgets(self, now: int, policy_state: RequestPolicyState) -> bool:
        """Charge a further attempt to the node's budget and the route's, or to neither."""
        charged: list[RetryBudget] = []
        for budget in policy_state.budgets:
            if not budget.try_spend(now):
                for other in charged:
                    other.refund()
                self.denied_by_budget += 1
                return False
            charged.append(budget)
        return True


def _restrict(now: int, request: Request, policy: Policy) -> None:
    """A policy may narrow what its request's class allows, never widen it."""
    request.effect = max(request.effect, policy.effect)
    if policy.effect == Effect.TOKEN:
        request.scope = max(request.scope, policy.scope)
        window = request.repeat_window
        request.repeat_window = min(window, policy.window) if window else policy.window
    if policy.timeout:
        request.deadline = min(request.deadline, now + policy.timeout)
    if policy.wanted:
        request.objective_at = now + policy.wanted

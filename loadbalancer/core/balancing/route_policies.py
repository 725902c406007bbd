"""Retries and hedges of requests whose route has a policy.

Requests without a policy never get here. When the last attempt in flight has failed, the
Balancer calls `retry_or_finish`, which decides whether and when the request is retried. The
Balancer's own rules take precedence: a request that may have executed is not resent, the
settings' `max_attempts` is not exceeded, and a retry must be able to finish in time.
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
    """Applies route policies in one Balancer; `ports.Policies` says when each hook is called."""

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
        self.retries = 0  # retries that were allowed
        self.hedges = 0  # hedges that were sent
        self.denied_by_budget = 0  # retries and hedges not sent because a budget was used up

    def replace(self, node: BudgetSpec, names: set[str]) -> None:
        """Use a new routes file: its node budget, and only the routes in `names`.

        Open requests keep the policy and the budgets that they were admitted with.
        """
        self.node_budget.spec = node
        self._routes = {key: state for key, state in self._routes.items() if key[0] in names}

    # The hooks of `ports.Policies`, in the order in which a request reaches them.

    def apply_policy(self, now: int, request: Request, policy: Policy) -> None:
        """Apply a policy to a new request, which keeps it until it ends."""
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
        """The timeout of an attempt about to be sent, and whether `retries` may shorten it.

        It may not if the policy has an attempt timeout or does not retry time-outs. Also
        schedules the hedge of a first attempt.
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
        """Record an attempt's duration, and cancel the other attempts of an answered request.

        Each cancelled attempt occupies its slot until its outcome is reported.
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
        """Retry after the back-off if the policy allows it, else give the final response."""
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
        """Retry after a back-off, or send a hedge that is due if a slot is free."""
        policy_state.due = 0
        if request.state is ENDED:
            return
        if not request.in_flight:
            retries.retry_or_finish(self._state, now, request, 0.0)
        elif request.in_flight == 1 and hedging.may_hedge(self._state, request):
            self._hedge(now, request, policy_state)

    def cancel_others(self, request: Request, retained: int) -> None:
        """Cancel all open attempts of a request except number `retained`."""
        for number, attempt in enumerate(request.attempts):
            if attempt.state is not AttemptState.ENDED and number != retained:
                self._state.actions.cancel(request.id, number)

    def request_ended(self, policy_state: RequestPolicyState) -> None:
        """Count a request as no longer active; called once, when it ends."""
        for budget in policy_state.budgets:
            budget.active -= 1

    def _hedge(self, now: int, request: Request, policy_state: RequestPolicyState) -> None:
        """Send a hedge to another endpoint with a free slot, within the route's allowance.

        It takes no slot from queued requests, as these are dispatched to free slots first.
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
        """The back-off after `attempts` attempts, ns: exponential, with full jitter."""
        if not policy.backoff_base:
            return 0
        doubled = policy.backoff_base << min(attempts - 1, MAX_BACKOFF_DOUBLINGS)
        return self._random.randrange(min(doubled, policy.max_backoff) + 1)

    def _charge_budgets(self, now: int, policy_state: RequestPolicyState) -> bool:
        """Charge one attempt to the node's budget and the route's, or to neither."""
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
    """Apply the policy's limits to a request.

    A policy may be stricter than the request's class about repeats, never more permissive.
    """
    request.effect = max(request.effect, policy.effect)
    if policy.effect == Effect.TOKEN:
        request.scope = max(request.scope, policy.scope)
        window = request.repeat_window
        request.repeat_window = min(window, policy.window) if window else policy.window
    if policy.timeout:
        request.deadline = min(request.deadline, now + policy.timeout)
    if policy.wanted:
        request.objective_at = now + policy.wanted

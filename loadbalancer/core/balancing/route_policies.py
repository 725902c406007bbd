"""Further attempts and second copies under a route's policy.

Beside the Balancer's ordinary path: nothing here runs for requests without a
policy. Free of I/O and clock; times are integer nanoseconds. The Balancer asks,
for each end of an attempt, whether and when another may go out, and still holds
its own rules over the answer (no second send of what may have run, most attempts
of the settings, no attempt that can't be in time).
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.balancer import FULL_REST_MAX
from loadbalancer.core.balancing.model import Effect, Outcome
from loadbalancer.core.balancing.request_policy_state import (
    COPY_BURST,
    Budget,
    RequestPolicyState,
    RouteState,
)
from loadbalancer.core.routes.table import BudgetSpec, Policy, condition

if TYPE_CHECKING:
    from loadbalancer.core.balancing.balancer import Balancer, Endpoint, Request

OK, CANCELLED = int(Outcome.OK), int(Outcome.CANCELLED)  # members of an enum cost a look-up


class RoutePolicies:
    """The policies' part in one Balancer, which calls it for requests that have one."""

    __slots__ = ("_balancer", "_random", "_states", "copies", "further", "node", "unpaid")

    def __init__(self, balancer: Balancer, seed: int, node: BudgetSpec, now: int) -> None:
        self._balancer = balancer
        self._random = Random(seed)
        self._states: dict[tuple[str, str], RouteState] = {}
        self.node = Budget(node, now)
        self.further = 0  # attempts granted after one that failed
        self.copies = 0  # second copies sent
        self.unpaid = 0  # of either, held back by a budget

    def replace(self, node: BudgetSpec, names: set[str]) -> None:
        """A new file: its node budget, and no memory of routes that it lacks.

        Requests keep the policy and the budgets they came with.
        """
        self.node.spec = node
        self._states = {k: s for k, s in self._states.items() if k[0] in names}

    # ---- a request's course, in the order of the calls -----------------

    def adopt(self, now: int, r: Request, policy: Policy) -> None:
        """A request has come under this policy, which stays its own to the end."""
        key = (policy.name, policy.cls)
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = RouteState(policy, self.node, now)
        elif state.policy is not policy:
            state.follow(policy, now)
        if policy.copy is not None:
            most = max(COPY_BURST, policy.copy.most * self.node.active)
            state.copies = min(state.copies + policy.copy.most, most)
        for budget in state.budgets:
            budget.active += 1
            budget.arrivals += 1
        r.policy_state = RequestPolicyState(policy, state, state.budgets)
        if policy.effect > r.effect:
            r.effect = policy.effect
        if policy.effect == Effect.TOKEN:
            r.scope = max(r.scope, policy.scope)
            r.repeat_window = (
                min(r.repeat_window, policy.window) if r.repeat_window else policy.window
            )
        if policy.timeout:
            r.deadline = min(r.deadline, now + policy.timeout)
        if policy.wanted:
            r.objective_at = now + policy.wanted

    def sending(
        self, now: int, r: Request, ticket: RequestPolicyState, limit: int
    ) -> tuple[int, bool]:
        """An attempt goes out: its time, and whether the usual patience holds for it.

        Patience does not where the route says how long an attempt may take, nor
        where time-outs are not tried again.
        """
        policy = ticket.policy
        if policy.attempt_timeout and policy.attempt_timeout < limit:
            limit = policy.attempt_timeout
        if policy.copy is not None and not r.attempts and self._may_copy(r):
            after = policy.copy.after or ticket.state.latencies.at(policy.copy.percentile)
            if 0 < after < limit:
                ticket.due = now + after
                self._balancer.remind(ticket.due, r)
        return limit, ticket.state.patient

    def attempt_ended(
        self,
        now: int,
        r: Request,
        ticket: RequestPolicyState,
        number: int,
        outcome: int,
        taken: int,
    ) -> None:
        """Learn from an attempt's end; what is still out for an answered request is cancelled.

        Each cancelled attempt holds its slot until its own outcome.
        """
        if number == 0 and ticket.policy.copy and outcome in (OK, CANCELLED):
            ticket.state.latencies.add(taken)
        if outcome == CANCELLED:
            self._outlived(now, r, r.attempts[number].endpoint, taken)
        elif r.ended and r.in_flight:
            self.cancel(r, 0)

    def again(
        self, now: int, r: Request, ticket: RequestPolicyState, outcome: int, connected: bool
    ) -> None:
        """A further attempt where the route grants it, after its back-off, or the answer."""
        balancer = self._balancer
        policy = ticket.policy
        ticket.due = 0
        delay = self._delay(policy, len(r.attempts))
        r.wait_until = min(r.objective_at, r.deadline) - int(r.request_class.latency)
        granted = policy.retry_on is None or condition(outcome, connected) in policy.retry_on
        fits = now + delay < r.wait_until and balancer.may_resend(now, r)
        if not (granted and fits and self._pay(now, ticket)):
            balancer.finish(r)
            return
        self.further += 1
        if delay:
            ticket.due = now + delay
            balancer.remind(ticket.due, r)
        else:
            balancer.again(now, r, 0.0)

    def come_due(self, now: int, r: Request, ticket: RequestPolicyState) -> None:
        """A back-off is over, or a second copy due: sent now or, with no room, not at all."""
        ticket.due = 0
        if r.ended:
            return
        if not r.in_flight:
            self._balancer.again(now, r, 0.0)
        elif r.in_flight == 1 and self._may_copy(r):
            self._copy(now, r, ticket)

    def cancel(self, r: Request, first: int) -> None:
        """Give up a request's open attempts from this one on."""
        for number, attempt in enumerate(r.attempts):
            if attempt.open and number >= first:
                self._balancer.actions.cancel(r.id, number)

    def ended(self, ticket: RequestPolicyState) -> None:
        """Its final answer is given, or its client gone; once a request."""
        for budget in ticket.budgets:
            budget.active -= 1

    # ---- parts ---------------------------------------------------------

    def _may_copy(self, r: Request) -> bool:
        balancer = self._balancer
        s = balancer.settings
        granted = s.hedging and s.can_cancel and r.effect == Effect.PURE
        return granted and not r.response_started and len(r.attempts) < balancer.most(r)

    def _copy(self, now: int, r: Request, ticket: RequestPolicyState) -> None:
        """To another backend with a free slot, within the route's part.

        Whoever waits has been offered every free slot before: a copy takes none from them.
        """
        balancer = self._balancer
        state = ticket.state
        if state.copies < 1.0 or balancer.in_flight >= balancer.total:
            return
        backend = balancer.pick(now)
        if backend is not None:
            backend = balancer.best_for(now, r, backend)
        if backend is None or any(a.endpoint is backend for a in r.attempts):
            return
        if self._pay(now, ticket):
            state.copies -= 1.0
            self.copies += 1
            balancer.send(now, r, backend)

    def _delay(self, policy: Policy, tries: int) -> int:
        """The back-off after `tries` attempts: full jitter under a doubling most."""
        if not policy.backoff_base:
            return 0
        most = min(policy.backoff_base << min(tries - 1, 30), policy.backoff_most)
        return self._random.randrange(most + 1)

    def _pay(self, now: int, ticket: RequestPolicyState) -> bool:
        """Charge a further attempt to the node's budget and the route's, or to neither."""
        paid: list[Budget] = []
        for budget in ticket.budgets:
            if not budget.take(now):
                for other in paid:
                    other.give_back()
                self.unpaid += 1
                return False
            paid.append(budget)
        return True

    def _outlived(self, now: int, r: Request, b: Endpoint, taken: int) -> None:
        """A second copy was faster: the loser's time so far is the least it would have had.

        Unlearned, a slow backend that always loses would look as it did at first. Nor
        does a cancel end its work at once: it rests for as long again as the attempt
        was out, or the next ones would queue behind work that nobody waits for (seen:
        answers of 250 ms from a server of 50). Costs a sound backend that loses by
        chance a rest of some mean latencies.
        """
        rest = min(taken, FULL_REST_MAX)
        b.backoff_until = max(b.backoff_until, now + rest)
        self._balancer.settle(b)
        self._balancer.remind(b.backoff_until, b)
        ratio = min(taken / r.request_class.latency, 10.0)
        if ratio > b.latency_ratio:
            b.latency_ratio += 0.2 * (ratio - b.latency_ratio)
            b.load_cost = max(b.load_cost, ratio)
            b.last_seen = now

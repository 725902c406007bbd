"""What a request under a route's policy holds: its policy, what the route has learned, budgets.

Free of I/O and clock; times are integer nanoseconds. Who grants what is in attempts.py.
"""

from __future__ import annotations

from bisect import bisect_left

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.routes.table import BudgetSpec, Condition, Policy

# Learned percentiles. Buckets grow by an eighth: a delay within 12% is near enough.
GROWTH = 1.125
SHORTEST = 100_000
BUCKETS = 110  # to 42 s
MEMORY = 2000  # answers, after which old ones count half
FEWEST = 50  # answers before a percentile is believed
REFRESH = 50  # answers between two look-ups
COPY_BURST = 2.0

EDGES = [int(SHORTEST * GROWTH**i) for i in range(BUCKETS)]


class Budget:
    """A token bucket of further attempts: a part of requests plus a floor a second.

    It holds at most the part of the requests that are active and the floor, so
    that attempts stay under 1 + part times requests (and the floor), and what is
    saved up in good times is no burst of retries in bad ones.
    """

    __slots__ = ("active", "arrivals", "at", "spec", "tokens")

    def __init__(self, spec: BudgetSpec, now: int) -> None:
        self.spec = spec
        self.active = 0  # counted by the host of the budget, up and down
        self.arrivals = 0  # since the last look: what comes is only counted, for speed
        self.at = now
        self.tokens = spec.floor

    def take(self, now: int) -> bool:
        """Whether one further attempt may go; if so it is paid for."""
        self._fill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def give_back(self) -> None:
        self.tokens += 1.0

    def _fill(self, now: int) -> None:
        part, floor = self.spec.part, self.spec.floor
        grown = self.tokens + part * self.arrivals + floor * (now - self.at) / SECOND
        self.tokens = min(grown, max(floor + part * self.active, 1.0))
        self.arrivals = 0
        self.at = now


class Latencies:
    """Answer times in growing buckets, old ones fading."""

    __slots__ = ("_counts", "_known", "_since", "_total")

    def __init__(self) -> None:
        self._counts = [0.0] * (BUCKETS + 1)
        self._total = 0.0
        self._since = 0
        self._known = 0

    def add(self, taken: int) -> None:
        self._counts[bisect_left(EDGES, taken)] += 1.0
        self._total += 1.0
        self._since += 1
        if self._total > MEMORY:
            self._counts = [n / 2 for n in self._counts]
            self._total /= 2

    def at(self, percentile: float) -> int:
        """The upper edge of the percentile's bucket, 0 while too few are known."""
        if self._total < FEWEST:
            return 0
        if self._since >= REFRESH or not self._known:
            self._since = 0
            self._known = self._look_up(percentile)
        return self._known

    def _look_up(self, percentile: float) -> int:
        left = self._total * percentile / 100.0
        for edge, n in zip(EDGES, self._counts, strict=False):
            left -= n
            if left <= 0:
                return edge
        return EDGES[-1]


class RouteState:
    """What is counted for one route and class, however often its policy is replaced."""

    __slots__ = ("budget", "budgets", "copies", "latencies", "node", "patient", "policy")

    def __init__(self, policy: Policy, node: Budget, now: int) -> None:
        self.node = node
        self.budget: Budget | None = None
        self.copies = 0.0  # second copies that may go now
        self.latencies = Latencies()
        self.follow(policy, now)

    def follow(self, policy: Policy, now: int) -> None:
        """Take a policy's figures over; what is counted stays."""
        self.policy = policy
        # Ended early, a request whose time-outs are not tried again would only be lost.
        retried = policy.retry_on is None or Condition.TIMEOUT in policy.retry_on
        self.patient = retried and not policy.attempt_timeout
        if policy.budget is None:
            self.budget = None
        elif self.budget is None:
            self.budget = Budget(policy.budget, now)
        else:
            self.budget.spec = policy.budget
        self.budgets = (self.node,) if self.budget is None else (self.node, self.budget)


class RequestPolicyState:
    """One request's hold on its policy and on the budgets it counts in."""

    __slots__ = ("budgets", "due", "policy", "state")

    def __init__(self, policy: Policy, state: RouteState, budgets: tuple[Budget, ...]) -> None:
        self.policy = policy
        self.state = state
        self.budgets = budgets
        self.due = 0  # when its back-off ends or its second copy goes

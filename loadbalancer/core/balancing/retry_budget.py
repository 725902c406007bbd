"""Limits the retries and hedges that route policies send.

A token bucket that earns `part` tokens per request and `floor` tokens per second. Its capacity
is `floor` plus `part` times the number of active requests. Attempts thus stay below 1 + `part`
times the number of requests (plus the floor), and tokens saved up in normal operation can't
cause a burst of retries in an outage.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.routes.table import BudgetSpec


class RetryBudget:
    """The retry budget of one route and class, or of the node."""

    __slots__ = ("active", "arrivals", "spec", "tokens", "updated")

    def __init__(self, spec: BudgetSpec, now: int) -> None:
        self.spec = spec
        self.active = 0  # open requests; maintained by RoutePolicies
        self.arrivals = 0  # requests since `updated`, which have not earned tokens yet
        self.updated = now
        self.tokens = spec.floor

    def try_spend(self, now: int) -> bool:
        """Charge one retry or hedge; returns whether there was a token for it."""
        self._earn(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return a token: the attempt is not sent after all."""
        self.tokens += 1.0

    def _earn(self, now: int) -> None:
        part, floor = self.spec.part, self.spec.floor
        earned = self.tokens + part * self.arrivals + floor * (now - self.updated) / SECOND
        self.tokens = min(earned, max(floor + part * self.active, 1.0))
        self.arrivals = 0
        self.updated = now

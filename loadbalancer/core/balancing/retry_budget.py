"""How many further attempts the routes' policies may send.

A token bucket: it earns `part` tokens a request and `floor` tokens a second, and contains
at most `floor` tokens and `part` times the active requests. So attempts stay below
1 + `part` times the requests (plus the floor), and tokens accumulated in normal
operation can't become a burst of retries in an outage.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.routes.table import BudgetSpec


class RetryBudget:
    """The tokens of one route and class, or of the node."""

    __slots__ = ("active", "arrivals", "spec", "tokens", "updated")

    def __init__(self, spec: BudgetSpec, now: int) -> None:
        self.spec = spec
        self.active = 0  # requests, counted up and down by the policies
        self.arrivals = 0  # requests since `updated`, for which no tokens were added yet
        self.updated = now
        self.tokens = spec.floor

    def try_spend(self, now: int) -> bool:
        """Whether one further attempt may be sent; if so it is charged."""
        self._earn(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Undo a charge: the attempt is not sent."""
        self.tokens += 1.0

    def _earn(self, now: int) -> None:
        part, floor = self.spec.part, self.spec.floor
        earned = self.tokens + part * self.arrivals + floor * (now - self.updated) / SECOND
        self.tokens = min(earned, max(floor + part * self.active, 1.0))
        self.arrivals = 0
        self.updated = now

"""What happens to the system, in events: rows and changes by day, by second, by node."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.scale.capacity.target import (
    CHANGE_ROWS,
    DAY_S,
    HOLDERS,
    HOUR_PART,
    HOUR_S,
    LARGEST,
    RESTART_ROWS,
    TENANT_SERVICES,
    Range,
    Target,
    ranged,
)

MICROSECONDS = 1e6
CYCLES_A_SECOND = 2  # of a Balancer


@dataclass(frozen=True, slots=True)
class Load:
    """The target's events and the parts that one holder of a few services has of its state."""

    target: Target

    @property
    def rows_a_second(self) -> Range:
        """Rows of the list that change, over an ordinary day."""
        return RESTART_ROWS.range * self.target.restarts_a_day / DAY_S

    @property
    def rows_a_second_at_worst(self) -> Range:
        """The same in the busiest minute of the busiest hour."""
        in_the_hour = RESTART_ROWS.range * self.target.restarts_a_day * HOUR_PART.range
        return in_the_hour / HOUR_S

    @property
    def changes_a_second(self) -> Range:
        """Changes of configuration, over an ordinary day."""
        return ranged(self.target.changes_a_day / DAY_S)

    @property
    def changes_a_second_at_worst(self) -> Range:
        """The same in the busiest hour."""
        return HOUR_PART.range * self.target.changes_a_day / HOUR_S

    @property
    def rows_in_an_hour(self) -> Range:
        """Rows and configuration rows that change in an hour, evenly spread or all at once."""
        rows = RESTART_ROWS.range * self.target.restarts_a_day
        return (rows + CHANGE_ROWS.range * self.target.changes_a_day) * HOUR_PART.range

    # ---- a node with its part ------------------------------------------------

    @property
    def services_a_node(self) -> Range:
        """Services that one node holds, where each has so many holders in every zone."""
        return HOLDERS.range * self.target.services / self.target.nodes_a_zone

    @property
    def backends_a_node(self) -> Range:
        """Backends that one node holds: those of its services in all zones."""
        return self.services_a_node * self.target.backends_a_service

    @property
    def routes_a_node(self) -> Range:
        """Routes that one node holds."""
        return self.services_a_node * self.target.routes_a_service

    @property
    def tenants_a_node(self) -> Range:
        """Tenants that one node holds, at most all of them."""
        each = self.target.tenants / self.target.services
        found = self.services_a_node * TENANT_SERVICES.range * each
        maximum = float(self.target.tenants)
        return Range(min(found.low, maximum), min(found.high, maximum))

    @property
    def subscribers(self) -> Range:
        """Nodes of all zones that hold one service."""
        return HOLDERS.range * self.target.zones

    @property
    def subscribers_of_the_largest(self) -> Range:
        """The same of the largest service, whose holders are as many as its part of requests."""
        part = LARGEST.range / self.target.backends
        wanted = part * self.target.nodes
        few = self.subscribers
        return Range(max(few.low, wanted.low), max(few.high, wanted.high))

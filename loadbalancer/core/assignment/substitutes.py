"""Substitutes for dead nodes of one zone: the first nodes of a service's order with capacity.

If most nodes of a zone are dead or full, walking the complete order would cost the size of the zone
for each service. So only the probed part of the order is walked (see `zones.Zone.probed`). The rest
of the order is computed only for the nodes that can still take the service's rate. These are kept
sorted by the rate that they can take. The result is the same as that of walking the complete order.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Collection, Iterable, Iterator

from loadbalancer.core.assignment.zones import Zone, ZoneLoads

# Upper bound on the rounding error of summed rates, relative to the largest rate of the zone.
ROUNDING = 1e-9


class Substitutes:
    """Chooses living nodes of one zone, and reserves their capacity in `loads`."""

    def __init__(self, zone: Zone, loads: ZoneLoads, living: Collection[str]) -> None:
        self._zone = zone
        self._loads = loads
        self._living = living
        self._available: _AvailableNodes | None = None  # created when probes are not sufficient

    def choose(self, service: str, count: int, rate: float, excluded: Collection[str]) -> list[str]:
        """Return the first `count` living nodes of the service's order with capacity for `rate`.

        Args:
            service: the service.
            count: how many nodes to choose; fewer are returned if no more have capacity.
            rate: the requests a second that each node takes.
            excluded: the nodes that hold the service already, or did so before they died.
        """
        if self._available is not None and self._available.count_with_rate(rate) <= count:
            candidates = [name for name in self._available.with_rate(rate) if name not in excluded]
            return self._reserve(candidates, count, rate)  # all are chosen, so order is irrelevant
        seen = set(excluded)
        chosen = self._reserve(self._probed(service, seen), count, rate)
        if len(chosen) < count:
            ranked = self._ranked(service, rate, seen)
            chosen += self._reserve(ranked, count - len(chosen), rate)
        return chosen

    def _probed(self, service: str, seen: set[str]) -> Iterator[str]:
        """Iterate over the living nodes among the probed ones, and add them to `seen`."""
        for name in self._zone.probed(service):
            if name in self._living and name not in seen:
                seen.add(name)
                yield name

    def _ranked(self, service: str, rate: float, seen: Collection[str]) -> list[str]:
        """Return the living nodes with capacity that come after the probed ones, in order."""
        if self._available is None:
            self._available = _AvailableNodes(self._zone, self._loads, self._living)
        candidates = [name for name in self._available.with_rate(rate) if name not in seen]
        return self._zone.ranked(service, candidates)

    def _reserve(self, names: Iterable[str], count: int, rate: float) -> list[str]:
        chosen = self._loads.reserve_first(names, count, rate)
        if self._available is not None:
            for name in chosen:
                self._available.update(name)
        return chosen


class _AvailableNodes:
    """The living nodes of a zone that can hold another service, sorted by the rate they can take.

    The rates are subject to rounding, so `with_rate` may include a node that can take slightly
    less. `ZoneLoads.reserve` makes the final check.
    """

    def __init__(self, zone: Zone, loads: ZoneLoads, living: Collection[str]) -> None:
        self._loads = loads
        self._rounding = ROUNDING * max(zone.rates.values())
        self._free_rates = {
            node.name: loads.free_rate(node.name)
            for node in zone.nodes
            if node.name in living and loads.has_slot(node.name)
        }
        self._sorted = sorted((rate, name) for name, rate in self._free_rates.items())

    def with_rate(self, rate: float) -> list[str]:
        """Return the nodes that can take `rate` additional requests a second."""
        return [name for _, name in self._sorted[self._first_with_rate(rate) :]]

    def count_with_rate(self, rate: float) -> int:
        """Return the number of nodes that `with_rate` would return, without listing them."""
        return len(self._sorted) - self._first_with_rate(rate)

    def update(self, name: str) -> None:
        """Update an available node after another service was assigned to it."""
        del self._sorted[bisect_left(self._sorted, (self._free_rates.pop(name), name))]
        if self._loads.has_slot(name):
            self._free_rates[name] = self._loads.free_rate(name)
            insort(self._sorted, (self._free_rates[name], name))

    def _first_with_rate(self, rate: float) -> int:
        return bisect_left(self._sorted, (rate - self._rounding, ""))

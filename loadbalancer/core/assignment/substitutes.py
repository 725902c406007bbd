"""Substitutes of lost nodes in one zone: the first nodes of a service's order with capacity.

A walk of the whole order costs the zone's size for each service once most of its nodes are dead or
full. So the walk ends after the probes (see `zones.Zone.probed`): the remaining order is ranked for
those nodes only that can still take the service's rate, and these are maintained in order of the
rate that they can take. The nodes that are chosen are the same as by a walk of the whole order.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Collection, Iterable, Iterator

from loadbalancer.core.assignment.zones import Zone, ZoneLoads

ROUNDING = 1e-9  # of the zone's largest rate: an upper bound on the rounding error of its sums


class Substitutes:
    """Chooses living nodes of one zone, and reserves in `loads` what they take."""

    def __init__(self, zone: Zone, loads: ZoneLoads, living: Collection[str]) -> None:
        self._zone = zone
        self._loads = loads
        self._living = living
        self._open: _OpenNodes | None = None  # made when the probes don't suffice

    def choose(self, service: str, count: int, rate: float, without: Collection[str]) -> list[str]:
        """The first `count` living nodes of the service's order that have capacity for `rate`.

        Fewer where no more have capacity. `rate` is in requests a second; `without` are the nodes
        that hold the service already, or did before they died.
        """
        if self._open is not None and self._open.count_able(rate) <= count:
            able = [name for name in self._open.able(rate) if name not in without]
            return self._reserve(able, count, rate)  # all are chosen, in whatever order
        seen = set(without)
        chosen = self._reserve(self._probed(service, seen), count, rate)
        if len(chosen) < count:
            ranked = self._ranked(service, rate, seen)
            chosen += self._reserve(ranked, count - len(chosen), rate)
        return chosen

    def _probed(self, service: str, seen: set[str]) -> Iterator[str]:
        """The living nodes among the probed; `seen` grows by those that it looks at."""
        for name in self._zone.probed(service):
            if name in self._living and name not in seen:
                seen.add(name)
                yield name

    def _ranked(self, service: str, rate: float, seen: Collection[str]) -> list[str]:
        """The living nodes after the probed ones, but for those without capacity."""
        if self._open is None:
            self._open = _OpenNodes(self._zone, self._loads, self._living)
        able = [name for name in self._open.able(rate) if name not in seen]
        return self._zone.ranked(service, able)

    def _reserve(self, names: Iterable[str], count: int, rate: float) -> list[str]:
        chosen = self._loads.reserve_first(names, count, rate)
        if self._open is not None:
            for name in chosen:
                self._open.update(name)
        return chosen


class _OpenNodes:
    """The living nodes of a zone that may hold one more service, sorted by the rate they can take.

    What a node can take is rounded, so `able` may name a node that can take slightly less:
    `ZoneLoads.reserve` decides.
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

    def able(self, rate: float) -> list[str]:
        """The nodes that can take this many requests a second more."""
        return [name for _, name in self._sorted[self._first_able(rate) :]]

    def count_able(self, rate: float) -> int:
        """How many nodes `able` names, at less cost."""
        return len(self._sorted) - self._first_able(rate)

    def update(self, name: str) -> None:
        """The node, which was open, has taken a service."""
        del self._sorted[bisect_left(self._sorted, (self._free_rates.pop(name), name))]
        if self._loads.has_slot(name):
            self._free_rates[name] = self._loads.free_rate(name)
            insort(self._sorted, (self._free_rates[name], name))

    def _first_able(self, rate: float) -> int:
        return bisect_left(self._sorted, (rate - self._rounding, ""))

"""The assignment for one set of living nodes: the base assignment, with dead nodes replaced."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from math import ceil

from loadbalancer.core.assignment.assignment import (
    Assignment,
    Constraint,
    UnmetConstraint,
    assignment_digest,
    service_digest,
)
from loadbalancer.core.assignment.base_assignment import BaseAssignment, all_holders
from loadbalancer.core.assignment.substitutes import Substitutes
from loadbalancer.core.assignment.zones import ZoneLoads


class Reassignment:
    """Replaces the dead nodes of a base assignment, which is not modified."""

    def __init__(self, base: BaseAssignment, living: Collection[str], dead: Sequence[str]) -> None:
        """Prepare the reassignment; each registered node is in either `living` or `dead`."""
        self._base = base
        self._living = living
        self._dead = dead
        dead_in_zone = dict.fromkeys(base.zones, 0)
        for name in dead:
            dead_in_zone[base.nodes[name].zone] += 1
        self._lost_zones = {
            zone.name for zone in base.zones.values() if dead_in_zone[zone.name] == len(zone.nodes)
        }
        self._substitutes = {
            name: Substitutes(zone, ZoneLoads(zone, base.loads[name]), living)
            for name, zone in base.zones.items()
        }

    def run(self) -> Assignment:
        """Compute the assignment; to be called once, as it reserves capacity of substitutes."""
        base = self._base
        affected = {service for name in self._dead for service in base.services_by_node[name]}
        holders = dict(base.holders)
        unmet = dict(base.unmet)
        digests = dict(base.digests)
        for service in sorted(affected, key=base.placement_ranks.__getitem__):
            by_zone, unmet[service] = self._reassign(service)
            holders[service] = all_holders(by_zone)
            digests[service] = service_digest(service, holders[service])
        services_by_node = self._services_by_node(affected, holders)
        all_unmet = tuple(constraint for name in base.services for constraint in unmet[name])
        digest = assignment_digest(digests.values())
        return Assignment(holders, services_by_node, all_unmet, digest)

    def _reassign(
        self, service: str
    ) -> tuple[dict[str, tuple[str, ...]], tuple[UnmetConstraint, ...]]:
        """Return the service's holders by zone, and its unmet constraints."""
        unmet = list(self._base.unmet[service])
        by_zone: dict[str, tuple[str, ...]] = {}
        for zone, before in self._base.holders_by_zone[service].items():
            by_zone[zone] = self._holders_in_zone(service, zone, before)
            if len(by_zone[zone]) < self._required_holders(service, before):
                too_few = len(by_zone[zone]) < self._base.rules.min_per_zone
                constraint = Constraint.MINIMUM if too_few else Constraint.CAPACITY
                unmet.append(UnmetConstraint(service, zone, constraint))
        if not any(by_zone.values()):
            by_zone = self._holders_in_other_zones(service)
            constraint = Constraint.ZONES if any(by_zone.values()) else Constraint.NO_NODE
            unmet.append(UnmetConstraint(service, "", constraint))
        return by_zone, tuple(dict.fromkeys(unmet))

    def _holders_in_zone(self, service: str, zone: str, before: tuple[str, ...]) -> tuple[str, ...]:
        """Return the holders in one of the service's zones; the base assignment has `before`."""
        holders = [name for name in before if name in self._living]
        missing = len(before) - len(holders)
        on_all_nodes = len(before) == len(self._base.zones[zone].nodes)
        if not missing or on_all_nodes or zone in self._lost_zones:
            return tuple(holders)
        rate = self._base.demands[service].rate[zone]
        holders += self._substitutes[zone].choose(service, missing, rate, frozenset(before))
        return tuple(sorted(holders))

    def _required_holders(self, service: str, before: Collection[str]) -> int:
        """Return how many holders a zone needs so that no constraint is unmet.

        If all nodes of a zone hold the service, there is no substitute for a dead one, so the
        minimum of the rules is sufficient.
        """
        if service in self._base.rules.on_every_node:
            return min(len(before), self._base.rules.min_per_zone)
        return len(before)

    def _holders_in_other_zones(self, service: str) -> dict[str, tuple[str, ...]]:
        """Return holders in the zones of the service's home region, or else in all zones.

        Zones without a living node are left out.
        """
        base = self._base
        demand = base.demands[service]
        home = base.services[service].region
        living = [zone for name, zone in base.zones.items() if name not in self._lost_zones]
        zones = [zone for zone in living if zone.region == home] or living
        count = ceil(sum(demand.holders.values()) / max(len(zones), 1))
        rate = max(demand.rate.values())
        return {
            zone.name: tuple(sorted(self._substitutes[zone.name].choose(service, count, rate, ())))
            for zone in zones
        }

    def _services_by_node(
        self, affected: Collection[str], holders: Mapping[str, tuple[str, ...]]
    ) -> dict[str, tuple[str, ...]]:
        services_by_node = dict(self._base.services_by_node)
        changed: dict[str, set[str]] = {name: set() for name in self._dead}
        for service in affected:
            before = frozenset(self._base.holders[service])
            for name in holders[service]:
                if name not in before:
                    changed.setdefault(name, set(services_by_node[name])).add(service)
        for name, services in changed.items():
            services_by_node[name] = tuple(sorted(services))
        return services_by_node

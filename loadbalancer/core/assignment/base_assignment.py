"""The assignment while every registered node lives; `reassignment` starts from it."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from math import ceil

from loadbalancer.core.assignment.assignment import (
    Constraint,
    UnmetConstraint,
    service_digest,
)
from loadbalancer.core.assignment.model import NodeSpec, ServiceSpec
from loadbalancer.core.assignment.rules import AssignmentRules
from loadbalancer.core.assignment.zones import Zone, ZoneLoads, hash64, zones_of


class BaseAssignment:
    """Every service's holders while all nodes live, with what they take of each node.

    Read by `Reassignment`, which copies what it changes. Mappings by service are in the order of
    the services' names, mappings by node in that of the nodes'.
    """

    def __init__(
        self,
        nodes: Mapping[str, NodeSpec],
        services: Sequence[ServiceSpec],
        rules: AssignmentRules,
    ) -> None:
        """`nodes` are sorted by name; both tables have passed `validation`."""
        self.rules = rules
        self.nodes = nodes
        self.services = {spec.name: spec for spec in sorted(services, key=lambda spec: spec.name)}
        self.zones = zones_of(nodes.values(), rules.node_rate)
        self.demands = {spec.name: _demand(spec, self.zones, rules) for spec in services}
        self.loads = {name: ZoneLoads(zone) for name, zone in self.zones.items()}
        order = sorted(services, key=lambda spec: _placement_key(spec, rules.on_every_node))
        self.place_in_order = {spec.name: place for place, spec in enumerate(order)}
        self.holders_by_zone: dict[str, dict[str, tuple[str, ...]]] = {}
        self.unmet: dict[str, tuple[UnmetConstraint, ...]] = {}
        self._place_all(order)
        self.holders = {name: flat(self.holders_by_zone[name]) for name in self.services}
        self.digests = {
            name: service_digest(name, holders) for name, holders in self.holders.items()
        }
        self.services_by_node = self._services_by_node()

    def _place_all(self, order: Sequence[ServiceSpec]) -> None:
        for name, load in self.loads.items():
            holders = sum(demand.holders.get(name, 0) for demand in self.demands.values())
            load.limit_by_mean(holders, self.rules.load_factor)
        for spec in order:
            self._place(spec.name, self.demands[spec.name])
        for load in self.loads.values():
            load.limit_by_capacity()

    def _place(self, service: str, demand: ServiceDemand) -> None:
        unmet = list(demand.unmet)
        by_zone: dict[str, tuple[str, ...]] = {}
        for zone, wanted in demand.holders.items():
            order = self.zones[zone].order(service)
            chosen = self.loads[zone].reserve_first(order, wanted, demand.rate[zone])
            by_zone[zone] = tuple(sorted(chosen))
            if len(chosen) < wanted:
                too_few = len(chosen) < self.rules.min_per_zone
                constraint = Constraint.MINIMUM if too_few else Constraint.RATE
                unmet.append(UnmetConstraint(service, zone, constraint))
        self.holders_by_zone[service] = by_zone
        self.unmet[service] = tuple(unmet)

    def _services_by_node(self) -> dict[str, tuple[str, ...]]:
        services: dict[str, list[str]] = {name: [] for name in self.nodes}
        for service, names in self.holders.items():
            for name in names:
                services[name].append(service)
        return {name: tuple(found) for name, found in services.items()}


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """How many nodes of each zone hold a service, and what each takes of its rate."""

    holders: Mapping[str, int]  # by zone
    rate: Mapping[str, float]  # requests a second of one holder once another zone is lost, by zone
    unmet: tuple[UnmetConstraint, ...]


def flat(by_zone: Mapping[str, tuple[str, ...]]) -> tuple[str, ...]:
    """The holders of all zones, sorted."""
    return tuple(sorted(name for names in by_zone.values() for name in names))


def _demand(spec: ServiceSpec, zones: Mapping[str, Zone], rules: AssignmentRules) -> ServiceDemand:
    rate_once_a_zone_is_lost = spec.rate / max(len(spec.zones) - 1, 1)
    holders: dict[str, int] = {}
    rate: dict[str, float] = {}
    unmet: list[UnmetConstraint] = []
    for name in sorted(spec.zones):
        zone = zones[name]
        node_rate = zone.min_rate
        for_rate = ceil(rate_once_a_zone_is_lost / (node_rate * rules.max_share))
        needed = max(rules.min_per_zone, for_rate)
        on_every_node = spec.name in rules.on_every_node
        holders[name] = len(zone.nodes) if on_every_node else min(needed, len(zone.nodes))
        rate[name] = min(rate_once_a_zone_is_lost / holders[name], node_rate)
        if rate_once_a_zone_is_lost > node_rate * holders[name]:
            unmet.append(UnmetConstraint(spec.name, name, Constraint.RATE))
        if holders[name] < rules.min_per_zone:
            unmet.append(UnmetConstraint(spec.name, name, Constraint.MINIMUM))
    max_sharers = rules.max_sharers_by_service.get(spec.name, rules.max_sharers)
    if sum(holders.values()) > max_sharers:
        unmet.append(UnmetConstraint(spec.name, "", Constraint.CONNECTIONS))
    return ServiceDemand(holders, rate, tuple(unmet))


def _placement_key(spec: ServiceSpec, on_every_node: Collection[str]) -> tuple[bool, int, int, str]:
    """Sort services that all nodes hold first, then large ones, as they are the hardest to place.

    Sizes are compared by powers of two, so that a small change of a rate keeps the order.
    """
    size = -int(spec.rate).bit_length()
    # "deal" is the salt of this hash; another would change every assignment.
    return spec.name not in on_every_node, size, hash64(f"deal\0{spec.name}"), spec.name

"""The assignment if every registered node is alive; `reassignment` starts from it."""

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
    """Every service's holders if all nodes are alive, and the load that this puts on each node.

    `Reassignment` reads it, and copies what it changes. Mappings by service are ordered by service
    name, mappings by node are ordered by node name.
    """

    def __init__(
        self,
        nodes: Mapping[str, NodeSpec],
        services: Sequence[ServiceSpec],
        rules: AssignmentRules,
    ) -> None:
        """Compute the assignment; `nodes` are sorted by name, and both tables are validated."""
        self.rules = rules
        self.nodes = nodes
        self.services = {spec.name: spec for spec in sorted(services, key=lambda spec: spec.name)}
        self.zones = zones_of(nodes.values(), rules.node_rate)
        self.demands = {spec.name: _demand_of(spec, self.zones, rules) for spec in services}
        self.loads = {name: ZoneLoads(zone) for name, zone in self.zones.items()}
        order = sorted(services, key=lambda spec: _placement_key(spec, rules.on_every_node))
        self.placement_ranks = {spec.name: rank for rank, spec in enumerate(order)}
        self.holders_by_zone: dict[str, dict[str, tuple[str, ...]]] = {}
        self.unmet: dict[str, tuple[UnmetConstraint, ...]] = {}
        self._place_all(order)
        self.holders = {name: all_holders(self.holders_by_zone[name]) for name in self.services}
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
        for zone, needed in demand.holders.items():
            order = self.zones[zone].order(service)
            chosen = self.loads[zone].reserve_first(order, needed, demand.rate[zone])
            by_zone[zone] = tuple(sorted(chosen))
            if len(chosen) < needed:
                too_few = len(chosen) < self.rules.min_per_zone
                constraint = Constraint.MINIMUM if too_few else Constraint.RATE
                unmet.append(UnmetConstraint(service, zone, constraint))
        self.holders_by_zone[service] = by_zone
        self.unmet[service] = tuple(unmet)

    def _services_by_node(self) -> dict[str, tuple[str, ...]]:
        services: dict[str, list[str]] = {node: [] for node in self.nodes}
        for service, nodes in self.holders.items():
            for node in nodes:
                services[node].append(service)
        return {node: tuple(assigned) for node, assigned in services.items()}


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """How many holders a service needs in each zone, and the rate that each of them takes."""

    holders: Mapping[str, int]  # by zone
    rate: Mapping[str, float]  # requests a second of one holder if another zone is lost, by zone
    unmet: tuple[UnmetConstraint, ...]


def all_holders(by_zone: Mapping[str, tuple[str, ...]]) -> tuple[str, ...]:
    """Return the holders of all zones, sorted by name."""
    return tuple(sorted(name for names in by_zone.values() for name in names))


def _demand_of(
    spec: ServiceSpec, zones: Mapping[str, Zone], rules: AssignmentRules
) -> ServiceDemand:
    rate_after_zone_loss = spec.rate / max(len(spec.zones) - 1, 1)
    holders: dict[str, int] = {}
    rate: dict[str, float] = {}
    unmet: list[UnmetConstraint] = []
    for name in sorted(spec.zones):
        zone = zones[name]
        node_rate = zone.min_rate
        needed_for_rate = ceil(rate_after_zone_loss / (node_rate * rules.max_share))
        needed = max(rules.min_per_zone, needed_for_rate)
        on_every_node = spec.name in rules.on_every_node
        holders[name] = len(zone.nodes) if on_every_node else min(needed, len(zone.nodes))
        rate[name] = min(rate_after_zone_loss / holders[name], node_rate)
        if rate_after_zone_loss > node_rate * holders[name]:
            unmet.append(UnmetConstraint(spec.name, name, Constraint.RATE))
        if holders[name] < rules.min_per_zone:
            unmet.append(UnmetConstraint(spec.name, name, Constraint.MINIMUM))
    max_sharers = rules.max_sharers_by_service.get(spec.name, rules.max_sharers)
    if sum(holders.values()) > max_sharers:
        unmet.append(UnmetConstraint(spec.name, "", Constraint.CONNECTIONS))
    return ServiceDemand(holders, rate, tuple(unmet))


def _placement_key(spec: ServiceSpec, on_every_node: Collection[str]) -> tuple[bool, int, int, str]:
    """Return a sort key that puts services held by all nodes first, then those with a high rate.

    Services with a high rate are the hardest to place. Rates are compared by powers of two, so that
    a small change of a rate does not change the order.
    """
    size = -int(spec.rate).bit_length()
    # "deal" is the salt of this hash; another salt would change every assignment.
    return spec.name not in on_every_node, size, hash64(f"deal\0{spec.name}"), spec.name

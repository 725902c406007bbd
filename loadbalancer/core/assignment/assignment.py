"""Which nodes hold a service: a pure function of the nodes, the living ones and the services.

The base deal is over all registered nodes of a zone, whether they live or not. Each service has
in each zone a fixed order of its nodes: probes of a hash ring (multi-probe consistent hashing,
Appleton and O'Reilly 2015; each service's own probes make the sets of two services independent,
as in shuffle sharding, AWS Builders' Library), and after the probes all others by rendezvous
hashing (Thaler and Ravishankar 1998). The service goes to the first nodes of its order that have
room; room is bounded by the mean times `load_factor` (consistent hashing with bounded loads,
Mirrokni, Thorup and Zadimoghaddam 2018) and by what the node itself states.

A dead node's services, and these alone, go to the next living nodes of their own order that have
room, in the same zone. Nothing depends on the order in which nodes died: the assignment is made
from the base each time. So the loss of a node changes the holders only of services that it
held, and its return gives the earlier bytes. The exception: where a substitute is full because
of others' loss, the service that is later in the deal goes one further.

How many nodes of a zone hold a service: enough for the rate that the zone sees once any one
of the service's other zones is lost, so that a lost zone moves nothing: its share falls on
nodes that hold the service already. Only a service all of whose zones are lost is dealt to
another zone.

Alternatives are weighed in docs/design/scale.md.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from math import ceil
from typing import NamedTuple

from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec, ServiceSpec
from loadbalancer.core.assignment.substitutes import Substitutes
from loadbalancer.core.assignment.validation import check_nodes, check_services
from loadbalancer.core.assignment.zones import Loads, Zone, hash64, zones_of


@dataclass(frozen=True, slots=True)
class AssignmentRules:
    """What decides how many nodes hold a service, and how much of it one node takes.

    Raises:
        InvalidInputError: a figure is out of its range.
    """

    min_per_zone: int = 2  # holders in each zone that a service's clients come in
    max_sharers: int = 12  # nodes that share one service's backends: 15 connections, less room
    node_rate: float = 400.0  # requests a second that a node may take, where it states none
    load_factor: float = 1.25  # of the mean number of services a node, that one may hold
    max_share: float = 0.5  # of a node's rate, that one service may take
    max_sharers_by_service: Mapping[str, int] = field(default_factory=dict)
    on_every_node: frozenset[str] = frozenset()  # services that every node of their zones holds

    def __post_init__(self) -> None:
        if not 1 <= self.min_per_zone <= 64:
            raise InvalidInputError(
                f"rules: least_per_zone is {self.min_per_zone}, must be 1 to 64"
            )
        if not 1 <= self.max_sharers <= 20_000:
            raise InvalidInputError(
                f"rules: most_sharers is {self.max_sharers}, must be 1 to 20000"
            )
        if not 0 < self.node_rate <= 1e9:
            raise InvalidInputError(
                f"rules: node_rate is {self.node_rate}, must be over 0, up to 1e9"
            )
        if not 1 < self.load_factor <= 10:
            raise InvalidInputError(
                f"rules: load_factor is {self.load_factor}, must be over 1, up to 10"
            )
        if not 0 < self.max_share <= 1:
            raise InvalidInputError(
                f"rules: largest_share is {self.max_share}, must be over 0 to 1"
            )
        for service, most in self.max_sharers_by_service.items():
            if not 1 <= most <= 20_000:
                raise InvalidInputError(
                    f"rules: sharers of {service!r} is {most}, must be 1 to 20000"
                )


class Constraint(Enum):
    """What an assignment could not keep."""

    CONNECTIONS = "more nodes share the backends than their connections allow"
    RATE = "the zone has too few nodes for the rate"
    MINIMUM = "fewer nodes of the zone hold it than the least"
    CAPACITY = "its nodes are lost and no living node of the zone has room"
    ZONES = "no living node of its zones has room, other zones hold it"
    NO_NODE = "no living node has room"


class UnmetConstraint(NamedTuple):
    """A rule that is not kept for a service; `zone` is empty where it concerns all zones."""

    service: str
    zone: str
    constraint: Constraint


@dataclass(frozen=True, slots=True)
class Assignment:
    """Who holds what. `holders` names every service, `services_by_node` every registered node.

    `digest` is of a canonical form of `holders` (blake2b, 16 bytes as hex): two machines with the
    same digest have the same assignment.
    """

    holders: Mapping[str, tuple[str, ...]]
    services_by_node: Mapping[str, tuple[str, ...]]
    unmet: tuple[UnmetConstraint, ...]
    digest: str


def assign(
    nodes: Sequence[NodeSpec],
    alive: Collection[str],
    services: Sequence[ServiceSpec],
    rules: AssignmentRules,
) -> Assignment:
    """Assign services to nodes; see `Assigner`, which is cheaper for a second question.

    Raises:
        InvalidInputError: as `Assigner` and `Assigner.with_alive` do.
    """
    return Assigner(nodes, services, rules).with_alive(alive)


class Assigner:
    """The base deal, kept, and the assignment for any set of living nodes.

    Raises:
        InvalidInputError: the nodes or services can't be used (see `checks`).
    """

    def __init__(
        self, nodes: Sequence[NodeSpec], services: Sequence[ServiceSpec], rules: AssignmentRules
    ) -> None:
        check_nodes(nodes)
        check_services(services, nodes)
        self.rules = rules
        self.nodes = {node.name: node for node in sorted(nodes, key=lambda node: node.name)}
        self.services = {spec.name: spec for spec in sorted(services, key=lambda spec: spec.name)}
        self._zones = zones_of(self.nodes.values(), rules.node_rate)
        self._shares = {spec.name: _share(spec, self._zones, rules) for spec in services}
        self._order = sorted(services, key=lambda spec: _deal_order(spec, rules.on_every_node))
        self._loads = {name: Loads(zone) for name, zone in self._zones.items()}
        self._place = {spec.name: place for place, spec in enumerate(self._order)}
        self._base: dict[str, dict[str, tuple[str, ...]]] = {}
        self._base_unmet: dict[str, tuple[UnmetConstraint, ...]] = {}
        self._deal()
        self._base_holders = {name: _flat(self._base[name]) for name in self.services}
        self._base_digests = {
            name: _service_digest(name, holders) for name, holders in self._base_holders.items()
        }
        self._base_held = self._held_of(self._base_holders)

    def with_alive(self, alive: Collection[str]) -> Assignment:
        """The assignment while these nodes live.

        Costs what the dead nodes held, and a copy of the tables.

        Raises:
            InvalidInputError: a name that no registered node has.
        """
        living = alive if isinstance(alive, set | frozenset) else frozenset(alive)
        for name in living:
            if name not in self.nodes:
                raise InvalidInputError(f"alive: unknown node {name!r}, must be a registered one")
        dead = [name for name in self.nodes if name not in living]
        return _Repair(self, living, dead).run()

    def _deal(self) -> None:
        for name, load in self._loads.items():
            slots = sum(share.holders.get(name, 0) for share in self._shares.values())
            load.bound_by_mean(slots, self.rules.load_factor)
        for spec in self._order:
            self._deal_service(spec.name, self._shares[spec.name])
        for load in self._loads.values():
            load.bound_by_nodes()

    def _deal_service(self, service: str, share: _Share) -> None:
        unmet = list(share.unmet)
        dealt: dict[str, tuple[str, ...]] = {}
        for zone, wanted in share.holders.items():
            order = self._zones[zone].order(service)
            chosen = self._loads[zone].take_first(order, wanted, share.rate[zone])
            dealt[zone] = tuple(sorted(chosen))
            if len(chosen) < wanted:
                rule = (
                    Constraint.MINIMUM if len(chosen) < self.rules.min_per_zone else Constraint.RATE
                )
                unmet.append(UnmetConstraint(service, zone, rule))
        self._base[service] = dealt
        self._base_unmet[service] = tuple(unmet)

    def _held_of(self, holders: Mapping[str, tuple[str, ...]]) -> dict[str, tuple[str, ...]]:
        held: dict[str, list[str]] = {name: [] for name in self.nodes}
        for service, names in holders.items():
            for name in names:
                held[name].append(service)
        return {name: tuple(services) for name, services in held.items()}


class _Repair:
    """One set of living nodes: substitutes for the dead ones' services."""

    def __init__(self, assigner: Assigner, living: Collection[str], dead: Sequence[str]) -> None:
        self._of = assigner
        self._living = living
        self._dead = dead
        dead_of = dict.fromkeys(assigner._zones, 0)
        for name in dead:
            dead_of[assigner.nodes[name].zone] += 1
        self._lost = {
            zone.name for zone in assigner._zones.values() if dead_of[zone.name] == len(zone.nodes)
        }
        self._substitutes = {
            name: Substitutes(zone, Loads(zone, assigner._loads[name]), living)
            for name, zone in assigner._zones.items()
        }

    def run(self) -> Assignment:
        of = self._of
        affected = {service for name in self._dead for service in of._base_held[name]}
        holders = dict(of._base_holders)
        unmet = dict(of._base_unmet)
        digests = dict(of._base_digests)
        for service in sorted(affected, key=of._place.__getitem__):
            dealt, faults = self._service(service)
            holders[service] = _flat(dealt)
            unmet[service] = faults
            digests[service] = _service_digest(service, holders[service])
        held = self._held(affected, holders)
        all_unmet = tuple(one for name in of.services for one in unmet[name])
        digest = blake2b(b"".join(digests.values()), digest_size=16).hexdigest()
        return Assignment(holders, held, all_unmet, digest)

    def _service(
        self, service: str
    ) -> tuple[dict[str, tuple[str, ...]], tuple[UnmetConstraint, ...]]:
        of = self._of
        base = of._base[service]
        unmet = list(of._base_unmet[service])
        dealt: dict[str, tuple[str, ...]] = {}
        for zone, before in base.items():
            dealt[zone] = self._zone_of(service, zone, before)
            if len(dealt[zone]) < self._asked(service, before):
                unmet.append(UnmetConstraint(service, zone, self._why_short(dealt[zone])))
        if not any(dealt.values()):
            dealt = self._elsewhere(service)
            unmet.append(
                UnmetConstraint(
                    service, "", Constraint.ZONES if any(dealt.values()) else Constraint.NO_NODE
                )
            )
        return dealt, tuple(dict.fromkeys(unmet))

    def _zone_of(self, service: str, zone: str, before: tuple[str, ...]) -> tuple[str, ...]:
        kept = [name for name in before if name in self._living]
        missing = len(before) - len(kept)
        nobody_else = len(before) == len(self._of._zones[zone].nodes)
        if not missing or nobody_else or zone in self._lost:
            return tuple(kept)
        rate = self._of._shares[service].rate[zone]
        kept += self._substitutes[zone].choose(service, missing, rate, frozenset(before))
        return tuple(sorted(kept))

    def _asked(self, service: str, before: Collection[str]) -> int:
        """How many holders of a zone are a fault to be without: one that all nodes hold has none
        to put in a dead one's place."""
        if service in self._of.rules.on_every_node:
            return min(len(before), self._of.rules.min_per_zone)
        return len(before)

    def _why_short(self, holders: Collection[str]) -> Constraint:
        return (
            Constraint.MINIMUM
            if len(holders) < self._of.rules.min_per_zone
            else Constraint.CAPACITY
        )

    def _elsewhere(self, service: str) -> dict[str, tuple[str, ...]]:
        """Holders in the living zones of its home region, or else in all that live."""
        of = self._of
        share = of._shares[service]
        home = of.services[service].region
        living = [zone for name, zone in of._zones.items() if name not in self._lost]
        zones = [zone for zone in living if zone.region == home] or living
        count = ceil(sum(share.holders.values()) / max(len(zones), 1))
        rate = max(share.rate.values())
        return {
            zone.name: tuple(sorted(self._substitutes[zone.name].choose(service, count, rate, ())))
            for zone in zones
        }

    def _held(
        self, affected: Collection[str], holders: Mapping[str, tuple[str, ...]]
    ) -> dict[str, tuple[str, ...]]:
        of = self._of
        held = dict(of._base_held)
        changed: dict[str, set[str]] = {name: set() for name in self._dead}
        for service in affected:
            before = frozenset(of._base_holders[service])
            for name in holders[service]:
                if name not in before:
                    changed.setdefault(name, set(held[name])).add(service)
        for name, services in changed.items():
            held[name] = tuple(sorted(services))
        return held


@dataclass(frozen=True, slots=True)
class _Share:
    """How many nodes of each zone hold a service, and what each takes of its rate."""

    holders: Mapping[str, int]
    rate: Mapping[str, float]  # of one holder, once one of the other zones is lost
    unmet: tuple[UnmetConstraint, ...]


def _share(spec: ServiceSpec, zones: Mapping[str, Zone], rules: AssignmentRules) -> _Share:
    worst = spec.rate / max(len(spec.zones) - 1, 1)
    holders: dict[str, int] = {}
    rate: dict[str, float] = {}
    unmet: list[UnmetConstraint] = []
    for name in sorted(spec.zones):
        zone = zones[name]
        node_rate = zone.least_rate
        needed = max(rules.min_per_zone, ceil(worst / (node_rate * rules.max_share)))
        everywhere = spec.name in rules.on_every_node
        holders[name] = len(zone.nodes) if everywhere else min(needed, len(zone.nodes))
        rate[name] = min(worst / holders[name], node_rate)
        if worst > node_rate * holders[name]:
            unmet.append(UnmetConstraint(spec.name, name, Constraint.RATE))
        if holders[name] < rules.min_per_zone:
            unmet.append(UnmetConstraint(spec.name, name, Constraint.MINIMUM))
    if sum(holders.values()) > rules.max_sharers_by_service.get(spec.name, rules.max_sharers):
        unmet.append(UnmetConstraint(spec.name, "", Constraint.CONNECTIONS))
    return _Share(holders, rate, tuple(unmet))


def _deal_order(spec: ServiceSpec, everywhere: Collection[str]) -> tuple[bool, int, int, str]:
    """The services that all nodes hold, then large ones, as they are the hardest to place; by
    powers of two, so that a small change of a rate leaves the order as it was."""
    size = -int(spec.rate).bit_length()
    return spec.name not in everywhere, size, hash64(f"deal\0{spec.name}"), spec.name


def _flat(dealt: Mapping[str, tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted(name for names in dealt.values() for name in names))


def _service_digest(service: str, holders: Iterable[str]) -> bytes:
    form = "\0".join((service, *holders)) + "\n"
    return blake2b(form.encode(), digest_size=16).digest()

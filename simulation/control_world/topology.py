"""The machines, nodes and services of a world, and their addresses in the network."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

from loadbalancer.core.assignment.model import MachineSpec, NodeSpec, ServiceSpec
from simulation.control_world.settings import (
    EAST,
    MACHINES_PER_REGION,
    NODE_CAPACITY,
    REGIONS,
    WEST,
    ZONES,
    WorldSize,
)

SERVICE_RATE = 10.0  # requests a second


@dataclass(frozen=True)
class Topology:
    """An index names a machine or a node; an address, an end of links. Machines come first."""

    machines: tuple[MachineSpec, ...]
    nodes: tuple[NodeSpec, ...]
    services: tuple[ServiceSpec, ...]

    @classmethod
    def of(cls, size: WorldSize) -> Topology:
        """The topology of a world of this size."""
        return cls(_machines(), _nodes(size), _services(size))

    @cached_property
    def machine_index(self) -> dict[str, int]:
        """Each machine's index by its name."""
        return {spec.name: index for index, spec in enumerate(self.machines)}

    @cached_property
    def node_index(self) -> dict[str, int]:
        """Each node's index by its name."""
        return {spec.name: index for index, spec in enumerate(self.nodes)}

    @cached_property
    def home(self) -> dict[str, str]:
        """Each service's home region."""
        return {spec.name: spec.region for spec in self.services}

    def services_of(self, region: str) -> list[str]:
        """The names of the services whose home is a region."""
        return [name for name, home in self.home.items() if home == region]

    def node_address(self, index: int) -> int:
        """A node's address; a machine's is its index."""
        return len(self.machines) + index

    def addresses_in(self, region: str) -> set[int]:
        """The addresses of all machines and nodes in a region."""
        machines = {i for i, spec in enumerate(self.machines) if spec.region == region}
        nodes = {self.node_address(i) for i, spec in enumerate(self.nodes) if spec.region == region}
        return machines | nodes


def _machines() -> tuple[MachineSpec, ...]:
    return tuple(
        MachineSpec(f"control-{region}-{i}", region, ZONES[region][i % len(ZONES[region])])
        for region in REGIONS
        for i in range(MACHINES_PER_REGION)
    )


def _nodes(size: WorldSize) -> tuple[NodeSpec, ...]:
    return tuple(
        NodeSpec(f"node-{zone}-{i}", region, zone, NODE_CAPACITY)
        for region in REGIONS
        for zone in ZONES[region]
        for i in range(size.nodes_per_zone)
    )


def _services(size: WorldSize) -> tuple[ServiceSpec, ...]:
    return tuple(
        ServiceSpec(service_name(region, i), region, _zones(region, i), SERVICE_RATE, size.backends)
        for region in REGIONS
        for i in range(size.services_per_region)
    )


def _zones(region: str, number: int) -> tuple[str, ...]:
    """Where a service's clients are: one service of three has clients in both regions."""
    return ZONES[region] if number % 3 else ZONES[EAST] + ZONES[WEST]


def service_name(region: str, number: int) -> str:
    """The name of a region's service by its number."""
    return f"{region}-s{number}"


def first_services(regions: Iterable[str]) -> frozenset[str]:
    """The names of these regions' first services."""
    return frozenset(service_name(region, 0) for region in regions)

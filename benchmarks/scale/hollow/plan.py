"""What a process of hollow nodes is started with."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple, Self

from loadbalancer.config.address import Address
from loadbalancer.core.balancing.model import Tenant


class NodePlace(NamedTuple):
    """Where one node is, and its number in the fleet."""

    region: str
    zone: str
    number: int


@dataclass(frozen=True, slots=True)
class HostPlan:
    """Options that all nodes of the process share."""

    machines: dict[str, tuple[str, Address]]  # regions and addresses of control machines, by name
    tenants: dict[str, tuple[Tenant, ...]]  # by service
    steps: Path  # file for the nodes' steps
    seed: int
    hold: float  # seconds that a control machine holds a poll
    late: float  # seconds beyond `hold` after which a machine counts as silent
    stretch: int  # Balancers' cycles come this many times less often
    every: bool  # each node holds every service

    @classmethod
    def from_json(cls, raw: dict[str, Any]) -> Self:
        """Read the plan from the first line that the run sends."""
        return cls(
            machines={
                name: (region, Address(host, port)) for name, region, host, port in raw["machines"]
            },
            tenants={
                service: tuple([Tenant(f"{service}-t{i}", 1.0, 1.0) for i in range(count)])
                for service, count in raw["tenants"].items()
            },
            steps=Path(raw["steps"]),
            seed=raw["seed"],
            hold=raw["hold"],
            late=raw["late"],
            stretch=raw["stretch"],
            every=raw["every"],
        )

"""The rules of an assignment: how many nodes hold a service, and the load that one node takes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from loadbalancer.core.assignment.model import InvalidInputError

MAX_MIN_PER_ZONE = 64  # nodes
MAX_SHARERS = 20_000  # nodes
MAX_NODE_RATE = 1e9  # requests a second
MAX_LOAD_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class AssignmentRules:
    """The rules of an assignment. Error messages use the names of the keys in the control file.

    Attributes:
        min_per_zone: minimum number of holders in each of a service's zones.
        max_sharers: number of nodes that may hold a service; more are reported as unmet constraint.
            The default is below the 15 connections that a backend accepts.
        node_rate: maximum requests a second of a node that does not state its rate.
        load_factor: maximum number of services of a node, as a multiple of the mean.
        max_share: maximum share of a node's rate that one service may take.
        max_sharers_by_service: exceptions from `max_sharers`.
        on_every_node: services that every node of their zones holds.

    Raises:
        InvalidInputError: a value is out of its range.
    """

    min_per_zone: int = 2
    max_sharers: int = 12
    node_rate: float = 400.0
    load_factor: float = 1.25
    max_share: float = 0.5
    max_sharers_by_service: Mapping[str, int] = field(default_factory=dict)
    on_every_node: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        if not 1 <= self.min_per_zone <= MAX_MIN_PER_ZONE:
            raise InvalidInputError(
                f"rules: least_per_zone is {self.min_per_zone}, must be 1 to {MAX_MIN_PER_ZONE}"
            )
        if not 1 <= self.max_sharers <= MAX_SHARERS:
            raise InvalidInputError(
                f"rules: most_sharers is {self.max_sharers}, must be 1 to {MAX_SHARERS}"
            )
        if not 0 < self.node_rate <= MAX_NODE_RATE:
            raise InvalidInputError(
                f"rules: node_rate is {self.node_rate}, must be greater than 0 and at most 1e9"
            )
        if not 1 < self.load_factor <= MAX_LOAD_FACTOR:
            raise InvalidInputError(
                f"rules: load_factor is {self.load_factor}, must be greater than 1 and at most 10"
            )
        if not 0 < self.max_share <= 1:
            raise InvalidInputError(
                f"rules: largest_share is {self.max_share}, must be greater than 0 and at most 1"
            )
        for service, sharers in self.max_sharers_by_service.items():
            if not 1 <= sharers <= MAX_SHARERS:
                raise InvalidInputError(
                    f"rules: sharers of {service!r} is {sharers}, must be 1 to {MAX_SHARERS}"
                )

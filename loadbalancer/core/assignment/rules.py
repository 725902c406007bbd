"""The rules of an assignment: how many nodes hold a service, and how much of it one node takes."""

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
    """What decides how many nodes hold a service, and how much of it one node takes.

    The texts of its errors use the keys of the control file.

    Raises:
        InvalidInputError: a figure is out of its range.
    """

    min_per_zone: int = 2  # holders in each zone that a service's clients come in
    max_sharers: int = 12  # nodes that share a service; below the 15 connections of a backend
    node_rate: float = 400.0  # requests a second that a node may take, where it states none
    load_factor: float = 1.25  # of the mean number of services a node, that one may hold
    max_share: float = 0.5  # of a node's rate, that one service may take
    max_sharers_by_service: Mapping[str, int] = field(default_factory=dict)  # exceptions
    on_every_node: frozenset[str] = frozenset()  # services that every node of their zones holds

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
                f"rules: node_rate is {self.node_rate}, must be over 0, up to 1e9"
            )
        if not 1 < self.load_factor <= MAX_LOAD_FACTOR:
            raise InvalidInputError(
                f"rules: load_factor is {self.load_factor}, must be over 1, up to 10"
            )
        if not 0 < self.max_share <= 1:
            raise InvalidInputError(
                f"rules: largest_share is {self.max_share}, must be over 0 to 1"
            )
        for service, sharers in self.max_sharers_by_service.items():
            if not 1 <= sharers <= MAX_SHARERS:
                raise InvalidInputError(
                    f"rules: sharers of {service!r} is {sharers}, must be 1 to {MAX_SHARERS}"
                )

"""The result of an assignment: who holds what, and which constraints are not met."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 16


class Constraint(Enum):
    """A condition that an assignment may be unable to meet for a service."""

    CONNECTIONS = "more nodes share the backends than their connections allow"
    RATE = "the zone has too few nodes for the rate"
    MINIMUM = "fewer nodes of the zone hold it than the least"
    CAPACITY = "its nodes are lost and no living node of the zone has room"
    ZONES = "no living node of its zones has room, other zones hold it"
    NO_NODE = "no living node has room"


class UnmetConstraint(NamedTuple):
    """A constraint that is not met for a service; `zone` is empty where it concerns all zones."""

    service: str
    zone: str
    constraint: Constraint


@dataclass(frozen=True, slots=True)
class Assignment:
    """Who holds what. `holders` names every service, `services_by_node` every registered node.

    `digest` is of a canonical form of `holders` (blake2b, 16 bytes as hex): two machines with the
    same digest have the same assignment.
    """

    holders: Mapping[str, tuple[str, ...]]  # nodes, by service
    services_by_node: Mapping[str, tuple[str, ...]]
    unmet: tuple[UnmetConstraint, ...]
    digest: str


def service_digest(service: str, holders: Iterable[str]) -> bytes:
    """Digest one service's holders."""
    form = "\0".join((service, *holders)) + "\n"
    return blake2b(form.encode(), digest_size=DIGEST_BYTES).digest()


def assignment_digest(service_digests: Iterable[bytes]) -> str:
    """Digest the services' digests, in the order of the services' names, as hexadecimal digits."""
    return blake2b(b"".join(service_digests), digest_size=DIGEST_BYTES).hexdigest()

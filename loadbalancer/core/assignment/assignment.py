"""The result of an assignment: which nodes hold which services, and unmet constraints."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 16


class Constraint(Enum):
    """A constraint that an assignment may be unable to meet for a service.

    Attributes:
        CONNECTIONS: more nodes hold the service than its backends allow connections for.
        RATE: the zone's holders can't take the rate that it receives when another zone is lost.
        MINIMUM: the zone has fewer holders than the rules require.
        CAPACITY: holders in the zone are dead, and no living node of the zone has capacity.
        ZONES: no living node of the service's zones has capacity; nodes of other zones hold it.
        NO_NODE: no living node of any zone has capacity.
    """

    CONNECTIONS = "more nodes hold the service than the connections of its backends allow"
    RATE = "the zone has too few holders for the rate of the service"
    MINIMUM = "the zone has fewer holders than the required minimum"
    CAPACITY = "holders in the zone are dead and no living node of the zone has capacity"
    ZONES = "no living node of the service's zones has capacity; nodes of other zones hold it"
    NO_NODE = "no living node has capacity"


class UnmetConstraint(NamedTuple):
    """A constraint that is not met for a service; `zone` is "" if it concerns all zones."""

    service: str
    zone: str
    constraint: Constraint


@dataclass(frozen=True, slots=True)
class Assignment:
    """The nodes that hold each service, and the services that each node holds.

    `holders` has an entry for every service, `services_by_node` one for every registered node.
    `digest` is a digest of a canonical form of `holders` (blake2b, 16 bytes as hexadecimal digits).
    Two machines with the same digest have the same assignment.
    """

    holders: Mapping[str, tuple[str, ...]]  # nodes, by service
    services_by_node: Mapping[str, tuple[str, ...]]
    unmet: tuple[UnmetConstraint, ...]
    digest: str


def service_digest(service: str, holders: Iterable[str]) -> bytes:
    """Digest one service's holders."""
    canonical = "\0".join((service, *holders)) + "\n"
    return blake2b(canonical.encode(), digest_size=DIGEST_BYTES).digest()


def assignment_digest(service_digests: Iterable[bytes]) -> str:
    """Combine the services' digests, given in the order of their names, into one in hexadecimal."""
    return blake2b(b"".join(service_digests), digest_size=DIGEST_BYTES).hexdigest()

"""Immutable snapshots of xDS resources.

A snapshot is one complete configuration, shared by all proxies of a group. Bodies are opaque
bytes here: nothing in this module knows protobuf.

Source: the xDS protocol, v3, "resource types" and "eventual consistency considerations".
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b

from loadbalancer.core.errors import StateError

VERSION_DIGEST_BYTES = 8


class ResourceType(IntEnum):
    """Resource types, in the order in which ADS sends a change of several."""

    CLUSTER = 0
    ENDPOINTS = 1  # a ClusterLoadAssignment
    LISTENER = 2
    ROUTES = 3  # a RouteConfiguration


# Types of which a state-of-the-world response lists every resource: one that it lacks is removed.
FULL_STATE_TYPES = frozenset((ResourceType.CLUSTER, ResourceType.LISTENER))


class SnapshotError(StateError, ValueError):
    """A snapshot in which a resource refers to one that is missing."""


@dataclass(frozen=True, slots=True)
class Resource:
    """One named resource, serialised once.

    Attributes:
        name: unique within its type.
        version: follows from the content; "" where the proxy's version is not known.
        body: the serialised `Any`; empty where only name and version are known.
        references: names of the resources it depends on: clusters for a route configuration,
            endpoints for a cluster, route configurations for a listener.
    """

    name: str
    version: str
    body: bytes = field(compare=False)
    references: frozenset[str] = field(compare=False, default=frozenset())


# What is known of each name's resource; None where it is known not to exist.
ResourcesByName = dict[str, Resource | None]


def make_resource(name: str, body: bytes, references: Iterable[str] = ()) -> Resource:
    """Build a resource whose version follows from its content, so that a restart changes none."""
    version = blake2b(body, digest_size=VERSION_DIGEST_BYTES).hexdigest()
    return Resource(name, version, body, frozenset(references))


def unknown_resource(name: str, version: str = "") -> Resource:
    """Stand for a resource at a proxy of which the content is not known."""
    return Resource(name, version, b"")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources by type and name. `make_snapshot` checks that every reference resolves."""

    resources: tuple[Mapping[str, Resource], ...]  # by ResourceType

    def of_type(self, resource_type: ResourceType) -> Mapping[str, Resource]:
        """The resources of one type by name."""
        return self.resources[resource_type]


EMPTY = Snapshot(({}, {}, {}, {}))


def make_snapshot(resources: Mapping[ResourceType, Iterable[Resource]]) -> Snapshot:
    """Build a snapshot.

    Raises:
        SnapshotError: a resource refers to one that is missing; the text names both.
    """
    by_type = tuple(
        {resource.name: resource for resource in resources.get(resource_type, ())}
        for resource_type in ResourceType
    )
    references = (
        (ResourceType.ROUTES, ResourceType.CLUSTER),
        (ResourceType.CLUSTER, ResourceType.ENDPOINTS),
        (ResourceType.LISTENER, ResourceType.ROUTES),
    )
    for referring, referred in references:
        for resource in by_type[referring].values():
            for name in resource.references:
                if name not in by_type[referred]:
                    missing = f"{referred.name.lower()} {name!r}"
                    raise SnapshotError(
                        f"{referring.name.lower()} {resource.name!r} names {missing}"
                    )
    return Snapshot(by_type)

"""Versions of sets of resources, and which set was sent under each.

In the state-of-the-world variant a proxy that reconnects reports one version for all its
resources of a type. The set behind that version is needed: a cluster may only be removed after
the route configurations that refer to it have been replaced.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from hashlib import blake2b

from loadbalancer.core.xds.snapshot import (
    VERSION_DIGEST_BYTES,
    Resource,
    ResourcesByName,
    ResourceType,
)

MAX_SETS = 256  # of all types, over all proxies that one history serves
MAX_VERSION_NAMES_BYTES = 2000  # of names in a version
_PLAIN_NAME = re.compile(r"[A-Za-z0-9._-]+")


def make_version_info(resource_type: ResourceType, resources: Mapping[str, Resource | None]) -> str:
    """Compute one version for a set of resources, for the state-of-the-world variant.

    A version of clusters holds their names as well: a proxy reports it to whichever control
    service it reconnects to, also to one that does not know what was sent before.
    """
    digest = blake2b(digest_size=VERSION_DIGEST_BYTES)
    names = sorted(name for name, resource in resources.items() if resource is not None)
    for name in names:
        resource = resources[name]
        if resource is not None:
            digest.update(f"{name}={resource.version};".encode())
    joined = ",".join(names)
    if (
        resource_type is ResourceType.CLUSTER
        and len(joined) <= MAX_VERSION_NAMES_BYTES
        and all(map(_PLAIN_NAME.fullmatch, names))
    ):
        return f"{digest.hexdigest()}:{joined}"
    return digest.hexdigest()


def cluster_names_of(version_info: str) -> list[str]:
    """Read the names in a version of clusters; none where `make_version_info` did not make it."""
    digest, colon, joined = version_info.partition(":")
    names = joined.split(",")
    if len(digest) != 2 * VERSION_DIGEST_BYTES or not colon:
        return []
    if len(joined) > MAX_VERSION_NAMES_BYTES:
        return []
    return names if all(map(_PLAIN_NAME.fullmatch, names)) else []


class History:
    """The sets of resources that were sent, by version; the oldest is dropped beyond a bound.

    A version that was dropped, or was sent before a restart, is unknown. A proxy that reports
    such a version is brought up to date at once.
    """

    __slots__ = ("_sets",)

    def __init__(self) -> None:
        self._sets: dict[tuple[ResourceType, str], ResourcesByName] = {}

    def add(
        self, resource_type: ResourceType, version_info: str, resources: ResourcesByName
    ) -> None:
        """Record the set that is sent under a version."""
        self._sets.pop((resource_type, version_info), None)
        self._sets[resource_type, version_info] = resources
        if len(self._sets) > MAX_SETS:
            del self._sets[next(iter(self._sets))]

    def get(self, resource_type: ResourceType, version_info: str) -> ResourcesByName:
        """A copy of the set that was sent under a version; empty where it is not known."""
        return dict(self._sets.get((resource_type, version_info), {}))

"""What a process hands its successor of the endpoint list and of the sources it is merged from."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.config.address import Address
from loadbalancer.core import Listing
from loadbalancer.core.endpoints.list_snapshot import ListSnapshot


class InheritedEndpoint(NamedTuple):
    """One endpoint of the handed-over list."""

    listing: Listing
    address: Address
    boot_ms: int  # Unix time as reported by discovery, to be compared with its next list


class InheritedSources(NamedTuple):
    """What the sources of a merged list have told the process."""

    snapshot: ListSnapshot
    platform_rev: int  # revision of the platform's list
    boots_ms: dict[str, int]  # Unix times, as reported by the platform, by its ids

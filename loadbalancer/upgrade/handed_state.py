"""What a process hands its successor: the endpoint list, what was learned, its standby.

The data are as JSON can carry them. Times are spans before the moment of writing, so that the
two processes need no common clock.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from loadbalancer.config.address import Address
from loadbalancer.core import Listing, State, learned_state
from loadbalancer.core.errors import ProtocolError

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import Endpoint
    from loadbalancer.proxy.ports import PredecessorNode

NO_BOOT = -1  # in place of an age: the endpoint's start is not known

# Keys of the handed state.
VERSION, ENDPOINTS, LEARNED, STANDBY = "rev", "members", "learned", "standby"


class HandedStateError(ProtocolError, ValueError):
    """Malformed data; also a ValueError, as for any unsuitable value."""


class InheritedEndpoint(NamedTuple):
    """One endpoint of the list."""

    listing: Listing
    address: Address
    boot_ms: int  # Unix time as discovery gave it, to compare with its next list


class Inheritance(NamedTuple):
    """What a predecessor handed over."""

    rev: int  # the list's version
    members: tuple[InheritedEndpoint, ...]
    learned: learned_state.LearnedState
    standby: bool


def export(node: PredecessorNode, standby: bool) -> dict[str, Any]:
    """What this node hands over, as data for JSON."""
    now = time.monotonic_ns()
    endpoint_list = node.discovery.endpoint_list
    rows = []
    for endpoint in node.balancer.endpoints.values():
        address = endpoint_list.endpoints.get(endpoint.id)
        if address is not None and endpoint.state != State.GONE:
            rows.append(
                _export_endpoint(endpoint, address, endpoint_list.boot_ms(endpoint.id), now)
            )
    return {
        VERSION: endpoint_list.rev,
        ENDPOINTS: rows,
        LEARNED: learned_state.export(node.balancer, now),
        STANDBY: standby,
    }


def parse(raw: Any, now: int) -> Inheritance:
    """Check exported data; `now` is the monotonic clock's time in nanoseconds.

    Raises:
        HandedStateError: any of it is malformed.
    """
    try:
        members = tuple(_parse_endpoint(row, now) for row in raw[ENDPOINTS])
        learned = learned_state.parse(raw[LEARNED])
        return Inheritance(int(raw[VERSION]), members, learned, bool(raw[STANDBY]))
    except (KeyError, TypeError, ValueError, OverflowError) as err:
        raise HandedStateError(f"not what a process hands over: {err}") from None


def _export_endpoint(endpoint: Endpoint, address: Address, boot_ms: int, now: int) -> list[Any]:
    age = max(now - endpoint.boot, 0) if endpoint.boot else NO_BOOT
    return [
        endpoint.id,
        int(endpoint.state),
        endpoint.zone,
        endpoint.cell,
        endpoint.kind,
        age,
        endpoint.rating,
        *address,
        boot_ms,
    ]


def _parse_endpoint(row: Any, now: int) -> InheritedEndpoint:
    backend, state, zone, cell, kind, age, rating, host, port, boot_ms = row
    if not math.isfinite(rating):
        raise HandedStateError(f"{rating!r} is no rating")
    boot = 0 if age < 0 else max(now - int(age), 1)  # 0 stands for an unknown start
    listing = Listing(
        int(backend), State(state), int(zone), int(cell), int(kind), boot, float(rating)
    )
    return InheritedEndpoint(listing, Address(str(host), int(port)), int(boot_ms))

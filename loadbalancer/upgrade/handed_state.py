"""The state that a process hands over to its successor.

It consists of the endpoint list, the learned state of the load balancer and whether the node is
in standby, in a form that JSON can represent. Times are ages relative to the moment of the
export, so that the two processes need no common clock.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from loadbalancer.config.address import Address
from loadbalancer.core import Listing, State, learned_state
from loadbalancer.core.balancing.model import UNKNOWN
from loadbalancer.core.errors import ProtocolError

if TYPE_CHECKING:
    from loadbalancer.core.balancing.records import Endpoint
    from loadbalancer.proxy.ports import PredecessorNode

UNKNOWN_AGE = -1  # stands for the age of an endpoint whose start time is not known

# JSON keys of the handed-over state.
VERSION, ENDPOINTS, LEARNED, STANDBY = "rev", "members", "learned", "standby"


class HandedStateError(ProtocolError, ValueError):
    """The handed-over state is malformed; a ValueError too, like other unsuitable values."""


class InheritedEndpoint(NamedTuple):
    """One endpoint of the handed-over list."""

    listing: Listing
    address: Address
    boot_ms: int  # Unix time as reported by discovery, to be compared with its next list


class Inheritance(NamedTuple):
    """The state received from a predecessor."""

    rev: int  # revision of the endpoint list
    members: tuple[InheritedEndpoint, ...]
    learned: learned_state.LearnedState
    standby: bool


def export(node: PredecessorNode, standby: bool) -> dict[str, Any]:
    """Return the state that this node hands over, as JSON-compatible data."""
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
    """Parse and check exported data.

    Args:
        raw: the data, as decoded from JSON.
        now: time of the monotonic clock, in nanoseconds.

    Raises:
        HandedStateError: the data is malformed.
    """
    try:
        members = tuple(_parse_endpoint(row, now) for row in raw[ENDPOINTS])
        learned = learned_state.parse(raw[LEARNED])
        return Inheritance(int(raw[VERSION]), members, learned, bool(raw[STANDBY]))
    except (KeyError, TypeError, ValueError, OverflowError) as err:
        raise HandedStateError(f"malformed state: {err}") from None


def _export_endpoint(endpoint: Endpoint, address: Address, boot_ms: int, now: int) -> list[Any]:
    age = max(now - endpoint.boot, 0) if endpoint.boot else UNKNOWN_AGE
    return [
        endpoint.id,
        int(endpoint.state),
        endpoint.repeat_zone,
        endpoint.repeat_cell,
        endpoint.kind,
        age,
        endpoint.rating,
        *address,
        boot_ms,
    ]


def _parse_endpoint(row: Any, now: int) -> InheritedEndpoint:
    backend, state, zone, cell, kind, age, rating, host, port, boot_ms = row
    if not math.isfinite(rating):
        raise HandedStateError(f"rating {rating!r} is not a finite number")
    boot = 0 if age < 0 else max(now - int(age), 1)  # 0: start time not known
    listing = Listing(
        int(backend), State(state), max(int(zone), 0), max(int(cell), 0), int(kind), boot,
        float(rating), int(zone) != UNKNOWN, int(cell) != UNKNOWN,
    )  # fmt: skip
    return InheritedEndpoint(listing, Address(str(host), int(port)), int(boot_ms))

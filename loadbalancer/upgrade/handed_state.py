"""What a process leaves its successor: the list in hand, what was learned, its standby."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from loadbalancer.config.address import Address
from loadbalancer.core import Listing, State, learned_state

if TYPE_CHECKING:
    from loadbalancer.proxy.ports import Leaving


class Heirloom(NamedTuple):
    """One backend of the list."""

    listing: Listing
    address: Address
    boot_ms: int  # as discovery gave it, so that its next word is not taken for a restart


class Inheritance(NamedTuple):
    rev: int
    members: tuple[Heirloom, ...]
    learned: learned_state.LearnedState
    standby: bool


def write(node: Leaving, standby: bool) -> dict[str, Any]:
    """All of it, as JSON can carry it; spans are nanoseconds before now."""
    now = time.monotonic_ns()
    roster = node.discovery.endpoint_list
    rows = []
    for b in node.balancer.endpoints.values():
        address = roster.endpoints.get(b.id)
        if address is not None and b.state != State.GONE:
            age = max(now - b.boot, 0) if b.boot else -1
            rows.append(
                [b.id, int(b.state), b.zone, b.cell, b.kind, age, b.rating, *address,
                 roster.boot_ms(b.id)]
            )  # fmt: skip
    return {
        "rev": roster.rev,
        "members": rows,
        "learned": learned_state.export(node.balancer, now),
        "standby": standby,
    }


def read(raw: Any, now: int) -> Inheritance:
    """Check it whole; ValueError where it is of another form."""
    try:
        members = tuple(_heirloom(row, now) for row in raw["members"])
        learned = learned_state.parse(raw["learned"])
        return Inheritance(int(raw["rev"]), members, learned, bool(raw["standby"]))
    except (KeyError, TypeError, OverflowError) as err:
        raise ValueError(f"not what a process leaves: {err}") from None


def _heirloom(row: Any, now: int) -> Heirloom:
    backend, state, zone, cell, kind, age, rating, host, port, boot_ms = row
    if not math.isfinite(rating):
        raise ValueError(f"{rating!r} is no rating")
    boot = 0 if age < 0 else max(now - int(age), 1)
    listing = Listing(
        int(backend), State(state), int(zone), int(cell), int(kind), boot, float(rating)
    )
    return Heirloom(listing, Address(str(host), int(port)), int(boot_ms))

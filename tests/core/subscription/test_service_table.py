"""Limits on a node's services, and services that exceed them."""

from __future__ import annotations

from loadbalancer.core.assignment.model import Change, Snapshot
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.updates import UpdateResult, UpdateStatus
from tests.core.subscription.holders import (
    P,
    bytes_of,
    delta,
    holding,
    make,
    numbered,
    row,
)


def test_the_number_of_services_is_limited() -> None:
    holder = holding("s", limits=HolderLimits(max_services=3))
    wanted = dict.fromkeys(("s", "t", "u", "v", "w"), "r")
    assert holder.on_assignment(1, wanted, ()) == ("v", "w")
    assert holder.subscribed_services("r") == {"s", "t", "u"}
    assert holder.on_assignment(2, {"v": "r", "t": "r"}, ("s", "u")) == ()
    assert holder.subscribed_services("r") == {"t", "v"}


def test_no_service_is_added_if_it_would_exceed_the_memory_limit() -> None:
    limits = HolderLimits(max_services=2, max_bytes=bytes_of(400))
    holder = make("s", limits=limits)
    assert (
        holder.on_update(1, Snapshot("r", P(1, 1), {"s": numbered(400)})).status
        is UpdateStatus.APPLIED
    )
    assert holder.on_assignment(2, {"s": "r", "t": "r"}, ()) == ("t",)
    assert holder.retained_bytes == limits.max_bytes
    less = Change(P(1, 2), "s", removed=("0001", "0002", "0003", "0004"))
    assert holder.on_update(3, delta(P(1, 1), P(1, 2), less)).status is UpdateStatus.APPLIED
    assert holder.on_assignment(4, {"s": "r", "t": "r"}, ()) == ()


def test_a_refused_service_gets_no_new_rows_but_removals_and_drains_are_applied() -> None:
    """A service exceeds the node's memory limit.

    If its drains were not applied, requests would be sent to backends that shut down.
    """
    limits = HolderLimits(max_services=2, max_bytes=bytes_of(200) + bytes_of(100))
    holder = make("s", "t", limits=limits)
    both = {"s": numbered(200), "t": numbered(100)}
    assert holder.on_update(1, Snapshot("r", P(1, 1), both)).status is UpdateStatus.APPLIED
    assert holder.retained_bytes == limits.max_bytes
    growing = Change(P(1, 2), "s", (row("0007", draining=True), row("9999")), ("0003",))
    more = Change(P(1, 2), "s", (row("9998"),))
    other = Change(P(1, 2), "t", (row("0001", draining=True),), ("0002",))
    result = holder.on_update(2, delta(P(1, 1), P(1, 2), other, growing, more))
    assert result == UpdateResult(UpdateStatus.OVER_LIMIT, ("t", "s"), ("s",))
    rows = holder.rows("s")
    assert rows is not None
    assert rows.keys() == (numbered(200).keys() | {"9999"}) - {"0003"}
    assert rows["0007"].draining
    assert holder.retained_bytes <= limits.max_bytes
    assert holder.position("r") == P(1, 2)


def test_a_refused_service_shrinks_until_it_fits_again() -> None:
    limits = HolderLimits(max_services=2, max_bytes=1 << 16)
    holder = make("s", "t", limits=limits)
    first = {"s": numbered(50), "t": numbered(50)}
    assert holder.on_update(1, Snapshot("r", P(1, 1), first)).status is UpdateStatus.APPLIED
    large = Change(P(1, 2), "s", tuple(numbered(200).values()), complete=True)
    assert holder.on_update(2, delta(P(1, 1), P(1, 2), large)) == UpdateResult(
        UpdateStatus.OVER_LIMIT, (), ("s",)
    )
    assert holder.rows("s") == numbered(50)
    assert holder.current_services("r") == {
        "s",
        "t",
    }  # deltas are sufficient until the service fits
    drain = Change(P(1, 3), "s", (row("0007", draining=True), row("9999")), ("0003",))
    result = holder.on_update(3, delta(P(1, 2), P(1, 3), drain))
    assert result == UpdateResult(UpdateStatus.OVER_LIMIT, ("s",), ("s",))
    remaining = numbered(50)
    del remaining["0003"], remaining["0007"]
    assert holder.rows("s") == remaining
    assert holder.position("r") == P(1, 3)
    space = Change(P(1, 4), "t", deleted=True)
    assert holder.on_update(4, delta(P(1, 3), P(1, 4), space)).status is UpdateStatus.APPLIED
    smaller = Change(P(1, 5), "s", removed=tuple(f"{n:04}" for n in range(100, 200)))
    assert holder.current_services("r") == {"t"}  # s fits now, so it has to be sent completely
    assert holder.on_update(5, delta(P(1, 4), P(1, 5), smaller)).status is UpdateStatus.GAP
    complete = Change(P(1, 5), "s", tuple(numbered(100).values()), complete=True)
    assert holder.on_update(6, delta(P(1, 4), P(1, 5), complete)).status is UpdateStatus.APPLIED
    assert holder.rows("s") == numbered(100)


def test_a_refused_service_is_requested_again_when_memory_is_free() -> None:
    holder = make("s", "t", limits=HolderLimits(max_services=2, max_bytes=1 << 16))
    first = {"s": numbered(110), "t": numbered(110)}
    assert holder.on_update(1, Snapshot("r", P(1, 1), first)).refused == ("t",)
    assert holder.rows("t") is None
    assert not holder.on_request_start("t")
    assert holder.current_services("r") == {"s", "t"}
    assert holder.on_assignment(2, {"t": "r"}, ("s",)) == ()
    assert holder.current_services("r") == frozenset()  # t has to be sent completely now

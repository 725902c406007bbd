"""Holders and updates that the tests of a node's subscriptions share."""

from __future__ import annotations

from loadbalancer.core.assignment.model import Change, Delta, Position, Row, Snapshot
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import ROW_BYTES, SERVICE_BYTES, HolderLimits
from loadbalancer.core.subscription.updates import UpdateResult, UpdateStatus

Rows = dict[str, Row]
P = Position


def row(uid: str, draining: bool = False) -> Row:
    return Row(uid, f'{{"uid":"{uid}","state":"{"draining" if draining else "ready"}"}}', draining)


def rows(*uids: str) -> Rows:
    return {uid: row(uid) for uid in uids}


def make(*services: str, limits: HolderLimits | None = None) -> Holder:
    """Return a holder that is assigned these services of region r, and has no rows of them yet."""
    holder = Holder("n", ["r", "q"], limits or HolderLimits())
    assert holder.on_assignment(0, dict.fromkeys(services, "r"), ()) == ()
    return holder


def holding(*services: str, limits: HolderLimits | None = None) -> Holder:
    """Return a holder that has these services with two backends each, as of position (2, 10)."""
    holder = make(*services, limits=limits)
    snapshot = Snapshot("r", P(2, 10), {service: rows("a", "b") for service in services})
    assert holder.on_update(0, snapshot) == UpdateResult(UpdateStatus.APPLIED, services)
    return holder


def delta(base: Position, position: Position, *changes: Change) -> Delta:
    return Delta("r", base, position, changes)


def bytes_of(count: int) -> int:
    """Return the memory of a service with `count` rows whose uids have four characters."""
    return SERVICE_BYTES + count * (ROW_BYTES + 4 + len(row("0000").body))


def numbered(count: int) -> Rows:
    return rows(*(f"{number:04}" for number in range(count)))


def bytes_of_service(holder: Holder, service: str) -> int:
    backends = holder.rows(service) or {}
    return SERVICE_BYTES + sum(
        ROW_BYTES + len(backend.uid) + len(backend.body) for backend in backends.values()
    )

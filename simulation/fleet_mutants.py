"""Faults put into the product's own code, each of which the seeds of `fleet_faults` must find."""

from __future__ import annotations

from typing import Any

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import MemberStatus
from loadbalancer.core.gossip.records import RecordStore
from loadbalancer.core.gossip.slot_allocation import SlotAllocation
from loadbalancer.core.gossip.slot_leases import SlotLeases
from simulation.mutants import Mutant

UNBOUNDED_DEPTH = 40
UNBOUNDED_LEASE = 20 * SECOND


def _believe_any_incarnation(self: Any, now: int, _accuser: int, member: Any) -> bool:
    """Merge whatever came last, also of an incarnation that has passed."""
    if member.node == self.me:
        return False
    self.peers[member.node].incarnation = member.incarnation
    self._set_status(now, member.node, MemberStatus(member.status))
    return True


def _get_without_age(self: Any, _now: int, key: tuple[int, int]) -> Any:
    """Pass a record on as if it had just been made."""
    entry = self._records.get(key[0], {}).get(key[1])
    return entry and entry.record


def _forget_drain(_self: Any, _server: int, _boot: int, _rev: int) -> None:
    """Know of no drain."""


def _never_expire(_self: Any, _now: int) -> None:
    """Keep every observation."""


def _unbounded_depth(_self: Any, _deal: int, _depth: int, _servers: int) -> int:
    """Allocate more slots than the servers have."""
    return UNBOUNDED_DEPTH


def _depth_of_all_nodes(_self: Any, _deal: int, depth: int, _servers: int) -> int:
    """Leave the slots of dead nodes unused."""
    return depth


_original_on_grant = SlotLeases.on_grant


def _grant_without_end(self: Any, now: int, lender: int, serial: int, classes: int) -> None:
    """Count a lease's time from when the grant arrives, and too long."""
    _original_on_grant(self, now, lender, serial, classes)
    lease = self.active.get(lender)
    if lease is not None:
        self.active[lender] = lease._replace(expires_at=now + UNBOUNDED_LEASE)


def _no_granted_groups(_self: Any) -> int:
    """Use slots that have been leased to others."""
    return 0


MUTANTS: dict[str, Mutant] = {
    "old-incarnation-believed": Mutant(Membership, "merge", _believe_any_incarnation),
    "drain-forgotten": Mutant(RecordStore, "drain_state", _forget_drain),
    "ages-begin-anew": Mutant(RecordStore, "get", _get_without_age),
    "observation-without-an-end": Mutant(RecordStore, "expire", _never_expire),
    "slots-without-a-bound": Mutant(SlotAllocation, "depth", _unbounded_depth),
    "dead-node-s-slots-kept": Mutant(SlotAllocation, "depth", _depth_of_all_nodes),
    "lease-without-an-end": Mutant(SlotLeases, "on_grant", _grant_without_end),
    "lent-and-used": Mutant(SlotLeases, "granted_groups", _no_granted_groups),
}

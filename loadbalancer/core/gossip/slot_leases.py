"""Leases on concurrency slots: which node may use another's slots, and until when.

Of each node's slots, those in the upper half of a server's slots may be leased to another node
(`slot_allocation.py`), in server groups. As in a lease of Gray and Cheriton (1989, section
2), the holder counts the TTL from when it sent the request, and the grantor from when it
granted, plus SAFETY_MARGIN_NS. The grant is made after the request was sent, so even if
messages are late, duplicated or lost, the holder has stopped before the grantor uses its slots
again. A node's new process does not know what its earlier one has granted: at first it is
restrained, and uses none of the slots that may be leased until every such lease has ended. Times
are in nanoseconds.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND

LEASE_TTL_NS = 2 * SECOND
SAFETY_MARGIN_NS = 500 * MS  # for the holder's late turn, its open requests, and clock drift
SERVER_GROUPS = 8  # servers are divided by number into groups: the unit in which slots are leased
ALL_SERVER_GROUPS = (1 << SERVER_GROUPS) - 1
MAX_GRANTORS = 12  # of one holder at once: each costs a message a second of the message rate
REQUEST_INTERVAL_NS = 250 * MS
MAX_NEW_REQUESTS = 4  # to further grantors at once
DECLINED_NS = 2 * SECOND  # until the next request to a node that had nothing to lease


class Grant(NamedTuple):
    """A server group that this node has leased to another."""

    holder: int
    expires_at: int


class Lease(NamedTuple):
    """The groups that this node has leased from another, a bit each."""

    groups: int
    requested_at: int
    expires_at: int


class UsableLease(NamedTuple):
    """The groups of one grantor that may be used now, a bit each."""

    grantor: int
    groups: int


class NewRequest(NamedTuple):
    """A request to send."""

    grantor: int
    serial: int  # that the grant repeats


class OpenRequest(NamedTuple):
    """A request that has not been answered yet."""

    grantor: int
    sent_at: int


class SlotLeases:
    """One node's leases, as grantor and as holder: at most SERVER_GROUPS and MAX_GRANTORS."""

    def __init__(self, seed: int) -> None:
        self.grants: dict[int, Grant] = {}  # by server group
        self.active: dict[int, Lease] = {}  # by grantor
        self.changed = True
        self._unrestrained_at = -1  # when `_restrained` ends; -1: not known yet
        self._restrained = True
        self._random = Random(seed)
        self._serial = self._random.getrandbits(30)
        self._requests: dict[int, OpenRequest] = {}  # by serial
        self._declined_until: dict[int, int] = {}  # by grantor
        self._next_request_at = 0

    # ---- grantor -----------------------------------------------------------

    def granted_groups(self) -> int:
        """The groups whose upper slots this node must not use, a bit each."""
        return ALL_SERVER_GROUPS if self._restrained else sum(1 << group for group in self.grants)

    def grant(self, now: int, holder: int, grantable: int) -> int:
        """Grant or renew leases; returns the groups granted to this holder, a bit each.

        `grantable` bounds the groups granted to all holders together.
        """
        self.expire(now)
        if self._restrained:
            return 0
        renewed = [group for group, grant in self.grants.items() if grant.holder == holder]
        free = [group for group in range(SERVER_GROUPS) if group not in self.grants]
        self._random.shuffle(free)
        remaining = max(grantable - (len(self.grants) - len(renewed)), 0)
        groups = 0
        for group in (renewed + free)[:remaining]:
            self.changed = self.changed or group not in self.grants
            self.grants[group] = Grant(holder, now + LEASE_TTL_NS + SAFETY_MARGIN_NS)
            groups |= 1 << group
        return groups

    # ---- holder ------------------------------------------------------------

    def usable(self, now: int) -> list[UsableLease]:
        """The leases that are valid at this moment."""
        return [
            UsableLease(n, lease.groups)
            for n, lease in self.active.items()
            if now < lease.expires_at
        ]

    def requests(self, now: int, grantors: list[int], more: bool) -> list[NewRequest]:
        """The requests to send now.

        Leases whose term is half over are renewed; with `more`, further grantors get requests too.
        """
        if now < self._next_request_at:
            return []
        self._next_request_at = now + REQUEST_INTERVAL_NS
        recipients = [
            n
            for n, lease in self.active.items()
            if now - lease.requested_at >= LEASE_TTL_NS // 2 and n in grantors
        ]
        if more and len(self.active) < MAX_GRANTORS:
            fresh = [n for n in grantors if n not in self.active and n not in self._declined_until]
            count = min(MAX_NEW_REQUESTS, MAX_GRANTORS - len(self.active), len(fresh))
            recipients += self._random.sample(fresh, count)
        requests = []
        for grantor in recipients:
            self._serial += 1
            self._requests[self._serial] = OpenRequest(grantor, now)
            requests.append(NewRequest(grantor, self._serial))
        return requests

    def on_grant(self, now: int, grantor: int, serial: int, groups: int) -> None:
        """Record a grant; ignored without an open request, or for one sent too long ago."""
        request = self._requests.get(serial)
        if request is None or request.grantor != grantor:
            return
        del self._requests[serial]
        groups &= ALL_SERVER_GROUPS
        old = self.active.get(grantor)
        if old is not None and old.requested_at > request.sent_at:
            return
        expires_at = request.sent_at + LEASE_TTL_NS
        if groups == 0 or now >= expires_at:
            self._declined_until[grantor] = now + DECLINED_NS
            self.changed = self.active.pop(grantor, None) is not None or self.changed
            return
        self.changed = self.changed or old is None or old.groups != groups
        self.active[grantor] = Lease(groups, request.sent_at, expires_at)

    def report(self, now: int) -> dict[str, list[list[int]]]:
        """For operators, both ways: node, number of groups, milliseconds remaining."""
        granted: dict[int, list[int]] = {}
        for holder, expires_at in self.grants.values():
            row = granted.setdefault(holder, [holder, 0, 0])
            row[1:] = row[1] + 1, max(row[2], (expires_at - now) // MS)
        leased = [
            [n, lease.groups.bit_count(), (lease.expires_at - now) // MS]
            for n, lease in self.active.items()
        ]
        return {"lent": list(granted.values()), "borrowed": leased}

    # ---- time ----------------------------------------------------------------

    def activate(self, now: int) -> None:
        """This process takes part in the gossip from now on, and no earlier one of this node."""
        if self._unrestrained_at < 0:
            self._unrestrained_at = now + LEASE_TTL_NS + SAFETY_MARGIN_NS

    def restrain(self) -> None:
        """Another process of this node has taken part: as at a start until `activate` and on."""
        self.active.clear()
        self._requests.clear()
        self._restrained, self._unrestrained_at = True, -1
        self.changed = True

    def expire(self, now: int) -> None:
        """Remove expired leases and requests; to be called several times in SAFETY_MARGIN_NS."""
        if self._restrained and 0 <= self._unrestrained_at <= now:
            self._restrained, self.changed = False, True
        for group in [group for group, grant in self.grants.items() if grant.expires_at <= now]:
            del self.grants[group]
            self.changed = True
        for n in [n for n, lease in self.active.items() if lease.expires_at <= now]:
            del self.active[n]
            self.changed = True
        self._requests = {
            serial: request
            for serial, request in self._requests.items()
            if now < request.sent_at + LEASE_TTL_NS
        }
        self._declined_until = {n: t for n, t in self._declined_until.items() if now < t}

"""Leases on concurrency slots: which node may use the slots of another node, and until when.

A node may lease out those of its slots that are in the upper half of a server's slots
(`slot_allocation.py`). Servers are divided into groups, and a lease covers a group. As in the
leases of Gray and Cheriton (1989, section 2), the holder counts the TTL from when it sent the
request, and the grantor from when it granted it, plus SAFETY_MARGIN_NS. The grant happens after the
request was sent, so the holder stops before the grantor uses its slots again, even if messages are
delayed, duplicated or lost.

A new process of a node does not know which leases the previous process has granted. It therefore
starts with a grace period, in which it uses no slots that may be leased, until all those leases
have expired. Times are in nanoseconds.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND

LEASE_TTL_NS = 2 * SECOND
# Covers a late tick of the holder, its requests in flight, and clock drift.
SAFETY_MARGIN_NS = 500 * MS
SERVER_GROUPS = 8  # groups of servers, by server number; slots are leased by group
ALL_SERVER_GROUPS = (1 << SERVER_GROUPS) - 1
MAX_GRANTORS = 12  # grantors of one holder; each costs one message per second of the rate
REQUEST_INTERVAL_NS = 250 * MS  # minimum interval between lease requests
MAX_NEW_REQUESTS = 4  # requests to further grantors in one REQUEST_INTERVAL_NS
DECLINED_RETRY_NS = 2 * SECOND  # time until the next request to a node that granted nothing


class Grant(NamedTuple):
    """A server group that this node has leased to another."""

    holder: int
    expires_at: int


class Lease(NamedTuple):
    """A lease that this node has from another; `groups` is a bit mask of server groups."""

    groups: int
    requested_at: int
    expires_at: int


class UsableLease(NamedTuple):
    """A lease that may be used now; `groups` is a bit mask of server groups."""

    grantor: int
    groups: int


class NewRequest(NamedTuple):
    """A lease request to send."""

    grantor: int
    serial: int  # which the grant will repeat


class OpenRequest(NamedTuple):
    """A lease request without a response."""

    grantor: int
    sent_at: int


class SlotLeases:
    """The leases of one node.

    As a grantor it has at most SERVER_GROUPS of them, and as a holder at most MAX_GRANTORS.
    """

    def __init__(self, seed: int) -> None:
        self.grants: dict[int, Grant] = {}  # by server group
        self.active: dict[int, Lease] = {}  # by grantor
        self.changed = True  # whether leases have changed since the slots were last allocated
        self._grace_ends_at = -1  # time; -1 before `start_grace_period`
        self._in_grace_period = True
        self._random = Random(seed)
        self._serial = self._random.getrandbits(30)
        self._requests: dict[int, OpenRequest] = {}  # by serial
        self._declined_until: dict[int, int] = {}  # by grantor
        self._next_request_at = 0

    # As a grantor.

    def granted_groups(self) -> int:
        """The bit mask of server groups in which this node must not use its upper slots."""
        return (
            ALL_SERVER_GROUPS if self._in_grace_period else sum(1 << group for group in self.grants)
        )

    def grant(self, now: int, holder: int, grantable: int) -> int:
        """Grant or renew leases; returns the bit mask of server groups granted to the holder.

        `grantable` is the maximum number of groups granted to all holders together.
        """
        self.expire(now)
        if self._in_grace_period:
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

    # As a holder.

    def usable(self, now: int) -> list[UsableLease]:
        """The leases that are valid now."""
        return [
            UsableLease(n, lease.groups)
            for n, lease in self.active.items()
            if now < lease.expires_at
        ]

    def requests(self, now: int, grantors: list[int], wants_more: bool) -> list[NewRequest]:
        """The lease requests to send now.

        Leases are renewed at half of their TTL. With `wants_more`, further grantors get requests.
        """
        if now < self._next_request_at:
            return []
        self._next_request_at = now + REQUEST_INTERVAL_NS
        recipients = [
            n
            for n, lease in self.active.items()
            if now - lease.requested_at >= LEASE_TTL_NS // 2 and n in grantors
        ]
        if wants_more and len(self.active) < MAX_GRANTORS:
            new_grantors = [
                n for n in grantors if n not in self.active and n not in self._declined_until
            ]
            count = min(MAX_NEW_REQUESTS, MAX_GRANTORS - len(self.active), len(new_grantors))
            recipients += self._random.sample(new_grantors, count)
        requests = []
        for grantor in recipients:
            self._serial += 1
            self._requests[self._serial] = OpenRequest(grantor, now)
            requests.append(NewRequest(grantor, self._serial))
        return requests

    def on_grant(self, now: int, grantor: int, serial: int, groups: int) -> None:
        """Process a grant. It has no effect without an open request, or if it has expired."""
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
            self._declined_until[grantor] = now + DECLINED_RETRY_NS
            self.changed = self.active.pop(grantor, None) is not None or self.changed
            return
        self.changed = self.changed or old is None or old.groups != groups
        self.active[grantor] = Lease(groups, request.sent_at, expires_at)

    def report(self, now: int) -> dict[str, list[list[int]]]:
        """All leases, for operators. Rows of node, number of groups and remaining milliseconds."""
        granted: dict[int, list[int]] = {}
        for holder, expires_at in self.grants.values():
            row = granted.setdefault(holder, [holder, 0, 0])
            row[1:] = row[1] + 1, max(row[2], (expires_at - now) // MS)
        leased = [
            [n, lease.groups.bit_count(), (lease.expires_at - now) // MS]
            for n, lease in self.active.items()
        ]
        return {"lent": list(granted.values()), "borrowed": leased}

    def start_grace_period(self, now: int) -> None:
        """Start the grace period now, unless it has been started.

        From now on this process sends and receives gossip, and no earlier one of this node does.
        """
        if self._grace_ends_at < 0:
            self._grace_ends_at = now + LEASE_TTL_NS + SAFETY_MARGIN_NS

    def reset_grace_period(self) -> None:
        """Return to the state before `start_grace_period`.

        Another process of this node has taken part in gossip, and may have granted leases.
        """
        self.active.clear()
        self._requests.clear()
        self._in_grace_period, self._grace_ends_at = True, -1
        self.changed = True

    def expire(self, now: int) -> None:
        """Remove expired leases and requests. To be called several times in SAFETY_MARGIN_NS."""
        if self._in_grace_period and 0 <= self._grace_ends_at <= now:
            self._in_grace_period, self.changed = False, True
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

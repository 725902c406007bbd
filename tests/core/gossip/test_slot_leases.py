"""Leases on slots: two nodes never use the same slot, and a lease ends at both of them."""

from __future__ import annotations

from random import Random

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.slot_allocation import LeasedSlots, SlotAllocation
from loadbalancer.core.gossip.slot_leases import (
    ALL_SERVER_GROUPS,
    LEASE_TTL_NS,
    SAFETY_MARGIN_NS,
    SlotLeases,
)


class LeasingNode:
    """A node with leases and slots.

    Its caps are those of its last tick, which is up to SAFETY_MARGIN_NS ago.
    """

    def __init__(self, zone_index: int, skew: int, seed: int) -> None:
        self.zone_index, self.skew, self.starts, self.seed = zone_index, skew, 0, seed
        self.start(0)

    def start(self, now: int) -> None:
        self.starts += 1
        self.leases = SlotLeases(self.seed + 7 * self.starts)
        self.leases.start_grace_period(now + self.skew)
        self.slots = SlotAllocation(self.zone_index, 4, 5, lambda _p: True)
        self.tick(now)

    def tick(self, now: int) -> None:
        self.last_tick_at = now
        self.leases.expire(now + self.skew)
        self.slots.granted_groups = self.leases.granted_groups()
        usable = self.leases.usable(now + self.skew)
        self.slots.leases = [LeasedSlots(zone_index, groups) for zone_index, groups in usable]

    def cap(self, server: int) -> int:
        return self.slots.cap(server, (self.zone_index - server) % 4, 20, 9)


def test_two_nodes_never_use_the_same_slot_under_message_faults() -> None:
    """Messages are lost, delayed, duplicated or outdated; nodes restart, and their ticks are late.

    If the owner and the holder of a slot used it at the same time, a server would get more requests
    than it has slots. To show that leases are in use, some node must get more than its own slots,
    which are two at most.
    """
    assert max(max_used_by_one_node(seed) for seed in range(60)) > 3


def test_a_process_that_takes_part_again_has_a_new_grace_period() -> None:
    """Another process of the node took part meanwhile, leased slots out, and ended.

    This process does not know those leases. If it used or leased out the same slots, a server would
    get more requests than it has slots.
    """
    leases = SlotLeases(1)
    leases.start_grace_period(0)
    began = LEASE_TTL_NS + SAFETY_MARGIN_NS
    leases.expire(began)
    assert leases.granted_groups() == 0
    ((_, serial),) = leases.requests(began, [3], wants_more=True)
    leases.reset_grace_period()
    leases.on_grant(began, 3, serial, 1)  # response to a request from before
    assert leases.usable(began) == []
    leases.start_grace_period(2 * began)
    leases.expire(3 * began - 1)
    assert leases.granted_groups() == ALL_SERVER_GROUPS
    assert leases.grant(3 * began - 1, 2, grantable=8) == 0
    leases.expire(3 * began)
    assert leases.granted_groups() == 0


def max_used_by_one_node(seed: int) -> int:
    """Run four nodes with random faults; returns the most slots one of them had at a server."""
    draw = Random(seed)
    nodes = [
        LeasingNode(zone_index, draw.randrange(10 * SECOND), zone_index) for zone_index in range(4)
    ]
    requests: list[tuple[int, int, int]] = []
    grants: list[tuple[int, int, int, int]] = []
    now = max_cap = 0
    for _ in range(250):
        now += draw.choice((0, 20 * MS, 250 * MS))
        node = draw.choice(nodes)
        event = draw.random()
        if event < 0.35:
            others = [n.zone_index for n in nodes if n is not node]
            for grantor, serial in node.leases.requests(now + node.skew, others, True):
                requests.append((node.zone_index, grantor, serial))
        elif event < 0.65 and requests:
            holder, grantor, serial = draw.choice(requests[-draw.choice((2, 30)) :])
            groups = nodes[grantor].leases.grant(
                now + nodes[grantor].skew, holder, draw.randrange(9)
            )
            nodes[grantor].tick(now)
            grants.append((holder, grantor, serial, groups))
        elif event < 0.97 and grants:
            holder, grantor, serial, groups = draw.choice(grants[-draw.choice((2, 30)) :])
            nodes[holder].leases.on_grant(now + nodes[holder].skew, grantor, serial, groups)
            nodes[holder].tick(now)
        elif event > 0.995:
            node.start(now)
        for n in nodes:
            if now - n.last_tick_at > SAFETY_MARGIN_NS - 250 * MS:
                n.tick(now)
        for server in range(9):
            caps = [n.cap(server) for n in nodes]
            assert sum(caps) <= 5
            max_cap = max(max_cap, *caps)
    return max_cap


def test_a_grantor_retains_what_it_needs_and_the_ttl_starts_at_the_request() -> None:
    slots = SlotAllocation(0, 4, 8, lambda _p: True)
    depths = [(server % 4, 8) for server in range(16)]  # two slots at each, one may be leased
    needed = (0, 16, 20, 31.9, 32.5)
    grantable = [slots.grantable_groups(depths, 16, need, 32) for need in needed]
    assert grantable == [8, 8, 6, 0, 0]
    grantor, holder = SlotLeases(1), SlotLeases(2)
    grantor.start_grace_period(0)
    assert grantor.grant(LEASE_TTL_NS, 1, 8) == 0  # an earlier process may have granted its slots
    assert grantor.granted_groups() == 255
    grantor.expire(LEASE_TTL_NS + SAFETY_MARGIN_NS)
    ((_, serial),) = holder.requests(0, [5], True)
    assert grantor.grant(3 * SECOND, 1, 3).bit_count() == grantor.granted_groups().bit_count() == 3
    assert grantor.grant(3 * SECOND, 2, 4).bit_count() == 1  # the other groups are granted already
    holder.on_grant(LEASE_TTL_NS - 1, 5, serial + 1, 7)
    holder.on_grant(LEASE_TTL_NS - 1, 4, serial, 7)  # neither responds to an open request
    assert holder.active == {}
    holder.on_grant(LEASE_TTL_NS - 1, 5, serial, 7)
    assert holder.usable(LEASE_TTL_NS - 1) == [(5, 7)]
    assert holder.usable(LEASE_TTL_NS) == []
    (first,) = holder.requests(LEASE_TTL_NS, [5], True)
    (second,) = holder.requests(LEASE_TTL_NS + SECOND, [5], True)
    holder.on_grant(2 * LEASE_TTL_NS, 5, second[1], 7)
    holder.on_grant(
        2 * LEASE_TTL_NS, 5, first[1], 255
    )  # arrives after the response to the later request
    assert holder.usable(3 * LEASE_TTL_NS - SECOND - 1) == [(5, 7)]
    ((_, late),) = SlotLeases(3).requests(0, [5], True)
    stale = SlotLeases(3)
    stale.requests(0, [5], True)
    stale.on_grant(LEASE_TTL_NS, 5, late, 7)  # arrives after the TTL of the lease
    assert stale.active == {}
    assert stale.requests(LEASE_TTL_NS + SECOND, [5], True) == []

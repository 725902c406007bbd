"""Computes which concurrency slots of a server this node may use.

The result depends on which nodes are alive, and on leases. The slots of a server are numbered, and
each is owned by one node of the server's zone: the nodes own them in rotation, starting with the
node that `endpoint_caps` ranks first.

Without gossip, each node uses the slots that it owns among the first `depth` slots, where `depth`
comes from the concurrency limit. With gossip, `depth` grows by the slots of dead nodes, so that
the alive nodes together own as many slots as the limit allows, but never beyond `max_slots`. Nodes
with the same endpoint list never own the same slot. Therefore all nodes together use at most
`max_slots` at each server, whatever messages are delivered, lost or forged. (With different lists
the nodes rank differently until the lists agree; this is so without gossip, too.)

A concurrency limit above `max_slots` is reduced where the alive nodes alone would exceed
`max_slots`. A node that needs more than its own slots leases slots from other nodes
(`slot_leases.py`), which do not use them for the time of the lease. Only slots in the upper half
are leased, so that every node retains its slots in the lower half.

A node that receives no messages for ISOLATED_AFTER_NS (`Membership.receives_no_messages`), which is
longer than any lease, can lease nothing, and uses at least the slots that it would use without
gossip.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from loadbalancer.core.gossip.slot_leases import SERVER_GROUPS

MIN_SLOTS_PER_NODE = 3  # slots of one node at all servers together that `max_slots` provides for


class LeasedSlots(NamedTuple):
    """A bit mask of server groups, whose slots are leased from the node at `zone_index`."""

    zone_index: int
    groups: int


class SlotAllocation:
    """The slots of the servers in the zone of this node.

    The slots of servers in other zones are divided without gossip. A node is identified by its
    index within the zone.
    """

    __slots__ = (
        "_all_alive",
        "_depths",
        "_is_alive",
        "_nodes",
        "_slots_per_server",
        "_zone_index",
        "granted_groups",
        "isolated",
        "leases",
    )

    def __init__(
        self,
        zone_index: int,
        nodes: int,
        slots_per_server: int,
        is_alive: Callable[[int], bool],
    ) -> None:
        """Compute the slots of one node.

        Args:
            zone_index: index of this node within its zone.
            nodes: number of nodes in the zone.
            slots_per_server: number of slots of one server.
            is_alive: whether the node at an index counts as alive.
        """
        self._zone_index = zone_index
        self._nodes = max(nodes, 1)
        self._slots_per_server = slots_per_server
        self._is_alive = is_alive
        self._all_alive = True
        # Results of `_depth_past_dead` by (first slot, depth, max_slots), until liveness changes.
        # Computing them for hundreds of servers each time would block the event loop for
        # milliseconds.
        self._depths: dict[tuple[int, int, int], int] = {}
        self.isolated = False  # if set, use at least the slots that the node has without gossip
        self.granted_groups = 0  # bit mask of server groups whose upper slots are leased out
        self.leases: list[LeasedSlots] = []

    def refresh(self) -> None:
        """Update which nodes are alive. To be called before the caps are computed again."""
        self._all_alive = all(self._is_alive(zone_index) for zone_index in range(self._nodes))
        self._depths.clear()

    def max_slots(self, servers: int) -> int:
        """The number of slots of one server, increased if there are few servers.

        Then all nodes together get MIN_SLOTS_PER_NODE slots for each node.
        """
        return max(self._slots_per_server, -(-MIN_SLOTS_PER_NODE * self._nodes // max(servers, 1)))

    def depth(self, first_slot: int, depth: int, servers: int) -> int:
        """The number of slots of a server of which the alive nodes use those that they own.

        `depth` is the one without gossip. `first_slot` is the first slot that this node owns there.
        """
        max_slots = self.max_slots(servers)
        if self._all_alive or depth <= 0:
            return min(depth, max_slots)
        key = (first_slot, depth, max_slots)
        cached = self._depths.get(key)
        if cached is None:
            cached = self._depths[key] = self._depth_past_dead(first_slot, depth, max_slots)
        return cached

    def _depth_past_dead(self, first_slot: int, depth: int, max_slots: int) -> int:
        first = self._zone_index - first_slot
        wanted = min(depth, max_slots)
        slot = alive = 0
        # Count until `wanted` slots of alive nodes are found, within `max_slots`. If `depth` is
        # above `max_slots`, count up to `depth`, until `max_slots` slots of alive nodes are found.
        while (slot < max_slots and alive < wanted) or (slot < depth and alive < max_slots):
            alive += self._is_alive((first + slot) % self._nodes)
            slot += 1
        return slot

    def cap(self, server: int, first_slot: int, depth: int, servers: int) -> int:
        """How many concurrent requests this node may send to a server, with its leases."""
        max_slots = self.max_slots(servers)
        group_bit = 1 << server % SERVER_GROUPS
        cap = self.own_slots(first_slot, depth, servers, bool(self.granted_groups & group_bit))
        # At a lower depth, for a slow server or under congestion, leased slots are not used.
        if depth >= max_slots:
            for zone_index, groups in self.leases:
                if groups & group_bit:
                    first = (zone_index - self._zone_index + first_slot) % self._nodes
                    cap += self._count(first, max_slots) - self._count(first, max_slots // 2)
        return cap

    def own_slots(self, first_slot: int, depth: int, servers: int, leased_out: bool) -> int:
        """How many of the slots that this node owns at a server it may use.

        If `leased_out` is set, the slots in the upper half do not count.
        """
        slots = self.depth(first_slot, depth, servers)
        if self.isolated:
            return self._count(first_slot, max(slots, depth))
        return self._count(
            first_slot, min(slots, self.max_slots(servers) // 2) if leased_out else slots
        )

    def _count(self, first: int, depth: int) -> int:
        """How many of the first `depth` slots the node owns whose first slot is `first`."""
        return -(-(depth - first) // self._nodes) if depth > first else 0

    def grantable_groups(
        self, depths: list[tuple[int, int]], servers: int, needed: float, owned: int
    ) -> int:
        """How many server groups this node can lease out and retain `needed` of its `owned` slots.

        `depths` has the first slot of this node and the depth for each server.
        """
        if owned < needed:
            return 0
        lower = sum(
            self.own_slots(first, depth, servers, leased_out=True) for first, depth in depths
        )
        per_group = (owned - lower) / SERVER_GROUPS
        return min(int((owned - needed) / per_group), SERVER_GROUPS) if per_group else SERVER_GROUPS

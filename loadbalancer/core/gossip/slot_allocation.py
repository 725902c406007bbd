"""Which of a server's concurrency slots this node may use, by liveness of nodes and by leases.

The slots of a server are in one order, and each is owned by one node (`endpoint_caps`). Without
gossip the nodes use the slots below a depth, the concurrency limit. With gossip the depth grows
past slots of dead nodes, until the alive nodes have as many slots as the limit says, and never
beyond `max_slots`. Nodes with the same list never own the same slot, so whatever messages arrive,
are lost or are false, all nodes together stay within `max_slots` at every server. (Lists that
differ shift the order, with gossip or without, until they agree.) A concurrency limit above
`max_slots` is cut where the alive nodes alone would exceed it: what a node needs beyond its own
slots it leases from others (`slot_leases.py`), which do not use them meanwhile. Only slots of the
upper half are leased, so that every node retains the lower half.

A node that receives no messages (`Membership.receives_no_messages`, after ISOLATED_AFTER_NS,
which is longer than any lease) can lease nothing, and uses at least the slots that it would use
without gossip.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from loadbalancer.core.gossip.slot_leases import SERVER_GROUPS

MIN_SLOTS_PER_NODE = 3  # that a node needs: `max_slots` is raised to give every node so many


class LeasedSlots(NamedTuple):
    """The groups whose slots are leased from the node at one place of the zone, a bit each."""

    place: int
    groups: int


class SlotAllocation:
    """Slots of servers in this node's own zone; those of other zones are divided without gossip."""

    __slots__ = (
        "_all_alive",
        "_depths",
        "_is_alive",
        "_nodes",
        "_place",
        "_slots",
        "granted_groups",
        "isolated",
        "leases",
    )

    def __init__(self, place: int, nodes: int, slots: int, is_alive: Callable[[int], bool]) -> None:
        """The node at `place` of the `nodes` of its zone; `is_alive` answers for a place.

        `slots` is the number of slots of one server.
        """
        self._place = place
        self._nodes = max(nodes, 1)
        self._slots = slots
        self._is_alive = is_alive
        self._all_alive = True
        # Results of `_depth_past_dead` by (first slot, depth, max_slots), until liveness changes:
        # the walk over the slots of hundreds of servers would block the loop for milliseconds.
        self._depths: dict[tuple[int, int, int], int] = {}
        self.isolated = False  # no messages are received: use at least the slots without gossip
        self.granted_groups = 0  # whose upper slots are leased to others, a bit each
        self.leases: list[LeasedSlots] = []

    def refresh(self) -> None:
        """Update which nodes are alive; to be called before caps are computed anew."""
        self._all_alive = all(self._is_alive(place) for place in range(self._nodes))
        self._depths.clear()

    def max_slots(self, servers: int) -> int:
        """Slots of one server in all; with few servers, MIN_SLOTS_PER_NODE for each node."""
        return max(self._slots, -(-MIN_SLOTS_PER_NODE * self._nodes // max(servers, 1)))

    def depth(self, first_slot: int, depth: int, servers: int) -> int:
        """How many slots of a server the alive nodes use, where the limit asks for `depth`.

        `first_slot` is this node's first slot there.
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
        first = self._place - first_slot
        wanted = min(depth, max_slots)
        slot = alive = 0
        # Go on until `wanted` slots of alive nodes are found, within `max_slots`. For a limit
        # above `max_slots` go on to `depth`, until `max_slots` slots of alive nodes are found.
        while (slot < max_slots and alive < wanted) or (slot < depth and alive < max_slots):
            alive += self._is_alive((first + slot) % self._nodes)
            slot += 1
        return slot

    def cap(self, server: int, first_slot: int, depth: int, servers: int) -> int:
        """How many requests this node may have at a server, by its own slots and by leases."""
        max_slots = self.max_slots(servers)
        group_bit = 1 << server % SERVER_GROUPS
        cap = self.own(first_slot, depth, servers, bool(self.granted_groups & group_bit))
        # Below `max_slots` (a slow server, or congestion) leased slots are not used.
        if depth >= max_slots:
            for place, groups in self.leases:
                if groups & group_bit:
                    first = (place - self._place + first_slot) % self._nodes
                    cap += self._count(first, max_slots) - self._count(first, max_slots // 2)
        return cap

    def own(self, first_slot: int, depth: int, servers: int, leased_out: bool) -> int:
        """How many of a server's slots are this node's own, less the upper half if leased out."""
        slots = self.depth(first_slot, depth, servers)
        if self.isolated:
            return self._count(first_slot, max(slots, depth))
        return self._count(
            first_slot, min(slots, self.max_slots(servers) // 2) if leased_out else slots
        )

    def _count(self, first: int, depth: int) -> int:
        """How many slots below `depth` belong to the node whose first slot is `first`."""
        return -(-(depth - first) // self._nodes) if depth > first else 0

    def grantable_groups(
        self, depths: list[tuple[int, int]], servers: int, needed: float, owned: int
    ) -> int:
        """How many groups this node can lease out and still have `needed` of its `owned` slots.

        `depths`: (first slot, depth) of each server.
        """
        if owned < needed:
            return 0
        lower = sum(self.own(first, depth, servers, leased_out=True) for first, depth in depths)
        per_group = (owned - lower) / SERVER_GROUPS
        return min(int((owned - needed) / per_group), SERVER_GROUPS) if per_group else SERVER_GROUPS

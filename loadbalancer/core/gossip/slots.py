"""Which of a server's slots are this node's, among the living, and which are lent.

The concurrency slots of a server stand in one order, each of them one node's for good
(`Balancer.redeal`). What messages change is how deep into that order the living go: past
slots whose nodes are dead, for as many living ones as the level asks, and never beyond
`most` slots. Among nodes with one list no two own one slot, so whatever messages come, are lost
or lie, and whoever believes what of the nodes, deepening keeps all together within `most` at
every server. (Lists that differ shift the order, with gossip or without, until they agree.)
A level that pressure has raised beyond `most` is cut where the living alone would pass it:
what a node needs beyond its own slots it borrows of others (`leases.py`), which leave them
alone meanwhile. Only slots of the upper half are lent, so that every node keeps the lower.

A node that hears nobody (`Members.unheard`, ISOLATED_AFTER, which is longer than any lease) can
borrow nothing, and goes as deep as it would without gossip: pressure and jams alone bound it.
"""

from __future__ import annotations

from collections.abc import Callable

from loadbalancer.core.gossip.slot_leases import CLASSES

LEAST = 3  # slots that a node needs to serve at all: with fewer slots than that none are cut


class Slots:
    """For servers of this node's own zone; the others' are dealt as without gossip."""

    __slots__ = (
        "_depths",
        "_living",
        "_most",
        "_nodes",
        "_place",
        "_whole",
        "borrowed",
        "free",
        "out",
    )

    def __init__(self, place: int, nodes: int, most: int, living: Callable[[int], bool]) -> None:
        """`living` tells of a place among the `nodes` of the zone."""
        self._place = place
        self._nodes = max(nodes, 1)
        self._most = most
        self._living = living
        self._whole = True
        # Depths past the dead by (deal, depth, most), until others live: a walk over the slots
        # of 270 servers took 12 ms with 141 of 200 nodes dead, twice a second.
        self._depths: dict[tuple[int, int, int], int] = {}
        self.free = False  # nobody is heard: at least what there would be without gossip
        self.out = 0  # classes of servers where our upper slots are lent
        self.borrowed: list[tuple[int, int]] = []  # the lender's place, classes

    def refresh(self) -> None:
        """Take in who lives by now, once before the servers are gone through."""
        self._whole = all(self._living(place) for place in range(self._nodes))
        self._depths.clear()

    def most(self, servers: int) -> int:
        """Slots of one server in all. Few nodes before few servers each keep LEAST."""
        return max(self._most, -(-LEAST * self._nodes // max(servers, 1)))

    def depth(self, deal: int, depth: int, servers: int) -> int:
        """How many slots of a server the living use, where the level asks for `depth`.

        `deal` is this node's first slot there.
        """
        most = self.most(servers)
        if self._whole or depth <= 0:
            return min(depth, most)
        key = (deal, depth, most)
        found = self._depths.get(key)
        if found is None:
            found = self._depths[key] = self._past_the_dead(deal, depth, most)
        return found

    def _past_the_dead(self, deal: int, depth: int, most: int) -> int:
        first = self._place - deal
        asked = min(depth, most)
        slot = lived = 0
        # Past the dead for as many living as were asked for, within what a server takes; and
        # under pressure as deep as without gossip, while the living there are no more than that.
        while (slot < most and lived < asked) or (slot < depth and lived < most):
            lived += self._living((first + slot) % self._nodes)
            slot += 1
        return slot

    def cap(self, server: int, deal: int, depth: int, servers: int) -> int:
        """How many requests this node may have at a server, its own slots and borrowed ones."""
        most = self.most(servers)
        bit = 1 << server % CLASSES
        own = self.own(deal, depth, servers, bool(self.out & bit))
        # Where a slow server or a jam asks for less than its own slots, none of others.
        if depth >= most:
            for place, classes in self.borrowed:
                if classes & bit:
                    theirs = (place - self._place + deal) % self._nodes
                    own += self._taken(theirs, most) - self._taken(theirs, most // 2)
        return own

    def own(self, deal: int, depth: int, servers: int, lent: bool) -> int:
        """Of these, its own, with or without the upper ones."""
        slots = self.depth(deal, depth, servers)
        if self.free:
            return self._taken(deal, max(slots, depth))
        return self._taken(deal, min(slots, self.most(servers) // 2) if lent else slots)

    def _taken(self, deal: int, depth: int) -> int:
        """Slots from `deal` on, each as many on as there are nodes, before `depth`."""
        return -(-(depth - deal) // self._nodes) if depth > deal else 0

    def spare(self, rows: list[tuple[int, int]], servers: int, need: float, whole: int) -> int:
        """Classes that this node can lend and still have `need` of the `whole` of its slots.

        `rows`: (deal, depth) of each server.
        """
        if whole < need:
            return 0
        least = sum(self.own(deal, depth, servers, True) for deal, depth in rows)
        each = (whole - least) / CLASSES
        return min(int((whole - need) / each), CLASSES) if each else CLASSES

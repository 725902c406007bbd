"""Which of a server's slots are this node's, among the living, and which are lent.

The slots of a server stand in one order of seats, each of which is one node's for good
(`Balancer.redeal`). What words change is how deep into that order the living go: past
seats whose nodes are dead, for as many living ones as the level asks, and never beyond
`most` seats. Among nodes with one list no two own one seat, so whatever words come, are lost
or lie, and whoever believes what of the nodes, deepening keeps all together within `most` at
every server. (Lists that differ shift the order, with words or without, until they agree.)
A level that pressure has raised beyond `most` is cut where the living alone would pass it:
what a node needs beyond its own seats it borrows of others (`loans.py`), which leave them
alone meanwhile. Only seats of the upper half are lent, so that every node keeps the lower.

A node that hears nobody (`Members.unheard`, ALONE, which is longer than any loan) can borrow
nothing, and goes as deep as it would without words: pressure and jams alone bound it then.
"""

from __future__ import annotations

from collections.abc import Callable

from flinthatch.fleet.loans import CLASSES

LEAST = 3  # slots that a node needs to serve at all: with fewer seats than that none are cut


class Seats:
    """For servers of this node's own zone; the others' are dealt as without words."""

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
        # Depths past the dead by (deal, depth, most), until others live: a walk over the seats
        # of 270 servers took 12 ms with 141 of 200 nodes dead, twice a second.
        self._depths: dict[tuple[int, int, int], int] = {}
        self.free = False  # nobody is heard: at least what there would be without words
        self.out = 0  # classes of servers where our upper seats are lent
        self.borrowed: list[tuple[int, int]] = []  # the lender's place, classes

    def look(self) -> None:
        """Take in who lives by now, once before the servers are gone through."""
        self._whole = all(self._living(place) for place in range(self._nodes))
        self._depths.clear()

    def most(self, servers: int) -> int:
        """Seats of one server in all. Few nodes before few servers each keep LEAST."""
        return max(self._most, -(-LEAST * self._nodes // max(servers, 1)))

    def depth(self, deal: int, depth: int, servers: int) -> int:
        """How many seats of a server the living use, where the level asks for `depth`.

        `deal` is this node's first seat there.
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
        seat = lived = 0
        # Past the dead for as many living as were asked for, within what a server takes; and
        # under pressure as deep as without words, while the living there are no more than that.
        while (seat < most and lived < asked) or (seat < depth and lived < most):
            lived += self._living((first + seat) % self._nodes)
            seat += 1
        return seat

    def cap(self, server: int, deal: int, depth: int, servers: int) -> int:
        """How many requests this node may have at a server, its own seats and borrowed ones."""
        most = self.most(servers)
        bit = 1 << server % CLASSES
        own = self.own(deal, depth, servers, bool(self.out & bit))
        # Where a slow server or a jam asks for less than its own seats, none of others.
        if depth >= most:
            for place, classes in self.borrowed:
                if classes & bit:
                    theirs = (place - self._place + deal) % self._nodes
                    own += self._taken(theirs, most) - self._taken(theirs, most // 2)
        return own

    def own(self, deal: int, depth: int, servers: int, lent: bool) -> int:
        """Of these, its own, with or without the upper ones."""
        seats = self.depth(deal, depth, servers)
        if self.free:
            return self._taken(deal, max(seats, depth))
        return self._taken(deal, min(seats, self.most(servers) // 2) if lent else seats)

    def _taken(self, deal: int, depth: int) -> int:
        """Seats from `deal` on, each as many on as there are nodes, before `depth`."""
        return -(-(depth - deal) // self._nodes) if depth > deal else 0

    def spare(self, rows: list[tuple[int, int]], servers: int, need: float, whole: int) -> int:
        """Classes that this node can lend and still have `need` of the `whole` of its seats.

        `rows`: (deal, depth) of each server.
        """
        if whole < need:
            return 0
        least = sum(self.own(deal, depth, servers, True) for deal, depth in rows)
        each = (whole - least) / CLASSES
        return min(int((whole - need) / each), CLASSES) if each else CLASSES

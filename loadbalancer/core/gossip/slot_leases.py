"""Slots lent by need: who may use whose, and until when, with nobody's clock read at another.

Of each node's slots those in the upper half of what a server takes may be lent (`Slots`), by
classes of servers. In a lease (Gray and Cheriton, 1989, section 2) the borrower counts from
when it asked and the lender from when it lent, SLACK longer: the message that lends lies
between the two, so however long messages take, come twice or are lost, the borrower has stopped
before the lender goes on. What a node's earlier start has lent is not known to its next one,
which leaves all that may be lent alone until every such lease has ended.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND

SPAN = 2 * SECOND
SLACK = 500 * MS  # for a borrower's late turn, what it has out by then, and clocks that drift
CLASSES = 8  # of servers, by their number: what one lease is dealt out in
ALL = (1 << CLASSES) - 1
LENDERS = 12  # at once: a message each second and lender, within the pace
ASK_EVERY = 250 * MS
ASK_AT_ONCE = 4
DECLINED = 2 * SECOND  # until one that had nothing to lend is asked again


class Lent(NamedTuple):
    to: int
    until: int


class Held(NamedTuple):
    classes: int  # a bit each
    asked: int
    until: int


class SlotLeases:
    """One node's leases, both ways. Bounded by CLASSES and LENDERS, whoever asks how often."""

    def __init__(self, seed: int) -> None:
        self.lent: dict[int, Lent] = {}  # by class
        self.held: dict[int, Held] = {}  # by lender
        self.changed = True
        self._free_from = -1  # when this start may use and lend all of its own; -1: unknown yet
        self._restrained = True
        self._random = Random(seed)
        self._serial = self._random.getrandbits(30)
        self._asked: dict[int, tuple[int, int]] = {}  # serial -> lender, when
        self._declined: dict[int, int] = {}  # lender -> until when
        self._next = 0

    # ---- lending -----------------------------------------------------------

    def out(self) -> int:
        """Classes whose upper slots this node leaves alone."""
        return ALL if self._restrained else sum(1 << c for c in self.lent)

    def lend(self, now: int, to: int, spare: int) -> int:
        """Lend or lend on up to `spare` classes in all; those that the asker now has."""
        self.expire(now)
        if self._restrained:
            return 0
        theirs = [c for c, lent in self.lent.items() if lent.to == to]
        free = [c for c in range(CLASSES) if c not in self.lent]
        self._random.shuffle(free)
        room = max(spare - (len(self.lent) - len(theirs)), 0)
        mask = 0
        for c in (theirs + free)[:room]:
            self.changed = self.changed or c not in self.lent
            self.lent[c] = Lent(to, now + SPAN + SLACK)
            mask |= 1 << c
        return mask

    # ---- borrowing ---------------------------------------------------------

    def borrowed(self, now: int) -> list[tuple[int, int]]:
        """(lender, classes) that this node may use at this moment."""
        return [(n, h.classes) for n, h in self.held.items() if now < h.until]

    def asks(self, now: int, others: list[int], more: bool) -> list[tuple[int, int]]:
        """(lender, serial) to ask now: those whose lease is half over, and `more` beside them."""
        if now < self._next:
            return []
        self._next = now + ASK_EVERY
        wanted = [n for n, h in self.held.items() if now - h.asked >= SPAN // 2 and n in others]
        if more and len(self.held) < LENDERS:
            fresh = [n for n in others if n not in self.held and n not in self._declined]
            count = min(ASK_AT_ONCE, LENDERS - len(self.held), len(fresh))
            wanted += self._random.sample(fresh, count)
        rows = []
        for lender in wanted:
            self._serial += 1
            self._asked[self._serial] = (lender, now)
            rows.append((lender, self._serial))
        return rows

    def granted(self, now: int, lender: int, serial: int, classes: int) -> None:
        """An answer has come. Of no use where nobody asked for it, or asked too long ago."""
        asked = self._asked.get(serial)
        if asked is None or asked[0] != lender:
            return
        del self._asked[serial]
        classes &= ALL
        old = self.held.get(lender)
        if old is not None and old.asked > asked[1]:
            return
        if classes == 0 or now >= asked[1] + SPAN:
            self._declined[lender] = now + DECLINED
            self.changed = self.held.pop(lender, None) is not None or self.changed
            return
        self.changed = self.changed or old is None or old.classes != classes
        self.held[lender] = Held(classes, asked[1], asked[1] + SPAN)

    def report(self, now: int) -> dict[str, list[list[int]]]:
        """For people: node, classes in eighths, milliseconds left, both ways."""
        lent: dict[int, list[int]] = {}
        for to, until in self.lent.values():
            row = lent.setdefault(to, [to, 0, 0])
            row[1:] = row[1] + 1, max(row[2], (until - now) // MS)
        held = [[n, h.classes.bit_count(), (h.until - now) // MS] for n, h in self.held.items()]
        return {"lent": list(lent.values()), "borrowed": held}

    # ---- time ----------------------------------------------------------------

    def begin(self, now: int) -> None:
        """This start speaks from now on, and no earlier one of this node does any more."""
        if self._free_from < 0:
            self._free_from = now + SPAN + SLACK

    def expire(self, now: int) -> None:
        """End what has ended; to be called several times within SLACK."""
        if self._restrained and 0 <= self._free_from <= now:
            self._restrained, self.changed = False, True
        for c in [c for c, lent in self.lent.items() if lent.until <= now]:
            del self.lent[c]
            self.changed = True
        for n in [n for n, held in self.held.items() if held.until <= now]:
            del self.held[n]
            self.changed = True
        self._asked = {s: a for s, a in self._asked.items() if now < a[1] + SPAN}
        self._declined = {n: until for n, until in self._declined.items() if now < until}

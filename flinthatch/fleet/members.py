"""Who lives: SWIM with Lifeguard's suspicion, of one node.

Das, Gupta, Motivala, "SWIM" (2002), sections 3 and 4: a node asks one other each period,
in turns over a shuffled ring; one that does not answer is asked for by others, then
suspected, then taken for dead unless it says otherwise under a new incarnation. Dadgar,
Phillips, Currey, "Lifeguard" (2017), section IV: a node whose own probes fail waits longer,
and a suspicion ends the sooner the more accuse. Free of I/O and clock.
"""

from __future__ import annotations

from math import log, log10
from random import Random

from flinthatch.fleet.words import Kind, Life, Out, Standing, Word, mark
from flinthatch.model import MS, SECOND

PERIOD = 500 * MS
ANSWER_IN = 200 * MS  # of a period, for the answer to an ASK; what is left is for ASK_FOR
HELPERS = 3  # nodes asked to ask another
HEALTH_MOST = 8  # Lifeguard's multiplier: periods and answers are that much slower at most
TRIES = 2  # periods in a row without an answer, before a suspicion: at 30% loss each
#            fails 1 time in 20, and one in a row would fill all words with suspicions
RETRY_IN = 100 * MS  # an ASK is sent so often in a period
SUSPECT_LEAST = 2  # periods that a suspicion lasts, times the logarithm of the nodes
SUSPECT_MOST = 4  # of those, while nobody else accuses
ACCUSERS = 3  # after which it lasts the least
ALONE = 3 * SECOND  # without a word from anyone
WIDEST = 8  # nodes asked anew in one period
DEAD_EVERY = 5  # one period in so many asks a dead one: a healed link is found
STALLED = SECOND  # later than this, and what was silent was we
DOUBTED_FOR = 30 * SECOND  # a name that two processes speak under
OLD_WORDS = 3  # of an older incarnation, while a newer one speaks, that tell of two


class Peer:
    """One other node as this one sees it."""

    __slots__ = ("accusers", "doubted_until", "heard", "incarnation", "old", "since", "standing")

    def __init__(self) -> None:
        self.incarnation = 0
        self.standing = Standing.ALIVE  # until something tells otherwise
        self.since = 0  # of the suspicion
        self.heard = 0  # its own last word, 0 for none yet
        self.accusers: set[int] = set()
        self.old = 0
        self.doubted_until = 0


class Probe:
    """Of one node: over one period, or over TRIES where it does not answer."""

    __slots__ = ("asked", "began", "helped", "node", "serial", "tries")

    def __init__(self, node: int, serial: int, now: int) -> None:
        self.node = node
        self.serial = serial
        self.began = now  # of this period
        self.asked = now  # last
        self.helped = 0  # times that others were asked
        self.tries = 1


class Members:
    """The other nodes of the tier, by their numbers, and this one's own incarnation."""

    def __init__(self, me: int, nodes: int, incarnation: int, seed: int, now: int = 0) -> None:
        self.me = me
        self.incarnation = incarnation
        self.peers = {n: Peer() for n in range(nodes) if n != me}
        self.health = 0
        self.news: list[Life] = []  # to be told on, in the order they came up
        self.refuted = 0
        self.flips = 0  # times that a node came to count as living, or no longer did
        self._random = Random(seed)
        self._ring: list[int] = []
        self._periods = 0
        # Not from 0: an answer to this node's last start must not pass for one to this.
        self._serial = self._random.getrandbits(30)
        self._probes: dict[int, Probe] = {}  # by serial
        self._wide = 1  # new ones a period: doubled while they fail, as after a mass kill
        self._next = 0
        self._heard = 0  # the last word from anyone
        self._began = now  # or went on, after a stop
        self._suspects: set[int] = set()
        # The ASKs sent for others: serial of ours -> (who asked, its serial, of whom, when).
        self._errands: dict[int, tuple[int, int, int, int]] = {}

    # ---- what is known ------------------------------------------------------

    def living(self, node: int) -> bool:
        """Whether a node counts: also while it is only suspected."""
        return node == self.me or self.peers[node].standing <= Standing.SUSPECT

    def count(self) -> int:
        """How many count as living, this one among them."""
        return 1 + sum(p.standing <= Standing.SUSPECT for p in self.peers.values())

    def others(self) -> list[int]:
        """The living ones but this."""
        return [n for n, p in self.peers.items() if p.standing <= Standing.SUSPECT]

    def believed(self, now: int) -> set[int]:
        """Whose sights count: not those of a name that two processes speak under."""
        return {n for n, p in self.peers.items() if p.doubted_until <= now}

    def lives(self) -> list[Life]:
        """Everything that is not as one would assume it."""
        return [
            Life(n, p.incarnation, p.standing)
            for n, p in self.peers.items()
            if p.standing != Standing.ALIVE
        ]

    def life(self, node: int) -> Life:
        if node == self.me:
            return Life(node, self.incarnation, Standing.ALIVE)
        p = self.peers[node]
        return Life(node, p.incarnation, p.standing)

    def digest(self) -> int:
        """Of what `lives` gives."""
        total = 0
        for life in self.lives():
            total ^= mark(life)
        return total

    # ---- words ---------------------------------------------------------------

    def hear(self, now: int, origin: int, incarnation: int) -> bool:
        """A node has spoken itself; False where its word is of an incarnation gone by."""
        p = self.peers[origin]
        self._heard = now
        if incarnation < p.incarnation:
            # A late datagram, or two processes under one name, which does not end.
            if now - p.heard < STALLED:
                p.old += 1
                if p.old >= OLD_WORDS:
                    p.old = 0
                    p.doubted_until = now + DOUBTED_FOR
            return False
        if incarnation > p.incarnation:
            p.incarnation = incarnation
            if p.standing != Standing.ALIVE:
                self._set(now, origin, Standing.ALIVE)
        p.heard = now
        return True

    def merge(self, now: int, accuser: int, life: Life) -> bool:
        """Take in what another says of a node; whether it was news."""
        node, incarnation, standing = life.node, life.incarnation, Standing(life.standing)
        if node == self.me:
            return self._of_us(incarnation, standing)
        p = self.peers[node]
        if incarnation < p.incarnation:
            return False
        if incarnation == p.incarnation and standing <= p.standing:
            if standing == Standing.SUSPECT == p.standing:
                p.accusers.add(accuser)
            return False
        p.incarnation = incarnation
        self._set(now, node, standing)
        if standing == Standing.SUSPECT:
            p.accusers = {accuser}
        return True

    def older(self, life: Life) -> bool:
        """Whether a record is of an incarnation that we know to be over."""
        return life.node != self.me and life.incarnation < self.peers[life.node].incarnation

    def _of_us(self, incarnation: int, standing: Standing) -> bool:
        """Others say that we are gone, or were here later than we know: we say otherwise."""
        if incarnation < self.incarnation or (
            incarnation == self.incarnation and standing == Standing.ALIVE
        ):
            return False
        self.incarnation = incarnation + 1
        self.refuted += 1
        self.health = min(self.health + 1, HEALTH_MOST)
        self.news.append(self.life(self.me))
        return False

    def _set(self, now: int, node: int, standing: Standing) -> None:
        p = self.peers[node]
        self.flips += (standing > Standing.SUSPECT) != (p.standing > Standing.SUSPECT)
        p.standing = standing
        p.since = now
        p.accusers = set()
        if standing == Standing.SUSPECT:
            self._suspects.add(node)
        else:
            self._suspects.discard(node)
        self.news.append(self.life(node))

    def answer(self, now: int, word: Word) -> list[Out]:
        """The protocol's own part of a word."""
        me, inc = self.me, self.incarnation
        if word.kind == Kind.ASK:
            return [Out(word.origin, Word(Kind.ANSWER, me, inc, word.serial, me))]
        if word.kind == Kind.ASK_FOR and word.subject in self.peers:
            self._serial += 1
            self._errands[self._serial] = (word.origin, word.serial, word.subject, now)
            return [Out(word.subject, Word(Kind.ASK, me, inc, self._serial))]
        if word.kind != Kind.ANSWER:
            return []
        errand = self._errands.get(word.serial)
        if errand is not None and errand[2] == word.origin:
            del self._errands[word.serial]
            back = Word(Kind.ANSWER, me, inc, errand[1], word.origin)
            return [Out(errand[0], back)]
        probe = self._probes.get(word.serial)
        if probe is not None and word.subject == probe.node:
            del self._probes[word.serial]
            self.health = max(self.health - 1, 0)
        return []

    # ---- time ------------------------------------------------------------------

    def stalled(self, now: int) -> None:
        """We were not running: whoever seemed silent meanwhile was not."""
        self._probes.clear()
        self._errands.clear()
        self._began = now
        self.health = min(self.health + 1, HEALTH_MOST)
        self._next = now + PERIOD
        for node in self._suspects:
            self.peers[node].since = now

    def tick(self, now: int) -> list[Out]:
        """What the protocol sends now; to be called a few times a period."""
        self._end_suspicions(now)
        slower = 1 + self.health
        out = [o for probe in self._probes.values() for o in self._ask_again(now, probe, slower)]
        if now < self._next:
            return out
        self._next = now + PERIOD * slower
        self._errands = {s: e for s, e in self._errands.items() if now - e[3] < 4 * SECOND}
        failed = False
        for probe in list(self._probes.values()):
            if probe.tries < TRIES and self.living(probe.node):
                probe.tries += 1
                probe.began = probe.asked = now
                probe.helped = 0
                out.append(self._ask(probe))
            else:
                del self._probes[probe.serial]
                failed = failed or self.living(probe.node)
                self._unanswered(now, probe.node)
        self._wide = min(2 * self._wide, WIDEST) if failed else 1
        for _ in range(self._wide):
            target = self._target()
            if target is not None and all(p.node != target for p in self._probes.values()):
                self._serial += 1
                probe = self._probes[self._serial] = Probe(target, self._serial, now)
                out.append(self._ask(probe))
        return out

    def _ask(self, probe: Probe) -> Out:
        """Whoever is not held for living is told so, to say otherwise (Lifeguard's buddies)."""
        life = self.life(probe.node)
        records = (life,) if life.standing != Standing.ALIVE else ()
        word = Word(Kind.ASK, self.me, self.incarnation, probe.serial, records=records)
        return Out(probe.node, word)

    def _ask_again(self, now: int, probe: Probe, slower: int) -> list[Out]:
        """While there is no answer: once more ourselves, then through others."""
        if now - probe.asked < RETRY_IN * slower:
            return []
        probe.asked = now
        if now - probe.began < ANSWER_IN * slower:
            return [self._ask(probe)]
        if probe.helped >= 2 or not self.living(probe.node):
            return []
        probe.helped += 1
        word = Word(Kind.ASK_FOR, self.me, self.incarnation, probe.serial, probe.node)
        return [Out(helper, word) for helper in self.some(HELPERS, probe.node)]

    def some(self, count: int, but: int = -1) -> list[int]:
        """So many living others by chance."""
        found = [n for n in self.others() if n != but]
        return self._random.sample(found, min(count, len(found)))

    def _target(self) -> int | None:
        """In turns, each living node once a round; now and then a dead one."""
        self._periods += 1
        if self._periods % DEAD_EVERY == 0:
            gone = [n for n, p in self.peers.items() if p.standing > Standing.SUSPECT]
            if gone:
                return self._random.choice(gone)
        for _ in range(len(self.peers) + 1):
            if not self._ring:
                self._ring = self.others()
                self._random.shuffle(self._ring)
                if not self._ring:
                    gone = list(self.peers)
                    return self._random.choice(gone) if gone else None
            node = self._ring.pop()
            if self.living(node):
                return node
        return None

    def _unanswered(self, now: int, node: int) -> None:
        if self.peers[node].standing == Standing.ALIVE:
            self._set(now, node, Standing.SUSPECT)
            self.peers[node].accusers = {self.me}

    def alone(self, now: int) -> bool:
        """Whether nobody has been heard for so long that the fault may be ours."""
        return self._heard > 0 and now - self._heard > ALONE

    def unheard(self, now: int) -> bool:
        """The same, also of a node that has heard nobody since it began."""
        return now - max(self._heard, self._began) > ALONE

    def forgive(self, now: int) -> None:
        """Hold for living again whoever has not left: we were the one cut off."""
        for node, p in self.peers.items():
            if p.standing in (Standing.SUSPECT, Standing.DEAD):
                self._set(now, node, Standing.ALIVE)

    def suspicion(self, accusers: int) -> float:
        """How long a suspicion lasts, ns (Lifeguard, section IV-B)."""
        nodes = self.count()
        least = SUSPECT_LEAST * max(log10(max(nodes, 1)), 1.0) * PERIOD
        most = SUSPECT_MOST * least
        if nodes <= ACCUSERS + 1:
            return least  # too few to accuse: their number tells nothing
        part = log(max(accusers, 1)) / log(ACCUSERS)
        return max(least, most - (most - least) * part)

    def _end_suspicions(self, now: int) -> None:
        for node in list(self._suspects):
            p = self.peers[node]
            if now - p.since >= self.suspicion(len(p.accusers)):
                self._set(now, node, Standing.DEAD)

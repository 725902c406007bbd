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

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.messages import Kind, Life, Message, Outgoing, Standing, mark

PERIOD = 500 * MS
ACK_TIMEOUT = 200 * MS  # of a period, for the ACK to a PING; what is left is for PING_REQUEST
INDIRECT_PROBES = 3  # nodes asked to ask another
MAX_HEALTH = 8  # Lifeguard's multiplier: periods and answers are that much slower at most
PING_PERIODS = 2  # periods in a row without an answer, before a suspicion: at 30% loss each
#            fails 1 time in 20, and one in a row would fill all messages with suspicions
PING_AGAIN = 100 * MS  # a PING is sent so often in a period
SUSPICION_MIN = 2  # periods that a suspicion lasts, times the logarithm of the nodes
SUSPICION_MAX = 4  # of those, while nobody else accuses
CONFIRMATIONS = 3  # after which it lasts the least
ISOLATED_AFTER = 3 * SECOND  # without a message from anyone
MAX_PARALLEL_PROBES = 8  # nodes asked anew in one period
DEAD_EVERY = 5  # one period in so many asks a dead one: a healed link is found
STALLED = SECOND  # later than this, and what was silent was we
DOUBTED_FOR = 30 * SECOND  # a name that two processes speak under
OLD_MESSAGES = 3  # of an older incarnation, while a newer one speaks, that tell of two


class Peer:
    """One other node as this one sees it."""

    __slots__ = ("accusers", "doubted_until", "heard", "incarnation", "old", "since", "standing")

    def __init__(self) -> None:
        self.incarnation = 0
        self.standing = Standing.ALIVE  # until something tells otherwise
        self.since = 0  # of the suspicion
        self.heard = 0  # its own last message, 0 for none yet
        self.accusers: set[int] = set()
        self.old = 0
        self.doubted_until = 0


class Probe:
    """Of one node: over one period, or over PING_PERIODS where it does not answer."""

    __slots__ = ("began", "indirect", "node", "pinged", "serial", "tries")

    def __init__(self, node: int, serial: int, now: int) -> None:
        self.node = node
        self.serial = serial
        self.began = now  # of this period
        self.pinged = now  # last
        self.indirect = 0  # times that others were asked
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
        self._heard = 0  # the last message from anyone
        self._began = now  # or went on, after a stop
        self._suspects: set[int] = set()
        # The PINGs sent for others: serial of ours -> (who asked, its serial, of whom, when).
        self._relayed: dict[int, tuple[int, int, int, int]] = {}

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
        """Whose observations count: not those of a name that two processes speak under."""
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

    # ---- messages ---------------------------------------------------------------

    def receive(self, now: int, origin: int, incarnation: int) -> bool:
        """A node has spoken itself; False where its message is of an incarnation gone by."""
        p = self.peers[origin]
        self._heard = now
        if incarnation < p.incarnation:
            # A late datagram, or two processes under one name, which does not end.
            if now - p.heard < STALLED:
                p.old += 1
                if p.old >= OLD_MESSAGES:
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
            return self._refute(incarnation, standing)
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

    def _refute(self, incarnation: int, standing: Standing) -> bool:
        """Others say that we are gone, or were here later than we know: we say otherwise."""
        if incarnation < self.incarnation or (
            incarnation == self.incarnation and standing == Standing.ALIVE
        ):
            return False
        self.incarnation = incarnation + 1
        self.refuted += 1
        self.health = min(self.health + 1, MAX_HEALTH)
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

    def answer(self, now: int, message: Message) -> list[Outgoing]:
        """The protocol's own part of a message."""
        me, inc = self.me, self.incarnation
        if message.kind == Kind.PING:
            return [Outgoing(message.origin, Message(Kind.ACK, me, inc, message.serial, me))]
        if message.kind == Kind.PING_REQUEST and message.subject in self.peers:
            self._serial += 1
            self._relayed[self._serial] = (message.origin, message.serial, message.subject, now)
            return [Outgoing(message.subject, Message(Kind.PING, me, inc, self._serial))]
        if message.kind != Kind.ACK:
            return []
        relayed = self._relayed.get(message.serial)
        if relayed is not None and relayed[2] == message.origin:
            del self._relayed[message.serial]
            back = Message(Kind.ACK, me, inc, relayed[1], message.origin)
            return [Outgoing(relayed[0], back)]
        probe = self._probes.get(message.serial)
        if probe is not None and message.subject == probe.node:
            del self._probes[message.serial]
            self.health = max(self.health - 1, 0)
        return []

    # ---- time ------------------------------------------------------------------

    def stalled(self, now: int) -> None:
        """We were not running: whoever seemed silent meanwhile was not."""
        self._probes.clear()
        self._relayed.clear()
        self._began = now
        self.health = min(self.health + 1, MAX_HEALTH)
        self._next = now + PERIOD
        for node in self._suspects:
            self.peers[node].since = now

    def tick(self, now: int) -> list[Outgoing]:
        """What the protocol sends now; to be called a few times a period."""
        self._end_suspicions(now)
        slower = 1 + self.health
        out = [o for probe in self._probes.values() for o in self._ping_again(now, probe, slower)]
        if now < self._next:
            return out
        self._next = now + PERIOD * slower
        self._relayed = {s: e for s, e in self._relayed.items() if now - e[3] < 4 * SECOND}
        failed = False
        for probe in list(self._probes.values()):
            if probe.tries < PING_PERIODS and self.living(probe.node):
                probe.tries += 1
                probe.began = probe.pinged = now
                probe.indirect = 0
                out.append(self._ping(probe))
            else:
                del self._probes[probe.serial]
                failed = failed or self.living(probe.node)
                self._suspect(now, probe.node)
        self._wide = min(2 * self._wide, MAX_PARALLEL_PROBES) if failed else 1
        for _ in range(self._wide):
            target = self._target()
            if target is not None and all(p.node != target for p in self._probes.values()):
                self._serial += 1
                probe = self._probes[self._serial] = Probe(target, self._serial, now)
                out.append(self._ping(probe))
        return out

    def _ping(self, probe: Probe) -> Outgoing:
        """Whoever is not held for living is told so, to say otherwise (Lifeguard's buddies)."""
        life = self.life(probe.node)
        records = (life,) if life.standing != Standing.ALIVE else ()
        message = Message(Kind.PING, self.me, self.incarnation, probe.serial, records=records)
        return Outgoing(probe.node, message)

    def _ping_again(self, now: int, probe: Probe, slower: int) -> list[Outgoing]:
        """While there is no answer: once more ourselves, then through others."""
        if now - probe.pinged < PING_AGAIN * slower:
            return []
        probe.pinged = now
        if now - probe.began < ACK_TIMEOUT * slower:
            return [self._ping(probe)]
        if probe.indirect >= 2 or not self.living(probe.node):
            return []
        probe.indirect += 1
        message = Message(Kind.PING_REQUEST, self.me, self.incarnation, probe.serial, probe.node)
        return [Outgoing(helper, message) for helper in self.some(INDIRECT_PROBES, probe.node)]

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

    def _suspect(self, now: int, node: int) -> None:
        if self.peers[node].standing == Standing.ALIVE:
            self._set(now, node, Standing.SUSPECT)
            self.peers[node].accusers = {self.me}

    def alone(self, now: int) -> bool:
        """Whether nobody has been heard for so long that the fault may be ours."""
        return self._heard > 0 and now - self._heard > ISOLATED_AFTER

    def unheard(self, now: int) -> bool:
        """The same, also of a node that has heard nobody since it began."""
        return now - max(self._heard, self._began) > ISOLATED_AFTER

    def forgive(self, now: int) -> None:
        """Hold for living again whoever has not left: we were the one cut off."""
        for node, p in self.peers.items():
            if p.standing in (Standing.SUSPECT, Standing.DEAD):
                self._set(now, node, Standing.ALIVE)

    def suspicion(self, accusers: int) -> float:
        """How long a suspicion lasts, ns (Lifeguard, section IV-B)."""
        nodes = self.count()
        least = SUSPICION_MIN * max(log10(max(nodes, 1)), 1.0) * PERIOD
        most = SUSPICION_MAX * least
        if nodes <= CONFIRMATIONS + 1:
            return least  # too few to accuse: their number tells nothing
        part = log(max(accusers, 1)) / log(CONFIRMATIONS)
        return max(least, most - (most - least) * part)

    def _end_suspicions(self, now: int) -> None:
        for node in list(self._suspects):
            p = self.peers[node]
            if now - p.since >= self.suspicion(len(p.accusers)):
                self._set(now, node, Standing.DEAD)

"""One node's part in the fleet: what it says, to whom, when, and what it has come to believe.

Sans-I/O: words in, words out, time as it is told. `turn` is to be called when `due` says.
A word that came leads to others at once, within the pace: a rumour crosses 200 nodes in some
hops of milliseconds, and where nothing happens only SWIM's own words are sent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from flinthatch.fleet.beliefs import KEEP_SEEN, PARTS, Beliefs, Key
from flinthatch.fleet.bucket import Bucket
from flinthatch.fleet.loans import Loans
from flinthatch.fleet.members import STALLED, Members
from flinthatch.fleet.rumours import Rumours
from flinthatch.fleet.words import (
    MOST_INCARNATION,
    MOST_SERIAL,
    Kind,
    Life,
    Listed,
    Out,
    Reading,
    Record,
    Seen,
    Standing,
    Word,
    sound,
)
from flinthatch.model import MS, SECOND, State, Told

if TYPE_CHECKING:
    from flinthatch.fleet.shared import SharedList

TICK = 100 * MS
SOON = 5 * MS  # after news, for what comes with it to share its words
FANOUT = 3  # nodes that news are told to at once
DIGEST_EVERY = SECOND  # with one other by chance
DIGEST_SLACK = 3  # parts that may differ for news under way, before a difference is fetched
AGAIN = 5 * SECOND  # a sight that still holds is told anew, well before it counts no more
OUT_OF = 3  # as many witnesses are believed against: a third may be wrong, not more
JUDGE_EVERY = 500 * MS  # what is told and still holds is said anew to the Balancer
# Catch-up.
TEACHERS = 2
TEACH_IN = 300 * MS  # for a teacher to be done, before the next two are asked
CATCH_UP = 2 * SECOND  # after which there is nobody to catch up from
BULK = 200  # words a second for those that catch up, beside the pace
# Bytes a record takes at the most, in the form that goes out (checked by a test).
HEAD = 32
SIZES = {Life: 16, Listed: 40, Seen: 52, Reading: 64}
DIGEST_SIZE = 5 * (PARTS + 1) + 3
# Rumours of nodes are named by one of these and the node, those of servers by the server.
LIFE, READING = -1, -2


@dataclass(frozen=True, slots=True)
class Terms:
    """What the nodes of a tier agree on."""

    nodes: int
    me: int
    zones: int = 1
    words: int = 20  # a second, sent at most over time
    datagram: int = 256
    seats: int = 15  # requests in flight that every server takes from all nodes together
    readers: int = 0  # nodes that read the list for all, 0 where each does for itself


class Change(NamedTuple):
    """What the Balancer is to be told of one server: None takes what was told back."""

    server: int
    told: Told | None
    ratio: float
    born: int
    cold: bool


class Fleet:
    """See the module's docstring."""

    def __init__(self, terms: Terms, seed: int, incarnation: int, now: int) -> None:
        self.terms = terms
        self.members = Members(terms.me, terms.nodes, incarnation, seed, now)
        self.beliefs = Beliefs(terms.nodes, terms.zones)
        self.rumours: Rumours[Key] = Rumours(terms.nodes)
        self.loans = Loans(seed ^ 0x10A25)
        self.shared: SharedList | None = None
        if terms.readers:
            # Here and not above: where each node reads for itself it costs nothing.
            from flinthatch.fleet.shared import SharedList

            self.shared = SharedList(
                self.members, terms.nodes, terms.readers, terms.datagram, seed ^ 0x115E, now
            )
        self.spare = 0  # classes that this node can lend
        self.keeps = self.wants = False  # whether it needs the seats it has borrowed, and more
        self.counts: Counter[str] = Counter()
        self.due = now
        self.rev = 0  # of this node's own list
        self.boots: dict[int, int] = {}  # of the servers on it
        self.caught_up = False
        self.orders: set[int] = set()  # servers of which others' lists told news: see `over`
        self.out: set[int] = set()  # of those, the ones that words alone have taken out
        self._random = Random(seed ^ 0x5EA75)
        self._pace = Bucket(terms.words, max(terms.words / 2, FANOUT + 1), now)
        self._bulk = Bucket(BULK, BULK / 4, now)
        self._number = 0
        self.own: dict[int, tuple[tuple[int, int, int, int], int, int]] = {}  # said, when, of when
        self._said: dict[int, Told] = {}  # to the Balancer
        self._last = now
        self._judged = now
        self._digest_at = now + DIGEST_EVERY
        self._began = now
        self._asked: list[int] = []  # teachers, in the order they were asked
        self._asked_at = 0
        self._flush = False
        self.room = terms.datagram - HEAD

    # ---- this node's own sights -----------------------------------------------

    def saw(
        self, now: int, server: int, struck: int, cold: bool, full: int, ratio: float, seen: int
    ) -> None:
        """What this node's own attempts at a server have come to, the last of them at `seen`.

        Said anew only for attempts made since: what nobody has tried again grows old.
        """
        figures = (min(struck, 3), int(cold and struck > 0), min(full, 3), _coarse(ratio))
        last = self.own.get(server)
        if last is None:
            if not any(figures):
                return
        elif last[0] == figures and (now - last[1] < AGAIN or seen == last[2]):
            if now - seen >= KEEP_SEEN:
                del self.own[server]
            return
        age = max(now - seen, 0)
        if any(figures):
            if age >= KEEP_SEEN or not self.beliefs.room_for(server, self.terms.me):
                return
            self.own[server] = (figures, now, seen)
        else:
            del self.own[server]
            age = 0
        self._number += 1
        m = self.members
        boot = self.boots.get(server, 0)
        word = Seen(server, boot, m.me, m.incarnation, self._number, *figures, age=age)
        self._take(now, word)

    def listed(
        self, now: int, rev: int, rows: Iterable[tuple[int, int, State]], whole: bool
    ) -> None:
        """This node's own list has come to this version: server, boot, state."""
        if rev < self.rev:
            self.beliefs.outdate(rev)
        self.rev = rev
        named = set()
        for server, boot, state in rows:
            named.add(server)
            if state != State.READY:
                self.out.discard(server)
            if state == State.GONE:
                # The start that we knew is the one that has ended: its row may lack it.
                if server in self.boots:
                    self._take(now, Listed(server, self.boots.pop(server), rev, state, 0))
                continue
            self.boots[server] = boot
            if state == State.DRAINING:
                self._take(now, Listed(server, boot, rev, state, 0))
        if whole:
            for server in [s for s in self.boots if s not in named]:
                self._take(now, Listed(server, self.boots.pop(server), rev, State.GONE, 0))
        # Those that our own list has not come to yet stay out, before any other is taken.
        self.out = {s for s in self.out if s in self.boots and self.waits(s, self.boots[s])}

    def read(self, now: int, rev: int, rows: Mapping[str, str | None], whole: bool) -> None:
        """The list service has answered this node, which reads for others."""
        assert self.shared is not None
        self.shared.read(now, rev, rows, whole)
        self._soon(now)

    def over(self, server: int, boot: int, state: State) -> State:
        """A server's state by the list's latest word that any node has, never a milder one.

        Of the servers on our own list words take out one in OUT_OF: what comes in their place
        is not told on, and who lies must not take all. The others wait for our own list.
        """
        room = server in self.out or len(self.out) < self.most_out()
        if state == State.READY and room and self.waits(server, boot):
            self.out.add(server)
            # GONE too: what is out there is finished, and the list itself will tell.
            return State.DRAINING
        return state

    def waits(self, server: int, boot: int) -> bool:
        """Whether others' lists tell of this start what ours has yet to come to."""
        return self.beliefs.listed(server, boot, self.rev) is not None

    def most_out(self) -> int:
        return max(len(self.boots) // OUT_OF, 1)

    def leave(self) -> list[Out]:
        """This node stops on purpose: whoever hears it need not find out."""
        m = self.members
        life = Life(m.me, m.incarnation, Standing.LEFT)
        word = Word(Kind.NEWS, m.me, m.incarnation, records=(life,))
        return [Out(to, word) for to in m.some(2 * FANOUT)]

    # ---- words -------------------------------------------------------------------

    def hear(self, now: int, word: Word) -> list[Out]:
        """A word has come from the node that it names as its origin, one of the others."""
        m = self.members
        if m.alone(now):
            # Whoever is cut off holds all others for dead, and is to find out who is
            # before it tells: 200 nodes would have to say otherwise, one by one.
            m.forgive(now)
            self._learn_anew(now)
        if not (0 <= word.incarnation < MOST_INCARNATION and 0 <= word.serial < MOST_SERIAL):
            self.counts["unsound"] += 1
            return []
        if not m.hear(now, word.origin, word.incarnation):
            self.counts["old"] += 1
            return []
        news = False
        for record in word.records:
            if not sound(record, self.terms.nodes):
                self.counts["unsound"] += 1
            elif self._heard(now, word.origin, record):
                news = True
        out = m.answer(now, word)
        out += self._catching(now, word)
        out += self._lending(now, word)
        if news or m.news:
            self._soon(now)
        self._spend(now, len(out))  # answers come first, and leave less for news
        out = [self._laden(now, o) for o in out]
        if self.shared is not None:
            out += self.shared.hear(now, word)
            if self.shared.busy:
                self._soon(now)
        peer = m.peers[word.origin]
        if peer.standing != Standing.ALIVE and self._pace.take(now):
            # It goes on speaking under an incarnation that we hold for dead: it is to say so.
            records = (m.life(word.origin),)
            out.append(Out(word.origin, Word(Kind.NEWS, m.me, m.incarnation, records=records)))
        return out

    def _heard(self, now: int, teller: int, record: Record) -> bool:
        if isinstance(record, Life):
            news = self.members.merge(now, teller, record)
            if self.members.older(record):
                self.rumours.add((LIFE, record.node))  # the teller has missed what we know
                return True
            if not news:
                self.rumours.told((LIFE, record.node))
            return news
        if isinstance(record, Reading):
            shared = self.shared
            news = shared is not None and shared.readers.merge(now, record)
            (self.rumours.add if news else self.rumours.told)((READING, record.node))
            return news
        if isinstance(record, Seen) and record.origin == self.terms.me:
            return False  # what we said before a restart, or another under our name
        news = self.beliefs.merge(now, record)
        key = (record.server, record.origin if isinstance(record, Seen) else -1)
        if news:
            self.rumours.add(key)
            if isinstance(record, Listed):
                self.orders.add(record.server)
        else:
            self.rumours.told(key)
        return news

    def _take(self, now: int, record: Listed | Seen) -> None:
        """Our own word, to be told on."""
        if self.beliefs.merge(now, record):
            self.rumours.add((record.server, record.origin if isinstance(record, Seen) else -1))
            self._soon(now)

    def _soon(self, now: int) -> None:
        self._flush = True
        self.due = min(self.due, now + SOON)

    # ---- loans ----------------------------------------------------------------------

    def _lending(self, now: int, word: Word) -> list[Out]:
        """What is asked of us, and what others have answered; between nodes of one zone."""
        m, zones = self.members, self.terms.zones
        if word.origin % zones != m.me % zones:
            return []
        if word.kind == Kind.BORROW:
            # To one held for dead nothing: the others go past its seats already. Nor to a
            # name of two processes, each of which would use what the other was lent.
            fit = m.living(word.origin) and word.origin in m.believed(now)
            spare = self.spare if fit else 0
            classes = self.loans.lend(now, word.origin, spare)
            return [Out(word.origin, Word(Kind.LEND, m.me, m.incarnation, word.serial, classes))]
        if word.kind == Kind.LEND:
            self.loans.granted(now, word.origin, word.serial, word.subject)
        return []

    def _borrow(self, now: int) -> list[Out]:
        m, zones = self.members, self.terms.zones
        if not (self.keeps or self.wants) or self._pace.fill(now) < 1:
            return []
        others = [n for n in m.believed(now) if m.living(n) and n % zones == m.me % zones]
        return [
            Out(lender, Word(Kind.BORROW, m.me, m.incarnation, serial))
            for lender, serial in self.loans.asks(now, others, self.wants)
        ]

    def borrowed(self, now: int) -> list[tuple[int, int]]:
        """Lenders and classes; a dead one's end at once, since others go on past its seats."""
        return [(n, c) for n, c in self.loans.borrowed(now) if self.members.living(n)]

    # ---- catch-up -------------------------------------------------------------------

    def _digest(self) -> tuple[int, ...]:
        nodes = self.members.digest()
        if self.shared is not None:
            nodes ^= self.shared.readers.digest()
        return (*self.beliefs.digest, nodes)

    def _catching(self, now: int, word: Word) -> list[Out]:
        """Digests, and what differs by them."""
        m = self.members
        if word.kind == Kind.DONE:
            if word.origin in self._asked:
                self._finish(now, "caught up")
            return []
        if word.kind != Kind.DIGEST or len(word.digest) != PARTS + 1:
            return []
        ours = self._digest()
        differ = {i for i in range(PARTS + 1) if ours[i] != word.digest[i]}
        asked = word.subject == m.me
        out: list[Out] = []
        if asked or len(differ) > DIGEST_SLACK or not self.rumours.fresh():
            out = self._teach(now, word.origin, differ, asked)
        if differ and word.serial == 0:
            # Once back, so that both sides end alike; an answer to a digest asks for none.
            out.append(Out(word.origin, Word(Kind.DIGEST, m.me, m.incarnation, 1, -1, ours)))
        return out

    def _teach(self, now: int, to: int, parts: set[int], asked: bool) -> list[Out]:
        """All that differs, as far as the pace for it goes, and behind it a DONE for who asked."""
        m = self.members
        records: list[Record] = []
        for part in parts:
            if part == PARTS:
                records += m.lives()
                if self.shared is not None:
                    records += self.shared.readers.all(now)
            else:
                records += self.beliefs.part(now, part)
        words = []
        at = 0
        while at < len(records) and self._bulk.take(now):
            room, start = self.room, at
            while at < len(records) and SIZES[type(records[at])] <= room:
                room -= SIZES[type(records[at])]
                at += 1
            words.append(Word(Kind.NEWS, m.me, m.incarnation, records=tuple(records[start:at])))
        if at == len(records) and asked:
            words.append(Word(Kind.DONE, m.me, m.incarnation))
        return [Out(to, word) for word in words]

    def _catch_up(self, now: int) -> list[Out]:
        """Ask two at a time, each returning node others: they rank by both numbers."""
        if now - self._began > CATCH_UP:
            self._finish(now, "nobody to catch up from")
            return []
        if self._asked and now - self._asked_at < TEACH_IN:
            return []
        m = self.members
        order = sorted(
            (n for n in m.others() if n not in self._asked),
            key=lambda n: crc32(b"%d %d %d" % (m.me, m.incarnation, n)),
        )
        self._asked_at = now
        self._asked += order[:TEACHERS]
        digest = self._digest()
        return [
            Out(n, Word(Kind.DIGEST, m.me, m.incarnation, 0, n, digest)) for n in order[:TEACHERS]
        ]

    def _finish(self, now: int, how: str) -> None:
        if not self.caught_up:
            self.caught_up = True
            self.counts[how] += 1
            self.counts["catch_up_ms"] = (now - self._began) // MS

    def stood_still(self, now: int) -> bool:
        """Whether we have not run for long; to be asked before each `turn` and `hear`.

        What we believe is old then, and is told on only once it is compared. Guards against
        a node that was stopped for a minute and suspects all others, or tells of servers as
        they were. Its records age by its own clock, which went on; words that waited in its
        socket do not, so its host throws them away.
        """
        if now - self._last <= STALLED:
            return False
        self.counts["stalls"] += 1
        self.members.stalled(now)
        self.beliefs.expire(now)
        self.loans.expire(now)
        self.own.clear()
        self._last = now
        self._learn_anew(now)
        return True

    def _learn_anew(self, now: int) -> None:
        """Tell nothing more of what we believe until we have compared it."""
        self.members.news.clear()
        self.rumours = Rumours(self.terms.nodes)
        self.caught_up = False
        self._began = now
        self._asked = []

    # ---- time ------------------------------------------------------------------------

    def turn(self, now: int) -> list[Out]:
        """What is to be said now."""
        self._last = now
        m = self.members
        out = m.tick(now)
        self.beliefs.expire(now)
        self.loans.begin(now)
        self.loans.expire(now)
        out += self._borrow(now)
        if not self.caught_up:
            out += self._catch_up(now)
        if now >= self._digest_at:
            self._digest_at = now + DIGEST_EVERY // 2 + self._random.randrange(DIGEST_EVERY)
            digest = self._digest()
            out += [
                Out(n, Word(Kind.DIGEST, m.me, m.incarnation, 0, -1, digest)) for n in m.some(1)
            ]
        pieces = self._list_turn(now)
        self._spend(now, len(out))
        out = [self._laden(now, o) for o in out]
        if self.caught_up and (self._flush or self.rumours):
            out += self._tell(now)
        busy = self.shared is not None and self.shared.busy
        self.due = now + (SOON if busy or self._flush and self._pace.fill(now) >= 1 else TICK)
        return out + pieces

    def _list_turn(self, now: int) -> list[Out]:
        """The list's own part of a turn, which goes by a pace of its own."""
        shared = self.shared
        if shared is None:
            return []
        shared.caught_up = self.caught_up
        out = shared.turn(now)
        if shared.said:
            shared.said = False
            self.rumours.add((READING, self.terms.me))
            self._flush = True
        return out

    def _spend(self, now: int, count: int) -> None:
        """SWIM's words go out in any case, and what they took is not there for others.

        Owed for half a second at the most: forgiven at once, the busiest of 200 nodes sent 23.6
        words a second at 30% loss; owed for two seconds, news waited and no less was sent.
        """
        self._pace.fill(now)
        self._pace.tokens = max(self._pace.tokens - count, -self.terms.words / 2)

    def _tell(self, now: int) -> list[Out]:
        """News, to a few by chance."""
        m = self.members
        while m.news:
            life = m.news.pop(0)
            self.rumours.add((LIFE, life.node))
        out = []
        # What has been told already goes on at the tick's pace, mostly with other words.
        most = FANOUT if self.rumours.fresh() else 1
        for to in m.some(max(min(most, int(self._pace.fill(now))), 0)):
            word = self._laden(now, Out(to, Word(Kind.NEWS, m.me, m.incarnation)))
            if not word.word.records:
                break
            self._spend(now, 1)
            out.append(word)
        self._flush = self.rumours.fresh()
        return out

    def _laden(self, now: int, out: Out) -> Out:
        """A word with as many rumours as it has room for; none while we catch up."""
        word = out.word
        if not self.caught_up or word.kind == Kind.DONE or word.records:
            return out
        room = self.room - (DIGEST_SIZE if word.digest else 0)
        records: list[Record] = []

        def wanted(key: Key) -> bool:
            nonlocal room
            record = self._named(now, key)
            if record is None:
                gone.append(key)
                return True
            if SIZES[type(record)] > room:
                return False
            room -= SIZES[type(record)]
            records.append(record)
            return True

        gone: list[Key] = []
        self.rumours.take(wanted)
        for key in gone:
            self.rumours.drop(key)
        return Out(out.to, word._replace(records=tuple(records)))

    def _named(self, now: int, key: Key) -> Record | None:
        """The record that a rumour is about, as it is by now."""
        if key[0] == LIFE:
            return self.members.life(key[1])
        if key[0] == READING:
            return None if self.shared is None else self.shared.readers.get(now, key[1])
        return self.beliefs.get(now, key)

    # ---- what the Balancer is told --------------------------------------------------

    def changes(self, now: int) -> list[Change]:
        """What others' sights have come to: at each change, and while it holds twice a second."""
        again = now - self._judged >= JUDGE_EVERY
        if again:
            self._judged = now
        servers = set(self.beliefs.servers()) | set(self._said) if again else self.beliefs.changed
        if not servers:
            return []
        self.beliefs.changed = set()
        believed = self.members.believed(now) - self.beliefs.cut_off(len(self.boots))
        out = []
        for server in servers:
            boot = self.boots.get(server)
            if boot is None:
                self._said.pop(server, None)
                continue
            word = self.beliefs.judge(server, boot, self.terms.me, believed)
            if word is not None:
                told, ratio, born, cold = word
                self._said[server] = told
                out.append(Change(server, told, ratio / 16, born, cold))
            elif self._said.pop(server, None) is not None:
                out.append(Change(server, None, 1.0, now, False))
        return out

    def report(self, now: int) -> list[list[object]]:
        """Every record held, for people: server, from whom, age in ms, what it says, verdict."""
        rows: list[list[object]] = []
        for server in sorted(self.beliefs.servers()):
            said = self._said.get(server)
            verdict = said.name.lower() if said else "-"
            for held in self.beliefs.rows(server):
                age = (now - held.born) // MS
                r = held.record
                if isinstance(r, Listed):
                    text = f"{State(r.state).name.lower()} by list {r.rev}"
                    rows.append([f"{server:016x}", "list", age, text, verdict])
                else:
                    text = f"struck {r.struck} full {r.full} slow {r.ratio / 16:g}"
                    rows.append([f"{server:016x}", r.origin, age, text, verdict])
        return rows


def _coarse(ratio: float) -> int:
    """In sixteenths and steps of half as much again: a mean that wavers is not news."""
    if ratio < 1.5:
        return 0
    step = 24.0
    while step * 1.5 <= ratio * 16 and step < 110:
        step *= 1.5
    return int(step)

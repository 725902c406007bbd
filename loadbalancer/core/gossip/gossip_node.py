"""One node's part in the fleet: what it says, to whom, when, and what it has come to believe.

Sans-I/O: messages in, messages out, time as it is told. `turn` is to be called when `due` says.
A message that came leads to others at once, within the pace: an update crosses 200 nodes in some
hops of milliseconds, and where nothing happens only SWIM's own messages are sent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from loadbalancer.core.balancing.model import MS, SECOND, ReportedState, State
from loadbalancer.core.gossip.dissemination import DisseminationQueue
from loadbalancer.core.gossip.membership import STALLED, Members
from loadbalancer.core.gossip.messages import (
    MOST_INCARNATION,
    MOST_SERIAL,
    Kind,
    Life,
    Listed,
    Message,
    Observation,
    Outgoing,
    Reading,
    Record,
    Standing,
    sound,
)
from loadbalancer.core.gossip.records import KEEP_OBSERVATION, PARTS, Beliefs, Key
from loadbalancer.core.gossip.slot_leases import SlotLeases
from loadbalancer.core.gossip.token_bucket import Bucket

if TYPE_CHECKING:
    from loadbalancer.core.endpoints.shared_list import SharedList

TICK = 100 * MS
GOSSIP_DELAY = 5 * MS  # after news, for what comes with it to share its messages
GOSSIP_FANOUT = 3  # nodes that news are told to at once
DIGEST_INTERVAL = SECOND  # with one other by chance
DIGEST_SLACK = 3  # parts that may differ for news under way, before a difference is fetched
# One that still holds is sent anew, well before it counts no more.
REPEAT_OBSERVATION = 5 * SECOND
MAX_OUT_PART = 3  # as many witnesses are believed against: a third may be wrong, not more
VERDICT_INTERVAL = 500 * MS  # what is told and still holds is said anew to the Balancer
# Catch-up.
CATCH_UP_PEERS = 2
CATCH_UP_RETRY = 300 * MS  # for a peer to be done, before the next two are asked
CATCH_UP = 2 * SECOND  # after which there is nobody to catch up from
CATCH_UP_RATE = 200  # messages a second for those that catch up, beside the pace
# Bytes a record takes at the most, in the form that goes out (checked by a test).
MESSAGE_HEAD = 32
RECORD_SIZES = {Life: 16, Listed: 40, Observation: 52, Reading: 64}
DIGEST_SIZE = 5 * (PARTS + 1) + 3
# Updates of nodes are named by one of these and the node, those of servers by the server.
LIFE, READING = -1, -2


@dataclass(frozen=True, slots=True)
class Terms:
    """What the nodes of a tier agree on."""

    nodes: int
    me: int
    zones: int = 1
    messages: int = 20  # a second, sent at most over time
    datagram: int = 256
    slots: int = 15  # requests in flight that every server takes from all nodes together
    readers: int = 0  # nodes that read the list for all, 0 where each does for itself


class Change(NamedTuple):
    """What the Balancer is to be told of one server: None takes what was told back."""

    server: int
    told: ReportedState | None
    ratio: float
    born: int
    cold: bool


class Fleet:
    """See the module's docstring."""

    def __init__(self, terms: Terms, seed: int, incarnation: int, now: int) -> None:
        self.terms = terms
        self.members = Members(terms.me, terms.nodes, incarnation, seed, now)
        self.beliefs = Beliefs(terms.nodes, terms.zones)
        self.dissemination: DisseminationQueue[Key] = DisseminationQueue(terms.nodes)
        self.leases = SlotLeases(seed ^ 0x10A25)
        self.shared: SharedList | None = None
        if terms.readers:
            # Here and not above: where each node reads for itself it costs nothing.
            from loadbalancer.core.endpoints.shared_list import SharedList

            self.shared = SharedList(
                self.members, terms.nodes, terms.readers, terms.datagram, seed ^ 0x115E, now
            )
        self.spare = 0  # classes that this node can lend
        self.keeps = self.wants = False  # whether it needs the slots it has borrowed, and more
        self.counts: Counter[str] = Counter()
        self.due = now
        self.rev = 0  # of this node's own list
        self.boots: dict[int, int] = {}  # of the servers on it
        self.caught_up = False
        self.orders: set[int] = set()  # servers of which others' lists told news: see `over`
        self.out: set[int] = set()  # of those, the ones that gossip alone has taken out
        self._random = Random(seed ^ 0x5EA75)
        self._pace = Bucket(terms.messages, max(terms.messages / 2, GOSSIP_FANOUT + 1), now)
        self._bulk = Bucket(CATCH_UP_RATE, CATCH_UP_RATE / 4, now)
        self._number = 0
        self.own: dict[int, tuple[tuple[int, int, int, int], int, int]] = {}  # said, when, of when
        self._said: dict[int, ReportedState] = {}  # to the Balancer
        self._last = now
        self._judged = now
        self._digest_at = now + DIGEST_INTERVAL
        self._began = now
        self._catch_up_asked: list[int] = []  # peers, in the order they were asked
        self._catch_up_asked_at = 0
        self._flush = False
        self.room = terms.datagram - MESSAGE_HEAD

    # ---- this node's own observations -----------------------------------------------

    def observe(
        self, now: int, server: int, failures: int, cold: bool, full: int, ratio: float, seen: int
    ) -> None:
        """What this node's own attempts at a server have come to, the last of them at `seen`.

        Said anew only for attempts made since: what nobody has tried again grows old.
        """
        figures = (min(failures, 3), int(cold and failures > 0), min(full, 3), _coarse(ratio))
        last = self.own.get(server)
        if last is None:
            if not any(figures):
                return
        elif last[0] == figures and (now - last[1] < REPEAT_OBSERVATION or seen == last[2]):
            if now - seen >= KEEP_OBSERVATION:
                del self.own[server]
            return
        age = max(now - seen, 0)
        if any(figures):
            if age >= KEEP_OBSERVATION or not self.beliefs.room_for(server, self.terms.me):
                return
            self.own[server] = (figures, now, seen)
        else:
            del self.own[server]
            age = 0
        self._number += 1
        m = self.members
        boot = self.boots.get(server, 0)
        record = Observation(server, boot, m.me, m.incarnation, self._number, *figures, age=age)
        self._take(now, record)

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
        """A server's state by the latest version of the list that any node has, never a milder one.

        Of the servers on our own list gossip takes out one in MAX_OUT_PART: what comes in their
        place is not told on, and who lies must not take all. The others wait for our own list.
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
        return max(len(self.boots) // MAX_OUT_PART, 1)

    def leave(self) -> list[Outgoing]:
        """This node stops on purpose: whoever hears it need not find out."""
        m = self.members
        life = Life(m.me, m.incarnation, Standing.LEFT)
        message = Message(Kind.GOSSIP, m.me, m.incarnation, records=(life,))
        return [Outgoing(to, message) for to in m.some(2 * GOSSIP_FANOUT)]

    # ---- messages -------------------------------------------------------------------

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """A message has come from the node that it names as its origin, one of the others."""
        m = self.members
        if m.alone(now):
            # Whoever is cut off holds all others for dead, and is to find out who is
            # before it tells: 200 nodes would have to say otherwise, one by one.
            m.forgive(now)
            self._learn_anew(now)
        if not (0 <= message.incarnation < MOST_INCARNATION and 0 <= message.serial < MOST_SERIAL):
            self.counts["unsound"] += 1
            return []
        if not m.receive(now, message.origin, message.incarnation):
            self.counts["old"] += 1
            return []
        news = False
        for record in message.records:
            if not sound(record, self.terms.nodes):
                self.counts["unsound"] += 1
            elif self._merge(now, message.origin, record):
                news = True
        out = m.answer(now, message)
        out += self._anti_entropy(now, message)
        out += self._handle_lease(now, message)
        if news or m.news:
            self._soon(now)
        self._spend(now, len(out))  # answers come first, and leave less for news
        out = [self._piggyback(now, o) for o in out]
        if self.shared is not None:
            out += self.shared.receive(now, message)
            if self.shared.busy:
                self._soon(now)
        peer = m.peers[message.origin]
        if peer.standing != Standing.ALIVE and self._pace.take(now):
            # It goes on speaking under an incarnation that we hold for dead: it is to say so.
            records = (m.life(message.origin),)
            out.append(
                Outgoing(message.origin, Message(Kind.GOSSIP, m.me, m.incarnation, records=records))
            )
        return out

    def _merge(self, now: int, teller: int, record: Record) -> bool:
        if isinstance(record, Life):
            news = self.members.merge(now, teller, record)
            if self.members.older(record):
                self.dissemination.add((LIFE, record.node))  # the teller has missed what we know
                return True
            if not news:
                self.dissemination.transmitted((LIFE, record.node))
            return news
        if isinstance(record, Reading):
            shared = self.shared
            news = shared is not None and shared.readers.merge(now, record)
            if news:
                self.dissemination.add((READING, record.node))
            else:
                self.dissemination.transmitted((READING, record.node))
            return news
        if isinstance(record, Observation) and record.origin == self.terms.me:
            return False  # what we said before a restart, or another under our name
        news = self.beliefs.merge(now, record)
        key = (record.server, record.origin if isinstance(record, Observation) else -1)
        if news:
            self.dissemination.add(key)
            if isinstance(record, Listed):
                self.orders.add(record.server)
        else:
            self.dissemination.transmitted(key)
        return news

    def _take(self, now: int, record: Listed | Observation) -> None:
        """A record of our own, to be disseminated."""
        if self.beliefs.merge(now, record):
            self.dissemination.add(
                (record.server, record.origin if isinstance(record, Observation) else -1)
            )
            self._soon(now)

    def _soon(self, now: int) -> None:
        self._flush = True
        self.due = min(self.due, now + GOSSIP_DELAY)

    # ---- leases ----------------------------------------------------------------------

    def _handle_lease(self, now: int, message: Message) -> list[Outgoing]:
        """What is asked of us, and what others have answered; between nodes of one zone."""
        m, zones = self.members, self.terms.zones
        if message.origin % zones != m.me % zones:
            return []
        if message.kind == Kind.LEASE_REQUEST:
            # To one held for dead nothing: the others go past its slots already. Nor to a
            # name of two processes, each of which would use what the other was lent.
            fit = m.living(message.origin) and message.origin in m.believed(now)
            spare = self.spare if fit else 0
            classes = self.leases.lend(now, message.origin, spare)
            return [
                Outgoing(
                    message.origin,
                    Message(Kind.LEASE_GRANT, m.me, m.incarnation, message.serial, classes),
                )
            ]
        if message.kind == Kind.LEASE_GRANT:
            self.leases.granted(now, message.origin, message.serial, message.subject)
        return []

    def _request_leases(self, now: int) -> list[Outgoing]:
        m, zones = self.members, self.terms.zones
        if not (self.keeps or self.wants) or self._pace.fill(now) < 1:
            return []
        others = [n for n in m.believed(now) if m.living(n) and n % zones == m.me % zones]
        return [
            Outgoing(lender, Message(Kind.LEASE_REQUEST, m.me, m.incarnation, serial))
            for lender, serial in self.leases.asks(now, others, self.wants)
        ]

    def borrowed(self, now: int) -> list[tuple[int, int]]:
        """Lenders and classes; a dead one's end at once, since others go on past its slots."""
        return [(n, c) for n, c in self.leases.borrowed(now) if self.members.living(n)]

    # ---- catch-up -------------------------------------------------------------------

    def _digest(self) -> tuple[int, ...]:
        nodes = self.members.digest()
        if self.shared is not None:
            nodes ^= self.shared.readers.digest()
        return (*self.beliefs.digest, nodes)

    def _anti_entropy(self, now: int, message: Message) -> list[Outgoing]:
        """Digests, and what differs by them."""
        m = self.members
        if message.kind == Kind.DONE:
            if message.origin in self._catch_up_asked:
                self._finish(now, "caught up")
            return []
        if message.kind != Kind.DIGEST or len(message.digest) != PARTS + 1:
            return []
        ours = self._digest()
        differ = {i for i in range(PARTS + 1) if ours[i] != message.digest[i]}
        asked = message.subject == m.me
        out: list[Outgoing] = []
        if asked or len(differ) > DIGEST_SLACK or not self.dissemination.fresh():
            out = self._send_missing(now, message.origin, differ, asked)
        if differ and message.serial == 0:
            # Once back, so that both sides end alike; an answer to a digest asks for none.
            out.append(
                Outgoing(message.origin, Message(Kind.DIGEST, m.me, m.incarnation, 1, -1, ours))
            )
        return out

    def _send_missing(self, now: int, to: int, parts: set[int], asked: bool) -> list[Outgoing]:
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
        messages = []
        at = 0
        while at < len(records) and self._bulk.take(now):
            room, start = self.room, at
            while at < len(records) and RECORD_SIZES[type(records[at])] <= room:
                room -= RECORD_SIZES[type(records[at])]
                at += 1
            messages.append(
                Message(Kind.GOSSIP, m.me, m.incarnation, records=tuple(records[start:at]))
            )
        if at == len(records) and asked:
            messages.append(Message(Kind.DONE, m.me, m.incarnation))
        return [Outgoing(to, message) for message in messages]

    def _catch_up(self, now: int) -> list[Outgoing]:
        """Ask two at a time, each returning node others: they rank by both numbers."""
        if now - self._began > CATCH_UP:
            self._finish(now, "nobody to catch up from")
            return []
        if self._catch_up_asked and now - self._catch_up_asked_at < CATCH_UP_RETRY:
            return []
        m = self.members
        order = sorted(
            (n for n in m.others() if n not in self._catch_up_asked),
            key=lambda n: crc32(b"%d %d %d" % (m.me, m.incarnation, n)),
        )
        self._catch_up_asked_at = now
        self._catch_up_asked += order[:CATCH_UP_PEERS]
        digest = self._digest()
        return [
            Outgoing(n, Message(Kind.DIGEST, m.me, m.incarnation, 0, n, digest))
            for n in order[:CATCH_UP_PEERS]
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
        they were. Its records age by its own clock, which went on; messages that waited in its
        socket do not, so its host throws them away.
        """
        if now - self._last <= STALLED:
            return False
        self.counts["stalls"] += 1
        self.members.stalled(now)
        self.beliefs.expire(now)
        self.leases.expire(now)
        self.own.clear()
        self._last = now
        self._learn_anew(now)
        return True

    def _learn_anew(self, now: int) -> None:
        """Tell nothing more of what we believe until we have compared it."""
        self.members.news.clear()
        self.dissemination = DisseminationQueue(self.terms.nodes)
        self.caught_up = False
        self._began = now
        self._catch_up_asked = []

    # ---- time ------------------------------------------------------------------------

    def turn(self, now: int) -> list[Outgoing]:
        """What is to be said now."""
        self._last = now
        m = self.members
        out = m.tick(now)
        self.beliefs.expire(now)
        self.leases.begin(now)
        self.leases.expire(now)
        out += self._request_leases(now)
        if not self.caught_up:
            out += self._catch_up(now)
        if now >= self._digest_at:
            self._digest_at = now + DIGEST_INTERVAL // 2 + self._random.randrange(DIGEST_INTERVAL)
            digest = self._digest()
            out += [
                Outgoing(n, Message(Kind.DIGEST, m.me, m.incarnation, 0, -1, digest))
                for n in m.some(1)
            ]
        pieces = self._list_turn(now)
        self._spend(now, len(out))
        out = [self._piggyback(now, o) for o in out]
        if self.caught_up and (self._flush or self.dissemination):
            out += self._gossip(now)
        busy = self.shared is not None and self.shared.busy
        soon = busy or self._flush and self._pace.fill(now) >= 1
        self.due = now + (GOSSIP_DELAY if soon else TICK)
        return out + pieces

    def _list_turn(self, now: int) -> list[Outgoing]:
        """The list's own part of a turn, which goes by a pace of its own."""
        shared = self.shared
        if shared is None:
            return []
        shared.caught_up = self.caught_up
        out = shared.turn(now)
        if shared.said:
            shared.said = False
            self.dissemination.add((READING, self.terms.me))
            self._flush = True
        return out

    def _spend(self, now: int, count: int) -> None:
        """SWIM's messages go out in any case, and what they took is not there for others.

        Owed for half a second at the most: forgiven at once, the busiest of 200 nodes sent 23.6
        messages a second at 30% loss; owed for two seconds, news waited and no less was sent.
        """
        self._pace.fill(now)
        self._pace.tokens = max(self._pace.tokens - count, -self.terms.messages / 2)

    def _gossip(self, now: int) -> list[Outgoing]:
        """News, to a few by chance."""
        m = self.members
        while m.news:
            life = m.news.pop(0)
            self.dissemination.add((LIFE, life.node))
        out = []
        # What has been told already goes on at the tick's pace, mostly with other messages.
        most = GOSSIP_FANOUT if self.dissemination.fresh() else 1
        for to in m.some(max(min(most, int(self._pace.fill(now))), 0)):
            outgoing = self._piggyback(now, Outgoing(to, Message(Kind.GOSSIP, m.me, m.incarnation)))
            if not outgoing.message.records:
                break
            self._spend(now, 1)
            out.append(outgoing)
        self._flush = self.dissemination.fresh()
        return out

    def _piggyback(self, now: int, out: Outgoing) -> Outgoing:
        """A message with as many updates as it has room for; none while we catch up."""
        message = out.message
        if not self.caught_up or message.kind == Kind.DONE or message.records:
            return out
        room = self.room - (DIGEST_SIZE if message.digest else 0)
        records: list[Record] = []

        def wanted(key: Key) -> bool:
            nonlocal room
            record = self._named(now, key)
            if record is None:
                gone.append(key)
                return True
            if RECORD_SIZES[type(record)] > room:
                return False
            room -= RECORD_SIZES[type(record)]
            records.append(record)
            return True

        gone: list[Key] = []
        self.dissemination.take(wanted)
        for key in gone:
            self.dissemination.drop(key)
        return Outgoing(out.to, message._replace(records=tuple(records)))

    def _named(self, now: int, key: Key) -> Record | None:
        """The record that an update is about, as it is by now."""
        if key[0] == LIFE:
            return self.members.life(key[1])
        if key[0] == READING:
            return None if self.shared is None else self.shared.readers.get(now, key[1])
        return self.beliefs.get(now, key)

    # ---- what the Balancer is told --------------------------------------------------

    def changes(self, now: int) -> list[Change]:
        """What others' observations come to: at each change, and twice a second while it holds."""
        again = now - self._judged >= VERDICT_INTERVAL
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
            verdict = self.beliefs.judge(server, boot, self.terms.me, believed)
            if verdict is not None:
                told, ratio, born, cold = verdict
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
                    text = f"failures {r.failures} full {r.full} slow {r.ratio / 16:g}"
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

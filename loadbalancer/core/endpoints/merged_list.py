"""Many sources' words on the servers, merged into one list; pure, told the time.

A source tells of servers by id: the platform's list, Consul's health checks, a file. What
is told on is decided here: ready, draining or gone, with a weight and a boot time. The
rules guard one thing above all: no source's mistake may take the pool away.

- **Age and rank.** Of the sources that speak of a server the one of highest rank decides
  while its word is fresh; an old word stands only where no fresher one is.
- **One process, one server.** Words of several sources that name the same address are one
  server's. Two ids of one source at one address are one process: the first is told on. A
  new id where the old one has left, or a known id at a new address, starts cold.
- **Departures are spent from a bucket.** Of the pool at most `Rules.most` may be taken out
  in `Rules.window` on words alone. What does not fit waits, oldest first, and goes as the
  bucket fills: every real departure is acted on in the end.
- **Doubt.** What only checks say (critical) takes at most `Rules.doubted` of the pool out at
  any one time while the servers themselves do not agree: half a pool called critical that
  goes on answering must not push the other half over. What was done on purpose
  (maintenance, deregistration) has no such bound, only the bucket's.
- **Corroboration.** A server that its users have found dead leaves at once, beside the bucket;
  one that goes on answering them leaves after those of which nothing is known.
- **Orders.** The platform's list is told by whoever runs the servers: its drains are orders with
  a grace of their own, and leave at once (`Source.firm`). Its emptiness is believed as little.
- **Emptiness.** A whole answer with nothing in it is no news before it has been repeated
  for `Rules.empty_after`.
- **Flapping.** A server whose state changes again and again is held where it is until it
  has been quiet: the list told on changes a bounded number of times.

Times in nanoseconds. Could do harm: a real outage that nobody's own attempts confirm is
acted on at the bucket's pace only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum

from loadbalancer.core.balancing.model import SECOND, State

FORGOTTEN = 0.01  # of a flap

Address = tuple[str, int]


class Health(IntEnum):
    """A source's word on one server, worse as it grows."""

    PASSING = 0
    WARNING = 1
    CRITICAL = 2
    MAINTENANCE = 3
    GONE = 4  # told of before, and not in a whole answer any more


@dataclass(frozen=True, slots=True)
class Word:
    """One server as one source tells it, `weight` as it stands now. `boot` 0: not told."""

    uid: str
    host: str
    port: int
    zone: str = ""
    health: Health = Health.PASSING
    weight: float = 1.0
    boot: int = 0
    cell: int = 0
    kind: int = 0

    @property
    def address(self) -> Address:
        return self.host, self.port


@dataclass(frozen=True, slots=True)
class Source:
    """`rank`: the highest decides; `fresh`: for how long a word is (0: until the next).

    `firm`: its drains and departures are orders, acted on at once.
    """

    name: str
    rank: int
    fresh: int = 0
    firm: bool = False


@dataclass(frozen=True, slots=True)
class Rules:
    """What may leave on words alone."""

    most: float = 0.2  # of what is left of the pool in a window, and at least one
    window: int = 30 * SECOND
    doubted: float = 0.25  # of the pool, out for its checks' word alone at any time
    empty_after: int = 60 * SECOND
    drain: int = 2 * SECOND  # from a deregistration until it is told as gone
    flaps: float = 4.0  # changes, half of them forgotten after each half-life
    half_life: int = 30 * SECOND


@dataclass(frozen=True, slots=True)
class Member:
    """One server as it is told on, and why."""

    uid: str
    host: str
    port: int
    zone: str
    state: State
    weight: float
    boot: int
    since: int  # of its state
    why: str
    words: tuple[tuple[str, Health, int], ...]  # by source: its word, and when it began
    cell: int = 0
    kind: int = 0


@dataclass(slots=True)
class _Told:
    word: Word
    since: int  # when this source first said so
    heard: int  # when it last said so


@dataclass(slots=True)
class _Server:
    uid: str
    words: dict[str, _Told] = field(default_factory=dict)
    state: State = State.GONE
    weight: float = 0.0
    boot: int = 0
    since: int = 0
    why: str = "never in"
    address: Address = ("", 0)  # as told on
    wants_since: int | None = None  # since when it waits to leave
    doubted: bool = False  # out for its checks' word alone
    dead: bool = False  # out, and its users found it dead
    penalty: float = 0.0
    penalty_at: int = 0
    bad: bool | None = None  # what it said last
    held: bool = False  # flapping


class Members:
    """The merged list. `alive(uid)`: what the servers' own answers say, None if nothing."""

    __slots__ = (
        "_active", "_alias", "_alive", "_at", "_counted", "_dirty", "_emptied", "_places", "_rules",
        "_servers", "_sources", "_spent", "_whole", "changes",
    )  # fmt: skip

    def __init__(
        self,
        sources: Sequence[Source],
        rules: Rules | None = None,
        alive: Callable[[str], bool | None] = lambda _uid: None,
    ) -> None:
        self._sources = {s.name: s for s in sources}
        self._rules = rules or Rules()
        self._alive = alive
        self._servers: dict[str, _Server] = {}
        self._alias: dict[tuple[str, str], str] = {}  # a source's id to the server's
        self._places: dict[Address, str] = {}  # who is told on at an address
        # A long list is told in many small answers: only what may change is looked at.
        self._dirty: set[str] = set()  # by what was said
        self._active: set[str] = set()  # by time alone
        self._counted = (0, 0)  # how many are told on, as of so many changes
        self._emptied: dict[str, int] = {}  # sources whose whole answer is empty, since when
        self._whole: set[str] = set()  # sources that have told all they know of once
        self._spent = 0.0  # departures made on words alone, as of `_at`
        self._at = 0
        self.changes = 0  # of what is told on

    # ---- what sources say ----------------------------------------------

    def told(self, now: int, source: str, words: Iterable[Word], whole: bool) -> bool:
        """A source's answer; a whole one says that all it does not name is gone.

        Whether anything that is told on changed.
        """
        rows = {w.uid: w for w in words}
        if whole:
            self._whole.add(source)
        if rows:
            self._emptied.pop(source, None)
        elif whole and self._speaks(source) and self._too_empty(now, source):
            return self.settle(now)
        named = {self._hear(now, source, word) for word in rows.values()}
        if whole:
            for server in self._servers.values():
                told = server.words.get(source)
                if told is not None and server.uid not in named:
                    self._take(now, server, source, replace(told.word, health=Health.GONE))
        return self.settle(now)

    def complete(self) -> bool:
        """Whether all sources of some rank have told whole lists: a part would empty a pool."""
        missing = {s.rank for s in self._sources.values() if s.name not in self._whole}
        return any(s.rank not in missing for s in self._sources.values())

    def _too_empty(self, now: int, source: str) -> bool:
        """Whether an empty answer has not been repeated for long enough."""
        return now - self._emptied.setdefault(source, now) < self._rules.empty_after

    def _speaks(self, source: str) -> bool:
        """Whether by this source's last word any server is there."""
        words = (s.words.get(source) for s in self._servers.values())
        return any(t is not None and t.word.health != Health.GONE for t in words)

    def _hear(self, now: int, source: str, word: Word) -> str:
        """Take a word over; returns the server it is about."""
        key = (source, word.uid)
        uid = self._alias.get(key) or self._resolve(source, word)
        self._alias[key] = uid
        server = self._servers.get(uid)
        if server is None:
            server = self._servers[uid] = _Server(uid)
        self._take(now, server, source, word)
        return uid

    def _resolve(self, source: str, word: Word) -> str:
        """By id, or by the address that another source names; else it is a new server."""
        if word.uid in self._servers:
            return word.uid
        uid = self._places.get(word.address)
        if uid is not None and source not in self._servers[uid].words:
            return uid
        return word.uid

    def _take(self, now: int, server: _Server, source: str, word: Word) -> None:
        old = server.words.get(source)
        if old is not None and word.health == Health.GONE:
            word = replace(old.word, health=Health.GONE)  # it may not say where it was
        if old is None or old.word != word or len(server.words) > 1:
            self._dirty.add(server.uid)
        if old is not None and old.word.health == word.health:
            old.word, old.heard = word, now
        else:
            server.words[source] = _Told(word, now, now)

    # ---- what is told on -------------------------------------------------

    def settle(self, now: int) -> bool:
        """Bring what is told on up to date; whether anything of it changed."""
        before = self.changes
        self._fill(now)
        todo = self._dirty | self._active
        self._dirty = set()
        servers = [s for uid, s in self._servers.items() if uid in todo]
        for server in servers:
            self._flap(now, server)
            self._judge(now, server)
        leaving = [s for s in servers if s.wants_since is not None]
        answers = {s.uid: self._alive(s.uid) is True for s in leaving}
        for server in sorted(leaving, key=lambda s: (answers[s.uid], s.wants_since, s.uid)):
            self._depart(now, server)
        self._forget(todo | self._dirty)
        self._active = {u for u in todo if u in self._servers and self._unsettled(u)}
        return self.changes != before

    def _unsettled(self, uid: str) -> bool:
        """Whether time alone, or another server's leaving, may change what is told of it."""
        s = self._servers[uid]
        return s.state != State.READY or s.wants_since is not None or s.penalty > FORGOTTEN

    def due(self, now: int) -> int:
        """When `settle` may change something by time alone; 0 where nothing waits."""
        servers = [self._servers[u] for u in self._active]
        waits = any(s.wants_since is not None or s.held or self._drains(s) for s in servers)
        return now + SECOND if waits or self._emptied else 0

    def members(self) -> list[Member]:
        """All servers by id, with why each is in or out; also those never told on."""
        out = []
        for s in sorted(self._servers.values(), key=lambda s: s.uid):
            word = self._decides(s)
            words = tuple((n, t.word.health, t.since) for n, t in sorted(s.words.items()))
            out.append(
                Member(s.uid, word.host, word.port, word.zone, s.state, s.weight, s.boot,
                       s.since, s.why, words, *self._place(s))
            )  # fmt: skip
        return out

    def _place(self, server: _Server) -> tuple[int, int]:
        """Its cell and kind, from whichever source tells them."""
        words = [t.word for t in server.words.values()]
        return (
            next((w.cell for w in words if w.cell), 0),
            next((w.kind for w in words if w.kind), 0),
        )

    def _order(self, server: _Server) -> Word | None:
        """The word of a firm source that wants it out, whatever others say of it."""
        for name, told in server.words.items():
            if self._sources[name].firm and told.word.health >= Health.MAINTENANCE:
                return told.word
        return None

    def _decides(self, server: _Server) -> Word:
        """The word that counts: a firm order, else of the fresh ones that of highest rank."""
        order_given = self._order(server)
        if order_given is not None:
            return order_given
        latest = max(t.heard for t in server.words.values())

        def order(item: tuple[str, _Told]) -> tuple[bool, int, int]:
            source = self._sources[item[0]]
            fresh = not source.fresh or latest - item[1].heard <= source.fresh
            return fresh, source.rank, item[1].heard

        return max(server.words.items(), key=order)[1].word

    def _judge(self, now: int, s: _Server) -> None:
        word = self._decides(s)
        if word.health <= Health.WARNING:
            s.wants_since = None
            if s.state != State.READY and s.held:
                s.why = "flapping: held out"
            else:
                self._admit(now, s, word)
        elif s.state == State.READY:
            if s.wants_since is None:
                s.wants_since = now
        elif s.state == State.GONE:
            # What begins badly takes nothing away from anybody.
            s.why = f"never in: {word.health.name.lower()}"
        elif self._drains(s) and now - s.since >= self._rules.drain:
            self._tell(now, s, State.GONE, 0.0, "deregistered")
            self._leave_place(s)

    def _drains(self, s: _Server) -> bool:
        """Whether it drains and is to be told as gone after that."""
        return s.state == State.DRAINING and self._decides(s).health == Health.GONE

    def _admit(self, now: int, s: _Server, word: Word) -> None:
        """Tell a server on as ready, cold where it may be another process than before."""
        other = self._places.get(word.address)
        if other not in (None, s.uid):
            old = self._servers[other]  # type: ignore[index]
            if self._decides(old).health <= Health.WARNING:
                s.why = f"the same address as {old.uid}"
                return
            # Replaced: what was there before can't be there any more.
            old.wants_since = None
            self._tell(now, old, State.GONE, 0.0, f"replaced by {s.uid}")
            self._dirty.add(old.uid)
            s.boot = word.boot or now
        elif s.state == State.READY and s.address == word.address:
            s.boot = self._rebooted(word.boot, s.boot)
        elif s.state != State.GONE and s.address != word.address:
            self._leave_place(s)
            s.boot = word.boot if word.boot not in (0, s.boot) else now
            self.changes += 1
        elif s.dead:
            s.boot = word.boot if word.boot not in (0, s.boot) else now
        else:
            s.boot = self._rebooted(word.boot, s.boot)
        s.doubted = s.dead = False
        s.address = word.address
        self._places[word.address] = s.uid
        self._tell(now, s, State.READY, word.weight, word.health.name.lower())

    def _rebooted(self, told: int, known: int) -> int:
        if told in (0, known):
            return known
        self.changes += 1
        return told

    def _leave_place(self, s: _Server) -> None:
        if self._places.get(s.address) == s.uid:
            del self._places[s.address]

    def _flap(self, now: int, s: _Server) -> None:
        rules = self._rules
        s.penalty *= 0.5 ** (max(now - s.penalty_at, 0) / rules.half_life)
        s.penalty_at = now
        bad = self._decides(s).health > Health.WARNING
        if s.bad is not None and bad != s.bad:
            s.penalty += 1.0
        s.bad = bad
        if s.penalty >= rules.flaps:
            s.held = True
        elif s.penalty < rules.flaps / 2:
            s.held = False

    def _depart(self, now: int, s: _Server) -> None:
        health = self._decides(s).health
        what = health.name.lower()
        checks = health == Health.CRITICAL
        if self._alive(s.uid) is False:
            s.dead = True
            self._out(now, s, f"{what}, and its own answers agree", False)
        elif self._order(s) is not None:
            self._out(now, s, f"{what}, as ordered", False)
        elif checks and s.held:
            s.why = "flapping: held in"
        elif checks and not self._room_for_doubt():
            s.why = f"{what}, not believed: too many at once, none confirmed"
        elif self._spent + 1.0 > self._most():
            s.why = f"{what}, waits: too many leave at once"
        else:
            self._spent += 1.0
            self._out(now, s, what, checks)

    def _out(self, now: int, s: _Server, why: str, doubted: bool) -> None:
        s.wants_since = None
        s.doubted = doubted
        self._tell(now, s, State.DRAINING, s.weight, why)

    def _room_for_doubt(self) -> bool:
        doubted = sum(s.doubted for s in self._servers.values())
        return doubted + 1 <= max(self._rules.doubted * self._pool(), 1.0)

    def _pool(self) -> int:
        """Servers that are told on, also those that drain for their checks' word."""
        if self._counted[0] != self.changes:
            count = sum(s.state == State.READY or s.doubted for s in self._servers.values())
            self._counted = (self.changes, count)
        return self._counted[1]

    def _fill(self, now: int) -> None:
        """What was spent flows off at the pace at which the whole bucket does in a window."""
        flown = self._most() * (now - self._at) / self._rules.window
        self._spent = max(self._spent - max(flown, 0.0), 0.0)
        self._at = now

    def _most(self) -> float:
        return max(self._rules.most * self._pool(), 1.0)

    def _tell(self, now: int, s: _Server, state: State, weight: float, why: str) -> None:
        s.why = why
        s.doubted = s.doubted and state != State.GONE
        if state != s.state:
            s.since = now
        if (state, weight) != (s.state, s.weight):
            s.state, s.weight = state, weight
            self.changes += 1

    def _forget(self, among: Iterable[str]) -> None:
        """Drop what has gone and that no source names."""
        gone = {
            s.uid
            for s in [self._servers[uid] for uid in among if uid in self._servers]
            if s.state == State.GONE and all(t.word.health == Health.GONE for t in s.words.values())
        }
        for uid in gone:
            self._leave_place(self._servers.pop(uid))
        if gone:
            self._alias = {k: uid for k, uid in self._alias.items() if uid not in gone}

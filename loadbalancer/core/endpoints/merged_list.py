"""Merges what several sources report of the servers into one endpoint list; no I/O, no clock.

A source reports servers by id: the platform's list, Consul's health checks, a file. A `Word` is
one server as one source reports it; `told` takes a source's words. The merged list says of each
server whether it is ready, draining or removed, with a weight and a start time. The rules are
there so that no fault of a source can empty the pool:

- **Age and rank.** Of the sources that report a server, the one of highest rank decides while
  its report is fresh; an old report decides only where no source has a fresher one.
- **One process, one server.** Reports of several sources with the same address are of one server.
  Two ids of one source at one address are one process: the first is listed. A new id at the
  address of one that was removed, or a known id at a new address, starts cold.
- **Departures are rate limited.** On reports alone at most the part `Rules.most` of the pool may
  be drained in `Rules.window` (a leaky bucket). Further departures wait, longest waiting first,
  so every real one is carried out in the end.
- **Unconfirmed failures.** What only health checks say (critical) drains at most
  `Rules.doubted` of the pool at any one time, unless this node's own attempts confirm it: if half
  a pool is critical but still answers, the other half must not get its load. What was done on
  purpose (maintenance, deregistration) has no such limit, only the rate limit.
- **Confirmation.** A server that this node's own attempts have found dead is drained at once,
  outside the rate limit; one that answers them is drained after those of which nothing is known.
- **Orders.** The platform's list is written by whoever runs the servers: its drains are orders
  with a grace period of their own, and are carried out at once (`Source.firm`). An empty list is
  believed no sooner than another source's.
- **Empty lists.** A complete list without servers is ignored until it has been repeated for
  `Rules.empty_after`.
- **Flapping.** A server whose state changes again and again stays in its present state until it
  has been stable, so the merged list changes a bounded number of times.

Times are in nanoseconds. Limit of the design: a real outage that no attempts of this node confirm
is acted on at the rate limit only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum

from loadbalancer.core.balancing.model import SECOND, State

MIN_PENALTY = 0.01  # changes; a flap penalty that has decayed below this counts as none

Address = tuple[str, int]


class Health(IntEnum):
    """The state of a server as a source reports it; the greater, the worse."""

    PASSING = 0
    WARNING = 1
    CRITICAL = 2
    MAINTENANCE = 3
    GONE = 4  # reported before, and missing from a complete list since


@dataclass(frozen=True, slots=True)
class Word:
    """One server as one source reports it.

    `weight` is its present one; `boot` the start of its process (ns), 0 where not reported.
    """

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
    """A source of the list, and how much its reports count."""

    name: str
    rank: int  # the highest decides
    fresh: int = 0  # how long a report counts as fresh, ns; 0: until the next one
    firm: bool = False  # its drains and removals are orders, carried out at once


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits on what is drained on sources' reports alone; times in nanoseconds."""

    most: float = 0.2  # part of the present pool drained in a window at most; at least one server
    window: int = 30 * SECOND
    doubted: float = 0.25  # part of the pool drained on unconfirmed health checks at any time
    empty_after: int = 60 * SECOND  # how long an empty list is repeated until it is believed
    drain: int = 2 * SECOND  # from the drain of a deregistered server until it is listed as removed
    flaps: float = 4.0  # penalty from which a server is flapping: 1 a change, halved each half-life
    half_life: int = 30 * SECOND


@dataclass(frozen=True, slots=True)
class Member:
    """One server of the merged list, and why it is in its state."""

    uid: str
    host: str
    port: int
    zone: str
    state: State
    weight: float
    boot: int
    since: int  # of its state
    why: str
    words: tuple[tuple[str, Health, int], ...]  # (source, its report, since when)
    cell: int = 0
    kind: int = 0


@dataclass(slots=True)
class _Report:
    """The last report of one source on one server."""

    word: Word
    since: int  # when the source first reported this health
    received_at: int  # when it last did


@dataclass(slots=True)
class _Server:
    """One server, with the reports on it and its state in the merged list."""

    uid: str
    words: dict[str, _Report] = field(default_factory=dict)
    state: State = State.GONE
    weight: float = 0.0
    boot: int = 0
    since: int = 0
    why: str = "never in"
    address: Address = ("", 0)  # as listed
    waiting_since: int | None = None  # since when it has been ready and waited to be drained
    unconfirmed: bool = False  # drained on health checks alone
    confirmed_dead: bool = False  # drained, and this node's own attempts found it dead
    penalty: float = 0.0  # changes of health, decaying; as of `penalty_at`
    penalty_at: int = 0
    was_unhealthy: bool | None = None  # by the deciding report when last assessed
    flapping: bool = False  # stays in its present state


class Members:
    """The merged list.

    `alive(uid)` is what this node's own attempts show of a server, None for nothing.
    """

    __slots__ = (
        "_alive", "_bucket_level", "_complete_sources", "_empty_since", "_ids_by_address",
        "_leaked_at", "_pool_count", "_rules", "_server_ids", "_servers", "_sources",
        "_to_reassess", "_unsettled_ids", "changes",
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
        # By source and the source's id: the server's id.
        self._server_ids: dict[tuple[str, str], str] = {}
        self._ids_by_address: dict[Address, str] = {}  # the server that is listed at an address
        # A long list comes in many small answers: only servers that may change are reassessed.
        self._to_reassess: set[str] = set()  # ids of servers with new reports
        self._unsettled_ids: set[str] = set()  # of servers that time alone may change
        self._pool_count = (0, 0)  # (value of `changes`, pool size then): a cache of `_pool_size`
        self._empty_since: dict[str, int] = {}  # by source whose complete list is empty: since when
        self._complete_sources: set[str] = set()  # sources that have sent a complete list
        self._bucket_level = 0.0  # servers drained on reports alone, less what has leaked
        self._leaked_at = 0
        self.changes = 0  # of the merged list

    # ---- reports of sources ----------------------------------------------

    def told(self, now: int, source: str, words: Iterable[Word], whole: bool) -> bool:
        """Merge a source's answer; with `whole`, servers that it does not name are removed.

        Returns whether the merged list has changed.
        """
        rows = {w.uid: w for w in words}
        if whole:
            self._complete_sources.add(source)
        if rows:
            self._empty_since.pop(source, None)
        elif whole and self._lists_any(source) and self._is_unconfirmed_empty(now, source):
            return self.settle(now)
        named = {self._merge_word(now, source, word) for word in rows.values()}
        if whole:
            for server in self._servers.values():
                report = server.words.get(source)
                if report is not None and server.uid not in named:
                    self._store_word(now, server, source, replace(report.word, health=Health.GONE))
        return self.settle(now)

    def complete(self) -> bool:
        """Whether all sources of some rank have sent complete lists.

        Before that the merged list must not be used: a part of it would empty a pool.
        """
        missing = {s.rank for s in self._sources.values() if s.name not in self._complete_sources}
        return any(s.rank not in missing for s in self._sources.values())

    def _is_unconfirmed_empty(self, now: int, source: str) -> bool:
        """Whether an empty answer has not been repeated for long enough."""
        return now - self._empty_since.setdefault(source, now) < self._rules.empty_after

    def _lists_any(self, source: str) -> bool:
        """Whether any server is present by this source's last reports."""
        words = (s.words.get(source) for s in self._servers.values())
        return any(t is not None and t.word.health != Health.GONE for t in words)

    def _merge_word(self, now: int, source: str, word: Word) -> str:
        """Merge one report; returns the id of the server that it is about."""
        key = (source, word.uid)
        uid = self._server_ids.get(key) or self._resolve(source, word)
        self._server_ids[key] = uid
        server = self._servers.get(uid)
        if server is None:
            server = self._servers[uid] = _Server(uid)
        self._store_word(now, server, source, word)
        return uid

    def _resolve(self, source: str, word: Word) -> str:
        """The server's id: known, or of the server that another source reports at this address.

        Otherwise it is a new server under the source's id.
        """
        if word.uid in self._servers:
            return word.uid
        uid = self._ids_by_address.get(word.address)
        if uid is not None and source not in self._servers[uid].words:
            return uid
        return word.uid

    def _store_word(self, now: int, server: _Server, source: str, word: Word) -> None:
        old = server.words.get(source)
        if old is not None and word.health == Health.GONE:
            word = replace(old.word, health=Health.GONE)  # a removal may lack the address
        if old is None or old.word != word or len(server.words) > 1:
            self._to_reassess.add(server.uid)
        if old is not None and old.word.health == word.health:
            old.word, old.received_at = word, now
        else:
            server.words[source] = _Report(word, now, now)

    # ---- the merged list -------------------------------------------------

    def settle(self, now: int) -> bool:
        """Bring the merged list up to date; whether it has changed."""
        before = self.changes
        self._leak_bucket(now)
        todo = self._to_reassess | self._unsettled_ids
        self._to_reassess = set()
        servers = [s for uid, s in self._servers.items() if uid in todo]
        for server in servers:
            self._update_flapping(now, server)
            self._update_state(now, server)
        leaving = [s for s in servers if s.waiting_since is not None]
        answers = {s.uid: self._alive(s.uid) is True for s in leaving}
        for server in sorted(leaving, key=lambda s: (answers[s.uid], s.waiting_since, s.uid)):
            self._try_to_drain(now, server)
        self._remove_gone(todo | self._to_reassess)
        self._unsettled_ids = {
            u for u in todo if u in self._servers and self._may_change_by_time(u)
        }
        return self.changes != before

    def _may_change_by_time(self, uid: str) -> bool:
        """Whether time alone, or the removal of another server, may change its state."""
        s = self._servers[uid]
        return s.state != State.READY or s.waiting_since is not None or s.penalty > MIN_PENALTY

    def due(self, now: int) -> int:
        """When `settle` may change something by time alone; 0 where nothing waits."""
        servers = [self._servers[u] for u in self._unsettled_ids]
        waits = any(
            s.waiting_since is not None or s.flapping or self._awaits_removal(s) for s in servers
        )
        return now + SECOND if waits or self._empty_since else 0

    def members(self) -> list[Member]:
        """All servers by id, with the reason of each one's state; also those never listed."""
        out = []
        for s in sorted(self._servers.values(), key=lambda s: s.uid):
            word = self._deciding_word(s)
            words = tuple((n, t.word.health, t.since) for n, t in sorted(s.words.items()))
            out.append(
                Member(s.uid, word.host, word.port, word.zone, s.state, s.weight, s.boot,
                       s.since, s.why, words, *self._cell_and_kind(s))
            )  # fmt: skip
        return out

    def _cell_and_kind(self, server: _Server) -> tuple[int, int]:
        """A server's cell and kind, from whichever source reports them."""
        words = [t.word for t in server.words.values()]
        return (
            next((w.cell for w in words if w.cell), 0),
            next((w.kind for w in words if w.kind), 0),
        )

    def _order_for(self, server: _Server) -> Word | None:
        """The report of a firm source that orders a server out, whatever others report."""
        for name, report in server.words.items():
            if self._sources[name].firm and report.word.health >= Health.MAINTENANCE:
                return report.word
        return None

    def _deciding_word(self, server: _Server) -> Word:
        """The report that decides: a firm order, else the fresh one of highest rank."""
        order = self._order_for(server)
        if order is not None:
            return order
        latest = max(t.received_at for t in server.words.values())

        def precedence(item: tuple[str, _Report]) -> tuple[bool, int, int]:
            source = self._sources[item[0]]
            fresh = not source.fresh or latest - item[1].received_at <= source.fresh
            return fresh, source.rank, item[1].received_at

        return max(server.words.items(), key=precedence)[1].word

    def _update_state(self, now: int, server: _Server) -> None:
        word = self._deciding_word(server)
        if word.health <= Health.WARNING:
            server.waiting_since = None
            if server.state != State.READY and server.flapping:
                server.why = "flapping: held out"
            else:
                self._make_ready(now, server, word)
        elif server.state == State.READY:
            if server.waiting_since is None:
                server.waiting_since = now
        elif server.state == State.GONE:
            # It is not listed, so no limit on departures applies.
            server.why = f"never in: {word.health.name.lower()}"
        elif self._awaits_removal(server) and now - server.since >= self._rules.drain:
            self._set_state(now, server, State.GONE, 0.0, "deregistered")
            self._release_address(server)

    def _awaits_removal(self, server: _Server) -> bool:
        """Whether it is draining, and listed as removed after that."""
        return server.state == State.DRAINING and self._deciding_word(server).health == Health.GONE

    def _make_ready(self, now: int, server: _Server, word: Word) -> None:
        """List a server as ready, cold where it may be another process than before."""
        other = self._ids_by_address.get(word.address)
        if other not in (None, server.uid):
            old = self._servers[other]  # type: ignore[index]
            if self._deciding_word(old).health <= Health.WARNING:
                server.why = f"the same address as {old.uid}"
                return
            # Only one process can listen at an address: the earlier one has ended.
            old.waiting_since = None
            self._set_state(now, old, State.GONE, 0.0, f"replaced by {server.uid}")
            self._to_reassess.add(old.uid)
            server.boot = word.boot or now
        elif server.state == State.READY and server.address == word.address:
            server.boot = self._updated_boot(word.boot, server.boot)
        elif server.state != State.GONE and server.address != word.address:
            self._release_address(server)
            server.boot = word.boot if word.boot not in (0, server.boot) else now
            self.changes += 1
        elif server.confirmed_dead:
            server.boot = word.boot if word.boot not in (0, server.boot) else now
        else:
            server.boot = self._updated_boot(word.boot, server.boot)
        server.unconfirmed = server.confirmed_dead = False
        server.address = word.address
        self._ids_by_address[word.address] = server.uid
        self._set_state(now, server, State.READY, word.weight, word.health.name.lower())

    def _updated_boot(self, reported: int, known: int) -> int:
        """The start time to list; a new one counts as a change."""
        if reported in (0, known):
            return known
        self.changes += 1
        return reported

    def _release_address(self, server: _Server) -> None:
        if self._ids_by_address.get(server.address) == server.uid:
            del self._ids_by_address[server.address]

    def _update_flapping(self, now: int, server: _Server) -> None:
        """Let the penalty decay, add a change of health, and set `flapping` with hysteresis."""
        rules = self._rules
        server.penalty *= 0.5 ** (max(now - server.penalty_at, 0) / rules.half_life)
        server.penalty_at = now
        bad = self._deciding_word(server).health > Health.WARNING
        if server.was_unhealthy is not None and bad != server.was_unhealthy:
            server.penalty += 1.0
        server.was_unhealthy = bad
        if server.penalty >= rules.flaps:
            server.flapping = True
        elif server.penalty < rules.flaps / 2:
            server.flapping = False

    def _try_to_drain(self, now: int, server: _Server) -> None:
        """Drain a ready server that is to leave, where the limits allow it now."""
        health = self._deciding_word(server).health
        reported = health.name.lower()
        by_checks = health == Health.CRITICAL
        if self._alive(server.uid) is False:
            server.confirmed_dead = True
            self._drain(now, server, f"{reported}, and its own answers agree", False)
        elif self._order_for(server) is not None:
            self._drain(now, server, f"{reported}, as ordered", False)
        elif by_checks and server.flapping:
            server.why = "flapping: held in"
        elif by_checks and not self._may_drain_unconfirmed():
            server.why = f"{reported}, not believed: too many at once, none confirmed"
        elif self._bucket_level + 1.0 > self._bucket_capacity():
            server.why = f"{reported}, waits: too many leave at once"
        else:
            self._bucket_level += 1.0
            self._drain(now, server, reported, by_checks)

    def _drain(self, now: int, server: _Server, why: str, unconfirmed: bool) -> None:
        server.waiting_since = None
        server.unconfirmed = unconfirmed
        self._set_state(now, server, State.DRAINING, server.weight, why)

    def _may_drain_unconfirmed(self) -> bool:
        unconfirmed = sum(s.unconfirmed for s in self._servers.values())
        return unconfirmed + 1 <= max(self._rules.doubted * self._pool_size(), 1.0)

    def _pool_size(self) -> int:
        """Servers that are ready, and those drained on health checks alone."""
        if self._pool_count[0] != self.changes:
            count = sum(s.state == State.READY or s.unconfirmed for s in self._servers.values())
            self._pool_count = (self.changes, count)
        return self._pool_count[1]

    def _leak_bucket(self, now: int) -> None:
        """Let the bucket leak at the rate that empties a full one in a window."""
        leaked = self._bucket_capacity() * (now - self._leaked_at) / self._rules.window
        self._bucket_level = max(self._bucket_level - max(leaked, 0.0), 0.0)
        self._leaked_at = now

    def _bucket_capacity(self) -> float:
        return max(self._rules.most * self._pool_size(), 1.0)

    def _set_state(self, now: int, server: _Server, state: State, weight: float, why: str) -> None:
        server.why = why
        server.unconfirmed = server.unconfirmed and state != State.GONE
        if state != server.state:
            server.since = now
        if (state, weight) != (server.state, server.weight):
            server.state, server.weight = state, weight
            self.changes += 1

    def _remove_gone(self, among: Iterable[str]) -> None:
        """Forget removed servers that no source reports any more."""
        gone = {
            s.uid
            for s in [self._servers[uid] for uid in among if uid in self._servers]
            if s.state == State.GONE and all(t.word.health == Health.GONE for t in s.words.values())
        }
        for uid in gone:
            self._release_address(self._servers.pop(uid))
        if gone:
            self._server_ids = {k: uid for k, uid in self._server_ids.items() if uid not in gone}

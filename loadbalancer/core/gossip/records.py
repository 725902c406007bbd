"""What a node holds of servers from all nodes' messages, and what it makes of it.

Merging is a join of semilattices (commutative, associative, idempotent; Shapiro et al.,
"Conflict-free Replicated Data Types", 2011, section 2), so messages may come twice, late and
in any order. RULES is the one table of which record wins where copies differ. State is
bounded by servers, not by servers times nodes: of a server's witnesses the WITNESSES that
rank first by rendezvous hashing are kept (Thaler and Ravishankar, 1998), and the least of
a union is the least of the leasts.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar, cast
from zlib import crc32

from loadbalancer.core.balancing.model import SECOND, ReportedState, State
from loadbalancer.core.gossip.messages import Listed, Observation, Reading, mark

PARTS = 8  # of a digest
WITNESSES = 3  # kept of one server in one zone: more would be told of more than messages allow
FAILURES_SUM = 3  # failures that all witnesses together have seen, for a server to be silent
FAILURE_WITNESSES = 2  # witnesses, where there are so many nodes: one may itself be cut off
CUT_OFF = 3  # a witness against more than one in so many servers is itself in doubt ...
CUT_OFF_LEAST = 3  # ... from so many on
SLOW_RATIO = 24  # sixteenths: half as slow again as the fleet
FULL_ROW = 3  # turned away so often in a row, others need not try
KEEP_LISTED = 600 * SECOND
KEEP_OBSERVATION = 15 * SECOND
KEEP_READING = 60 * SECOND
TOO_OLD = SECOND // 2  # left of a record's time: less is not worth passing on


class Rule(NamedTuple):
    """One line of the table: what a kind's copies are ordered by, and for how long they count."""

    writer: str
    wins: str
    counts: int
    why: str


RULES = {
    Listed: Rule(
        "the list service",
        "the higher version; at one version GONE over DRAINING",
        KEEP_LISTED,
        "a drain is never undone by a node that has not heard of it yet",
    ),
    Observation: Rule(
        "the node whose attempts they were",
        "the later incarnation of it, then its higher number",
        KEEP_OBSERVATION,
        "only its writer takes an observation back; others' stand beside it",
    ),
    Reading: Rule(
        "the node that reads the list",
        "the later incarnation of it, then its higher number",
        KEEP_READING,
        "only the reader knows how its calls went; the versions it names are ordered by themselves",
    ),
}
R = TypeVar("R", bound=Listed | Observation | Reading)


class Held(NamedTuple, Generic[R]):
    record: R
    born: int  # by this node's own clock

    def aged(self, now: int) -> R:
        """The record with its age as of now, as it is passed on."""
        return cast(R, self.record._replace(age=max(now - self.born, 0)))


Rows = dict[int, Held[Listed | Observation]]  # of one server, by writer
Key = tuple[int, int]  # a server, and the witness or -1 for the list's record


def rank(server: int, node: int) -> int:
    """Rendezvous: the lower, the sooner a node is a witness of this server."""
    return crc32(b"%d %d" % (server, node))


def version(record: Listed | Observation | Reading) -> tuple[int, ...]:
    """What copies of one key are ordered by; of two that are alike in it the contents decide."""
    if isinstance(record, Listed):
        return (record.rev, record.boot, State.DRAINING - record.state)
    if isinstance(record, Reading):
        return record[1:7]
    return (record.incarnation, record.number, *record[1:2], *record[5:9])


def joined(old: Held[R] | None, now: int, record: R) -> tuple[Held[R], bool]:
    """What is held of one key once a record has come, a join by `version`; whether it was news."""
    fresh = Held(cast(R, record._replace(age=0)), now - record.age)
    if old is None or version(record) > version(old.record):
        return fresh, True
    if version(record) == version(old.record) and fresh.born < old.born:
        # The earlier birth: passed round and round a record must grow no younger.
        return old._replace(born=fresh.born), False
    return old, False


class Beliefs:
    """Records of servers by server and writer; `counts` is what each is held at most."""

    def __init__(self, nodes: int, zones: int) -> None:
        self._zones = max(zones, 1)
        self._few = min(FAILURE_WITNESSES, max(nodes // self._zones - 1, 1))
        self._held: dict[int, Rows] = {}
        self.digest = [0] * PARTS
        self.changed: set[int] = set()  # servers whose records have, since last looked at

    # ---- merging --------------------------------------------------------

    def merge(self, now: int, record: Listed | Observation) -> bool:
        """Take a record in; whether it was news."""
        if record.age >= RULES[type(record)].counts:
            return False
        rows = self._held.setdefault(record.server, {})
        writer = record.origin if isinstance(record, Observation) else -1
        old = rows.get(writer)
        if old is None and writer >= 0 and not self._room(rows, record.server, writer):
            return False
        rows[writer], news = joined(old, now, record)
        if not news:
            return False
        if old is not None:
            self._flip(old.record)
        self._flip(record)
        self.changed.add(record.server)
        return True

    def _room(self, rows: Rows, server: int, writer: int) -> bool:
        """Whether a new witness ranks among the first; the last of them goes for it."""
        last = self._last(rows, server, writer)
        if last is None:
            return True
        if last < (rank(server, writer), writer):
            return False
        self._drop(server, last[1])
        return True

    def _last(self, rows: Rows, server: int, writer: int) -> tuple[int, int] | None:
        """Who would go for a new witness of its zone; None while there is room."""
        zone = writer % self._zones
        ranks = [(rank(server, w), w) for w in rows if w >= 0 and w % self._zones == zone]
        return max(ranks) if len(ranks) >= WITNESSES else None

    def _flip(self, record: Listed | Observation) -> None:
        self.digest[record.server % PARTS] ^= mark(record)

    def _drop(self, server: int, writer: int) -> None:
        rows = self._held[server]
        self._flip(rows.pop(writer).record)
        self.changed.add(server)
        if not rows:
            del self._held[server]

    def expire(self, now: int) -> None:
        """Forget what no longer counts."""
        for server, rows in list(self._held.items()):
            for writer, held in list(rows.items()):
                if now - held.born >= RULES[type(held.record)].counts:
                    self._drop(server, writer)

    def outdate(self, rev: int) -> None:
        """The list service counts from anew: its records above this version are of no use."""
        for server, rows in list(self._held.items()):
            held = rows.get(-1)
            if held is not None and isinstance(held.record, Listed) and held.record.rev > rev:
                self._drop(server, -1)

    # ---- what is held ----------------------------------------------------

    def get(self, now: int, key: Key) -> Listed | Observation | None:
        """A record with its age as of now; None where too little of its time is left."""
        held = self._held.get(key[0], {}).get(key[1])
        if held is None:
            return None
        record = held.aged(now)
        return None if RULES[type(record)].counts - record.age < TOO_OLD else record

    def part(self, now: int, number: int) -> Iterator[Listed | Observation]:
        """All that is worth passing on of one part of the digest."""
        for server, rows in self._held.items():
            if server % PARTS == number:
                for writer in rows:
                    record = self.get(now, (server, writer))
                    if record is not None:
                        yield record

    def servers(self) -> list[int]:
        return list(self._held)

    def rows(self, server: int) -> list[Held[Listed | Observation]]:
        return list(self._held.get(server, {}).values())

    def room_for(self, server: int, node: int) -> bool:
        """Whether this node's observation of a server is one that is kept."""
        rows = self._held.get(server, {})
        last = self._last(rows, server, node)
        return node in rows or last is None or (rank(server, node), node) < last

    def listed(self, server: int, boot: int, rev: int) -> State | None:
        """The list's stricter state of this server's start, from a version we have not had."""
        held = self._held.get(server, {}).get(-1)
        if held is None or not isinstance(held.record, Listed):
            return None
        record = held.record
        return State(record.state) if record.rev > rev and record.boot == boot else None

    # ---- what it comes to ---------------------------------------------------

    def cut_off(self, servers: int) -> set[int]:
        """Witnesses that see so much silence that the fault may be at their end."""
        against: dict[int, int] = {}
        for rows in self._held.values():
            for writer, held in rows.items():
                if isinstance(held.record, Observation) and held.record.failures:
                    against[writer] = against.get(writer, 0) + 1
        most = max(CUT_OFF_LEAST, servers // CUT_OFF)
        return {writer for writer, n in against.items() if n > most}

    def judge(
        self, server: int, boot: int, node: int, believed: set[int]
    ) -> tuple[ReportedState, int, int, bool] | None:
        """What others' observations of a server come to for `node`: (what, ratio, birth, cold).

        `born` is when the youngest of them was, so that the node's own later answers go
        before it. Evidence from one zone binds that zone alone: unreachable from there is
        not dead. None where nothing is told.
        """
        mine = node % self._zones
        rows = [
            (held.record, held.born)
            for writer, held in self._held.get(server, {}).items()
            if isinstance(held.record, Observation)
            and writer != node
            and writer in believed
            and writer % self._zones == mine
            and held.record.boot == boot
        ]
        if not rows:
            return None
        born = max(b for _, b in rows)
        failed = [r for r, _ in rows if r.failures]
        cold = any(r.cold for r in failed)
        if failed:
            enough = sum(r.failures for r in failed) >= FAILURES_SUM
            if enough and len(failed) >= self._few:
                return ReportedState.SILENT, 0, born, cold
            if enough:
                return ReportedState.DOUBTED, 0, born, cold
        if sum(r.full for r, _ in rows) >= FULL_ROW:
            return ReportedState.FULL, 0, born, False
        ratios = sorted(r.ratio for r, _ in rows if r.ratio)
        if ratios and ratios[len(ratios) // 2] >= SLOW_RATIO:
            return ReportedState.SLOW, ratios[len(ratios) // 2], born, False
        return None

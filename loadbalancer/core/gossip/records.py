"""A node's replicas of the records of servers.

Merging is a join of semilattices (commutative, associative, idempotent; Shapiro et al.,
"Conflict-free Replicated Data Types", 2011, section 2), so messages may be duplicated, late and
in any order. MERGE_RULES says which record wins where replicas differ. Storage grows with servers,
not with servers times nodes: of a server's witnesses only the MAX_WITNESSES that rank first by
rendezvous hashing (Thaler and Ravishankar, 1998) are stored. That is still a join: the first
of a union are among the first of its parts.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar, cast
from zlib import crc32

from loadbalancer.core.balancing.model import SECOND, State
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    Observation,
    ReaderRecord,
    record_checksum,
)

DIGEST_PARTS = 8
MAX_WITNESSES = 3  # of one server in one zone, so that its records fit in few messages
DRAIN_TTL_NS = 600 * SECOND
OBSERVATION_TTL_NS = 15 * SECOND
READER_TTL_NS = 60 * SECOND
MIN_REMAINING_NS = SECOND // 2  # a record with less of its lifetime remaining is not passed on
LIST_SERVICE = -1  # as the writer of a server's drain record


class MergeRule(NamedTuple):
    """How replicas of one kind of record are ordered, and for how long a record is valid."""

    writer: str
    precedence: str
    ttl_ns: int
    reason: str


MERGE_RULES = {
    DrainRecord: MergeRule(
        "the list service",
        "the higher version; at one version GONE over DRAINING",
        DRAIN_TTL_NS,
        "a drain is never undone by a node that has not received it yet",
    ),
    Observation: MergeRule(
        "the node whose attempts they were",
        "the later incarnation of it, then its higher number",
        OBSERVATION_TTL_NS,
        "only its writer retracts an observation; those of others are stored beside it",
    ),
    ReaderRecord: MergeRule(
        "the node that reads the list",
        "the later incarnation of it, then its higher number",
        READER_TTL_NS,
        "only the reader knows the results of its calls; list versions are ordered by themselves",
    ),
}
ServerRecord = DrainRecord | Observation
R = TypeVar("R", bound=DrainRecord | Observation | ReaderRecord)


class StoredRecord(NamedTuple, Generic[R]):
    """A record, and when it was written by this node's own clock (ns)."""

    record: R
    written_at: int

    def with_age(self, now: int) -> R:
        """The record with its age as of now, as it is passed on."""
        return cast(R, self.record._replace(age=max(now - self.written_at, 0)))


class RankedWitness(NamedTuple):
    """A witness of a server; the one with the lowest rank counts first."""

    rank: int
    node: int


class RecordKey(NamedTuple):
    """Identifies an update: a server, and the witness or LIST_SERVICE as its writer."""

    server: int
    writer: int


ServerRecords = dict[int, StoredRecord[ServerRecord]]  # of one server, by writer


def key_of(record: ServerRecord) -> RecordKey:
    """The key under which a record is stored."""
    writer = record.origin if isinstance(record, Observation) else LIST_SERVICE
    return RecordKey(record.server, writer)


def witness_rank(server: int, node: int) -> int:
    """Rendezvous hash: the nodes with the lowest ranks are the witnesses of a server."""
    return crc32(b"%d %d" % (server, node))


def precedence(record: DrainRecord | Observation | ReaderRecord) -> tuple[int, ...]:
    """The sort key of replicas under one record key; the contents break ties."""
    if isinstance(record, DrainRecord):
        return (record.rev, record.boot, State.DRAINING - record.state)
    if isinstance(record, ReaderRecord):
        return record[1:7]
    return (record.incarnation, record.sequence_number, *record[1:2], *record[5:9])


class Joined(NamedTuple, Generic[R]):
    """A received record joined with the stored one."""

    stored: StoredRecord[R]
    is_new: bool  # the received one has won


def join(old: StoredRecord[R] | None, now: int, record: R) -> Joined[R]:
    """Join a received record with the stored one."""
    received = StoredRecord(cast(R, record._replace(age=0)), now - record.age)
    if old is None or precedence(record) > precedence(old.record):
        return Joined(received, is_new=True)
    if precedence(record) == precedence(old.record) and received.written_at < old.written_at:
        # Keep the earlier time of writing, so that a record that circulates still expires.
        return Joined(old._replace(written_at=received.written_at), is_new=False)
    return Joined(old, is_new=False)


class RecordStore:
    """Records by server and writer, with the digest that anti-entropy compares."""

    def __init__(self, zones: int) -> None:
        self._zones = max(zones, 1)
        self._records: dict[int, ServerRecords] = {}
        self.digest = [0] * DIGEST_PARTS
        self.changed: set[int] = set()  # servers whose records have changed since last assessed

    # ---- merging --------------------------------------------------------

    def merge(self, now: int, record: ServerRecord) -> bool:
        """Merge a record; returns whether it changed what is stored."""
        if record.age >= MERGE_RULES[type(record)].ttl_ns:
            return False
        records = self._records.setdefault(record.server, {})
        writer = key_of(record).writer
        old = records.get(writer)
        if old is None and writer != LIST_SERVICE and not self._admit(record.server, writer):
            return False
        records[writer], wins = join(old, now, record)
        if not wins:
            return False
        if old is not None:
            self._toggle(old.record)
        self._toggle(record)
        self.changed.add(record.server)
        return True

    def _admit(self, server: int, writer: int) -> bool:
        """Whether a new witness ranks among the first; if so the last of them is removed."""
        last = self._last_witness(server, writer)
        if last is None:
            return True
        if last < (witness_rank(server, writer), writer):
            return False
        self._remove(server, last.node)
        return True

    def _last_witness(self, server: int, node: int) -> RankedWitness | None:
        """The lowest ranked witness of a node's zone; None while there are few enough."""
        zone = node % self._zones
        ranks = [
            RankedWitness(witness_rank(server, writer), writer)
            for writer in self._records.get(server, {})
            if writer >= 0 and writer % self._zones == zone
        ]
        return max(ranks) if len(ranks) >= MAX_WITNESSES else None

    def _toggle(self, record: ServerRecord) -> None:
        """Add a record to the digest, or remove it: the digest is an exclusive or."""
        self.digest[record.server % DIGEST_PARTS] ^= record_checksum(record)

    def _remove(self, server: int, writer: int) -> None:
        records = self._records[server]
        self._toggle(records.pop(writer).record)
        self.changed.add(server)
        if not records:
            del self._records[server]

    def expire(self, now: int) -> None:
        """Remove the records whose lifetime has ended."""
        for server, records in list(self._records.items()):
            for writer, stored in list(records.items()):
                if now - stored.written_at >= MERGE_RULES[type(stored.record)].ttl_ns:
                    self._remove(server, writer)

    def remove_drains_after(self, rev: int) -> None:
        """Remove the drain records above a version: the list service has restarted its numbers."""
        for server in list(self._records):
            record = self._drain(server)
            if record is not None and record.rev > rev:
                self._remove(server, LIST_SERVICE)

    # ---- reading ---------------------------------------------------------

    def get(self, now: int, key: RecordKey) -> ServerRecord | None:
        """A record with its age as of now; None where too little of its lifetime remains."""
        stored = self._records.get(key.server, {}).get(key.writer)
        if stored is None:
            return None
        record = stored.with_age(now)
        remaining = MERGE_RULES[type(record)].ttl_ns - record.age
        return None if remaining < MIN_REMAINING_NS else record

    def in_part(self, now: int, part: int) -> Iterator[ServerRecord]:
        """The records of one part of the digest that may be passed on."""
        for server, records in self._records.items():
            if server % DIGEST_PARTS == part:
                for writer in records:
                    record = self.get(now, RecordKey(server, writer))
                    if record is not None:
                        yield record

    def servers(self) -> list[int]:
        """The servers that have records."""
        return list(self._records)

    def records_of_server(self, server: int) -> list[StoredRecord[ServerRecord]]:
        """All records of one server."""
        return list(self._records.get(server, {}).values())

    def observations(self, server: int) -> Iterator[StoredRecord[Observation]]:
        """The observations of one server."""
        for stored in self._records.get(server, {}).values():
            if isinstance(stored.record, Observation):
                yield cast("StoredRecord[Observation]", stored)

    def accepts_witness(self, server: int, node: int) -> bool:
        """Whether this node's observation of a server would be stored."""
        if node in self._records.get(server, {}):
            return True
        last = self._last_witness(server, node)
        return last is None or (witness_rank(server, node), node) < last

    def drain_state(self, server: int, boot: int, rev: int) -> State | None:
        """DRAINING or GONE, where a version above `rev` says so of this start of a server."""
        record = self._drain(server)
        if record is None or record.rev <= rev or record.boot != boot:
            return None
        return State(record.state)

    def _drain(self, server: int) -> DrainRecord | None:
        stored = self._records.get(server, {}).get(LIST_SERVICE)
        return stored.record if stored and isinstance(stored.record, DrainRecord) else None

"""Replicated records about servers: drains and observations.

Merging is a join of semilattices (commutative, associative, idempotent; Shapiro et al.,
"Conflict-free Replicated Data Types", 2011, section 2), so messages may be duplicated, delayed and
reordered. MERGE_RULES lists which record takes precedence where replicas differ.

The store grows with the number of servers and not with servers times nodes: for each server and
zone it keeps only the observations of the MAX_OBSERVERS nodes that rank first by rendezvous hashing
(Thaler and Ravishankar, 1998). Merging remains a join, because the first MAX_OBSERVERS of a union
are among the first MAX_OBSERVERS of its subsets.
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

DIGEST_BUCKETS = 8
MAX_OBSERVERS = 3  # observers per server and zone; their records must fit into few messages
DRAIN_TTL_NS = 600 * SECOND
OBSERVATION_TTL_NS = 15 * SECOND
READER_TTL_NS = 60 * SECOND
MIN_REMAINING_NS = SECOND // 2  # a record that expires sooner than this is not sent any more
LIST_SERVICE = -1  # `RecordKey.writer` of a drain record


class MergeRule(NamedTuple):
    """How replicas of one type of record are ordered, and how long a record is valid."""

    writer: str
    precedence: str
    ttl_ns: int
    reason: str


MERGE_RULES = {
    DrainRecord: MergeRule(
        "the list service",
        "the higher list version; at equal versions GONE over DRAINING",
        DRAIN_TTL_NS,
        "a node that has not received a drain yet cannot undo it",
    ),
    Observation: MergeRule(
        "the node that made the attempts",
        "the later incarnation of the writer, then the higher sequence number",
        OBSERVATION_TTL_NS,
        "only its writer can retract an observation; each observer has a separate record",
    ),
    ReaderRecord: MergeRule(
        "the node that reads the list",
        "the later incarnation of the writer, then the higher sequence number",
        READER_TTL_NS,
        "only the reader knows the results of its polls; list versions are compared separately",
    ),
}
ServerRecord = DrainRecord | Observation
R = TypeVar("R", bound=DrainRecord | Observation | ReaderRecord)


class StoredRecord(NamedTuple, Generic[R]):
    """A record, and when it was written on the clock of this node (ns)."""

    record: R
    written_at: int

    def with_age(self, now: int) -> R:
        """The record with its present age, as it is sent to other nodes."""
        return cast(R, self.record._replace(age=max(now - self.written_at, 0)))


class RankedObserver(NamedTuple):
    """An observer of a server. The observations with the lowest ranks are stored."""

    rank: int
    node: int


class RecordKey(NamedTuple):
    """Identifies an update: the server, and its writer (an observer, or LIST_SERVICE)."""

    server: int
    writer: int


ServerRecords = dict[int, StoredRecord[ServerRecord]]  # the records of one server, by writer


def key_of(record: ServerRecord) -> RecordKey:
    """The key under which a record is stored."""
    writer = record.origin if isinstance(record, Observation) else LIST_SERVICE
    return RecordKey(record.server, writer)


def observer_rank(server: int, node: int) -> int:
    """Rendezvous hash: the observations of the nodes with the lowest ranks are stored."""
    return crc32(b"%d %d" % (server, node))


def precedence(record: DrainRecord | Observation | ReaderRecord) -> tuple[int, ...]:
    """The sort key of replicas with the same record key; the contents break ties."""
    if isinstance(record, DrainRecord):
        return (record.rev, record.boot, State.DRAINING - record.state)
    if isinstance(record, ReaderRecord):
        return record[1:7]
    return (record.incarnation, record.sequence_number, *record[1:2], *record[5:9])


class JoinResult(NamedTuple, Generic[R]):
    """The result of joining a received record with the stored one."""

    stored: StoredRecord[R]
    received_wins: bool  # the received record replaces the stored one


def join(old: StoredRecord[R] | None, now: int, record: R) -> JoinResult[R]:
    """Join a received record with the stored one."""
    received = StoredRecord(cast(R, record._replace(age=0)), now - record.age)
    if old is None or precedence(record) > precedence(old.record):
        return JoinResult(received, received_wins=True)
    if precedence(record) == precedence(old.record) and received.written_at < old.written_at:
        # Keep the earlier time, so that a record that nodes send to each other still expires.
        return JoinResult(old._replace(written_at=received.written_at), received_wins=False)
    return JoinResult(old, received_wins=False)


class RecordStore:
    """Records by server and writer, and the digest that anti-entropy compares."""

    def __init__(self, zones: int) -> None:
        self._zones = max(zones, 1)
        self._records: dict[int, ServerRecords] = {}
        self.digest = [0] * DIGEST_BUCKETS
        self.changed: set[int] = set()  # servers to assess, as their records have changed

    # Merging and removal.

    def merge(self, now: int, record: ServerRecord) -> bool:
        """Merge a record; returns whether it has replaced the stored one."""
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
            self._toggle_in_digest(old.record)
        self._toggle_in_digest(record)
        self.changed.add(record.server)
        return True

    def _admit(self, server: int, writer: int) -> bool:
        """Whether a new observer ranks among the first MAX_OBSERVERS of its zone.

        If so, the one with the highest rank is removed to make space.
        """
        last = self._last_observer(server, writer)
        if last is None:
            return True
        if last < (observer_rank(server, writer), writer):
            return False
        self._remove(server, last.node)
        return True

    def _last_observer(self, server: int, node: int) -> RankedObserver | None:
        """The observer to replace in the zone of a node; None below MAX_OBSERVERS."""
        zone = node % self._zones
        ranks = [
            RankedObserver(observer_rank(server, writer), writer)
            for writer in self._records.get(server, {})
            if writer >= 0 and writer % self._zones == zone
        ]
        return max(ranks) if len(ranks) >= MAX_OBSERVERS else None

    def _toggle_in_digest(self, record: ServerRecord) -> None:
        """Add a record to the digest, or remove it: both are an exclusive or of its checksum."""
        self.digest[record.server % DIGEST_BUCKETS] ^= record_checksum(record)

    def _remove(self, server: int, writer: int) -> None:
        records = self._records[server]
        self._toggle_in_digest(records.pop(writer).record)
        self.changed.add(server)
        if not records:
            del self._records[server]

    def expire(self, now: int) -> None:
        """Remove the expired records."""
        for server, records in list(self._records.items()):
            for writer, stored in list(records.items()):
                if now - stored.written_at >= MERGE_RULES[type(stored.record)].ttl_ns:
                    self._remove(server, writer)

    def remove_drains_after(self, rev: int) -> None:
        """Remove drain records above a version: the list service restarted its version numbers."""
        for server in list(self._records):
            record = self._drain(server)
            if record is not None and record.rev > rev:
                self._remove(server, LIST_SERVICE)

    # Reading.

    def get(self, now: int, key: RecordKey) -> ServerRecord | None:
        """A record with its present age; None if it is unknown, expired or about to expire."""
        stored = self._records.get(key.server, {}).get(key.writer)
        if stored is None:
            return None
        record = stored.with_age(now)
        remaining = MERGE_RULES[type(record)].ttl_ns - record.age
        return None if remaining < MIN_REMAINING_NS else record

    def records_in_bucket(self, now: int, bucket: int) -> Iterator[ServerRecord]:
        """The records in one bucket of the digest, except those about to expire."""
        for server, records in self._records.items():
            if server % DIGEST_BUCKETS == bucket:
                for writer in records:
                    record = self.get(now, RecordKey(server, writer))
                    if record is not None:
                        yield record

    def servers(self) -> list[int]:
        """The servers that this node has records about."""
        return list(self._records)

    def records_of_server(self, server: int) -> list[StoredRecord[ServerRecord]]:
        """All records about one server."""
        return list(self._records.get(server, {}).values())

    def observations(self, server: int) -> Iterator[StoredRecord[Observation]]:
        """The observations about one server."""
        for stored in self._records.get(server, {}).values():
            if isinstance(stored.record, Observation):
                yield cast("StoredRecord[Observation]", stored)

    def accepts_observer(self, server: int, node: int) -> bool:
        """Whether an observation by `node` would be stored, given the ranks of the stored ones."""
        if node in self._records.get(server, {}):
            return True
        last = self._last_observer(server, node)
        return last is None or (observer_rank(server, node), node) < last

    def drain_state(self, server: int, boot: int, rev: int) -> State | None:
        """DRAINING or GONE if a list version above `rev` has that state for the server.

        None otherwise, and for a record of another start of the server (`boot`).
        """
        record = self._drain(server)
        if record is None or record.rev <= rev or record.boot != boot:
            return None
        return State(record.state)

    def _drain(self, server: int) -> DrainRecord | None:
        stored = self._records.get(server, {}).get(LIST_SERVICE)
        return stored.record if stored and isinstance(stored.record, DrainRecord) else None

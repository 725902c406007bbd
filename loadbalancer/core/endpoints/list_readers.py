"""Which nodes are list readers, decided at each node from the readers' records.

Every node computes the same order: by rendezvous hashing over the alive nodes, those whose calls
failed recently last. The first `count` are readers. Where no reader's record has been renewed, the
others step in, in groups of `count`: a wrong view of the members costs an extra call, and never
leaves the fleet without a reader. After failures the calls of all nodes together are paced. Times
are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from zlib import crc32

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.list_versions import NO_VERSION, ListVersion, version_of
from loadbalancer.core.gossip.messages import ReaderRecord, ReaderState, record_checksum
from loadbalancer.core.gossip.records import MERGE_RULES, StoredRecord, join

FAILED_NS = 5 * SECOND  # how long a node whose call failed ranks behind the others
PAUSE_NS = 250 * MS  # of the fleet after a failure; doubled with each node whose call failed
MAX_PAUSE_NS = 4 * SECOND
MAX_PAUSE_DOUBLINGS = 8
FIRST_STEP_NS = 2 * SECOND  # silence of the readers after which the next group steps in, at first
STALE_NS = 12 * SECOND  # the same once the list has been read: six watches of a reader
ABSENT_NS = 60 * SECOND  # how long a node that should read, and was silent, is passed over
DISTRUST_NS = 60 * SECOND  # how long a node that named a version which nobody has is ignored


def reader_rank(node: int) -> int:
    """Rendezvous hash of the one list: the nodes with the lowest ranks read it."""
    return crc32(b"list %d" % node)


class ListReaders:
    """The records of all readers, this node's own included, and the order in which nodes read."""

    def __init__(self, me: int, nodes: int, count: int, now: int) -> None:
        self.me = me
        self.count = count
        self._order = sorted(range(nodes), key=reader_rank)
        self._preceding = self._order[: self._order.index(me)]
        # By node; written when the list service answered.
        self.records: dict[int, StoredRecord[ReaderRecord]] = {}
        self._started_at = now
        self._number = 0
        self._distrusted_until: dict[int, int] = {}
        self._absent_until: dict[int, int] = {}  # nodes that should read and were silent

    # ---- records ---------------------------------------------------------------

    def announce(
        self, now: int, incarnation: int, state: ReaderState, version: ListVersion
    ) -> None:
        """Write this node's own record."""
        self._number += 1
        record = ReaderRecord(self.me, incarnation, self._number, state, *version, 0)
        self.records[self.me] = StoredRecord(record, now)

    def merge(self, now: int, record: ReaderRecord) -> bool:
        """Merge another reader's record; whether it changed what is stored."""
        if record.node == self.me or record.age >= MERGE_RULES[ReaderRecord].ttl_ns:
            return False
        self.records[record.node], changed = join(self.records.get(record.node), now, record)
        if changed:
            self._absent_until.pop(record.node, None)
        return changed

    def get(self, now: int, node: int) -> ReaderRecord | None:
        """A reader's record with its age as of now."""
        stored = self.records.get(node)
        return None if stored is None else stored.with_age(now)

    def all_records(self, now: int) -> list[ReaderRecord]:
        """All records with their ages as of now."""
        return [stored.with_age(now) for stored in self.records.values()]

    def digest(self) -> int:
        """A checksum of all records, independent of their order."""
        total = 0
        for record, _ in self.records.values():
            total ^= record_checksum(record)
        return total

    def expire(self, now: int) -> None:
        """Remove expired records, and the marks of distrusted and absent nodes."""
        ttl_ns = MERGE_RULES[ReaderRecord].ttl_ns
        self.records = {n: r for n, r in self.records.items() if now - r.written_at < ttl_ns}
        self._distrusted_until = {n: t for n, t in self._distrusted_until.items() if now < t}
        self._absent_until = {n: t for n, t in self._absent_until.items() if now < t}

    # ---- who reads ----------------------------------------------------------------

    def is_chosen(self, now: int, is_alive: Callable[[int], bool], is_polling: bool) -> bool:
        """Whether this node is to be a reader now; `is_polling`: it is one already.

        It steps in where the nodes that precede it have been silent, and passes them over.
        """
        failed = {
            node: failed_at
            for node, (record, failed_at) in self.records.items()
            if record.state == ReaderState.FAILED and now - failed_at < FAILED_NS
        }
        if failed and not is_polling:
            doublings = min(len(failed) - 1, MAX_PAUSE_DOUBLINGS)
            if now - max(failed.values()) < min(PAUSE_NS << doublings, MAX_PAUSE_NS):
                return False
        if self.me in failed:
            return self._is_last_resort(failed, is_alive)
        preceding = self.preceding(
            lambda n: n not in failed and n not in self._absent_until and is_alive(n)
        )
        group = len(preceding) // self.count
        if group and self._silence(now) > group * self._step():
            # They are alive and do not read: they run an earlier release, or are cut off from this
            # node. Unless they are passed over, nodes that step in would end each other's turn.
            self._absent_until |= dict.fromkeys(preceding, now + ABSENT_NS)
            return True
        return group == 0

    def preceding(self, counts: Callable[[int], bool]) -> list[int]:
        """The nodes in the order before this one that count."""
        return [node for node in self._preceding if counts(node)]

    def _is_last_resort(self, failed: dict[int, int], is_alive: Callable[[int], bool]) -> bool:
        """Where all calls failed: whether this node is among the `count` that failed first."""
        if any(node not in failed and is_alive(node) for node in self._order):
            return False
        own = failed[self.me]
        earlier = sum(failed_at < own and is_alive(node) for node, failed_at in failed.items())
        return earlier < self.count

    def _silence(self, now: int) -> int:
        """How long ago the last record of another reader was written, ns."""
        signs = [
            written_at
            for node, (record, written_at) in self.records.items()
            if node != self.me and record.state != ReaderState.FAILED
        ]
        return now - max(signs, default=self._started_at)

    def _step(self) -> int:
        """The silence, ns, after which a further group of nodes reads."""
        read = any(record.state == ReaderState.READ for record, _ in self.records.values())
        return STALE_NS if read else FIRST_STEP_NS

    def active_preceding(self, now: int) -> int:
        """How many readers with a recent record precede this node: their pushes come first."""
        own = reader_rank(self.me)
        return sum(
            reader_rank(node) < own
            and record.state == ReaderState.READ
            and now - written_at < STALE_NS
            for node, (record, written_at) in self.records.items()
        )

    # ---- versions ----------------------------------------------------------------

    def latest_version(self) -> ListVersion:
        """The latest version that a trusted reader has."""
        return max((version for version, _ in self._versions()), default=NO_VERSION)

    def nodes_with(self, version: ListVersion) -> list[int]:
        """The trusted readers that have that version."""
        return [node for found, node in self._versions() if found == version]

    def distrust(self, now: int, version: ListVersion) -> None:
        """No node sends this version: ignore the readers that name it for DISTRUST_NS."""
        for node in self.nodes_with(version):
            self._distrusted_until[node] = now + DISTRUST_NS

    def _versions(self) -> list[tuple[ListVersion, int]]:
        return [
            (version_of(record), node)
            for node, (record, _) in self.records.items()
            if record.state == ReaderState.READ and node not in self._distrusted_until
        ]

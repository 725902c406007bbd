"""Decides at each node, from the readers' records, which nodes are list readers.

Every node computes the same order of the alive nodes, by rendezvous hashing; nodes whose calls to
the list service failed recently come last. The first `count` nodes are readers. If no reader has
renewed its record, the next nodes take over, in groups of `count`. So a wrong view of the members
costs an additional call, but never leaves the fleet without a reader. After failures, the calls of
all nodes together are limited by a pause. Times are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from zlib import crc32

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.list_versions import NO_VERSION, ListVersion, version_of
from loadbalancer.core.gossip.messages import ReaderRecord, ReaderState, record_checksum
from loadbalancer.core.gossip.records import MERGE_RULES, StoredRecord, join

FAILED_NS = 5 * SECOND  # how long a node ranks behind the others after a failed call
FAILURE_PAUSE_NS = 250 * MS  # no node begins to poll for this long after a failure
MAX_FAILURE_PAUSE_NS = 4 * SECOND
MAX_PAUSE_DOUBLINGS = 8  # the pause is doubled for each further node with a recent failure
# The next group of nodes takes over once the readers have written no records for
# INITIAL_TAKEOVER_NS while no node has read the list, and for TAKEOVER_NS (six watches of a reader)
# from then on.
INITIAL_TAKEOVER_NS = 2 * SECOND
TAKEOVER_NS = 12 * SECOND
ABSENT_NS = 60 * SECOND  # how long a node that should be a reader, but is silent, is skipped
DISTRUST_NS = 60 * SECOND  # how long a reader that announced a version no node has is ignored


def reader_rank(node: int) -> int:
    """A node's rendezvous hash for the list: the nodes with the lowest hashes are its readers."""
    return crc32(b"list %d" % node)


class ListReaders:
    """The records of all readers, including this node's, and the order of nodes as readers."""

    def __init__(self, me: int, nodes: int, count: int, now: int) -> None:
        self.me = me
        self.count = count
        self._nodes_by_rank = sorted(range(nodes), key=reader_rank)
        self._preceding_nodes = self._nodes_by_rank[: self._nodes_by_rank.index(me)]
        # By node, with the time at which the reader wrote its record.
        self.records: dict[int, StoredRecord[ReaderRecord]] = {}
        self._started_at = now
        self._record_number = 0
        self._distrusted_until: dict[int, int] = {}
        self._absent_until: dict[int, int] = {}  # nodes that should be readers but are silent

    def announce(
        self, now: int, incarnation: int, state: ReaderState, version: ListVersion
    ) -> None:
        """Write this node's own record: the state of its polls and its version of the list."""
        self._record_number += 1
        record = ReaderRecord(self.me, incarnation, self._record_number, state, *version, 0)
        self.records[self.me] = StoredRecord(record, now)

    def merge(self, now: int, record: ReaderRecord) -> bool:
        """Merge another reader's record; returns whether it changed the stored one."""
        if record.node == self.me or record.age >= MERGE_RULES[ReaderRecord].ttl_ns:
            return False
        self.records[record.node], changed = join(self.records.get(record.node), now, record)
        if changed:
            self._absent_until.pop(record.node, None)
        return changed

    def get(self, now: int, node: int) -> ReaderRecord | None:
        """A reader's record with its present age, if it is known."""
        stored = self.records.get(node)
        return None if stored is None else stored.with_age(now)

    def all_records(self, now: int) -> list[ReaderRecord]:
        """All records with their present ages."""
        return [stored.with_age(now) for stored in self.records.values()]

    def digest(self) -> int:
        """A checksum of all records, independent of their order."""
        total = 0
        for record, _ in self.records.values():
            total ^= record_checksum(record)
        return total

    def expire(self, now: int) -> None:
        """Remove expired records, and end expired distrust and absence of nodes."""
        ttl_ns = MERGE_RULES[ReaderRecord].ttl_ns
        self.records = {n: r for n, r in self.records.items() if now - r.written_at < ttl_ns}
        self._distrusted_until = {n: t for n, t in self._distrusted_until.items() if now < t}
        self._absent_until = {n: t for n, t in self._absent_until.items() if now < t}

    def is_chosen(self, now: int, is_alive: Callable[[int], bool], is_polling: bool) -> bool:
        """Whether this node should be a reader now; with `is_polling` it is one already.

        It takes over if the nodes that precede it have been silent for too long, and skips them
        from then on.
        """
        failed = {
            node: failed_at
            for node, (record, failed_at) in self.records.items()
            if record.state == ReaderState.FAILED and now - failed_at < FAILED_NS
        }
        if failed and not is_polling:
            doublings = min(len(failed) - 1, MAX_PAUSE_DOUBLINGS)
            if now - max(failed.values()) < min(
                FAILURE_PAUSE_NS << doublings, MAX_FAILURE_PAUSE_NS
            ):
                return False
        if self.me in failed:
            return self._is_last_resort(failed, is_alive)
        preceding = self.preceding(
            lambda n: n not in failed and n not in self._absent_until and is_alive(n)
        )
        group_number = len(preceding) // self.count
        if group_number and self._silence_ns(now) > group_number * self._takeover_ns():
            # They are alive but do not read: they run an earlier release, or can't reach this
            # node. They are skipped, as otherwise the records of nodes that have taken over would
            # end the silence, and with it each other's turn.
            self._absent_until |= dict.fromkeys(preceding, now + ABSENT_NS)
            return True
        return group_number == 0

    def preceding(self, condition: Callable[[int], bool]) -> list[int]:
        """The nodes that rank before this one and meet the condition."""
        return [node for node in self._preceding_nodes if condition(node)]

    def _is_last_resort(self, failed: dict[int, int], is_alive: Callable[[int], bool]) -> bool:
        """If all nodes' calls failed: whether this node is among the `count` that failed first."""
        if any(node not in failed and is_alive(node) for node in self._nodes_by_rank):
            return False
        own = failed[self.me]
        earlier = sum(failed_at < own and is_alive(node) for node, failed_at in failed.items())
        return earlier < self.count

    def _silence_ns(self, now: int) -> int:
        """How long ago another reader last wrote a record that does not report a failure, ns."""
        written_times = [
            written_at
            for node, (record, written_at) in self.records.items()
            if node != self.me and record.state != ReaderState.FAILED
        ]
        return now - max(written_times, default=self._started_at)

    def _takeover_ns(self) -> int:
        """The silence of the readers, ns, after which a further group of nodes takes over."""
        read = any(record.state == ReaderState.READ for record, _ in self.records.values())
        return TAKEOVER_NS if read else INITIAL_TAKEOVER_NS

    def active_preceding(self, now: int) -> int:
        """How many readers with a recent record rank before this node: their pushes come first."""
        own = reader_rank(self.me)
        return sum(
            reader_rank(node) < own
            and record.state == ReaderState.READ
            and now - written_at < TAKEOVER_NS
            for node, (record, written_at) in self.records.items()
        )

    def latest_version(self) -> ListVersion:
        """The latest version announced by a reader that is not distrusted."""
        return max((version for version, _ in self._announced_versions()), default=NO_VERSION)

    def readers_with(self, version: ListVersion) -> list[int]:
        """The readers that announced this version, without distrusted ones."""
        return [node for found, node in self._announced_versions() if found == version]

    def distrust(self, now: int, version: ListVersion) -> None:
        """Ignore the readers of this version for DISTRUST_NS, as no node sends it."""
        for node in self.readers_with(version):
            self._distrusted_until[node] = now + DISTRUST_NS

    def _announced_versions(self) -> list[tuple[ListVersion, int]]:
        return [
            (version_of(record), node)
            for node, (record, _) in self.records.items()
            if record.state == ReaderState.READ and node not in self._distrusted_until
        ]

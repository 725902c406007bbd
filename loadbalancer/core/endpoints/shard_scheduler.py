"""Schedules which part of a long list a reader requests next, within a limit on lines.

A list service counts the lines that it returns (a line is one server), and all its readers share
a limit of lines per second. The lines of a request must be bounded before it is sent, but a
complete list has more lines than one second allows. So a reader requests shards: the servers whose
key ends in given characters. The key is the server's id, unless another field is configured. There
are two kinds of query. (A reader also has a watch, under a filter that no server passes: it returns
no lines and is not limited here.)

- UNHEALTHY: the servers of a shard that are not passing. In the worst case these are all servers
  of the shard, but usually almost none. Lines that were reserved but not returned are available
  again at once.
- ALL: all servers of a shard, for one shard after another. This finds servers that were added or
  removed. A round is one ALL query for each shard.

A query combines leaves of the trie with up to half as many servers as a second allows lines, so
that each shard may double in size between two rounds. That bounds the lines, if no leaf has more
than twice as many servers as the largest one seen with the same last character. If the limit is
low, the first query for a leaf is preceded by a probe for one of its parts, once for each last
character. `overruns` counts answers with more lines than were reserved or than a second allows;
the next query waits longer after them. If all keys have the same suffix, the list must be sharded
by another field.

No I/O and no clock; times are in nanoseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from loadbalancer.core.endpoints.line_limiter import LineLimiter, Reservation
from loadbalancer.core.endpoints.shard_leaves import is_plain
from loadbalancer.core.endpoints.shard_trie import (
    INITIAL_SIZE,
    MAX_GROWTH,
    MAX_LEAVES,
    ShardTrie,
)

PROBE_BELOW_LINES = 50  # probes are sent if fewer lines per second are allowed
UNKNOWN_JOIN_DIVISOR = 3  # leaves of unknown size are joined up to 1/3 of a shard


class QueryKind(Enum):
    """Which servers of its leaves a query requests."""

    UNHEALTHY = "unhealthy"
    ALL = "all"
    PROBE = "probe"  # all servers of one part of a leaf, to learn how large the leaf may be


@dataclass(frozen=True, slots=True)
class ShardQuery:
    """A request for the servers of some leaves; `max_lines` are reserved for its answer."""

    kind: QueryKind
    leaves: tuple[str, ...]
    max_lines: int


@dataclass(frozen=True, slots=True)
class Delay:
    """How long no query may be sent."""

    ns: int


class ShardScheduler:
    """Chooses the queries of one reader in turn; at most one is unanswered at any time.

    Args:
        limiter: limits the lines; shared with other readers.
        has_checks: whether the service has health checks; without them, UNHEALTHY queries would
            be useless.

    Attributes:
        completed_rounds: rounds of ALL queries that have ended.
        overruns: answers with more lines than were reserved or than a second allows.
    """

    __slots__ = (
        "_all_queue", "_changed_again", "_has_checks", "_limiter", "_probed_characters",
        "_reservation", "_unhealthy_queue",
        "_unhealthy_requested", "completed_rounds", "overruns", "trie",
    )  # fmt: skip

    def __init__(self, limiter: LineLimiter, has_checks: bool = True) -> None:
        self._limiter = limiter
        self._has_checks = has_checks
        self._unhealthy_requested = False  # since the last answer to an ALL query
        self._changed_again = False  # since UNHEALTHY queries were last requested
        self.trie = ShardTrie(max(limiter.lines_per_second // MAX_GROWTH, 1))
        self._probed_characters: set[str] = set()  # last characters of the leaves that were probed
        self._unhealthy_queue: deque[tuple[str, ...]] = deque()
        self._all_queue: deque[tuple[str, ...]] = deque(self.trie.shards())
        self._reservation: Reservation | None = None
        self.completed_rounds = 0
        self.overruns = 0

    def on_change(self) -> None:
        """Some health check has changed: request the unhealthy servers of each shard once.

        After a further change they are requested again, but only after an ALL query: checks that
        change all the time must not keep the reader from finding servers added or removed.
        """
        if self._unhealthy_requested:
            self._changed_again = True
        elif self._has_checks:
            self._unhealthy_requested = True
            self._unhealthy_queue = deque(
                shard for shard in self.trie.shards() if any(map(self.trie.is_known, shard))
            )

    def next_query(self, now: int) -> ShardQuery | Delay:
        """The next query, which the caller sends at once, or how long to wait for it."""
        query = self._next_in_queue()
        delay_ns = self._limiter.delay(now, query.max_lines)
        if delay_ns:
            return Delay(delay_ns)
        if query.kind is not QueryKind.PROBE:
            self._queue_of(query.kind).popleft()
        self._reservation = self._limiter.reserve(now, query.max_lines)
        return query

    def on_answer(self, now: int, query: ShardQuery, keys: Sequence[str]) -> None:
        """Process an answer with these `keys`; an answer to an ALL query sets the leaves' sizes."""
        self.overruns += len(keys) > min(query.max_lines, self._limiter.lines_per_second)
        self._settle(now, len(keys))
        if query.kind is QueryKind.PROBE:
            self._probed_characters.add(query.leaves[0][-1])
            self.trie.record_max_sizes(query.leaves, keys)
        elif query.kind is QueryKind.ALL:
            self.trie.set_sizes(query.leaves, keys)
            self._after_all_answer()

    def on_failure(self, now: int, query: ShardQuery) -> None:
        """Process a failed query: count its lines as returned, and queue it again."""
        self._settle(now, query.max_lines)
        if query.kind is not QueryKind.PROBE:
            self._queue_of(query.kind).appendleft(query.leaves)

    def server_count(self) -> int:
        """The number of servers in all leaves with a known size."""
        return self.trie.server_count()

    def _after_all_answer(self) -> None:
        """Allow UNHEALTHY queries again, and begin the next round if the present one has ended."""
        self._unhealthy_requested = False
        if self._changed_again:
            self._changed_again = False
            self.on_change()
        if not self._all_queue:
            self.completed_rounds += 1
            self.trie.join_small()
            self._all_queue = deque(self.trie.shards())

    def _settle(self, now: int, lines: int) -> None:
        """Settle the reservation of the unanswered query, if any."""
        if self._reservation is not None:
            self._limiter.settle(now, self._reservation, lines)
            self._reservation = None

    def _queue_of(self, kind: QueryKind) -> deque[tuple[str, ...]]:
        return self._all_queue if kind is QueryKind.ALL else self._unhealthy_queue

    def _next_in_queue(self) -> ShardQuery:
        """The query whose turn it is, after splitting leaves that may have grown too large."""
        while True:
            kind = QueryKind.UNHEALTHY if self._unhealthy_queue else QueryKind.ALL
            queue = self._queue_of(kind)
            present_leaves = map(self.trie.present_leaves, queue[0])
            leaves = tuple(leaf for group in present_leaves for leaf in group)
            if len(leaves) == 1 and not self.trie.is_known(leaves[0]):
                leaf = leaves[0]
                if self._needs_probe(leaf):
                    probe_leaves = (leaf[-1] + leaf,)
                    return ShardQuery(QueryKind.PROBE, probe_leaves, MAX_GROWTH * INITIAL_SIZE)
                if self.trie.should_split_unknown(leaf) and self.trie.split_unknown(leaf):
                    continue
            if len(leaves) > 1 and self._exceeds_limit(leaves):
                # The leaf was split after it was queued, so each part is requested by itself.
                queue.popleft()
                queue.extendleft((leaf,) for leaf in reversed(leaves))
                continue
            queue[0] = leaves = self._join_unknown(queue, leaves)
            return ShardQuery(kind, leaves, self.trie.max_lines(leaves))

    def _exceeds_limit(self, leaves: Sequence[str]) -> bool:
        """Whether these leaves may have more servers than a second allows lines."""
        return self.trie.max_lines(leaves) > max(self._limiter.lines_per_second, MAX_GROWTH)

    def _needs_probe(self, leaf: str) -> bool:
        """Whether to send a probe first: the limit is low, and no similar leaf has been seen."""
        if self._limiter.lines_per_second >= PROBE_BELOW_LINES or not is_plain(leaf):
            return False
        return leaf[-1] not in self._probed_characters and not self.trie.has_seen_similar(leaf)

    def _join_unknown(
        self, queue: deque[tuple[str, ...]], leaves: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Join a leaf of unknown size with the next ones, while they are assumed to be small.

        Otherwise the first round would need a query for each of them, although most are empty.
        """
        first = leaves[0]
        if self.trie.is_known(first) or not self.trie.has_seen_similar(first):
            return leaves
        joined = list(leaves)
        total = sum(map(self.trie.assumed_size, joined))
        max_shard_size = self.trie.max_shard_size
        max_joined = max(
            max_shard_size // UNKNOWN_JOIN_DIVISOR, min(max_shard_size, MAX_GROWTH * INITIAL_SIZE)
        )
        while len(queue) > 1 and len(queue[1]) == 1 and len(joined) < MAX_LEAVES:
            leaf = queue[1][0]
            if not self.trie.is_unknown(leaf) or leaf[-1:] != first[-1:]:
                break
            total += self.trie.assumed_size(leaf)
            if total > max_joined:
                break
            joined.append(leaf)
            del queue[1]
        return tuple(joined)

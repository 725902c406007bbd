"""Which part of a long list a reader requests next, within a rate of lines.

A list service counts the lines that it returns, and all its readers share a limit of lines a
second. A request's lines must be bounded before it is sent, and a complete list has more lines
than one second allows. So a reader requests shards: the servers whose key (their id, unless
another field is configured) ends in given characters. There are two kinds of query (beside a
watch under a filter that no server passes, which returns no line and is not limited here):

- UNHEALTHY: the servers of a shard that are not passing. In the worst case all of the shard,
  usually almost none: what was reserved and not returned is available again at once.
- ALL: all servers of a shard, the shards in turn: finds servers that were added or removed.

A round's queries are unions of the trie's leaves of up to half of a second's lines, so that each
may double from one round to the next. The bound rests on that, and on the assumption that of the
leaves with one last character none has more than twice as many servers as the largest one seen.
Where the limit is low, a probe of one character more comes before the first leaf of each last
character. `overruns` counts answers with more lines than were reserved or than a second allows:
the next query waits longer for them. Keys that all end alike need another field to be sharded by.

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

PROBE_BELOW_LINES = 50  # lines a second; below it a probe precedes a first leaf
JOINED_PARTS = 3  # leaves never requested are joined up to one in so many of a shard's servers


class QueryKind(Enum):
    """Which servers of its leaves a query is for."""

    UNHEALTHY = "unhealthy"
    ALL = "all"
    PROBE = "probe"  # a part of a leaf, to learn how large it may be


@dataclass(frozen=True, slots=True)
class ShardQuery:
    """One request for the servers of some leaves; `max_lines` are reserved for its answer."""

    kind: QueryKind
    leaves: tuple[str, ...]
    max_lines: int


@dataclass(frozen=True, slots=True)
class Delay:
    """No query may be sent for so long."""

    ns: int


class ShardScheduler:
    """The queries of one reader, in turn; at most one is unanswered at any time.

    Args:
        limiter: of the lines, shared with other readers.
        has_checks: whether the service has health checks, without which UNHEALTHY queries are
            useless.

    Attributes:
        completed_rounds: rounds of ALL queries that have ended.
        overruns: answers with more lines than were reserved or than a second allows.
    """

    __slots__ = (
        "_all_queue", "_changed_again", "_has_checks", "_limiter", "_probed_ends", "_reservation",
        "_unhealthy_queue", "_unhealthy_requested", "completed_rounds", "overruns", "trie",
    )  # fmt: skip

    def __init__(self, limiter: LineLimiter, has_checks: bool = True) -> None:
        self._limiter = limiter
        self._has_checks = has_checks
        self._unhealthy_requested = False  # since the last ALL answer
        self._changed_again = False  # since then
        self.trie = ShardTrie(max(limiter.lines_per_second // MAX_GROWTH, 1))
        self._probed_ends: set[str] = set()  # last characters that were probed
        self._unhealthy_queue: deque[tuple[str, ...]] = deque()
        self._all_queue: deque[tuple[str, ...]] = deque(self.trie.shards())
        self._reservation: Reservation | None = None
        self.completed_rounds = 0
        self.overruns = 0

    def on_change(self) -> None:
        """Some check has changed: request the unhealthy servers of each shard once.

        After a further change they are requested once more, but only after an ALL query: checks
        that change all the time must not keep a reader from finding servers added or removed.
        """
        if self._unhealthy_requested:
            self._changed_again = True
        elif self._has_checks:
            self._unhealthy_requested = True
            self._unhealthy_queue = deque(
                shard for shard in self.trie.shards() if any(map(self.trie.is_known, shard))
            )

    def next_query(self, now: int) -> ShardQuery | Delay:
        """The next query, which is to be sent at once, or how long to wait for it."""
        query = self._first_in_turn()
        delay_ns = self._limiter.delay(now, query.max_lines)
        if delay_ns:
            return Delay(delay_ns)
        if query.kind is not QueryKind.PROBE:
            self._queue_of(query.kind).popleft()
        self._reservation = self._limiter.reserve(now, query.max_lines)
        return query

    def on_answer(self, now: int, query: ShardQuery, keys: Sequence[str]) -> None:
        """An answer has come, with these keys; one to an ALL query gives the leaves' sizes."""
        self.overruns += len(keys) > min(query.max_lines, self._limiter.lines_per_second)
        self._settle(now, len(keys))
        if query.kind is QueryKind.PROBE:
            self._probed_ends.add(query.leaves[0][-1])
            self.trie.note_sizes(query.leaves, keys)
        elif query.kind is QueryKind.ALL:
            self.trie.set_sizes(query.leaves, keys)
            self._after_all_answer()

    def on_failure(self, now: int, query: ShardQuery) -> None:
        """No usable answer: count the reserved lines as returned, and queue the query again."""
        self._settle(now, query.max_lines)
        if query.kind is not QueryKind.PROBE:
            self._queue_of(query.kind).appendleft(query.leaves)

    def server_count(self) -> int:
        """How many servers are known."""
        return self.trie.server_count()

    def _after_all_answer(self) -> None:
        """UNHEALTHY queries may be sent again; begin the next round where one has ended."""
        self._unhealthy_requested = False
        if self._changed_again:
            self._changed_again = False
            self.on_change()
        if not self._all_queue:
            self.completed_rounds += 1
            self.trie.join_small()
            self._all_queue = deque(self.trie.shards())

    def _settle(self, now: int, lines: int) -> None:
        """Replace the reservation of the unanswered query, if any."""
        if self._reservation is not None:
            self._limiter.settle(now, self._reservation, lines)
            self._reservation = None

    # ---- the next query --------------------------------------------------

    def _queue_of(self, kind: QueryKind) -> deque[tuple[str, ...]]:
        return self._all_queue if kind is QueryKind.ALL else self._unhealthy_queue

    def _first_in_turn(self) -> ShardQuery:
        """The query whose turn it is; leaves that may have grown too large are split first."""
        while True:
            kind = QueryKind.UNHEALTHY if self._unhealthy_queue else QueryKind.ALL
            queue = self._queue_of(kind)
            present = map(self.trie.present_leaves, queue[0])
            leaves = tuple(leaf for found in present for leaf in found)
            if len(leaves) == 1 and not self.trie.is_known(leaves[0]):
                leaf = leaves[0]
                if self._needs_probe(leaf):
                    longer = (leaf[-1] + leaf,)
                    return ShardQuery(QueryKind.PROBE, longer, MAX_GROWTH * INITIAL_SIZE)
                if self.trie.is_worth_splitting(leaf) and self.trie.split_unknown(leaf):
                    continue
            if len(leaves) > 1 and self._exceeds_limit(leaves):
                # A leaf was split after it was queued: each part is requested by itself.
                queue.popleft()
                queue.extendleft((leaf,) for leaf in reversed(leaves))
                continue
            queue[0] = leaves = self._join_unknown(queue, leaves)
            return ShardQuery(kind, leaves, self.trie.max_lines(leaves))

    def _exceeds_limit(self, leaves: Sequence[str]) -> bool:
        """Whether leaves may have more servers than a second's lines."""
        return self.trie.max_lines(leaves) > max(self._limiter.lines_per_second, MAX_GROWTH)

    def _needs_probe(self, leaf: str) -> bool:
        """Whether a probe comes first: no key with this end is known, and the limit is low."""
        if self._limiter.lines_per_second >= PROBE_BELOW_LINES or not is_plain(leaf):
            return False
        return leaf[-1] not in self._probed_ends and not self.trie.has_seen_alike(leaf)

    def _join_unknown(
        self, queue: deque[tuple[str, ...]], leaves: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Join a leaf never requested with the next ones that are assumed to be as small.

        Otherwise a first round would take a query for each of them, most of them empty.
        """
        first = leaves[0]
        if self.trie.is_known(first) or not self.trie.has_seen_alike(first):
            return leaves
        joined = list(leaves)
        total = sum(map(self.trie.assumed_size, joined))
        max_shard_size = self.trie.max_shard_size
        max_joined = max(
            max_shard_size // JOINED_PARTS, min(max_shard_size, MAX_GROWTH * INITIAL_SIZE)
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

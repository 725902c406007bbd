"""A fake list service that counts the lines it returns, and runs of a reader's queries."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.shard_leaves import MAX_LEAF_LENGTH, leaf_of
from loadbalancer.core.endpoints.shard_scheduler import (
    Delay,
    QueryKind,
    ShardQuery,
    ShardScheduler,
)

LATENCY_NS = 5 * MS


class FakeListService:
    """Answers queries with the ids of its servers.

    Attributes:
        ids: of all servers; a change assigns a new list, so that the index is built again.
        unhealthy: ids of the servers that are not passing.
        returned: (time in ns, lines) of each answer.
    """

    def __init__(self, ids: list[str]) -> None:
        self.ids = ids
        self.unhealthy: set[str] = set()
        self.returned: list[tuple[int, int]] = []
        self._indexed: list[str] = []
        self._ids_by_leaf: dict[str, list[str]] = {}

    def answer(self, now: int, query: ShardQuery) -> list[str]:
        """The ids of the servers that a query requests."""
        if self._indexed is not self.ids:
            self._index()
        answered_ids = [uid for leaf in query.leaves for uid in self._ids_by_leaf.get(leaf, ())]
        if query.kind is QueryKind.UNHEALTHY:
            answered_ids = [uid for uid in answered_ids if uid in self.unhealthy]
        self.returned.append((now, len(answered_ids)))
        return answered_ids

    def max_lines(self) -> int:
        """The largest number of lines returned within any period of one second."""
        max_total = total = first_index = 0
        for at, lines in self.returned:
            total += lines
            while self.returned[first_index][0] <= at - SECOND:
                total -= self.returned[first_index][1]
                first_index += 1
            max_total = max(max_total, total)
        return max_total

    def _index(self) -> None:
        self._indexed, self._ids_by_leaf = self.ids, {}
        for uid in self.ids:
            for leaf in {leaf_of(uid, length) for length in range(1, MAX_LEAF_LENGTH + 1)}:
                self._ids_by_leaf.setdefault(leaf, []).append(uid)


def _ignore(*_: object) -> None:
    pass


def run_queries(
    service: FakeListService,
    scheduler: ShardScheduler,
    until: Callable[[int], bool],
    now: int = 0,
    latency_ns: int = LATENCY_NS,
    before_query: Callable[[int], object] = _ignore,
    on_answer: Callable[[int, ShardQuery, list[str]], object] = _ignore,
) -> int:
    """Send a reader's queries until the condition holds; returns the time then.

    Args:
        service: answers the queries.
        scheduler: chooses the queries.
        until: the condition, checked with the time before each query.
        now: the time at the start, ns.
        latency_ns: the time from a query to its answer.
        before_query: called with the time before each query, at least once a second.
        on_answer: called with the time, the query and the ids.
    """
    while not until(now):
        before_query(now)
        query = scheduler.next_query(now)
        if isinstance(query, Delay):
            now += min(query.ns, SECOND)
            continue
        answered_ids = service.answer(now + latency_ns // 2, query)
        now += latency_ns
        scheduler.on_answer(now, query, answered_ids)
        on_answer(now, query, answered_ids)
    return now


def run_rounds(
    service: FakeListService,
    scheduler: ShardScheduler,
    rounds: int,
    now: int = 0,
    latency_ns: int = LATENCY_NS,
) -> int:
    """Send a reader's queries until it has completed `rounds` rounds in total; returns the time."""
    return run_queries(
        service, scheduler, lambda _now: scheduler.completed_rounds >= rounds, now, latency_ns
    )


def each_second(action: Callable[[int], object]) -> Callable[[int], None]:
    """Return a `before_query` that calls `action` once for each second that begins."""
    last_second = -1

    def before_query(now: int) -> None:
        nonlocal last_second
        if now // SECOND > last_second:
            last_second = now // SECOND
            action(last_second)

    return before_query


def numbered_ids(count: int) -> list[str]:
    """Ids that end in a decimal number."""
    return [f"topup-{number}" for number in range(count)]


def hexadecimal_ids(count: int) -> list[str]:
    """Random ids of 128 bits."""
    random = Random(3)
    return [f"{random.getrandbits(128):032x}" for _ in range(count)]

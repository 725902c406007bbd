"""A list service that counts the lines it returns, and a reader's queries run against it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.shard_leaves import MAX_LENGTH, leaf_of
from loadbalancer.core.endpoints.shard_scheduler import (
    Delay,
    QueryKind,
    ShardQuery,
    ShardScheduler,
)

LATENCY_NS = 5 * MS


class FakeListService:
    """Answers queries by its servers' ids.

    Attributes:
        ids: of all servers; replaced as a whole where they change.
        unhealthy: ids of those that are not passing.
        returned: (time in ns, lines) of each answer.
    """

    def __init__(self, ids: list[str]) -> None:
        self.ids = ids
        self.unhealthy: set[str] = set()
        self.returned: list[tuple[int, int]] = []
        self._indexed: list[str] = []
        self._ids_by_leaf: dict[str, list[str]] = {}

    def answer(self, now: int, query: ShardQuery) -> list[str]:
        """The ids of a query's servers."""
        if self._indexed is not self.ids:
            self._index()
        found = [uid for leaf in query.leaves for uid in self._ids_by_leaf.get(leaf, ())]
        if query.kind is QueryKind.UNHEALTHY:
            found = [uid for uid in found if uid in self.unhealthy]
        self.returned.append((now, len(found)))
        return found

    def max_lines(self) -> int:
        """The most lines returned in any period of one second."""
        worst = total = first = 0
        for at, lines in self.returned:
            total += lines
            while self.returned[first][0] <= at - SECOND:
                total -= self.returned[first][1]
                first += 1
            worst = max(worst, total)
        return worst

    def _index(self) -> None:
        self._indexed, self._ids_by_leaf = self.ids, {}
        for uid in self.ids:
            for leaf in {leaf_of(uid, length) for length in range(1, MAX_LENGTH + 1)}:
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
    """Send a reader's queries until the condition holds; returns the time.

    Args:
        service: answers the queries.
        scheduler: of the reader.
        until: gets the time; checked before each query.
        now: when it begins, ns.
        latency_ns: of a query and its answer.
        before_query: called with the time before each query, at least once a second.
        on_answer: called with the time, the query and the ids.
    """
    while not until(now):
        before_query(now)
        query = scheduler.next_query(now)
        if isinstance(query, Delay):
            now += min(query.ns, SECOND)
            continue
        found = service.answer(now + latency_ns // 2, query)
        now += latency_ns
        scheduler.on_answer(now, query, found)
        on_answer(now, query, found)
    return now


def run_rounds(
    service: FakeListService,
    scheduler: ShardScheduler,
    rounds: int,
    now: int = 0,
    latency_ns: int = LATENCY_NS,
) -> int:
    """Send a reader's queries until it has completed so many rounds in all; returns the time."""
    return run_queries(
        service, scheduler, lambda _now: scheduler.completed_rounds >= rounds, now, latency_ns
    )


def each_second(action: Callable[[int], object]) -> Callable[[int], None]:
    """For `before_query`: calls `action` once in every second that begins."""
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

"""Tests that no second returns more lines than the limit, and that every server is found."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.endpoints.line_limiter import LineLimiter
from loadbalancer.core.endpoints.shard_scheduler import (
    Delay,
    QueryKind,
    ShardQuery,
    ShardScheduler,
)
from tests.core.endpoints.fake_list_service import (
    FakeListService,
    each_second,
    hexadecimal_ids,
    numbered_ids,
    run_queries,
    run_rounds,
)

LINES = 190  # limit per second of a list's only reader
FEW_LINES = 9  # limit per second of each of 21 readers


@pytest.fixture
def scheduler() -> ShardScheduler:
    return ShardScheduler(LineLimiter(LINES))


@pytest.mark.parametrize("ids", [numbered_ids, hexadecimal_ids])
@pytest.mark.parametrize("count", [0, 1, 270, 2000, 5000])
def test_no_second_returns_more_lines_than_the_limit(
    scheduler: ShardScheduler, ids: Callable[[int], list[str]], count: int
) -> None:
    service = FakeListService(ids(count))
    run_rounds(service, scheduler, 3)
    assert scheduler.server_count() == count
    assert service.max_lines() <= LINES
    assert scheduler.overruns <= 2


def test_a_low_limit_is_not_exceeded() -> None:
    service = FakeListService(numbered_ids(270))
    scheduler = ShardScheduler(LineLimiter(FEW_LINES))
    now = run_rounds(service, scheduler, 2)
    assert service.max_lines() <= FEW_LINES
    assert scheduler.server_count() == 270
    assert now < 400 * SECOND


def test_leaves_of_a_long_list_are_split_further_under_a_low_limit() -> None:
    """Some leaves of two characters have more servers than a second allows lines."""
    count = 2000
    service = FakeListService(numbered_ids(count))
    scheduler = ShardScheduler(LineLimiter(FEW_LINES))
    now = run_rounds(service, scheduler, 1, latency_ns=MS)
    queries = len(service.returned)
    run_rounds(service, scheduler, 2, now, latency_ns=MS)
    assert scheduler.server_count() == count
    # At most one answer has all servers of a leaf of two characters; the next query waits longer.
    assert service.max_lines() <= FEW_LINES + count // 100
    assert scheduler.overruns <= 2
    first_round_s = now // SECOND
    assert first_round_s < 3 * count // FEW_LINES, (first_round_s, queries)
    # From then on, the queries are as few as fit the limit, and none is an overrun.
    service.returned.clear()
    before = scheduler.overruns
    run_rounds(service, scheduler, 3, 10 * now, latency_ns=MS)
    assert service.max_lines() <= FEW_LINES
    assert scheduler.overruns == before
    assert len(service.returned) < count


def test_leaves_that_have_become_small_are_joined() -> None:
    service = FakeListService(numbered_ids(2000))
    scheduler = ShardScheduler(LineLimiter(19))
    now = run_rounds(service, scheduler, 2, latency_ns=MS)
    leaves = len(scheduler.trie)
    service.ids = numbered_ids(50)
    run_rounds(service, scheduler, 5, now, latency_ns=MS)
    assert scheduler.server_count() == 50
    assert len(scheduler.trie) < leaves // 3


def test_keys_with_a_long_common_suffix_are_requested_together(scheduler: ShardScheduler) -> None:
    """Suffixes can't divide such keys, so each answer is an overrun under a low limit."""
    service = FakeListService([f"host{number}:8080" for number in range(30)])
    run_rounds(service, scheduler, 2)
    assert scheduler.server_count() == 30
    assert service.max_lines() <= LINES
    limited = ShardScheduler(LineLimiter(FEW_LINES))
    run_rounds(service, limited, 2)
    assert limited.server_count() == 30
    assert limited.overruns >= 2


def test_a_list_that_grows_between_rounds_stays_within_the_limit(scheduler: ShardScheduler) -> None:
    service = FakeListService(hexadecimal_ids(300))
    now = run_rounds(service, scheduler, 2)
    service.ids = hexadecimal_ids(560)
    run_rounds(service, scheduler, 4, now)
    assert scheduler.server_count() == 560
    assert service.max_lines() <= LINES


def test_a_health_change_is_found_soon_while_few_servers_are_unhealthy(
    scheduler: ShardScheduler,
) -> None:
    service = FakeListService(numbered_ids(5000))
    began = run_rounds(service, scheduler, 1)
    service.unhealthy = {"topup-7", "topup-4999"}
    scheduler.on_change()
    found: set[str] = set()

    def collect(_now: int, query: ShardQuery, ids: list[str]) -> None:
        if query.kind is QueryKind.UNHEALTHY:
            found.update(ids)

    now = run_queries(
        service, scheduler, lambda _now: found == service.unhealthy, began, on_answer=collect
    )
    assert now - began < 3 * SECOND  # requesting all servers would take 26 s


def test_health_changes_stay_within_the_limit_while_all_servers_are_unhealthy(
    scheduler: ShardScheduler,
) -> None:
    service = FakeListService(numbered_ids(5000))
    began = run_rounds(service, scheduler, 1)
    service.unhealthy = set(service.ids)
    run_queries(
        service, scheduler, lambda now: now > began + 20 * SECOND, began,
        before_query=lambda _now: scheduler.on_change(),
    )  # fmt: skip
    assert service.max_lines() <= LINES


def test_continuous_health_changes_do_not_keep_a_round_from_completing(
    scheduler: ShardScheduler,
) -> None:
    """All servers are unhealthy, and some health check changes every second.

    Requesting the unhealthy servers of all shards takes longer than that. If each change started
    these queries again, added or removed servers would never be found.
    """
    service = FakeListService(numbered_ids(1000))
    began = run_rounds(service, scheduler, 1)
    service.unhealthy = set(service.ids)
    run_queries(
        service, scheduler,
        lambda now: scheduler.completed_rounds >= 2 or now > 600 * SECOND, began,
        before_query=each_second(lambda _second: scheduler.on_change()),
    )  # fmt: skip
    assert scheduler.completed_rounds == 2
    assert service.max_lines() <= LINES


def test_a_failed_query_counts_its_lines_and_is_sent_again() -> None:
    """No answer came, so the service may have counted all lines that were reserved."""
    scheduler = ShardScheduler(LineLimiter(5))
    query = scheduler.next_query(0)
    assert isinstance(query, ShardQuery)
    assert query.max_lines == 4
    scheduler.on_failure(MS, query)
    assert scheduler.next_query(MS) == Delay(SECOND)
    assert scheduler.next_query(MS + SECOND) == query

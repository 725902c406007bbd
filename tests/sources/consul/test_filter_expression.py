"""Queries as Consul's filters, evaluated by the fake's implementation of its grammar."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

import pytest

from fakes.bexpr import compile_filter
from loadbalancer.core.endpoints.line_limiter import LineLimiter
from loadbalancer.core.endpoints.shard_leaves import OTHER, group_by_leaf
from loadbalancer.core.endpoints.shard_scheduler import (
    Delay,
    QueryKind,
    ShardQuery,
    ShardScheduler,
)
from loadbalancer.sources.consul.filter_expression import filter_expression
from tests.core.endpoints.fake_list_service import hexadecimal_ids, numbered_ids

IDS = [*numbered_ids(200), *hexadecimal_ids(50), "odd name!", "x", "Upper-AB", "1é"]


def row(uid: str, *statuses: str) -> dict[str, Any]:
    return {"Service": {"ID": uid}, "Checks": [{"Status": status} for status in statuses]}


def selected(query: ShardQuery, rows: Sequence[dict[str, Any]]) -> list[str]:
    """Ids of the rows that pass a query's filter."""
    passes = compile_filter(filter_expression(query))
    return [found["Service"]["ID"] for found in rows if passes(found)]


def test_the_filters_of_a_round_select_each_server_once() -> None:
    rows = [row(uid, "passing") for uid in IDS]
    scheduler = ShardScheduler(LineLimiter(190))
    seen: Counter[str] = Counter()
    now = 0
    while scheduler.completed_rounds < 1:
        query = scheduler.next_query(now)
        if isinstance(query, Delay):
            now += query.ns
            continue
        found = selected(query, rows)
        groups = group_by_leaf(query.leaves, IDS)
        assert set(found) == {uid for group in groups.values() for uid in group}
        seen.update(found)
        scheduler.on_answer(now, query, found)
    assert seen == Counter(IDS)


@pytest.mark.parametrize(("leaves", "wanted"), [((OTHER, "a1"), []), (("-0", "-1"), ["topup-0"])])
def test_a_filter_of_unhealthy_servers_selects_those_alone(
    leaves: tuple[str, ...], wanted: list[str]
) -> None:
    unhealthy = row("topup-0", "passing", "critical")
    rows = [unhealthy, *(row(uid, "passing") for uid in IDS if uid != "topup-0")]
    assert selected(ShardQuery(QueryKind.UNHEALTHY, leaves, 4), rows) == wanted

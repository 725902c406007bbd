"""Queries for services that clients request and the node does not hold."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.unknown_services import ServiceQuery
from tests.core.subscription.holders import (
    bytes_of_service,
    holding,
)


def test_queries_for_ten_thousand_unknown_names_are_limited() -> None:
    """A client requests 10,000 different names of services in ten seconds."""
    limits = HolderLimits(max_unknown_names=100, queries_per_s=5.0)
    holder = holding("s", limits=limits)
    queries = []
    for number in range(10_000):
        now = number * SECOND // 1000
        if (query := holder.on_unknown_service(now, f"name-{number}")) is not None:
            queries.append((now, query))
        assert len(holder._unknown) <= limits.max_unknown_names
    assert 50 <= len(queries) <= 56
    assert queries[0] == (0, ServiceQuery("name-0"))
    assert (
        max(sum(start <= now < start + SECOND for now, _ in queries) for start, _ in queries) <= 10
    )
    assert holder.retained_bytes == bytes_of_service(holder, "s")
    assert holder.subscribed_services("r") == {"s"}


def test_an_unknown_name_is_queried_once_an_interval() -> None:
    holder = holding("s", limits=HolderLimits(query_interval_ns=10 * SECOND))
    assert holder.on_unknown_service(0, "x") == ServiceQuery("x")
    assert holder.on_unknown_service(SECOND, "x") is None
    assert holder.on_unknown_service(10 * SECOND, "x") == ServiceQuery("x")
    assert holder.on_unknown_service(11 * SECOND, "s") is None  # held
    assert holder.on_unknown_service(11 * SECOND, "") is None
    assert holder.on_unknown_service(11 * SECOND, "x" * 257) is None
    assert holder.on_assignment(12 * SECOND, {"s": "r", "x": "r"}, ()) == ()
    assert holder.on_unknown_service(30 * SECOND, "x") is None  # assigned, not received yet

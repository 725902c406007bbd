"""Tests of the merged list: which reports are about one server, and which source decides."""

from __future__ import annotations

import pytest

from loadbalancer.core import State
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.departure_limits import MergeLimits
from loadbalancer.core.endpoints.merged_list import MergedList
from loadbalancer.core.endpoints.server_report import Health, ServerReport, Source
from tests.core.endpoints.reported_pool import (
    CONSUL,
    LIST,
    attempts_find,
    pool,
    pool_list,
    ready,
    report,
    server,
)


def list_reports() -> list[ServerReport]:
    """Reports of servers 1 to 4 under the platform's ids."""
    return [report(number, uid=f"uid-{number}") for number in range(1, 5)]


@pytest.fixture
def merged_from_two_sources() -> MergedList:
    """Servers 1 to 4, reported by the platform's list and by Consul."""
    merged = MergedList([CONSUL, LIST])
    merged.update(0, "list", list_reports(), complete=True)
    merged.update(0, "consul", pool(4), complete=True)
    return merged


def test_a_new_id_at_the_same_address_replaces_the_old_one_and_starts_cold() -> None:
    merged = pool_list(10)
    reports = [*pool(9), report(10, uid="s-new")]
    merged.update(5 * SECOND, "consul", reports, complete=True)
    new = server(merged, "s-new")
    assert (new.state, new.boot) == (State.READY, 5 * SECOND)
    assert "s-10" not in ready(merged)
    merged.update(6 * SECOND, "consul", reports, complete=True)
    assert server(merged, "s-new").boot == 5 * SECOND


def test_the_same_id_at_a_new_address_starts_cold_and_frees_the_old_address() -> None:
    merged = pool_list(10)
    moved = report(10, port=9999)
    merged.update(5 * SECOND, "consul", [*pool(9), moved], complete=True)
    listed = server(merged, "s-10")
    assert (listed.port, listed.boot, listed.state) == (9999, 5 * SECOND, State.READY)
    # Its old address may be used by another server.
    merged.update(6 * SECOND, "consul", [*pool(9), moved, report(11, port=9010)], complete=True)
    other = server(merged, "s-11")
    assert (other.state, other.boot) == (State.READY, 0)


def test_a_server_that_moves_to_anothers_address_frees_its_old_one() -> None:
    """Merging raised KeyError while a freed address still referred to a removed id.

    Server 1 moves to the address of server 2, which is in maintenance, and both are deregistered.
    Then another server listens at the old address of server 1. The error stopped the source's
    reader.
    """
    merged = pool_list(3, limits=MergeLimits(max_drained_fraction=1.0))
    in_maintenance = report(2, Health.MAINTENANCE)
    merged.update(SECOND, "consul", [report(1), in_maintenance, report(3)], complete=True)
    moved = report(1, port=9002)
    merged.update(2 * SECOND, "consul", [moved, in_maintenance, report(3)], complete=True)
    assert ready(merged) == {"s-1", "s-3"}
    merged.update(3 * SECOND, "consul", [report(3)], complete=True)
    merged.reassess(10 * SECOND)
    assert {found.uid for found in merged.servers()} == {"s-3"}
    merged.update(11 * SECOND, "consul", [report(3), report(4, port=9001)], complete=True)
    assert ready(merged) == {"s-3", "s-4"}


def test_of_two_ids_of_one_source_at_one_address_only_the_first_is_listed() -> None:
    merged = pool_list(3)
    reports = [*pool(3), report(9, port=9001)]
    merged.update(SECOND, "consul", reports, complete=True)
    assert len(ready(merged)) == 3
    assert server(merged, "s-9").reason == "the same address as s-1"
    # The first id is deregistered, so the second one is listed.
    merged.update(2 * SECOND, "consul", reports[1:], complete=True)
    assert ready(merged) == {"s-2", "s-3", "s-9"}


def test_a_server_found_dead_starts_cold_when_it_returns() -> None:
    dead = {"s-1"}
    merged = pool_list(10, attempts_find(dead))
    merged.update(SECOND, "consul", pool(10, 1), complete=True)
    assert server(merged, "s-1").state == State.DRAINING
    dead.clear()
    merged.update(9 * SECOND, "consul", pool(10), complete=True)
    back = server(merged, "s-1")
    assert (back.state, back.boot) == (State.READY, 9 * SECOND)


def test_reports_of_two_sources_with_one_address_are_of_one_server(
    merged_from_two_sources: MergedList,
) -> None:
    assert ready(merged_from_two_sources) == {f"uid-{number}" for number in range(1, 5)}
    sources = {found.source for found in server(merged_from_two_sources, "uid-1").reports}
    assert sources == {"consul", "list"}


def test_the_source_of_higher_rank_decides_while_its_report_is_fresh(
    merged_from_two_sources: MergedList,
) -> None:
    """Consul reports a server as critical and then nothing more; the list keeps reporting it."""
    merged_from_two_sources.update(SECOND, "consul", pool(4, 2), complete=True)
    assert server(merged_from_two_sources, "uid-2").state == State.DRAINING
    merged_from_two_sources.update(8 * SECOND, "list", list_reports(), complete=True)
    assert server(merged_from_two_sources, "uid-2").state == State.DRAINING
    merged_from_two_sources.update(20 * SECOND, "list", list_reports(), complete=True)
    assert server(merged_from_two_sources, "uid-2").state == State.READY


def test_an_authoritative_source_drains_at_once_whatever_others_report() -> None:
    merged = MergedList([CONSUL, Source("platform", 0, is_authoritative=True)])
    merged.update(0, "platform", pool(10), complete=True)
    merged.update(0, "consul", pool(10), complete=True)
    drain_orders = pool(10, *range(1, 9), health=Health.MAINTENANCE)
    merged.update(SECOND, "platform", drain_orders, complete=False)
    assert ready(merged) == {"s-9", "s-10"}
    assert server(merged, "s-1").reason == "maintenance, as ordered"


def test_the_list_is_complete_once_all_sources_of_one_rank_are() -> None:
    merged = MergedList([CONSUL, Source("platform", 0, is_authoritative=True)])
    assert not merged.is_complete()
    merged.update(0, "platform", pool(10), complete=True)
    assert merged.is_complete()

"""A zone or cell that a list does not tell stays unknown on its way to the Balancer.

Each step read what was missing as zone or cell 0, so that all servers seemed to be in one group.
"""

from __future__ import annotations

import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.config.node import Config, load
from loadbalancer.control.consul_relay import discovery_row
from loadbalancer.core import Balancer, Effect, Listing, RequestClass, Settings, State, Update
from loadbalancer.core.balancing.model import UNKNOWN
from loadbalancer.core.endpoints.merged_server import MergedServer, StoredReport
from loadbalancer.core.endpoints.server_report import ServerReport, Source
from loadbalancer.sources.endpoint_list import EndpointList
from loadbalancer.upgrade import handed_state
from tests.harness import config, roster, target
from tests.recording_host import Host

SOURCES = {"a": Source("a", 0), "b": Source("b", 1)}


@pytest.fixture
def node_config(tmp_path: Path) -> Config:
    return load(config(tmp_path, roster(), 1))


def decoded(node_config: Config, **fields: Any) -> Listing:
    """One row of an endpoint list, decoded; a field that is `...` is left out."""
    row = target("s-1", 80) | fields
    row = {key: value for key, value in row.items() if value is not ...}
    (listing,) = EndpointList(node_config).decode(roster(row)).listings
    return listing


@pytest.mark.parametrize(
    ("pod_group", "cell"),
    [(3, 3), (0, 0), (None, UNKNOWN), (..., UNKNOWN), (-1, UNKNOWN), ("", UNKNOWN)],
)
def test_a_row_without_a_cell_is_in_an_unknown_one(
    node_config: Config, pod_group: Any, cell: int
) -> None:
    listing = decoded(node_config, pod_group=pod_group)
    assert listing.repeat_cell == cell
    assert listing.cell == max(cell, 0)


@pytest.mark.parametrize(
    ("az", "zone"), [("east", 0), ("west", 1), ("north", UNKNOWN), (None, UNKNOWN), (..., UNKNOWN)]
)
def test_a_zone_that_the_settings_do_not_have_is_an_unknown_one(
    node_config: Config, az: Any, zone: int
) -> None:
    listing = decoded(node_config, az=az)
    assert listing.repeat_zone == zone
    assert listing.zone == max(zone, 0)


@pytest.mark.parametrize("is_known", [False, True])
def test_an_upgrade_hands_over_what_is_unknown(is_known: bool) -> None:
    row = Listing(7, State.READY, zone_is_known=is_known, cell_is_known=is_known)
    balancer = Balancer(Settings(classes=(RequestClass("keyed", 1, 2, Effect.TOKEN),)), 1, Host())
    balancer.start(0)
    balancer.on_members(0, Update.FULL, [row])
    endpoint_list = SimpleNamespace(endpoints={7: ("127.0.0.1", 80)}, rev=1, boot_ms=lambda _: 0)
    node = SimpleNamespace(
        balancer=balancer,
        discovery=SimpleNamespace(endpoint_list=endpoint_list, handed_sources=lambda: None),
    )
    exported = handed_state.export(cast(Any, node), standby=False)
    (member,) = handed_state.parse(exported, time.monotonic_ns()).members
    assert member.listing == row


@pytest.mark.parametrize(
    ("cells", "merged"),
    [
        ((UNKNOWN, UNKNOWN), UNKNOWN),
        ((UNKNOWN, 0), 0),
        ((4, UNKNOWN), 4),
        ((4, 4), 4),
        ((4, 0), UNKNOWN),  # the sources disagree
    ],
)
def test_a_merged_server_and_its_row_at_the_relay(cells: tuple[int, int], merged: int) -> None:
    reports = {
        name: StoredReport(ServerReport("s-1", "127.0.0.1", 80, "east", cell=cell), 0, 0)
        for name, cell in zip(SOURCES, cells, strict=True)
    }
    listed = MergedServer("s-1", reports, State.READY).listed(SOURCES)
    assert listed.cell == merged
    assert discovery_row(listed, 0)["pod_group"] == (None if merged == UNKNOWN else merged)

"""Rows of Consul's answers as reports."""

from __future__ import annotations

import json
from typing import Any

import pytest

from loadbalancer.core.balancing.model import UNKNOWN
from loadbalancer.core.endpoints.server_report import Health
from loadbalancer.sources.consul.rows import HEALTH_FORMAT, RowError, RowFormat, decode_rows

WITH_CELLS = RowFormat(cell_meta="cell")


def row(**fields: Any) -> dict[str, Any]:
    """A row of a passing server; fields of `Service` are merged, others replaced."""
    service = {"ID": "a", "Address": "127.0.0.1", "Port": 80} | fields.pop("Service", {})
    return {
        "Node": {"Node": "n", "Address": "127.0.0.2"},
        "Service": service,
        "Checks": [{"CheckID": "c", "Status": "passing"}],
    } | fields


@pytest.mark.parametrize(
    "unusable",
    [
        {}, 5, None, row(Service={"Port": 0}), row(Service={"Port": "80"}),
        row(Service={"Port": True}), row(Checks=[{"CheckID": "c", "Status": "odd"}]),
        row(Checks=[5]), row(Node=None), row(Service={"Weights": {"Passing": -1}}),
        row(Service={"Weights": 5}), row(Service={"Address": 7}),
        row(Service={"Meta": {"cell": "a"}}), row(Service={"Meta": {"cell": "-1"}}),
        row(Service={"Meta": {"cell": "65536"}}),
    ],
)  # fmt: skip
def test_one_unusable_row_makes_the_answer_unusable(unusable: Any) -> None:
    with pytest.raises(RowError, match="row 1"):
        decode_rows(json.dumps([row(), unusable]).encode(), "east", WITH_CELLS)


@pytest.mark.parametrize(
    ("row_format", "meta", "cell"),
    [
        (WITH_CELLS, {"cell": "7"}, 7),
        (WITH_CELLS, {"cell": "0"}, 0),
        (WITH_CELLS, {}, UNKNOWN),
        (WITH_CELLS, None, UNKNOWN),
        (HEALTH_FORMAT, {"cell": "7"}, UNKNOWN),
    ],
)
def test_a_servers_cell_is_known_only_from_the_key_that_the_file_names(
    row_format: RowFormat, meta: Any, cell: int
) -> None:
    """Servers without a cell were in cell 0, and so in one cell with all others."""
    body = json.dumps([row(Service={"Meta": meta})]).encode()
    ((report, _key),) = decode_rows(body, "east", row_format)
    assert report.cell == cell


@pytest.mark.parametrize(
    ("decoded", "health", "weight"),
    [
        (
            row(
                Checks=[
                    {"CheckID": "a", "Status": "warning"}, {"CheckID": "b", "Status": "passing"},
                ],
                Service={"Weights": {"Passing": 10, "Warning": 2}},
            ),
            Health.WARNING, 2.0,
        ),
        (
            row(Checks=[{"CheckID": "_node_maintenance", "Status": "critical"}]),
            Health.MAINTENANCE, 1.0,
        ),
        (row(Checks=None), Health.PASSING, 1.0),
    ],
)  # fmt: skip
def test_the_worst_check_decides_the_health_and_its_weight(
    decoded: dict[str, Any], health: Health, weight: float
) -> None:
    ((report, _key),) = decode_rows(json.dumps([decoded]).encode(), "east")
    assert (report.health, report.weight) == (health, weight)

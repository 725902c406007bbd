"""Filter expressions as Consul's documentation shows them."""

from __future__ import annotations

from typing import Any

import pytest

from fakes.bexpr import FilterError, compile_filter


def row(uid: str, tags: list[str], meta: dict[str, str], status: str) -> dict[str, Any]:
    return {
        "Service": {"ID": uid, "Tags": tags, "Meta": meta},
        "Checks": [{"Status": "passing"}, {"Status": status}],
    }


ROWS = [
    row("t-1", [], {}, "passing"),
    row("t-2", ["v2"], {}, "critical"),
    row("t-3", [], {"shard": "1"}, "passing"),
    row("t-4", [], {"a.b": "x"}, "passing"),
]


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ('Service.ID == "t-1"', {"t-1"}),
        ('Service.ID == "t-1" or Service.ID == "t-3"', {"t-1", "t-3"}),
        ('not (Service.ID == "t-1") and Service.ID != "t-2"', {"t-3", "t-4"}),
        ('Checks.Status != "passing"', {"t-2"}),  # of a list: any
        ('"v2" in Service.Tags', {"t-2"}),
        ('"v2" not in Service.Tags', {"t-1", "t-3", "t-4"}),
        ('Service.Tags contains "v2"', {"t-2"}),
        ('Service.Tags not contains "v2"', {"t-1", "t-3", "t-4"}),
        ('Service.ID matches "t-[34]$"', {"t-3", "t-4"}),
        ('Service.ID not matches "t-[34]$"', {"t-1", "t-2"}),
        ('Service.Meta["a.b"] == "x"', {"t-4"}),
        ("Service.Tags is empty", {"t-1", "t-3", "t-4"}),
        ("Service.Tags is not empty", {"t-2"}),
        ('"shard" in Service.Meta', {"t-3"}),
    ],
)
def test_filters_as_documented(text: str, found: set[str]) -> None:
    test = compile_filter(text)
    assert {r["Service"]["ID"] for r in ROWS if test(r)} == found


@pytest.mark.parametrize(
    "text",
    [
        "",
        "Service.ID ==",
        "(a == b",
        'a ~ "b"',
        'a == "b" extra',
        "'",
        'a not == "b"',
        '"a" == "b"',
        "a is b",
        "a like b",
    ],
)
def test_an_expression_that_can_not_be_read_is_refused(text: str) -> None:
    with pytest.raises(FilterError):
        compile_filter(text)

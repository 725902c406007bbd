"""Control machines' recorded bytes: written again byte for byte, and read as what they meant.

Each record has a `way`: "both", "read" (an older form, or what only others write), "write" (what
only others read) or "refuse". Records are only added, never recorded anew.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from . import bindings_control as bindings

DATA = Path(__file__).parent / "data" / "control"


def _loaded(pattern: str) -> list[tuple[str, Any]]:
    return [(path.stem, json.loads(path.read_text())) for path in sorted(DATA.glob(pattern))]


def _records(*ways: str) -> list[Any]:
    return [
        pytest.param(record, id=f"{stem}-{record['name'].replace(' ', '-')}")
        for stem, records in _loaded("records-*.json")
        for record in records
        if record["way"] in ways
    ]


PLANS = [pytest.param(raw, id=stem) for stem, raw in _loaded("xds-*.json")]
RESOURCES = [
    pytest.param(one, id=f"{stem}-{one['type']}-{one['name']}")
    for stem, raw in _loaded("xds-*.json")
    for one in raw["resources"]
]


def _bytes(record: Any) -> bytes:
    if "hex" in record:
        return bytes.fromhex(record["hex"])
    text: str = record["text"]
    return text.encode()


@pytest.mark.parametrize("record", _records("both", "write"))
def test_the_recorded_bytes_are_written_again(record: Any) -> None:
    assert bindings.encode(record["kind"], record["plain"]) == _bytes(record)


@pytest.mark.parametrize("record", _records("both", "read"))
def test_the_recorded_bytes_are_read_as_what_they_meant(record: Any) -> None:
    found = bindings.decode(record["kind"], _bytes(record))
    assert found == record["plain"]
    assert json.dumps(found, sort_keys=True) == json.dumps(record["plain"], sort_keys=True)


@pytest.mark.parametrize("record", _records("refuse"))
def test_what_was_refused_is_refused(record: Any) -> None:
    with pytest.raises(bindings.REFUSED):
        bindings.decode(record["kind"], _bytes(record))


def test_every_kind_of_message_is_recorded() -> None:
    seen = {record.values[0]["kind"] for record in _records("both")}
    assert set(bindings.MESSAGES) <= seen
    every = {record.values[0]["kind"] for record in _records("both", "read", "write")}
    assert {*bindings.MESSAGES, *bindings.WRITERS, *bindings.READERS} == every


@pytest.mark.parametrize("raw", PLANS)
def test_a_plans_resources_are_serialised_again(raw: Any) -> None:
    told = [{key: one[key] for key in one if key != "message"} for one in raw["resources"]]
    assert bindings.resources(raw["plan"]) == told


@pytest.mark.parametrize("one", RESOURCES)
def test_a_serialised_resource_says_what_it_said(one: Any) -> None:
    assert bindings.resource_message(bytes.fromhex(one["hex"])) == one["message"]

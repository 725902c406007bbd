"""Tests of encoding and decoding updates in the list format."""

from __future__ import annotations

import json

import pytest

from loadbalancer.control.machine.list_format import ListFormatError, NodeAssignment, decode, encode
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import (
    Change,
    Delta,
    Position,
    Snapshot,
    Update,
)
from tests.control_machines import row

AT, LATER = Position(3, 7), Position(3, 9)
UPDATES: list[Update] = [
    Delta("east", AT, LATER, ()),
    Delta(
        "east",
        AT,
        LATER,
        (
            Change(Position(3, 8), "cart", (row("a"), row("b", "leaving")), ("c",)),
            Change(LATER, "pay", deleted=True, complete=True),
            Change(LATER, "new", (row("d"),), complete=True),
        ),
    ),
    Snapshot("east", LATER, {"cart": {"a": row("a")}, "empty": {}}),
]


@pytest.mark.parametrize("update", UPDATES)
def test_an_update_decodes_to_what_was_encoded(update: Update) -> None:
    assignment = NodeAssignment({"cart": "east", "far": "west"}, frozenset({"old"}), 4)
    body = encode(update, assignment)
    raw = json.loads(body)
    assert raw["rev"] == version_of(LATER)
    assert raw["all"] is isinstance(update, Snapshot)
    assert {one["uid"] for one in raw["targets"]} <= {"a", "b", "c", "d"}
    found = decode(body, 10)
    assert (found.update, found.assignment, found.position) == (update, assignment, LATER)
    assert decode(encode(update, None), 10).assignment is None


@pytest.mark.parametrize(
    "raw",
    [
        b"{", b"[]", b"{}", b'{"rev": -1}', b'{"rev": "1"}', b'{"rev": 1e99}',
        b'{"rev": 1, "all": false, "targets": [], "changes": [["s", 1, 1, 0, false, false]]}',
        b'{"rev": 1, "all": false, "targets": [{}], "region": "e", "from": 0, "changes": []}',
        b'{"rev": 1, "all": true, "targets": [{}], "region": "e",'
        b' "changes": [["s", 1, 1, 0, false, true]]}',
        b'{"rev": 1, "wanted": {"e": ["a", "b", "c"]}, "releasable": [], "generation": 1}',
        b'{"rev": 1, "wanted": {"e": [1]}, "releasable": [], "generation": 1}',
    ],
)  # fmt: skip
def test_invalid_responses_are_refused(raw: bytes) -> None:
    with pytest.raises(ListFormatError):
        decode(raw, 2)

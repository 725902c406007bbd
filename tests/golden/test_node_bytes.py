"""A node's bytes as recorded: gossip, what processes hand on, replies, and calls to list services.

A case has the bytes ("text" or "hex") and the plain value they stand for. Both ways are checked
where the code has both. "read_only" marks bytes that are read and never written so: older and
later forms, and bytes that are refused. "heard" is what is taken from bytes that say more than
their hearer takes. Recorded cases are only added to, never recorded anew.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from . import bindings_node

FOLDER = Path(__file__).parent / "data" / "node"
CASES: list[dict[str, Any]] = [
    case | {"file": path.stem}
    for path in sorted(FOLDER.glob("*.json"))
    for case in json.loads(path.read_text())["cases"]
]
WRITTEN = [c for c in CASES if bindings_node.writes(c["kind"]) and "read_only" not in c]
READ = [c for c in CASES if bindings_node.reads(c["kind"])]


def recorded(case: dict[str, Any]) -> bytes:
    """The bytes of a case."""
    return bytes.fromhex(case["hex"]) if "hex" in case else case["text"].encode()


def named(case: dict[str, Any]) -> str:
    """What a case is called in pytest's words."""
    return f"{case['file']}: {case['kind']}: {case['name']}"


def test_every_recorded_case_is_checked() -> None:
    assert len({case["file"] for case in CASES}) == 6 and len(CASES) >= 123
    assert len({named(case) for case in CASES}) == len(CASES)
    assert len(WRITTEN) >= 73 and len(READ) >= 84
    assert all(case in WRITTEN or case in READ for case in CASES)


@pytest.mark.parametrize("case", WRITTEN, ids=named)
def test_what_is_written_is_what_was_recorded(case: dict[str, Any]) -> None:
    assert bindings_node.encode(case["kind"], case["plain"]) == recorded(case)


@pytest.mark.parametrize("case", READ, ids=named)
def test_what_was_recorded_is_read_as_it_was(case: dict[str, Any]) -> None:
    read = bindings_node.decode(case["kind"], recorded(case))
    assert read == case.get("heard", case["plain"])

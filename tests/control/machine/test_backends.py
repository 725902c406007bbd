"""Tests of the file of backends from which a lost log is reloaded."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loadbalancer.control.machine.backends import read_backends
from loadbalancer.core.assignment.model import (
    InvalidInputError,
)


def test_an_invalid_file_is_refused_with_the_line(tmp_path: Path) -> None:
    path = tmp_path / "backends.jsonl"
    good = {"service": "cart", "targets": [{"uid": "a", "state": "leaving"}]}
    path.write_text(json.dumps(good) + "\n" + json.dumps({"service": "far", "targets": []}) + "\n")
    found = read_backends(path, ["cart", "pay"])
    assert [one.uid for one in found["cart"]] == ["a"]
    assert found["cart"][0].draining
    assert found["pay"] == ()
    assert "far" not in found
    path.write_text(json.dumps(good) + "\n" + '{"service": "pay", "targets": [{}]}\n')
    with pytest.raises(InvalidInputError, match=r"^backends.jsonl:2: \[bad-row\]"):
        read_backends(path, ["cart", "pay"])
    with pytest.raises(InvalidInputError, match=r"\[unreadable\]"):
        read_backends(tmp_path / "none", ["cart"])

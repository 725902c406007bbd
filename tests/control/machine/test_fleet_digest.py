"""Tests of the digest by which control machines recognise machines of the same fleet."""

from __future__ import annotations

from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.control.machine.file import read_scale_file
from loadbalancer.control.machine.fleet_digest import RULES_FIELDS, fleet_digest
from loadbalancer.core.assignment.model import NodeSpec
from loadbalancer.core.assignment.rules import AssignmentRules
from tests.control_machines import write_file

FIRST_RELEASE = "21c043480c54713e88a472eae9b0c715"  # digest of the file that `write_file` writes


def test_the_digest_is_the_same_as_in_earlier_releases(tmp_path: Path) -> None:
    """Machines are upgraded one by one. If a release changed the digest of the same file, upgraded
    machines would refuse the streams of the others, and a region could lose its majority.
    """
    assert fleet_digest(read_scale_file(str(write_file(tmp_path)))) == FIRST_RELEASE


def test_every_field_of_the_assignment_rules_is_digested() -> None:
    assert set(RULES_FIELDS.values()) == {field.name for field in fields(AssignmentRules)}


@pytest.mark.parametrize(
    "difference",
    [
        {"seed": 1},
        {"regions": {"east": ("east-1",), "west": ("west-1",)}},
        {"nodes": (NodeSpec("n1", "east", "east-1", 8),)},
        {"services": ()},
        {"machines": ()},
        {"rules": AssignmentRules(min_per_zone=3)},
        {"rules": AssignmentRules(max_sharers=13)},
        {"rules": AssignmentRules(node_rate=401.0)},
    ],
)
def test_different_files_have_different_digests(tmp_path: Path, difference: dict[str, Any]) -> None:
    file = read_scale_file(str(write_file(tmp_path)))
    assert fleet_digest(replace(file, **difference)) != fleet_digest(file)

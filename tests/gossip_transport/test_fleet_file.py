"""The fleet file: faults with their lines, keys and deprecated keys."""

from __future__ import annotations

import logging
from io import StringIO
from pathlib import Path

import pytest

from loadbalancer.cli.commands import main as run_command
from loadbalancer.gossip_transport.fleet_file import FleetError, read_fleet
from loadbalancer.gossip_transport.settings import FleetFile
from tests.harness import ROOT


def test_faults_of_the_fleet_file_are_reported_with_their_lines(tmp_path: Path) -> None:
    shown = StringIO()
    path = tmp_path / "fleet.toml"
    path.write_text('version = 1\ntier = ""\ndatagram = 64\nword = 3\nseats = "x"\n')
    assert run_command(["check", str(path)], shown) == 2
    out = shown.getvalue()
    for line, rule in ((2, "missing-key"), (3, "bad-value"), (4, "unknown-key"), (5, "bad-value")):
        assert f"{path}:{line}: [{rule}]" in out
    assert run_command(["check", str(ROOT / "deploy" / "fleet.toml")], shown) == 0


def test_the_keys_of_the_file_are_mapped_to_fields(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(
        'version = 1\ntier = "east"\ndatagram = 512\nwords = 30\nseats = 9\nreaders = 2\n'
    )
    expected = FleetFile(name="east", datagram=512, messages=30, slots=9, readers=2)
    assert read_fleet(str(path)) == expected


def test_deprecated_keys_are_read_with_one_warning(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A fleet is upgraded node by node, and its file with the last node. If a new version refused
    the deprecated keys, it could not start before.
    """
    path = tmp_path / "fleet.toml"
    path.write_text("version = 1\nwords = 30\nseats = 9\n")
    with caplog.at_level(logging.WARNING, "loadbalancer"):
        found = read_fleet(str(path))
    assert (found.messages, found.slots) == (30, 9)
    assert [record.getMessage() for record in caplog.records] == [
        f"{path}:2: [old-key] words is an old key; write messages; "
        "3: [old-key] seats is an old key; write slots"
    ]
    out = StringIO()
    assert run_command(["check", str(path)], out) == 0
    assert f"warning: {path}:3: [old-key] seats" in out.getvalue()


def test_new_keys_are_read_without_a_warning(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("version = 1\nmessages = 30\nslots = 9\n")
    found = read_fleet(str(path))
    assert (found.messages, found.slots) == (30, 9)
    assert not caplog.records


def test_a_key_under_both_names_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("version = 1\nslots = 9\nseats = 8\n")
    with pytest.raises(FleetError, match="3: \\[twice\\] seats is the old key of slots"):
        read_fleet(str(path))

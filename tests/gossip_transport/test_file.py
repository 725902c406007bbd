"""The fleet file: its faults, each with its line, and its words mapped to terms."""

from __future__ import annotations

from io import StringIO
from pathlib import Path

from loadbalancer.cli.commands import main as run_command
from loadbalancer.gossip_transport.file import read_fleet
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


def test_the_words_of_the_file_are_mapped_to_the_fields(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(
        'version = 1\ntier = "east"\ndatagram = 512\nwords = 30\nseats = 9\nreaders = 2\n'
    )
    expected = FleetFile(name="east", datagram=512, messages=30, slots=9, readers=2)
    assert read_fleet(str(path)) == expected

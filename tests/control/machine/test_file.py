"""Tests of the control machines' file: each fault is one line with its position and rule."""

from __future__ import annotations

from pathlib import Path

import pytest

from loadbalancer.cli.commands import main as run_command
from loadbalancer.control.machine.file import ScaleFileError, read_scale_file
from tests.harness import ROOT

GOOD = (ROOT / "deploy" / "scale.toml").read_text()


def faults(tmp_path: Path, text: str, **files: str) -> list[str]:
    for name, content in files.items():
        (tmp_path / f"{name}.jsonl").write_text(content)
    path = tmp_path / "scale.toml"
    path.write_text(text)
    with pytest.raises(ScaleFileError) as caught:
        read_scale_file(str(path))
    return [line.removeprefix(f"{path}:") for line in str(caught.value).splitlines()]


def test_the_example_file_is_valid() -> None:
    found = read_scale_file(str(ROOT / "deploy" / "scale.toml"))
    assert [machine.spec.name for machine in found.machines] == ["east-a", "east-b", "east-c"]
    assert found.bound_listeners[0].service == "checkout"
    assert run_command(["check", str(ROOT / "deploy" / "scale.toml")]) == 0


@pytest.mark.parametrize(
    ("old", "new", "rule", "message"),
    [
        ('region = "east"\nzone = "east-1"\nsub', 'region = "eats"\nzone = "east-1"\nsub',
         "unknown-region", "no region 'eats'; did you mean 'east'?"),
        ('zone = "east-2"\nsub', 'zone = "est-2"\nsub',
         "unknown-zone", "no zone 'est-2'; did you mean 'east-2'?"),
        ('name = "east-b"', 'name = "east-a"', "twice", "there is already a machine 'east-a'"),
        ('name = "n2"', 'name = "n1"', "twice", "there is already a node 'n1'"),
        ('machine = "east-a"', 'machine = "east-x"',
         "unknown-machine", "no machine 'east-x'; did you mean"),
        ('service = "checkout"', 'service = "chekout"',
         "unknown-service", "did you mean 'checkout'?"),
        ("capacity = 8 ", "capacity = 0 ", "bad-value", "capacity is 0"),
        ("rate = 100.0", "rate = nan", "bad-value", "rate is nan"),
        ("backends = 20", "backends = 1000000", "bad-value", "backends is 1000000"),
        ("seed = 1", "seed = -1", "bad-value", "seed is -1"),
        ("change_bytes = 1048576", "change_bytes = 5", "bad-value", "change_bytes is 5"),
        ('["east-1", "east-2"]\nrate', '["east-1", "west-2"]\nrate',
         "unknown-zone", "no zone 'west-2'; did you mean 'east-2'?"),
        ("127.0.0.1:18402", "0.0.0.0:18402",
         "wide-listener", "0.0.0.0:18402 is not a loopback address"),
        ("127.0.0.1:18402", "127.0.0.1:18401",
         "twice", "127.0.0.1:18401 is used by another listener"),
        ("127.0.0.1:18402", "here", "bad-value", "'here' is no host:port"),
        ("backlog = ", "backlogs = ", "unknown-key", "did you mean 'backlog'?"),
        ("version = 1", "version = 2", "version", "not 1"),
        ("node_rate = 400.0", "node_rate = 0", "bad-value", "node_rate is 0"),
        ("least_per_zone = 2", "least_per_zone = 65", "bad-value", "least_per_zone is 65"),
        ('east = ["east-1", "east-2"]', 'east = ["east-1", "east-1"]',
         "twice", "zone 'east-1' is listed more than once"),
    ],
)  # fmt: skip
def test_an_invalid_value_is_reported_with_line_and_rule(
    tmp_path: Path, old: str, new: str, rule: str, message: str
) -> None:
    assert GOOD.count(old) >= 1
    replaced_line = GOOD[: GOOD.index(old)].count("\n") + 1
    found = faults(tmp_path, GOOD.replace(old, new, 1))
    first = found[0]
    assert f"[{rule}]" in first
    assert message in first
    line = int(first.partition(":")[0])
    assert replaced_line <= line <= replaced_line + 1


def test_json_lines_are_read_and_their_faults_name_their_lines(tmp_path: Path) -> None:
    with_nodes_file = GOOD.replace("# nodes_file", "nodes_file")
    good = '{"name": "n3", "region": "east", "zone": "east-1", "capacity": 4}\n'
    (tmp_path / "nodes.jsonl").write_text(good)
    (tmp_path / "scale.toml").write_text(with_nodes_file)
    assert [node.name for node in read_scale_file(str(tmp_path / "scale.toml")).nodes] == [
        "n1", "n2", "n3",
    ]  # fmt: skip
    bad = good + good + '{"name": "n4", "region": "east", "zone": "west-1"}\n[1]\n'
    found = faults(tmp_path, with_nodes_file, nodes=bad)
    assert [line.partition("; ")[0].partition(": ")[2] for line in found] == [
        "[syntax] nodes.jsonl:4: not a JSON object",
        "[twice] nodes.jsonl:2: there is already a node 'n3'",
        "[unknown-zone] nodes.jsonl:3: no zone 'west-1'",
    ]


def test_a_missing_json_lines_file_is_reported(tmp_path: Path) -> None:
    (found,) = faults(tmp_path, GOOD.replace("# services_file", "services_file"))
    assert "[unreadable] services.jsonl can't be read: No such file" in found


def test_an_unknown_machine_name_is_refused() -> None:
    with pytest.raises(ScaleFileError, match=r"^--machine: \[unknown-machine\] no 'est-b'; "):
        read_scale_file(str(ROOT / "deploy" / "scale.toml")).machine("est-b")

"""Tests for the sub-commands: help, required arguments, and errors for invalid input."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from loadbalancer.cli.commands import COMMANDS, main, usage
from tests.harness import ROOT


@pytest.mark.parametrize("name", [command.name for command in COMMANDS])
def test_each_sub_command_prints_its_help(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main([name, "--help"])
    assert ended.value.code == 0
    assert f"usage: python -m loadbalancer {name}" in capsys.readouterr().out


@pytest.mark.parametrize("name", ["check", "control", "members", "peers", "scale"])
def test_a_sub_command_without_its_argument_ends_with_status_2(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        main([name])
    assert ended.value.code == 2
    assert "the following arguments are required" in capsys.readouterr().err


def test_an_unknown_sub_command_ends_with_status_2(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["chekc"]) == 2
    assert usage() in capsys.readouterr().err


def test_help_names_every_sub_command_on_standard_output() -> None:
    out = io.StringIO()
    assert main(["--help"], out) == 0
    assert all(f"{command.name} {command.usage}".rstrip() in out.getvalue() for command in COMMANDS)


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["check", "--config", "none.json", "none.toml"], "check: none.json holds no settings"),
        (["peers", "127.0.0.1"], "peers: '127.0.0.1' is no host:port"),
        (["peers", "127.0.0.1:1"], "peers: 127.0.0.1:1 can't be queried"),
    ],
)
def test_invalid_input_prints_one_line_and_ends_with_status_2(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == 2
    error = capsys.readouterr().err
    assert error.startswith(message)
    assert error.count("\n") == 1


# ---- as a process ------------------------------------------------------------


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the program with these arguments until it exits."""
    command = [sys.executable, "-m", "loadbalancer", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)


def test_the_demo_applies_no_effect_twice() -> None:
    done = run("demo", "--requests", "60")
    assert done.returncode == 0, done.stderr
    assert "without an answer" in done.stdout
    rows = {line.split()[0]: line.split()[1:] for line in done.stdout.splitlines() if line.strip()}
    assert int(rows["balance"][0]) + int(rows["credit"][0]) == 60
    assert sum(int(rows[f"s-{i}"][-1]) for i in range(1, 6)) == 0


def test_the_program_lists_its_sub_commands_for_an_unknown_one() -> None:
    done = run("chekc")
    assert done.returncode == 2
    assert "check FILE" in done.stderr

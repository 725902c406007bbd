"""`loadbalancer members`: the merged list and the checks, as an operator reads them."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from fakes.processes import Process
from tests.harness import ROOT
from tests.sources.consul.support import service_row, set_faults, write_file

TIMEOUT_S = 60

Members = Callable[..., subprocess.CompletedProcess[str]]


@pytest.fixture
def members(tmp_path: Path, agent: Process) -> Members:
    """Runs the sub-command with these arguments after the file."""
    path = write_file(tmp_path, agent.address)

    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = (sys.executable, "-m", "loadbalancer", "members", str(path), *arguments)
        return subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
        )

    return run


def test_the_merged_list_is_printed_with_reasons(agent: Process, members: Members) -> None:
    rows = [
        service_row(1), service_row(2, Status="critical"),
        service_row(3, Address="", NodeAddress="127.0.0.9"),
        service_row(4, ID="odd/ name é!"), service_row(5, Address="::1"),
        service_row(6, Service="other"), service_row(7, Port=9001),
    ]  # fmt: skip
    agent.call("PUT", "/standin/services", rows)
    done = members()
    assert done.returncode == 0, done.stderr
    lines = {line.split(" 127")[0].split(" ::")[0]: line for line in done.stdout.splitlines()}
    assert len(lines) == 6
    assert "ready (passing): consul:dc1 passing for" in lines["node-t-1/t-1"]
    assert "gone (never in: critical)" in lines["node-t-2/t-2"]
    assert "127.0.0.9:9003 ready" in lines["node-t-3/t-3"]
    assert "ready" in lines["node-odd/ name é!/odd/ name é!"]
    assert "::1:9005 ready" in lines["node-t-5/t-5"]
    assert "the same address as node-t-1/t-1" in lines["node-t-7/t-7"]


def test_a_platform_list_that_is_not_read_is_named_and_not_left_out_for_nodes(
    tmp_path: Path, agent: Process, members: Members
) -> None:
    """The relay served nodes servers that drained in the platform's list, without a word."""
    agent.call("PUT", "/standin/services", [service_row(1)])
    write_file(tmp_path, agent.address, more="platform = true\n")
    shown = members()
    assert shown.returncode == 0
    assert "drains of the platform's list are not shown" in shown.stderr
    served = members("--serve", "127.0.0.1:0")
    assert served.returncode == 2
    assert "consul.toml: platform = true" in served.stderr


def test_similar_names_are_printed_where_the_service_is_unknown(
    agent: Process, members: Members
) -> None:
    agent.call("PUT", "/standin/services", [service_row(1, Service="top-up")])
    done = members()
    assert done.returncode == 1
    assert "no server of 'topup' is listed; the catalogue has top-up" in done.stderr


def test_the_readers_log_is_printed_line_by_line(agent: Process, members: Members) -> None:
    set_faults(agent, status=500)
    done = members("--seconds", "2")
    assert done.returncode == 1
    assert done.stderr.splitlines() == [
        f"consul:dc1: agent {agent.address}: status 500; the list stands",
        "members: no whole list within 2 s",
    ]


@pytest.mark.parametrize(("uid", "status", "lines"), [("node-t-1/t-1", 0, 1), ("t-9", 1, 0)])
def test_one_servers_checks_are_printed(
    agent: Process, members: Members, uid: str, status: int, lines: int
) -> None:
    rows = [service_row(1, Status="critical"), service_row(2)]
    agent.call("PUT", "/standin/services", rows)
    done = members("--why", uid)
    assert (done.returncode, len(done.stdout.splitlines())) == (status, lines), done.stderr
    assert "t-2" not in done.stdout
    assert ("critical" in done.stdout) == bool(lines)

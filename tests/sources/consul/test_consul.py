"""Servers from Consul: the reader, its file and the control service, before the stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from fakes.files import write_control
from fakes.fleet import Process, started
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.merged_list import Health
from loadbalancer.core.xds.snapshot import ResourceType
from loadbalancer.sources.consul.file import ConsulError, read_consul, read_token
from loadbalancer.sources.consul.merge import open_reader
from loadbalancer.sources.consul.reader import ROUND_S
from loadbalancer.sources.consul.rows import RowError, words
from loadbalancer.sources.consul.source import ConsulMembers
from tests.control.xds.support import EnvoyStream, raw_stream, wait_for_log
from tests.harness import ROOT, SETTINGS, roster, target

FILE = """\
version = 1
agents = ["{agent}"]
service = "topup"
datacentres = {{ dc1 = "east" }}
fresh = "5s"
"""


def service(i: int, **more: Any) -> dict[str, Any]:
    row = {"ID": f"t-{i}", "Service": "topup", "Address": "127.0.0.1", "Port": 9000 + i}
    return row | more


def listed(agent: Process, *numbers: int) -> None:
    agent.call("PUT", "/standin/services", [service(i) for i in numbers])


def fault(agent: Process, **faults: Any) -> None:
    agent.call("POST", "/standin/faults", faults)


@pytest.fixture
def agent() -> Iterator[Process]:
    with started(("-m", "fakes.consul")) as process:
        yield process


@contextlib.contextmanager
def control(tmp_path: Path, *agents: str, **known: Any) -> Iterator[Process]:
    """A control service that lives on Consul, with nothing known unless told."""
    text = FILE.format(agent='", "'.join(agents))
    (tmp_path / "consul.toml").write_text(text)
    path = write_control(tmp_path, SETTINGS, known or roster(), more='consul = "consul.toml"\n')
    with started(("-m", "loadbalancer", "control", str(path))) as process:
        yield process


@contextlib.contextmanager
def proxy(process: Process) -> Iterator[EnvoyStream]:
    with raw_stream(process, False) as stream:
        out = EnvoyStream(stream)
        out.subscribe(ResourceType.CLUSTER)
        out.subscribe(ResourceType.ENDPOINTS, "topup")
        while "topup" not in out.assignments:
            out.receive()
        yield out


def follow(p: EnvoyStream, *numbers: int) -> None:
    """Until just these take new work; none but these and the drained are ever told."""
    draining = 3
    while True:
        rows = p.assignments["topup"].items()
        if {port for port, e in rows if e.health_status != draining} == {9000 + i for i in numbers}:
            return
        p.receive()


def test_proxies_follow_consuls_checks_maintenance_and_deregistration(
    tmp_path: Path, agent: Process
) -> None:
    listed(agent, *range(1, 11))
    with control(tmp_path, agent.address) as process, proxy(process) as p:
        follow(p, *range(1, 11))
        agent.call("POST", "/standin/status", {"t-3": "critical"})
        follow(p, 1, 2, *range(4, 11))
        agent.call("POST", "/standin/status", {"t-3": "passing"})
        agent.call("PUT", "/v1/agent/service/maintenance/t-4?enable=true")
        follow(p, 1, 2, 3, *range(5, 11))
    lines = agent.call("GET", "/standin/lines")["seconds"]
    assert max(lines.values()) <= 190


@pytest.mark.parametrize(
    "faults",
    [
        {"status": 500}, {"status": 429}, {"reset": True}, {"leaderless": True},
        {"contact_ms": 60_000},
        {"contact_ms": "9" * 5000}, {"cut": 10}, {"body": "[{"}, {"body": '{"a": 1}'},
        {"body": '[{"Node": 5}]'}, {"token": "other"}, {"empty": True},
        {"endless": True}, {"rate": 1},
    ],
)  # fmt: skip
def test_no_fault_of_an_agent_takes_a_server_away(
    tmp_path: Path, agent: Process, faults: dict[str, Any]
) -> None:
    """While it lasts nothing changes; once it is over the next change is followed."""
    listed(agent, 1, 2, 3)
    with control(tmp_path, agent.address) as process, proxy(process) as p:
        follow(p, 1, 2, 3)
        fault(agent, **faults)
        agent.call("POST", "/standin/status", {"t-1": "warning"})  # its readers wake to it
        if not faults.get("empty"):
            wait_for_log(process, "the list stands")
        fault(agent)
        listed(agent, 1, 2, 3, 4)
        while len(p.assignments["topup"]) < 4:
            assert set(p.assignments["topup"]) == {9001, 9002, 9003}
            p.receive()


def test_the_next_agent_is_asked_when_one_is_gone(tmp_path: Path, agent: Process) -> None:
    with started(("-m", "fakes.consul")) as other:
        for each in (agent, other):
            listed(each, 1, 2)
        with control(tmp_path, agent.address, other.address) as process, proxy(process) as p:
            follow(p, 1, 2)
            agent.popen.kill()
            wait_for_log(process, "the list stands")
            listed(other, 1, 2, 3)
            follow(p, 1, 2, 3)


def test_an_agent_restored_from_an_old_backup_is_followed(tmp_path: Path, agent: Process) -> None:
    listed(agent, 1, 2, 3)
    with control(tmp_path, agent.address) as process, proxy(process) as p:
        follow(p, 1, 2, 3)
        fault(agent, rewind=True)
        listed(agent, 1, 2, 3, 4)
        follow(p, 1, 2, 3, 4)


def test_without_an_agent_the_last_known_list_is_handed_out(tmp_path: Path) -> None:
    known = roster(target("s-1", 9001))
    with control(tmp_path, "127.0.0.1:1", **known) as process, proxy(process) as p:
        assert p.ports("topup") == {9001}
        wait_for_log(process, "the list stands")


def members(tmp_path: Path, agent: Process, *words: str) -> subprocess.CompletedProcess[str]:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent=agent.address))
    command = (sys.executable, "-m", "loadbalancer", "members", str(path), *words)
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)


def test_the_merged_list_is_printed_with_reasons(tmp_path: Path, agent: Process) -> None:
    rows = [
        service(1), service(2, Status="critical"),
        service(3, Address="", NodeAddress="127.0.0.9"),
        service(4, ID="odd/ name é!"), service(5, Address="::1"),
        service(6, Service="other"), service(7, Port=9001),
    ]  # fmt: skip
    agent.call("PUT", "/standin/services", rows)
    done = members(tmp_path, agent)
    assert done.returncode == 0, done.stderr
    found = {line.split(" 127")[0].split(" ::")[0]: line for line in done.stdout.splitlines()}
    assert len(found) == 6
    assert "ready (passing): consul:dc1 passing for" in found["node-t-1/t-1"]
    assert "gone (never in: critical)" in found["node-t-2/t-2"]
    assert "127.0.0.9:9003 ready" in found["node-t-3/t-3"]
    assert "ready" in found["node-odd/ name é!/odd/ name é!"]
    assert "::1:9005 ready" in found["node-t-5/t-5"]
    assert "the same address as node-t-1/t-1" in found["node-t-7/t-7"]


def test_a_service_under_another_name_is_pointed_out(tmp_path: Path, agent: Process) -> None:
    agent.call("PUT", "/standin/services", [service(1, Service="top-up")])
    done = members(tmp_path, agent)
    assert done.returncode == 1
    assert "no server of 'topup' is listed; the catalogue has top-up" in done.stderr


def test_one_servers_checks_are_printed(tmp_path: Path, agent: Process) -> None:
    agent.call("PUT", "/standin/services", [service(1, Status="critical"), service(2)])
    for uid, status, lines in (("node-t-1/t-1", 0, 1), ("t-9", 1, 0)):
        done = members(tmp_path, agent, "--why", uid)
        assert (done.returncode, len(done.stdout.splitlines())) == (status, lines), done.stderr
        assert "t-2" not in done.stdout and ("critical" in done.stdout) == bool(lines)


# ---- rows and the file ---------------------------------------------------


def row(**more: Any) -> dict[str, Any]:
    return {
        "Node": {"Node": "n", "Address": "127.0.0.2"},
        "Service": {"ID": "a", "Address": "127.0.0.1", "Port": 80} | more.pop("Service", {}),
        "Checks": [{"CheckID": "c", "Status": "passing"}],
    } | more


@pytest.mark.parametrize(
    "bad",
    [
        {}, 5, None, row(Service={"Port": 0}), row(Service={"Port": "80"}),
        row(Service={"Port": True}), row(Checks=[{"CheckID": "c", "Status": "odd"}]),
        row(Checks=[5]), row(Node=None), row(Service={"Weights": {"Passing": -1}}),
        row(Service={"Weights": 5}), row(Service={"Address": 7}),
    ],
)  # fmt: skip
def test_one_bad_row_makes_the_answer_unusable(bad: Any) -> None:
    with pytest.raises(RowError, match="row 1"):
        words(json.dumps([row(), bad]).encode(), "east")


def test_the_worst_check_counts_and_weights_are_consuls() -> None:
    rows = [
        row(Checks=[{"CheckID": "a", "Status": "warning"}, {"CheckID": "b", "Status": "passing"}],
            Service={"Weights": {"Passing": 10, "Warning": 2}}),
        row(Checks=[{"CheckID": "_node_maintenance", "Status": "critical"}]),
        row(Checks=None),
    ]  # fmt: skip
    found = words(json.dumps(rows).encode(), "east")
    assert [(w.health, w.weight) for w in found] == [
        (Health.WARNING, 2.0), (Health.MAINTENANCE, 1.0), (Health.PASSING, 1.0),
    ]  # fmt: skip


def test_a_token_that_others_may_read_is_refused_and_never_told(tmp_path: Path) -> None:
    path = tmp_path / "token"
    path.write_text("s3cret\n")
    path.chmod(0o644)
    with pytest.raises(ConsulError, match="chmod 600") as caught:
        read_token(path)
    assert "s3cret" not in str(caught.value)
    path.chmod(0o600)
    assert read_token(path) == "s3cret"
    path.write_text("two\r\nHeader: x")
    with pytest.raises(ConsulError, match="no token") as caught:
        read_token(path)
    assert "Header" not in str(caught.value)


@pytest.mark.parametrize(
    ("old", "new", "line", "rule"),
    [
        ("version = 1", "version = 2", 1, "version"),
        ('agents = ["127.0.0.1:8500"]', "agents = []", 2, "missing-key"),
        ('agents = ["127.0.0.1:8500"]', 'agents = ["here"]', 2, "bad-value"),
        ('service = "topup"', "service = 5", 3, "missing-key"),
        ('{ dc1 = "east" }', "5", 4, "bad-value"),
        ('fresh = "5s"', 'fresh = "soon"', 5, "bad-value"),
        ('fresh = "5s"', "readers = 500", 5, "thin-share"),
        ('fresh = "5s"', "lines = 0", 5, "bad-value"),
        ('fresh = "5s"', "odd = 1", 5, "unknown-key"),
    ],
)
def test_a_fault_in_the_file_is_named(
    tmp_path: Path, old: str, new: str, line: int, rule: str
) -> None:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent="127.0.0.1:8500").replace(old, new))
    with pytest.raises(ConsulError) as caught:
        read_consul(str(path))
    assert f"{path}:{line}: [{rule}]" in str(caught.value)


def test_a_share_is_its_part_of_the_ceiling_less_a_margin(tmp_path: Path) -> None:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent="127.0.0.1:8500") + "readers = 21\n")
    assert read_consul(str(path)).share == 9


def test_a_watch_and_a_question_that_lose_one_agent_go_on_to_the_next(tmp_path: Path) -> None:
    """Of two agents: counted twice they would come back to the one that is gone."""
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent='127.0.0.1:1", "127.0.0.1:2'))

    async def play() -> None:
        reader = open_reader(read_consul(str(path)), lambda *_: None, lambda _: None, 1)
        (center,) = reader.centers
        for _ in range(2):
            center.failed("gone", 0, lambda: None)
        assert center.agent == 1
        center.failed("gone", 1, lambda: None)
        assert center.agent == 2
        reader.close()

    asyncio.run(play())


def test_a_list_that_is_read_in_rounds_is_not_called_old_between_them() -> None:
    assert ConsulMembers.stale_after_ns > 2 * ROUND_S * SECOND

"""The control service with Consul as its source: what proxies are served."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from fakes.files import write_control
from fakes.processes import Process, running_process
from loadbalancer.core.xds.snapshot import ResourceType
from tests.control.xds.support import EnvoyStream, raw_stream, wait_for_log
from tests.harness import SETTINGS, roster, target
from tests.sources.consul.support import set_faults, set_services, set_status, write_file

DRAINING = 3  # EDS: HealthStatus


@contextlib.contextmanager
def control_service(tmp_path: Path, *agents: str, **known: Any) -> Iterator[Process]:
    """A control service that reads from these agents; its list is empty where none is known."""
    write_file(tmp_path, *agents)
    path = write_control(tmp_path, SETTINGS, known or roster(), more='consul = "consul.toml"\n')
    with running_process(("-m", "loadbalancer", "control", str(path))) as process:
        yield process


@contextlib.contextmanager
def proxy(process: Process) -> Iterator[EnvoyStream]:
    """A proxy's stream, once it has been served the endpoints."""
    with raw_stream(process, False) as raw:
        stream = EnvoyStream(raw)
        stream.subscribe(ResourceType.CLUSTER)
        stream.subscribe(ResourceType.ENDPOINTS, "topup")
        while "topup" not in stream.assignments:
            stream.receive()
        yield stream


def wait_for_active(stream: EnvoyStream, *numbers: int) -> None:
    """Receive until just these servers are served as other than draining."""
    wanted = {9000 + number for number in numbers}
    while True:
        endpoints = stream.assignments["topup"].items()
        if {port for port, found in endpoints if found.health_status != DRAINING} == wanted:
            return
        stream.receive()


def test_proxies_follow_consuls_checks_and_maintenance(tmp_path: Path, agent: Process) -> None:
    set_services(agent, *range(1, 11))
    with control_service(tmp_path, agent.address) as process, proxy(process) as stream:
        wait_for_active(stream, *range(1, 11))
        set_status(agent, "t-3", status="critical")
        wait_for_active(stream, 1, 2, *range(4, 11))
        set_status(agent, "t-3", status="passing")
        agent.call("PUT", "/v1/agent/service/maintenance/t-4?enable=true")
        wait_for_active(stream, 1, 2, 3, *range(5, 11))
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
def test_no_fault_of_an_agent_removes_a_server(
    tmp_path: Path, agent: Process, faults: dict[str, Any]
) -> None:
    """An agent fails, or answers with what can't be used. All servers are up.

    While that lasts, proxies go on with the list they have. Once it is over, the next change of
    the list reaches them.
    """
    set_services(agent, 1, 2, 3)
    with control_service(tmp_path, agent.address) as process, proxy(process) as stream:
        wait_for_active(stream, 1, 2, 3)
        set_faults(agent, **faults)
        set_status(agent, "t-1", status="warning")  # ends the watches
        if not faults.get("empty"):
            wait_for_log(process, "the list stands")
        set_faults(agent)
        set_services(agent, 1, 2, 3, 4)
        while len(stream.assignments["topup"]) < 4:
            assert set(stream.assignments["topup"]) == {9001, 9002, 9003}
            stream.receive()


def test_the_next_agent_is_tried_when_one_is_gone(
    tmp_path: Path, agent: Process, second_agent: Process
) -> None:
    for each in (agent, second_agent):
        set_services(each, 1, 2)
    addresses = agent.address, second_agent.address
    with control_service(tmp_path, *addresses) as process, proxy(process) as stream:
        wait_for_active(stream, 1, 2)
        agent.child.kill()
        wait_for_log(process, "the list stands")
        set_services(second_agent, 1, 2, 3)
        wait_for_active(stream, 1, 2, 3)


def test_an_agent_restored_from_an_old_backup_is_followed(tmp_path: Path, agent: Process) -> None:
    """The agent's index goes back: a reader that waited for a later one would see no change."""
    set_services(agent, 1, 2, 3)
    with control_service(tmp_path, agent.address) as process, proxy(process) as stream:
        wait_for_active(stream, 1, 2, 3)
        set_faults(agent, rewind=True)
        set_services(agent, 1, 2, 3, 4)
        wait_for_active(stream, 1, 2, 3, 4)


def test_without_an_agent_the_last_known_list_is_served(tmp_path: Path) -> None:
    known = roster(target("s-1", 9001))
    with control_service(tmp_path, "127.0.0.1:1", **known) as process, proxy(process) as stream:
        assert stream.ports("topup") == {9001}
        wait_for_log(process, "the list stands")


def test_the_platforms_list_beside_consul_moves_at_a_reload(tmp_path: Path, agent: Process) -> None:
    """A new configuration moved discovery; drains told at its new address were not heard."""
    set_services(agent, 1, 2)
    rows = [target(f"p-{number}", 9000 + number) for number in (1, 2)]
    with (
        running_process(("-m", "fakes.discovery")) as first,
        running_process(("-m", "fakes.discovery")) as second,
    ):
        first.call("POST", "/standin/targets", rows)
        second.call("POST", "/standin/targets", [rows[0] | {"state": "leaving"}, rows[1]])
        write_file(tmp_path, agent.address, more="platform = true\n")
        more, known = 'consul = "consul.toml"\n', roster(*rows)
        path = write_control(tmp_path, SETTINGS, known, discovery=first.address, more=more)
        with (
            running_process(("-m", "loadbalancer", "control", str(path))) as process,
            proxy(process) as stream,
        ):
            wait_for_active(stream, 1, 2)
            write_control(tmp_path, SETTINGS, known, discovery=second.address, more=more)
            process.child.send_signal(signal.SIGHUP)
            wait_for_log(process, "reload: applied")
            wait_for_active(stream, 2)

"""`loadbalancer members --serve`: the merged list, served to nodes as their discovery."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections.abc import Iterator
from http.client import HTTPConnection
from pathlib import Path

import pytest

from fakes.processes import Process, running_backends, running_process
from tests.harness import LIMIT, Peer, node, request, roster, until
from tests.sources.consul.support import service_row, set_faults, set_services, write_file

LIST_PATH = "/registry/instances"


@contextlib.contextmanager
def relay_of(tmp_path: Path, agent: Process) -> Iterator[Process]:
    """A relay of the agent's list."""
    path = write_file(tmp_path, agent.address)
    with running_process(
        ("-m", "loadbalancer", "members", str(path), "--serve", "127.0.0.1:0")
    ) as relay:
        yield relay


@pytest.fixture
def relay(tmp_path: Path, agent: Process) -> Iterator[Process]:
    """A relay that has a complete list of one server."""
    set_services(agent, 1)
    with relay_of(tmp_path, agent) as process:
        wait_until_ready(process)
        yield process


def get(relay: Process, path: str) -> tuple[int, bytes]:
    """One GET request to a relay: its status and body."""
    with contextlib.closing(HTTPConnection(relay.address, timeout=LIMIT)) as connection:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()


def wait_until_ready(relay: Process) -> None:
    until(lambda: get(relay, "/health/ready")[0] == 200)


def test_a_watcher_is_answered_with_what_has_changed(tmp_path: Path, agent: Process) -> None:
    set_services(agent, 1, 2)
    with relay_of(tmp_path, agent) as relay:
        wait_until_ready(relay)
        complete = json.loads(get(relay, LIST_PATH)[1])
        assert complete["all"]
        assert len(complete["targets"]) == 2
        path = f"{LIST_PATH}?from={complete['rev']}&hold_ms=60000"
        answers: list[bytes] = []
        watch = threading.Thread(target=lambda: answers.append(get(relay, path)[1]))
        watch.start()
        agent.call("PUT", "/v1/agent/service/maintenance/t-1?enable=true")
        watch.join(LIMIT)
        delta = json.loads(answers[0])
        assert not delta["all"]
        assert delta["rev"] > complete["rev"]
        states = [(row["uid"], row["state"]) for row in delta["targets"]]
        assert states == [("node-t-1/t-1", "leaving")]


def test_a_node_uses_a_relay_as_its_discovery(tmp_path: Path, agent: Process) -> None:
    with running_backends(2, 1.0) as servers:
        ports = [int(server.address.rpartition(":")[2]) for server in servers]
        rows = [service_row(number, Port=port) for number, port in enumerate(ports, 1)]
        agent.call("PUT", "/standin/services", rows)
        with relay_of(tmp_path, agent) as relay:
            wait_until_ready(relay)
            discovery = int(relay.address.rpartition(":")[2])
            with node(tmp_path, roster(), discovery) as running:

                def is_served() -> bool:
                    peer = running.connect()
                    peer.send(request(rid=f"f{time.monotonic_ns():x}"))
                    return int(peer.message()[0].split()[1]) == 200

                until(is_served)


def test_no_list_is_served_before_a_complete_round(tmp_path: Path, agent: Process) -> None:
    """A list that is read in part would take servers from the nodes' pools."""
    set_faults(agent, status=500)
    with relay_of(tmp_path, agent) as relay:
        assert get(relay, LIST_PATH)[0] == 503


@pytest.mark.parametrize(
    ("path", "status"),
    [(f"{LIST_PATH}?from=x", 400), (f"{LIST_PATH}?hold_ms=-1", 400), ("/odd", 404)],
)
def test_a_malformed_request_is_rejected(relay: Process, path: str, status: int) -> None:
    assert get(relay, path)[0] == status


@pytest.mark.parametrize("authority", ["[::1", "[x]"])
def test_a_target_that_can_t_be_split_is_a_bad_request(relay: Process, authority: str) -> None:
    """A caller sends a target in absolute form whose host is no IPv6 address.

    Splitting it raised, the caller's connection ended without a response, and the log showed a
    fault of this program.
    """
    host, _, port = relay.address.rpartition(":")
    with contextlib.closing(socket.create_connection((host, int(port)), LIMIT)) as connection:
        target = f"http://{authority}{LIST_PATH}".encode()
        connection.sendall(b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % target)
        assert connection.recv(4096).startswith(b"HTTP/1.1 400")
    assert get(relay, LIST_PATH)[0] == 200


def test_a_second_request_before_the_response_ends_the_connection(relay: Process) -> None:
    """A watcher sends one request at a time: its answer could not be told from the first's."""
    rev = json.loads(get(relay, LIST_PATH)[1])["rev"]
    host, _, port = relay.address.rpartition(":")
    peer = Peer(socket.create_connection((host, int(port)), LIMIT))
    watch = f"GET {LIST_PATH}?from={rev}&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n"
    peer.send(watch.encode() * 2)
    assert peer.ends().startswith(b"HTTP/1.1 400")

"""A real node that takes its servers from Consul, directly or from who passes the list on."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator, Set
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import pytest

from fakes.fleet import SETTINGS, Process, backends, started
from fakes.fleet import node as fleet_node
from fakes.load import Clients, send_at_rate
from tests.harness import LIMIT, Peer, Running, node, request, roster, target, until
from tests.sources.consul.test_consul import FILE, service


def listed_at(servers: list[Process], **more: Any) -> list[dict[str, Any]]:
    """The servers as Consul's rows, t-1 first."""
    return [
        service(i, Port=int(s.address.rpartition(":")[2]), **more) for i, s in enumerate(servers, 1)
    ]


@contextlib.contextmanager
def on_consul(
    tmp_path: Path, agent: str, more: str = "", known: dict[str, object] | None = None, **over: Any
) -> Iterator[Running]:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent=agent) + more)
    with node(tmp_path, known or roster(), consul=str(path), **over) as running:
        yield running


class Asked:
    """A node that lives on so many servers, under a load of safe requests; its log."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.clients = Clients(process.address, 1)

    def said(self, words: str) -> int:
        return self.process.heard.count(words)

    def until(self, condition: Callable[[], bool]) -> None:
        """Under load until then; what meets servers that have just died may be refused."""
        end = time.monotonic() + LIMIT
        while not condition():
            assert time.monotonic() < end, self.process.heard
            self.more(20, {200, 503})

    def more(self, count: int, wanted: Set[int] = frozenset({200})) -> None:
        """So many requests, and nothing but these answers."""
        clients = Clients(self.process.address, 1)
        clients.count = self.clients.count  # ids go on
        asyncio.run(send_at_rate(clients, 400.0, count, credit_part=0.0))
        self.clients = clients
        assert set(clients.results["balance"].statuses) <= wanted


@contextlib.contextmanager
def asked_by_many(tmp_path: Path, agent: Process, count: int) -> Iterator[Asked]:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent=agent.address))
    # Five are killed at the most, and a request may meet each of them before any is out.
    limits = SETTINGS["limits"] | {"max_attempts": 6}
    with fleet_node([], consul=str(path), settings={"limits": limits}) as process:
        process.read_on()
        until(lambda: f"{count} servers listed" in process.heard)
        yield Asked(process)


@pytest.fixture
def agent() -> Iterator[Process]:
    with started(("-m", "fakes.consul")) as process:
        yield process


def served(running: Running, rid: str) -> int:
    peer = running.connect()
    peer.send(request(rid=rid))
    return int(peer.message()[0].split()[1])


def test_a_node_serves_from_consuls_list(tmp_path: Path, agent: Process) -> None:
    with backends(2, 1.0) as servers:
        agent.call("PUT", "/standin/services", listed_at(servers))
        with on_consul(tmp_path, agent.address) as running:
            running.says("2 servers listed")
            assert served(running, "a1") == 200
            agent.call("PUT", "/standin/services", listed_at(servers)[:1])
            running.says("servers out: node-t-2/t-2 (gone)")
            assert served(running, "a2") == 200


def test_half_the_servers_really_gone_leave_at_once(tmp_path: Path, agent: Process) -> None:
    """Their own silence agrees with the checks: neither the bucket nor doubt holds them."""
    with backends(10, 1.0) as servers:
        agent.call("PUT", "/standin/services", listed_at(servers))
        with asked_by_many(tmp_path, agent, 10) as n:
            n.more(100)
            for server in servers[5:]:
                server.popen.kill()
            agent.call("POST", "/standin/status", {f"t-{i}": "critical" for i in range(6, 11)})
            agreed, alone = "and its own answers agree", "(critical)"
            n.until(lambda: n.said(agreed) + n.said(alone) >= 5)
            assert n.said(agreed) >= 3
            n.more(100)


def test_checks_that_are_wrong_about_half_take_a_quarter_at_the_most(
    tmp_path: Path, agent: Process
) -> None:
    with backends(8, 1.0) as servers:
        agent.call("PUT", "/standin/services", listed_at(servers))
        with asked_by_many(tmp_path, agent, 8) as n:
            n.more(50)
            agent.call("POST", "/standin/status", {f"t-{i}": "critical" for i in range(5, 9)})
            n.until(lambda: n.said("(critical)") >= 1)
            n.more(400)
            assert n.said("(critical)") <= 2 and not n.said("own answers agree")


def test_without_an_agent_a_node_goes_on_with_the_last_known_list(tmp_path: Path) -> None:
    with backends(1, 1.0) as servers:
        port = int(servers[0].address.rpartition(":")[2])
        known = roster(target("s-1", port))
        with on_consul(tmp_path, "127.0.0.1:1", known=known) as running:
            running.says("the list stands")
            assert served(running, "b1") == 200
            before = _cpu(running)
            until(lambda: served(running, f"c{time.monotonic_ns():x}") == 200)
            assert _cpu(running) - before < 1.0  # it waits between its tries


def _cpu(running: Running) -> float:
    fields = Path(f"/proc/{running.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def test_the_platforms_list_is_one_more_source_and_its_drains_are_orders(
    tmp_path: Path, agent: Process
) -> None:
    with backends(3, 1.0) as servers, started(("-m", "fakes.discovery")) as discovery:
        ports = [int(s.address.rpartition(":")[2]) for s in servers]
        rows = [target(f"s-{i}", port) for i, port in enumerate(ports, 1)]
        discovery.call("POST", "/standin/targets", rows)
        agent.call("PUT", "/standin/services", listed_at(servers)[:2])
        at = int(discovery.address.rpartition(":")[2])
        with on_consul(
            tmp_path, agent.address, "platform = true\n", roster(*rows), discovery=at
        ) as running:
            assert served(running, "d1") == 200
            rows[0]["state"] = "leaving"
            rows[1]["state"] = "leaving"
            discovery.call("POST", "/standin/targets", rows)
            running.says("maintenance, as ordered")
            for i in range(20):
                assert served(running, f"e{i}") == 200
            counts = [s.call("GET", "/standin/state") for s in servers]
            assert counts[2]["received"] >= 20


@contextlib.contextmanager
def relaying(tmp_path: Path, agent: Process) -> Iterator[Process]:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent=agent.address))
    with started(("-m", "loadbalancer", "members", str(path), "--serve", "127.0.0.1:0")) as relay:
        yield relay


def test_a_list_that_is_passed_on_reaches_a_node_as_its_discovery(
    tmp_path: Path, agent: Process
) -> None:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent=agent.address))
    with backends(2, 1.0) as servers:
        agent.call("PUT", "/standin/services", listed_at(servers))
        with relaying(tmp_path, agent) as relay:
            until(lambda: asked(relay, "/health/ready")[0] == 200)
            whole = json.loads(asked(relay, "/registry/instances")[1])
            assert whole["all"] and len(whole["targets"]) == 2
            held = f"/registry/instances?from={whole['rev']}&hold_ms=60000"
            answers: list[Any] = []
            watch = threading.Thread(target=lambda: answers.append(asked(relay, held)[1]))
            watch.start()
            agent.call("PUT", "/v1/agent/service/maintenance/t-1?enable=true")
            watch.join(LIMIT)
            news = json.loads(answers[0])
            assert not news["all"] and news["rev"] > whole["rev"]
            assert [(t["uid"], t["state"]) for t in news["targets"]] == [
                ("node-t-1/t-1", "leaving")
            ]
            at = int(relay.address.rpartition(":")[2])
            with node(tmp_path, roster(), at) as running:
                until(lambda: served(running, f"f{time.monotonic_ns():x}") == 200)


@pytest.mark.parametrize(
    ("target_", "status"),
    [("/registry/instances?from=x", 400), ("/registry/instances?hold_ms=-1", 400), ("/odd", 404)],
)
def test_a_watcher_that_asks_badly_is_told(
    tmp_path: Path, agent: Process, target_: str, status: int
) -> None:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent=agent.address))
    agent.call("PUT", "/standin/services", [service(1)])
    with relaying(tmp_path, agent) as relay:
        until(lambda: asked(relay, "/health/ready")[0] == 200)
        assert asked(relay, target_)[0] == status


def test_a_second_question_before_the_answer_ends_the_connection(
    tmp_path: Path, agent: Process
) -> None:
    agent.call("PUT", "/standin/services", [service(1)])
    with relaying(tmp_path, agent) as relay:
        until(lambda: asked(relay, "/health/ready")[0] == 200)
        rev = json.loads(asked(relay, "/registry/instances")[1])["rev"]
        host, _, port = relay.address.rpartition(":")
        peer = Peer(socket.create_connection((host, int(port)), LIMIT))
        question = f"GET /registry/instances?from={rev}&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n"
        peer.send(question.encode() * 2)
        assert peer.ends().startswith(b"HTTP/1.1 400")


def test_nothing_is_passed_on_before_a_whole_round(tmp_path: Path, agent: Process) -> None:
    path = tmp_path / "consul.toml"
    path.write_text(FILE.format(agent=agent.address))
    agent.call("POST", "/standin/faults", {"status": 500})
    with relaying(tmp_path, agent) as relay:
        assert asked(relay, "/registry/instances")[0] == 503


def asked(relay: Process, path: str) -> tuple[int, bytes]:
    connection = HTTPConnection(relay.address, timeout=LIMIT)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()

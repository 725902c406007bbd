"""A node that reads its servers from Consul, under load where that matters."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterator, Set
from pathlib import Path
from typing import Any

import pytest

from fakes.load import Clients, send_at_rate
from fakes.node import SECOND, SETTINGS, running_node
from fakes.processes import Process, running_backends, running_process
from loadbalancer.core.balancing.model import MS
from tests.harness import (
    LIMIT,
    LONG_MS,
    Running,
    accept_any,
    answer,
    config,
    listen,
    node,
    request,
    roster,
    started,
    target,
    until,
)
from tests.sources.consul.support import service_row, set_faults, set_status, write_file

OK_ALONE = frozenset({200})
OK_OR_SHED = frozenset({200, 503})
TICKS_PER_SECOND = 100  # of /proc/PID/stat

# A pause of the machine must not shed a request: once backends stand still for 0.6 s, or the node
# for 1 s, a connect timeout of 250 ms and a latency objective of 800 ms have passed, and it sheds.
PATIENT_LIMITS = {"dial_timeout": 5 * SECOND}
PATIENT_CLASS = {"target": 8 * SECOND, "deadline": 9 * SECOND}
CLIENT_TIMEOUT_MS = {"balance": 9000}


def port_of(process: Process) -> int:
    return int(process.address.rpartition(":")[2])


def rows_of(servers: list[Process]) -> list[dict[str, Any]]:
    """The servers as Consul's rows, t-1 first."""
    return [service_row(number, Port=port_of(s)) for number, s in enumerate(servers, 1)]


@contextlib.contextmanager
def node_on(
    tmp_path: Path,
    agent: str,
    more: str = "",
    known: dict[str, object] | None = None,
    **settings: Any,
) -> Iterator[Running]:
    """A node that reads from this agent; `more` are lines of its consul file."""
    path = write_file(tmp_path, agent, more=more)
    with node(tmp_path, known or roster(), consul=str(path), **settings) as running:
        yield running


def status_of(running: Running, request_id: str) -> int:
    """The status that one request is answered with."""
    peer = running.connect()
    peer.send(request(rid=request_id))
    return int(peer.message()[0].split()[1])


def cpu_s(running: Running) -> float:
    """CPU time that the node has used."""
    fields = Path(f"/proc/{running.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


class LoadedNode:
    """A node under a load of safe requests, and its log."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self._sent = 0

    def logged(self, text: str) -> int:
        """How many times the log has a text."""
        return self.process.log_text.count(text)

    def send_until(self, condition: Callable[[], bool]) -> None:
        """Send requests until then; those that meet servers that have just died may be shed."""
        end = time.monotonic() + LIMIT
        while not condition():
            assert time.monotonic() < end, self.process.log_text
            self.send(20, OK_OR_SHED)

    def send(self, count: int, allowed: Set[int] = OK_ALONE) -> None:
        """Send so many requests; they get these statuses and no others."""
        clients = Clients(self.process.address, 1, timeout_ms=CLIENT_TIMEOUT_MS)
        clients.count = self._sent  # ids go on
        asyncio.run(send_at_rate(clients, 400.0, count, credit_part=0.0))
        self._sent = clients.count
        assert set(clients.results["balance"].statuses) <= allowed


@contextlib.contextmanager
def loaded_node(tmp_path: Path, agent: Process, servers: int) -> Iterator[LoadedNode]:
    """A node that has listed so many servers."""
    path = write_file(tmp_path, agent.address)
    # At most five servers are killed, and a request may meet each of them before any is drained.
    limits = SETTINGS["limits"] | PATIENT_LIMITS | {"max_attempts": 6}
    classes = [cls | PATIENT_CLASS for cls in SETTINGS["classes"]]
    settings = {"limits": limits, "classes": classes}
    with running_node([], consul=str(path), settings=settings) as process:
        process.collect_log()
        until(lambda: f"{servers} servers listed" in process.log_text)
        yield LoadedNode(process)


def test_a_node_serves_from_consuls_list(tmp_path: Path, agent: Process) -> None:
    with running_backends(2, 1.0) as servers:
        agent.call("PUT", "/standin/services", rows_of(servers))
        with node_on(tmp_path, agent.address) as running:
            running.says("2 servers listed")
            assert status_of(running, "a1") == 200
            agent.call("PUT", "/standin/services", rows_of(servers)[:1])
            running.says("servers out: node-t-2/t-2 (gone)")
            assert status_of(running, "a2") == 200


def test_half_the_servers_that_die_are_drained_at_once(tmp_path: Path, agent: Process) -> None:
    """Five of ten servers are killed, and their checks fail.

    The node's own attempts confirm it, so that neither the rate limit nor the limit of unconfirmed
    departures holds them in the list.
    """
    with running_backends(10, 1.0) as servers:
        agent.call("PUT", "/standin/services", rows_of(servers))
        with loaded_node(tmp_path, agent, 10) as loaded:
            loaded.send(100)
            for server in servers[5:]:
                server.child.kill()
            set_status(agent, *(f"t-{number}" for number in range(6, 11)), status="critical")
            confirmed, by_checks = "confirmed by failed attempts", "(critical)"
            loaded.send_until(lambda: loaded.logged(confirmed) + loaded.logged(by_checks) >= 5)
            assert loaded.logged(confirmed) >= 3
            loaded.send(100)


def test_wrong_checks_of_half_the_servers_drain_a_quarter_at_most(
    tmp_path: Path, agent: Process
) -> None:
    """The checks of four out of eight servers fail, by a fault of the checks: all answer."""
    with running_backends(8, 1.0) as servers:
        agent.call("PUT", "/standin/services", rows_of(servers))
        with loaded_node(tmp_path, agent, 8) as loaded:
            loaded.send(50)
            set_status(agent, *(f"t-{number}" for number in range(5, 9)), status="critical")
            loaded.send_until(lambda: loaded.logged("(critical)") >= 1)
            loaded.send(400)
            assert loaded.logged("(critical)") <= 2
            assert not loaded.logged("confirmed by failed attempts")


def test_without_an_agent_a_node_goes_on_with_the_last_known_list(tmp_path: Path) -> None:
    """No agent can be reached. The node serves, and waits between its requests to agents."""
    with running_backends(1, 1.0) as servers:
        known = roster(target("s-1", port_of(servers[0])))
        with node_on(tmp_path, "127.0.0.1:1", known=known) as running:
            running.says("the list stands")
            assert status_of(running, "b1") == 200
            before = cpu_s(running)
            until(lambda: status_of(running, f"c{time.monotonic_ns():x}") == 200)
            assert cpu_s(running) - before < 1.0


def test_drains_of_the_platforms_list_are_orders(tmp_path: Path, agent: Process) -> None:
    """Consul has two servers, the platform's list three, and drains the two of Consul."""
    with (
        running_backends(3, 1.0) as servers,
        running_process(("-m", "fakes.discovery")) as discovery,
    ):
        rows = [target(f"s-{number}", port_of(s)) for number, s in enumerate(servers, 1)]
        discovery.call("POST", "/standin/targets", rows)
        agent.call("PUT", "/standin/services", rows_of(servers)[:2])
        with node_on(
            tmp_path, agent.address, "platform = true\n", roster(*rows),
            discovery=port_of(discovery),
        ) as running:  # fmt: skip
            assert status_of(running, "d1") == 200
            rows[0]["state"] = "leaving"
            rows[1]["state"] = "leaving"
            discovery.call("POST", "/standin/targets", rows)
            running.says("maintenance, as ordered")
            for number in range(20):
                assert status_of(running, f"e{number}") == 200
            third = servers[2].call("GET", "/standin/state")
            assert third["received"] >= 20


@pytest.mark.parametrize("drain_form", ["state", "absence"])
@pytest.mark.parametrize("known_state", ["unknown", "active", "current"])
def test_a_drain_of_the_platforms_list_outlasts_a_restart(
    tmp_path: Path, agent: Process, drain_form: str, known_state: str
) -> None:
    """A node that started with the drain sent to the draining server for good (`review/10`)."""
    with (
        running_backends(3, 1.0) as servers,
        running_process(("-m", "fakes.discovery")) as discovery,
    ):
        rows = [target(f"s-{number}", port_of(s)) for number, s in enumerate(servers, 1)]
        draining = [rows[0] | {"state": "leaving"}] if drain_form == "state" else []
        lists = {"unknown": [], "active": rows, "current": [*draining, *rows[1:]]}
        discovery.call("POST", "/standin/targets", lists["active"])
        discovery.call("POST", "/standin/targets", lists["current"])
        agent.call("PUT", "/standin/services", rows_of(servers))
        versions = {"unknown": 1, "active": 2, "current": 3}  # of the service's lists
        known = roster(*lists[known_state], rev=versions[known_state])
        with node_on(
            tmp_path, agent.address, "platform = true\n", known, discovery=port_of(discovery)
        ) as running:
            # Once it has read all of Consul's rows, a later change shows that it applied them.
            until(lambda: sum(agent.call("GET", "/standin/lines")["seconds"].values()) >= 3)
            set_status(agent, "t-3", status="critical")
            running.says("(critical)")
            before = servers[0].call("GET", "/standin/state").get("received", 0)
            for number in range(20):
                assert status_of(running, f"f{number}") == 200
            received = servers[0].call("GET", "/standin/state").get("received", 0)
            assert received == before


def test_the_successor_of_an_upgrade_keeps_the_drains_that_its_predecessor_was_told(
    tmp_path: Path, agent: Process
) -> None:
    """It went by a `known` from before the drain, while neither source answered it."""
    with (
        running_backends(2, 1.0) as servers,
        running_process(("-m", "fakes.discovery")) as discovery,
    ):
        rows = [target(f"s-{number}", port_of(s)) for number, s in enumerate(servers, 1)]
        draining = rows[0] | {"state": "leaving"}
        discovery.call("POST", "/standin/targets", [draining, rows[1]])
        agent.call("PUT", "/standin/services", rows_of(servers))
        file = str(write_file(tmp_path, agent.address, more="platform = true\n"))
        environ = config(
            tmp_path, roster(*rows), port_of(discovery), admin="127.0.0.1:0", consul=file
        )
        with started(environ) as old:
            old.says("maintenance, as ordered")
            discovery.call("POST", "/standin/faults", {"down": True})
            set_faults(agent, silent=True)
            with started(environ) as new:
                assert status_of(new, "g0") == 200
                old.process.terminate()
                old.process.wait(LIMIT)
                before = servers[0].call("GET", "/standin/state").get("received", 0)
                for number in range(20):
                    assert status_of(new, f"h{number}") == 200
                received = servers[0].call("GET", "/standin/state").get("received", 0)
                assert received == before


@pytest.mark.parametrize(
    ("more", "cells", "repeated_at"),
    [
        ("", (1, 1), None),  # the file names no key: the servers' cells are not known
        ('cell_meta = "cell"\n', (1, 1), "the other"),
        ('cell_meta = "cell"\n', (1, 2), "the same"),
    ],
)
def test_a_keyed_request_is_repeated_only_in_a_cell_that_is_known(
    tmp_path: Path, agent: Process, more: str, cells: tuple[int, int], repeated_at: str | None
) -> None:
    """Consul's servers had no cell, and so all of them seemed to be in one.

    A server executes a request, and its answer is lost. The node repeated the request at a server
    of another cell, which did not know the key: the effect happened twice.
    """
    keyed = {
        "name": "topup", "effect": "token", "dedup_scope": "cell", "credit": 1.0,
        "repeat_window": LONG_MS * MS, "target": LONG_MS * MS, "deadline": LONG_MS * MS,
    }  # fmt: skip
    with contextlib.closing(listen()) as first, contextlib.closing(listen()) as second:
        rows = [
            service_row(number, Port=sock.getsockname()[1], Meta={"cell": str(cell)})
            for number, (sock, cell) in enumerate(zip((first, second), cells, strict=True), 1)
        ]
        agent.call("PUT", "/standin/services", rows)
        with node_on(tmp_path, agent.address, more, settings={"classes": [keyed]}) as running:
            running.says("2 servers listed")
            client = running.connect()
            client.send(request("/topup/1", b"5", timeout=LONG_MS, Idempotency_Key="k" * 32))
            peer, executed_at = accept_any(first, second)
            peer.message()
            peer.reset()
            if repeated_at is None:
                assert client.message()[0].split()[1] == "502"
                return
            peer, repeat = accept_any(first, second)
            assert (repeat is executed_at) == (repeated_at == "the same")
            assert peer.message()[1]["idempotency-key"] == "k" * 32
            peer.send(answer(b"once"))
            assert client.message()[2] == b"once"

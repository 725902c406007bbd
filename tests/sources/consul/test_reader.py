"""The reader before agents that fail, and long lists."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import ssl
import time
from pathlib import Path
from typing import Any

import pytest
import trustme

from fakes.processes import Process
from loadbalancer.config.address import Address
from loadbalancer.core.endpoints.server_report import ServerReport
from loadbalancer.sources.consul.credentials import Credentials
from loadbalancer.sources.consul.file import Consistency, ConsulFile, ServiceApi
from loadbalancer.sources.consul.reader import ConsulReader, open_reader
from tests.harness import LIMIT
from tests.sources.consul.support import (
    Listener,
    file_for,
    in_thread,
    service_row,
    set_faults,
    set_services,
    set_status,
    wait_until,
)

READERS = 21
LOGGERS = ("loadbalancer.sources.consul.reader", Listener.__module__)


@pytest.fixture
def log(caplog: pytest.LogCaptureFixture) -> pytest.LogCaptureFixture:
    """The readers' log lines."""
    for logger in LOGGERS:
        caplog.set_level(logging.INFO, logger)
    return caplog


def test_a_leader_election_under_many_watches_changes_nothing(
    agent: Process, log: pytest.LogCaptureFixture
) -> None:
    """Consul's servers elect a leader, and all watches of 21 readers end into the election."""
    set_services(agent, *range(1, 11))
    every_server = {f"node-t-{number}/t-{number}" for number in range(1, 11)}

    async def elect(listeners: list[Listener]) -> None:
        await wait_until(lambda: all(one.ready() == every_server for one in listeners))
        await in_thread(set_faults, agent, leaderless=True)
        await in_thread(set_status, agent, "t-1", status="warning")
        names = {one.logger.name for one in listeners}
        await wait_until(lambda: {record.name for record in log.records} == names)
        assert all(one.ready() == every_server for one in listeners)
        await in_thread(set_faults, agent)
        await in_thread(set_services, agent, *range(1, 12))
        await wait_until(lambda: all(len(one.ready()) == 11 for one in listeners))

    async def run() -> None:
        with contextlib.ExitStack() as stack:
            await elect(
                [stack.enter_context(Listener(file_for(agent), seed)) for seed in range(READERS)]
            )

    asyncio.run(run())


def test_a_watch_leaves_an_unresponsive_agent_with_the_query(
    agent: Process,
    second_agent: Process,
    log: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An agent accepts connections and answers nothing.

    A query to it times out within seconds, but a watch may be held for a minute. The watch goes
    to the next agent with the query, so that changes are seen meanwhile.
    """
    for each in (agent, second_agent):
        set_services(each, 1, 2, 3)

    async def run() -> None:
        with Listener(file_for(agent, second_agent)) as listener:
            datacentre = listener.datacentre
            await wait_until(lambda: None not in (datacentre._pause, datacentre._watch))
            await in_thread(set_faults, agent, silent=True)
            monkeypatch.setattr(
                "loadbalancer.sources.consul.datacentre_reader.REQUEST_TIMEOUT_S", 0.2
            )
            datacentre._query_soon()
            await wait_until(lambda: bool(log.records))
            end = time.monotonic() + LIMIT
            while not (await in_thread(second_agent.call, "GET", "/standin/lines"))["waiting"]:
                assert time.monotonic() < end, log.text
            assert len(listener.ready()) == 3

    asyncio.run(run())


def test_five_thousand_servers_are_read_with_no_answer_beyond_its_bound(agent: Process) -> None:
    rows = [service_row(number) for number in range(5000)]
    for count in (2500, 5000):
        agent.call("PUT", "/standin/services", rows[:count])

    async def run() -> None:
        with Listener(file_for(agent, lines_per_second=20_000)) as listener:
            await wait_until(lambda: len(listener.ready()) == 5000, 3)
            await wait_until(lambda: listener.reader.completed_rounds() >= 1)
            # Only the first answer of all may have more lines than were reserved for it.
            assert listener.datacentre.overruns <= 1

    asyncio.run(run())


@pytest.mark.parametrize(
    "fields",
    [
        {"api": ServiceApi.CATALOG},
        {"shard_by": "node"},
        {"shard_by": "meta.part"},
        {"shard_by": "address"},
    ],
)
def test_a_list_is_read_from_another_api_or_by_another_field(
    agent: Process, fields: dict[str, Any]
) -> None:
    rows = [
        service_row(
            number, ID=f"t-{number}:8080", Address=f"127.0.0.{number}",
            Tags=["retail"] if number < 13 else [], Meta={"part": f"p{number}", "zone": "west"},
        )
        for number in range(1, 16)
    ]  # fmt: skip
    agent.call("PUT", "/standin/services", rows)
    file = file_for(agent, tags=("retail",), zone_meta="zone", **fields)

    async def run() -> None:
        with Listener(file) as listener:
            await wait_until(lambda: len(listener.ready()) == 12)
            assert {server.zone for server in listener.merged.servers()} == {"west"}

    asyncio.run(run())


@pytest.mark.parametrize("complete", [False, True])
def test_a_datacentre_is_read_on_after_its_reports_were_not_taken(
    agent: Process,
    log: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    complete: bool,
) -> None:
    """Whoever takes a datacentre's reports raises once, by a fault of its own.

    The exception ended the handling of the response, and with it the only place that begins the
    next query: the datacentre was never read again, and its list stood until a restart.
    """
    set_services(agent, 1, 2, 3)
    monkeypatch.setattr("loadbalancer.sources.consul.datacentre_reader.ROUND_INTERVAL_S", 0.01)
    calls: list[bool] = []

    def take(_source: str, _reports: list[ServerReport], is_complete: bool) -> None:
        calls.append(is_complete)
        if is_complete is complete and calls.count(complete) == 1:
            raise KeyError("a fault of whoever takes the reports")

    async def run() -> None:
        reader = ConsulReader(
            file_for(agent), Credentials(), take, 1, logging.getLogger(LOGGERS[0])
        )
        reader.start()
        await wait_until(lambda: calls.count(True) >= 3)
        reader.close()

    asyncio.run(run())
    assert log.messages.count("consul:dc1: its reports were not taken over") == 1


# ---- TLS -------------------------------------------------------------------


@pytest.fixture
def authorities(tmp_path: Path) -> dict[str, trustme.CA]:
    """Two authorities by name, each one's certificate in a file of its name."""
    found = {name: trustme.CA() for name in ("agents", "other")}
    for name, authority in found.items():
        authority.cert_pem.write_to_path(str(tmp_path / f"{name}.pem"))
    return found


@pytest.mark.parametrize(("trusted", "is_read"), [("agents", True), ("other", False)])
def test_an_agent_over_tls_is_read_where_its_authority_is_trusted(
    tmp_path: Path,
    authorities: dict[str, trustme.CA],
    log: pytest.LogCaptureFixture,
    trusted: str,
    is_read: bool,
) -> None:
    """A certificate of another authority is a failure like any other."""
    server_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authorities["agents"].issue_cert("127.0.0.1").configure_cert(server_context)
    requests: list[bytes] = []

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Consul-Index: 7\r\n\r\n[]")
        await writer.drain()
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0, ssl=server_context)
        agent = Address(*server.sockets[0].getsockname())
        pem = tmp_path / f"{trusted}.pem"
        file = ConsulFile((agent,), "topup", {"dc1": ""}, None, pem, 1000, Consistency.DEFAULT, 60)
        reader = open_reader(file, _ignore, 1)
        reader.start()
        await wait_until(lambda: bool(requests) or bool(log.records))
        reader.close()
        server.close()

    asyncio.run(run())
    assert (bool(requests), bool(log.records)) == (is_read, not is_read), log.text


def _ignore(*_: Any) -> None:
    pass

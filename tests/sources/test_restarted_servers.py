"""A new process at the address of one that has gone is not taken for the earlier one."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loadbalancer.config.node import load
from loadbalancer.sources.consul.source import ConsulMembers
from loadbalancer.sources.endpoint_list import EndpointList, backend_id
from tests.harness import Peer, accept, answer, config, listen, node, request, roster, target
from tests.sources.consul.support import write_file

RESTARTED_MS = 1_700_000_000_000  # Unix time


def receive_poll(discovery: Peer, body: dict[str, object]) -> None:
    discovery.message()
    discovery.send(answer(json.dumps(body).encode()))


def test_a_request_is_not_sent_on_a_connection_to_the_process_before(tmp_path: Path) -> None:
    """A machine vanishes without closing its connections, and a new process comes up there.

    The list names its start time. A request on a connection to the earlier process is reset, and
    an unsafe one fails as possibly executed, though the new process could have served it.
    """
    with listen() as backend, listen() as discovery:
        port = backend.getsockname()[1]
        known = roster(target("s-1", port, boot_ms=RESTARTED_MS - 60_000), rev=1)
        with node(tmp_path, known, discovery.getsockname()[1]) as running:
            receive_poll(accept(discovery), known | {"rev": 2})
            watch = accept(discovery)
            client = running.connect()
            client.send(request("/credit/1", b"5", rid="first"))
            vanished = accept(backend)
            vanished.message()
            vanished.send(answer(b"served"))
            assert client.message()[2] == b"served"
            receive_poll(watch, roster(target("s-1", port, boot_ms=RESTARTED_MS), rev=3))
            assert vanished.ends() == b""
            client.send(request("/credit/1", b"5", rid="second"))
            peer = accept(backend)
            assert peer.message()[1]["x-request-id"] == "second"
            peer.send(answer(b"served again"))
            assert client.message()[2] == b"served again"


@pytest.mark.parametrize(
    ("before_ms", "after_ms", "is_stale"),
    [
        (RESTARTED_MS, RESTARTED_MS, False),
        (RESTARTED_MS - 1, RESTARTED_MS, True),
        (RESTARTED_MS, RESTARTED_MS - 1, True),  # the clock of its machine was set back
        (0, RESTARTED_MS, False),  # the list names it for the first time
        (RESTARTED_MS, 0, False),
    ],
)
def test_connections_are_stale_once_the_start_time_has_changed(
    tmp_path: Path, before_ms: int, after_ms: int, is_stale: bool
) -> None:
    endpoint_list = EndpointList(load(config(tmp_path, roster(), 1)))
    stale: list[int] = []
    for boot_ms in (before_ms, after_ms):
        update, listings, addresses = endpoint_list.decode(
            roster(target("s-1", 80, "active", boot_ms))
        )
        stale = endpoint_list.apply(1, update, listings, addresses)
    assert stale == ([backend_id("s-1")] if is_stale else [])


def test_a_server_that_replaces_another_at_its_address_gets_new_connections(
    tmp_path: Path,
) -> None:
    """Beside Consul a backend is known by its address, and no start time told of the new server."""
    stale: list[list[int]] = []
    file = write_file(tmp_path, "127.0.0.1:1", more="platform = true\n")
    members = ConsulMembers(
        file, load(config(tmp_path, roster(), 1)), lambda _update, _rows, gone: stale.append(gone)
    )
    members.load_configured(roster(target("s-1", 80)))
    assert members._platform is not None
    members._platform.on_forwarded(json.dumps(roster(target("s-9", 80), rev=2)).encode())
    assert stale == [[backend_id("127.0.0.1:80")]]

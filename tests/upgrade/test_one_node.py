"""Standby calls, reloads and endpoint list updates reach both processes of a node."""

from __future__ import annotations

import json
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.harness import (
    LONG_MS,
    Peer,
    accept,
    accept_any,
    answer,
    config,
    listen,
    request,
    roster,
    target,
    until,
)
from tests.proxy.test_reload import replace_config
from tests.upgrade.support import (
    ADMIN,
    PATIENT,
    SERVED,
    StartProcess,
    get_ready,
    receive_request,
    stop_both,
    wait_until_draining,
)


class TwoBackends(NamedTuple):
    """Two backends, their rows in the endpoint list, and the environment of a node using it."""

    first: socket.socket
    second: socket.socket
    rows: list[dict[str, object]]
    environ: dict[str, str]


@pytest.fixture
def two_backends(tmp_path: Path, discovery: socket.socket) -> Iterator[TwoBackends]:
    with listen() as first, listen() as second:
        rows = [target("s-1", first.getsockname()[1]), target("s-2", second.getsockname()[1])]
        port = discovery.getsockname()[1]
        known = roster(*rows, rev=7)
        environ = config(tmp_path, known, port, admin=ADMIN, settings=PATIENT)
        yield TwoBackends(first, second, rows, environ)


def receive_poll(discovery: socket.socket, version: int) -> Peer:
    """Accept a poll for changes since this version of the list."""
    call = accept(discovery)
    assert f"from={version}" in call.message()[0]
    return call


def send_list(call: Peer, *rows: dict[str, object], rev: int, **more: Any) -> None:
    call.send(answer(json.dumps(roster(*rows, rev=rev, **more)).encode()))


def test_standby_is_handed_over_and_later_calls_reach_both_processes(
    start: StartProcess,
) -> None:
    old = start()
    old.call("POST /standby")
    new = start()
    assert new.call("GET /status")[2] == b"standby\n"
    assert not new.ready()
    assert "standby: sending clients away" in new.said  # so it closes its idle connections too
    assert old.call("POST /active")[0] == SERVED
    until(new.ready)
    new.call("POST /standby")
    assert not new.ready()
    assert old.call("GET /status")[0] == SERVED
    stop_both(old, new)


def test_sighup_to_either_process_reloads_both(start: StartProcess) -> None:
    old, new = start(), start()
    wait_until_draining(old)
    new.process.send_signal(signal.SIGHUP)
    new.says("reloaded")
    old.says("reloaded")
    old.process.send_signal(signal.SIGHUP)
    new.says("reloaded")
    stop_both(old, new)


def test_only_the_successor_watches_and_an_update_reaches_both(
    start: StartProcess, discovery: socket.socket, two_backends: TwoBackends
) -> None:
    """The successor continues the watch at the received version; the predecessor ends its own.

    When a backend then begins to drain, the predecessor sends a request to the other backend.
    """
    old = start(two_backends.environ)
    send_list(receive_poll(discovery, 7), *two_backends.rows, rev=9)
    old_watch = receive_poll(discovery, 9)
    client = old.connect()
    get_ready(client)
    new = start(two_backends.environ)
    new_watch = receive_poll(discovery, 9)
    assert old_watch.ends() == b""
    send_list(new_watch, two_backends.rows[0] | {"state": "leaving"}, rev=10, complete=False)
    later_watch = receive_poll(discovery, 10)
    client.send(request(rid="open", timeout=LONG_MS))
    receive_request(two_backends.second).send(answer(b"open"))
    assert client.message()[2] == b"open"
    stop_both(old, new)
    later_watch.close()


def test_after_a_reload_only_the_successor_polls_the_new_discovery_service(
    tmp_path: Path, start: StartProcess, two_backends: TwoBackends
) -> None:
    """The new configuration names another discovery service."""
    old, new = start(two_backends.environ), start(two_backends.environ)
    wait_until_draining(old)
    with listen() as new_discovery:
        old_config = json.loads((tmp_path / "config.json").read_text())
        address = f"127.0.0.1:{new_discovery.getsockname()[1]}"
        replace_config(tmp_path, json.dumps(old_config | {"discovery": address}))
        new.process.send_signal(signal.SIGHUP)
        new.says("reloaded")
        old.says("reloaded")
        call = accept(new_discovery)
        call.message()
        send_list(call, *two_backends.rows, rev=9)
        watch = receive_poll(new_discovery, 9)
        assert old.stop() == 0
        new_discovery.setblocking(False)
        with pytest.raises(BlockingIOError):
            new_discovery.accept()
        watch.close()
        assert new.stop() == 0


def test_the_predecessor_polls_again_when_its_successor_is_unresponsive(
    start: StartProcess, discovery: socket.socket, two_backends: TwoBackends
) -> None:
    """The successor is suspended and forwards no list updates; then a backend begins to drain.

    The predecessor notices the missing updates and polls discovery itself. A client has sent
    two requests: the first is already at a backend, the second must go to the other backend,
    which does not drain.
    """
    old = start(two_backends.environ)
    old_watch = receive_poll(discovery, 7)
    client = old.connect()
    client.send(request(rid="a", timeout=LONG_MS) + request(rid="b", timeout=LONG_MS))
    peer, _ = accept_any(two_backends.first, two_backends.second)
    peer.message()
    new = start(two_backends.environ)
    wait_until_draining(old)
    assert old_watch.ends() == b""
    new_watch = receive_poll(discovery, 7)
    new.process.send_signal(signal.SIGSTOP)
    poll = receive_poll(discovery, 7)
    send_list(poll, two_backends.rows[0] | {"state": "leaving"}, rev=8, complete=False)
    watch = receive_poll(discovery, 8)
    peer.send(answer(b"a", "200 OK", "Connection: close"))
    assert client.message()[2] == b"a"
    peer = accept(two_backends.second)
    assert peer.message()[1]["x-request-id"] == "b"
    peer.send(answer(b"b"))
    assert client.message()[2] == b"b"
    new.process.send_signal(signal.SIGCONT)
    stop_both(old, new)
    for call in (new_watch, watch):
        call.close()

"""Standby, reload and endpoint list while two processes are one node: each reaches both."""

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
    """Two backends, their rows in the list, and the environment of a node that watches it."""

    first: socket.socket
    second: socket.socket
    rows: list[dict[str, object]]
    environ: dict[str, str]


@pytest.fixture
def two(tmp_path: Path, discovery: socket.socket) -> Iterator[TwoBackends]:
    with listen() as first, listen() as second:
        rows = [target("s-1", first.getsockname()[1]), target("s-2", second.getsockname()[1])]
        port = discovery.getsockname()[1]
        known = roster(*rows, rev=7)
        environ = config(tmp_path, known, port, admin=ADMIN, settings=PATIENT)
        yield TwoBackends(first, second, rows, environ)


def receive_poll(discovery: socket.socket, version: int) -> Peer:
    """The next call for what has changed since this version."""
    call = accept(discovery)
    assert f"from={version}" in call.message()[0]
    return call


def send_list(call: Peer, *rows: dict[str, object], rev: int, **more: Any) -> None:
    call.send(answer(json.dumps(roster(*rows, rev=rev, **more)).encode()))


def test_a_standby_is_handed_over_and_later_calls_to_either_reach_both(
    start: StartProcess,
) -> None:
    old = start()
    old.call("POST /standby")
    new = start()
    assert new.call("GET /status")[2] == b"standby\n"
    assert not new.ready()
    assert "standby: sending clients away" in new.said  # its idle connections are closed too
    assert old.call("POST /active")[0] == SERVED
    until(new.ready)
    new.call("POST /standby")
    assert not new.ready()
    assert old.call("GET /status")[0] == SERVED
    stop_both(old, new)


def test_a_reload_asked_of_one_is_done_by_both(start: StartProcess) -> None:
    old, new = start(), start()
    wait_until_draining(old)
    new.process.send_signal(signal.SIGHUP)
    new.says("reloaded")
    old.says("reloaded")
    old.process.send_signal(signal.SIGHUP)
    new.says("reloaded")
    stop_both(old, new)


def test_only_the_successor_watches_and_an_update_reaches_both(
    start: StartProcess, discovery: socket.socket, two: TwoBackends
) -> None:
    """The successor watches on from the list that it was handed, the predecessor ends its watch.

    A backend then begins to drain: a request that still comes to the predecessor goes to the
    other backend.
    """
    old = start(two.environ)
    send_list(receive_poll(discovery, 7), *two.rows, rev=9)
    old_watch = receive_poll(discovery, 9)
    client = old.connect()
    get_ready(client)
    new = start(two.environ)
    new_watch = receive_poll(discovery, 9)
    assert old_watch.ends() == b""
    send_list(new_watch, two.rows[0] | {"state": "leaving"}, rev=10, complete=False)
    later_watch = receive_poll(discovery, 10)
    client.send(request(rid="open", timeout=LONG_MS))
    receive_request(two.second).send(answer(b"open"))
    assert client.message()[2] == b"open"
    stop_both(old, new)
    later_watch.close()


def test_a_reload_moves_the_successors_watch_and_the_predecessor_polls_nobody(
    tmp_path: Path, start: StartProcess, two: TwoBackends
) -> None:
    """The replaced configuration names another discovery service."""
    old, new = start(two.environ), start(two.environ)
    wait_until_draining(old)
    with listen() as moved_to:
        raw = json.loads((tmp_path / "config.json").read_text())
        address = f"127.0.0.1:{moved_to.getsockname()[1]}"
        replace_config(tmp_path, json.dumps(raw | {"discovery": address}))
        new.process.send_signal(signal.SIGHUP)
        new.says("reloaded")
        old.says("reloaded")
        call = accept(moved_to)
        call.message()
        send_list(call, *two.rows, rev=9)
        watch = receive_poll(moved_to, 9)
        assert old.stop() == 0
        moved_to.setblocking(False)
        with pytest.raises(BlockingIOError):
            moved_to.accept()
        watch.close()
        assert new.stop() == 0


def test_the_predecessor_polls_again_where_its_successor_is_unresponsive(
    start: StartProcess, discovery: socket.socket, two: TwoBackends
) -> None:
    """The successor is suspended and forwards no list; then a backend begins to drain.

    The predecessor notices the silence and polls by itself. Of two requests of one client the
    first is at a backend by then, the second goes to the one that does not drain.
    """
    old = start(two.environ)
    old_watch = receive_poll(discovery, 7)
    client = old.connect()
    client.send(request(rid="a", timeout=LONG_MS) + request(rid="b", timeout=LONG_MS))
    peer, _ = accept_any(two.first, two.second)
    peer.message()
    new = start(two.environ)
    wait_until_draining(old)
    assert old_watch.ends() == b""
    new_watch = receive_poll(discovery, 7)
    new.process.send_signal(signal.SIGSTOP)
    poll = receive_poll(discovery, 7)
    send_list(poll, two.rows[0] | {"state": "leaving"}, rev=8, complete=False)
    watch = receive_poll(discovery, 8)
    peer.send(answer(b"a", "200 OK", "Connection: close"))
    assert client.message()[2] == b"a"
    peer = accept(two.second)
    assert peer.message()[1]["x-request-id"] == "b"
    peer.send(answer(b"b"))
    assert client.message()[2] == b"b"
    new.process.send_signal(signal.SIGCONT)
    stop_both(old, new)
    for call in (new_watch, watch):
        call.close()

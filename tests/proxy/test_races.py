"""Changes between two events of a request: a new list, an expired repeat window, a stop.

The tests force the order of events: a listener with a full accept queue delays a connection until
the test empties the queue.
"""

from __future__ import annotations

import json
import signal
import socket
import time
from pathlib import Path

import pytest

from tests.harness import (
    LIMIT,
    LONG_MS,
    SETTINGS,
    Running,
    accept,
    answer,
    listen,
    node,
    request,
    roster,
    target,
    until,
)
from tests.proxy.full_backlog import FullBacklog, patient_settings
from tests.proxy.test_reload import replace_config

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
REPEAT_WINDOW_S = 0.5
NS_PER_SECOND = 1_000_000_000


def test_a_request_that_waits_for_a_connection_to_a_draining_backend_is_sent_to_another(
    tmp_path: Path,
) -> None:
    """A new endpoint list drains a backend while a connection to it is being established.

    The request has not been sent, so it must go to the other backend, and nothing may be written
    on the connection to the draining one.
    """
    with FullBacklog() as first, listen() as second, listen() as discovery:
        rows = [target("s-1", first.port), target("s-2", second.getsockname()[1])]
        port = discovery.getsockname()[1]
        with node(tmp_path, roster(rows[0], rev=7), port, settings=patient_settings()) as proxy:
            poll = accept(discovery)
            poll.message()
            client = proxy.connect()
            client.send(request("/credit/1", b"once", rid="waits", timeout=LONG_MS))
            probe = proxy.connect()  # its answer shows that the earlier request has been read
            probe.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            probe.message()
            change = roster(rows[0] | {"state": "leaving"}, rows[1], rev=8, complete=False)
            poll.send(answer(json.dumps(change).encode()))
            peer = accept(second)
            assert peer.message()[1]["x-request-id"] == "waits"
            peer.send(answer(b"served"))
            assert client.message()[2] == b"served"


def test_a_keyed_retry_connected_after_its_repeat_window_is_not_sent(
    tmp_path: Path,
) -> None:
    """The first attempt of a request with an idempotency key may have been executed.

    When its retry's connection is established, the repeat window has expired and backends no
    longer recognise the key. The retry could have a second effect, so nothing is written and the
    client gets a 502.
    """
    keyed = dict(SETTINGS["classes"][0]) | {
        "name": "keyed", "effect": "token", "dedup_scope": "zone",
        "repeat_window": int(REPEAT_WINDOW_S * NS_PER_SECOND),
        "deadline": LONG_MS * 1_000_000, "target": LONG_MS * 1_000_000,
    }  # fmt: skip
    settings = patient_settings(classes=[*SETTINGS["classes"], keyed])
    with listen() as first, FullBacklog() as second, listen() as discovery:
        known = roster(target("s-1", first.getsockname()[1]))
        with node(tmp_path, known, discovery.getsockname()[1], settings=settings) as proxy:
            poll = accept(discovery)
            poll.message()
            client = proxy.connect()
            header = {"Idempotency-Key": KEY}
            client.send(request("/keyed/1", b"x", timeout=LONG_MS, rid="once", **header))
            peer = accept(first)
            peer.message()
            both = roster(target("s-1", 1), target("s-2", second.port), rev=8)
            poll.send(answer(json.dumps(both).encode()))
            accept(discovery).message()  # the next poll: the list has been read
            sent = time.monotonic()
            peer.reset()  # possibly executed; the retry connects to the other backend
            until(second.is_awaited)
            until(lambda: time.monotonic() > sent + REPEAT_WINDOW_S)
            retry = second.open()
            assert client.message()[0] == "HTTP/1.1 502 Bad Gateway"
            assert retry.ends() == b""


@pytest.mark.parametrize(
    ("path", "body"), [("/balance/1", None), ("/credit/1", b"x")], ids=["safe", "unsafe"]
)
def test_bytes_on_an_idle_connection_are_not_taken_for_a_response(
    backend: socket.socket, n: Running, path: str, body: bytes | None
) -> None:
    """A backend writes a part of a response, such as a 408, on an idle connection.

    On this connection the next request would take it as the start of its own response. So that
    request is sent on a new connection, and nothing is written on the old one.
    """
    client = n.connect()
    client.send(request(path, body, rid="first"))
    idle = accept(backend)
    idle.message()
    idle.send(answer(b"served"))
    assert client.message()[2] == b"served"
    idle.send(b"HTTP/1.1 408 Requ")
    client.send(request(path, body, rid="second"))
    peer = accept(backend)
    assert peer.message()[1]["x-request-id"] == "second"
    peer.send(answer(b"once"))
    assert client.message()[2] == b"once"
    assert idle.ends() == b""


def test_signals_during_a_stop_do_not_affect_an_open_request(
    tmp_path: Path, backend: socket.socket, n: Running
) -> None:
    """SIGHUP and a second SIGTERM arrive while the stopping node waits for its last response."""
    with listen() as moved:
        client = n.connect()
        client.send(request("/credit/1", b"once", rid="open"))
        peer = accept(backend)
        peer.message()
        n.process.send_signal(signal.SIGTERM)
        n.says("stopping")
        raw = json.loads((tmp_path / "config.json").read_text())
        raw["discovery"] = f"127.0.0.1:{moved.getsockname()[1]}"
        replace_config(tmp_path, json.dumps(raw))
        n.process.send_signal(signal.SIGHUP)
        n.says("reloaded")
        n.process.send_signal(signal.SIGTERM)
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"
        client.close()
        assert n.process.wait(LIMIT) == 0

"""The basic function of a node process, over loopback sockets."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.config.node import ConfigError, load
from tests.harness import (
    SETTINGS,
    Running,
    accept,
    answer,
    config,
    launch,
    listen,
    node,
    request,
    roster,
    target,
)


def test_a_request_is_forwarded_unchanged_and_connections_are_reused(
    proxy: Running, backend: socket.socket
) -> None:
    client = proxy.connect()
    client.send(request("/credit/7f3a?x=%20y", b"body", Idempotency_Key="k1", X_Cost="12"))
    peer = accept(backend)
    first, headers, body = peer.message()
    assert first == "POST /credit/7f3a?x=%20y HTTP/1.1"
    assert headers["x-request-id"] == "9b1f03aa5c7e2d41"
    assert headers["idempotency-key"] == "k1"
    assert 0 < int(headers["x-timeout-ms"]) <= 1500
    assert body == b"body"
    peer.send(answer(b"served", "200 OK", "Content-Type: text/x"))
    line, headers, body = client.message()
    assert (line, body) == ("HTTP/1.1 200 OK", b"served")
    assert headers["content-type"] == "text/x"
    client.send(request())
    assert peer.message()[0] == "GET /balance/7f3a HTTP/1.1"
    peer.send(answer(b"again"))
    assert client.message()[2] == b"again"


def test_a_node_answers_the_readiness_check_and_stops_with_status_0(proxy: Running) -> None:
    client = proxy.connect()
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert client.message()[0] == "HTTP/1.1 200 OK"
    assert proxy.stop() == 0


@pytest.mark.parametrize("servers", [1, 0])
def test_a_node_is_ready_after_its_first_usable_list(tmp_path: Path, servers: int) -> None:
    """A node starts without an endpoint list, and its discovery service answers late.

    It is not ready until then, so that clients are sent to other nodes. A complete list
    without servers is usable, as there is no server to wait for.
    """
    with listen() as discovery, listen() as backend:
        port = discovery.getsockname()[1]
        settings = {"registry_mode": "ask"}
        with node(tmp_path, roster(), port, admin="127.0.0.1:0", settings=settings) as proxy:
            poll = accept(discovery)
            poll.message()
            assert not proxy.ready()
            line, _, body = proxy.call("GET /status")
            assert (line[9:12], body) == ("503", b"no list of servers yet\n")
            rows = [target("s-1", backend.getsockname()[1])] * servers
            poll.send(answer(json.dumps(roster(*rows, rev=2)).encode()))
            proxy.says("ready: an endpoint list is in use")
            assert proxy.ready()
            assert proxy.call("GET /status")[2] == b"active\n"
            again = accept(discovery)
            again.message()
            # Its servers are removed. It stays ready: if all nodes failed their readiness checks
            # at once, clients could reach none.
            again.send(answer(json.dumps(roster(rev=3)).encode()))
            accept(discovery).message()
            assert proxy.ready()


def test_a_stop_answers_the_requests_in_flight(proxy: Running, backend: socket.socket) -> None:
    client = proxy.connect()
    client.send(request())
    peer = accept(backend)
    peer.message()
    proxy.process.send_signal(signal.SIGTERM)
    late = proxy.connect()  # the listening socket is still open
    late.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    line, headers, _ = late.message()
    assert (line, headers["connection"]) == ("HTTP/1.1 503 Service Unavailable", "close")
    proxy.process.send_signal(signal.SIGTERM)
    peer.send(answer(b"served"))
    line, headers, body = client.message()
    assert (line, body, headers["connection"]) == ("HTTP/1.1 200 OK", b"served", "close")
    assert proxy.process.wait(20) == 0


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (None, "can't read"),
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"discovery":"127.0.0.1:1"}', "lacks 'settings'"),
        ('{"discovery":"127.0.0.1:1","settings":{}}', "settings lack 'rules'"),
        ("", "config.json is not JSON"),
        ('{"discovery":"127.0.0.1:1","settings":[]}', "settings must be an object"),
        ('{"discovery":"127.0.0.1:1","limits":{"sockets":"many"}}', "limits.sockets must be a"),
        ('{"discovery":"127.0.0.1:1","settings":{"classes":[7]}}', "settings.classes[0] must be"),
        (
            '{"discovery":"127.0.0.1:1","settings":{"classes":[{"deadline":true}]}}',
            "settings.classes[0].deadline must be a number",
        ),
        ('{"discovery":"127.0.0.1:1","settings":{"rules":{"cold":1e999}}}', "settings.rules.cold"),
    ],
)
def test_an_unusable_configuration_is_reported_in_one_line_with_status_2(
    tmp_path: Path, text: str | None, fault: str
) -> None:
    environ = config(tmp_path, roster(), 1)
    if text is None:
        environ["PROXY_CONFIG"] += ".missing"
    else:
        Path(environ["PROXY_CONFIG"]).write_text(text)
    process = launch(environ)
    try:
        _, err = process.communicate(timeout=20)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    assert process.returncode == 2
    assert fault in err
    assert len(err.splitlines()) == 1
    assert "config.json" in err  # the line names the file


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"classes": [SETTINGS["classes"][0] | {"deadline": 0}]}, "a deadline above 0"),
        ({"limits": SETTINGS["limits"] | {"max_attempts": 0}}, "limits.max_attempts"),
        ({"rules": SETTINGS["rules"] | {"drain_grace": -1}}, "drain_grace"),
    ],
)
def test_settings_out_of_range_are_refused_at_the_start(
    tmp_path: Path, change: dict[str, Any], says: str
) -> None:
    environ = config(tmp_path, roster(), 1, settings=change)
    with pytest.raises(ConfigError, match=says):
        load(environ)


def test_a_null_in_the_settings_means_absent(tmp_path: Path) -> None:
    nulls = {"rules": SETTINGS["rules"] | {"grace_to_answer": None}, "realms": None, "goal": None}
    with_nulls = load(config(tmp_path, roster(), 1, settings=nulls, peers=None, limits=None))
    absent = {"rules": {k: v for k, v in SETTINGS["rules"].items() if k != "grace_to_answer"}}
    assert with_nulls.settings == load(config(tmp_path, roster(), 1, settings=absent)).settings


def test_a_node_stops_with_status_0_after_its_logs_reader_has_ended(proxy: Running) -> None:
    """Without a reader, each write to the pipe of the log raises an error."""
    assert proxy.process.stderr is not None
    proxy.process.stderr.close()
    assert proxy.stop() == 0  # a stop writes to the log


def test_a_node_without_a_routes_file_does_not_load_its_parser(tmp_path: Path) -> None:
    """A feature that is not configured must cost no memory and no time at the start."""
    with node(tmp_path, roster()) as proxy:
        maps = Path(f"/proc/{proxy.process.pid}/maps").read_text()
        assert "tree_sitter" not in maps

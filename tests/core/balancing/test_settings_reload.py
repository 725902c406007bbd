"""Tests of reloaded settings: open requests keep their rules, invalid files change nothing."""

from __future__ import annotations

import copy
import itertools
import json
import select
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from tests.harness import LIMIT, Peer, accept, answer, listen, node, request, roster, target
from tests.proxy.test_reload import replace_config


def changed_configuration(tmp_path: Path, change: Any) -> str:
    raw = json.loads((tmp_path / "config.json").read_text())
    raw["settings"] = copy.deepcopy(raw["settings"])
    change(raw)
    return json.dumps(raw)


def serve(backend_or_peer: Any, client: Peer) -> Peer:
    peer = backend_or_peer if isinstance(backend_or_peer, Peer) else accept(backend_or_peer)
    peer.message()
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    return peer


def send_until_forwarded(client: Peer, backend: socket.socket, path: str) -> None:
    """Send requests until one is forwarded: while the only backend rests, they are rejected."""
    for number in itertools.count():
        client.send(request(path, rid=f"f{number}"))
        if backend in select.select([backend, client.sock], [], [], LIMIT)[0]:
            return
        assert client.message()[0] == "HTTP/1.1 503 Service Unavailable"


def test_a_reload_adds_a_class_and_removes_another(tmp_path: Path) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        client = n.connect()
        client.send(request("/fresh/1"))
        assert client.message()[0] == "HTTP/1.1 404 Not Found"
        in_flight = n.connect()
        in_flight.send(request("/credit/7", b"x", rid="held"))
        peer = accept(backend)
        peer.message()

        def add_class(raw: dict[str, Any]) -> None:
            classes = raw["settings"]["classes"]
            raw["settings"]["classes"] = [classes[0] | {"name": "fresh"}, classes[0]]

        replace_config(tmp_path, changed_configuration(tmp_path, add_class))
        n.process.send_signal(signal.SIGHUP)
        n.says("new settings: classes fresh, balance")
        peer.reset()  # it may have executed: by the rules of its admission it is not resent
        assert in_flight.message()[0] == "HTTP/1.1 502 Bad Gateway"
        client = n.connect()
        send_until_forwarded(client, backend, "/fresh/1")
        peer = serve(backend, client)
        client.send(request("/balance/1", rid="b"))
        serve(peer, client)
        assert n.stop() == 0


def remove_key(*path: Any) -> Any:
    def change(raw: Any) -> None:
        for key in path[:-1]:
            raw = raw[key]
        del raw[path[-1]]

    return change


def set_key(value: Any, *path: Any) -> Any:
    def change(raw: Any) -> None:
        for key in path[:-1]:
            raw = raw[key]
        raw[path[-1]] = value

    return change


# By the text that the log must contain: a change that makes the configuration invalid.
INVALID_CHANGES: dict[str, Any] = {
    "name": remove_key("name"),
    "limits": remove_key("limits"),
    "lacks 'settings'": remove_key("settings"),
    "settings.rules.cold": remove_key("settings", "rules", "cold"),
    "settings.limits.max_attempts": remove_key("settings", "limits", "max_attempts"),
    "lack 'deadline'": remove_key("settings", "classes", 1, "deadline"),
    "settings.classes.credit": remove_key("settings", "classes", 1, "credit"),
    "lack 'effect'": remove_key("settings", "classes", 0, "effect"),
    "'balance' needs": set_key(0, "settings", "classes", 0, "deadline"),
    "'credit' needs": set_key(-5, "settings", "classes", 1, "target"),
    "max_attempts must": set_key(0, "settings", "limits", "max_attempts"),
    "stands twice": set_key("credit", "settings", "classes", 0, "name"),
    "unusable value": set_key("soon", "settings", "classes", 0, "deadline"),
    "drain_grace": set_key(-1, "settings", "rules", "drain_grace"),
    "settings.realms": set_key([{"name": "a"}], "settings", "realms"),
    "at least one": set_key([], "settings", "classes"),
    "no host:port": set_key("nowhere", "discovery"),
}


@pytest.mark.parametrize("expected_text", INVALID_CHANGES)
def test_an_invalid_file_is_logged_and_changes_nothing(tmp_path: Path, expected_text: str) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        replace_config(tmp_path, changed_configuration(tmp_path, INVALID_CHANGES[expected_text]))
        n.process.send_signal(signal.SIGHUP)
        n.says(expected_text)
        client = n.connect()
        client.send(request())
        peer = serve(backend, client)
        client.send(request("/credit/1", b"x", rid="c"))
        serve(peer, client)
        assert n.stop() == 0


def test_empty_and_truncated_files_change_nothing(tmp_path: Path) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        complete = (tmp_path / "config.json").read_text()
        for text in ("", complete[: len(complete) // 2], "\0", "null"):
            replace_config(tmp_path, text)
            n.process.send_signal(signal.SIGHUP)
            n.says("going on as before")
        replace_config(tmp_path, complete)
        n.process.send_signal(signal.SIGHUP)
        n.says("reloaded the configuration")
        client = n.connect()
        client.send(request())
        serve(backend, client)
        assert n.stop() == 0


def test_of_an_absolute_target_the_path_is_used(tmp_path: Path) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        client = n.connect()
        client.send(request().replace(b"GET /", b"GET http://app.svc/"))
        peer = accept(backend)
        assert peer.message()[0] == "GET /balance/7f3a HTTP/1.1"
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"

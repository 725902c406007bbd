"""New settings under load: what is open keeps its rules, and a bad file changes nothing."""

from __future__ import annotations

import copy
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.harness import Peer, accept, answer, listen, node, request, roster, target
from tests.proxy.test_reload import replace_config


def changed(tmp_path: Path, change: Any) -> str:
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


def test_a_reload_brings_a_class_and_drops_another(tmp_path: Path) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        client = n.connect()
        client.send(request("/fresh/1"))
        assert client.message()[0] == "HTTP/1.1 404 Not Found"
        in_flight = n.connect()
        in_flight.send(request("/credit/7", b"x", rid="held"))
        peer = accept(backend)
        peer.message()

        def bring(raw: dict[str, Any]) -> None:
            classes = raw["settings"]["classes"]
            raw["settings"]["classes"] = [classes[0] | {"name": "fresh"}, classes[0]]

        replace_config(tmp_path, changed(tmp_path, bring))
        n.process.send_signal(signal.SIGHUP)
        n.says("new settings: classes fresh, balance")
        peer.reset()  # may have run: by the rules of its admission it is not sent again
        assert in_flight.message()[0] == "HTTP/1.1 502 Bad Gateway"
        client = n.connect()
        client.send(request("/fresh/1", rid="f"))
        peer = serve(backend, client)
        client.send(request("/balance/1", rid="b"))
        serve(peer, client)
        assert n.stop() == 0


# ---- the real program -----------------------------------------------------


def drop(*path: Any) -> Any:
    def change(raw: Any) -> None:
        for key in path[:-1]:
            raw = raw[key]
        del raw[path[-1]]

    return change


def put(value: Any, *path: Any) -> Any:
    def change(raw: Any) -> None:
        for key in path[:-1]:
            raw = raw[key]
        raw[path[-1]] = value

    return change


BAD: dict[str, Any] = {
    "name": drop("name"),
    "limits": drop("limits"),
    "lacks 'settings'": drop("settings"),
    "settings.rules.cold": drop("settings", "rules", "cold"),
    "settings.limits.max_attempts": drop("settings", "limits", "max_attempts"),
    "lack 'deadline'": drop("settings", "classes", 1, "deadline"),
    "settings.classes.credit": drop("settings", "classes", 1, "credit"),
    "lack 'effect'": drop("settings", "classes", 0, "effect"),
    "'balance' needs": put(0, "settings", "classes", 0, "deadline"),
    "'credit' needs": put(-5, "settings", "classes", 1, "target"),
    "max_attempts must": put(0, "settings", "limits", "max_attempts"),
    "stands twice": put("credit", "settings", "classes", 0, "name"),
    "unusable value": put("soon", "settings", "classes", 0, "deadline"),
    "drain_grace": put(-1, "settings", "rules", "drain_grace"),
    "settings.realms": put([{"name": "a"}], "settings", "realms"),
    "at least one": put([], "settings", "classes"),
    "no host:port": put("nowhere", "discovery"),
}


@pytest.mark.parametrize("fault", BAD)
def test_a_file_with_a_fault_is_one_line_and_changes_nothing(tmp_path: Path, fault: str) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        replace_config(tmp_path, changed(tmp_path, BAD[fault]))
        n.process.send_signal(signal.SIGHUP)
        n.says(fault)
        client = n.connect()
        client.send(request())
        peer = serve(backend, client)
        client.send(request("/credit/1", b"x", rid="c"))
        serve(peer, client)
        assert n.stop() == 0


def test_files_that_are_empty_or_cut_off_change_nothing(tmp_path: Path) -> None:
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


def test_an_absolute_target_is_taken_for_its_path(tmp_path: Path) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        client = n.connect()
        client.send(request().replace(b"GET /", b"GET http://app.svc/"))
        peer = accept(backend)
        assert peer.message()[0] == "GET /balance/7f3a HTTP/1.1"
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"

"""SIGHUP takes over a replaced configuration, and nothing else changes."""

from __future__ import annotations

import json
import signal
import socket
from dataclasses import replace
from pathlib import Path

import pytest

from loadbalancer.config.routes_file import check_file
from loadbalancer.core import Settings
from loadbalancer.core.routes.file import Result
from loadbalancer.proxy.host import Node
from loadbalancer.proxy.reload import apply_configuration
from tests.harness import Running, accept, answer, listen, node, request, roster, served_by, target
from tests.proxy.routed_node import routes_text


def replace_config(tmp_path: Path, text: str) -> None:
    """Replace the node's configuration by this text, as one step."""
    new = tmp_path / "new.json"
    new.write_text(text)
    new.rename(tmp_path / "config.json")


def test_a_reload_moves_to_the_discovery_that_the_file_names(tmp_path: Path) -> None:
    """PROXY_DISCOVERY still names the old one; the first list of the new one is used at once."""
    with listen() as first, listen() as second, listen() as backend:
        old, new, serves = (s.getsockname()[1] for s in (first, second, backend))
        removed = target("s-1", 1)
        with node(tmp_path, roster(removed, rev=41), old) as n:
            watch = accept(first)
            assert "from=41" in watch.message()[0]
            text = json.loads((tmp_path / "config.json").read_text())
            text["discovery"] = f"127.0.0.1:{new}"
            replace_config(tmp_path, json.dumps(text))
            n.process.send_signal(signal.SIGHUP)
            poll = accept(second)
            assert poll.message()[0] == "GET /registry/instances HTTP/1.1"
            assert watch.ends() == b""  # the old one is polled no more
            body = json.dumps(roster(target("s-2", serves), rev=3)).encode()
            poll.send(answer(body))
            assert "from=3" in accept(second).message()[0]
            served_by(n, backend)
            assert n.stop() == 0


@pytest.mark.parametrize("text", ["{", "[]", '{"discovery": "nowhere"}', '{"settings": {}}'])
def test_a_reload_of_an_unusable_file_changes_nothing(
    tmp_path: Path, n: Running, backend: socket.socket, text: str
) -> None:
    """An operator replaces the file by one with a fault while a request is in flight."""
    client = n.connect()
    client.send(request())
    peer = accept(backend)
    peer.message()
    replace_config(tmp_path, text)
    n.process.send_signal(signal.SIGHUP)
    n.says("going on as before")
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    client.send(request())
    peer.message()
    peer.send(answer(b"again"))
    assert client.message()[2] == b"again"
    assert n.stop() == 0


def test_a_routes_file_that_changes_while_it_is_read_is_used_as_it_was_read_first(
    tmp_path: Path, host: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator's editor writes a routes file again within the reload that reads it.

    It was read twice, to be checked and to be used. The second read found a fault when the new
    settings were in force, and the node went on with new settings and old routes.
    """
    path = tmp_path / "routes.toml"
    path.write_text(routes_text())
    reads: list[str] = []

    def check_and_overwrite(read_path: str, settings: Settings) -> Result:
        reads.append(read_path)
        result = check_file(read_path, settings)
        path.write_text("version = 1\nfaulty = 1\n")
        return result

    monkeypatch.setattr("loadbalancer.proxy.routing.check_file", check_and_overwrite)
    new = replace(host.config, routes=str(path), settings=replace(host.config.settings, tick=7))
    apply_configuration(host, new)
    assert reads == [str(path)]
    assert host.config is new
    assert host.routing is not None
    assert host.routing.table.services

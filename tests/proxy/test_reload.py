"""SIGHUP takes over a replaced configuration, and nothing else changes."""

from __future__ import annotations

import json
import logging
import signal
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any, cast
from unittest import mock

import pytest

from loadbalancer.config.node import Config
from loadbalancer.config.routes_file import check_file
from loadbalancer.core import Settings
from loadbalancer.core.routes.file import Result
from loadbalancer.proxy.host import Node
from loadbalancer.proxy.process import Process
from loadbalancer.proxy.reload import apply_configuration
from tests.harness import Running, accept, answer, listen, node, request, roster, served_by, target
from tests.proxy.host_fakes import Balancer, raise_fault
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


def bare_process(node: Node, monkeypatch: pytest.MonkeyPatch, config: Config) -> Process:
    """A process that was not started, whose file holds this configuration from now on."""
    made: Any = object.__new__(Process)
    made.node = node
    made.config = node.config
    made._successor = made._predecessor = None
    node.discovery = mock.Mock()
    monkeypatch.setattr("loadbalancer.proxy.process.reload", lambda _environ, _config: config)
    return cast(Process, made)


def test_settings_on_which_the_balancer_raised_are_applied_by_the_next_reload(
    host: Node,
    balancer: Balancer,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The Balancer raises as it takes new settings over, and the operator sends SIGHUP again.

    The node had the new configuration already. So the second reload found nothing changed,
    logged that it had reloaded, and the settings were never applied; of the first one no line
    of the log said that it had failed.
    """
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(logging.getLogger("loadbalancer"), "propagate", True)
    old = host.config
    new = replace(old, settings=replace(old.settings, tick=old.settings.tick + 1))
    process = bare_process(host, monkeypatch, new)
    balancer.acts = raise_fault
    process.reload()
    assert (process.config, host.config) == (old, old)
    assert any(line.startswith("reload: ") for line in caplog.messages)
    assert "reloaded the configuration" not in caplog.messages
    process.reload()
    assert [event[2] for event in balancer.events] == [new.settings, new.settings]
    assert (process.config, host.config) == (new, new)


def test_the_former_settings_are_applied_again_after_others_that_raised(
    host: Node, balancer: Balancer
) -> None:
    """The Balancer raises on new settings, and the operator puts the old file back.

    Where the settings of the node's configuration are compared, these are its present ones and
    not applied: what the Balancer had taken over of the new ones before it raised stays in force.
    """
    old = host.config
    new = replace(old, settings=replace(old.settings, tick=old.settings.tick + 1))
    balancer.acts = raise_fault
    with pytest.raises(ZeroDivisionError):
        apply_configuration(host, new)
    apply_configuration(host, old)
    assert [event[2] for event in balancer.events] == [new.settings, old.settings]

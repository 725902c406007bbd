"""A reload by SIGHUP applies a replaced configuration completely, or changes nothing."""

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
    """Replace the node's configuration file by this text atomically."""
    new = tmp_path / "new.json"
    new.write_text(text)
    new.rename(tmp_path / "config.json")


def test_a_reload_switches_to_the_discovery_service_in_the_file(tmp_path: Path) -> None:
    """The file takes precedence over PROXY_DISCOVERY; the first list of the new one is used."""
    with listen() as first, listen() as second, listen() as backend:
        old, new, serves = (s.getsockname()[1] for s in (first, second, backend))
        removed = target("s-1", 1)
        with node(tmp_path, roster(removed, rev=41), old) as proxy:
            watch = accept(first)
            assert "from=41" in watch.message()[0]
            text = json.loads((tmp_path / "config.json").read_text())
            text["discovery"] = f"127.0.0.1:{new}"
            replace_config(tmp_path, json.dumps(text))
            proxy.process.send_signal(signal.SIGHUP)
            poll = accept(second)
            assert poll.message()[0] == "GET /registry/instances HTTP/1.1"
            assert watch.ends() == b""  # the node no longer polls the old one
            body = json.dumps(roster(target("s-2", serves), rev=3)).encode()
            poll.send(answer(body))
            assert "from=3" in accept(second).message()[0]
            served_by(proxy, backend)
            assert proxy.stop() == 0


@pytest.mark.parametrize("text", ["{", "[]", '{"discovery": "nowhere"}', '{"settings": {}}'])
def test_a_reload_of_an_unusable_file_changes_nothing(
    tmp_path: Path, proxy: Running, backend: socket.socket, text: str
) -> None:
    """The file is replaced by an unusable one while a request is in flight."""
    client = proxy.connect()
    client.send(request())
    peer = accept(backend)
    peer.message()
    replace_config(tmp_path, text)
    proxy.process.send_signal(signal.SIGHUP)
    proxy.says("going on as before")
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    client.send(request())
    peer.message()
    peer.send(answer(b"again"))
    assert client.message()[2] == b"again"
    assert proxy.stop() == 0


def test_a_reload_reads_the_routes_file_only_once(
    tmp_path: Path, host: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a routes file that is replaced by an unusable one during the reload.

    The file used to be read twice, to be checked and then to be used. If the second read failed,
    the new settings were already applied, and the node went on with new settings and old routes.
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
    """A process that was not started, whose next reload reads this configuration."""
    made: Any = object.__new__(Process)
    made.node = node
    made.config = node.config
    made._successor = made._predecessor = None
    node.discovery = mock.Mock()
    monkeypatch.setattr("loadbalancer.proxy.process.reload", lambda _environ, _config: config)
    return cast(Process, made)


def test_settings_that_the_balancer_failed_to_apply_are_applied_by_the_next_reload(
    host: Node,
    balancer: Balancer,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against settings that are never applied because the Balancer raised on them once.

    The node already had the new configuration then. The next SIGHUP found no change, logged a
    successful reload, and did not apply the settings. The first failure was not logged.
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


def test_a_reload_of_the_former_settings_applies_them_after_a_failed_one(
    host: Node, balancer: Balancer
) -> None:
    """Guards against partly applied settings when an operator restores the former file.

    The former settings equal those of the node's configuration. If this comparison decided, they
    would not be applied, and the part of the new settings that the Balancer had applied before
    it raised would stay in force.
    """
    old = host.config
    new = replace(old, settings=replace(old.settings, tick=old.settings.tick + 1))
    balancer.acts = raise_fault
    with pytest.raises(ZeroDivisionError):
        apply_configuration(host, new)
    apply_configuration(host, old)
    assert [event[2] for event in balancer.events] == [new.settings, old.settings]

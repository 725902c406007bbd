"""A node's routes file: read at the start, and replaced by a reload."""

from __future__ import annotations

import json
import signal
from pathlib import Path

from tests.harness import (
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
from tests.proxy.routed_node import RETRY_ALL, exchange, routed_node, routes_text
from tests.scripted import Scripted


def test_an_unusable_file_at_the_start_is_reported_in_one_line_with_status_2(
    tmp_path: Path,
) -> None:
    path = tmp_path / "routes.toml"
    path.write_text(routes_text(credit="attempts = 2\natempts = 1"))
    environ = config(tmp_path, roster(), 1) | {"PROXY_ROUTES": str(path)}
    process = launch(environ)
    _, log = process.communicate(timeout=20)
    assert process.returncode == 2
    assert log.count("\n") == 1
    assert f"{path}:9: [never-attempts]" in log
    assert "(faults: 2)" in log


def test_a_file_of_another_kind_is_refused_with_its_first_fault(tmp_path: Path) -> None:
    path = tmp_path / "control.toml"
    path.write_text('version = 1\nlisten = "127.0.0.1:0"\nconfig = "c"\nroutes = "r"\n')
    process = launch(config(tmp_path, roster(), 1) | {"PROXY_ROUTES": str(path)})
    _, log = process.communicate(timeout=20)
    assert process.returncode == 2
    assert log.count("\n") == 1
    assert f"{path}:1: [missing-key]" in log


def reload(proxy: Running, tmp_path: Path, file: str) -> None:
    new = tmp_path / "routes.new"
    new.write_text(file)
    new.rename(tmp_path / "routes.toml")
    proxy.process.send_signal(signal.SIGHUP)


def test_a_reload_replaces_all_routes_and_open_requests_keep_their_policy(tmp_path: Path) -> None:
    """The route of an open request is removed, and the request is still retried by its policy."""
    path = tmp_path / "routes.toml"
    path.write_text(routes_text(f"{RETRY_ALL}\nattempts = 2"))
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, routes=str(path)) as proxy:
            client = proxy.connect()
            client.send(request(rid="r1"))
            peer = accept(backend)
            peer.message()
            changed = routes_text().replace('prefix = "/balance"', 'prefix = "/saldo"')
            reload(proxy, tmp_path, changed)
            proxy.says("reloaded the configuration")
            assert exchange(proxy, "balance", "r2")[0].split(" ")[1] == "403"
            peer.send(answer(b"", "500 Oops"))
            peer.message()  # the retry that its original policy allows
            peer.send(answer(b"served"))
            assert client.message()[2] == b"served"


def test_a_reload_of_an_unusable_file_logs_its_fault_and_changes_nothing(tmp_path: Path) -> None:
    with routed_node(tmp_path, routes_text()) as (proxy, backend):
        bad = routes_text(balance='attempts = "3"\nwanted = 5', more="x = 1")
        reload(proxy, tmp_path, bad)
        proxy.says("[wrong-type]")
        assert exchange(proxy, "balance")[1] == b"served"
        assert exchange(proxy, "balance", "r2", Host="none.org")[0].split(" ")[1] == "404"
        reload(proxy, tmp_path, routes_text().replace("app.svc", "new.svc"))
        proxy.says("reloaded the configuration")
        assert exchange(proxy, "balance", "r3", Host="new.svc")[1] == b"served"
        assert exchange(proxy, "balance", "r4")[0].split(" ")[1] == "404"
        assert backend.received == {"r1": 1, "r3": 1}


def test_a_reload_adds_and_removes_the_routes_file(tmp_path: Path) -> None:
    backend = Scripted()
    (tmp_path / "routes.toml").write_text(routes_text())
    try:
        with node(tmp_path, roster(target("s-1", backend.port))) as proxy:
            assert exchange(proxy, "balance", "r1", Host="none.org")[1] == b"served"
            plain = json.loads((tmp_path / "config.json").read_text())
            for routes, status in ((str(tmp_path / "routes.toml"), "404"), ("", "200")):
                new = tmp_path / "new.json"
                new.write_text(json.dumps(plain | {"routes": routes}))
                new.rename(tmp_path / "config.json")
                proxy.process.send_signal(signal.SIGHUP)
                proxy.says("reloaded the configuration")
                line, _ = exchange(proxy, "balance", f"x{status}", Host="none.org")
                assert line.split(" ")[1] == status
    finally:
        backend.close()

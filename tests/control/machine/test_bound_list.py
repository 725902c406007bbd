"""Tests of a bound listener, which serves the list of one service, over real sockets."""

from __future__ import annotations

import json
from pathlib import Path

from benchmarks.scale.fleet import call
from loadbalancer.config.address import Address
from loadbalancer.control.machine.version import MAX_VERSION
from tests.control_machines import Machines, rows
from tests.harness import config, listen, served_by, started, target, until


def test_a_plain_node_gets_the_backends_of_one_service(region: Machines, tmp_path: Path) -> None:
    server = listen()
    row = target("c1", server.getsockname()[1])
    region.change({"service": "cart", "rows": [row]}, {"service": "pay", "rows": rows("p9")})
    port = region.file.bound_listeners[0].listen.port
    environ = config(tmp_path, {"rev": 0, "all": True, "targets": []}, port)
    with started(environ | {"PROXY_DISCOVERY": f"127.0.0.1:{port}"}) as node:
        until(node.ready)
        served_by(node, server)
        # A drain and a new server reach the node as changes.
        other = listen()
        region.change(
            {"service": "cart", "rows": [row | {"state": "leaving"}]},
            {"service": "cart", "rows": [target("c2", other.getsockname()[1])], "removed": ["c1"]},
        )
        status, body = call(Address("127.0.0.1", port), "GET", "/registry/instances?from=0")
        assert status == 200
        assert [one["uid"] for one in json.loads(body)["targets"]] == ["c2"]
        served_by(node, other)


def test_a_bound_list_sends_deltas_and_refuses_a_node_ahead_of_its_log(region: Machines) -> None:
    (answer,) = region.change({"service": "cart", "rows": rows("c5")})
    since = answer["version"]
    address = region.file.bound_listeners[0].listen
    until(lambda: region.status("east-a")["logs"]["east"]["version"] >= since)
    region.change({"service": "cart", "rows": rows("c6"), "removed": ["c5"]})
    path = f"/registry/instances?from={since}&hold_ms=5000"
    status, body = call(address, "GET", path)
    found = json.loads(body)
    assert status == 200
    assert found["all"] is False
    assert found["rev"] > since
    assert {row["uid"]: row["state"] for row in found["targets"]} == {"c5": "left", "c6": "active"}
    assert call(address, "GET", f"/registry/instances?from={found['rev'] + 1}")[0] == 503
    assert call(address, "GET", f"/registry/instances?from={MAX_VERSION + 1}")[0] == 400

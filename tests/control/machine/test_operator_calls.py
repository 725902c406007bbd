"""Tests of operators' calls to a control machine."""

from __future__ import annotations

import json
from typing import Any
from unittest import mock

import pytest

from benchmarks.scale.fleet import call
from loadbalancer.control.machine.operator_calls import OperatorConnection, OperatorHost
from tests.control_machines import Machines, rows


def test_get_log_returns_the_changes_after_a_version(region: Machines) -> None:
    (first,) = region.change({"service": "pay", "rows": rows("l1")})
    (second,) = region.change({"service": "pay", "removed": ["l1"]})
    path = f"/log?region=east&from={first['version']}"
    status, body = call(region.address(region.leader()), "GET", path)
    (change,) = json.loads(body)["changes"]
    assert status == 200
    assert change["version"] == second["version"]
    assert change["removed"] == ["l1"]
    status, body = call(region.address(region.leader()), "GET", "/log?region=moon&from=0")
    assert status == 400
    assert b"[unknown-region]" in body


@pytest.mark.parametrize("is_lost", [False, True])
def test_a_call_is_answered_once_and_only_on_an_open_connection(is_lost: bool) -> None:
    """Changes are committed or time out after the operator has disconnected, or both happen."""
    machine: Any = mock.Mock()
    host = OperatorHost(machine, 1 << 20)
    connection = OperatorConnection(host)
    with mock.patch.object(connection, "reply") as reply:
        host.submit(connection, b"[]")
        assert host.is_waiting(connection)
        if is_lost:
            host.cancel(connection)
        ((_, answer), _) = machine.submit.call_args
        answer(200, b"")
        answer(504, b"")
        assert reply.call_args_list == ([] if is_lost else [mock.call(200, b"")])
    assert not host.is_waiting(connection)

"""Operators' calls to a control machine."""

from __future__ import annotations

import json

from benchmarks.scale.fleet import call
from tests.control_machines import Machines, rows


def test_the_log_is_given_from_a_version_on(region: Machines) -> None:
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

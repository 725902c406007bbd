"""Tests of GET /status: the keys and the names of roles that operators' tools read."""

from __future__ import annotations

import json

from benchmarks.scale.fleet import call
from loadbalancer.control.machine.status import ROLE_NAMES
from loadbalancer.core.replicated_log.model import Role
from tests.control_machines import Machines

KEYS = {
    "": "machine region role epoch leader needs_load logs machines nodes questions assignment"
    " memory_bytes cpu_seconds counts",
    "nodes": "registered alive here",
    "questions": "connections waiting",
    "assignment": "digest generation pairs moving unmet touched",
    "counts": "questions publisher replica streams machine ignored_grants",
}


def test_status_has_the_documented_keys(region: Machines) -> None:
    status, body = call(region.address("east-a"), "GET", "/status")
    assert status == 200
    found = json.loads(body)
    assert found["machine"] == "east-a"
    assert set(found["logs"]["east"]) == {"version", "position", "changes"}
    for key, names in KEYS.items():
        table = found[key] if key else found
        assert list(table) == names.split()


def test_each_role_has_one_of_the_documented_names() -> None:
    assert set(ROLE_NAMES) == set(Role)
    assert set(ROLE_NAMES.values()) == {"empty", "follower", "candidate", "leader"}

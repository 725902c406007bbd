"""Tests of nodes' polls over real sockets: which are refused, and which are redirected."""

from __future__ import annotations

import json

import pytest

from loadbalancer.control.machine.file import MAX_NAME_LENGTH
from loadbalancer.control.machine.version import MAX_VERSION, version_of
from loadbalancer.core.assignment.model import Position
from tests.control.machine.test_subscriber import assigned_machine
from tests.control_machines import NAMES, Machines


@pytest.mark.parametrize(
    ("query", "message"),
    [
        ("node=nobody&region=east&from=0", "node: [unknown node] no node 'nobody'"),
        ("region=east&from=0", "node: [unknown node] no node ''"),
        ("node=n1&region=moon&from=0", "region: [unknown region] 'moon'"),
        (f"node=n1&region=east&from={MAX_VERSION + 1}", "version: [range]"),
        (f"node=n1&region=east&from={version_of(Position(5, 0))}", "version: [nonsense position]"),
        (f"node=n1&region=east&from={version_of(Position(0, 5))}", "version: [nonsense position]"),
        ("node=n1&region=east&from=-1", "from and hold_ms are whole numbers"),
        ("node=n1&region=east&from=abc", "from and hold_ms are whole numbers"),
        ("node=n1&region=east&from=0&serving=pay&generation=x", "generation: [range]"),
        (f"node=n1&region=east&from=0&held={'a,' * 1025}", "names: [too-many] 1025"),
        (f"node={'x' * (MAX_NAME_LENGTH + 1)}&region=east&from=0", "node: [unknown node]"),
    ],
)
def test_invalid_polls_are_refused_with_one_line_and_counted(
    region: Machines, query: str, message: str
) -> None:
    name = assigned_machine(region, "n1")
    before = region.status(name)
    status, body = region.poll(name, query)
    assert status == 400
    assert body.startswith(message)
    assert "\n" not in body
    after = region.status(name)
    assert after["logs"] == before["logs"]
    assert after["questions"]["waiting"] == 0
    refused = after["counts"]["questions"].get("refused", 0)
    by_parser = message.startswith("from and hold_ms")
    assert refused == before["counts"]["questions"].get("refused", 0) + (not by_parser)


def test_a_node_ahead_of_the_machines_log_is_redirected_without_an_update(
    region: Machines,
) -> None:
    name = assigned_machine(region, "n1")
    epoch, revision = region.status(name)["logs"]["east"]["position"]
    ahead = version_of(Position(epoch, revision + 1))
    status, body = region.poll(name, f"node=n1&region=east&from={ahead}&hold_ms=1")
    answer = json.loads(body)
    assert status == 200
    assert answer["rev"] == ahead
    assert answer["targets"] == []
    assert answer["elsewhere"] in set(NAMES) - {name}
    assert answer["address"] == str(region.address(answer["elsewhere"], "subscribers"))

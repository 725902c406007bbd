"""Changes that operators submit."""

from __future__ import annotations

import json

import pytest

from benchmarks.scale.fleet import call
from tests.control_machines import NAMES, Machines, rows


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b"{", "body: [syntax]"),
        (b"[]", "body: [size]"),
        (b"[1]", "change 0: [syntax]"),
        (b'[{"service": "cat"}]', "change 0: [unknown-service] no service 'cat'"),
        (b'[{"service": "cart", "row": []}]', "change 0: [unknown-key] no key 'row'"),
        (b'[{"service": "cart", "rows": [{}]}]', "change 0: [bad-value] None is no uid"),
        (b'[{"service": "cart", "removed": [1]}]', "change 0: [bad-value] removed holds no uids"),
    ],
)
def test_a_bad_change_is_refused_and_nothing_is_changed(
    region: Machines, body: bytes, expected: str
) -> None:
    """An operator submits changes that can't be used; each is refused whole, in one line."""
    leader = region.leader()
    before = region.status(leader)["logs"]
    status, text = call(region.address(leader), "POST", "/changes", body)
    assert status == 400
    assert text.decode().startswith(expected)
    assert region.status(leader)["logs"] == before


def test_a_machine_that_does_not_lead_names_the_leader(region: Machines) -> None:
    """An operator submits a change to a machine that does not lead; the answer names the leader."""
    leader = region.leader()
    other = next(name for name in NAMES if name != leader)
    body = json.dumps([{"service": "pay", "rows": rows("p1")}]).encode()
    status, text = call(region.address(other), "POST", "/changes", body)
    assert status == 409
    assert json.loads(text) == {"rule": "not leader", "leader": leader}

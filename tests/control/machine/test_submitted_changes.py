"""Tests of the changes that operators submit."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from unittest import mock

import pytest

from benchmarks.scale.fleet import call
from loadbalancer.control.machine import submitted_changes
from loadbalancer.control.machine.submitted_changes import ChangeSubmissions
from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.replicated_log.replication import Proposal, ProposalOutcome
from tests.control_machines import NAMES, Machines, rows


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b"{", "body: [syntax]"),
        (b"[]", "body: [size]"),
        (b"[1]", "change 0: [syntax]"),
        (b'[{"service": "cat"}]', "change 0: [unknown-service] no service 'cat'"),
        (b'[{"service": "cart", "row": []}]', "change 0: [unknown-key] no key 'row'"),
        (b'[{"service": "cart", "rows": [{}]}]', "change 0: [bad-value] None is not a uid"),
        (
            b'[{"service": "cart", "removed": [1]}]',
            "change 0: [bad-value] removed must contain non-empty uids only",
        ),
    ],
)
def test_an_invalid_change_is_refused_and_changes_nothing(
    region: Machines, body: bytes, expected: str
) -> None:
    leader = region.leader()
    before = region.status(leader)["logs"]
    status, text = call(region.address(leader), "POST", "/changes", body)
    assert status == 400
    assert text.decode().startswith(expected)
    assert region.status(leader)["logs"] == before


def test_a_machine_that_does_not_lead_names_the_leader(region: Machines) -> None:
    leader = region.leader()
    other = next(name for name in NAMES if name != leader)
    body = json.dumps([{"service": "pay", "rows": rows("p1")}]).encode()
    status, text = call(region.address(other), "POST", "/changes", body)
    assert status == 409
    assert json.loads(text) == {"rule": "not leader", "leader": leader}


FIRST, SECOND = Position(1, 1), Position(1, 2)  # of the two changes of a call


@pytest.mark.parametrize(
    ("committed", "status"),
    [
        ([("east", FIRST), ("east", SECOND)], 200),
        ([("east", SECOND), ("east", FIRST), ("east", FIRST)], 200),
        ([("east", FIRST), ("east", FIRST)], 504),  # only one of the two
        ([("east", FIRST), ("west", SECOND)], 504),  # same position in another region's log
        ([("east", FIRST), ("east", Position(2, 2))], 504),  # an entry of the next leader
    ],
)
def test_a_call_is_answered_once_when_its_own_entries_are_committed(
    committed: list[tuple[str, Position]], status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leader may be replaced before its entries are committed, so that other entries get their
    place in the log. An operator who is told that a lost change was committed would not repeat it.
    """
    monkeypatch.setattr(submitted_changes, "COMMIT_TIMEOUT_S", 0.01)
    replica: Any = mock.Mock()
    proposals = [Proposal(ProposalOutcome.PROPOSED, position) for position in (FIRST, SECOND)]
    replica.propose.side_effect = proposals
    answers: list[int] = []

    async def scenario() -> None:
        submissions = ChangeSubmissions(replica, "east", {"cart": "east"})
        body = json.dumps([{"service": "cart", "rows": rows(uid)} for uid in ("u1", "u2")])
        submissions.submit(body.encode(), lambda status, _: answers.append(status))
        for region, position in committed:
            submissions.on_committed(region, Change(position, "cart"))
        await asyncio.sleep(0.05)
        for position in (FIRST, SECOND):  # late
            submissions.on_committed("east", Change(position, "cart"))
        assert not submissions._pending

    asyncio.run(scenario())
    assert answers == [status]

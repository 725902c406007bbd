"""The follower and AppendEntries that are late, duplicated, reordered, or of another leader."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import START, Change, Position
from loadbalancer.core.replicated_log.messages import AppendEntries, AppendEntriesResponse
from loadbalancer.core.replicated_log.model import Role
from loadbalancer.core.replicated_log.state import Outbox
from tests.core.replicated_log.members import (
    COMMITTED,
    GROUP,
    NOW,
    TERM,
    heartbeat,
    leader,
    member_of_five,
)

SECOND_ENTRY, THIRD_ENTRY = (Change(Position(TERM, index), "a") for index in (2, 3))
OTHER_ENTRY = Change(Position(TERM + 1, 2), "b")  # of the next leader; conflicts with both


def append(
    prev_log: Position, *entries: Change, commit: int = 1, term: int = TERM
) -> AppendEntries:
    return AppendEntries("east", term, START, prev_log, entries, commit)


BOTH = append(COMMITTED, SECOND_ENTRY, THIRD_ENTRY)
FIRST_OF_BOTH = append(COMMITTED, SECOND_ENTRY)
SECOND_OF_BOTH = append(SECOND_ENTRY.position, THIRD_ENTRY)
BOTH_COMMITTED = append(COMMITTED, SECOND_ENTRY, THIRD_ENTRY, commit=3)
LAST = THIRD_ENTRY.position


@pytest.mark.parametrize(
    ("messages", "last", "commit_index", "answers"),
    [
        ([FIRST_OF_BOTH, SECOND_OF_BOTH], LAST, 1, [(True, 2), (True, 3)]),
        ([BOTH, BOTH], LAST, 1, [(True, 3), (True, 3)]),  # duplicate
        ([BOTH, FIRST_OF_BOTH], LAST, 1, [(True, 3), (True, 2)]),  # late
        (
            [SECOND_OF_BOTH, FIRST_OF_BOTH, SECOND_OF_BOTH],
            LAST,
            1,
            [(False, 1), (True, 2), (True, 3)],
        ),  # reordered
        ([BOTH_COMMITTED, FIRST_OF_BOTH], LAST, 3, [(True, 3), (True, 3)]),
        ([BOTH_COMMITTED, append(COMMITTED)], LAST, 3, [(True, 3), (True, 3)]),
        # The new leader's commit index arrives before its entries; those here are another leader's.
        ([BOTH, append(COMMITTED, commit=3, term=4)], LAST, 1, [(True, 3), (True, 1)]),
        (
            [BOTH, append(COMMITTED, OTHER_ENTRY, commit=2, term=4)],
            OTHER_ENTRY.position,
            2,
            [(True, 3), (True, 2)],
        ),
        ([BOTH, append(Position(4, 3), term=4)], LAST, 1, [(True, 3), (False, 1)]),
        ([BOTH, append(Position(4, 9), term=4)], LAST, 1, [(True, 3), (False, 3)]),
        (
            [
                append(COMMITTED, OTHER_ENTRY, commit=2, term=4),
                BOTH_COMMITTED,
            ],  # of a former leader
            OTHER_ENTRY.position,
            2,
            [(True, 2), (False, 2)],
        ),
    ],
)
def test_entries_in_any_order_result_in_the_log_of_the_last_leader(
    messages: list[AppendEntries],
    last: Position,
    commit_index: int,
    answers: list[tuple[bool, int]],  # success and match index
) -> None:
    """Entries are duplicated, late, reordered, or from a former leader.

    If a late message removed entries that the follower has acknowledged, committed entries could be
    lost. If a message committed entries that do not match its leader's log, members would commit
    different entries.
    """
    outbox: Outbox = []
    member = member_of_five(outbox)
    for message in messages:
        member.on_message(NOW, GROUP[1], message)
    assert member.log.last == last
    assert member.log.commit_index == commit_index
    responses = [sent.message for sent in outbox]
    assert [
        (response.success, response.match_index)
        for response in responses
        if isinstance(response, AppendEntriesResponse)
    ] == answers


def test_a_leader_ignores_entries_of_its_own_term() -> None:
    """Another member sends entries as the leader of the same term, which is a protocol error."""
    outbox: Outbox = []
    member = leader(outbox)
    member.on_message(NOW, GROUP[1], heartbeat())
    assert member.role is Role.LEADER
    assert member.leader == GROUP[0]
    assert member.counts["nonsense epochs"] == 1
    assert not outbox

"""The leader and followers' responses that are late, duplicated, or from before a restart."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.replicated_log import leader as leader_module
from loadbalancer.core.replicated_log.messages import AppendEntries, AppendEntriesResponse
from loadbalancer.core.replicated_log.state import Outbox
from tests.core.replicated_log.members import COMMITTED, GROUP, NOW, TERM, answer, leader

Answers = list[tuple[int, AppendEntriesResponse]]  # the sender's number and its response
PROPOSED = 3  # index of the change that is proposed to the leader


@pytest.mark.parametrize(
    ("received", "committed"),
    [
        ([(1, answer(PROPOSED)), (2, answer(PROPOSED))], PROPOSED),
        ([(1, answer(PROPOSED)), (2, answer(2))], 2),
        ([(1, answer(PROPOSED)), (1, answer(PROPOSED)), (1, answer(PROPOSED))], 1),  # duplicates
        ([(1, answer(PROPOSED)), (1, answer(2)), (2, answer(PROPOSED))], PROPOSED),  # out of order
        ([(1, answer(PROPOSED)), (1, answer(1, success=False)), (2, answer(PROPOSED))], PROPOSED),
        (
            [(1, answer(PROPOSED, TERM - 1)), (2, answer(PROPOSED, TERM - 1))],
            1,
        ),  # of an earlier term
        (
            [(1, answer(PROPOSED, voting=False)), (2, answer(PROPOSED))],
            1,
        ),  # from a restarted follower
        ([(1, answer(PROPOSED)), (1, answer(1, voting=False)), (2, answer(PROPOSED))], 1),
        ([(1, answer(PROPOSED, success=False)), (2, answer(PROPOSED, success=False))], 1),
        ([(1, answer(99)), (2, answer(99)), (3, answer(99))], 1),  # beyond the log
    ],
)
def test_an_entry_is_committed_only_by_current_responses_of_a_majority(
    received: Answers, committed: int
) -> None:
    """Responses are duplicated, out of order, of an earlier term, or from restarted followers.

    If they counted, the leader would commit an entry that no majority has, and the next leader
    might not have it.
    """
    member = leader()
    member.propose(Change(START, "a", (Row("u", "x"),)))
    for number, message in received:
        member.on_message(NOW, GROUP[number], message)
    assert member.log.commit_index == committed


def test_a_late_response_does_not_cause_entries_to_be_sent_again() -> None:
    """A follower acknowledges all entries. Its earlier response and rejection arrive after that."""
    outbox: Outbox = []
    member = leader(outbox)
    member.propose(Change(START, "a", (Row("u", "x"),)))
    member.on_message(NOW, GROUP[1], answer(PROPOSED))
    outbox.clear()
    member.on_message(NOW, GROUP[1], answer(COMMITTED.revision))
    assert not outbox
    member.on_message(NOW, GROUP[1], answer(0, success=False))
    ((recipient, message),) = outbox
    assert recipient == GROUP[1]
    assert isinstance(message, AppendEntries)
    assert message.prev_log == Position(TERM, PROPOSED)
    assert not message.entries


def test_a_late_response_does_not_block_new_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    """A follower acknowledges all entries; an earlier response of it arrives after that.

    If that were taken as the latest one, the limit on entries in flight would remain reached, and
    no more entries would be sent.
    """
    monkeypatch.setattr(leader_module, "MAX_ENTRIES_IN_FLIGHT", 1)
    outbox: Outbox = []
    member = leader(outbox)
    for index in (2, COMMITTED.revision):
        member.on_message(NOW, GROUP[1], answer(index))
    outbox.clear()
    member.propose(Change(START, "a", (Row("u", "x"),)))
    messages = [sent.message for sent in outbox if sent.recipient == GROUP[1]]
    assert [len(item.entries) for item in messages if isinstance(item, AppendEntries)] == [1]


def test_a_rejection_with_an_index_beyond_the_log_is_probed_at_the_end_of_the_log() -> None:
    """A follower returns an index that the leader's log does not have.

    This happens after all members have restarted.
    """
    outbox: Outbox = []
    member = leader(outbox)
    member.on_message(NOW, GROUP[1], answer(99, success=False))
    ((_, message),) = outbox
    assert isinstance(message, AppendEntries)
    assert message.prev_log == member.log.last
    assert not message.needs_snapshot


def test_many_late_rejections_cause_one_probe() -> None:
    """Ten duplicates of a rejection arrive at once.

    If each caused a message, the number of messages would grow with each round trip.
    """
    outbox: Outbox = []
    member = leader(outbox)
    for _ in range(10):
        member.on_message(NOW, GROUP[1], answer(COMMITTED.revision, success=False))
    assert [sent.recipient for sent in outbox] == [GROUP[1]]


def test_a_response_of_a_later_term_makes_the_leader_step_down() -> None:
    """A follower has entered a later term. A response of an earlier term has no effect."""
    member = leader()
    member.on_message(NOW, GROUP[1], answer(2, TERM - 1))
    assert member.current_term == TERM
    assert member.leader == GROUP[0]
    member.on_message(NOW, GROUP[1], answer(2, TERM + 1, success=False))
    assert member.current_term == TERM + 1
    assert member.leader == ""

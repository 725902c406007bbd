"""Followers' answers that come late, twice, or from before a restart."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.replicated_log import leader as leader_module
from loadbalancer.core.replicated_log.messages import AppendEntries, AppendEntriesResponse
from loadbalancer.core.replicated_log.state import Outbox
from tests.core.replicated_log.members import COMMITTED, GROUP, NOW, TERM, answer, leader

Answers = list[tuple[int, AppendEntriesResponse]]  # the sender's number, the answer
OWN = 3  # index of the change that the leader proposes


@pytest.mark.parametrize(
    ("received", "committed"),
    [
        ([(1, answer(OWN)), (2, answer(OWN))], OWN),
        ([(1, answer(OWN)), (2, answer(2))], 2),
        ([(1, answer(OWN)), (1, answer(OWN)), (1, answer(OWN))], 1),  # twice
        ([(1, answer(OWN)), (1, answer(2)), (2, answer(OWN))], OWN),  # out of order
        ([(1, answer(OWN)), (1, answer(1, success=False)), (2, answer(OWN))], OWN),
        ([(1, answer(OWN, TERM - 1)), (2, answer(OWN, TERM - 1))], 1),  # of an earlier term
        ([(1, answer(OWN, voting=False)), (2, answer(OWN))], 1),  # restarted
        ([(1, answer(OWN)), (1, answer(1, voting=False)), (2, answer(OWN))], 1),
        ([(1, answer(OWN, success=False)), (2, answer(OWN, success=False))], 1),
        ([(1, answer(99)), (2, answer(99)), (3, answer(99))], 1),  # beyond the log
    ],
)
def test_an_entry_is_committed_only_by_present_answers_of_a_majority(
    received: Answers, committed: int
) -> None:
    """Answers come twice, out of order, from an earlier term, or from followers that have lost
    their logs since. Counted, they would commit an entry that no majority has, which the next
    leader may lack.
    """
    member = leader()
    member.propose(Change(START, "a", (Row("u", "x"),)))
    for number, message in received:
        member.on_message(NOW, GROUP[number], message)
    assert member.log.commit_index == committed


def test_a_late_answer_sends_nothing_again_that_the_follower_has() -> None:
    """A follower has answered that it has all entries. Its earlier answer, and then its earlier
    rejection, come after that.
    """
    outbox: Outbox = []
    member = leader(outbox)
    member.propose(Change(START, "a", (Row("u", "x"),)))
    member.on_message(NOW, GROUP[1], answer(OWN))
    outbox.clear()
    member.on_message(NOW, GROUP[1], answer(COMMITTED.revision))
    assert not outbox
    member.on_message(NOW, GROUP[1], answer(0, success=False))
    ((recipient, message),) = outbox
    assert recipient == GROUP[1]
    assert isinstance(message, AppendEntries)
    assert message.prev_log == Position(TERM, OWN)
    assert not message.entries


def test_a_late_answer_does_not_hold_back_new_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    """A follower has answered all; an earlier answer of it comes after that. Counted as the last
    one, it would leave the bound on unanswered entries reached, and nothing more would be sent.
    """
    monkeypatch.setattr(leader_module, "MAX_ENTRIES_IN_FLIGHT", 1)
    outbox: Outbox = []
    member = leader(outbox)
    for index in (2, COMMITTED.revision):
        member.on_message(NOW, GROUP[1], answer(index))
    outbox.clear()
    member.propose(Change(START, "a", (Row("u", "x"),)))
    sent = [one.message for one in outbox if one.recipient == GROUP[1]]
    assert [len(one.entries) for one in sent if isinstance(one, AppendEntries)] == [1]


def test_a_rejection_that_names_more_than_the_log_has_is_probed_at_its_end() -> None:
    """A follower names an index that is not in the leader's log, as after a restart of all."""
    outbox: Outbox = []
    member = leader(outbox)
    member.on_message(NOW, GROUP[1], answer(99, success=False))
    ((_, message),) = outbox
    assert isinstance(message, AppendEntries)
    assert message.prev_log == member.log.last
    assert not message.needs_snapshot


def test_many_late_rejections_cause_one_probe() -> None:
    """A link delivers ten duplicates of a rejection at once. A message for each would double the
    messages with each round.
    """
    outbox: Outbox = []
    member = leader(outbox)
    for _ in range(10):
        member.on_message(NOW, GROUP[1], answer(COMMITTED.revision, success=False))
    assert [sent.recipient for sent in outbox] == [GROUP[1]]


def test_an_answer_of_a_later_term_ends_the_leaders_own() -> None:
    """A follower has entered a later term; an answer of an earlier one changes nothing."""
    member = leader()
    member.on_message(NOW, GROUP[1], answer(2, TERM - 1))
    assert member.current_term == TERM
    assert member.leader == GROUP[0]
    member.on_message(NOW, GROUP[1], answer(2, TERM + 1, success=False))
    assert member.current_term == TERM + 1
    assert member.leader == ""

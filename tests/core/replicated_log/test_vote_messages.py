"""Votes and vote requests that are late, duplicated, or of another election."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import START, Position
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    RequestVote,
    RequestVoteResponse,
)
from loadbalancer.core.replicated_log.model import Role, Timing
from loadbalancer.core.replicated_log.state import Outbox
from tests.core.replicated_log.members import (
    COMMITTED,
    GROUP,
    NOW,
    TERM,
    heartbeat,
    member_of_five,
    pre_candidate,
    vote,
)

PRE, VOTE = vote(pre_vote=True), vote()
Votes = list[tuple[int, RequestVoteResponse | AppendEntries]]  # the sender's number, the message
PRE_VOTES: Votes = [(1, PRE), (2, PRE)]  # a majority together with the candidate itself
WON: Votes = [*PRE_VOTES, (1, VOTE), (2, VOTE)]


@pytest.mark.parametrize(
    ("received", "role"),
    [
        (PRE_VOTES, Role.CANDIDATE),
        (WON, Role.LEADER),
        ([(1, PRE), (1, PRE), (1, PRE)], Role.PRE_CANDIDATE),  # duplicates
        ([*PRE_VOTES, (1, VOTE), (1, VOTE), (1, VOTE)], Role.CANDIDATE),
        ([*PRE_VOTES, (3, PRE), (4, PRE)], Role.CANDIDATE),  # late pre-votes
        ([(1, VOTE), (2, VOTE), (3, VOTE)], Role.PRE_CANDIDATE),
        ([(n, vote(TERM - 1, pre_vote=True)) for n in (1, 2, 3)], Role.PRE_CANDIDATE),
        ([*PRE_VOTES, *((n, vote(TERM - 1)) for n in (1, 2, 3))], Role.CANDIDATE),
        ([(n, vote(granted=False, pre_vote=True)) for n in (1, 2, 3)], Role.PRE_CANDIDATE),
        ([*PRE_VOTES, (4, heartbeat()), (1, VOTE), (2, VOTE)], Role.FOLLOWER),  # another has won
        ([(1, PRE), (4, heartbeat()), (2, PRE), (3, PRE)], Role.FOLLOWER),
    ],
)
def test_only_a_majority_of_votes_in_this_election_counts(received: Votes, role: Role) -> None:
    """Votes are duplicated, late, of another election, or arrive after another candidate has won.

    If they counted, a member without a majority could become a second leader.
    """
    member = pre_candidate()
    for number, message in received:
        member.on_message(NOW, GROUP[number], message)
    assert member.role is role


def test_votes_that_arrive_after_an_election_is_won_change_nothing() -> None:
    """The last votes arrive when a majority has already elected the leader.

    If they counted as another election, the first entry of the term would be appended twice.
    """
    member = pre_candidate()
    for number, message in [*WON, (3, VOTE), (4, VOTE)]:
        member.on_message(NOW, GROUP[number], message)
    assert member.role is Role.LEADER
    assert member.log.last == Position(TERM, 2)


def test_votes_for_a_reload_do_not_count_once_a_later_term_has_a_leader() -> None:
    """A recovering member requests votes for a reload.

    Before the votes arrive, it receives entries of the leader of a later term. It must not become
    leader, because that would be in the other leader's term.
    """
    outbox: Outbox = []
    member = member_of_five(outbox)
    member.state.role = Role.RECOVERING
    member._election.start(NOW, TERM, reload=True)
    member.on_message(NOW, GROUP[4], heartbeat(TERM + 1))
    for number in (1, 2, 3):
        member.on_message(NOW, GROUP[number], VOTE)
    assert member.role is Role.RECOVERING
    assert member.current_term == TERM + 1


LAST = COMMITTED


@pytest.mark.parametrize(
    ("request_", "state", "granted"),
    [
        (RequestVote("east", TERM, START, LAST), {}, True),
        (RequestVote("east", TERM, START, START), {}, False),  # lacks committed entries
        (RequestVote("east", TERM, START, Position(9, 9)), {"history": Position(1, 0)}, False),
        (RequestVote("east", TERM - 1, START, LAST), {}, True),
        (RequestVote("east", TERM - 1, START, LAST), {"voted_for": "east-1"}, True),  # duplicate
        (RequestVote("east", TERM - 1, START, LAST), {"voted_for": "east-2"}, False),
        (RequestVote("east", TERM - 2, START, LAST), {}, False),  # late
        (RequestVote("east", TERM, START, LAST), {"role": Role.RECOVERING}, False),
        (RequestVote("east", TERM, START, LAST), {"role": Role.LEADER}, False),
        (RequestVote("east", TERM, START, LAST), {"leader_contact_at": NOW}, False),
        (
            RequestVote("east", TERM, START, LAST, transfer=True),
            {"leader_contact_at": NOW, "leader": "east-1"},
            True,
        ),
        (
            RequestVote("east", TERM, START, LAST, transfer=True),
            {"leader_contact_at": NOW, "leader": "east-2"},
            False,
        ),
        (RequestVote("east", TERM, START, START, reload=True), {}, False),
        (RequestVote("east", TERM, START, START, reload=True), {"waited": True}, True),
        (
            RequestVote("east", TERM, START, START, reload=True),
            {"waited": True, "role": Role.LEADER},
            False,
        ),
        (RequestVote("east", TERM - 1, START, START, reload=True), {"waited": True}, False),
    ],
)
def test_a_vote_is_granted_only_if_it_is_safe(
    request_: RequestVote, state: dict[str, object], granted: bool
) -> None:
    """A vote request is late, duplicated, of a member without all committed entries, or not needed.

    If the vote were granted, it could elect a second leader of a term, or a leader that lacks
    committed entries, or replace a working leader.
    """
    outbox: Outbox = []
    member = member_of_five(outbox)
    now = NOW + (Timing().reload_wait_ns if state.pop("waited", False) else 0)
    if history := state.pop("history", None):
        member.log.history = history  # type: ignore[assignment]
    for name, value in state.items():
        setattr(member.state, name, value)
    member.on_message(now, "east-1", request_)
    ((recipient, response),) = outbox
    assert recipient == "east-1"
    assert isinstance(response, RequestVoteResponse)
    assert response.vote_granted is granted


def test_a_member_votes_once_in_a_term_and_repeats_its_vote() -> None:
    """Two candidates request votes in one term, and the first one's request is duplicated."""
    outbox: Outbox = []
    member = member_of_five(outbox)
    request = RequestVote("east", TERM, START, LAST)
    for candidate in ("east-1", "east-2", "east-1"):
        member.on_message(NOW, candidate, request)
    votes = [sent.message for sent in outbox]
    assert [getattr(response, "vote_granted", None) for response in votes] == [True, False, True]
    later = RequestVote("east", TERM + 1, START, LAST)
    member.on_message(NOW + SECOND, "east-2", later)
    assert getattr(outbox[-1].message, "vote_granted", None) is True


def test_a_vote_remains_valid_after_the_leader_has_sent_entries() -> None:
    """A member has voted for the leader of its term, which then stops sending.

    Another candidate's request of the same term arrives late. If it were granted, the term could
    have two leaders.
    """
    outbox: Outbox = []
    member = member_of_five(outbox)
    request = RequestVote("east", TERM, START, LAST)
    member.on_message(NOW, "east-1", request)
    member.on_message(NOW, "east-1", heartbeat())
    member.on_message(NOW + 10 * SECOND, "east-2", request)
    responses = [sent.message for sent in outbox if isinstance(sent.message, RequestVoteResponse)]
    assert [response.vote_granted for response in responses] == [True, False]

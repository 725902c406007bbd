"""One member of a group of five, without the others, to which tests pass messages in any order."""

from __future__ import annotations

from loadbalancer.core.assignment.model import START, Change, Position
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    AppendEntriesResponse,
    RequestVoteResponse,
)
from loadbalancer.core.replicated_log.model import Role, Timing
from loadbalancer.core.replicated_log.raft import RaftMember
from loadbalancer.core.replicated_log.state import Membership, Outbox

GROUP = tuple(f"east-{i}" for i in range(5))
TERM = 3  # of the current election
NOW = 3 * SECOND  # later than the first election timeout
COMMITTED = Position(1, 1)  # the only entry that all members have


def member_of_five(outbox: Outbox | None = None) -> RaftMember:
    """Return a follower in the term before `TERM`, whose log ends with `COMMITTED`."""
    log = ChangeLog("east", 100, 1 << 20)
    log.append(Change(COMMITTED, "a"))
    member = RaftMember(
        Membership("east", GROUP[0], GROUP), log, 1, 0, Timing(), [] if outbox is None else outbox
    )
    member.state.role, member.state.current_term = Role.FOLLOWER, TERM - 1
    return member


def pre_candidate(outbox: Outbox | None = None) -> RaftMember:
    """Return a member that has requested pre-votes for `TERM`."""
    member = member_of_five(outbox)
    member.on_tick(NOW)
    return member


def leader(outbox: Outbox | None = None) -> RaftMember:
    """Return the leader of `TERM`; the first entry of its term is uncommitted and has index 2."""
    member = pre_candidate(outbox)
    for is_pre_vote in (True, False):
        for number in (1, 2):
            member.on_message(NOW, GROUP[number], vote(pre_vote=is_pre_vote))
    assert member.role is Role.LEADER
    assert member.log.last == Position(TERM, 2)
    if outbox is not None:
        outbox.clear()
    return member


def vote(term: int = TERM, granted: bool = True, pre_vote: bool = False) -> RequestVoteResponse:
    """Return a response to a vote request for `term`; the voter's own term is the one before."""
    return RequestVoteResponse("east", term, term - 1, granted, pre_vote)


def heartbeat(term: int = TERM) -> AppendEntries:
    """Return a leader's message without entries."""
    return AppendEntries("east", term, START, COMMITTED, (), 0)


def answer(
    index: int, term: int = TERM, success: bool = True, voting: bool = True
) -> AppendEntriesResponse:
    """Return a follower's response to entries."""
    return AppendEntriesResponse("east", term, success, index, voting)

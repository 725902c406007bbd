"""One member of a group of five by itself, which is given messages in any order."""

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
TERM = 3  # of the election that is under way
NOW = 3 * SECOND  # nobody has been heard for longer than an election timeout
COMMITTED = Position(1, 1)  # the one entry that all have


def member_of_five(outbox: Outbox | None = None) -> RaftMember:
    """A follower in the term before `TERM`, whose log ends with `COMMITTED`."""
    log = ChangeLog("east", 100, 1 << 20)
    log.append(Change(COMMITTED, "a"))
    member = RaftMember(
        Membership("east", GROUP[0], GROUP), log, 1, 0, Timing(), [] if outbox is None else outbox
    )
    member.state.role, member.state.current_term = Role.FOLLOWER, TERM - 1
    return member


def pre_candidate(outbox: Outbox | None = None) -> RaftMember:
    """One that has asked for pre-votes in `TERM`."""
    member = member_of_five(outbox)
    member.on_tick(NOW)
    return member


def leader(outbox: Outbox | None = None) -> RaftMember:
    """One that leads in `TERM`; its own first entry has the index 2, and is uncommitted."""
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
    """A vote for a ballot in `term`, of a voter that is in no later term."""
    return RequestVoteResponse("east", term, term - 1, granted, pre_vote)


def heartbeat(term: int = TERM) -> AppendEntries:
    """A leader's message without entries."""
    return AppendEntries("east", term, START, COMMITTED, (), 0)


def answer(
    index: int, term: int = TERM, success: bool = True, voting: bool = True
) -> AppendEntriesResponse:
    """A follower's answer to entries."""
    return AppendEntriesResponse("east", term, success, index, voting)

"""Answers to a restarted member that are old, incomplete, or of a leader whose log may be void."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import START, Change, Position
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    RecoveryResponse,
    RequestVote,
)
from loadbalancer.core.replicated_log.model import Role, Timing
from loadbalancer.core.replicated_log.raft import RaftMember
from loadbalancer.core.replicated_log.state import Outbox
from tests.core.replicated_log.group import member_of

OTHERS = ("east-1", "east-2")
ENTRY = Change(Position(1, 1), "a")


def restarted(outbox: Outbox | None = None) -> RaftMember:
    return member_of(ChangeLog("east", 100, 1 << 20), outbox)


def respond(
    member: RaftMember, now: int, sender: str, *, recovering: bool = False, term: int = 1
) -> None:
    response = RecoveryResponse("east", member.state.nonce, recovering, term, ENTRY.position, START)
    member.on_message(now, sender, response)


@pytest.mark.parametrize(
    ("answered_at", "is_loaded"),
    [(40 * SECOND, True), (40 * SECOND - 2 * Timing().election_timeout_ns, False), (0, False)],
)
def test_only_fresh_answers_show_that_the_log_is_lost(answered_at: int, is_loaded: bool) -> None:
    """Two others had lost their logs as well, and have fallen silent since. What they said before
    says nothing of what they have now: no load of the log may begin by it.
    """
    outbox: Outbox = []
    member = restarted(outbox)
    for sender in OTHERS:
        respond(member, answered_at, sender, recovering=True)
    member.on_tick(40 * SECOND)
    requests = [sent.message for sent in outbox if isinstance(sent.message, RequestVote)]
    assert bool(requests) is is_loaded
    assert all(request.reload for request in requests)


@pytest.mark.parametrize(("term", "role"), [(2, Role.RECOVERING), (3, Role.FOLLOWER)])
def test_a_leader_of_an_earlier_term_does_not_complete_a_recovery(term: int, role: Role) -> None:
    """A member has caught up with a leader, but another one has entered a later term. The later
    term's leader may have committed what the restarted member acknowledged, and has lost.
    """
    member = restarted()
    respond(member, 0, "east-1", term=term)
    respond(member, 0, "east-2", term=3)
    member.on_message(0, "east-1", AppendEntries("east", term, START, START, (ENTRY,), 1))
    assert member.log.commit_index == 1
    assert member.role is role


@pytest.mark.parametrize(("recovering", "role"), [(False, Role.RECOVERING), (True, Role.FOLLOWER)])
def test_only_a_load_that_began_after_the_restart_makes_what_was_lost_void(
    recovering: bool, role: Role
) -> None:
    """A leader sends a new history. If it was seen without a log since this member's restart, the
    load began after that, and has nothing that the member acknowledged; otherwise it may have.
    """
    member = restarted()
    respond(member, 0, "east-1", recovering=recovering)
    history = Position(256, 1_000_000)
    load = AppendEntries("east", 256, history, Position(0, history.revision), (), 0)
    member.on_message(0, "east-1", load)
    assert member.log.history == history
    assert member.role is role

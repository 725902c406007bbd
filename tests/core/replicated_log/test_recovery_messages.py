"""Recovery of a member that gets responses which are old, incomplete, or of a new history."""

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
def test_only_recent_responses_show_that_the_log_is_lost(answered_at: int, is_loaded: bool) -> None:
    """Two other members had lost their logs as well, and have not responded since.

    Their old responses do not show whether they have a log now, so they must not cause a reload.
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
    """A member has caught up with a leader, but another member has entered a later term.

    The leader of the later term may have committed entries that the member had acknowledged before
    its restart.
    """
    member = restarted()
    respond(member, 0, "east-1", term=term)
    respond(member, 0, "east-2", term=3)
    member.on_message(0, "east-1", AppendEntries("east", term, START, START, (ENTRY,), 1))
    assert member.log.commit_index == 1
    assert member.role is role


@pytest.mark.parametrize(("recovering", "role"), [(False, Role.RECOVERING), (True, Role.FOLLOWER)])
def test_only_a_reload_that_began_after_the_restart_completes_a_recovery(
    recovering: bool, role: Role
) -> None:
    """A leader sends a new history.

    If the leader was seen without a log since this member's restart, the load began after that, and
    contains nothing that the member had acknowledged before. Otherwise it may contain such entries.
    """
    member = restarted()
    respond(member, 0, "east-1", recovering=recovering)
    history = Position(256, 1_000_000)
    load = AppendEntries("east", 256, history, Position(0, history.revision), (), 0)
    member.on_message(0, "east-1", load)
    assert member.log.history == history
    assert member.role is role

"""The leader: replication, commit and quorum check."""

from __future__ import annotations

from loadbalancer.core.assignment.model import Change, Position, Row
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog, change_size
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    AppendEntriesResponse,
    RequestVoteResponse,
)
from loadbalancer.core.replicated_log.replication import ProposalOutcome, Role
from tests.core.replicated_log.group import EAST, STEP, member_of, partition, started


def test_a_change_is_committed_by_a_majority_and_reaches_all_machines_at_once() -> None:
    group = started()
    started_at = group.now
    group.propose(group.leader(), "new")
    assert group.run(SECOND, lambda: group.all_have("new"))
    assert group.now - started_at <= 5 * STEP
    positions = {group.logs[name]["east"].position for name in group.replicas}
    assert len(positions) == 1


def test_without_a_majority_nothing_is_committed() -> None:
    """The leader is partitioned from all other machines, and a change is proposed to it.

    It must not commit the change alone, and must step down. The others must elect another leader.
    """
    group = started()
    leader = group.leader()
    partition(group, leader)
    group.propose(leader, "alone")
    group.run(5 * SECOND)
    assert not any(group.has(name, "alone") for name in group.replicas)
    assert group.replicas[leader].role is not Role.LEADER  # it has stepped down
    assert group.leader()
    assert group.leader() != leader


def test_a_committed_change_survives_the_death_of_its_leader() -> None:
    """A leader commits a change, and is killed before the other region has received it.

    The next leader must have the change as well, and replicate it to all machines.
    """
    group = started()
    leader = group.leader()
    term = group.replicas[leader].current_term
    group.propose(leader, "kept")
    other = next(name for name in EAST if name != leader)
    assert group.run(SECOND, lambda: group.has(leader, "kept"))
    group.kill(leader)
    assert group.run(10 * SECOND, lambda: group.leader() in EAST)
    assert group.replicas[other].current_term > term
    assert group.run(5 * SECOND, lambda: group.all_have("kept"))


def test_a_leader_stopped_for_30_s_leaves_no_uncommitted_entry() -> None:
    """A leader's process is suspended for 30 s with unsent proposals, and then continues.

    It still considers itself the leader and accepts a proposal. None of its uncommitted entries may
    become visible on any machine, and it must receive its successor's changes.
    """
    group = started()
    leader = group.leader()
    for i in range(3):
        group.propose(leader, f"late-{i}")
    group.in_transit = [sent for sent in group.in_transit if sent.sender != leader]  # unsent
    group.stopped.add(leader)
    group.run(30 * SECOND)
    successor = group.leader()
    assert successor
    assert successor != leader
    group.propose(successor, "meanwhile")
    group.run(SECOND)
    group.stopped.clear()
    stale = group.replicas[leader].propose("east-s0", [Row("stale", "x")])
    assert stale.outcome is ProposalOutcome.PROPOSED  # it does not know of its successor yet
    group.drain(leader)
    group.run(3 * SECOND)
    assert group.leader() == successor
    assert group.all_have("meanwhile")
    for uid in ("stale", "late-0", "late-1", "late-2"):
        assert not any(group.has(name, uid) for name in group.replicas)


def test_entries_of_an_earlier_term_are_committed_with_one_of_the_leaders_term() -> None:
    """A new leader replicates an entry of an earlier term to a majority.

    A majority is not sufficient to commit it: a later entry of the leader's own term must be on a
    majority as well (Raft, section 5.4.2).
    """
    log = ChangeLog("east", 100, 1 << 20)
    log.append(Change(Position(1, 1), "a"))
    member = member_of(log)
    member.state.role, member.state.current_term = Role.FOLLOWER, 2
    older = Change(Position(2, 2), "a", (Row("u", "x"),))
    assert member.log.append_entries(Position(1, 1), (older,))
    now = 3 * SECOND
    member.on_tick(now)
    roles = [member.role]
    member.on_message(now, "east-1", RequestVoteResponse("east", 3, 2, True, pre_vote=True))
    roles.append(member.role)
    member.on_message(now, "east-1", RequestVoteResponse("east", 3, 3, True))
    roles.append(member.role)
    assert roles == [Role.PRE_CANDIDATE, Role.CANDIDATE, Role.LEADER]
    assert member.log.last == Position(3, 3)
    member.on_message(now, "east-1", AppendEntriesResponse("east", 3, True, 2))
    assert log.position == Position(1, 1)
    assert member.drain_committed() == ([], False)
    member.on_message(now, "east-1", AppendEntriesResponse("east", 3, True, 3))
    assert log.position == Position(3, 3)


def test_messages_are_bounded_and_many_entries_are_batched() -> None:
    """200 changes of 100 bytes are proposed at once.

    No message to a follower may exceed the maximum size.
    """
    group = started()
    leader = group.leader()
    group.sent.clear()
    for i in range(200):
        group.replicas[leader].propose("east-s0", [Row(f"u{i}", "x" * 100)])
    group.drain(leader)
    assert group.run(5 * SECOND, lambda: group.all_have("u199"))
    largest = max(
        sum(change_size(entry) for entry in message.entries)
        for message in group.sent
        if isinstance(message, AppendEntries)
    )
    assert largest <= group.timing.max_message_bytes

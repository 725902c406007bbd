"""Recovery of members that restart without their logs, and reload of lost logs."""

from __future__ import annotations

from loadbalancer.core.assignment.model import START, Change, Position
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogSnapshot
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    InstallSnapshot,
    RecoveryResponse,
    RequestVote,
    RequestVoteResponse,
)
from loadbalancer.core.replicated_log.model import Role
from loadbalancer.core.replicated_log.state import Outbox
from tests.core.replicated_log.group import EAST, SPECS, member_of, partition, started


def test_a_restarted_member_neither_votes_nor_counts_until_it_has_caught_up() -> None:
    """Two machines of three commit a change. Both are killed, and one of them restarts.

    The two running machines are a majority, but one has lost what it had acknowledged. They must
    not elect a leader without the change. When the third machine is back, the log is loaded again.
    """
    group = started()
    leader = group.leader()
    holder, lagging = (name for name in EAST if name != leader)
    partition(group, lagging)
    group.propose(leader, "by-two")
    assert group.run(SECOND, lambda: group.has(holder, "by-two"))
    group.kill(leader, holder)
    group.start(holder)
    # The other region's learners, which may have the change, are not reachable either.
    group.drops = lambda sent: "west" in sent.sender + sent.recipient
    group.run(20 * SECOND)
    assert group.leader() == ""
    assert group.replicas[holder].role is Role.RECOVERING
    group.start(leader)
    group.heal()
    assert group.run(20 * SECOND, lambda: group.leader() in EAST and group.ready())
    assert group.loads[-1] in (leader, holder)  # two of three had lost the log
    assert group.logs[lagging]["east"].position.revision >= 2_000_000


def test_a_restarted_member_recovers_from_the_two_others() -> None:
    """One follower restarts without its log while the others are running.

    It must catch up and vote again without a reload, so that the group survives its leader's death.
    """
    group = started()
    loads = len(group.loads)
    leader = group.leader()
    other = next(name for name in EAST if name != leader)
    group.kill(other)
    group.start(other)
    assert group.run(5 * SECOND, lambda: group.replicas[other].role is Role.FOLLOWER)
    group.kill(leader)
    assert group.run(10 * SECOND, lambda: group.leader() in EAST)
    assert len(group.loads) == loads


def test_after_a_restart_of_all_machines_the_log_is_loaded_above_all_reports() -> None:
    """All machines of both regions restart without their logs; subscribers report old positions.

    The log must be loaded in a higher term and from a higher index than any plausible report.
    Otherwise subscribers would ignore its changes as older than their own.
    """
    group = started()
    before = group.logs["east-0"]["east"].position
    names = list(group.replicas)
    group.kill(*names)
    for name in names:
        group.start(name)
    group.run(2 * SECOND)
    # Subscribers report to the machine that they poll, which may be of another region.
    group.replicas["west-1"].on_reported(group.now, "east", Position(before.epoch + 700, 3_000_007))
    group.replicas["west-1"].on_reported(group.now, "east", Position(-1, 1 << 60))
    assert group.run(20 * SECOND, group.ready)
    position = group.logs["west-0"]["east"].position
    assert position.epoch > before.epoch + 700
    assert position.revision > 3_000_007
    # Every machine has the complete log.
    for name in names:
        assert sorted(group.logs[name]["east"].services()) == sorted(group.source("east"))


def test_a_position_reported_after_the_reload_begins_a_history_above_it() -> None:
    """A subscriber reports a position of a lost log only after the log has been loaded again.

    A new history above that position must begin, with all committed rows, and accept changes.
    """
    group = started()
    group.propose(group.leader(), "kept")
    group.run(SECOND)
    lost = Position(2_000, 7_000_005)
    for spec in SPECS[:3]:
        group.replicas[spec.name].on_reported(group.now, "east", lost)
    all_above = lambda: all(  # noqa: E731
        group.logs[name]["east"].position > lost
        and group.logs[name]["east"].position.revision > lost.revision
        for name in group.replicas
    )
    assert group.run(10 * SECOND, all_above)
    assert group.all_have("kept")
    group.propose(group.leader(), "new")
    assert group.run(2 * SECOND, lambda: group.all_have("new"))


def test_a_member_does_not_count_as_recovered_while_another_recovers() -> None:
    """Two members of three have restarted; one of them catches up with the third's log.

    The other one may have acknowledged entries that the third does not have. So the third's log
    may lack committed entries, and the member must not vote until the other one has recovered.
    """
    entry = Change(Position(1, 1), "a")
    member = member_of(ChangeLog("east", 100, 1 << 20))
    nonce = member.state.nonce

    def respond(sender: str, recovering: bool) -> None:
        response = RecoveryResponse("east", nonce, recovering, 1, entry.position, START)
        member.on_message(0, sender, response)

    def catch_up() -> Role:
        append = AppendEntries("east", 1, START, START, (entry,), 1)
        member.on_message(0, "east-1", append)
        return member.role

    respond("east-1", recovering=False)
    assert catch_up() is Role.RECOVERING  # east-2 has not answered
    respond("east-2", recovering=True)
    assert catch_up() is Role.RECOVERING
    respond("east-2", recovering=False)
    assert catch_up() is Role.FOLLOWER


def test_responses_to_an_earlier_incarnation_do_not_count() -> None:
    """A member restarts twice; a response to its first incarnation arrives in the second.

    The sender may have restarted since then, and have less than it reported. Only a response with
    the nonce of the current incarnation counts.
    """
    entry = Change(Position(1, 1), "a")
    member = member_of(ChangeLog("east", 100, 1 << 20))
    nonce = member.state.nonce
    for sender, answered in (("east-1", nonce), ("east-2", nonce + 1)):
        response = RecoveryResponse("east", answered, False, 1, entry.position, START)
        member.on_message(0, sender, response)
    member.on_message(0, "east-1", AppendEntries("east", 1, START, START, (entry,), 1))
    assert member.log.commit_index == 1
    assert member.role is Role.RECOVERING


def test_only_a_recovering_member_accepts_a_snapshot_of_an_older_history() -> None:
    """A machine offers a snapshot of the history before the log was lost.

    A member with the new history must keep it. A member without a log may serve the old history.
    """
    log = ChangeLog("east", 100, 1 << 20)
    log.reset(Position(256, 1_000_000))
    member = member_of(log)
    old = LogSnapshot(Position(300, 5), history=Position(1, 0))
    assert member.accepts_snapshot(old)
    member.state.role = Role.FOLLOWER
    assert not member.accepts_snapshot(old)
    assert member.accepts_snapshot(LogSnapshot(Position(256, 1_000_001), history=log.history))


def test_a_member_does_not_install_a_snapshot_of_an_older_history() -> None:
    """A member without contact to its leader fetches from a machine without the new history.

    That machine's snapshot has a later term, but must not replace what the member has committed.
    """
    group = started()
    member = next(name for name in EAST if name != group.leader())
    partition(group, member)
    group.run(3 * SECOND)
    replica, log = group.replicas[member], group.logs[member]["east"]
    pending = replica._learners["east"]._pending
    assert pending is not None
    before = log.log_snapshot()
    assert before.history > START
    later = Position(before.position.epoch + 50, 5)
    old = InstallSnapshot("east", pending.request_id, later, 0, 1, (), 0, (later,), START)
    replica.on_message(group.now, "west-0", old)
    assert replica._learners["east"]._pending != pending
    assert log.log_snapshot() == before


def test_a_vote_for_a_reload_in_a_term_not_above_all_reports_is_denied() -> None:
    """Members without logs elect a leader to load the log; a subscriber has reported a later term.

    If the log were loaded in a lower term, the subscriber would ignore all its changes.
    """
    outbox: Outbox = []
    member = member_of(ChangeLog("east", 100, 1 << 20), outbox)
    member.on_reported(0, Position(700, 5))
    for term in (700, 701):
        request = RequestVote("east", term, START, START, reload=True)
        member.on_message(SECOND, "east-1", request)
    assert outbox == [
        ("east-1", RequestVoteResponse("east", 700, 0, False)),
        ("east-1", RequestVoteResponse("east", 701, 701, True)),
    ]

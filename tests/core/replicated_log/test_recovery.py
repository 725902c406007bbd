"""Recovery: members that restart without their logs, and logs that are loaded again."""

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
from tests.core.replicated_log.group import EAST, SPECS, cut, member_of, started


def test_a_restarted_member_neither_votes_nor_counts_until_it_has_caught_up() -> None:
    """A change is committed by two machines of three; both restart, one of them at first only.

    The two that run are a majority, but one has lost what it acknowledged. They must not elect a
    leader without the change: the log is loaded again when the third is back.
    """
    group = started()
    leader = group.leader()
    holder, lagging = (name for name in EAST if name != leader)
    cut(group, lagging)
    group.propose(leader, "by-two")
    assert group.run(SECOND, lambda: group.has(holder, "by-two"))
    group.kill(leader, holder)
    group.start(holder)
    group.drops = (
        lambda sent: "west" in sent.sender + sent.recipient
    )  # no help from learners either
    group.run(20 * SECOND)
    # The two that run are a majority, but one of them has lost what it acknowledged.
    assert group.leader() == ""
    assert group.replicas[holder].role is Role.RECOVERING
    group.start(leader)
    group.heal()
    assert group.run(20 * SECOND, lambda: group.leader() in EAST and group.ready())
    assert group.loads[-1] in (leader, holder)  # two of three had lost it: loaded again
    assert group.logs[lagging]["east"].position.revision >= 2_000_000


def test_a_restarted_member_recovers_from_its_two_others() -> None:
    """One follower restarts without its log while the others run.

    It must catch up and vote again without a new load: then the group survives its leader's death.
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


def test_all_six_restarted_load_again_above_all_that_is_reported() -> None:
    """All machines of both regions restart without their logs; subscribers report old positions.

    The log that is loaded must be in a higher term and from a higher index than any plausible
    report, or subscribers would refuse its changes as older than their own.
    """
    group = started()
    before = group.logs["east-0"]["east"].position
    names = list(group.replicas)
    group.kill(*names)
    for name in names:
        group.start(name)
    group.run(2 * SECOND)
    # Subscribers report to whichever machine they ask, of either region.
    group.replicas["west-1"].on_reported(group.now, "east", Position(before.epoch + 700, 3_000_007))
    group.replicas["west-1"].on_reported(group.now, "east", Position(-1, 1 << 60))
    assert group.run(20 * SECOND, group.ready)
    position = group.logs["west-0"]["east"].position
    assert position.epoch > before.epoch + 700
    assert position.revision > 3_000_007
    # Loaded completely or not at all, at every machine.
    for name in names:
        assert sorted(group.logs[name]["east"].services()) == sorted(group.source("east"))


def test_a_position_reported_after_the_load_begins_a_history_above_it() -> None:
    """A subscriber reports a position of a lost log only after the log has been loaded again.

    A history above it must begin with all that was committed, and changes go on in it.
    """
    group = started()
    group.propose(group.leader(), "kept")
    group.run(SECOND)
    lost = Position(2_000, 7_000_005)
    for spec in SPECS[:3]:
        group.replicas[spec.name].on_reported(group.now, "east", lost)
    above = lambda: all(  # noqa: E731
        group.logs[name]["east"].position > lost
        and group.logs[name]["east"].position.revision > lost.revision
        for name in group.replicas
    )
    assert group.run(10 * SECOND, above)
    assert group.everywhere("kept")
    group.propose(group.leader(), "on")
    assert group.run(2 * SECOND, lambda: group.everywhere("on"))


def test_a_member_does_not_count_as_recovered_while_another_recovers() -> None:
    """Two members of three have restarted; one catches up with the third's log.

    The other restarted one may have acknowledged entries that the third does not have. The log
    that was caught up with need not have all that was committed: no vote before it has recovered.
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


def test_answers_to_an_earlier_start_of_a_member_do_not_count() -> None:
    """A member restarts twice; an answer to its first start comes after the second.

    The sender may have restarted since, and have less than the answer says: only an answer with
    the nonce of this start counts.
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


def test_a_snapshot_of_an_older_history_is_for_recovering_members_alone() -> None:
    """A machine offers a snapshot of the history before the log was lost.

    A member with the new history must keep it; one that has nothing may serve the old one on.
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
    """A member hears no leader and fetches. The machine that answers has not heard of the new
    history: its snapshot, of a later term, must not replace what the member has committed.
    """
    group = started()
    member = next(name for name in EAST if name != group.leader())
    cut(group, member)
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


def test_a_reload_is_not_granted_below_a_reported_term() -> None:
    """Machines without logs elect a leader to load the log; a subscriber knows a later term.

    In a lower term, the subscriber would refuse all that is loaded: such a vote is refused.
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

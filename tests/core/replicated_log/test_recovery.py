"""Recovery: members that restart without their logs, and logs that are loaded again."""

from __future__ import annotations

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.replication import Role
from tests.core.replicated_log.group import EAST, SPECS, cut, started


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

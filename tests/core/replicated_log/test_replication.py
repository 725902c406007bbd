"""One machine's replicas: proposals, invalid messages, and partitions between regions."""

from __future__ import annotations

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    Fetch,
    Message,
    RequestVote,
)
from loadbalancer.core.replicated_log.replication import SINGLE_WRITER_RULE, ProposalOutcome
from tests.core.replicated_log.group import EAST, started


def test_only_the_home_regions_leader_accepts_proposals_and_others_name_it() -> None:
    group = started()
    wrong = group.replicas["west-0"].propose("east-s0", [Row("u", "x")])
    assert wrong.outcome is ProposalOutcome.WRONG_REGION
    assert wrong.rule == SINGLE_WRITER_RULE
    stated = group.replicas["east-0"].propose("new", [Row("u", "x")], region="west")
    assert stated.outcome is ProposalOutcome.WRONG_REGION
    other = next(name for name in EAST if name != group.leader())
    refused = group.replicas[other].propose("east-s0", [Row("u", "x")])
    assert refused.outcome is ProposalOutcome.NOT_LEADER
    assert refused.leader == group.leader()


def test_proposals_without_a_majority_are_bounded() -> None:
    """Proposals arrive faster than a majority can respond.

    The number of uncommitted entries must be limited: the next proposal is refused.
    """
    group = started()
    leader = group.leader()
    for _ in range(group.timing.max_uncommitted):
        group.replicas[leader].propose("east-s0", [Row("u", "x")])
    last = group.replicas[leader].propose("east-s0", [Row("u", "x")])
    assert last.outcome is ProposalOutcome.BUSY


def test_partitioned_regions_commit_their_own_changes_and_converge() -> None:
    """The regions are partitioned from each other: first except for one link, then completely.

    Each must commit its own services' changes meanwhile, and receive the other's afterwards.
    """
    group = started()
    # One machine of the west still reaches one of the east; the rest of the west fetches from it.
    group.drops = lambda sent: sent.sender[0] != sent.recipient[0] and {
        sent.sender,
        sent.recipient,
    } != {
        "east-0",
        "west-0",
    }
    group.propose(group.leader(), "by-one-link")
    assert group.run(15 * SECOND, lambda: group.all_have("by-one-link"))
    group.drops = lambda sent: sent.sender[0] != sent.recipient[0]
    group.propose(group.leader(), "east-alone")
    west = group.replicas[group.leader("west")]
    assert west.propose("west-s0", [Row("w", "x")]).outcome is ProposalOutcome.PROPOSED
    group.drain(group.leader("west"))
    group.run(5 * SECOND)
    assert all(group.has(name, "east-alone") == (name in EAST) for name in group.replicas)
    assert "w" in (group.logs["west-2"]["west"].rows("west-s0") or {})
    group.heal()
    assert group.run(5 * SECOND, lambda: group.all_have("east-alone"))
    assert group.run(
        5 * SECOND, lambda: "w" in (group.logs["east-1"]["west"].rows("west-s0") or {})
    )


def test_invalid_messages_are_counted_and_change_nothing() -> None:
    """Messages are from unknown senders or regions, with implausible terms, or out of order.

    None may change the log or the term, and the group must continue to commit changes.
    """
    group = started()
    replica = group.replicas["east-0"]
    before = group.logs["east-0"]["east"].position, replica.current_term
    bad: list[tuple[str, Message]] = [
        ("stranger", Fetch("east", START, 1)),
        ("east-1", Fetch("north", START, 1)),
        ("west-0", RequestVote("east", 10**6, START, Position(10**6, 10**9))),
        ("east-1", RequestVote("east", 1 << 40, Position(1 << 40, 0), Position(1 << 40, 1))),
        ("east-1", AppendEntries("east", 1 << 40, START, START, (), 0)),
        ("east-1", AppendEntries("east", 1, Position(9, 9), START, (), 0)),
    ]
    for sender, message in bad:
        replica.on_message(group.now, sender, message)
    not_consecutive = Change(Position(before[0].epoch, before[0].revision + 7), "east-s0")
    leader = group.leader()
    follower = next(name for name in EAST if name != leader)
    history = group.logs[follower]["east"].history
    term = group.replicas[leader].current_term
    wrong = AppendEntries("east", term, history, before[0], (not_consecutive,), 10**9)
    group.replicas[follower].on_message(group.now, leader, wrong)
    assert (group.logs["east-0"]["east"].position, replica.current_term) == before
    assert sum(replica.counts.values()) >= 5
    assert replica.counts["messages of no member"] == 1
    assert group.replicas[follower].counts["unsound messages"] == 1
    group.propose(group.leader(), "new")
    assert group.run(2 * SECOND, lambda: group.all_have("new"))

"""The follower and entries that are late, duplicated or from an earlier term."""

from __future__ import annotations

from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
    AppendEntriesResponse,
)
from loadbalancer.core.replicated_log.model import Role
from loadbalancer.core.replicated_log.state import Outbox
from tests.core.replicated_log.group import EAST, STEP, member_of, started


def test_late_duplicate_and_older_entries_change_nothing() -> None:
    """AppendEntries arrive again in reverse order, and once more after their leader has died.

    The follower's log must not change, and messages of an earlier term must be rejected.
    """
    group = started()
    leader = group.leader()
    group.sent.clear()
    for i in range(5):
        group.propose(leader, f"u{i}")
        group.run(2 * STEP)
    assert group.run(2 * SECOND, lambda: group.all_have("u4"))
    old = [
        message for message in group.sent if isinstance(message, AppendEntries) and message.entries
    ]
    follower = next(name for name in EAST if name != leader)
    before = group.logs[follower]["east"].log_snapshot()
    for message in reversed(old + old):
        group.replicas[follower].on_message(group.now, leader, message)
    group.kill(leader)
    assert group.run(10 * SECOND, lambda: group.leader() in EAST)
    for message in old:  # now of an older epoch, from a former leader
        group.replicas[follower].on_message(group.now, leader, message)
    assert group.replicas[follower].counts["older epochs"] >= len(old)
    assert group.logs[follower]["east"].log_snapshot().rows == before.rows


def test_entries_of_an_older_history_are_rejected_whatever_their_term() -> None:
    """A log was lost and loaded again; a leader of the earlier history sends with a later term.

    If its entries were appended, the lost history would return, with positions below those that
    subscribers have. The member must reject them and stay in its own term.
    """
    log = ChangeLog("east", 100, 1 << 20)
    log.reset(Position(256, 1_000_000))
    log.append(Change(Position(256, 1_000_001), "a"))
    outbox: Outbox = []
    member = member_of(log, outbox)
    member.state.role, member.state.current_term = Role.FOLLOWER, 256
    entry = Change(Position(300, 2), "b")
    old = AppendEntries("east", 300, Position(1, 0), Position(1, 1), (entry,), 2)
    member.on_message(SECOND, "east-1", old)
    assert outbox == [("east-1", AppendEntriesResponse("east", 256, False, 1_000_001))]
    assert member.current_term == 256
    assert member.leader == ""
    assert member.log.last == Position(256, 1_000_001)

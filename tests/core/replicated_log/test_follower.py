"""The follower: entries that come late, twice or from an earlier term."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.messages import (
    AppendEntries,
)
from tests.core.replicated_log.group import EAST, STEP, started


def test_late_duplicate_and_older_entries_change_nothing() -> None:
    """AppendEntries come again, in reverse order, and once more after their leader has died.

    The follower's log must not change, and those of an earlier term must be refused.
    """
    group = started()
    leader = group.leader()
    group.seen.clear()
    for i in range(5):
        group.propose(leader, f"u{i}")
        group.run(2 * STEP)
    assert group.run(2 * SECOND, lambda: group.everywhere("u4"))
    old = [
        message for message in group.seen if isinstance(message, AppendEntries) and message.entries
    ]
    follower = next(name for name in EAST if name != leader)
    before = group.logs[follower]["east"].log_snapshot()
    for message in reversed(old + old):
        group.replicas[follower].on_message(group.now, leader, message)
    group.kill(leader)
    assert group.run(10 * SECOND, lambda: group.leader() in EAST)
    for message in old:  # now of an older epoch, from a leader that no longer is
        group.replicas[follower].on_message(group.now, leader, message)
    assert group.replicas[follower].counts["older epochs"] >= len(old)
    assert group.logs[follower]["east"].log_snapshot().rows == before.rows

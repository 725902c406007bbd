"""One member's Raft log: committed and uncommitted entries."""

from __future__ import annotations

from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.raft_log import Committed, RaftLog, no_op


def test_a_load_replaces_the_log_when_its_last_entry_is_committed() -> None:
    """A lost log is loaded again, and only a part of the load is committed.

    Until its last entry is committed as well, the change log must keep its earlier content.
    """
    log = ChangeLog("east", 100, 1 << 20)
    log.append(Change(Position(1, 1), "old"))
    entries = RaftLog(log)
    entries.begin_history(Position(5, 1000))
    loaded = tuple(Change(Position(5, 1000 + n), f"s{n}", complete=True) for n in (1, 2))
    assert entries.append_entries(Position(0, 1000), loaded)
    assert entries.commit(1002) == Committed((), False)
    assert list(log.services()) == ["old"]
    assert log.position == Position(1, 1)
    assert entries.append_entries(Position(5, 1002), (no_op(Position(5, 1003)),))
    changes, replaced = entries.commit(1003)
    assert replaced
    assert len(changes) == 3
    assert list(log.services()) == ["s1", "s2"]

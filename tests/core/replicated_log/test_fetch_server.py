"""Fetches that come after another of the same learner, or for another snapshot."""

from __future__ import annotations

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.fetch_server import FetchServer
from loadbalancer.core.replicated_log.messages import Fetch, FetchResponse, InstallSnapshot


def server(max_changes: int = 100) -> tuple[FetchServer, ChangeLog]:
    """A server of a log with four changes, whose snapshot has several chunks."""
    log = ChangeLog("east", max_changes, 1 << 20)
    for revision in range(1, 5):
        append(log, revision)
    return FetchServer(log, SECOND, 20), log


def append(log: ChangeLog, revision: int) -> None:
    log.append(Change(Position(1, revision), f"s{revision}", (Row("u", "x" * 20),)))


def test_a_learners_later_fetch_takes_the_place_of_the_one_that_waits() -> None:
    """A learner has restarted, or given a fetch up, and fetches again from an earlier position.

    The fetch that waited must not be answered as well: its answer would be of no use.
    """
    serving, log = server()
    assert serving.on_fetch(0, "west-0", Fetch("east", log.position, 1)) is None
    answer = serving.on_fetch(1, "west-0", Fetch("east", Position(1, 3), 2))
    assert isinstance(answer, FetchResponse)
    assert answer.request_id == 2
    append(log, 5)
    assert serving.on_log_advanced() == []
    assert serving.on_tick(2 * SECOND) == []


def test_a_chunk_of_another_snapshot_begins_with_the_newest_one() -> None:
    """A learner asks for the second chunk of a snapshot that another machine had begun, or that
    this one has no more.
    """
    serving, log = server(max_changes=1)
    first = serving.on_fetch(0, "west-0", Fetch("east", START, 1))
    assert isinstance(first, InstallSnapshot)
    assert (first.chunk, first.position) == (0, log.position)
    assert first.chunks > 2
    second = serving.on_fetch(0, "west-0", Fetch("east", START, 2, START, log.position, 1))
    assert isinstance(second, InstallSnapshot)
    assert (second.request_id, second.chunk) == (2, 1)
    other = serving.on_fetch(0, "west-0", Fetch("east", START, 3, START, Position(1, 2), 1))
    assert isinstance(other, InstallSnapshot)
    assert (other.request_id, other.chunk) == (3, 0)
    beyond = Fetch("east", START, 4, START, log.position, first.chunks)
    again = serving.on_fetch(0, "west-0", beyond)
    assert isinstance(again, InstallSnapshot)
    assert again.chunk == 0


def test_a_learner_that_goes_on_with_changes_costs_no_snapshot_any_more() -> None:
    """A learner has its snapshot by another machine: its chunks must not stay here for ever."""
    serving, log = server(max_changes=1)
    assert isinstance(serving.on_fetch(0, "west-0", Fetch("east", START, 1)), InstallSnapshot)
    assert serving._chunks
    assert serving.on_fetch(1, "west-0", Fetch("east", log.position, 2)) is None
    assert not serving._chunks

"""Fetches that follow another one of the same learner, or request a chunk of another snapshot."""

from __future__ import annotations

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.fetch_server import FetchServer
from loadbalancer.core.replicated_log.messages import Fetch, FetchResponse, InstallSnapshot


def server(max_changes: int = 100) -> tuple[FetchServer, ChangeLog]:
    """Return a server of a log with four changes, whose snapshot has several chunks."""
    log = ChangeLog("east", max_changes, 1 << 20)
    for revision in range(1, 5):
        append(log, revision)
    return FetchServer(log, SECOND, 20), log


def append(log: ChangeLog, revision: int) -> None:
    log.append(Change(Position(1, revision), f"s{revision}", (Row("u", "x" * 20),)))


def test_a_learners_later_fetch_replaces_the_waiting_one() -> None:
    """A learner restarts, or its fetch times out, and it fetches again from an earlier position.

    The earlier fetch must not be answered as well: the learner would ignore the answer.
    """
    serving, log = server()
    assert serving.on_fetch(0, "west-0", Fetch("east", log.position, 1)) is None
    answer = serving.on_fetch(1, "west-0", Fetch("east", Position(1, 3), 2))
    assert isinstance(answer, FetchResponse)
    assert answer.request_id == 2
    append(log, 5)
    assert serving.on_log_advanced() == []
    assert serving.on_tick(2 * SECOND) == []


def test_a_request_for_a_chunk_of_an_unknown_snapshot_gets_the_first_chunk_of_the_latest() -> None:
    """A learner requests a chunk of another machine's snapshot, or one that does not exist."""
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


def test_the_chunks_of_a_learner_that_fetches_changes_again_are_discarded() -> None:
    """A learner has got its snapshot from another machine.

    The chunks of this machine's snapshot must not stay in memory.
    """
    serving, log = server(max_changes=1)
    assert isinstance(serving.on_fetch(0, "west-0", Fetch("east", START, 1)), InstallSnapshot)
    assert serving._chunks
    assert serving.on_fetch(1, "west-0", Fetch("east", log.position, 2)) is None
    assert not serving._chunks

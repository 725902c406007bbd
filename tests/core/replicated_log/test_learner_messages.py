"""Answers to a learner's fetches that are late, duplicated, reordered, or of another history."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from loadbalancer.core.assignment.model import START, Change, Position, Row
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog, LogSnapshot
from loadbalancer.core.replicated_log.learner import Learner
from loadbalancer.core.replicated_log.messages import (
    Fetch,
    FetchResponse,
    InstallSnapshot,
    ServiceRows,
)

SOURCES = ("east-0", "east-1")
LAST = Position(3, 5)  # of the learner's log
OFFERED = Position(4, 9)  # of the snapshots


def make_learner() -> Learner:
    """Return a learner whose log ends with `LAST`."""
    log = ChangeLog("east", 100, 1 << 20)
    for revision in range(1, LAST.revision + 1):
        log.append(Change(Position(3, revision), "a"))
    return Learner(log, SOURCES, SECOND)


def fetched(learner: Learner, now: int = 0) -> Fetch:
    polled = learner.poll(now)
    assert polled is not None
    return polled.fetch


def answered(learner: Learner, request_id: int, *positions: tuple[int, int]) -> Sequence[Position]:
    """Answer with changes at the given positions; return the positions of those to apply."""
    changes = tuple(Change(Position(*position), "a") for position in positions)
    response = FetchResponse("east", request_id, LAST, changes)
    return [change.position for change in learner.on_response(response)]


@pytest.mark.parametrize(
    ("positions", "applied", "counted"),
    [
        ([(3, 6), (3, 7)], [(3, 6), (3, 7)], ""),
        ([(4, 6), (5, 7)], [(4, 6), (5, 7)], ""),
        ([(3, 4), (3, 5), (3, 6)], [(3, 6)], ""),  # the log has advanced since the fetch
        ([(3, 4), (3, 5)], [], ""),
        ([], [], ""),
        ([(3, 7)], [], ""),  # a gap before it
        ([(3, 6), (3, 8)], [], "out of order"),
        ([(4, 6), (3, 7)], [], "out of order"),
        ([(2, 6)], [], ""),  # of an older history
    ],
)
def test_only_changes_that_follow_the_log_are_applied(
    positions: list[tuple[int, int]], applied: list[tuple[int, int]], counted: str
) -> None:
    """A source has another history, or the learner's log has advanced since the fetch.

    If changes that do not follow the log were applied, changes would be lost or applied twice.
    """
    learner = make_learner()
    assert answered(learner, fetched(learner).request_id, *positions) == applied
    assert learner.counts == ({counted: 1} if counted else {})


def test_only_the_first_answer_to_the_pending_fetch_is_used() -> None:
    """A source answers twice, or after the learner has switched to another source."""
    learner = make_learner()
    first = fetched(learner)
    assert learner.poll(SECOND - 1) is None
    second = fetched(learner, SECOND)
    assert answered(learner, first.request_id, (3, 6)) == []
    assert answered(learner, second.request_id, (3, 6)) == [(3, 6)]
    assert answered(learner, second.request_id, (3, 6)) == []
    assert learner.counts == {"unanswered": 1, "late answers": 2}
    third = fetched(learner, SECOND)
    learner.stop()  # as when a leader sends entries
    assert answered(learner, third.request_id, (3, 6)) == []


def chunk(request_id: int, number: int, position: Position = OFFERED) -> InstallSnapshot:
    """Return a chunk, number 0 or 1, of a snapshot of two chunks with one service each."""
    service = ServiceRows(f"s{number}", 1, (Row("u", "x"),))
    return InstallSnapshot("east", request_id, position, number, 2, (service,), 0, (), START)


def received(
    learner: Learner, numbers: Sequence[int], *, doubled: bool = False
) -> LogSnapshot | None:
    """Answer fetches with chunks of these numbers; return the result of the last one."""
    snapshot = None
    for number in numbers:
        request_id = fetched(learner).request_id
        snapshot = learner.on_chunk(chunk(request_id, number))
        if doubled:
            assert learner.on_chunk(chunk(request_id, number)) is None
    return snapshot


@pytest.mark.parametrize(
    ("numbers", "is_complete"),
    [([0, 1], True), ([1], False), ([1, 0], False), ([0, 0], False), ([0, 0, 1], True)],
)
@pytest.mark.parametrize("doubled", [False, True])
def test_a_snapshot_is_complete_with_all_its_chunks_in_order(
    numbers: list[int], is_complete: bool, doubled: bool
) -> None:
    """Chunks are duplicated or reordered. A snapshot without a chunk would lack services."""
    snapshot = received(make_learner(), numbers, doubled=doubled)
    assert (snapshot is not None) is is_complete
    if snapshot is not None:
        assert snapshot.rows.keys() == {"s0", "s1"}


def test_chunks_of_two_snapshots_are_not_combined() -> None:
    """The source's log advances between two fetches, or the learner switches to another source."""
    learner = make_learner()
    assert received(learner, [0]) is None
    fetch = fetched(learner)
    assert (fetch.snapshot, fetch.chunk) == (OFFERED, 1)
    assert learner.on_chunk(chunk(fetch.request_id, 1, Position(4, 10))) is None
    assert fetched(learner).snapshot is None

    learner = make_learner()
    assert received(learner, [0]) is None
    fetched(learner)  # lost
    fetch = fetched(learner, SECOND)
    assert fetch.snapshot is None
    assert learner.on_chunk(chunk(fetch.request_id, 1)) is None

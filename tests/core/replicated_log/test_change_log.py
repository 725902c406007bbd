"""A region's change log: deltas for subscribers, compaction, and snapshots."""

from __future__ import annotations

from random import Random

import pytest

from loadbalancer.core.assignment.model import START, Change, InvalidInputError, Position, Row
from loadbalancer.core.replicated_log.change_log import ChangeLog, apply_change, change_size


def change(epoch: int, revision: int, service: str = "a", uid: str = "u1") -> Change:
    return Change(Position(epoch, revision), service, (Row(uid, f"{epoch}.{revision}"),))


def log_of(*changes: Change, max_changes: int = 100) -> ChangeLog:
    log = ChangeLog("east", max_changes, 1 << 20)
    for entry in changes:
        log.append(entry)
    return log


def test_a_delta_has_the_changes_of_the_subscribers_services_in_order() -> None:
    log = log_of(change(1, 1), change(1, 2, "b"), change(2, 3), change(2, 4, "c"))
    delta = log.delta_since(Position(1, 1), ["a", "b"])
    assert delta is not None
    assert delta.position == Position(2, 4)
    assert [entry.position.revision for entry in delta.changes] == [2, 3]
    assert log.delta_since(Position(2, 4), ["a"]).changes == ()  # type: ignore[union-attr]


@pytest.mark.parametrize("position", [START, Position(2, 2), Position(1, 9), Position(9, 2)])
def test_a_position_of_another_history_gets_no_delta(position: Position) -> None:
    log = log_of(change(1, 1), change(1, 2), change(3, 3))
    assert log.delta_since(position, ["a"]) is None
    assert not log.contains(position)
    assert log.contains(Position(1, 2))


def test_a_compacted_log_has_deltas_for_services_that_have_not_changed_since() -> None:
    log = log_of(*(change(1, n, "a" if n < 4 else "b") for n in range(1, 9)), max_changes=3)
    assert len(log) == 3
    assert log.compacted_since(Position(1, 3), ["a", "b"]) == {"b"}
    assert log.delta_since(Position(1, 3), ["a"]) is not None
    assert log.delta_since(Position(1, 3), ["a", "b"]) is None
    assert log.delta_since(Position(1, 2), ["a"]) is None


def test_the_log_is_bounded_by_changes_and_by_bytes() -> None:
    size = change_size(change(1, 1))
    log = ChangeLog("east", 50, size * 10 + 5)
    for revision in range(1, 10_000):
        log.append(change(1, revision, f"s{revision % 7}"))
        assert len(log) <= 10
        assert log.size_bytes <= size * 11
    assert sum(len(entries) for entries in log._changes_by_service.values()) == len(log)


def test_a_service_that_was_deleted_and_created_again_is_replaced() -> None:
    """A service is deleted and created again, and the deletion is compacted.

    A subscriber with an earlier position must get all rows of the new service as a replacement.
    With a delta it would keep the rows of the old service.
    """
    deletion = Change(Position(1, 2), "a", deleted=True)
    filler = [change(1, revision, "b") for revision in range(3, 9)]
    log = log_of(change(1, 1), deletion, *filler, change(1, 9, "a", "u2"), max_changes=3)
    assert log.compacted_since(Position(1, 1), ["a"]) == {"a"}
    assert [row.uid for row in log.replacements(["a"])[0].rows] == ["u2"]
    assert log.replacements(["x"])[0].deleted


def test_a_change_that_does_not_follow_the_log_is_refused() -> None:
    log = log_of(change(2, 1))
    for bad in (change(2, 1), change(2, 3), change(1, 2), Change(Position(0, 2), "a")):
        with pytest.raises(InvalidInputError, match="does not follow"):
            log.append(bad)
    with pytest.raises(InvalidInputError, match="older"):
        log.restore(ChangeLog("east", 1, 1).log_snapshot())
    with pytest.raises(InvalidInputError, match="at least 1"):
        ChangeLog("east", 0, 1)


def test_a_log_snapshot_is_unaffected_by_later_changes() -> None:
    log = log_of(change(1, 1), change(1, 2, "b"))
    snapshot = log.log_snapshot()
    log.append(change(1, 3, "a", "u2"))
    assert list(snapshot.rows["a"]) == ["u1"]
    assert snapshot.position == Position(1, 2)
    other = ChangeLog("east", 10, 1000)
    other.restore(snapshot)
    assert other.delta_since(Position(1, 1), ["a"]) is not None  # "a" has not changed since
    assert other.compacted_since(Position(1, 1), ["b"]) == {"b"}


@pytest.mark.parametrize("seed", range(5))
def test_deltas_result_in_the_same_rows_as_the_log(seed: int) -> None:
    random = Random(seed)
    log = ChangeLog("east", 12, 1 << 20)
    copy: dict[str, dict[str, Row]] = {}
    position = START
    services = ["a", "b", "c"]
    for revision in range(1, 300):
        name = random.choice(["a", "b", "c", "d"])
        uid = f"u{random.randrange(4)}"
        next_position = Position(1 + revision // 50, revision)
        kind = random.random()
        if kind < 0.1:
            log.append(Change(next_position, name, deleted=True))
        elif kind < 0.4:
            log.append(Change(next_position, name, removed=(uid,)))
        else:
            log.append(Change(next_position, name, (Row(uid, str(revision)),)))
        if random.random() < 0.3:
            delta = log.delta_since(position, services)
            if delta is None:
                copy = {k: dict(v) for k, v in log.snapshot(services).services.items()}
            else:
                for entry in delta.changes:
                    copy[entry.service] = dict(apply_change(copy.get(entry.service, {}), entry))
            position = log.position
            expected = {name: log.rows(name) or {} for name in services}
            assert {name: copy.get(name, {}) for name in services} == expected

"""Tests of the list's replica: it has one complete version, and never goes back."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.endpoints.list_replica import ListReplica
from loadbalancer.core.endpoints.list_versions import (
    FULL_LIST,
    NO_VERSION,
    ListDelta,
    pack,
    unpack,
)
from tests.core.endpoints.list_history import history


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.data())
def test_a_replica_always_has_one_complete_version_and_never_an_earlier_one(
    seed: int, data: st.DataObject
) -> None:
    """Deltas of two readers, over different versions, arrive late, twice and in any order."""
    versions = history(seed, 8)
    deltas: list[ListDelta] = []
    for _ in range(2):
        reader, version_index = ListReplica(), 0
        while version_index < len(versions) - 1:
            version_index += data.draw(st.integers(1, 3))
            version_index = min(version_index, len(versions) - 1)
            delta = reader.apply_answer(
                version_index + 1, dict[str, str | None](versions[version_index]), True
            )
            assert delta is not None
            deltas.append(delta)
    replica = ListReplica()
    for index in data.draw(st.lists(st.integers(0, len(deltas) - 1), max_size=30)):
        delta = unpack(pack(deltas[index]))
        assert delta is not None
        before = replica.version
        if replica.fits(delta) and replica.apply(delta) is None:
            # A row changed and changed back: nothing is applied, and all rows are requested.
            assert delta.base != FULL_LIST
            assert replica.version == before
            full_delta = unpack(reader.delta_since(NO_VERSION))
            assert full_delta is not None
            assert full_delta.base == FULL_LIST
            assert replica.fits(full_delta)
        assert replica.version >= before
        assert replica.rows == (versions[replica.version.rev - 1] if replica.version.rev else {})
    latest_delta = unpack(reader.delta_since(NO_VERSION))
    assert latest_delta is not None
    assert replica.version == reader.version or replica.fits(latest_delta)
    if replica.version != reader.version:
        assert replica.apply(latest_delta) is not None
        assert replica.rows == versions[-1]


def test_restarted_numbers_begin_an_epoch_and_a_repeated_answer_is_no_delta() -> None:
    rows = dict[str, str | None]({"a": "1", "b": "2", "c": "3"})
    replica = ListReplica()
    assert replica.apply_answer(41, rows, True) is not None
    assert replica.apply_answer(41, rows, True) is None
    removed = replica.apply_answer(42, {"a": None}, False)
    assert removed == ListDelta(41, replica.version, {"a": None})
    assert sorted(replica.rows) == [
        "b",
        "c",
    ]
    assert replica.version.epoch == 1
    restarted = replica.apply_answer(5, rows, True)
    assert restarted is not None
    assert restarted.base == FULL_LIST
    assert replica.version[:2] == (2, 5)
    other = replica.apply_answer(5, {"a": "9"}, True)  # the same revision with other rows
    assert other is not None
    assert replica.version[:2] == (3, 5)
    empty = replica.apply_answer(6, {}, True)
    assert empty is not None
    assert not replica.rows

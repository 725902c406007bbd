"""A replica of the list: one complete version, and never an earlier one."""

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
def test_a_replica_is_always_one_complete_version_and_never_goes_back(
    seed: int, data: st.DataObject
) -> None:
    """Deltas of readers that went by different versions come late, twice and in any order."""
    versions = history(seed, 8)
    deltas: list[ListDelta] = []
    for _ in range(2):
        reader, at = ListReplica(), 0
        while at < len(versions) - 1:
            at += data.draw(st.integers(1, 3))
            at = min(at, len(versions) - 1)
            delta = reader.read(at + 1, dict[str, str | None](versions[at]), True)
            assert delta is not None
            deltas.append(delta)
    replica = ListReplica()
    for i in data.draw(st.lists(st.integers(0, len(deltas) - 1), max_size=30)):
        delta = unpack(pack(deltas[i]))
        assert delta is not None
        before = replica.version
        if replica.fits(delta) and replica.apply(delta) is None:
            # A row changed and changed back: nothing is applied, and all rows are asked for.
            assert delta.base != FULL_LIST
            assert replica.version == before
            again = unpack(reader.delta_since(NO_VERSION))
            assert again is not None
            assert again.base == FULL_LIST
            assert replica.fits(again)
        assert replica.version >= before
        assert replica.rows == (versions[replica.version.rev - 1] if replica.version.rev else {})
    last = unpack(reader.delta_since(NO_VERSION))
    assert last is not None
    assert replica.version == reader.version or replica.fits(last)
    if replica.version != reader.version:
        assert replica.apply(last) is not None
        assert replica.rows == versions[-1]


def test_restarted_numbers_begin_an_epoch_and_a_repeated_answer_is_no_delta() -> None:
    rows = dict[str, str | None]({"a": "1", "b": "2", "c": "3"})
    replica = ListReplica()
    assert replica.read(41, rows, True) is not None
    assert replica.read(41, rows, True) is None
    removed = replica.read(42, {"a": None}, False)
    assert removed == ListDelta(41, replica.version, {"a": None})
    assert sorted(replica.rows) == [
        "b",
        "c",
    ]
    assert replica.version.epoch == 1
    restarted = replica.read(5, rows, True)
    assert restarted is not None
    assert restarted.base == FULL_LIST
    assert replica.version[:2] == (2, 5)
    other = replica.read(5, {"a": "9"}, True)  # the same number with other rows
    assert other is not None
    assert replica.version[:2] == (3, 5)
    empty = replica.read(6, {}, True)
    assert empty is not None
    assert not replica.rows

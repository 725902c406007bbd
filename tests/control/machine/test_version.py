"""Tests of packing a position into the integer version of a list, and back."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.control.machine.version import (
    MAX_EPOCH,
    MAX_REVISION,
    MAX_VERSION,
    position_of,
    version_of,
)
from loadbalancer.core.assignment.model import START, InvalidInputError, Position
from loadbalancer.sources.http_get import parse_decimal

POSITIONS = st.builds(
    Position,
    st.integers(0, MAX_EPOCH),
    st.integers(0, MAX_REVISION),
)


@given(POSITIONS, POSITIONS)
def test_packing_is_reversible_and_preserves_order(one: Position, other: Position) -> None:
    assert position_of(version_of(one)) == one
    assert (version_of(one) < version_of(other)) == (one < other)


def test_every_version_is_a_valid_list_version() -> None:
    assert version_of(START) == 0
    highest = version_of(Position(MAX_EPOCH, MAX_REVISION))
    assert highest == MAX_VERSION
    assert parse_decimal(str(highest)) == highest


@pytest.mark.parametrize("version", [-1, MAX_VERSION + 1])
def test_a_version_out_of_range_is_refused(version: int) -> None:
    with pytest.raises(InvalidInputError, match=r"^version: \[range\]"):
        position_of(version)


@pytest.mark.parametrize(
    "position", [Position(MAX_EPOCH + 1, 0), Position(0, MAX_REVISION + 1), Position(-1, 0)]
)
def test_a_position_out_of_range_is_refused(position: Position) -> None:
    with pytest.raises(InvalidInputError, match=r"^position: \[range\]"):
        version_of(position)

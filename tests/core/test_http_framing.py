"""Where a response ends: what follows an interim one, and which end with the stream."""

from __future__ import annotations

import pytest

from loadbalancer.core.http_framing import (
    CHUNK_ALLOWANCE_BYTES,
    INTERIM_STATUSES,
    MAX_FRAMING_EXCESS_BYTES,
    FramingExcess,
    ends_with_stream,
)


def test_a_switch_of_protocols_is_no_interim_response() -> None:
    assert {100, 102, 103, 199} <= INTERIM_STATUSES
    assert not {101, 200, 304} & INTERIM_STATUSES


@pytest.mark.parametrize(
    ("has_length", "has_transfer_encoding", "ends"),
    [(False, False, True), (True, False, False), (False, True, False), (True, True, False)],
)
def test_only_a_response_that_leaves_its_length_open_ends_with_the_stream(
    has_length: bool, has_transfer_encoding: bool, ends: bool
) -> None:
    assert ends_with_stream(has_length, has_transfer_encoding) == ends


def test_an_excess_is_allowed_up_to_the_limit() -> None:
    excess = FramingExcess()
    assert excess.add(MAX_FRAMING_EXCESS_BYTES, 0, 0)
    assert not excess.add(1, 0, 0)


def test_each_chunk_has_an_allowance_that_no_later_excess_uses_up() -> None:
    """Otherwise a long body would leave room for a trailer section of twice its size."""
    excess = FramingExcess()
    for _ in range(MAX_FRAMING_EXCESS_BYTES):
        assert excess.add(1 + CHUNK_ALLOWANCE_BYTES + 2, 1, 1)
    assert excess.add(1 << 20, 1 << 20, 1)
    assert not excess.add(MAX_FRAMING_EXCESS_BYTES + 1, 0, 0)

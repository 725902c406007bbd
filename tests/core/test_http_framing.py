"""Where a response ends: what follows an interim one, and which end with the stream."""

from __future__ import annotations

import pytest

from loadbalancer.core.http_framing import INTERIM_STATUSES, ends_with_stream


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

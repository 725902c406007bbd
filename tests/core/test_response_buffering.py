"""How long an incomplete response is buffered."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.response_buffering import (
    MAX_UNKNOWN_LENGTH_PAUSE_NS,
    STREAMING_MARGIN_NS,
    content_pause,
    head_pause,
    is_slow,
    unknown_length_pause,
)


@pytest.mark.parametrize(
    ("connect_timeout", "remaining", "pause"),
    [
        (70 * MS, SECOND, 210 * MS),
        (250 * MS, 700 * MS, 700 * MS - STREAMING_MARGIN_NS),
        (2 * SECOND, 60 * SECOND, MAX_UNKNOWN_LENGTH_PAUSE_NS),
        (250 * MS, STREAMING_MARGIN_NS, 0),
        (250 * MS, -SECOND, 0),
    ],
)
def test_a_response_of_unknown_length_is_streamed_before_it_would_be_given_up(
    connect_timeout: int, remaining: int, pause: int
) -> None:
    assert unknown_length_pause(connect_timeout, remaining) == pause


def test_content_may_pause_for_longer_than_a_head() -> None:
    assert (head_pause(MS), content_pause(MS)) == (MS, 3 * MS)


def test_a_sender_is_slow_30_ms_after_its_first_content() -> None:
    assert not is_slow(40 * MS, 11 * MS)
    assert is_slow(41 * MS, 11 * MS)

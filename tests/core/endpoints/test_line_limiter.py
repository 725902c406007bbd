"""Tests of the limit on lines that several readers share."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.endpoints.line_limiter import LineLimiter


def test_a_limit_of_no_lines_is_rejected() -> None:
    with pytest.raises(ValueError, match="at least one line"):
        LineLimiter(0)


def test_reserved_lines_that_were_not_returned_are_available_at_once() -> None:
    limiter = LineLimiter(10)
    reservation = limiter.reserve(0, 10)
    assert limiter.delay(1, 4) == SECOND - 1
    limiter.settle(1, reservation, 6)
    assert limiter.delay(1, 4) == 0
    assert limiter.delay(1, 5) == SECOND


def test_an_answer_beyond_the_limit_delays_the_next_query_accordingly() -> None:
    limiter = LineLimiter(10)
    limiter.settle(0, limiter.reserve(0, 4), 25)
    assert limiter.delay(0, 1) == 3 * SECOND

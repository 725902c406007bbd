"""Which messages are long, and how much is read, by what is free."""

from __future__ import annotations

import pytest

from loadbalancer.core.buffer_budget import (
    MAX_PARSED_BYTES,
    MAX_READ_BYTES,
    MAX_WAITING_BYTES,
    SHORT_READ_BYTES,
    STREAMING_THRESHOLD_BYTES,
    BufferBudget,
)
from loadbalancer.core.memory_account import Holder

LONG = STREAMING_THRESHOLD_BYTES + 1


@pytest.fixture(params=[False, True], ids=["enough memory", "short of memory"])
def budget(request: pytest.FixtureRequest) -> BufferBudget:
    budget = BufferBudget(128)
    if request.param:
        budget.reserve(Holder.CONTENT, budget.soft_limit + 1)
    return budget


def test_reads_are_short_while_memory_is(budget: BufferBudget) -> None:
    sizes = [budget.read_size(is_plain_content) for is_plain_content in (True, False)]
    usual = [MAX_READ_BYTES, MAX_PARSED_BYTES]
    assert sizes == ([SHORT_READ_BYTES] * 2 if budget.is_exceeded() else usual)


def test_a_request_is_long_by_its_content_or_once_its_length_says_so(budget: BufferBudget) -> None:
    small = budget.small_content_bytes
    assert budget.is_long_request(0, LONG)
    assert not budget.is_long_request(0, LONG - 1)
    assert budget.is_long_request(LONG, small + 1)
    assert not budget.is_long_request(LONG, small)


def test_a_response_is_long_by_its_length_or_for_lack_of_memory(budget: BufferBudget) -> None:
    """Where another attempt may bring a whole response, lack of memory alone streams none."""
    small = budget.small_content_bytes
    for may_be_retried in (True, False):
        assert budget.is_long_response(LONG, 0, may_be_retried)
        assert budget.is_long_response(-1, LONG, may_be_retried)
        assert not budget.is_long_response(LONG - 1, small, may_be_retried)
    assert budget.is_long_response(LONG - 1, small + 1, False) is budget.is_exceeded()
    assert not budget.is_long_response(LONG - 1, small + 1, True)


def test_nothing_is_read_ahead_while_memory_is_short(budget: BufferBudget) -> None:
    assert budget.may_read_ahead(0)
    assert budget.may_read_ahead(MAX_WAITING_BYTES) is not budget.is_exceeded()
    assert not budget.may_read_ahead(MAX_WAITING_BYTES + 1)

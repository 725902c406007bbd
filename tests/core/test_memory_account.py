"""The account of what peers make a process hold, and the thresholds of what is done about it."""

from __future__ import annotations

import pytest

from loadbalancer.core.memory_account import (
    CLIENT_CONNECTION_BYTES,
    MARGIN_DIVISOR,
    MB,
    MIN_CAPACITY_BYTES,
    MIN_SOFT_LIMIT_BYTES,
    SHRINK_FRACTION,
    SMALL_HEAD_BYTES,
    UPSTREAM_CONNECTION_BYTES,
    Holder,
    MemoryAccount,
    Pressure,
)

LIMIT_MB = 64
BASE_BYTES = 24 * MB


@pytest.fixture
def account() -> MemoryAccount:
    account = MemoryAccount(LIMIT_MB)
    account.begin(BASE_BYTES)
    return account


def test_the_measured_process_leaves_its_peers_what_the_limit_has_beyond_it(
    account: MemoryAccount,
) -> None:
    """A constant stood for the process: with little memory nothing followed from what it took."""
    assert account.capacity_bytes == LIMIT_MB * MB * (1 - 1 / MARGIN_DIVISOR) - BASE_BYTES
    assert account.soft_limit == account.capacity_bytes // 2
    account.measure(BASE_BYTES + 10 * MB)
    assert account.base_bytes == BASE_BYTES + 10 * MB  # held by nobody that is counted
    account.reserve(Holder.FLOWS, 10 * MB)
    account.measure(BASE_BYTES + 10 * MB)
    assert account.base_bytes == BASE_BYTES


def test_a_limit_below_the_process_itself_leaves_the_least_capacity() -> None:
    account = MemoryAccount(1)
    assert account.capacity_bytes == MIN_CAPACITY_BYTES
    assert account.soft_limit == MIN_CAPACITY_BYTES // 2
    account.add_connections(MIN_CAPACITY_BYTES)
    assert account.soft_limit == MIN_SOFT_LIMIT_BYTES


def test_connections_come_off_the_capacity_before_the_soft_limit(account: MemoryAccount) -> None:
    before = account.soft_limit
    account.add_connections(2 * MB)
    assert account.soft_limit == before - MB
    assert not account.is_exceeded()
    account.add_connections(-2 * MB)
    assert account.soft_limit == before
    assert account.total == 0


def test_two_processes_of_a_node_share_its_limit(account: MemoryAccount) -> None:
    account.share_limit(2)
    assert account.limit_bytes == LIMIT_MB * MB // 2
    half = LIMIT_MB * MB / 2
    assert account.capacity_bytes == half * (1 - 1 / MARGIN_DIVISOR) - BASE_BYTES
    account.share_limit(1)
    assert account.limit_bytes == LIMIT_MB * MB


@pytest.mark.parametrize("holder", [h for h in Holder if h is not Holder.CONNECTIONS])
def test_each_holder_adds_to_the_pressure(account: MemoryAccount, holder: Holder) -> None:
    account.reserve(holder, account.soft_limit)
    assert account.pressure() is Pressure.NONE
    account.reserve(holder, 1)
    assert account.pressure() is Pressure.HIGH
    account.reserve(holder, account.soft_limit)
    assert account.pressure() is Pressure.FULL
    most = account.held[holder]
    account.reserve(holder, -most)
    assert account.pressure() is Pressure.NONE
    assert account.most_buffered == most


def test_a_full_account_rejects_what_is_large_and_lets_small_requests_begin(
    account: MemoryAccount,
) -> None:
    account.reserve(Holder.FLOWS, account.capacity_bytes + 1)
    assert account.may_begin(SMALL_HEAD_BYTES, has_content=False)
    assert not account.may_begin(SMALL_HEAD_BYTES, has_content=True)
    assert not account.may_begin(SMALL_HEAD_BYTES + 1, has_content=False)


def test_small_requests_alone_do_not_fill_the_memory(account: MemoryAccount) -> None:
    """Hundreds of small requests at once, each with its attempt, took a node over its limit."""
    free = LIMIT_MB * MB - BASE_BYTES - account.total
    while account.may_begin(SMALL_HEAD_BYTES, has_content=False):
        account.reserve_request(SMALL_HEAD_BYTES)
        account.add_connections(UPSTREAM_CONNECTION_BYTES)
    assert account.capacity_bytes < account.total < free
    assert not account.may_open_upstream()


def test_uploads_that_stall_leave_room_for_new_clients(account: MemoryAccount) -> None:
    """Rejected clients came again, were not accepted beside stalled uploads, and got no answer."""
    while account.may_begin(SMALL_HEAD_BYTES, has_content=True, is_upload=True):
        account.reserve_request(SMALL_HEAD_BYTES)
        account.add_connections(CLIENT_CONNECTION_BYTES + UPSTREAM_CONNECTION_BYTES)
    assert account.may_accept_client()
    assert account.may_begin(SMALL_HEAD_BYTES, has_content=True)
    assert account.may_begin(SMALL_HEAD_BYTES, has_content=False)


def test_complete_heads_are_limited_together_with_incomplete_ones(account: MemoryAccount) -> None:
    account.reserve(Holder.INCOMPLETE_HEADS, account.soft_limit // 4)
    assert account.may_begin(SMALL_HEAD_BYTES + 1, has_content=False)
    account.reserve(Holder.REQUEST_HEADS, account.soft_limit // 4 + 1)
    assert not account.may_begin(SMALL_HEAD_BYTES + 1, has_content=False)
    assert account.may_begin(SMALL_HEAD_BYTES, has_content=True)


def test_clients_are_accepted_until_connections_take_their_part(account: MemoryAccount) -> None:
    accepted = 0
    while account.may_accept_client():
        account.add_connections(CLIENT_CONNECTION_BYTES)
        accepted += 1
    assert accepted == account.capacity_bytes * 3 // 4 // CLIENT_CONNECTION_BYTES


def test_free_memory_is_returned_near_the_limit_if_there_is_much(account: MemoryAccount) -> None:
    near = int(SHRINK_FRACTION * LIMIT_MB * MB) + 1
    assert account.may_shrink(near)
    assert not account.may_shrink(near - 1)
    account.reserve(Holder.FLOWS, near - BASE_BYTES - MB)
    assert not account.may_shrink(near)  # most of it is in use

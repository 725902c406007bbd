"""The connection pool's rules, tested with fake connections that record how they are used."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.config.address import Address
from loadbalancer.core import Outcome
from loadbalancer.core.buffer_budget import BufferBudget
from loadbalancer.proxy.exchange import Attempt
from loadbalancer.proxy.upstream.pool import IDLE_MARGIN_NS, ConnectionPool

SECOND_NS = 1_000_000_000
BACKEND_ADDRESS = Address("127.0.0.1", 8001)


class Host:
    """A host with one backend, number 1, that may open no further connections."""

    def __init__(self) -> None:
        self.endpoints = {1: BACKEND_ADDRESS}
        self.discovery = SimpleNamespace(endpoint_list=SimpleNamespace(endpoints=self.endpoints))
        self.config = SimpleNamespace(idle_close=10 * SECOND_NS)
        self.concluded: list[Outcome] = []
        self.budget = BufferBudget(128)

    def may_open_upstream(self) -> bool:
        return False

    def record_outcome(self, _attempt: Attempt, outcome: Outcome) -> None:
        self.concluded.append(outcome)


class Connection:
    """A connection that is open until it is abandoned; the test sets whether it is usable."""

    def __init__(self, pool: ConnectionPool, usable: bool = True, backend: int = 1) -> None:
        self.pool = pool
        self.backend = backend
        self.address = BACKEND_ADDRESS
        self.idle_since = 0
        self.closed = False
        self.attempts: list[Attempt] = []
        self._usable = usable

    def is_usable(self) -> bool:
        return self._usable

    def begin(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)

    def abandon(self) -> bool:
        self.closed = True
        self.pool.remove(cast(Any, self))
        return True


@pytest.fixture
def host() -> Host:
    return Host()


@pytest.fixture
def pool(host: Host) -> ConnectionPool:
    return ConnectionPool(cast(Any, host))


def idle(pool: ConnectionPool, count: int, **properties: Any) -> list[Connection]:
    """Put `count` idle connections into the pool, long settled; returns them, oldest first."""
    conns = [Connection(pool, **properties) for _ in range(count)]
    for conn in conns:
        pool.release(cast(Any, conn))
        conn.idle_since -= SECOND_NS
    return conns


def attempt(backend: int = 1) -> Attempt:
    return Attempt(cast(Any, None), 0, backend, 0)


def test_the_most_recently_idle_connection_is_used_first(pool: ConnectionPool) -> None:
    first, last = idle(pool, 2)
    pool.send(attempt())
    assert (len(first.attempts), len(last.attempts)) == (0, 1)
    assert pool.idle_count() == 1
    pool.send(attempt())
    assert (len(first.attempts), len(last.attempts)) == (1, 1)
    assert pool.idle_count() == 0


def test_a_connection_that_its_backend_closed_is_closed_and_not_used(
    pool: ConnectionPool,
) -> None:
    (usable,) = idle(pool, 1)
    (ended,) = idle(pool, 1, usable=False)
    pool.send(attempt())
    assert ended.closed
    assert not ended.attempts
    assert len(usable.attempts) == 1


def test_a_connection_that_has_settled_is_used_before_one_that_became_idle_just_now(
    pool: ConnectionPool,
) -> None:
    (settled,) = idle(pool, 1)
    recent = Connection(pool)
    pool.release(cast(Any, recent))
    recent.idle_since += SECOND_NS  # has not settled, however slow the machine is
    pool.send(attempt())
    assert (len(settled.attempts), len(recent.attempts)) == (1, 0)
    pool.send(attempt())
    assert (len(settled.attempts), len(recent.attempts)) == (1, 1)


@pytest.mark.parametrize(("backend", "outcome"), [(1, Outcome.MOOT), (2, Outcome.CONNECT_FAILED)])
def test_without_a_descriptor_an_attempt_is_moot_and_without_an_address_it_fails(
    host: Host, pool: ConnectionPool, backend: int, outcome: Outcome
) -> None:
    """A lack of descriptors in this process must not count against the backend."""
    pool.send(attempt(backend))
    assert host.concluded == [outcome]


@pytest.mark.parametrize("endpoints", [{}, {1: Address("127.0.0.1", 8002)}])
def test_a_connection_to_an_address_that_is_no_longer_listed_is_closed(
    host: Host, pool: ConnectionPool, endpoints: dict[int, Address]
) -> None:
    host.endpoints.clear()
    host.endpoints.update(endpoints)
    (conn,) = idle(pool, 1)
    assert conn.closed
    assert pool.idle_count() == 0


def test_close_idle_closes_only_the_connections_of_the_given_backend(
    host: Host, pool: ConnectionPool
) -> None:
    host.endpoints[2] = BACKEND_ADDRESS
    removed, other = idle(pool, 2), idle(pool, 1, backend=2)
    pool.close_idle(1)
    assert [conn.closed for conn in (*removed, *other)] == [True, True, False]


def test_close_oldest_and_trim_close_the_oldest_idle_connections_first(
    pool: ConnectionPool,
) -> None:
    conns = idle(pool, 4)
    assert pool.close_oldest()
    assert [conn.closed for conn in conns] == [True, False, False, False]
    pool.trim(1)
    assert [conn.closed for conn in conns] == [True, True, True, False]
    pool.trim(0)
    assert not pool.close_oldest()


def test_close_expired_closes_connections_shortly_before_the_idle_limit(
    host: Host, pool: ConnectionPool
) -> None:
    conns = idle(pool, 3)
    limit = host.config.idle_close - IDLE_MARGIN_NS
    for age, conn in zip((2 * limit, limit + 1, limit), conns, strict=True):
        conn.idle_since = 100 * SECOND_NS - age
    pool.close_expired(100 * SECOND_NS)
    assert [conn.closed for conn in conns] == [True, True, False]

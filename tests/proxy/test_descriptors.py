"""A node's file descriptors: their limits for clients and backends, and who closes them."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import resource
import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
import uvloop

from loadbalancer.proxy.descriptors import (
    REPLACEMENT_DESCRIPTORS,
    RESERVED_DESCRIPTORS,
    DescriptorBudget,
)
from loadbalancer.proxy.sockets import release_socket
from tests.harness import LIMIT, accept, answer, listen, node, roster, served_by, target

SOCKETS = 124  # in the configuration; 100 of them are left for connections


class Pool:
    """A fake pool of backend connections, some of which are idle."""

    def __init__(self) -> None:
        self.count = 0
        self.idle = 0

    def close_oldest(self) -> bool:
        """Keeps `count`: a real descriptor is freed only in the loop's next iteration."""
        if not self.idle:
            return False
        self.idle -= 1
        return True


@pytest.fixture
def pool() -> Pool:
    return Pool()


@pytest.fixture
def budget(pool: Pool) -> DescriptorBudget:
    config = cast(Any, SimpleNamespace(sockets=SOCKETS, admin=None))
    budget = DescriptorBudget(config)
    budget.upstream = cast(Any, pool)
    return budget


def test_clients_may_use_three_quarters_and_less_while_backends_use_more(
    budget: DescriptorBudget, pool: Pool
) -> None:
    assert budget.sockets == SOCKETS - RESERVED_DESCRIPTORS == 100
    assert budget.max_clients() == 75
    pool.count = 40
    assert budget.max_clients() == 60
    budget.clients = 59
    assert budget.may_accept_client()
    budget.clients = 60
    assert not budget.may_accept_client()


@pytest.mark.parametrize(("backends", "closed"), [(25, 0), (26, 1)])
def test_a_client_replaces_a_backend_connection_only_above_the_backends_fraction(
    budget: DescriptorBudget, pool: Pool, backends: int, closed: int
) -> None:
    pool.count = backends
    pool.idle = 5
    budget.close_surplus_upstream()
    assert 5 - pool.idle == closed


@pytest.mark.parametrize(
    ("used", "idle", "may_open"),
    [(99, 0, True), (100, 0, False), (100, 1, True), (100 + REPLACEMENT_DESCRIPTORS, 1, False)],
)
def test_at_the_limit_a_connection_to_a_backend_replaces_an_idle_one(
    budget: DescriptorBudget, pool: Pool, used: int, idle: int, may_open: bool
) -> None:
    """Both are open for one iteration of the event loop, so the number of them is limited."""
    budget.clients = used - 20
    pool.count = 20
    pool.idle = idle
    assert budget.may_open_upstream() == may_open


def test_two_processes_of_a_node_share_its_descriptors(
    budget: DescriptorBudget, pool: Pool
) -> None:
    budget.clients = 50
    pool.count = 10
    assert budget.releasable_descriptors() == 100 - 60 - REPLACEMENT_DESCRIPTORS
    budget.set_other_process_descriptors(budget.releasable_descriptors())
    assert budget.sockets == 60 + REPLACEMENT_DESCRIPTORS
    assert budget.descriptors() == RESERVED_DESCRIPTORS + 60 + REPLACEMENT_DESCRIPTORS
    budget.clients = 80  # clients that were accepted before it released descriptors
    assert budget.descriptors() == RESERVED_DESCRIPTORS + 90


class AbortsAtOnce(asyncio.Protocol):
    """Aborts its connection in `connection_made`, as a first write that fails does."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).abort()


def test_a_connection_closed_when_established_does_not_close_its_descriptor_twice() -> None:
    """Guards against closing another connection's descriptor.

    The transport has closed the descriptor, and its number belongs to another connection by the
    time that the socket object is freed. The object must not close the number again.
    """
    loop = uvloop.new_event_loop()
    with listen() as server, listen() as other:

        async def dial() -> int:
            sock = socket.create_connection(server.getsockname())
            sock.setblocking(False)
            number = sock.fileno()
            transport, _ = await loop.create_connection(AbortsAtOnce, sock=sock)
            os.dup2(other.fileno(), number)  # as an accept that gets the same number
            release_socket(cast(asyncio.BaseTransport, transport), sock)
            return number

        number = loop.run_until_complete(dial())
        gc.collect()
        os.fstat(number)
        os.close(number)
    loop.close()


def test_idle_clients_leave_descriptors_for_discovery_and_backends(
    tmp_path: Path,
) -> None:
    """200 idle clients connect to a process limited to 64 descriptors while discovery is down."""
    with listen() as discovery, listen() as removed, listen() as backend:
        known = roster(target("s-1", removed.getsockname()[1]), rev=7)
        port = discovery.getsockname()[1]
        with node(tmp_path, known, port, limits={"sockets": 64}) as proxy:
            resource.prlimit(proxy.process.pid, resource.RLIMIT_NOFILE, (64, 64))
            down = accept(discovery)
            idle = []
            for _ in range(100):
                idle.append(proxy.connect())
                idle[-1].send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                assert idle[-1].message()[0] == "HTTP/1.1 200 OK"
            idle += [proxy.connect() for _ in range(100)]
            for _ in range(3):
                down.reset()
                down = accept(discovery)  # the node can still connect to retry
            down.message()
            row = target("s-2", backend.getsockname()[1])
            down.send(answer(json.dumps(roster(row, rev=9)).encode()))
            accept(discovery).message()
            served_by(proxy, backend)
            assert proxy.descriptors() <= 64
            proxy.process.terminate()
            assert proxy.process.wait(LIMIT) == 0

"""Fixtures: a node process with one backend, and a host with fakes around it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest

from loadbalancer.config.node import load
from loadbalancer.proxy.host import Node
from tests.harness import Running, config, listen, node, roster, target
from tests.proxy.host_fakes import Balancer, Client, Clock, Upstream


@pytest.fixture
def backend() -> Iterator[socket.socket]:
    """A backend's listening socket, whose connections the test accepts."""
    with listen() as sock:
        yield sock


@pytest.fixture
def proxy(tmp_path: Path, backend: socket.socket) -> Iterator[Running]:
    """A node process with one backend."""
    with node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as running:
        yield running


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr("time.monotonic_ns", clock)
    return clock


@pytest.fixture
def host(tmp_path: Path, clock: Clock) -> Iterator[Node]:
    """A host that has not been started, with a fake Balancer and a fake connection pool."""
    del clock  # patched in before the node reads the clock
    loop = asyncio.new_event_loop()
    made = Node(load(config(tmp_path, roster(target("s-1", 9)), 1)), loop)
    made.balancer = cast(Any, Balancer())
    made.upstream = cast(Any, Upstream(made))
    yield made
    loop.close()


@pytest.fixture
def balancer(host: Node) -> Balancer:
    return cast(Balancer, host.balancer)


@pytest.fixture
def upstream(host: Node) -> Upstream:
    return cast(Upstream, host.upstream)


@pytest.fixture
def client() -> Client:
    return Client()

"""A node before one backend, as a process of its own; a connection by itself."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any, cast

import pytest

from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.lifecycle import Lifecycle
from tests.harness import Running, node, roster, target
from tests.proxy.downstream.surroundings import Host, Transport

# A node's descriptors, so few that a test can use them up.
FEW_DESCRIPTORS = {"sockets": 64}


@pytest.fixture
def start(tmp_path: Path, backend: socket.socket) -> Iterator[Callable[..., Running]]:
    """Starts the node with the given options of `harness.node`; the test's end kills it."""
    with ExitStack() as stack:

        def start(**options: Any) -> Running:
            known = roster(target("s-1", backend.getsockname()[1]))
            return stack.enter_context(node(tmp_path, known, **options))

        yield start


@pytest.fixture
def proxy(start: Callable[..., Running]) -> Running:
    """A node with the usual settings."""
    return start()


@pytest.fixture
def small_proxy(start: Callable[..., Running]) -> Running:
    """A node with FEW_DESCRIPTORS."""
    return start(limits=FEW_DESCRIPTORS)


# ---- a connection without sockets: see `surroundings` ----


@pytest.fixture
def host() -> Host:
    return Host()


@pytest.fixture
def registry(host: Host) -> ConnectionRegistry:
    return ConnectionRegistry(cast(Any, host), Lifecycle())


@pytest.fixture
def transport() -> Transport:
    return Transport()


@pytest.fixture
def unreported(registry: ConnectionRegistry) -> Iterator[ClientConnection]:
    """A connection that the loop has not reported yet."""
    with socket.socket() as sock:
        yield ClientConnection(registry, sock)


@pytest.fixture
def conn(unreported: ClientConnection, transport: Transport) -> ClientConnection:
    """A connection on which nothing has come yet."""
    unreported.connection_made(cast(Any, transport))
    return unreported

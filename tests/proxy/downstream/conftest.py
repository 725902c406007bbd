"""Fixtures: a node with one backend, as a separate process, and a connection with fakes."""

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
from tests.harness import Running, listen, node, roster, target
from tests.proxy.downstream.connection_fakes import Host, Transport

# So few descriptors for a node that a test can use them up.
FEW_DESCRIPTORS = {"sockets": 64}


@pytest.fixture
def start(tmp_path: Path, backend: socket.socket) -> Iterator[Callable[..., Running]]:
    """Start a node with options of `harness.node`; it is killed at the end of the test."""
    with ExitStack() as stack:

        def start(**options: Any) -> Running:
            known = roster(target("s-1", backend.getsockname()[1]))
            return stack.enter_context(node(tmp_path, known, **options))

        yield start


@pytest.fixture
def proxy(start: Callable[..., Running]) -> Running:
    """A node with the default settings."""
    return start()


@pytest.fixture
def small_proxy(start: Callable[..., Running]) -> Running:
    """A node with FEW_DESCRIPTORS."""
    return start(limits=FEW_DESCRIPTORS)


# Fixtures for a connection with a fake transport, loop and host.


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
def unreported_conn(registry: ConnectionRegistry) -> Iterator[ClientConnection]:
    """A connection that the event loop has not set up yet."""
    # A real connection: the socket is asked whether the client has left.
    with listen() as server, socket.create_connection(server.getsockname()):
        sock, _ = server.accept()
        with sock:
            yield ClientConnection(registry, sock)


@pytest.fixture
def conn(unreported_conn: ClientConnection, transport: Transport) -> ClientConnection:
    """A connection on which nothing has been received yet."""
    unreported_conn.connection_made(cast(Any, transport))
    return unreported_conn

"""Fixtures of the tests at a real node."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness import Running, listen, node, roster, target


@pytest.fixture
def backend() -> Iterator[socket.socket]:
    """A backend's listening socket, whose connections the test accepts."""
    with listen() as sock:
        yield sock


@pytest.fixture
def n(tmp_path: Path, backend: socket.socket) -> Iterator[Running]:
    """A node with one backend."""
    with node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as running:
        yield running

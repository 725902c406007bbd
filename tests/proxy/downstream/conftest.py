"""A node before one backend, as a process of its own."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.harness import Running, node, roster, target

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

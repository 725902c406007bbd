"""Fixtures: a node with one backend, and a client connected to the node."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness import Peer, listen, node, roster, target
from tests.proxy.upstream.proxied import Proxied


@pytest.fixture
def proxied(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Proxied]:
    """A node with one backend; an indirect parameter sets the node's memory limit in MB."""
    limits = {"memory_mb": getattr(request, "param", 128)}
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, limits=limits) as running:
            yield Proxied(running, backend)
            assert running.stop() == 0


@pytest.fixture
def client(proxied: Proxied) -> Peer:
    return proxied.connect()

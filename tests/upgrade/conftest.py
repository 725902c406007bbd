"""Fixtures: a backend, the environment of one node, and a starter of this node's processes."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from loadbalancer.config.address import Address
from loadbalancer.upgrade.socket_path import socket_path
from tests.harness import Running, config, listen, roster, started, target
from tests.upgrade.support import ADMIN, PATIENT, StartProcess


@pytest.fixture
def backend() -> Iterator[socket.socket]:
    """The listening socket of the node's only backend."""
    with listen() as sock:
        yield sock


@pytest.fixture
def discovery() -> Iterator[socket.socket]:
    """The listening socket of a discovery service, whose answers the test sends."""
    with listen() as sock:
        yield sock


@pytest.fixture
def environ(tmp_path: Path, backend: socket.socket) -> dict[str, str]:
    """Environment variables of the node, with the backend in its list and no discovery service."""
    known = roster(target("s-1", backend.getsockname()[1]), rev=7)
    return config(tmp_path, known, 1, admin=ADMIN, settings=PATIENT)


@pytest.fixture
def upgrade_socket(tmp_path: Path) -> Path:
    """The path of the upgrade socket of processes with this environment."""
    return tmp_path / os.path.basename(socket_path(Address("127.0.0.1", 0)))


@pytest.fixture
def start(environ: dict[str, str]) -> Iterator[StartProcess]:
    """Starts processes of the node, by default with `environ`, and stops them after the test."""
    with contextlib.ExitStack() as stack:

        def start_process(other_environ: dict[str, str] | None = None) -> Running:
            return stack.enter_context(started(other_environ or environ))

        yield start_process

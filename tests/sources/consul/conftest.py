"""Fixtures of the tests with a fake Consul."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from fakes.processes import Process, running_process


@pytest.fixture
def agent() -> Iterator[Process]:
    """A fake Consul agent without a server."""
    with running_process(("-m", "fakes.consul")) as process:
        yield process


@pytest.fixture
def second_agent() -> Iterator[Process]:
    """Another one, which shares nothing with the first."""
    with running_process(("-m", "fakes.consul")) as process:
        yield process

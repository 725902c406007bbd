"""Fixture: control machines that the tests of a module share."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.control_machines import Machines, three


@pytest.fixture(scope="module")
def region(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Machines]:
    """Three control machines of one region, started once for each test module.

    The tests of a module share their state. A test that stops a machine must start it again.
    """
    with three(tmp_path_factory.mktemp("scale")) as machines:
        yield machines

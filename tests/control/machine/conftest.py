"""Control machines that the tests of a module share."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.control_machines import Machines, three


@pytest.fixture(scope="module")
def region(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Machines]:
    """Three machines, anew for each module: its tests share their services.

    A test that ends a machine starts it again.
    """
    with three(tmp_path_factory.mktemp("scale")) as machines:
        yield machines

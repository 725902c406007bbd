"""Control machines that the tests of this folder share."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.control_machines import Machines, three


@pytest.fixture(scope="session")
def region(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Machines]:
    """Three machines for all tests here; a test that ends one starts it again."""
    with three(tmp_path_factory.mktemp("scale")) as machines:
        yield machines

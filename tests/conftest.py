"""What holds for the whole suite."""

from __future__ import annotations

import pytest

pytest_plugins = ["tests.known_red"]

# Modules with the longest tests, by wall time: begun last, one of them alone would keep a worker
# busy while the others have nothing left to do.
LONG_MODULES = (
    "tests.benchmarks.test_scale_run",
    "tests.sources.test_cold_start",
    "tests.sources.consul.test_reader",
    "tests.core.endpoints.test_merged_list",
    "tests.gossip_transport.test_transport",
    "tests.core.gossip.test_fleet_service",
    "tests.sources.consul.test_control_service",
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the modules with the longest tests first; the others in their order."""

    def place(item: pytest.Item) -> int:
        module = item.module.__name__ if isinstance(item, pytest.Function) else ""
        return LONG_MODULES.index(module) if module in LONG_MODULES else len(LONG_MODULES)

    items.sort(key=place)

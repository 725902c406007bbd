"""What holds for the whole suite."""

from __future__ import annotations

pytest_plugins = ["tests.known_red"]

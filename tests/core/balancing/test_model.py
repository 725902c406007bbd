"""Tests of the checks of Settings."""

from __future__ import annotations

import pytest

from loadbalancer.core import (
    Balancer,
    Settings,
)
from loadbalancer.core.balancing.model import SECOND
from tests.recording_host import PURE, UNSAFE, Host


def test_invalid_settings_and_class_numbers_are_refused() -> None:
    with pytest.raises(ValueError, match="class"):
        Settings(classes=())
    with pytest.raises(ValueError, match="balancers"):
        Settings(classes=(PURE, UNSAFE), nodes=0)
    balancer = Balancer(Settings(classes=(PURE,)), 1, Host())
    with pytest.raises(ValueError, match="class"):
        balancer.on_request(0, 1, 5, SECOND)

"""Settings are checked as they are made."""

from __future__ import annotations

import pytest

from loadbalancer.core import (
    Balancer,
    Settings,
)
from loadbalancer.core.balancing.model import SECOND
from tests.recording_host import PURE, UNSAFE, Host


def test_settings_are_checked() -> None:
    with pytest.raises(ValueError, match="class"):
        Settings(classes=())
    with pytest.raises(ValueError, match="balancers"):
        Settings(classes=(PURE, UNSAFE), nodes=0)
    balancer = Balancer(Settings(classes=(PURE,)), 1, Host())
    with pytest.raises(ValueError, match="class"):
        balancer.on_request(0, 1, 5, SECOND)

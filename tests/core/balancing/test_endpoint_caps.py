"""Tests of how an endpoint's slots are divided among the nodes."""

from __future__ import annotations

from loadbalancer.core import (
    Settings,
)
from tests.recording_host import PURE, build


def test_an_endpoints_slots_belong_to_different_nodes() -> None:
    """With more nodes than slots, each endpoint's slots belong to different nodes."""
    slots_by_endpoint: dict[int, int] = {}
    for node in range(24):
        balancer, _ = build(Settings(classes=(PURE,), node=node, nodes=24), count=48)
        for b in balancer.endpoints.values():
            slots_by_endpoint[b.id] = slots_by_endpoint.get(b.id, 0) + b.cap
    assert set(slots_by_endpoint.values()) == {4}


def test_fractional_limits_are_not_rounded_up_everywhere() -> None:
    """A limit just over 2 must not allow a third request at every endpoint."""
    balancer, host = build(count=20)
    for limit, slots in ((1.0, 20), (2.0, 40), (2.1, 42), (2.5, 50)):
        balancer.state.concurrency_limit = limit
        balancer.update_caps()
        assert abs(balancer.state.max_in_flight - slots) <= 1

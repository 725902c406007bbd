"""Tests of dispatch: requests are sent while slots are free, and queued otherwise."""

from __future__ import annotations

from loadbalancer.core.balancing.model import MS, SECOND, Timer
from tests.recording_host import build


def test_requests_beyond_max_in_flight_are_queued_and_later_rejected() -> None:
    balancer, host = build(count=1)
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    sent = len(host.named("send"))
    assert sent == balancer.state.max_in_flight < 20
    balancer.on_timer(190 * MS, Timer.WAKE)
    assert len(host.named("refuse")) == 20 - sent

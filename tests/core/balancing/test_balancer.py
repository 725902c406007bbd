"""Tests of the Balancer's event interface."""

from __future__ import annotations

from loadbalancer.core import (
    Outcome,
)
from loadbalancer.core.balancing.model import SECOND
from tests.recording_host import build


def test_a_request_reported_twice_is_answered_once() -> None:
    balancer, host = build()
    balancer.on_request(1, 9, 0, SECOND)
    balancer.on_request(1, 9, 0, SECOND)
    assert len(host.named("send")) == 1
    balancer.on_outcome(2, 9, 0, Outcome.OK, 1, True)
    assert balancer.in_flight == 0
    assert not balancer.state.requests

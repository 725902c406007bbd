"""Tests of which queued request is sent next."""

from __future__ import annotations

from loadbalancer.core import (
    Outcome,
    Settings,
    Tenant,
)
from loadbalancer.core.balancing.model import SECOND
from tests.recording_host import PURE, build


def test_round_robin_keeps_the_share_of_each_class_in_flight() -> None:
    balancer, host = build(count=6)
    slots = balancer.state.max_in_flight
    balancer.classes[0].share, balancer.classes[1].share = slots - 4, 3
    balancer.classes[2].share = 1
    for i in range(9 * slots):
        balancer.on_request(1, i, i // 3 % 3 if i > slots else 0, SECOND)
    for step in range(3 * slots):
        out = [r for r in balancer.state.requests.values() if r.in_flight]
        r = out[step % len(out)]
        balancer.on_outcome(2, r.id, 0, Outcome.OK, 1, True)
    assert all(c.queued for c in balancer.classes)
    assert [c.in_flight for c in balancer.classes] == [slots - 4, 3, 1]


def test_requests_over_quota_are_sent_last_and_tenants_by_portion() -> None:
    tenants = (Tenant("a", 0.75, 1000.0), Tenant("b", 0.45, 1000.0), Tenant("c", 0.1, 1.0))
    balancer, host = build(Settings(classes=(PURE,), tenants=tenants), count=1)
    for i in range(balancer.state.max_in_flight):
        balancer.on_request(1, 900 + i, 0, SECOND, 0)
    for i in range(6):
        balancer.on_request(1, 300 + i, 0, SECOND, 2)
    for i in range(12):
        balancer.on_request(1, 100 + i, 0, SECOND, 0)
        balancer.on_request(1, 200 + i, 0, SECOND, 1)
    host.calls.clear()
    for _ in range(9):
        out = next(r for r in balancer.state.requests.values() if r.in_flight)
        balancer.on_outcome(2, out.id, 0, Outcome.OK, 1, True)
    sent = [int(str(c[1])) // 100 for c in host.named("send")]
    assert sent.count(1) == 5
    assert sent.count(2) == 3
    assert sent.count(3) == 1

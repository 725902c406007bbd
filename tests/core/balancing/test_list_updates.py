"""Tests of updates and polls of the endpoint list."""

from __future__ import annotations

from itertools import pairwise

import pytest

from loadbalancer.core import (
    Balancer,
    Listing,
    Settings,
    State,
    Update,
)
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from tests.recording_host import PURE, Host, build


def test_a_draining_endpoint_gets_no_new_requests() -> None:
    balancer, host = build(count=1)
    balancer.on_members(5, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_request(6, 1, 0, SECOND)
    assert host.named("send") == []


def test_the_list_is_polled_again_after_a_failed_poll() -> None:
    host = Host()
    balancer = Balancer(Settings(classes=(PURE,), poll=True), 1, host)
    balancer.start(0)
    balancer.on_members(0, Update.CACHED, [])
    balancer.on_timer(SECOND, Timer.LIST)
    balancer.on_members(SECOND, Update.FAILED)
    due = [int(str(c[2])) for c in host.named("timer") if c[1] == Timer.LIST]
    assert len(host.named("watch")) == 1
    assert due[-1] > SECOND
    balancer.on_timer(due[-1], Timer.LIST)
    assert len(host.named("watch")) == 2


@pytest.mark.parametrize("within", [2 * SECOND, 10 * SECOND])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_failed_polls_are_retried_within_poll_within(within: int, seed: int) -> None:
    """A node that does not poll in time is assumed to know of drains that it has not seen."""
    settings = Settings(classes=(PURE,), poll=True, poll_within=within, nodes=50)
    balancer, host = build(settings, seed=seed)
    polled = [0]
    while len(polled) < 12:
        due = min(int(str(c[2])) for c in host.named("timer") if c[1] == Timer.LIST)
        host.calls.clear()
        balancer.on_timer(due, Timer.LIST)
        assert host.named("watch")
        polled.append(due)
        balancer.on_members(due + 250 * MS, Update.FAILED)
    assert max(b - a for a, b in pairwise(polled)) <= within


def test_records_of_removed_endpoints_are_deleted() -> None:
    """Replaced endpoints have new ids, so records of removed ones would accumulate."""
    balancer, _ = build(count=3)
    for i in range(200):
        rows = [Listing(1000 + i, State.READY), Listing(999 + i, State.GONE)]
        balancer.on_members(i * SECOND, Update.DELTA, rows)
    assert set(balancer.endpoints) == {100, 101, 102, 1199}

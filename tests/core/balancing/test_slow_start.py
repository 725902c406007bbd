"""Tests of how much load a cold endpoint gets."""

from __future__ import annotations

import pytest

from loadbalancer.core import (
    Listing,
    Outcome,
    Settings,
    State,
    Update,
)
from loadbalancer.core.balancing import slow_start
from loadbalancer.core.balancing.model import MS, SECOND
from tests.many_nodes import World
from tests.recording_host import PURE, build


def test_a_cold_endpoints_slots_increase_as_it_warms_up() -> None:
    """With two slots per endpoint, a zone that has just restarted would be mostly idle."""
    start = Listing(100, State.READY, boot=20 * SECOND)
    settings = Settings(classes=(PURE,), cold=10 * SECOND, cold_from=0.2)
    balancer, _ = build(settings, count=1)
    balancer.state.concurrency_limit = 20.0
    caps = []
    for after in (1, 5 * SECOND, 9 * SECOND):
        balancer.on_members(20 * SECOND + after, Update.DELTA, [start])
        caps.append(balancer.endpoints[100].cap)
    assert caps == [4, 12, 18]


def test_a_cold_endpoint_gets_few_requests() -> None:
    cold = [Listing(100 + i, State.READY) for i in range(3)]
    balancer, host = build(Settings(classes=(PURE,), cold=10 * SECOND), count=3)
    now = 20 * SECOND
    balancer.on_members(now, Update.DELTA, [cold[0]._replace(boot=now - 1)])
    for i in range(300):
        at = now + i * 5 * MS
        balancer.on_request(at, i, 0, SECOND)
        balancer.on_outcome(at + MS, i, 0, Outcome.OK, MS, True)
    sent_to = [c[2] for c in host.named("send")]
    assert sent_to.count(100) < sent_to.count(101) / 5


def test_sends_to_a_cold_endpoint_are_spaced_by_its_capacity_fraction() -> None:
    """The gap depends on the usual send rate, the sharing nodes, and the capacity fraction."""
    settings = Settings(
        classes=(PURE,), cold=10 * SECOND, cold_from=0.5, fall_multiple=2.0, fall=SECOND
    )
    balancer, _ = build(settings, count=1)
    state, endpoint = balancer.state, balancer.endpoints[100]
    state.now = 20 * SECOND
    endpoint.cold_until = 30 * SECOND
    assert slow_start.capacity_fraction(state, endpoint) == 0.5
    state.send_rate = 10.0  # 0.5 x 2 x 0.5 x 10 = 5 sends a second
    slow_start.space_sends(state, state.now, endpoint)
    assert endpoint.backoff_until == state.now + 200 * MS
    endpoint.sharers = 3
    slow_start.space_sends(state, state.now, endpoint)
    assert endpoint.backoff_until == state.now + 600 * MS
    state.send_rate = 0.0  # the usual rate is unknown: one send per window
    slow_start.space_sends(state, state.now, endpoint)
    assert endpoint.backoff_until == state.now + SECOND


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("nodes", "servers"), [(2, 10), (20, 16), (30, 16), (200, 60)])
@pytest.mark.parametrize("load", [0.4, 0.9])
def test_sends_of_all_nodes_stay_within_a_cold_servers_budget(
    nodes: int, servers: int, load: float, seed: int
) -> None:
    """Many Balancers that exchange no messages send to servers of which some have just started.

    The work sent to a server in each window of length `Settings.fall` must not exceed
    N + 2 * sqrt(N) + 2 mean requests, where N is `fall_multiple` x present capacity x window.
    """
    world = World(nodes, servers, load, seed)
    world.run(3 * SECOND)
    # Half of the servers are restarted, in steps.
    for begin in range(0, servers // 2, max(servers // 6, 1)):
        world.restart(list(range(begin, min(begin + servers // 6, servers // 2))), SECOND)
        world.run(1500 * MS)
    world.run(3 * SECOND)
    assert world.worst() <= 1.0

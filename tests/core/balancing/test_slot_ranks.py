"""No node is left without a slot that is of use, and the sum at each server stays within its limit.

The slots of each server are dealt to the nodes that share it, without a message between them.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from loadbalancer.core import Balancer, Listing, Outcome, Settings, State, Update
from loadbalancer.core.balancing.class_weights import CYCLE_NS
from loadbalancer.core.balancing.endpoint_caps import MIN_SLOTS, OTHER_ZONES_PART, RESERVE_REACH
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from loadbalancer.core.balancing.records import Endpoint
from tests.many_nodes import World
from tests.recording_host import PURE, build

SIZES = [
    (190, 129, 2), (190, 130, 2), (200, 200, 2), (200, 60, 1), (200, 129, 3), (45, 190, 2),
    (7, 3, 2), (60, 61, 1), (31, 30, 1),
]  # fmt: skip
SEEDS = (0, 2, 48)  # of which each had a node that served nobody before


def slots(world: World) -> list[list[Endpoint]]:
    """Each node's backends, in the order of the nodes."""
    return [list(host.balancer.endpoints.values()) for host in world.hosts]


@pytest.mark.parametrize(("nodes", "servers", "zones"), SIZES)
def test_every_node_is_dealt_about_as_many_slots_as_the_others(
    nodes: int, servers: int, zones: int
) -> None:
    world = World(nodes, servers, 0.5, 1, zones=zones)
    total = [sum(b.cap for b in backends if b.local) for backends in slots(world)]
    for zone in range(zones):
        inside = total[zone::zones]
        mean = sum(inside) / len(inside)
        assert min(inside) >= min(MIN_SLOTS, mean) - 1
        assert max(inside) <= mean + 3


@pytest.mark.parametrize(("nodes", "servers", "zones"), SIZES)
def test_all_nodes_together_have_a_servers_limit_and_no_more(
    nodes: int, servers: int, zones: int
) -> None:
    world = World(nodes, servers, 0.5, 1, zones=zones)
    own: Counter[int] = Counter()
    others: Counter[int] = Counter()
    for backends in slots(world):
        for b in backends:
            (own if b.local else others)[b.id] += b.cap
    for server in range(servers):
        peers = len(range(server % zones, nodes, zones))
        local = len(range(server % zones, servers, zones))
        limit = max(4.0, MIN_SLOTS * peers / local)
        assert int(limit) <= own[server + 1] <= int(limit) + 1
        # A node reckons the limit by its own zone, which may be smaller by one.
        spilled = OTHER_ZONES_PART * max(4.0, MIN_SLOTS * (peers + 1) / max(local - 1, 1))
        assert others[server + 1] <= int(spilled) + 1


def bad_world(seed: int) -> World:
    """Nodes with few slots; up to half of the servers slow, up to a third silent."""
    r = Random(seed)
    zones = r.choice([1, 1, 2])
    nodes = r.choice([60, 100, 190])
    servers = int(nodes * r.choice([0.6, 0.7, 1.0, 1.3]))
    world = World(nodes, servers, r.choice([0.6, 0.9, 1.2]), seed, zones=zones)
    world.heavy = r.choice([0.0, 0.01, 0.03])
    slow, silent = r.choice([0.0, 0.1, 0.3]), r.choice([0.2, 0.33])
    order = r.sample(world.servers, servers)
    for server in order[: int(slow * servers)]:
        server.slow = r.choice([3.0, 6.0, 15.0])
    for server in order[-int(silent * servers) :]:
        server.silent = True
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_every_node_serves_while_servers_have_capacity(seed: int) -> None:
    world = bad_world(seed)
    limits = [0.0]
    for _ in range(24):
        world.run(SECOND // 2)
        limits.append(max(host.balancer.concurrency_limit for host in world.hosts))
        for host in world.hosts:
            check_slots_beyond_its_own(host.balancer)
    assert [host.balancer.settings.node for host in world.hosts if host.idle] == []
    floor = MIN_SLOTS * (len(world.hosts) / world.zones + 1) / (len(world.servers) // world.zones)
    max_in_flight = RESERVE_REACH * (int(max(*limits, floor)) + 1)
    if world.zones > 1:
        max_in_flight += RESERVE_REACH * (int(OTHER_ZONES_PART * max(*limits, floor)) + 1)
    assert max(server.max_out for server in world.servers) <= max_in_flight


def check_slots_beyond_its_own(balancer: Balancer) -> None:
    """Slots beyond the deal are no more than those of its own deal, of which some are bad."""
    balancer.update_caps()
    backends = balancer.endpoints.values()
    local = sum(b.local and b.state == State.READY for b in backends)
    limit = max(balancer.concurrency_limit, MIN_SLOTS * balancer.peers / max(local, 1))
    beyond = dealt = 0
    for b in backends:
        within = b.node_rank < int(
            (limit if b.local else limit * OTHER_ZONES_PART) + b.rounding_offset
        )
        dealt += within
        beyond += b.cap > 0 and not within
    assert beyond <= max(min(dealt, MIN_SLOTS), 1)


def test_a_server_that_seemed_slow_gets_its_slots_back_though_nothing_measures_it() -> None:
    settings = Settings((PURE,), node=3, nodes=4, max_attempts=1)
    balancer, host = build(settings, count=4)
    thin = [b for b in balancer.endpoints.values() if b.node_rank == 3]
    b = thin[0]
    full = b.cap
    assert full
    b.latency_ratio = 10.0  # as after heavy requests that all fell on it
    now = CYCLE_NS
    balancer.on_timer(now, Timer.CYCLE)
    assert not b.cap
    while now < 40 * SECOND and not b.cap:
        now += CYCLE_NS
        balancer.on_timer(now, Timer.CYCLE)
    assert b.cap == full
    assert not host.named("send")


def test_a_node_whose_own_servers_are_all_silent_uses_other_servers_within_a_cycle() -> None:
    rows = [Listing(100 + i, State.READY) for i in range(40)]
    settings = Settings((PURE,), node=5, nodes=40, max_attempts=1)
    balancer, host = build(settings, count=0)
    balancer.on_members(0, Update.FULL, rows)
    own = {b.id for b in balancer.endpoints.values() if b.cap}
    now, rid = 0, 0
    for _ in range(12):  # its own servers answer nothing, until each has been left alone
        for _ in own:
            rid += 1
            balancer.on_request(now, rid, 0, SECOND)
        now += 200 * MS
        sent = [c for c in host.named("send") if c[2] in own]
        for _, request, _, _ in sent:
            balancer.on_outcome(now, int(str(request)), 0, Outcome.TIMEOUT, 200 * MS, False)
        if all(balancer.endpoints[i].ejected_until for i in own):
            break
    assert all(balancer.endpoints[i].ejected_until for i in own)
    balancer.on_timer(now, Timer.CYCLE)
    host.calls.clear()
    balancer.on_request(now, rid + 1, 0, SECOND)
    sent_to = {c[2] for c in host.named("send")}
    assert len(sent_to) == 1
    assert not sent_to & own

"""Tests of how the slots of all endpoints are distributed over many nodes.

The nodes exchange no messages. Every node must have usable slots, and the slots of all nodes
at one server must stay within its limit.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from loadbalancer.core import Balancer, Listing, Outcome, Settings, State, Update
from loadbalancer.core.balancing.class_weights import CYCLE_NS
from loadbalancer.core.balancing.endpoint_caps import (
    MAX_RESERVE_RANK_MULTIPLE,
    MIN_SLOTS,
    OTHER_ZONES_LIMIT_FRACTION,
)
from loadbalancer.core.balancing.model import MS, SECOND, Timer
from loadbalancer.core.balancing.records import Endpoint
from tests.many_nodes import World
from tests.recording_host import PURE, build

SIZES = [
    (190, 129, 2), (190, 130, 2), (200, 200, 2), (200, 60, 1), (200, 129, 3), (45, 190, 2),
    (7, 3, 2), (60, 61, 1), (31, 30, 1),
]  # fmt: skip
SEEDS = (0, 2, 48)  # with each, some node once had no usable slot


def endpoints_by_node(world: World) -> list[list[Endpoint]]:
    """The endpoints as each node sees them, in the order of the nodes."""
    return [list(host.balancer.endpoints.values()) for host in world.hosts]


@pytest.mark.parametrize(("nodes", "servers", "zones"), SIZES)
def test_every_node_has_about_as_many_slots_as_the_others(
    nodes: int, servers: int, zones: int
) -> None:
    world = World(nodes, servers, 0.5, 1, zones=zones)
    total = [sum(b.cap for b in backends if b.local) for backends in endpoints_by_node(world)]
    for zone in range(zones):
        inside = total[zone::zones]
        mean = sum(inside) / len(inside)
        assert min(inside) >= min(MIN_SLOTS, mean) - 1
        assert max(inside) <= mean + 3


@pytest.mark.parametrize(("nodes", "servers", "zones"), SIZES)
def test_all_nodes_together_have_as_many_slots_as_a_servers_limit(
    nodes: int, servers: int, zones: int
) -> None:
    world = World(nodes, servers, 0.5, 1, zones=zones)
    own: Counter[int] = Counter()
    others: Counter[int] = Counter()
    for backends in endpoints_by_node(world):
        for b in backends:
            (own if b.local else others)[b.id] += b.cap
    for server in range(servers):
        peers = len(range(server % zones, nodes, zones))
        local = len(range(server % zones, servers, zones))
        limit = max(4.0, MIN_SLOTS * peers / local)
        assert int(limit) <= own[server + 1] <= int(limit) + 1
        # A node computes the limit from its own zone, which may have one endpoint less.
        spilled = OTHER_ZONES_LIMIT_FRACTION * max(4.0, MIN_SLOTS * (peers + 1) / max(local - 1, 1))
        assert others[server + 1] <= int(spilled) + 1


def degraded_world(seed: int) -> World:
    """Nodes with few slots, and many servers slow or silent (up to a third each)."""
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
def test_every_node_serves_requests_while_servers_have_capacity(seed: int) -> None:
    world = degraded_world(seed)
    limits = [0.0]
    for _ in range(24):
        world.run(SECOND // 2)
        limits.append(max(host.balancer.concurrency_limit for host in world.hosts))
        for host in world.hosts:
            check_reserve_slots(host.balancer)
    assert [host.balancer.settings.node for host in world.hosts if host.idle] == []
    floor = MIN_SLOTS * (len(world.hosts) / world.zones + 1) / (len(world.servers) // world.zones)
    max_in_flight = MAX_RESERVE_RANK_MULTIPLE * (int(max(*limits, floor)) + 1)
    if world.zones > 1:
        max_in_flight += MAX_RESERVE_RANK_MULTIPLE * (
            int(OTHER_ZONES_LIMIT_FRACTION * max(*limits, floor)) + 1
        )
    assert max(server.max_out for server in world.servers) <= max_in_flight


def check_reserve_slots(balancer: Balancer) -> None:
    """Check that a node uses no more reserve slots than it has slots of its own."""
    balancer.update_caps()
    backends = balancer.endpoints.values()
    local = sum(b.local and b.state == State.READY for b in backends)
    limit = max(balancer.concurrency_limit, MIN_SLOTS * balancer.peers / max(local, 1))
    reserve = own = 0
    for b in backends:
        within = b.node_rank < int(
            (limit if b.local else limit * OTHER_ZONES_LIMIT_FRACTION) + b.rounding_offset
        )
        own += within
        reserve += b.cap > 0 and not within
    assert reserve <= max(min(own, MIN_SLOTS), 1)


def test_a_slow_endpoint_without_requests_regains_its_slots() -> None:
    settings = Settings((PURE,), node=3, nodes=4, max_attempts=1)
    balancer, host = build(settings, count=4)
    candidates = [b for b in balancer.endpoints.values() if b.node_rank == 3]
    b = candidates[0]
    full = b.cap
    assert full
    b.latency_ratio = 10.0  # as after several expensive requests
    now = CYCLE_NS
    balancer.on_timer(now, Timer.CYCLE)
    assert not b.cap
    while now < 40 * SECOND and not b.cap:
        now += CYCLE_NS
        balancer.on_timer(now, Timer.CYCLE)
    assert b.cap == full
    assert not host.named("send")


def test_a_node_whose_own_endpoints_are_all_silent_uses_reserve_slots_within_a_cycle() -> None:
    rows = [Listing(100 + i, State.READY) for i in range(40)]
    settings = Settings((PURE,), node=5, nodes=40, max_attempts=1)
    balancer, host = build(settings, count=0)
    balancer.on_members(0, Update.FULL, rows)
    own = {b.id for b in balancer.endpoints.values() if b.cap}
    now, request_id = 0, 0
    for _ in range(12):  # its own servers do not respond, until all of them are ejected
        for _ in own:
            request_id += 1
            balancer.on_request(now, request_id, 0, SECOND)
        now += 200 * MS
        sent = [c for c in host.named("send") if c[2] in own]
        for _, request, _, _ in sent:
            balancer.on_outcome(now, int(str(request)), 0, Outcome.TIMEOUT, 200 * MS, False)
        if all(balancer.endpoints[i].ejected_until for i in own):
            break
    assert all(balancer.endpoints[i].ejected_until for i in own)
    balancer.on_timer(now, Timer.CYCLE)
    host.calls.clear()
    balancer.on_request(now, request_id + 1, 0, SECOND)
    sent_to = {c[2] for c in host.named("send")}
    assert len(sent_to) == 1
    assert not sent_to & own

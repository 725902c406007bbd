"""Simulation of Balancers with gossip and failing servers: invariants, and effect on requests."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import SECOND
from simulation.fleet_faults import run_seed
from simulation.fleet_invariants import InvariantChecker
from simulation.fleet_mutants import MUTANTS
from simulation.service_world.counters import Count
from simulation.service_world.faults import Fault, cause
from simulation.service_world.settings import ServicePlan
from simulation.service_world.world import ServiceWorld


def run_with_drains(gossip: bool) -> ServiceWorld:
    plan = ServicePlan(nodes=12, servers=16, seed=1, gossip=gossip, rate=900)
    world = ServiceWorld(plan)
    world.start_all()
    world.clients.run(14 * SECOND)
    world.run(5 * SECOND)
    cause(world, Fault.DRAIN)
    world.run(12 * SECOND)
    return world


def two_hot_nodes(seed: int) -> ServicePlan:
    """Two nodes get 12 times the load of the others; the servers can do 4,000 requests a second."""
    return ServicePlan(
        nodes=20, servers=20, seed=seed, gossip=True, rate=3200, hot_nodes=(0, 1), hot_weight=12
    )


def test_a_drain_that_one_node_reads_is_applied_by_all_nodes() -> None:
    without, with_gossip = run_with_drains(False), run_with_drains(True)
    assert not without.breaches
    assert not with_gossip.breaches
    sent = Count.SENT_TO_DRAINED
    assert without.counts[sent] > 100
    assert with_gossip.counts[sent] * 5 < without.counts[sent]


def test_a_node_with_more_clients_leases_idle_slots_of_other_nodes() -> None:
    """Two of 20 nodes get 12 times the load of the others, at 0.8 of the servers' capacity."""
    world = ServiceWorld(two_hot_nodes(seed=1))
    world.start_all()
    world.clients.run(20 * SECOND)
    world.run(9 * SECOND)
    world.counts.clear()
    world.run(14 * SECOND)
    assert world.counts[Count.REFUSED] < 0.01 * world.counts[Count.REQUESTS]
    assert not world.breaches
    assert len(world.nodes[0].leases.active) > 2
    assert max(server.max_in_flight for server in world.pool) <= world.settings[0].slots_per_server
    # All messages are lost: within 4 s leases end, and nodes use the slots without gossip.
    slots = [bridge.slots for bridge in world.bridges.values()]
    assert not any(s.isolated for s in slots)
    cause(world, Fault.GOSSIP_LOSS)
    world.run(18 * SECOND)
    assert all(s.isolated and not s.leases for s in slots)
    world.links.loss = 0.0
    world.run(20 * SECOND)
    assert not any(s.isolated for s in slots)


def test_a_pause_of_a_minute_ends_a_lease_at_both_nodes() -> None:
    """The grantor and the holder of a lease are stopped, and continue a minute later.

    If the lease were still valid at one of them, two nodes would use the same slot.
    """
    world = ServiceWorld(two_hot_nodes(seed=2))
    InvariantChecker(world)
    world.start_all()
    world.clients.run(16 * SECOND)
    world.run(12 * SECOND)
    holder, grantor = 0, next(iter(world.nodes[0].leases.active))
    assert world.nodes[grantor].leases.grants
    for node in (holder, grantor):
        world.pause(node)
    world.run(72 * SECOND)
    for node in (holder, grantor):
        world.resume(node)
        assert not world.nodes[node].leases.active
        assert not world.nodes[node].leases.grants
    world.run(world.now + 1)  # their first ticks
    assert not world.bridges[holder].slots.leases
    assert not world.bridges[grantor].slots.granted_groups
    world.clients.run(85 * SECOND)
    assert world.run(85 * SECOND, lambda: len(world.nodes[holder].leases.active) > 2)
    world.run(85 * SECOND)
    assert world.breaches == []


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_faults(seed: int) -> None:
    assert run_seed(seed) == []


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_the_invariant_checker_finds_the_fault(
    mutant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A fault that is put into the code breaks an invariant with one of a few seeds."""
    owner, method = MUTANTS[mutant].owner, MUTANTS[mutant].method
    assert callable(getattr(owner, method))
    monkeypatch.setattr(owner, method, MUTANTS[mutant].faulty)
    assert any(run_seed(seed) for seed in range(8))


@pytest.mark.parametrize("load", [0.5, 1.5])
def test_a_cold_start_of_all_nodes_uses_the_capacity_of_cold_servers(load: float) -> None:
    """All nodes and servers start together: no load is known, and no server may be overloaded."""
    plan = ServicePlan(
        nodes=20, servers=20, seed=3, gossip=True, rate=load * 20 * 200, list_readers=2
    )
    world = ServiceWorld(plan)
    world.start_cold()
    world.clients.run(10 * SECOND)
    world.run(10 * SECOND)
    assert not world.counts[Count.OVERWHELMED]
    assert not world.breaches
    # In ten seconds servers warm up from a tenth of their capacity to all of it, 0.55 on average.
    capacity = sum(min(load, 0.1 + 0.09 * (second + 0.5)) for second in range(10)) / (10 * load)
    assert world.counts[Count.SERVED] > 0.93 * capacity * world.counts[Count.REQUESTS]

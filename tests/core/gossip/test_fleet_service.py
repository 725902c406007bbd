"""Real Balancers that gossip, with servers that fail: invariants hold, and fewer requests fail."""

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
    """Two nodes get twelve times what others do; the servers could do 4,000 requests a second."""
    return ServicePlan(
        nodes=20, servers=20, seed=seed, gossip=True, rate=3200, hot_nodes=(0, 1), hot_weight=12
    )


def test_a_drain_that_one_node_reads_spares_the_requests_of_all_others() -> None:
    without, with_gossip = run_with_drains(False), run_with_drains(True)
    assert not without.breaches
    assert not with_gossip.breaches
    sent = Count.SENT_TO_DRAINED
    assert without.counts[sent] > 100
    assert with_gossip.counts[sent] * 5 < without.counts[sent]


def test_a_node_with_more_clients_leases_the_slots_that_others_leave_idle() -> None:
    """Of 20 nodes two get twelve times what the others do, at 0.8 of what all servers can."""
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
    # Every message lost: leases end, and what pressure alone would give is there within 4 s.
    slots = [bridge.slots for bridge in world.bridges.values()]
    assert not any(s.isolated for s in slots)
    cause(world, Fault.GOSSIP_LOSS)
    world.run(18 * SECOND)
    assert all(s.isolated and not s.leases for s in slots)
    world.links.loss = 0.0
    world.run(20 * SECOND)
    assert not any(s.isolated for s in slots)


def test_a_pause_of_a_minute_ends_leases_at_both_sides() -> None:
    """The grantor and the holder of a lease are stopped, and go on a minute later.

    Were a lease still valid at either, two nodes would use one slot.
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
    world.run(world.now + 1)  # their first turns
    assert not world.bridges[holder].slots.leases
    assert not world.bridges[grantor].slots.granted_groups
    world.clients.run(85 * SECOND)
    assert world.run(85 * SECOND, lambda: len(world.nodes[holder].leases.active) > 2)
    world.run(85 * SECOND)
    assert world.breaches == []


@pytest.mark.parametrize("seed", range(6))
def test_no_invariant_is_broken_under_faults_drawn_by_seed(seed: int) -> None:
    assert run_seed(seed) == []


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_the_invariant_checker_finds(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each fault in a rule breaks an invariant within a few seeds."""
    owner, method = MUTANTS[mutant].owner, MUTANTS[mutant].method
    assert callable(getattr(owner, method))
    monkeypatch.setattr(owner, method, MUTANTS[mutant].faulty)
    assert any(run_seed(seed) for seed in range(8))


@pytest.mark.parametrize("load", [0.5, 1.5])
def test_a_black_start_does_what_cold_servers_can_from_the_first_second(load: float) -> None:
    """All nodes and all servers start at once: no rate is known, and no server is overloaded."""
    plan = ServicePlan(
        nodes=20, servers=20, seed=3, gossip=True, rate=load * 20 * 200, list_readers=2
    )
    world = ServiceWorld(plan)
    world.start_cold()
    world.clients.run(10 * SECOND)
    world.run(10 * SECOND)
    assert not world.counts[Count.OVERWHELMED]
    assert not world.breaches
    # They go from a tenth of their capacity to all of it, 0.55 in the mean.
    could = sum(min(load, 0.1 + 0.09 * (second + 0.5)) for second in range(10)) / (10 * load)
    assert world.counts[Count.SERVED] > 0.93 * could * world.counts[Count.REQUESTS]

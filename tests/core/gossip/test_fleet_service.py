"""Real Balancers that gossip, with servers that fail: invariants hold, and fewer requests fail."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.records import RecordStore
from loadbalancer.core.gossip.slot_allocation import SlotAllocation
from loadbalancer.core.gossip.slot_leases import SlotLeases
from simulation.fleet_faults import MUTANTS, Referee, play
from simulation.service_world import Service, trouble


def run_with_drains(gossip: bool) -> Service:
    world = Service(12, 16, 1, gossip, 900)
    world.start_all()
    world.load(14 * SECOND)
    world.run(5 * SECOND)
    trouble(world, "drain")
    world.run(12 * SECOND)
    return world


def test_a_drain_that_one_node_reads_spares_the_requests_of_all_others() -> None:
    without, with_gossip = run_with_drains(False), run_with_drains(True)
    assert not without.breaches
    assert not with_gossip.breaches
    sent = "sent to a drained server"
    assert without.counts[sent] > 100
    assert with_gossip.counts[sent] * 5 < without.counts[sent]


def test_a_node_with_more_clients_leases_the_slots_that_others_leave_idle() -> None:
    """Of 20 nodes two get twelve times what the others do, at 0.8 of what all servers can."""
    world = Service(20, 20, 1, True, 3200, (0, 1), 12)  # before 4,000 that servers can do
    world.start_all()
    world.load(20 * SECOND)
    world.run(9 * SECOND)
    world.counts.clear()
    world.run(14 * SECOND)
    assert world.counts["refused"] < 0.01 * world.counts["asked"]
    assert not world.breaches
    assert len(world.nodes[0].leases.active) > 2
    assert max(server.most for server in world.pool) <= world.terms[0].slots
    # Every message lost: leases end, and what pressure alone would give is there within 4 s.
    slots = [bridge.slots for bridge in world.bridges.values()]
    assert not any(s.isolated for s in slots)
    trouble(world, "cut")
    world.run(18 * SECOND)
    assert all(s.isolated and not s.leases for s in slots)
    world.links.loss = 0.0
    world.run(20 * SECOND)
    assert not any(s.isolated for s in slots)


def test_a_pause_of_a_minute_ends_leases_at_both_sides() -> None:
    """The grantor and the holder of a lease are stopped, and go on a minute later.

    Were a lease still valid at either, two nodes would use one slot.
    """
    world = Service(20, 20, 2, True, 3200, (0, 1), 12)
    Referee(world)
    world.start_all()
    world.load(16 * SECOND)
    world.run(12 * SECOND)
    holder, grantor = 0, next(iter(world.nodes[0].leases.active))
    assert world.nodes[grantor].leases.grants
    for node in (holder, grantor):
        world.stop(node)
    world.run(72 * SECOND)
    for node in (holder, grantor):
        world.go_on(node)
        assert not world.nodes[node].leases.active
        assert not world.nodes[node].leases.grants
    world.run(world.now + 1)  # their first turns
    assert not world.bridges[holder].slots.leases
    assert not world.bridges[grantor].slots.granted_classes
    world.load(85 * SECOND)
    assert world.run(85 * SECOND, lambda: len(world.nodes[holder].leases.active) > 2)
    world.run(85 * SECOND)
    assert world.breaches == []


@pytest.mark.parametrize("seed", range(6))
def test_no_invariant_is_broken_under_faults_drawn_by_seed(seed: int) -> None:
    assert play(seed) == []


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_the_invariant_checker_finds(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each fault in a rule breaks an invariant within a few seeds."""
    classes = {cls.__name__: cls for cls in (RecordStore, Membership, SlotAllocation, SlotLeases)}
    owner, name, fault = MUTANTS[mutant]
    assert callable(getattr(classes[owner], name))
    monkeypatch.setattr(classes[owner], name, fault)
    assert any(play(seed) for seed in range(8))


@pytest.mark.parametrize("load", [0.5, 1.5])
def test_a_black_start_does_what_cold_servers_can_from_the_first_second(load: float) -> None:
    """All nodes and all servers start at once: no rate is known, and no server is overloaded."""
    world = Service(20, 20, 3, True, load * 20 * 200, readers=2)
    world.black_start()
    world.load(10 * SECOND)
    world.run(10 * SECOND)
    assert not world.counts["falls of cold servers"]
    assert not world.breaches
    # They go from a tenth of their capacity to all of it, 0.55 in the mean.
    could = sum(min(load, 0.1 + 0.09 * (second + 0.5)) for second in range(10)) / (10 * load)
    assert world.counts["served"] > 0.93 * could * world.counts["asked"]

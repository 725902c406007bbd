"""Real Balancers with messages between them before servers that fail: rules kept, less lost."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.gossip.membership import Members
from loadbalancer.core.gossip.records import Beliefs
from loadbalancer.core.gossip.slot_leases import SlotLeases
from loadbalancer.core.gossip.slots import Slots
from simulation.fleet_faults import MUTANTS, Referee, play
from simulation.service_world import Service, trouble


def played(gossip: bool) -> Service:
    world = Service(12, 16, 1, gossip, 900)
    world.start_all()
    world.load(14 * SECOND)
    world.run(5 * SECOND)
    trouble(world, "drain")
    world.run(12 * SECOND)
    return world


def test_a_drain_told_to_one_spares_the_sends_that_all_others_would_make() -> None:
    without, with_words = played(False), played(True)
    assert not without.breaches and not with_words.breaches
    sent = "sent to a drained server"
    assert without.counts[sent] > 100 and with_words.counts[sent] * 5 < without.counts[sent]


def test_a_node_with_more_clients_borrows_the_slots_that_others_leave_idle() -> None:
    """Of 20 nodes two get twelve times what the others do, at 0.8 of what all servers can."""
    world = Service(20, 20, 1, True, 3200, (0, 1), 12)  # before 4,000 that servers can do
    world.start_all()
    world.load(20 * SECOND)
    world.run(9 * SECOND)
    world.counts.clear()
    world.run(14 * SECOND)
    assert world.counts["refused"] < 0.01 * world.counts["asked"]
    assert not world.breaches and len(world.nodes[0].leases.held) > 2
    assert max(server.most for server in world.pool) <= world.terms[0].slots
    # Every message lost: leases end, and what pressure alone would give is there within 4 s.
    slots = [bridge.slots for bridge in world.bridges.values()]
    assert not any(s.free for s in slots)
    trouble(world, "cut")
    world.run(18 * SECOND)
    assert all(s.free and not s.borrowed for s in slots)
    world.links.loss = 0.0
    world.run(20 * SECOND)
    assert not any(s.free for s in slots)


def test_a_minute_s_stop_with_leases_out_ends_them_at_both_sides() -> None:
    world = Service(20, 20, 2, True, 3200, (0, 1), 12)
    Referee(world)
    world.start_all()
    world.load(16 * SECOND)
    world.run(12 * SECOND)
    borrower, lender = 0, next(iter(world.nodes[0].leases.held))
    assert world.nodes[lender].leases.lent
    for node in (borrower, lender):
        world.stop(node)
    world.run(72 * SECOND)
    for node in (borrower, lender):
        world.go_on(node)
        assert not world.nodes[node].leases.held and not world.nodes[node].leases.lent
    world.run(world.now + 1)  # their first turns
    assert not world.bridges[borrower].slots.borrowed and not world.bridges[lender].slots.out
    world.load(85 * SECOND)
    assert world.run(85 * SECOND, lambda: len(world.nodes[borrower].leases.held) > 2)
    world.run(85 * SECOND)
    assert world.breaches == []


@pytest.mark.parametrize("seed", range(6))
def test_no_rule_is_broken_under_faults_drawn_by_seed(seed: int) -> None:
    assert play(seed) == []


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_the_referee_catches(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each fault put into the rules breaks one of its own within a few seeds."""
    rooms = {"Beliefs": Beliefs, "Members": Members, "Slots": Slots, "SlotLeases": SlotLeases}
    room, name, fault = MUTANTS[mutant]
    monkeypatch.setattr(rooms[room], name, fault)
    assert any(play(seed) for seed in range(8))


@pytest.mark.parametrize("load", [0.5, 1.5])
def test_a_black_start_does_what_cold_servers_can_from_the_first_second(load: float) -> None:
    """All nodes and all servers start at once: nobody has seen any rate, and nothing falls."""
    world = Service(20, 20, 3, True, load * 20 * 200, readers=2)
    world.black_start()
    world.load(10 * SECOND)
    world.run(10 * SECOND)
    assert not world.counts["falls of cold servers"] and not world.breaches
    # They go from a tenth of their capacity to all of it, 0.55 in the mean.
    could = sum(min(load, 0.1 + 0.09 * (second + 0.5)) for second in range(10)) / (10 * load)
    assert world.counts["served"] > 0.93 * could * world.counts["asked"]

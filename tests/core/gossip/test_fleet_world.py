"""Many gossip nodes in one simulation: loss, partitions, kills and pauses, drawn by seed."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import MS, SECOND, ReportedState, State
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    MemberRecord,
    MemberStatus,
    Message,
    MessageKind,
    Observation,
    Outgoing,
)
from loadbalancer.core.gossip.own_observations import publishable_results
from simulation.gossip_world import GossipWorld


def settled(nodes: int, servers: int = 30, seed: int = 1, zones: int = 1) -> GossipWorld:
    world = GossipWorld(nodes, servers, seed, zones)
    world.start_all()
    world.run(5 * SECOND)
    assert all(f.caught_up for f in world.nodes.values())
    return world


def drain(
    world: GossipWorld, node: int, rev: int, server: int, state: State = State.DRAINING
) -> None:
    """This node alone reads it from the list service."""
    world.nodes[node].on_local_list(world.clock(node), rev, [(server, 0, state)], False)


def drained(world: GossipWorld, server: int) -> int:
    """How many know."""
    states = (f.effective_state(server, 0, State.READY) for f in world.nodes.values())
    return sum(state != State.READY for state in states)


def dead_views(world: GossipWorld) -> set[int]:
    return {record.node for f in world.nodes.values() for record in f.members.non_alive_records()}


def converged(world: GossipWorld) -> bool:
    return len({(*f.records.digest, f.members.digest()) for f in world.nodes.values()}) == 1


@pytest.mark.parametrize(("nodes", "loss", "within"), [(21, 0.0, 0.5), (60, 0.3, 5.0)])
def test_a_drain_known_to_one_is_known_to_all(nodes: int, loss: float, within: float) -> None:
    world = settled(nodes)
    world.links.loss = loss
    began = world.now
    drain(world, 0, 2, 7)
    assert world.run(began + int(within * SECOND), lambda: drained(world, 7) >= nodes - 1)


def test_under_loss_no_member_stays_dead_and_messages_stay_within_the_rate() -> None:
    world = settled(40)
    world.links.loss = 0.3
    world.run(world.now + 2 * SECOND)
    before = world.sent.copy()
    world.run(world.now + 20 * SECOND)
    assert all((world.sent[n] - before[n]) / 20 <= 20 for n in world.nodes)
    world.links.loss = 0.0
    assert world.run(world.now + 10 * SECOND, lambda: not dead_views(world))


def test_a_dead_member_and_its_return_are_detected() -> None:
    world = settled(21)
    world.kill(3)
    assert world.run(
        world.now + 8 * SECOND,
        lambda: all(not f.members.is_alive(3) for f in world.nodes.values()),
    )
    assert dead_views(world) == {3}
    world.start(3)
    assert world.run(world.now + 2 * SECOND, lambda: not dead_views(world))


def test_one_way_links_and_a_leave_are_no_deaths() -> None:
    world = settled(9)
    world.links.block([0], range(2, 9))  # only node 1 receives node 0's messages
    world.run(world.now + 10 * SECOND)
    assert all(f.members.is_alive(0) for f in world.nodes.values())
    world.links.unblock()
    world.send(4, world.nodes[4].leave())
    world.kill(4)
    others = list(world.nodes.values())
    assert world.run(
        world.now + SECOND,
        lambda: all(f.members.record(4).status == MemberStatus.LEFT for f in others),
    )


@pytest.mark.parametrize("seed", range(8))
def test_two_sides_that_went_apart_come_to_converged(seed: int) -> None:
    """2 and 3: a server drains on one side, another is replaced on the other; both heal."""
    world = settled(5, seed=seed)
    world.links.partition({0, 1}, {2, 3, 4})
    world.run(world.now + 6 * SECOND)
    drain(world, 0, 2, 7)
    drain(world, 3, 3, 8, State.GONE)
    world.run(world.now + 6 * SECOND)
    assert world.nodes[1].members.alive_count() == 2
    assert world.nodes[2].members.alive_count() == 3
    world.links.unblock()
    world.links.loss = 0.1
    world.run(world.now + 12 * SECOND)
    world.links.loss = 0.0
    assert world.run(world.now + 10 * SECOND, lambda: converged(world))
    assert not dead_views(world)
    # Node 3's own list is of version 3 and goes before version 2's message at the others.
    assert drained(world, 8) >= 4
    assert drained(world, 7) >= 3


def test_a_node_paused_for_a_minute_restores_no_old_records() -> None:
    world = settled(9)
    world.nodes[4].observe(world.clock(4), 5, publishable_results(3, True, 0, 1.0), world.clock(4))
    world.pause(4)
    world.run(world.now + 20 * SECOND)
    assert dead_views(world) == {4}
    drain(world, 0, 2, 7)
    world.run(world.now + 40 * SECOND)
    for fleet in world.nodes.values():
        fleet.records.changed.clear()
    world.resume(4)
    assert world.run(world.now + 5 * SECOND, lambda: world.nodes[4].caught_up)
    world.run(world.now + 3 * SECOND)
    assert not dead_views(world)
    assert drained(world, 7) == 8  # all but node 0, which has it on its own list
    assert all(not [r for r in f.records.records_of_server(5)] for f in world.nodes.values())


def test_clocks_that_jump_restore_no_old_records_and_no_member_is_declared_dead() -> None:
    """A machine that was paused: its clock goes on by a minute between two of its turns."""
    world = settled(9)
    drain(world, 0, 2, 7)
    world.run(world.now + SECOND)
    world.nodes[3].observe(world.clock(3), 5, publishable_results(3, True, 0, 1.0), world.clock(3))
    world.run(world.now + SECOND)
    for node in (2, 3, 6):
        world.clock_offsets[node] += 60 * SECOND
        world.schedule_turn(node, world.now)
    assert world.run(world.now + 5 * SECOND, lambda: all(f.caught_up for f in world.nodes.values()))
    world.run(world.now + 3 * SECOND)
    assert not dead_views(world)
    assert drained(world, 7) == 8
    assert sum(f.counters["stalls"] for f in world.nodes.values()) == 3
    world.run(world.now + 16 * SECOND)  # the observation has expired by every clock
    assert all(not f.records.records_of_server(5) for f in world.nodes.values())


def test_a_node_that_restarts_with_an_earlier_clock_is_accepted_again() -> None:
    world = settled(9)
    world.kill(4)
    world.starts[4] = -10_000_000  # some hours before its last start
    world.start(4)
    assert world.run(
        world.now + 12 * SECOND,
        lambda: world.nodes[4].members.refutations > 0 and not dead_views(world),
    )
    drain(world, 4, 2, 7)
    assert world.run(world.now + 2 * SECOND, lambda: drained(world, 7) >= 8)


def test_twenty_kills_in_the_middle_of_catch_up() -> None:
    world = settled(9)
    for server in range(20):
        drain(world, 0, 2 + server, server)
    world.run(world.now + SECOND)
    for turn in range(20):
        victim = 1 + turn % 8
        world.kill(victim)
        world.start(victim)
        world.run(world.now + (20 + 13 * turn) * MS)
    assert world.run(world.now + 5 * SECOND, lambda: all(f.caught_up for f in world.nodes.values()))
    assert world.run(world.now + 5 * SECOND, lambda: drained(world, 3) >= 8)
    assert world.run(world.now + 5 * SECOND, lambda: not dead_views(world))


def test_seven_of_nine_killed_then_the_last_then_all_start_anew() -> None:
    world = settled(9)
    for victim in range(7):
        world.kill(victim)
    alone = world.nodes[8].members
    assert world.run(world.now + 10 * SECOND, lambda: alone.alive_count() == 2)
    world.kill(7)
    assert world.run(world.now + 10 * SECOND, lambda: alone.alive_count() == 1)
    world.kill(8)
    world.start_all()
    assert world.run(world.now + 3 * SECOND, lambda: all(f.caught_up for f in world.nodes.values()))
    world.run(world.now + 5 * SECOND)
    assert not dead_views(world)


def test_many_nodes_that_return_at_once_catch_up_from_different_peers() -> None:
    world = settled(100)
    for victim in range(70):
        world.kill(victim)
    world.run(world.now + 12 * SECOND)
    requests: dict[int, int] = {}
    send = world.send

    def counted(node: int, outgoing: list[Outgoing]) -> None:
        for target, message in outgoing:
            if message.kind == MessageKind.DIGEST and message.subject == target:
                requests[target] = requests.get(target, 0) + 1
        send(node, outgoing)

    world.send = counted  # type: ignore[method-assign]
    for victim in range(70):
        world.start(victim)
    began = world.now
    assert world.run(began + SECOND, lambda: all(f.caught_up for f in world.nodes.values()))
    assert max(requests.values()) <= 12


def test_a_server_that_two_witnesses_see_fail_gets_a_verdict_and_a_retraction() -> None:
    world = settled(21)
    for observer in (2, 3):
        world.nodes[observer].observe(
            world.clock(observer), 6, publishable_results(2, False, 0, 1.0), world.clock(observer)
        )
    verdicts: dict[int, ReportedState | None] = {}

    def collect() -> bool:
        for n, fleet in world.nodes.items():
            for change in fleet.verdict_changes(world.clock(n)):
                verdicts[n] = change.verdict
        return len(verdicts) >= 19 and set(verdicts.values()) == {ReportedState.SILENT}

    assert world.run(world.now + SECOND, collect)
    for observer in (2, 3):
        world.nodes[observer].observe(
            world.clock(observer), 6, publishable_results(0, False, 0, 1.0), world.clock(observer)
        )

    def retracted() -> bool:
        collect()
        return sum(v is None for v in verdicts.values()) >= 19

    assert world.run(world.now + SECOND, retracted)


def test_false_records_change_nothing_and_a_flood_stays_within_the_message_rate() -> None:
    world = settled(9)
    drain(world, 0, 5, 7)
    world.run(world.now + SECOND)
    incarnation = world.nodes[8].members.incarnation
    world.kill(8)
    before = sum(world.sent.values())
    began = world.now
    for i in range(2000):
        records = (
            DrainRecord(7, 0, 4, State.DRAINING, 0), MemberRecord(3, 1, MemberStatus.DEAD),
            Observation(9, 0, 8, 1, i, 3, 0, 0, 0, 0),
        )  # fmt: skip
        message = Message(MessageKind.GOSSIP, 8, incarnation, records=records)
        for to in range(8):
            world.call_at(began + i * MS, world.deliver, 8, to, message)
    world.run(began + 3 * SECOND)
    assert all(f.members.is_alive(3) for f in world.nodes.values())
    assert drained(world, 7) >= 7
    assert (sum(world.sent.values()) - before) / 3 / 8 <= 30  # with SWIM's own

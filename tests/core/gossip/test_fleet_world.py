"""Simulation of many gossip nodes with packet loss, partitions, crashes and pauses."""

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


def started_world(nodes: int, servers: int = 30, seed: int = 1, zones: int = 1) -> GossipWorld:
    world = GossipWorld(nodes, servers, seed, zones)
    world.start_all()
    world.run(5 * SECOND)
    assert all(node.caught_up for node in world.nodes.values())
    return world


def drain(
    world: GossipWorld, node: int, rev: int, server: int, state: State = State.DRAINING
) -> None:
    """Let one node read a list version in which the server has this state."""
    world.nodes[node].on_local_list(world.clock(node), rev, [(server, 0, state)], False)


def drained_at(world: GossipWorld, server: int) -> int:
    """At how many nodes the server is drained."""
    states = (node.effective_state(server, 0, State.READY) for node in world.nodes.values())
    return sum(state != State.READY for state in states)


def non_alive_members(world: GossipWorld) -> set[int]:
    return {
        record.node for node in world.nodes.values() for record in node.members.non_alive_records()
    }


def converged(world: GossipWorld) -> bool:
    return (
        len({(*node.records.digest, node.members.digest()) for node in world.nodes.values()}) == 1
    )


@pytest.mark.parametrize(("nodes", "loss", "within"), [(21, 0.0, 0.5), (60, 0.3, 5.0)])
def test_a_drain_that_one_node_reads_reaches_all(nodes: int, loss: float, within: float) -> None:
    world = started_world(nodes)
    world.links.loss = loss
    began = world.now
    drain(world, 0, 2, 7)
    assert world.run(began + int(within * SECOND), lambda: drained_at(world, 7) >= nodes - 1)


def test_after_packet_loss_no_member_remains_dead_and_the_message_rate_is_kept() -> None:
    world = started_world(40)
    world.links.loss = 0.3
    world.run(world.now + 2 * SECOND)
    before = world.sent.copy()
    world.run(world.now + 20 * SECOND)
    assert all((world.sent[n] - before[n]) / 20 <= 20 for n in world.nodes)
    world.links.loss = 0.0
    assert world.run(world.now + 10 * SECOND, lambda: not non_alive_members(world))


def test_all_nodes_detect_the_crash_and_the_restart_of_a_member() -> None:
    world = started_world(21)
    world.kill(3)
    assert world.run(
        world.now + 8 * SECOND,
        lambda: all(not node.members.is_alive(3) for node in world.nodes.values()),
    )
    assert non_alive_members(world) == {3}
    world.start(3)
    assert world.run(world.now + 2 * SECOND, lambda: not non_alive_members(world))


def test_one_way_links_and_a_leave_are_not_detected_as_deaths() -> None:
    world = started_world(9)
    world.links.block([0], range(2, 9))  # only node 1 receives node 0's messages
    world.run(world.now + 10 * SECOND)
    assert all(node.members.is_alive(0) for node in world.nodes.values())
    world.links.unblock()
    world.send(4, world.nodes[4].leave())
    world.kill(4)
    others = list(world.nodes.values())
    assert world.run(
        world.now + SECOND,
        lambda: all(node.members.record(4).status == MemberStatus.LEFT for node in others),
    )


@pytest.mark.parametrize("seed", range(8))
def test_the_two_sides_of_a_partition_converge_after_it(seed: int) -> None:
    """A partition of two and three nodes: one server drains on one side, and one is removed on the
    other side.
    """
    world = started_world(5, seed=seed)
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
    assert not non_alive_members(world)
    # `drained_at` does not count a drain in the node's own list. Node 3 has list version 3, so it
    # ignores the drain of version 2.
    assert drained_at(world, 8) >= 4
    assert drained_at(world, 7) >= 3


def test_a_node_paused_for_a_minute_sends_no_outdated_records() -> None:
    world = started_world(9)
    world.nodes[4].observe(world.clock(4), 5, publishable_results(3, True, 0, 1.0), world.clock(4))
    world.pause(4)
    world.run(world.now + 20 * SECOND)
    assert non_alive_members(world) == {4}
    drain(world, 0, 2, 7)
    world.run(world.now + 40 * SECOND)
    for gossip_node in world.nodes.values():
        gossip_node.records.changed.clear()
    world.resume(4)
    assert world.run(world.now + 5 * SECOND, lambda: world.nodes[4].caught_up)
    world.run(world.now + 3 * SECOND)
    assert not non_alive_members(world)
    assert drained_at(world, 7) == 8  # all but node 0, whose own list has that version
    assert all(not [r for r in node.records.records_of_server(5)] for node in world.nodes.values())


def test_after_clocks_jump_no_outdated_record_is_sent_and_no_member_is_declared_dead() -> None:
    """After the pause of a machine, its clock is a minute ahead between two ticks of a node."""
    world = started_world(9)
    drain(world, 0, 2, 7)
    world.run(world.now + SECOND)
    world.nodes[3].observe(world.clock(3), 5, publishable_results(3, True, 0, 1.0), world.clock(3))
    world.run(world.now + SECOND)
    for node in (2, 3, 6):
        world.clock_offsets[node] += 60 * SECOND
        world.schedule_turn(node, world.now)
    assert world.run(
        world.now + 5 * SECOND,
        lambda: all(gossip_node.caught_up for gossip_node in world.nodes.values()),
    )
    world.run(world.now + 3 * SECOND)
    assert not non_alive_members(world)
    assert drained_at(world, 7) == 8
    assert sum(gossip_node.counters["stalls"] for gossip_node in world.nodes.values()) == 3
    world.run(world.now + 16 * SECOND)  # the observation has expired by every clock
    assert all(not gossip_node.records.records_of_server(5) for gossip_node in world.nodes.values())


def test_a_node_that_restarts_with_an_earlier_clock_is_accepted_again() -> None:
    world = started_world(9)
    world.kill(4)
    world.starts[4] = -10_000_000  # some hours before its previous start
    world.start(4)
    assert world.run(
        world.now + 12 * SECOND,
        lambda: world.nodes[4].members.refutations > 0 and not non_alive_members(world),
    )
    drain(world, 4, 2, 7)
    assert world.run(world.now + 2 * SECOND, lambda: drained_at(world, 7) >= 8)


def test_nodes_that_crash_during_catch_up_catch_up_after_the_last_restart() -> None:
    world = started_world(9)
    for server in range(20):
        drain(world, 0, 2 + server, server)
    world.run(world.now + SECOND)
    for attempt in range(20):
        number = 1 + attempt % 8
        world.kill(number)
        world.start(number)
        world.run(world.now + (20 + 13 * attempt) * MS)
    assert world.run(
        world.now + 5 * SECOND, lambda: all(node.caught_up for node in world.nodes.values())
    )
    assert world.run(world.now + 5 * SECOND, lambda: drained_at(world, 3) >= 8)
    assert world.run(world.now + 5 * SECOND, lambda: not non_alive_members(world))


def test_survivors_detect_crashes_and_a_fleet_without_survivors_starts_again() -> None:
    world = started_world(9)
    for number in range(7):
        world.kill(number)
    alone = world.nodes[8].members
    assert world.run(world.now + 10 * SECOND, lambda: alone.alive_count() == 2)
    world.kill(7)
    assert world.run(world.now + 10 * SECOND, lambda: alone.alive_count() == 1)
    world.kill(8)
    world.start_all()
    assert world.run(
        world.now + 3 * SECOND, lambda: all(node.caught_up for node in world.nodes.values())
    )
    world.run(world.now + 5 * SECOND)
    assert not non_alive_members(world)


def test_many_nodes_that_restart_together_catch_up_from_different_peers() -> None:
    world = started_world(100)
    for number in range(70):
        world.kill(number)
    world.run(world.now + 12 * SECOND)
    requests: dict[int, int] = {}
    send = world.send

    def counted(node: int, outgoing: list[Outgoing]) -> None:
        for target, message in outgoing:
            if message.kind == MessageKind.DIGEST and message.subject == target:
                requests[target] = requests.get(target, 0) + 1
        send(node, outgoing)

    world.send = counted  # type: ignore[method-assign]
    for number in range(70):
        world.start(number)
    began = world.now
    assert world.run(
        began + SECOND, lambda: all(gossip_node.caught_up for gossip_node in world.nodes.values())
    )
    assert max(requests.values()) <= 12


def test_a_verdict_from_two_observers_is_reported_and_retracted() -> None:
    world = started_world(21)
    for observer in (2, 3):
        world.nodes[observer].observe(
            world.clock(observer), 6, publishable_results(2, False, 0, 1.0), world.clock(observer)
        )
    verdicts: dict[int, ReportedState | None] = {}

    def collect() -> bool:
        for n, node in world.nodes.items():
            for change in node.verdict_changes(world.clock(n)):
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


def test_false_records_have_no_effect_and_a_flood_does_not_exceed_the_message_rate() -> None:
    world = started_world(9)
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
    assert all(node.members.is_alive(3) for node in world.nodes.values())
    assert drained_at(world, 7) >= 7
    assert (sum(world.sent.values()) - before) / 3 / 8 <= 30  # including those of failure detection

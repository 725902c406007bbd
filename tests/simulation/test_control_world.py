"""The sharded configuration's failures, in a deterministic world with an invariant checker."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.replication import Role, Timing
from loadbalancer.core.subscription.publisher import PublisherLimits
from loadbalancer.core.subscription.updates import UpdateStatus
from simulation.control_faults import run_mutant, run_seed
from simulation.control_mutants import MUTANTS
from simulation.control_world.settings import REGIONS, WorldSize
from simulation.control_world.world import World

START_WITHIN = 60 * SECOND


def converged_world(seed: int = 1, size: WorldSize | None = None) -> World:
    """A world without faults in which every machine and node has all it should have."""
    world = World(seed, size)
    assert world.run(START_WITHIN, lambda: not world.differences())
    return world


def leader(world: World, region: str) -> int:
    """The index of the active machine that leads a region, by the latest term."""
    leaders = [
        machine for machine in world.active_machines(region) if machine.replica.role is Role.LEADER
    ]
    return max(leaders, key=lambda machine: machine.replica.current_term).index


def run_with_changes(world: World, duration: int) -> None:
    """Let services change for a while."""
    world.change_interval = 300 * MS
    world.run(duration)
    world.change_interval = 0


def positions(world: World, region: str) -> dict[str, Position]:
    """Each node's position in a region's log."""
    return {node.spec.name: node.holder.position(region) for node in world.nodes.running.values()}


def served_anywhere(world: World) -> set[str]:
    """The services that at least one node serves."""
    return {name for node in world.nodes.running.values() for name in node.holder.serving()}


def assert_converges(world: World, duration: int = 30 * SECOND) -> None:
    """Everything becomes as the sources say, and no invariant was broken on the way."""
    world.expect_convergence(duration)
    assert world.breaches == []
    assert world.node_checker.checks > 50


@pytest.mark.parametrize("seed", range(12))
def test_no_invariant_is_broken_under_faults_drawn_by_seed(seed: int) -> None:
    assert run_seed(seed, 20 * SECOND) == []


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_the_invariant_checker_finds(mutant: str) -> None:
    """Each fault in the product's code breaks an invariant within three seeds."""
    assert any(run_mutant(mutant, seed) for seed in (1, 0, 2))


def test_a_leader_killed_while_changes_are_distributed() -> None:
    """Both leaders are killed in the middle of changes, and their state is lost.

    The other machines elect new leaders, and every change still reaches all who need it.
    """
    world = converged_world()
    for region in REGIONS:
        world.change_interval = 300 * MS
        world.run(SECOND + 37 * MS)
        world.machines.kill(leader(world, region))
    world.run(10 * SECOND)
    world.change_interval = 0
    assert world.run(20 * SECOND, lambda: not world.differences())
    for index in range(len(world.topology.machines)):
        if index not in world.machines.running:
            world.start_machine(index)
    assert_converges(world)


def test_a_leader_paused_for_30_s_while_changes_are_distributed() -> None:
    """The eastern leader is paused for 30 s, and continues as if nothing had been.

    Another machine leads by then. What the old leader sends must take no node back.
    """
    world = converged_world()
    world.change_interval = 300 * MS
    world.run(SECOND + 37 * MS)
    stopped = leader(world, "east")
    world.machines.pause(stopped)
    world.run(30 * SECOND)
    assert leader(world, "east") != stopped
    before = positions(world, "east")
    world.machines.resume(stopped)
    world.run(3 * SECOND)
    assert all(positions(world, "east")[name] >= before[name] for name in before)
    assert_converges(world)


@pytest.mark.parametrize("killed", ["one of each region", "two of the east"])
def test_two_of_six_machines_killed(killed: str) -> None:
    """With one machine less in each region both go on; with two less the east has no majority.

    The east then accepts no change, and its services are served as they were.
    """
    world = converged_world()
    leaders = leader(world, "east"), leader(world, "west")
    machines = leaders if killed == "one of each region" else (0, 1)
    for index in machines:
        world.machines.kill(index)
    world.run(3 * SECOND)
    run_with_changes(world, 10 * SECOND)
    if killed == "one of each region":
        assert world.run(20 * SECOND, lambda: not world.differences())
    else:
        # The east accepts nothing, and all is served as it was; the west goes on.
        assert world.sources["east"].outstanding
        assert world.run(20 * SECOND, lambda: not world.sources["west"].outstanding)
        assert all(world.nodes_serving(name) for name in world.sources["east"].desired)
    for index in machines:
        world.start_machine(index)
    assert_converges(world, 60 * SECOND)


def test_all_six_machines_restarted_without_state() -> None:
    """All machines lose their logs at once, and the sources load them anew.

    Nodes go on serving what they hold, and the new logs' positions are after the old ones.
    """
    world = converged_world()
    run_with_changes(world, 5 * SECOND)
    world.run(3 * SECOND)
    before = positions(world, "east")
    for index in list(world.machines.running):
        world.machines.kill(index)
        world.start_machine(index)
    served = served_anywhere(world)
    world.run(3 * SECOND)
    assert served_anywhere(world) == served
    assert_converges(world, 60 * SECOND)
    world.run(20 * SECOND)  # those that miss nothing take the new position on a little later
    after = positions(world, "east")
    for name, position in before.items():
        assert after[name].epoch > position.epoch
        assert after[name].revision > position.revision


def test_links_cut_in_one_direction() -> None:
    """The eastern leader sends but receives nothing; no node receives from another machine.

    The leader can't commit, and must give way to one that can.
    """
    world = converged_world()
    east = leader(world, "east")
    world.links.block(range(6), [east])  # it sends but receives nothing
    world.links.block([1], map(world.topology.node_address, range(12)))
    run_with_changes(world, 12 * SECOND)
    assert world.run(25 * SECOND, lambda: not world.sources["east"].outstanding)
    world.links.unblock()
    assert_converges(world)


def test_deltas_lost_doubled_late_and_after_a_gap() -> None:
    """Updates come late, twice or not at all, so that nodes get old ones and ones after a gap."""
    world = converged_world(5)
    world.links.loss, world.links.duplication, world.links.jitter = 0.1, 0.5, 3 * SECOND
    run_with_changes(world, 30 * SECOND)
    assert world.update_statuses[UpdateStatus.OLDER] + world.update_statuses[UpdateStatus.GAP] > 10
    world.links.loss, world.links.duplication, world.links.jitter = 0.0, 0.0, 5 * MS
    assert_converges(world)


def test_a_subscriber_slower_than_the_changes_is_bounded_and_gets_what_it_missed() -> None:
    """A node is paused until the bounded logs have forgotten what it missed.

    Machines hold no more than one poll of it for each region, and it gets a snapshot.
    """
    world = converged_world(size=WorldSize(max_changes=4))
    world.nodes.pause(0)
    world.change_interval = 100 * MS
    world.run(30 * SECOND)
    world.change_interval = 0
    waiting = sum(len(machine.open_polls) for machine in world.machines.running.values())
    assert waiting <= 2 * len(world.topology.nodes)
    world.nodes.resume(0)
    assert_converges(world)


def test_changes_of_a_service_that_every_node_holds() -> None:
    """Each change of a service that all nodes hold reaches all of them within 3 s."""
    world = converged_world(
        size=WorldSize(nodes_per_zone=8, services_per_region=3, service_on_every_node=True)
    )
    assert len(world.nodes_serving("east-s0")) == len(world.topology.nodes)
    source = world.sources["east"]
    for _ in range(5):
        source.change_service("east-s0")
        assert world.run(3 * SECOND, lambda: not world.differences())
    assert_converges(world)


@pytest.mark.parametrize("nodes", [[0, 1], [0, 1, 2]], ids=["rack", "zone"])
def test_a_rack_or_a_zone_killed_and_restarted_without_state(nodes: list[int]) -> None:
    """Some or all nodes of a zone are killed, and start again at the same moment."""
    world = converged_world()
    for node in nodes:
        world.kill_node(node)
    run_with_changes(world, 5 * SECOND)
    for node in nodes:
        world.start_node(node)
    assert_converges(world)


def test_snapshots_for_a_cold_start_of_all_nodes_keep_to_the_rate() -> None:
    """All nodes start without state at once, and each needs snapshots.

    Each machine sends no more bytes in a second than its rate, its burst and one snapshot.
    """
    limits = PublisherLimits(snapshot_rate=4_000, snapshot_burst=4_000, unpaced_bytes=500)
    world = converged_world(size=WorldSize(publisher_limits=limits))
    for node in range(len(world.topology.nodes)):
        world.kill_node(node)
        world.start_node(node)
    machines = list(world.machines.running.values())
    before = {machine.index: machine.publisher.counts["bytes"] for machine in machines}
    for _ in range(15):
        world.run(SECOND)
        for machine in machines:
            sent = machine.publisher.counts["bytes"]
            assert sent - before[machine.index] <= 4_000 + 4_000 + 3_000  # pace, burst, one more
            before[machine.index] = sent
    assert_converges(world)


def test_changes_while_services_are_handed_over() -> None:
    """All services change at the death of a node and again when machines learn of it."""
    world = converged_world(3)
    for node in range(0, 12, 5):
        for region in REGIONS:
            for service in world.topology.services_of(region):
                world.sources[region].change_service(service)
        world.kill_node(node)
        world.run(3 * SECOND + 100 * MS)  # control learns of the death about now
        for region in REGIONS:
            for service in world.topology.services_of(region):
                world.sources[region].change_service(service)
        world.run(8 * SECOND)
        world.start_node(node)
    assert_converges(world)


def test_regions_cut_from_each_other_for_an_hour() -> None:
    """Each accepts its own services' changes and serves the other's as last received.

    No machine of one region may accept a change of the other's services.
    """
    slow = Timing(
        heartbeat_interval_ns=2 * SECOND,
        election_timeout_ns=8 * SECOND,
        fetch_timeout_ns=8 * SECOND,
        fetch_hold_ns=4 * SECOND,
    )
    size = WorldSize(
        nodes_per_zone=1, services_per_region=3, max_changes=50, timing=slow, slowdown=8
    )
    world = converged_world(2, size)
    world.network.partition_regions()
    world.run(10 * SECOND)  # what was on its way has come
    last_received = max(machine.logs["west"].position for machine in world.active_machines("east"))
    rows_before = {
        name: world.nodes.running[0].holder.rows(name)
        for name in world.topology.services_of("west")
    }
    world.change_interval = 20 * SECOND
    for _ in range(6):
        world.run(600 * SECOND)
        assert world.breaches == []
    assert all(
        world.nodes.running[node].holder.position("west") <= last_received for node in (0, 1)
    )
    for name, rows in rows_before.items():
        assert rows is None or world.nodes.running[0].holder.rows(name) == rows
    assert all(leader(world, region) in world.machines.running for region in REGIONS)
    assert all(len(source.outstanding) <= 2 for source in world.sources.values())
    for region in REGIONS:
        other = next(name for name in REGIONS if name != region)
        for machine in world.active_machines(region):
            proposal = machine.replica.propose(f"{other}-s0", ())
            assert proposal.outcome.value == "wrong region"
    world.links.unblock()
    assert_converges(world, 60 * SECOND)

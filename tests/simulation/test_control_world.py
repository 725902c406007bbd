"""The sharded configuration's hard cases, in a deterministic world and before a referee."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import Position
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.replication import Role, Timing
from loadbalancer.core.subscription.publisher import PublisherLimits
from loadbalancer.core.subscription.updates import UpdateStatus
from simulation.control_faults import MUTANTS, play, play_mutant
from simulation.control_world.settings import REGIONS, WorldSize
from simulation.control_world.world import World

CALM = 60 * SECOND


def started(seed: int = 1, size: WorldSize | None = None) -> World:
    """A world in which everything is everywhere."""
    world = World(seed, size)
    assert world.run(CALM, lambda: not world.differences())
    return world


def leader(world: World, region: str) -> int:
    """The number of the machine that leads a region."""
    led = [
        machine for machine in world.active_machines(region) if machine.replica.role is Role.LEADER
    ]
    return max(led, key=lambda machine: machine.replica.current_term).index


def changing(world: World, span: int) -> None:
    """Services change for a while."""
    world.change_interval = 300 * MS
    world.run(span)
    world.change_interval = 0


def positions(world: World, region: str) -> dict[str, Position]:
    return {node.spec.name: node.holder.position(region) for node in world.nodes.running.values()}


def sound(world: World, span: int = 30 * SECOND) -> None:
    """All comes to be as the sources say, and no rule was broken on the way."""
    world.expect_convergence(span)
    assert world.breaches == []
    assert world.referee.checks > 50


@pytest.mark.parametrize("seed", range(12))
def test_faults_by_seed_break_no_rule(seed: int) -> None:
    assert play(seed, 20 * SECOND) == []


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_mutants_are_found(mutant: str) -> None:
    assert any(play_mutant(mutant, seed) for seed in (1, 0, 2))


def test_a_control_machine_killed_in_the_middle_of_a_push() -> None:
    world = started()
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
    sound(world)


def test_a_control_machine_stopped_for_30_s_in_a_push_and_going_on() -> None:
    world = started()
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
    sound(world)


@pytest.mark.parametrize("region", ["one of each", "two of one"])
def test_two_of_six_gone(region: str) -> None:
    world = started()
    gone = (leader(world, "east"), leader(world, "west")) if region == "one of each" else (0, 1)
    for index in gone:
        world.machines.kill(index)
    world.run(3 * SECOND)
    changing(world, 10 * SECOND)
    if region == "one of each":
        assert world.run(20 * SECOND, lambda: not world.differences())
    else:
        # The east accepts nothing, and all is served as it was; the west goes on.
        assert world.sources["east"].outstanding
        assert world.run(20 * SECOND, lambda: not world.sources["west"].outstanding)
        assert all(world.nodes_serving(name) for name in world.sources["east"].desired)
    for index in gone:
        world.start_machine(index)
    sound(world, 60 * SECOND)


def test_all_six_restarted_with_an_empty_store() -> None:
    world = started()
    changing(world, 5 * SECOND)
    world.run(3 * SECOND)
    before = positions(world, "east")
    for index in list(world.machines.running):
        world.machines.kill(index)
        world.start_machine(index)
    served = {name for node in world.nodes.running.values() for name in node.holder.serving()}
    world.run(3 * SECOND)
    assert {n for node in world.nodes.running.values() for n in node.holder.serving()} == served
    sound(world, 60 * SECOND)
    world.run(20 * SECOND)  # those that miss nothing take the new position on a little later
    after = positions(world, "east")
    for name, position in before.items():
        assert after[name].epoch > position.epoch and after[name].revision > position.revision


def test_links_one_way_between_machines_and_to_nodes() -> None:
    world = started()
    east = leader(world, "east")
    world.links.cut |= {(other, east) for other in range(6)}  # it is heard and hears nobody
    world.links.cut |= {(1, world.topology.node_address(node)) for node in range(12)}
    changing(world, 12 * SECOND)
    assert world.run(25 * SECOND, lambda: not world.sources["east"].outstanding)
    world.links.cut.clear()
    sound(world)


def test_deltas_lost_doubled_late_and_after_a_gap() -> None:
    world = started(5)
    world.links.loss, world.links.double, world.links.jitter = 0.1, 0.5, 3 * SECOND
    changing(world, 30 * SECOND)
    assert world.update_statuses[UpdateStatus.OLDER] + world.update_statuses[UpdateStatus.GAP] > 10
    world.links.loss, world.links.double, world.links.jitter = 0.0, 0.0, 5 * MS
    sound(world)


def test_a_subscriber_slower_than_the_changes_is_bounded_and_gets_what_it_missed() -> None:
    world = started(size=WorldSize(max_changes=4))
    world.nodes.pause(0)
    world.change_interval = 100 * MS
    world.run(30 * SECOND)
    world.change_interval = 0
    waiting = sum(len(machine.open_polls) for machine in world.machines.running.values())
    assert waiting <= 2 * len(world.topology.nodes)
    world.nodes.resume(0)
    sound(world)


def test_a_service_that_every_node_uses() -> None:
    world = started(
        size=WorldSize(nodes_per_zone=8, services_per_region=3, service_on_every_node=True)
    )
    assert len(world.nodes_serving("east-s0")) == len(world.topology.nodes)
    source = world.sources["east"]
    for _ in range(5):
        source.change_service("east-s0")
        assert world.run(3 * SECOND, lambda: not world.differences())
    sound(world)


@pytest.mark.parametrize("what", ["rack", "zone"])
def test_a_rack_or_a_zone_gone_and_back_at_once_cold(what: str) -> None:
    world = started()
    gone = [0, 1] if what == "rack" else [0, 1, 2]
    for node in gone:
        world.kill_node(node)
    changing(world, 5 * SECOND)
    for node in gone:
        world.start_node(node)
    sound(world)


def test_all_nodes_cold_at_once_stay_inside_the_bytes() -> None:
    limits = PublisherLimits(snapshot_rate=4_000, snapshot_burst=4_000, unpaced_bytes=500)
    world = started(size=WorldSize(publisher_limits=limits))
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
    sound(world)


def test_a_change_and_an_assignment_s_move_in_the_same_instant() -> None:
    world = started(3)
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
    sound(world)


def test_the_regions_cut_for_an_hour() -> None:
    """Each accepts its own services' changes and serves the other's as last heard."""
    slow = Timing(
        heartbeat_interval_ns=2 * SECOND,
        election_timeout_ns=8 * SECOND,
        fetch_timeout_ns=8 * SECOND,
        fetch_hold_ns=4 * SECOND,
    )
    size = WorldSize(
        nodes_per_zone=1, services_per_region=3, max_changes=50, timing=slow, slowdown=8
    )
    world = started(2, size)
    world.network.cut_regions()
    world.run(10 * SECOND)  # what was on its way has come
    heard = max(machine.logs["west"].position for machine in world.active_machines("east"))
    held = {
        name: world.nodes.running[0].holder.rows(name)
        for name in world.topology.services_of("west")
    }
    world.change_interval = 20 * SECOND
    for _ in range(6):
        world.run(600 * SECOND)
        assert world.breaches == []
    assert all(world.nodes.running[node].holder.position("west") <= heard for node in (0, 1))
    for name, rows in held.items():
        assert rows is None or world.nodes.running[0].holder.rows(name) == rows
    epochs = {region: leader(world, region) for region in REGIONS}
    assert len(epochs) == 2 and not any(
        len(source.outstanding) > 2 for source in world.sources.values()
    )
    for region in REGIONS:  # the other's services are refused, whoever is asked
        other = next(name for name in REGIONS if name != region)
        for machine in world.active_machines(region):
            proposal = machine.replica.propose(f"{other}-s0", ())
            assert proposal.outcome.value == "wrong region"
    world.links.cut.clear()
    sound(world, 60 * SECOND)

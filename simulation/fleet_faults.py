"""Runs of real Balancers that gossip, with faults drawn from a seed, before an invariant checker.

    python -m simulation.fleet_faults --seeds 300  # all cores; each seed that fails as a command
    python -m simulation.fleet_faults --seed 17            # one again
    python -m simulation.fleet_faults --digest --seeds 20  # a digest of each seed's run

Drawn from each seed: nodes, servers, loss, delay, duplicated messages, network partitions, nodes
killed, paused and started, drains, servers that fall silent. Then all heals, and the nodes
must agree.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND, State
from loadbalancer.core.gossip.records import OBSERVATION_TTL_NS
from simulation.digest import Digest
from simulation.fleet_invariants import InvariantChecker
from simulation.seeds import SeededWorld
from simulation.service_world.settings import ServicePlan
from simulation.service_world.world import ServiceWorld

SEEDS = 300
CALM_START = 2 * SECOND
FAULTS_FOR = 12 * SECOND
HEALED_FOR = 12 * SECOND
MIN_PAUSE = SECOND // 5  # between two faults
MAX_PAUSE = 2 * SECOND
HEALTHY_JITTER = MS
MASS_KILL_PROBABILITY = 0.5
CALM_BEFORE_MASS_KILL = 6 * SECOND
DEATHS_KNOWN_AFTER = 9 * SECOND
FIRST_SIDE_PROBABILITY = 0.5
BLOCKED_AT_ONCE = 3
MIN_READY = 2  # servers that no drain is drawn for


class Faults:
    """Draws the next fault, or the end of one; the order of the draws is part of a run."""

    def __init__(self, world: ServiceWorld, random: Random) -> None:
        self._world = world
        self._random = random
        self._kinds: Sequence[Callable[[], None]] = (
            self._partition,
            self._block_links,
            self._unblock_links,
            self._kill_node,
            self._start_nodes,
            self._pause_node,
            self._resume_nodes,
            self._drain_server,
            self._turn_silent,
        )

    def draw_link_quality(self) -> None:
        """Draw how good the links are in this seed."""
        links = self._world.links
        links.loss = self._random.choice([0.0, 0.1, 0.3])
        links.jitter = self._random.choice([MS, 50 * MS, 2 * SECOND])
        links.duplication = self._random.choice([0.0, 0.2])

    def cause_next(self) -> None:
        """Cause one fault, or end one."""
        self._random.choice(self._kinds)()

    def draw_pause(self) -> int:
        """Nanoseconds until the next one."""
        return self._random.randrange(MIN_PAUSE, MAX_PAUSE)

    def kill_majority(self) -> None:
        """Kill seven nodes in ten at once, with the rest well linked, and let these notice."""
        world = self._world
        self.heal()
        world.run(world.now + CALM_BEFORE_MASS_KILL)
        for node in self._random.sample(list(world.hosts), len(world.hosts) * 7 // 10):
            world.kill(node)
        world.run(world.now + DEATHS_KNOWN_AFTER)

    def heal(self) -> None:
        """End all faults: everything runs and all links are good."""
        links = self._world.links
        self._unblock_links()
        links.loss, links.jitter = 0.0, HEALTHY_JITTER
        for server in self._world.pool:
            server.silent = False
        self._resume_nodes()
        self._start_nodes()

    def _partition(self) -> None:
        """Divide the nodes into two sides that don't reach each other."""
        nodes = set(range(self._world.node_count))
        side = {node for node in nodes if self._random.random() < FIRST_SIDE_PROBABILITY}
        self._world.links.partition(side, nodes - side)

    def _block_links(self) -> None:
        """Block some links, each in one direction."""
        nodes = self._world.node_count
        for _ in range(BLOCKED_AT_ONCE):
            source, target = self._random.randrange(nodes), self._random.randrange(nodes)
            self._world.links.block([source], [target])

    def _unblock_links(self) -> None:
        self._world.links.unblock()

    def _kill_node(self) -> None:
        running = list(self._world.hosts)
        if len(running) > 1:
            self._world.kill(self._random.choice(running))

    def _start_nodes(self) -> None:
        for node in range(self._world.node_count):
            if node not in self._world.hosts:
                self._world.start(node)

    def _pause_node(self) -> None:
        running = list(self._world.hosts)
        if running:
            node = self._random.choice(running)
            if node not in self._world.paused:
                self._world.pause(node)

    def _resume_nodes(self) -> None:
        for node in list(self._world.paused):
            self._world.resume(node)

    def _drain_server(self) -> None:
        """Drain a server, notified to one node first."""
        running, endpoint_list = list(self._world.hosts), self._world.endpoint_list
        ready = [server for server, s in enumerate(endpoint_list.states) if s == State.READY]
        if running and len(ready) > MIN_READY:
            server = self._random.choice(ready)
            endpoint_list.change(server, State.DRAINING, [self._random.choice(running)])

    def _turn_silent(self) -> None:
        """Let a server fall silent, or answer again."""
        server = self._world.pool[self._random.randrange(len(self._world.pool))]
        server.silent = not server.silent


def run_seed(seed: int, digest: Digest | None = None) -> list[str]:
    """Run one seed; returns the breaches. All that is sent and decided goes into `digest`."""
    random = Random(seed)
    world = ServiceWorld(_draw_plan(seed, random))
    world.digest = digest
    checker = InvariantChecker(world)
    faults = Faults(world, random)
    world.start_all()
    world.run(CALM_START)
    world.clients.run(world.now + FAULTS_FOR + HEALED_FOR // 2)
    faults.draw_link_quality()
    until = world.now + FAULTS_FOR
    while world.now < until:
        faults.cause_next()
        world.run(world.now + faults.draw_pause())
    if random.random() < MASS_KILL_PROBABILITY:
        faults.kill_majority()
        checker.check_survivors()
    faults.heal()
    world.run(world.now + HEALED_FOR)
    world.run(world.now + OBSERVATION_TTL_NS)  # what was observed in the faults has expired
    checker.check_end()
    return world.breaches


def _draw_plan(seed: int, random: Random) -> ServicePlan:
    """Every other seed has few slots, and one node that gets more than half of all requests."""
    nodes, servers = random.randint(3, 9), random.randint(4, 8)
    is_uneven = bool(seed % 2)
    return ServicePlan(
        nodes=nodes,
        servers=servers,
        seed=seed,
        gossip=True,
        rate=(150.0 if is_uneven else 30.0) * servers,
        hot_nodes=(0,) if is_uneven else (),
        hot_weight=16,
        slots=6 if is_uneven else 15,
    )


def digest_of(seed: int) -> str:
    """The digest of one seed's run."""
    digest = Digest()
    run_seed(seed, digest)
    return digest.value()


WORLD = SeededWorld("simulation.fleet_faults", __doc__, SEEDS, run_seed, digest_of)


if __name__ == "__main__":
    sys.exit(WORLD.main())

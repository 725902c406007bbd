"""Runs of the sharded configuration with faults drawn from a seed, before an invariant checker.

    python -m simulation.control_faults --seeds 200  # six processes; a command for each that fails
    python -m simulation.control_faults --seed 17            # one again
    python -m simulation.control_faults --digest --seeds 20  # a digest of each seed's run

Drawn from each seed: loss, delay, duplicated messages, one-way partitions, partitioned
regions, control machines and nodes killed, paused and started without state, a zone killed and
started again, all while services change. Then all heals, and every
machine and node must converge to what the sources say.
"""

from __future__ import annotations

import sys

from loadbalancer.core.balancing.model import MS, SECOND
from simulation.control_mutants import MUTANTS
from simulation.control_world.faults import Faults
from simulation.control_world.world import World
from simulation.digest import Digest
from simulation.seeds import SeededWorld

SEEDS = 200
PROCESSES = 6
CALM_START_WITHIN = 20 * SECOND
FAULTS_FOR = 60 * SECOND
HEALED_WITHIN = 90 * SECOND
CHANGE_INTERVALS = (300 * MS, SECOND, 3 * SECOND)  # between a region's changes, by seed
# Longer than the invariant checker counts what a dead node served as served.
NODE_DOWN_FOR = 9 * SECOND
NODE_RESTARTED_FOR = 12 * SECOND


def run_seed(seed: int, faults_for: int = FAULTS_FOR, digest: Digest | None = None) -> list[str]:
    """Run one seed, with faults for so many nanoseconds; returns the breaches.

    All that is sent and decided goes into `digest`.
    """
    world = World(seed, digest=digest)
    faults = Faults(world, seed + 2)
    if not world.run(CALM_START_WITHIN, lambda: not world.differences()):
        world.breach("a calm start did not come to an end")
    _restart_node_in_calm(world, seed % len(world.topology.nodes))
    world.change_interval = CHANGE_INTERVALS[seed % len(CHANGE_INTERVALS)]
    faults.draw_link_quality()
    until = world.now + faults_for
    while world.now < until and not world.breaches:
        faults.cause_next()
        world.run(faults.draw_pause())
    faults.heal()
    world.expect_convergence(HEALED_WITHIN)
    return world.breaches


def _restart_node_in_calm(world: World, node: int) -> None:
    """Kill a node and start it again while nothing else is wrong, under the strict rule."""
    world.release_checker.is_strict = True
    world.kill_node(node)
    world.run(NODE_DOWN_FOR)
    world.start_node(node)
    world.run(NODE_RESTARTED_FOR)
    world.release_checker.is_strict = False


def run_mutant(name: str, seed: int) -> list[str]:
    """Run one seed with a mutant's fault in the product's code; returns the breaches."""
    with MUTANTS[name].applied():
        return run_seed(seed)


def digest_of(seed: int) -> str:
    """The digest of one seed's run."""
    digest = Digest()
    run_seed(seed, digest=digest)
    return digest.value()


WORLD = SeededWorld("simulation.control_faults", __doc__, SEEDS, run_seed, digest_of, PROCESSES)


if __name__ == "__main__":
    sys.exit(WORLD.main())

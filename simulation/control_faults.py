"""Seeds of faults before the sharded configuration's own classes, and a referee.

    python -m simulation.control_faults --seeds 200  # six processes; a command for each that fails
    python -m simulation.control_faults --seed 17            # one again
    python -m simulation.control_faults --digest --seeds 20  # a digest of each seed's run

Drawn from each seed: loss, delay, doubles, one-way cuts, cut regions, control machines and nodes
killed, stopped and started empty, a rack and a zone gone and back, all while services change.
Then all heals, and everything must come to be everywhere as the sources say.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from loadbalancer.core.assignment.handover import Handover
from loadbalancer.core.assignment.model import Change
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.updates import UpdateResult, UpdateStatus
from simulation.control_world.settings import REGIONS
from simulation.control_world.world import World
from simulation.digest import Digest
from simulation.seeds import run

PROCESSES = 6
FAULTS_FOR = 60 * SECOND
HEALED_WITHIN = 90 * SECOND
LONGEST_PAUSE = 6 * SECOND  # between two faults
STOPPED_FOR = 30 * SECOND


@dataclass(frozen=True, slots=True)
class Mutant:
    """A fault put into the product's own code, which the seeds must find."""

    owner: Any
    name: str
    value: Callable[..., Any]


def _older_taken(self: Any, region: Any, snapshot: Any) -> UpdateResult:
    """A snapshot is taken whatever its position."""
    rows = {
        name: snapshot.services.get(name)
        for name in sorted(self._services.in_region(snapshot.region))
    }
    changes = [
        Change(snapshot.position, name, tuple(held.values()), complete=True)
        for name, held in rows.items()
        if held is not None
    ]
    taken: UpdateResult = self._apply_all(changes, True)
    return taken


def _gap_ignored(self: Any, region: Any, delta: Any, request: Any) -> UpdateResult:
    """A delta is taken whatever it follows."""
    if delta.position < region.position:
        return UpdateResult(UpdateStatus.OLDER)
    mine = [
        change
        for change in delta.changes
        if change.service in self._services.in_region(delta.region)
    ]
    taken: UpdateResult = self._apply_all(mine, True)
    return taken


def _uncompacted(self: Any) -> None:
    """The oldest change is counted as gone and kept."""
    self._max_changes += 1
    self._max_bytes += 1 << 20


def _released_at_once(self: Any, service: str) -> None:
    """Former holders may go as soon as others are assigned."""
    for node in sorted(self._retained.get(service, ())):
        self._release(node, service)


MUTANTS: dict[str, Mutant] = {
    "older-epoch-taken": Mutant(Holder, "_on_snapshot", _older_taken),
    "gap-ignored": Mutant(Holder, "_on_delta", _gap_ignored),
    "unbounded-log": Mutant(ChangeLog, "_compact", _uncompacted),
    "release-before-hand-over": Mutant(Handover, "_settle", _released_at_once),
}


class Faults:
    """Draws what goes wrong next."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._draw = Random(seed)
        self._kinds: Sequence[Callable[[], None]] = (
            self._kill_machine,
            self._kill_machine,
            self._stop_machine,
            self._stop_machine,
            self._continue_machines,
            self._start_all,
            self._kill_all_machines,
            self._kill_node,
            self._stop_node,
            self._zone_gone,
            self._one_way,
            self._one_way,
            self._late_updates,
            self._late_updates,
            self._late_updates,
            self._cut_regions,
            self._mend,
            self._mend,
        )

    def next(self) -> None:
        """One fault, or one that is mended."""
        self._draw.choice(self._kinds)()

    def pause(self) -> int:
        """Nanoseconds until the next one."""
        return self._draw.randrange(50 * MS, LONGEST_PAUSE)

    def links(self) -> None:
        """How good the links are in this seed."""
        links = self._world.links
        links.loss = self._draw.choice([0.0, 0.0, 0.05, 0.2])
        links.jitter = self._draw.choice([5 * MS, 50 * MS, SECOND])
        links.double = self._draw.choice([0.0, 0.2])

    def _kill_machine(self) -> None:
        """Killed; mostly it begins again soon, with nothing."""
        world = self._world
        index = self._draw.randrange(len(world.topology.machines))
        if index in world.machines.running:
            world.machines.kill(index)
            if self._draw.random() < 0.7:
                world.loop.call_later(self._draw.randrange(10 * SECOND), lambda: self._start(index))

    def _start(self, index: int) -> None:
        if index not in self._world.machines.running:
            self._world.start_machine(index)

    def _kill_all_machines(self) -> None:
        if self._draw.random() < 0.5:
            return
        world = self._world
        for index in list(world.machines.running):
            world.machines.kill(index)
        for index in range(len(world.topology.machines)):
            world.loop.call_later(self._draw.randrange(5 * SECOND), partial(self._start, index))

    def _stop_machine(self) -> None:
        world, machines = self._world, self._world.machines
        running = [index for index in machines.running if not machines.is_paused(index)]
        if running:
            index = self._draw.choice(running)
            life = world.machines.incarnations[index]
            world.machines.pause(index)
            span = STOPPED_FOR if self._draw.random() < 0.5 else self._draw.randrange(5 * SECOND)
            world.loop.call_later(span, lambda: self._continue(index, life))

    def _continue(self, index: int, life: int) -> None:
        if self._world.machines.incarnations[index] == life and self._world.machines.is_paused(
            index
        ):
            self._world.machines.resume(index)

    def _continue_machines(self) -> None:
        for index in self._world.machines.paused:
            self._world.machines.resume(index)

    def _start_all(self) -> None:
        for index in range(len(self._world.topology.machines)):
            self._start(index)
        for index in range(len(self._world.topology.nodes)):
            self._start_node(index)

    def _start_node(self, index: int) -> None:
        if index not in self._world.nodes.running:
            self._world.start_node(index)

    def _kill_node(self) -> None:
        world = self._world
        index = self._draw.randrange(len(world.topology.nodes))
        world.kill_node(index)
        world.loop.call_later(self._draw.randrange(10 * SECOND), lambda: self._start_node(index))

    def _stop_node(self) -> None:
        world = self._world
        if world.nodes.running:
            index = self._draw.choice(list(world.nodes.running))
            world.nodes.pause(index)
            world.loop.call_later(
                self._draw.randrange(8 * SECOND), lambda: self._continue_node(index)
            )

    def _continue_node(self, index: int) -> None:
        if self._world.nodes.is_paused(index):
            self._world.nodes.resume(index)

    def _zone_gone(self) -> None:
        """All nodes of a zone are gone, and back at once, cold."""
        world = self._world
        zone = self._draw.choice(world.topology.nodes).zone
        indexes = [i for i, spec in enumerate(world.topology.nodes) if spec.zone == zone]
        for index in indexes:
            world.kill_node(index)
        span = self._draw.randrange(10 * SECOND)
        for index in indexes:
            world.loop.call_later(span, partial(self._start_node, index))

    def _one_way(self) -> None:
        world = self._world
        ends = len(world.topology.machines) + len(world.topology.nodes)
        for _ in range(4):
            machine = self._draw.randrange(len(world.topology.machines))
            other = self._draw.randrange(ends)
            pair = (machine, other) if self._draw.random() < 0.5 else (other, machine)
            world.links.cut.add(pair)

    def _late_updates(self) -> None:
        """Deltas after a gap, as if those before had been lost, and snapshots of long ago."""
        if not self._world.machines.running:
            return
        for node in list(self._world.nodes.running.values()):
            for region in REGIONS:
                self._world.stale_updates.send_delta_after_gap(node, region)
                self._world.stale_updates.send_former_snapshot(node, region)

    def _cut_regions(self) -> None:
        self._world.network.cut_regions()

    def _mend(self) -> None:
        self._world.links.cut.clear()

    def heal(self) -> None:
        """Everything runs and is linked well."""
        links = self._world.links
        links.cut.clear()
        links.loss, links.double, links.jitter = 0.0, 0.0, 5 * MS
        self._continue_machines()
        for index in self._world.nodes.paused:
            self._world.nodes.resume(index)
        self._start_all()


def play(seed: int, faults_for: int = FAULTS_FOR, digest: Digest | None = None) -> list[str]:
    """One seed's breaches; what is sent and decided goes into `digest`."""
    world = World(seed, digest=digest)
    faults = Faults(world, seed + 2)
    loaded = world.run(20 * SECOND, lambda: not world.differences())
    if not loaded:
        world.breach("a calm start did not come to an end")
    _come_and_go(world, seed % len(world.topology.nodes))
    world.change_interval = [300 * MS, SECOND, 3 * SECOND][seed % 3]
    faults.links()
    until = world.now + faults_for
    while world.now < until and not world.breaches:
        faults.next()
        world.run(faults.pause())
    faults.heal()
    world.expect_convergence(HEALED_WITHIN)
    return world.breaches


def _come_and_go(world: World, node: int) -> None:
    """One node dies and comes back, and nothing else is wrong."""
    world.referee.calm = True
    world.kill_node(node)
    world.run(9 * SECOND)  # longer than what a node that died serves counts as served
    world.start_node(node)
    world.run(12 * SECOND)
    world.referee.calm = False


def play_mutant(name: str, seed: int) -> list[str]:
    """One seed's breaches with a mutant's fault in the product's code."""
    mutant = MUTANTS[name]
    kept = getattr(mutant.owner, mutant.name)
    setattr(mutant.owner, mutant.name, mutant.value)
    try:
        return play(seed)
    finally:
        setattr(mutant.owner, mutant.name, kept)


def digest_of(seed: int) -> str:
    """The digest of one seed's run."""
    digest = Digest()
    play(seed, digest=digest)
    return digest.value()


def main() -> int:
    """0 where no seed breaks a rule, 1 where one does."""
    return run(__doc__, "simulation.control_faults", play, 200, PROCESSES, digest_of)


if __name__ == "__main__":
    sys.exit(main())

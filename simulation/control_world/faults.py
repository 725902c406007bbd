"""Faults by kind, drawn from a seed: of machines, of nodes, of links, and stale updates.

All kinds draw from one generator, and the order of the draws is part of a run.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND
from simulation.control_world.settings import REGIONS
from simulation.control_world.world import World

MIN_PAUSE = 50 * MS  # between two faults
MAX_PAUSE = 6 * SECOND

MACHINE_RESTART_PROBABILITY = 0.7
MACHINE_RESTART_WITHIN = 10 * SECOND
ALL_MACHINES_KILLED_PROBABILITY = 0.5
ALL_MACHINES_RESTART_WITHIN = 5 * SECOND
LONG_PAUSE_PROBABILITY = 0.5
LONG_PAUSE = 30 * SECOND
SHORT_PAUSE_WITHIN = 5 * SECOND

NODE_RESTART_WITHIN = 10 * SECOND
NODE_PAUSE_WITHIN = 8 * SECOND

BLOCKED_AT_ONCE = 4
FROM_MACHINE_PROBABILITY = 0.5
HEALTHY_JITTER = 5 * MS


class MachineFaults:
    """Control machines that are killed, paused and started without any state."""

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._machines = world.machines

    def kill_one(self) -> None:
        """Kill a machine; mostly it starts again soon."""
        index = self._random.randrange(len(self._world.topology.machines))
        if index in self._machines.running:
            self._machines.kill(index)
            if self._random.random() < MACHINE_RESTART_PROBABILITY:
                delay = self._random.randrange(MACHINE_RESTART_WITHIN)
                self._world.loop.call_later(delay, partial(self._start, index))

    def kill_all(self) -> None:
        """Kill all machines, in one draw of two; all start again soon."""
        if self._random.random() < ALL_MACHINES_KILLED_PROBABILITY:
            return
        for index in list(self._machines.running):
            self._machines.kill(index)
        for index in range(len(self._world.topology.machines)):
            delay = self._random.randrange(ALL_MACHINES_RESTART_WITHIN)
            self._world.loop.call_later(delay, partial(self._start, index))

    def pause_one(self) -> None:
        """Pause a machine for a while."""
        machines = self._machines
        active = [index for index in machines.running if not machines.is_paused(index)]
        if not active:
            return
        index = self._random.choice(active)
        incarnation = machines.incarnations[index]
        machines.pause(index)
        if self._random.random() < LONG_PAUSE_PROBABILITY:
            duration = LONG_PAUSE
        else:
            duration = self._random.randrange(SHORT_PAUSE_WITHIN)
        self._world.loop.call_later(duration, partial(self._resume, index, incarnation))

    def resume_all(self) -> None:
        """Let all paused machines continue."""
        for index in self._machines.paused:
            self._machines.resume(index)

    def start_all(self) -> None:
        """Start all machines that don't run."""
        for index in range(len(self._world.topology.machines)):
            self._start(index)

    def _start(self, index: int) -> None:
        if index not in self._machines.running:
            self._world.start_machine(index)

    def _resume(self, index: int, incarnation: int) -> None:
        if self._machines.incarnations[index] == incarnation and self._machines.is_paused(index):
            self._machines.resume(index)


class NodeFaults:
    """Nodes that are killed, paused and started without any state."""

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._nodes = world.nodes

    def kill_one(self) -> None:
        """Kill a node; it starts again soon."""
        index = self._random.randrange(len(self._world.topology.nodes))
        self._world.kill_node(index)
        delay = self._random.randrange(NODE_RESTART_WITHIN)
        self._world.loop.call_later(delay, partial(self._start, index))

    def kill_zone(self) -> None:
        """Kill all nodes of a zone; they start again at the same moment."""
        nodes = self._world.topology.nodes
        zone = self._random.choice(nodes).zone
        indexes = [index for index, spec in enumerate(nodes) if spec.zone == zone]
        for index in indexes:
            self._world.kill_node(index)
        delay = self._random.randrange(NODE_RESTART_WITHIN)
        for index in indexes:
            self._world.loop.call_later(delay, partial(self._start, index))

    def pause_one(self) -> None:
        """Pause a node for a while."""
        if self._nodes.running:
            index = self._random.choice(list(self._nodes.running))
            self._nodes.pause(index)
            duration = self._random.randrange(NODE_PAUSE_WITHIN)
            self._world.loop.call_later(duration, partial(self._nodes.resume, index))

    def resume_all(self) -> None:
        """Let all paused nodes continue."""
        for index in self._nodes.paused:
            self._nodes.resume(index)

    def start_all(self) -> None:
        """Start all nodes that don't run."""
        for index in range(len(self._world.topology.nodes)):
            self._start(index)

    def _start(self, index: int) -> None:
        if index not in self._nodes.running:
            self._world.start_node(index)


class LinkFaults:
    """Links that lose, delay and duplicate messages, and network partitions."""

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._links = world.links

    def draw_quality(self) -> None:
        """Draw how good all links are from now on."""
        self._links.loss = self._random.choice([0.0, 0.0, 0.05, 0.2])
        self._links.jitter = self._random.choice([5 * MS, 50 * MS, SECOND])
        self._links.duplication = self._random.choice([0.0, 0.2])

    def block_links(self) -> None:
        """Block some links of machines, each in one direction."""
        topology = self._world.topology
        addresses = len(topology.machines) + len(topology.nodes)
        for _ in range(BLOCKED_AT_ONCE):
            machine = self._random.randrange(len(topology.machines))
            other = self._random.randrange(addresses)
            if self._random.random() < FROM_MACHINE_PROBABILITY:
                self._links.block([machine], [other])
            else:
                self._links.block([other], [machine])

    def unblock(self) -> None:
        """Let messages pass everywhere again."""
        self._links.unblock()

    def heal(self) -> None:
        """End all partitions; no message is lost, duplicated or late any more."""
        self.unblock()
        self._links.loss, self._links.duplication = 0.0, 0.0
        self._links.jitter = HEALTHY_JITTER


class Faults:
    """Draws the next fault, or the end of one."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._random = Random(seed)
        self._machines = MachineFaults(world, self._random)
        self._nodes = NodeFaults(world, self._random)
        self._links = LinkFaults(world, self._random)
        # A kind that is listed more often is drawn more often. The order is part of a seed's run.
        self._kinds: Sequence[Callable[[], None]] = (
            self._machines.kill_one,
            self._machines.kill_one,
            self._machines.pause_one,
            self._machines.pause_one,
            self._machines.resume_all,
            self._start_all,
            self._machines.kill_all,
            self._nodes.kill_one,
            self._nodes.pause_one,
            self._nodes.kill_zone,
            self._links.block_links,
            self._links.block_links,
            self._send_stale_updates,
            self._send_stale_updates,
            self._send_stale_updates,
            world.network.partition_regions,
            self._links.unblock,
            self._links.unblock,
        )

    def draw_link_quality(self) -> None:
        """Draw how good the links are in this seed."""
        self._links.draw_quality()

    def cause_next(self) -> None:
        """Cause one fault, or end one."""
        self._random.choice(self._kinds)()

    def draw_pause(self) -> int:
        """Nanoseconds until the next one."""
        return self._random.randrange(MIN_PAUSE, MAX_PAUSE)

    def heal(self) -> None:
        """End all faults: everything runs and all links are good."""
        self._links.heal()
        self._machines.resume_all()
        self._nodes.resume_all()
        self._start_all()

    def _start_all(self) -> None:
        self._machines.start_all()
        self._nodes.start_all()

    def _send_stale_updates(self) -> None:
        """Send every node deltas after a gap, as if those before were lost, and old snapshots."""
        if not self._world.machines.running:
            return
        stale_updates = self._world.stale_updates
        for node in list(self._world.nodes.running.values()):
            for region in REGIONS:
                stale_updates.send_delta_after_gap(node, region)
                stale_updates.send_former_snapshot(node, region)

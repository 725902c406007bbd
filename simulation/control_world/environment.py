"""What all participants of a world share."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.assignment import Assignment
from loadbalancer.core.assignment.rules import AssignmentRules
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.updates import UpdateStatus
from simulation.control_invariants.history import AcceptedHistory
from simulation.control_invariants.log_checker import LogChecker
from simulation.control_invariants.node_checker import NodeChecker
from simulation.control_invariants.release_checker import ReleaseChecker
from simulation.control_world.event_loop import EventLoop
from simulation.control_world.network import Network
from simulation.control_world.processes import ProcessGroup
from simulation.control_world.recorder import Recorder
from simulation.control_world.settings import REGIONS, WorldSize
from simulation.control_world.topology import Topology, first_services
from simulation.digest import Digest
from simulation.links import Links

if TYPE_CHECKING:
    from simulation.control_world.machine import ControlMachine
    from simulation.control_world.node import HollowNode


class Environment:
    """Time, randomness, the network, the processes and the invariant checkers of one world."""

    def __init__(self, seed: int, size: WorldSize, digest: Digest | None) -> None:
        self.size = size
        self.topology = Topology.of(size)
        self.random = Random(seed)  # of the participants
        self.loop = EventLoop()
        self.recorder = Recorder(self.loop, digest)
        self.machines: ProcessGroup[ControlMachine] = ProcessGroup(self.loop)
        self.nodes: ProcessGroup[HollowNode] = ProcessGroup(self.loop)
        self.links = Links(Random(seed + 1))
        self.network = Network(
            self.topology, self.links, self.loop, self.recorder, self.machines, self.nodes
        )
        on_every_node = first_services(REGIONS) if size.service_on_every_node else frozenset()
        rules = AssignmentRules(on_every_node=on_every_node)
        self.assigner = Assigner(self.topology.nodes, self.topology.services, rules)
        self.update_statuses: Counter[UpdateStatus] = Counter()  # what came of updates at nodes
        self.breaches: list[str] = []
        history = AcceptedHistory()
        self.log_checker = LogChecker(self, history)
        self.node_checker = NodeChecker(self, history)
        self.release_checker = ReleaseChecker(self, history)

    @property
    def now(self) -> int:
        """Nanoseconds since the start of the world."""
        return self.loop.now

    def breach(self, text: str) -> None:
        """Note that an invariant does not hold."""
        self.breaches.append(f"{self.now / SECOND:.3f} s: {text}")

    def active_machines(self, region: str) -> list[ControlMachine]:
        """The machines of a region that run and are not paused."""
        return [
            machine
            for index, machine in self.machines.running.items()
            if machine.spec.region == region and not self.machines.is_paused(index)
        ]

    def nodes_serving(self, service: str) -> list[str]:
        """The names of the nodes that serve a service."""
        return [
            node.spec.name
            for node in self.nodes.running.values()
            if service in node.holder.serving()
        ]

    def assignment(self) -> Assignment:
        """The assignment while exactly those nodes live that run."""
        alive = [node.spec.name for node in self.nodes.running.values()]
        return self.assigner.assign(alive)

    def zones_serving_beside(self, service: str, name: str) -> list[str]:
        """The zones of all nodes but the named one that serve a service."""
        return [
            node.spec.zone
            for node in self.nodes.running.values()
            if node.spec.name != name and service in node.holder.serving()
        ]

    def assigned_zones(self, service: str) -> list[str]:
        """The zones of the nodes that a service is assigned to."""
        topology = self.topology
        holders = self.assignment().holders[service]
        return [topology.nodes[topology.node_index[holder]].zone for holder in holders]

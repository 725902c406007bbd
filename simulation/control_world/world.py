"""A complete world: starts and ends of its participants, runs, and whether it has converged.

A source in each region proposes each change until it is accepted, and loads the region's log where
that was lost.
"""

from __future__ import annotations

from collections.abc import Callable

from loadbalancer.core.replicated_log.change_log import ChangeLog
from simulation.control_world.environment import Environment
from simulation.control_world.machine import ControlMachine
from simulation.control_world.node import HollowNode
from simulation.control_world.settings import (
    CHECK_INTERVAL,
    HEARTBEAT_INTERVAL,
    REGIONS,
    SOURCE_INTERVAL,
    TICK_INTERVAL,
    WorldSize,
)
from simulation.control_world.source import Source
from simulation.control_world.stale_updates import StaleUpdates
from simulation.digest import Digest

MAX_DIFFERENCES_SHOWN = 5


class World(Environment):
    """Everything starts at once, and runs without faults until a caller brings some.

    `change_interval` is the mean time between two changes of a region's services in nanoseconds,
    0 for no changes.
    """

    def __init__(
        self, seed: int, size: WorldSize | None = None, digest: Digest | None = None
    ) -> None:
        """All that is sent and decided goes into `digest`."""
        super().__init__(seed, size or WorldSize(), digest)
        self.change_interval = 0
        self.stale_updates = StaleUpdates(self)
        self.sources = {region: Source(self, region) for region in REGIONS}
        for service in self.topology.services:
            self.sources[service.region].add_service(service.name, service.backends)
        for index in range(len(self.topology.machines)):
            self.start_machine(index)
        for index in range(len(self.topology.nodes)):
            self.start_node(index)
        for region in REGIONS:
            self._run_source(region)
        self._check()

    def run(self, duration: int, condition: Callable[[], bool] | None = None) -> bool:
        """Go on for `duration` nanoseconds, or until `condition` holds; returns whether it does."""
        return self.loop.run(duration, condition)

    def start_machine(self, index: int) -> None:
        """Start a control machine without any state."""
        self.machines.incarnations[index] += 1
        region = self.topology.machines[index].region
        machine = ControlMachine(self, self.sources[region], index)
        self.machines.running[index] = machine
        interval = self.size.slowed(TICK_INTERVAL)
        first = self.random.randrange(interval)
        self.machines.call_every(index, machine, first, interval, machine.on_tick)

    def start_node(self, index: int) -> None:
        """Start a node without any state."""
        self.nodes.incarnations[index] += 1
        node = HollowNode(self, index)
        self.nodes.running[index] = node
        node.start()
        interval = self.size.slowed(HEARTBEAT_INTERVAL)
        first = self.random.randrange(HEARTBEAT_INTERVAL)
        self.nodes.call_every(index, node, first, interval, node.send_heartbeats)

    def kill_node(self, index: int) -> None:
        """End a node; what it served may be taken for served a while longer."""
        node = self.nodes.kill(index)
        if node is not None:
            self.release_checker.on_node_killed(node.holder)

    def differences(self) -> list[str]:
        """What is not everywhere as the sources say; empty once the world has converged."""
        found: list[str] = []
        for region, source in self.sources.items():
            if source.outstanding:
                found.append(f"{region}: {sorted(source.outstanding)} not accepted")
            found += [
                f"{machine.spec.name} differs in {region}"
                for machine in self.machines.running.values()
                if _rows(machine.logs[region]) != source.desired
            ]
        return found + self._node_differences()

    def expect_convergence(self, duration: int) -> None:
        """Without faults and changes, everything must be as the sources say within `duration`."""
        self.change_interval = 0
        if not self.run(duration, lambda: not self.differences()):
            for difference in self.differences()[:MAX_DIFFERENCES_SHOWN]:
                self.breach(f"not healed: {difference}")
        for machine in self.machines.running.values():
            for log in machine.logs.values():
                self.log_checker.check_log(machine.spec.name, log)

    def _node_differences(self) -> list[str]:
        assigned = self.assignment().services_by_node
        found = []
        for node in self.nodes.running.values():
            for service in assigned[node.spec.name]:
                desired = self.sources[self.topology.home[service]].desired.get(service)
                if node.holder.rows(service) != desired:
                    found.append(f"{node.spec.name} differs in {service}")
        return found

    def _run_source(self, region: str) -> None:
        source, interval = self.sources[region], self.size.slowed(SOURCE_INTERVAL)
        if self.change_interval and self.random.random() < interval / self.change_interval:
            source.change()
        source.propose_outstanding()
        self.loop.call_later(interval, lambda: self._run_source(region))

    def _check(self) -> None:
        """Check at each interval what is not checked at an event."""
        self.node_checker.check_drains()
        for machine in self.machines.running.values():
            self._check_bounds(machine)
        self.loop.call_later(CHECK_INTERVAL, self._check)

    def _check_bounds(self, machine: ControlMachine) -> None:
        for region, log in machine.logs.items():
            if len(log) > self.size.max_log_changes:
                self.breach(f"{machine.spec.name}: {len(log)} changes in {region}'s log")
        polls = len(machine.open_polls)
        if polls > len(REGIONS) * len(self.topology.nodes):
            self.breach(f"{machine.spec.name}: {polls} polls held open")


def _rows(log: ChangeLog) -> dict[str, object]:
    return {name: log.rows(name) for name in log.services()}

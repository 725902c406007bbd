"""Messages between machines and nodes, over links that lose, delay, duplicate and block them.

What arrives at a paused process waits for it; what arrives at one that has ended is lost. Replies
to nodes arrive whatever has become of the poll: nothing but the node's own rules guards it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loadbalancer.core.assignment.release import ReleaseGrant
from loadbalancer.core.replicated_log.messages import Message
from simulation.control_world.event_loop import EventLoop
from simulation.control_world.messages import Poll, PollReply
from simulation.control_world.processes import ProcessGroup
from simulation.control_world.recorder import Recorder
from simulation.control_world.settings import EAST, WEST
from simulation.control_world.topology import Topology
from simulation.digest import machine_bytes
from simulation.links import Links

if TYPE_CHECKING:
    from simulation.control_world.machine import ControlMachine
    from simulation.control_world.node import HollowNode


@dataclass(frozen=True, slots=True)
class Network:
    """Sends each kind of message; senders and recipients are indexes of machines or nodes."""

    topology: Topology
    links: Links
    loop: EventLoop
    recorder: Recorder
    machines: ProcessGroup[ControlMachine]
    nodes: ProcessGroup[HollowNode]

    def partition_regions(self) -> None:
        """Let nothing pass between the regions."""
        self.links.partition(self.topology.addresses_in(EAST), self.topology.addresses_in(WEST))

    def replicate(self, sender: int, recipient: str, message: Message) -> None:
        """Send a replica's message to a machine, on a connection that ends with its process."""
        target = self.topology.machine_index[recipient]
        incarnation = self.machines.incarnations[target]

        def arrive(machine: ControlMachine) -> None:
            if machine.incarnation == incarnation:
                machine.on_message(sender, message)

        self._send_to_machine(sender, target, lambda: machine_bytes(message), arrive)

    def ping(self, sender: int, target: int, grant: ReleaseGrant | None) -> None:
        """Send a machine's ping, with a grant of releases if it leads its region."""

        def content() -> object:
            return None if grant is None else machine_bytes(grant)

        def arrive(machine: ControlMachine) -> None:
            machine.on_ping(sender, grant)

        self._send_to_machine(sender, target, content, arrive)

    def heartbeat(self, node: int, target: int, serving: frozenset[str], generation: int) -> None:
        """Send a node's heartbeat: what it serves, as of a generation of the machine's handover."""
        name = self.topology.nodes[node].name
        node_incarnation = self.nodes.incarnations[node]
        machine_incarnation = self.machines.incarnations[target]

        def arrive(machine: ControlMachine) -> None:
            if (
                self.nodes.incarnations[node] == node_incarnation
                and machine.incarnation == machine_incarnation
            ):
                machine.on_heartbeat(name, serving, generation)

        source = self.topology.node_address(node)
        self._send_to_machine(source, target, lambda: (serving, generation), arrive)

    def poll(self, target: int, poll: Poll) -> None:
        """Send a node's poll to a machine."""

        def arrive(machine: ControlMachine) -> None:
            machine.on_poll(poll)

        source = self.topology.node_address(poll.node)
        self._send_to_machine(source, target, poll.digest_values, arrive)

    def reply(self, reply: PollReply) -> None:
        """Send a machine's answer to the node that polled."""
        index = reply.poll.node

        def arrive(node: HollowNode) -> None:
            node.on_reply(reply)

        self._send(
            reply.machine,
            self.topology.node_address(index),
            reply.digest_values,
            lambda: self.nodes.deliver(index, arrive),
        )

    def _send_to_machine(
        self,
        source: int,
        target: int,
        content: Callable[[], object],
        arrive: Callable[[ControlMachine], None],
    ) -> None:
        self._send(source, target, content, lambda: self.machines.deliver(target, arrive))

    def _send(
        self,
        source: int,
        target: int,
        content: Callable[[], object],
        deliver: Callable[[], None],
    ) -> None:
        """Deliver each copy that the links let pass; source and target are addresses."""
        delays = self.links.draw_delays(source, target)
        self.recorder.message(source, target, content, delays)
        for delay in delays:
            self.loop.call_later(delay, deliver)

"""Hundreds of gossip nodes in one deterministic world: messages, link faults, kills, pauses.

One seed decides everything that happens, and the order of the random draws is part of a run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND, State
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import Message, Outgoing
from loadbalancer.core.gossip.settings import GossipSettings
from simulation.digest import Digest, gossip_bytes
from simulation.event_queue import EventQueue
from simulation.links import Links

FIRST_INCARNATION_MS = 1_700_000_000_000  # the wall clock's time at the world's start
MAX_CLOCK_OFFSET = 10 * SECOND
FIRST_TURN_WITHIN = SECOND // 10
MAX_WAITING_MESSAGES = 500  # in the socket of a paused node; later ones are lost
NO_TURN = 1 << 62  # later than any turn


class WaitingMessage(NamedTuple):
    """A message in the socket of a paused node."""

    source: int
    message: Message


class GossipWorld(EventQueue):
    """Nodes by index, each with its own clock; times are in nanoseconds from 0."""

    def __init__(
        self,
        nodes: int,
        servers: int = 0,
        seed: int = 1,
        zones: int = 1,
        slots: int = 15,
        readers: int = 0,
    ) -> None:
        """`servers` is how many each node's own list has; `readers`, how many poll it for all."""
        super().__init__()
        self.digest: Digest | None = None  # of all that is sent and decided
        self.random = Random(seed)
        self.links = Links(Random(seed + 1))
        self.node_count = nodes
        self.settings = [
            GossipSettings(nodes, me, zones, slots_per_server=slots, reader_count=readers)
            for me in range(nodes)
        ]
        self.servers = servers
        self.nodes: dict[int, GossipNode] = {}  # that run or are paused
        self.paused: dict[int, list[WaitingMessage]] = {}
        self.clock_offsets = [self.random.randrange(MAX_CLOCK_OFFSET) for _ in range(nodes)]
        self.sent: Counter[int] = Counter()  # messages by node
        self.starts: Counter[int] = Counter()  # by node
        self._next_turns: dict[int, int] = {}  # the world's time, by node

    def clock(self, node: int) -> int:
        """A node's own clock in nanoseconds: no two nodes' clocks agree."""
        return self.now + self.clock_offsets[node]

    def start(self, node: int) -> GossipNode:
        """Start a node, or start it again, without any state but its own list."""
        self.starts[node] += 1
        incarnation = FIRST_INCARNATION_MS + self.now // MS + self.starts[node]
        gossip_node = GossipNode(
            self.settings[node], self.random.getrandbits(32), incarnation, self.clock(node)
        )
        rows = [(server, 0, State.READY) for server in range(self.servers)]
        gossip_node.on_local_list(self.clock(node), 1, rows, True)
        self.nodes[node] = gossip_node
        self.schedule_turn(node, self.now + self.random.randrange(FIRST_TURN_WITHIN))
        return gossip_node

    def start_all(self) -> None:
        """Start all nodes now."""
        for node in range(self.node_count):
            self.start(node)

    def kill(self, node: int) -> None:
        """End a node at once; messages to it are lost."""
        self.nodes.pop(node, None)
        self.paused.pop(node, None)

    def pause(self, node: int) -> None:
        """Pause a node as SIGSTOP does: messages wait in its socket."""
        self.paused[node] = []

    def resume(self, node: int) -> None:
        """Let a paused node continue; it drops what has waited if it notices the pause."""
        waiting = self.paused.pop(node)
        if self.nodes[node].recover_if_paused(self.clock(node)):
            waiting = []
        for source, message in waiting:
            self.deliver(source, node, message)
        self.schedule_turn(node, self.now)

    def reschedule_turn(self, node: int) -> None:
        """Schedule a node's turn anew after an event that may have made it due sooner."""
        due = self.nodes[node].next_tick_at - self.clock_offsets[node]
        self.schedule_turn(node, max(due, self.now + 1))

    def schedule_turn(self, node: int, due: int) -> None:
        """Let a node take its next turn at `due`, unless an earlier one is scheduled."""
        is_overdue = self._next_turns.get(node, 0) < self.now
        if is_overdue or due < self._next_turns.get(node, NO_TURN):
            self._next_turns[node] = due
            self.call_at(due, self._take_turn, node, due)

    def send(self, node: int, outgoing: list[Outgoing]) -> None:
        """Send a node's messages over the links."""
        for target, message in outgoing:
            self.sent[node] += 1
            delays = self.links.draw_delays(node, target)
            if self.digest is not None:
                self.digest.add(self.now, node, target, gossip_bytes(message), delays)
            for delay in delays:
                self.call_at(self.now + delay, self.deliver, node, target, message)

    def deliver(self, source: int, target: int, message: Message) -> None:
        """Bring a message to a node, which answers it; at a paused one it waits."""
        gossip_node = self.nodes.get(target)
        if gossip_node is None:
            return
        if target in self.paused:
            if len(self.paused[target]) < MAX_WAITING_MESSAGES:
                self.paused[target].append(WaitingMessage(source, message))
            return
        if gossip_node.recover_if_paused(self.clock(target)):
            return  # its host drops what has waited
        self.send(target, gossip_node.receive(self.clock(target), message))
        self.reschedule_turn(target)

    def run(self, until: int, condition: Callable[[], bool] | None = None) -> bool:
        """Run events up to the time `until`, or until `condition` holds after one of them.

        Returns whether the condition holds; False where there is none.
        """
        while self.run_next(until):
            if condition is not None and condition():
                return True
        self.now = until
        return condition is not None and condition()

    def _take_turn(self, node: int, due: int) -> None:
        """Let a node send what is due, unless its turn has been scheduled anew since."""
        if self._next_turns.get(node) != due:
            return
        del self._next_turns[node]
        gossip_node = self.nodes.get(node)
        if gossip_node is None or node in self.paused:
            return
        gossip_node.recover_if_paused(self.clock(node))
        self.send(node, gossip_node.tick(self.clock(node)))
        self.reschedule_turn(node)

"""Hundreds of fleet modules in one world: messages, links with faults, kills, stops, restarts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from loadbalancer.core.balancing.model import SECOND, State
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import Message, Outgoing
from loadbalancer.core.gossip.settings import GossipSettings
from simulation.digest import Digest, gossip_bytes
from simulation.links import Links

START = 1_700_000_000_000  # the first incarnation, ms


class World:
    """Time in nanoseconds from 0; every choice is drawn from the seed."""

    def __init__(
        self,
        nodes: int,
        servers: int = 0,
        seed: int = 1,
        zones: int = 1,
        slots: int = 15,
        readers: int = 0,
    ) -> None:
        self.now = 0
        self.digest: Digest | None = None  # takes all that is sent and decided
        self.random = Random(seed)
        self.links = Links(Random(seed + 1))
        self.terms = [
            GossipSettings(nodes, me, zones, slots=slots, readers=readers) for me in range(nodes)
        ]
        self.servers = servers
        self.nodes: dict[int, GossipNode] = {}
        self.stopped: dict[int, list[tuple[int, Message]]] = {}
        self.skew = [self.random.randrange(10 * SECOND) for _ in range(nodes)]
        self.sent: Counter[int] = Counter()
        self.got: Counter[int] = Counter()
        self._queue: list[tuple[int, int, Callable[..., None], Any]] = []
        self._count = 0
        self._lives: Counter[int] = Counter()
        self._due: dict[int, int] = {}

    def later(self, due: int, what: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heappush(self._queue, (due, self._count, what, args))

    def clock(self, node: int) -> int:
        """A node's own: no two agree."""
        return self.now + self.skew[node]

    def start(self, node: int) -> GossipNode:
        """Start, or start again, from nothing but the list."""
        self._lives[node] += 1
        incarnation = START + self.now // 1_000_000 + self._lives[node]
        fleet = GossipNode(
            self.terms[node], self.random.getrandbits(32), incarnation, self.clock(node)
        )
        rows = [(s, 0, State.READY) for s in range(self.servers)]
        fleet.on_local_list(self.clock(node), 1, rows, True)
        self.nodes[node] = fleet
        self._arm(node, self.now + self.random.randrange(SECOND // 10))
        return fleet

    def start_all(self) -> None:
        for node in range(len(self.terms)):
            self.start(node)

    def kill(self, node: int) -> None:
        self.nodes.pop(node, None)
        self.stopped.pop(node, None)

    def stop(self, node: int) -> None:
        """SIGSTOP: messages wait in its socket, some hundreds of them."""
        self.stopped[node] = []

    def go_on(self, node: int) -> None:
        waiting = self.stopped.pop(node)
        if self.nodes[node].resume_after_pause(self.clock(node)):
            waiting = []
        for source, message in waiting:
            self._deliver(source, node, message)
        self._arm(node, self.now)

    def poke(self, node: int) -> None:
        """It has news of its own: its next turn is soon."""
        self._arm(node, max(self.nodes[node].next_turn_at - self.skew[node], self.now + 1))

    def _arm(self, node: int, due: int) -> None:
        if due < self._due.get(node, 1 << 62) or self._due.get(node, 0) < self.now:
            self._due[node] = due
            self.later(due, self._turn, node, due)

    def _turn(self, node: int, due: int) -> None:
        if self._due.get(node) != due:
            return
        del self._due[node]
        fleet = self.nodes.get(node)
        if fleet is None or node in self.stopped:
            return
        fleet.resume_after_pause(self.clock(node))
        self.send(node, fleet.tick(self.clock(node)))
        self._arm(node, max(fleet.next_turn_at - self.skew[node], self.now + 1))

    def send(self, node: int, out: list[Outgoing]) -> None:
        for to, message in out:
            self.sent[node] += 1
            delays = self.links.passing(node, to)
            if self.digest is not None:
                self.digest.add(self.now, node, to, gossip_bytes(message), delays)
            for delay in delays:
                self.later(self.now + delay, self._deliver, node, to, message)

    def _deliver(self, source: int, target: int, message: Message) -> None:
        fleet = self.nodes.get(target)
        if fleet is None:
            return
        if target in self.stopped:
            if len(self.stopped[target]) < 500:
                self.stopped[target].append((source, message))
            return
        if fleet.resume_after_pause(self.clock(target)):
            return  # its host throws away what has waited
        self.got[target] += 1
        self.send(target, fleet.receive(self.clock(target), message))
        self._arm(target, max(fleet.next_turn_at - self.skew[target], self.now + 1))

    def run(self, until: int, done: Callable[[], bool] | None = None) -> bool:
        """On to a time, or to where `done` holds (looked at after each event); whether it did."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what, args = heappop(self._queue)
            what(*args)
            if done is not None and done():
                return True
        self.now = until
        return done is not None and done()

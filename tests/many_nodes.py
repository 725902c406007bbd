"""Many Balancers that exchange no messages, before shared servers of one core each; by seed.

Servers work through a short queue in order; they may be slow, silent, draining or cold, and a
part of the requests may need many times the mean work. Each node's traffic differs from the
others'. Times are integer nanoseconds of the world's own clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import sqrt
from random import Random
from typing import Any

from loadbalancer.core import Balancer, Listing, Outcome, RequestClass, Settings, State, Update
from loadbalancer.core.balancing.model import MS, SECOND

WORK = 90 * MS  # mean, of one request on a server of one core
CLASS = RequestClass("c", 800 * MS, 2 * SECOND)
ZONES = 2
QUEUE = 3  # a server's waiting room; what finds it full is turned away, and counts
HEAVY = 20  # times the mean work that a heavy request needs
IDLE_SPAN = 4 * SECOND  # a node that refuses all it gets for so long, and so many, serves nobody
IDLE_REQUESTS = 15


@dataclass
class Server:
    """One core with a short queue, as slow as it is cold."""

    boot: int = 0
    slow: float = 1.0  # times the usual work
    silent: bool = False  # takes what comes and answers nothing
    free: int = 0  # when it is done with what it holds
    in_flight: int = 0
    out: int = 0  # attempts of all nodes that have not ended
    max_out: int = 0
    came: deque[int] = field(default_factory=deque)
    max_arrivals: float = 0.0  # of N + 2 x root of N + 2, over all windows

    def warmth(self, now: int, s: Settings) -> float:
        if not self.boot:
            return 1.0
        return min(s.cold_from + (1.0 - s.cold_from) * (now - self.boot) / s.cold, 1.0)

    def count(self, now: int, s: Settings) -> None:
        warm = self.warmth(now, s)
        if warm >= 1.0:
            return
        self.came.append(now)
        while self.came[0] <= now - s.fall:
            self.came.popleft()
        usual = s.fall_multiple * warm * s.fall / WORK
        self.max_arrivals = max(self.max_arrivals, len(self.came) / (usual + 2 * sqrt(usual) + 2))


class Host:
    """Carries out one Balancer's actions."""

    def __init__(self, world: World, node: int, settings: Settings) -> None:
        self.world, self.node = world, node
        self.tries: dict[int, int] = {}
        self.refused_since = 0  # when the first request after the last attempt was refused
        self.refused_count = 0  # of them since then
        self.idle = False  # it once refused all it got for IDLE_SPAN
        self.balancer = Balancer(settings, world.random.getrandbits(32), self)

    def send(self, request: int, backend: int, timeout: int) -> None:
        self.refused_count = 0
        attempt = self.tries[request] = self.tries.get(request, -1) + 1
        self.world.attempt(self, request, attempt, backend, timeout)

    def refuse(self, request: int, _retry_after: int) -> None:
        self.not_served(request)

    def fail(self, request: int) -> None:
        self.not_served(request)

    def not_served(self, request: int) -> None:
        self.world.refused += 1
        if request in self.tries:
            return
        if not self.refused_count:
            self.refused_since = self.world.now
        self.refused_count += 1
        if self.refused_count >= IDLE_REQUESTS:
            self.idle |= self.world.now - self.refused_since >= IDLE_SPAN

    def set_timer(self, token: int, due: int) -> None:
        self.world.later(due, lambda: self.balancer.on_timer(self.world.now, token))

    def __getattr__(self, action: str) -> Callable[..., None]:
        return lambda *_args: None


class World:
    """So many nodes before servers at `load` of their capacity; one node may have most of it."""

    def __init__(
        self,
        nodes: int,
        servers: int,
        load: float,
        seed: int,
        rules: Any = None,
        zones: int = ZONES,
    ) -> None:
        self.zones = zones
        self.random = Random(seed)
        self.now = SECOND
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.refused = self.served = 0
        self.heavy = 0.0  # part of the requests that need HEAVY times the mean work
        self.servers = [Server() for _ in range(servers)]
        self.hosts = []
        for node in range(nodes):
            settings = Settings(
                (CLASS,), node=node, nodes=nodes, zone=node % zones, zones=zones,
                max_attempts=4, cold_from=0.3, cold=8 * SECOND, fall=1500 * MS, **(rules or {}),
            )  # fmt: skip
            self.hosts.append(Host(self, node, settings))
        self.settings = settings
        weights = [self.random.paretovariate(1.3) for _ in range(nodes)]
        total = load * servers * SECOND / WORK
        for host, weight in zip(self.hosts, weights, strict=True):
            host.balancer.start(self.now)
            self.notify([host], Update.CACHED, range(servers))
            self.traffic(host, SECOND * sum(weights) / weight / total)

    def later(self, due: int, event: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.events, (max(due, self.now), self.count, event))

    def traffic(self, host: Host, gap: float) -> None:
        def come() -> None:
            self.count += 1
            host.balancer.on_request(self.now, self.count, 0, CLASS.deadline)
            self.later(self.now + int(self.random.expovariate(1.0 / gap)), come)

        self.later(self.now + int(self.random.expovariate(1.0 / gap)), come)

    def notify(self, hosts: list[Host], update: Update, servers: range | list[int]) -> None:
        rows = [
            Listing(i + 1, State.READY, i % self.zones, boot=self.servers[i].boot) for i in servers
        ]
        for host in hosts:
            host.balancer.on_members(self.now, update, rows)

    def restart(self, servers: list[int], spread: int) -> None:
        """These start anew, and the nodes hear of it one after another within `spread`."""
        for i in servers:
            self.servers[i] = Server(boot=self.now)
        for host in self.hosts:
            due = self.now + int(spread * self.random.random())
            self.later(due, lambda h=host: self.notify([h], Update.DELTA, servers))  # type: ignore[misc]

    def attempt(self, host: Host, request: int, attempt: int, backend: int, timeout: int) -> None:
        server, s = self.servers[backend - 1], self.settings
        sent = self.now
        server.count(sent, s)
        server.out += 1
        server.max_out = max(server.max_out, server.out)
        ended = False

        def end(outcome: Outcome) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            server.out -= 1
            self.served += outcome == Outcome.OK
            host.balancer.on_outcome(
                self.now, request, attempt, outcome, self.now - sent, outcome == Outcome.OK
            )

        def done() -> None:
            server.in_flight -= 1
            end(Outcome.OK)

        self.later(sent + timeout, lambda: end(Outcome.TIMEOUT))
        if server.silent:
            return
        if server.in_flight > QUEUE:
            self.later(sent + MS, lambda: end(Outcome.FULL))
            return
        server.in_flight += 1
        work = self.random.expovariate(1.0 / WORK) * server.slow / server.warmth(sent, s)
        if self.heavy and self.random.random() < self.heavy:
            work *= HEAVY
        server.free = max(server.free, sent) + int(work)
        self.later(server.free, done)

    def run(self, span: int) -> None:
        end = self.now + span
        while self.events and self.events[0][0] <= end:
            self.now, _, event = heappop(self.events)
            event()
        self.now = end

    def worst(self) -> float:
        return max(s.max_arrivals for s in self.servers)

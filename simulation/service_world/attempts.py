"""What becomes of attempts at servers, and the invariants that each attempt must keep."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.core import Outcome, State
from simulation.service_world.counters import Count
from simulation.service_world.server import Server
from simulation.service_world.settings import DRAIN_GRACE, NETWORK_DELAY

if TYPE_CHECKING:
    from simulation.service_world.node_host import AttemptKey, NodeHost
    from simulation.service_world.world import ServiceWorld


class RequestKey(NamedTuple):
    """A request over all its attempts."""

    node: int
    incarnation: int
    request: int


class Attempts:
    """Carries attempts to servers, and their outcomes back.

    A request with a side effect must run at most once, and nothing may be sent to a server once
    the grace of its drain is over.
    """

    def __init__(self, world: ServiceWorld) -> None:
        self._world = world
        self._with_side_effect: set[RequestKey] = set()
        self._runs: Counter[RequestKey] = Counter()

    def expect_one_run(self, host: NodeHost, request: int) -> None:
        """Note that a request has a side effect."""
        self._with_side_effect.add(RequestKey(host.node, host.incarnation, request))

    def begin(self, host: NodeHost, key: AttemptKey, index: int, timeout: int) -> None:
        """Take an attempt to a server, with its timeout in nanoseconds."""
        world, server = self._world, self._world.pool[index]
        self._check_drain(host, index)
        world.call_at(world.now + timeout, self._on_timeout, host, key)
        server.accept()
        if not server.down and server.is_overwhelmed(world.now):
            world.endpoint_list.restart_overwhelmed(index)
        if server.down:
            world.count(Count.SENT_TO_DOWN)
            self._end_later(NETWORK_DELAY, host, key, server, Outcome.CONNECT_FAILED)
        elif server.silent:
            world.count(Count.SENT_TO_SILENT)
            if not host.balancer.endpoints[index].consecutive_failures:
                world.count(Count.SENT_TO_SILENT_FIRST)
        elif server.in_flight > server.capacity:
            world.count(Count.REJECTED)
            self._end_later(NETWORK_DELAY, host, key, server, Outcome.FULL)
        else:
            self._count_run(RequestKey(host.node, host.incarnation, key.request))
            done_at = server.work(world.now, world.random)
            self._end_later(done_at - world.now, host, key, server, Outcome.OK)

    def abandon(self, host: NodeHost) -> None:
        """The host has been killed: the servers see its connections close."""
        for attempt in host.open_attempts.values():
            self._world.pool[attempt.server].in_flight -= 1

    def _check_drain(self, host: NodeHost, index: int) -> None:
        world = self._world
        if world.endpoint_list.states[index] == State.READY:
            return
        notified_at = world.pool[index].drain_notified_at.get(host.node, world.now)
        age = world.now - notified_at
        if age > DRAIN_GRACE:
            world.breach(f"node {host.node} sent to {index}, notified of its drain {age} ns ago")
        world.count(Count.SENT_TO_DRAINED)

    def _count_run(self, key: RequestKey) -> None:
        self._runs[key] += 1
        if key in self._with_side_effect and self._runs[key] > 1:
            self._world.breach(f"credit {key} ran {self._runs[key]} times")

    def _end_later(
        self, delay: int, host: NodeHost, key: AttemptKey, server: Server, outcome: Outcome
    ) -> None:
        self._world.call_at(self._world.now + delay, self._end, host, key, server, outcome)

    def _end(self, host: NodeHost, key: AttemptKey, server: Server, outcome: Outcome) -> None:
        if key in host.open_attempts and host.is_running():
            server.in_flight -= 1
            host.on_outcome(key, outcome)

    def _on_timeout(self, host: NodeHost, key: AttemptKey) -> None:
        attempt = host.open_attempts.get(key)
        if attempt is not None:
            self._end(host, key, self._world.pool[attempt.server], Outcome.TIMEOUT)

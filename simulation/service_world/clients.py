"""Clients: requests at a steady rate, each at one of the nodes that are ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND
from simulation.service_world.counters import Count
from simulation.service_world.settings import BALANCE, CREDIT, CREDIT_FRACTION, ServicePlan

if TYPE_CHECKING:
    from simulation.service_world.world import ServiceWorld

MIN_RATE = 1e-9  # requests per second; a rate of 0 would have no interval


class Clients:
    """Draws the node of each request by weight, and its class."""

    def __init__(self, world: ServiceWorld, plan: ServicePlan) -> None:
        self._world = world
        self._interval = int(SECOND / max(plan.rate, MIN_RATE))
        self._weights = dict.fromkeys(plan.hot_nodes, plan.hot_weight)
        self._nodes: list[int] = []  # each as often as its weight says
        self._requests = 0

    def add_node(self, node: int) -> None:
        """Send requests to a node that is ready."""
        if node not in self._nodes:
            self._nodes += [node] * self._weights.get(node, 1)

    def remove_node(self, node: int) -> None:
        """Send no more requests to a node."""
        self._nodes = [other for other in self._nodes if other != node]

    def run(self, until: int) -> None:
        """Send requests from now on until a time of the world."""
        self._world.call_at(self._world.now + self._interval, self._request, until)

    def _request(self, until: int) -> None:
        world = self._world
        if world.now < until:
            self.run(until)
        node = world.random.choice(self._nodes) if self._nodes else None
        host = None if node is None else world.hosts.get(node)
        if host is None:
            world.count(Count.REQUESTS)
            world.count(Count.NO_NODE)
            return
        if node in world.paused:
            world.count(Count.AT_PAUSED_NODE)
            return
        self._requests += 1
        has_side_effect = world.random.random() < CREDIT_FRACTION
        if has_side_effect:
            world.attempts.expect_one_run(host, self._requests)
        request_class = CREDIT if has_side_effect else BALANCE
        world.count(Count.REQUESTS)
        host.balancer.on_request(
            host.now, self._requests, int(has_side_effect), request_class.deadline
        )

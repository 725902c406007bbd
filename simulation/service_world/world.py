"""The complete world of serving, on the gossip world's time, links, kills and pauses."""

from __future__ import annotations

from collections import Counter

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.balancer_bridge import BalancerBridge, BalancerUpdate
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import Message, Outgoing
from simulation.gossip_world import GossipWorld
from simulation.service_world.attempts import Attempts
from simulation.service_world.clients import Clients
from simulation.service_world.counters import Count
from simulation.service_world.endpoint_list import EndpointList
from simulation.service_world.node_host import NodeHost
from simulation.service_world.server import Server
from simulation.service_world.settings import ServicePlan


class ServiceWorld(GossipWorld):
    """Nodes with Balancers and gossip, servers, a list and clients."""

    def __init__(self, plan: ServicePlan) -> None:
        listed = 0 if plan.list_readers is not None else plan.servers
        super().__init__(
            plan.nodes, listed, plan.seed, slots=plan.slots, readers=plan.list_readers or 0
        )
        self.gossip = plan.gossip
        self.pool = [Server() for _ in range(plan.servers)]
        self.hosts: dict[int, NodeHost] = {}
        self.bridges: dict[int, BalancerBridge] = {}
        self.breaches: list[str] = []
        self.counts: Counter[str] = Counter()  # by `Count`
        self.endpoint_list = EndpointList(self, plan)
        self.attempts = Attempts(self)
        self.clients = Clients(self, plan)

    def incarnation(self, node: int) -> int:
        """How often a node has started."""
        return self.starts[node]

    def breach(self, text: str) -> None:
        """Note that an invariant does not hold."""
        self.breaches.append(f"{self.now / SECOND:.3f} s: {text}")

    def count(self, key: Count) -> None:
        """Count one more."""
        self.counts[key] += 1

    def start(self, node: int) -> GossipNode:
        """Start a node with its Balancer; it gets requests once it is ready."""
        gossip_node = super().start(node)
        host = self.hosts[node] = NodeHost(self, node)
        if self.gossip:
            self.bridges[node] = BalancerBridge(gossip_node, host.balancer)
        host.balancer.start(host.now)
        if host.list_client is not None:
            host.list_client.begin()
        else:
            self.endpoint_list.push_all(host)
            self.clients.add_node(node)
        return gossip_node

    def start_cold(self) -> None:
        """Start all servers and all nodes now; the nodes know of no server."""
        self.now += MS
        self.endpoint_list.start_all_cold()
        self.start_all()

    def kill(self, node: int) -> None:
        """End a node, with its attempts and its polls."""
        super().kill(node)
        host = self.hosts.pop(node, None)
        self.bridges.pop(node, None)
        self.clients.remove_node(node)
        if host is None:
            return
        if host.list_client is not None:
            host.list_client.service.disconnect(host.list_client)
        self.attempts.abandon(host)

    def send(self, node: int, out: list[Outgoing]) -> None:
        """Send a node's gossip messages, where nodes gossip."""
        if self.gossip:
            super().send(node, out)

    def _take_turn(self, node: int, due: int) -> None:
        bridge = self.bridges.get(node)
        if bridge is not None and node not in self.paused:
            bridge.report(self.clock(node))
        super()._take_turn(node, due)
        self._apply_gossip(node)

    def deliver(self, source: int, target: int, message: Message) -> None:
        """Bring a message to a node, and pass on to its Balancer what it learned."""
        super().deliver(source, target, message)
        self._apply_gossip(target)

    def _apply_gossip(self, node: int) -> None:
        """Pass on to the Balancer what the node has learned from others."""
        host, bridge = self.hosts.get(node), self.bridges.get(node)
        if host is None or bridge is None or node in self.paused:
            return
        if host.list_client is not None:
            host.list_client.apply_shared()
        update = bridge.collect(self.clock(node))
        if update is not None:
            if self.digest is not None:
                _record(host, update)
            bridge.apply(self.clock(node), update)


def _record(host: NodeHost, update: BalancerUpdate) -> None:
    verdicts = [(v.server, v.verdict, v.latency_ratio, v.cold) for v in update.verdicts]
    drains = [(row.backend, row.state) for row in update.draining]
    host.record(verdicts, drains, update.reallocate)

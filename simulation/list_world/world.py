"""The complete world of starts, on the gossip world's time, links, kills and pauses."""

from __future__ import annotations

from collections.abc import Callable

from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import Message, Outgoing
from simulation.gossip_world import GossipWorld
from simulation.list_world.node import ListNode
from simulation.list_world.rows import KnownList, encode_row
from simulation.list_world.service import ListService


def knows_nothing(_node: int) -> KnownList:
    """The list of a node that starts without one."""
    return KnownList(0, {})


class ListWorld(GossipWorld):
    """Nodes, of which `readers` poll the service for all; with 0 each polls for itself."""

    def __init__(self, nodes: int, servers: int, seed: int, readers: int) -> None:
        super().__init__(nodes, 0, seed, readers=readers)
        rows = {f"s{server}": encode_row(server) for server in range(servers)}
        self.service = ListService(self, rows)
        self.list_nodes: dict[int, ListNode] = {}  # the last incarnation by node
        self.known_at_start: Callable[[int], KnownList] = knows_nothing  # by node

    def start(self, node: int) -> GossipNode:
        """Start a node, or start it again, with the list that it knows then."""
        gossip_node = super().start(node)
        list_node = self.list_nodes[node] = ListNode(self, node)
        list_node.begin()
        return gossip_node

    def kill(self, node: int) -> None:
        """End a node, and its connection to the service."""
        super().kill(node)
        self.service.disconnect(self.list_nodes[node].list_client)

    def send(self, node: int, outgoing: list[Outgoing]) -> None:
        """Send a node's gossip messages, where nodes gossip."""
        if self.settings[0].reader_count:
            super().send(node, outgoing)

    def deliver(self, source: int, target: int, message: Message) -> None:
        """Bring a message to a node, and apply what it learned of the list."""
        super().deliver(source, target, message)
        self._apply_shared_list(target)

    def is_current(self) -> bool:
        """Whether every running node has the service's rows."""
        rows = self.service.rows
        return all(self.list_nodes[node].list_client.rows == rows for node in self.nodes)

    def _take_turn(self, node: int, due: int) -> None:
        if not any(settings.reader_count for settings in self.settings):
            return  # no node gossips: nothing is to be sent or received
        super()._take_turn(node, due)
        self._apply_shared_list(node)

    def _apply_shared_list(self, node: int) -> None:
        if node in self.nodes and node not in self.paused:
            self.list_nodes[node].list_client.apply_shared()

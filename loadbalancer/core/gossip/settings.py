"""Settings of the gossip protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """The settings that all nodes of a fleet share, and the number of this node.

    Attributes:
        nodes: number of nodes in the fleet; they are numbered from 0.
        me: this node's number.
        zones: number of zones; a node's zone is its number modulo this number.
        messages_per_second: upper limit of the average rate at which one node sends messages.
        max_datagram_bytes: upper limit of the size of one message.
        slots_per_server: concurrent requests to one server, from all nodes together.
        reader_count: number of list readers, the nodes that poll the list service for the whole
            fleet; 0 if every node polls it.
    """

    nodes: int
    me: int
    zones: int = 1
    messages_per_second: int = 20
    max_datagram_bytes: int = 256
    slots_per_server: int = 15
    reader_count: int = 0

    def same_zone(self, node: int) -> bool:
        """Whether a node is in the same zone as this one."""
        return node % self.zones == self.me % self.zones

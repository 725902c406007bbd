"""The gossip settings that all nodes of a fleet have in common."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """The fleet's settings, and which of its nodes this is.

    Attributes:
        nodes: number of nodes in the fleet.
        me: this node's number.
        zones: number of zones; a node's zone is its number modulo this.
        messages_per_second: messages that a node sends a second, on average at most.
        max_datagram_bytes: bytes of one message at most.
        slots_per_server: concurrent requests of one server, from all nodes together.
        reader_count: list readers, which poll for all nodes; 0 where each node polls for itself.
    """

    nodes: int
    me: int
    zones: int = 1
    messages_per_second: int = 20
    max_datagram_bytes: int = 256
    slots_per_server: int = 15
    reader_count: int = 0

    def same_zone(self, node: int) -> bool:
        """Whether a node is of this node's zone."""
        return node % self.zones == self.me % self.zones

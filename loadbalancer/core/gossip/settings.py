"""What the nodes of one fleet agree on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """The fleet's terms, and which of its nodes this is.

    Attributes:
        nodes: number of nodes in the fleet.
        me: this node's number.
        zones: number of zones; a node's zone is its number modulo this.
        messages: a second, sent at most over time.
        datagram: bytes of a message at most.
        slots: concurrent requests of one server, from all nodes together.
        readers: nodes that read the list for all, 0 where each reads for itself.
    """

    nodes: int
    me: int
    zones: int = 1
    messages: int = 20
    datagram: int = 256
    slots: int = 15
    readers: int = 0

    def same_zone(self, node: int) -> bool:
        """Whether a node is of this node's zone."""
        return node % self.zones == self.me % self.zones

"""How a node's file descriptors are divided between client and backend connections.

The configuration limits a node's descriptors. Some are reserved for the process itself; the
rest are for connections. The number of clients is not under the node's control and they could
take all of them, so a fraction is kept for connections to backends. While backends use more than
that fraction, fewer clients are accepted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.proxy.admin import DESCRIPTORS as ADMIN_DESCRIPTORS

if TYPE_CHECKING:
    from loadbalancer.config.node import Config
    from loadbalancer.proxy.upstream.pool import ConnectionPool

# For the listening socket, the event loop, discovery and the log.
RESERVED_DESCRIPTORS = 24
# Of the reserved ones, for connections to backends that replace an idle one at the limit. The
# event loop closes the replaced one in its next iteration, and until then both are open.
REPLACEMENT_DESCRIPTORS = 8
HANDOVER_DESCRIPTORS = 8  # for connections to a predecessor and to a successor during an upgrade
UPSTREAM_FRACTION = 4  # one in this many connection descriptors is kept for backends


class DescriptorBudget:
    """Limits the descriptors in use; the clients' listener keeps the count in `clients`."""

    config: Config
    upstream: ConnectionPool

    def __init__(self, config: Config) -> None:
        self.config = config
        self.clients = 0
        self.reserved = RESERVED_DESCRIPTORS
        if config.admin is not None:
            self.reserved += ADMIN_DESCRIPTORS + HANDOVER_DESCRIPTORS
        self.sockets = config.sockets - self.reserved  # for client and backend connections together

    def max_clients(self) -> int:
        """The maximum number of client connections that leaves backends their descriptors."""
        return self.sockets - max(self.sockets // UPSTREAM_FRACTION, self.upstream.count)

    def may_accept_client(self) -> bool:
        """Whether one more client connection may be accepted."""
        return self.clients < self.max_clients()

    def close_surplus_upstream(self) -> None:
        """Close an idle backend connection for a client, if backends exceed their fraction."""
        if self.upstream.count > self.sockets // UPSTREAM_FRACTION:
            self.upstream.close_oldest()

    def may_open_upstream(self) -> bool:
        """Whether one more backend connection may be opened; at the limit, closes an idle one."""
        used = self.clients + self.upstream.count
        if used < self.sockets:
            return True
        return used < self.sockets + REPLACEMENT_DESCRIPTORS and self.upstream.close_oldest()

    # While an upgrade runs two processes of this node:

    def set_other_process_descriptors(self, descriptors_of_other: int) -> None:
        """Leave this many of the node's descriptors to the other process."""
        self.sockets = self.config.sockets - self.reserved - descriptors_of_other

    def descriptors(self) -> int:
        """The maximum number that this process uses until the other process releases some to it."""
        return self.reserved + max(self.sockets, self.clients + self.upstream.count)

    def releasable_descriptors(self) -> int:
        """How many descriptors a draining process can leave to its successor now."""
        used = self.clients + self.upstream.count + REPLACEMENT_DESCRIPTORS
        return max(self.config.sockets - self.reserved - used, 0)

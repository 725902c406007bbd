"""How a node's file descriptors are divided between clients and backends.

The configuration bounds the descriptors of a node. Some are reserved for its own needs; the
rest are the connections' of clients and backends. Clients come to the process unasked, so
a part of them is retained for backends; while backends use more than that, clients use less.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.proxy.admin import DESCRIPTORS as ADMIN_DESCRIPTORS

if TYPE_CHECKING:
    from loadbalancer.config.node import Config
    from loadbalancer.proxy.upstream.pool import ConnectionPool

RESERVED = 24  # for the listener, the event loop, discovery and the log
# Of the reserved ones, for connections that replace one that was given up just now. That is
# closed with the next turn of the event loop, and until then both are open.
OVERLAP = 8
HANDOVER_DESCRIPTORS = 8  # for the process before and the one after this one
UPSTREAM_FRACTION = 4  # one in so many descriptors is for backends


class DescriptorBudget:
    """Counts the descriptors in use; `clients` is counted by the clients' listener."""

    config: Config
    upstream: ConnectionPool

    def __init__(self, config: Config) -> None:
        self.config = config
        self.clients = 0
        self.reserved = RESERVED
        if config.admin is not None:
            self.reserved += ADMIN_DESCRIPTORS + HANDOVER_DESCRIPTORS
        self.sockets = config.sockets - self.reserved  # for clients and backends together

    # ---- clients -----------------------------------------------------------

    def max_clients(self) -> int:
        """The most connections of clients, leaving backends their part."""
        return self.sockets - max(self.sockets // UPSTREAM_FRACTION, self.upstream.count)

    def may_accept_client(self) -> bool:
        """Whether a further client may be accepted."""
        return self.clients < self.max_clients()

    def close_surplus_upstream(self) -> None:
        """Close an idle connection to a backend for a client, unless they are all retained."""
        if self.upstream.count > self.sockets // UPSTREAM_FRACTION:
            self.upstream.close_oldest()

    # ---- backends ----------------------------------------------------------

    def may_open_upstream(self) -> bool:
        """Whether one more connection to a backend may be opened; an idle one closes for it."""
        used = self.clients + self.upstream.count
        if used < self.sockets:
            return True
        return used < self.sockets + OVERLAP and self.upstream.close_oldest()

    # ---- while two processes are one node ------------------------------------

    def set_other_process_descriptors(self, descriptors_of_other: int) -> None:
        """Leave so many of the node's descriptors to the other process."""
        self.sockets = self.config.sockets - self.reserved - descriptors_of_other

    def descriptors(self) -> int:
        """The most that this process uses, as long as the other process leaves it no more."""
        return self.reserved + max(self.sockets, self.clients + self.upstream.count)

    def releasable_descriptors(self) -> int:
        """How many descriptors a process that drains can leave to its successor by now."""
        used = self.clients + self.upstream.count + OVERLAP
        return max(self.config.sockets - self.reserved - used, 0)

"""The endpoint list of this node, combined with drains that other nodes have read from theirs.

Gossip alone may drain only some of the servers: it reports no new servers that would replace them,
and false records must not be able to drain all of them.
"""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.core.balancing.model import State
from loadbalancer.core.gossip.messages import DrainRecord
from loadbalancer.core.gossip.records import RecordStore
from loadbalancer.core.gossip.update_sender import UpdateSender

MIN_SERVERS_PER_DRAIN = 3  # gossip alone drains at most one server in three


class LocalList:
    """The servers in the list of this node, and those that only gossip has drained."""

    def __init__(self, records: RecordStore, updates: UpdateSender) -> None:
        self._records = records
        self._updates = updates
        self.rev = 0  # version of the list
        self.boot_times: dict[int, int] = {}  # start time of each server, Unix ms
        self.drained_by_gossip: set[int] = set()  # servers that the list itself has as ready
        self.pending_drains: set[int] = set()  # servers with drain records to apply

    def update(
        self, now: int, rev: int, rows: Iterable[tuple[int, int, State]], complete: bool
    ) -> None:
        """Apply a new version of the list, and publish the drains in it.

        Args:
            now: present time in ns.
            rev: the version.
            rows: server, start time (Unix ms) and state.
            complete: whether `rows` has the whole list, so that a server without a row has been
                removed; otherwise it has only the changes.
        """
        if rev < self.rev:
            self._records.remove_drains_after(rev)
        self.rev = rev
        named = set()
        for server, boot, state in rows:
            named.add(server)
            self._update_server(now, server, boot, state)
        if complete:
            for server in [server for server in self.boot_times if server not in named]:
                self._publish(now, server, self.boot_times.pop(server), State.GONE)
        # A server drained by gossip remains so until this list has the version with the drain.
        self.drained_by_gossip = {
            server
            for server in self.drained_by_gossip
            if server in self.boot_times and self.has_pending_drain(server, self.boot_times[server])
        }

    def _update_server(self, now: int, server: int, boot: int, state: State) -> None:
        if state != State.READY:
            self.drained_by_gossip.discard(server)
        if state == State.GONE:
            # The row of a removed server may lack its start time: use the one listed before.
            if server in self.boot_times:
                self._publish(now, server, self.boot_times.pop(server), state)
            return
        self.boot_times[server] = boot
        if state == State.DRAINING:
            self._publish(now, server, boot, state)

    def _publish(self, now: int, server: int, boot: int, state: State) -> None:
        self._updates.publish(now, DrainRecord(server, boot, self.rev, state, 0))

    def effective_state(self, server: int, boot: int, state: State) -> State:
        """The state of a server according to the latest list version that any node has read.

        `state` is the one in the list of this node. READY may become DRAINING, for at most one
        server in MIN_SERVERS_PER_DRAIN; the others remain as in the list of this node.
        """
        allowed = (
            server in self.drained_by_gossip
            or len(self.drained_by_gossip) < self.max_drained_by_gossip()
        )
        if state == State.READY and allowed and self.has_pending_drain(server, boot):
            self.drained_by_gossip.add(server)
            # Also if the server is GONE in the later version: requests in flight may end, and the
            # list of this node will remove it.
            return State.DRAINING
        return state

    def has_pending_drain(self, server: int, boot: int) -> bool:
        """Whether a later version of the list drains or removes this start of a server."""
        return self._records.drain_state(server, boot, self.rev) is not None

    def max_drained_by_gossip(self) -> int:
        """How many servers gossip alone may drain."""
        return max(len(self.boot_times) // MIN_SERVERS_PER_DRAIN, 1)

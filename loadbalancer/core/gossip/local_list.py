"""This node's own list of servers, and the drains that other nodes' lists add to it.

A node drains only a part of its servers by gossip alone: gossip reports no new servers that
replace them, and false records must not drain all of them.
"""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.core.balancing.model import State
from loadbalancer.core.gossip.messages import DrainRecord
from loadbalancer.core.gossip.records import RecordStore
from loadbalancer.core.gossip.update_sender import UpdateSender

MAX_DRAINED_PART = 3  # at most one server in so many is drained by gossip alone


class LocalList:
    """The servers of this node's own list, and those that gossip alone has drained."""

    def __init__(self, records: RecordStore, updates: UpdateSender) -> None:
        self._records = records
        self._updates = updates
        self.rev = 0  # the list's version
        self.boots: dict[int, int] = {}  # the start of each server, Unix ms
        self.drained_by_gossip: set[int] = set()  # servers drained by gossip alone
        self.pending: set[int] = set()  # servers with drain records that were not applied yet

    def update(
        self, now: int, rev: int, rows: Iterable[tuple[int, int, State]], complete: bool
    ) -> None:
        """This node's own list has a new version.

        Args:
            now: ns.
            rev: the version.
            rows: server, start (Unix ms) and state of each server that is named.
            complete: whether servers that are not named have been removed.
        """
        if rev < self.rev:
            self._records.remove_drains_after(rev)
        self.rev = rev
        named = set()
        for server, boot, state in rows:
            named.add(server)
            self._update_server(now, server, boot, state)
        if complete:
            for server in [server for server in self.boots if server not in named]:
                self._publish(now, server, self.boots.pop(server), State.GONE)
        # Servers drained by gossip stay so until this node's own list has that version.
        self.drained_by_gossip = {
            server
            for server in self.drained_by_gossip
            if server in self.boots and self.is_pending(server, self.boots[server])
        }

    def _update_server(self, now: int, server: int, boot: int, state: State) -> None:
        if state != State.READY:
            self.drained_by_gossip.discard(server)
        if state == State.GONE:
            # The row of a removed server may lack its start: use the one that was listed.
            if server in self.boots:
                self._publish(now, server, self.boots.pop(server), state)
            return
        self.boots[server] = boot
        if state == State.DRAINING:
            self._publish(now, server, boot, state)

    def _publish(self, now: int, server: int, boot: int, state: State) -> None:
        self._updates.publish(now, DrainRecord(server, boot, self.rev, state, 0))

    def effective_state(self, server: int, boot: int, state: State) -> State:
        """A server's state by the latest list version that any node has reported.

        `state` is the one by this node's own list; READY may become DRAINING, for at most one
        server in MAX_DRAINED_PART: the others wait for this node's own list.
        """
        allowed = (
            server in self.drained_by_gossip
            or len(self.drained_by_gossip) < self.max_drained_by_gossip()
        )
        if state == State.READY and allowed and self.is_pending(server, boot):
            self.drained_by_gossip.add(server)
            # Also for GONE: open requests may end, and this node's own list removes it later.
            return State.DRAINING
        return state

    def is_pending(self, server: int, boot: int) -> bool:
        """Whether a later version of the list drains or removes this start of the server."""
        return self._records.drain_state(server, boot, self.rev) is not None

    def max_drained_by_gossip(self) -> int:
        """How many servers may be drained by gossip alone."""
        return max(len(self.boots) // MAX_DRAINED_PART, 1)

"""All servers of the merged list, by id and by address."""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.core.balancing.model import State
from loadbalancer.core.endpoints.merged_server import MergedServer
from loadbalancer.core.endpoints.server_report import Address


class ServerTable:
    """The servers, and the ids of those that have to be reassessed.

    Attributes:
        servers: all servers, by id.
        to_reassess: ids of servers with new reports. A long list comes in many short answers, so
            only servers that may change are reassessed after each one.
        changes: how many times a listed server has changed.
    """

    __slots__ = ("_counted_at", "_pool_size", "_uids_by_address", "changes", "servers",
                 "to_reassess")  # fmt: skip

    def __init__(self) -> None:
        self.servers: dict[str, MergedServer] = {}
        self.to_reassess: set[str] = set()
        self.changes = 0
        # The id of the server that is listed at each address.
        self._uids_by_address: dict[Address, str] = {}
        # The pool's size is counted again only when `changes` differs from `_counted_at`.
        self._counted_at = 0
        self._pool_size = 0

    def get_or_create(self, uid: str) -> MergedServer:
        """The server with this id, created if it is unknown."""
        server = self.servers.get(uid)
        if server is None:
            server = self.servers[uid] = MergedServer(uid)
        return server

    def listed_at(self, address: Address) -> MergedServer | None:
        """The server that is listed at an address, if any."""
        uid = self._uids_by_address.get(address)
        return None if uid is None else self.servers[uid]

    def list_at(self, address: Address, server: MergedServer) -> None:
        """List a server at an address, and no longer at its previous one.

        Guards against an address that still refers to a server that has moved away. A server
        reported at that address later would be taken for the one that moved or, after that one's
        removal, would make the merge raise KeyError.
        """
        self.release_address(server)
        server.address = address
        self._uids_by_address[address] = server.uid

    def release_address(self, server: MergedServer) -> None:
        """Stop listing a server at its address."""
        if self._uids_by_address.get(server.address) == server.uid:
            del self._uids_by_address[server.address]

    def set_state(
        self, now: int, server: MergedServer, state: State, weight: float, reason: str
    ) -> None:
        """Set a server's state; `changes` counts each change of a state or weight."""
        server.reason = reason
        server.is_unconfirmed = server.is_unconfirmed and state != State.GONE
        if state != server.state:
            server.since = now
        if (state, weight) != (server.state, server.weight):
            server.state, server.weight = state, weight
            self.changes += 1

    def pool_size(self) -> int:
        """The number of servers that are ready or were drained on health checks alone."""
        if self._counted_at != self.changes:
            self._pool_size = sum(
                server.state == State.READY or server.is_unconfirmed
                for server in self.servers.values()
            )
            self._counted_at = self.changes
        return self._pool_size

    def unconfirmed_count(self) -> int:
        """The number of servers drained on health checks alone."""
        return sum(server.is_unconfirmed for server in self.servers.values())

    def drop_removed(self, among: Iterable[str]) -> set[str]:
        """Drop unlisted servers that no source reports any more; returns their ids."""
        present = [self.servers[uid] for uid in among if uid in self.servers]
        removed = {server.uid for server in present if server.is_removed()}
        for uid in removed:
            self.release_address(self.servers.pop(uid))
        return removed

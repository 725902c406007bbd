"""All servers of the merged list by address, and where each source reports each of its ids."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from loadbalancer.core.balancing.model import State
from loadbalancer.core.endpoints.merged_server import MergedServer, ReportKey, StoredReport
from loadbalancer.core.endpoints.server_report import Address, Health, ServerReport


class ServerTable:
    """The servers, one for each address that a source reports, and which have to be reassessed.

    A server is found by its address alone: which source reports it first, and whether it was ever
    listed, makes no difference.

    Attributes:
        servers: all servers, by address.
        to_reassess: addresses of servers with new reports. A long list comes in many short answers,
            so only servers that may change are reassessed after each one.
        changes: how many times a listed server has changed.
    """

    __slots__ = ("_addresses", "_by_uid", "_counted_at", "_left_addresses", "_pool_size", "changes",
                 "servers", "to_reassess")  # fmt: skip

    def __init__(self) -> None:
        self.servers: dict[Address, MergedServer] = {}
        self.to_reassess: set[Address] = set()
        self.changes = 0
        self._addresses: dict[ReportKey, Address] = {}  # where a source reports an id
        self._by_uid: dict[str, MergedServer] = {}
        # Where a listed server has moved away from since the last reassessment.
        self._left_addresses: set[Address] = set()
        # The pool's size is counted again only when `changes` differs from `_counted_at`.
        self._counted_at = 0
        self._pool_size = 0

    def store(self, now: int, source: str, report: ServerReport) -> None:
        """Store a source's report of a server that it has, with the server at its address."""
        key = (source, report.uid)
        known_at = self._addresses.get(key)
        if known_at is not None and known_at != report.address:
            self._move(key, report.address)
        server = self._get_or_create(report.address)
        self._addresses[key] = report.address
        self._put(now, server, key, report)

    def mark_removed(self, now: int, source: str, uid: str) -> None:
        """Store that a source no longer has a server, which it may never have reported."""
        key = (source, uid)
        address = self._addresses.get(key)
        if address is not None:
            server = self.servers[address]
            # The row of a removed server may lack all but the id.
            report = replace(server.all_reports[key].report, health=Health.GONE)
            self._put(now, server, key, report)

    def uids_reported_by(self, source: str) -> list[str]:
        """The ids of the servers that are present by this source's latest reports."""
        return [
            uid
            for server in self.servers.values()
            for (name, uid), stored in server.all_reports.items()
            if name == source and stored.report.health != Health.GONE
        ]

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

    def drop_removed(self, among: Iterable[Address]) -> None:
        """Drop unlisted servers that no source reports any more; called by each reassessment."""
        self._left_addresses.clear()
        present = [self.servers[address] for address in among if address in self.servers]
        for server in present:
            if server.is_removed():
                self._drop(server)

    def _get_or_create(self, address: Address) -> MergedServer:
        server = self.servers.get(address)
        if server is None:
            server = self.servers[address] = MergedServer("", address=address)
            if address in self._left_addresses:
                server.begin_other_process()
        return server

    def _put(self, now: int, server: MergedServer, key: ReportKey, report: ServerReport) -> None:
        """Replace the report of one id at a server's address."""
        old = server.all_reports.get(key)
        if old is None or old.report != report or len(server.reports) > 1:
            self.to_reassess.add(server.address)
        if old is not None and old.report.health == report.health:
            old.report, old.received_at = report, now
            return
        server.all_reports[key] = StoredReport(report, now, now)
        self._choose_report(server, key[0])

    def _choose_report(self, server: MergedServer, source: str) -> None:
        """Choose the report of a source that counts, and forget removals that no longer do.

        Those are of ids beside the one that counts, and, if the source names another process, those
        by other sources: they removed the process before.
        """
        is_other_process = server.choose_report(source)
        chosen = server.reports.get(source)
        for key, stored in [*server.all_reports.items()]:
            is_removed = stored.report.health == Health.GONE and stored is not chosen
            if is_removed and (key[0] == source or is_other_process):
                del server.all_reports[key]
                del self._addresses[key]
                if key[0] != source:
                    del server.reports[key[0]]
        if server.reports:
            self._name(server)

    def _name(self, server: MergedServer) -> None:
        """Give a server its id; one that another server has is told apart by the address."""
        uid = server.own_uid()
        if self._by_uid.get(uid, server) is not server:
            uid = f"{uid}@{server.address[0]}:{server.address[1]}"
        if uid != server.uid:
            self._release_uid(server)
            server.uid = uid
            self._by_uid[uid] = server

    def _release_uid(self, server: MergedServer) -> None:
        if self._by_uid.get(server.uid) is server:
            del self._by_uid[server.uid]

    def _move(self, key: ReportKey, address: Address) -> None:
        """A source reports an id at another address than before: another process, which is cold.

        A server that nothing else is reported of moves along, so that it keeps its state and id.
        """
        before = self.servers[self._addresses[key]]
        self.to_reassess.update((before.address, address))
        is_listed = before.state != State.GONE
        if is_listed and len(before.all_reports) == 1:
            self._left_addresses.add(before.address)
        if address not in self.servers and len(before.all_reports) == 1:
            del self.servers[before.address]
            self._addresses[key] = before.address = address
            self.servers[address] = before
            before.begin_other_process()
            self.changes += is_listed
            return
        del self._addresses[key]
        del before.all_reports[key]
        if before.all_reports:
            self._choose_report(before, key[0])
        else:
            self.changes += is_listed
            self._drop(before)
        server = self._get_or_create(address)
        if server.state != State.READY:
            server.begin_other_process()
            server.reported_boot = server.reported_boot or before.reported_boot

    def _drop(self, server: MergedServer) -> None:
        del self.servers[server.address]
        self._release_uid(server)
        for key in server.all_reports:
            del self._addresses[key]

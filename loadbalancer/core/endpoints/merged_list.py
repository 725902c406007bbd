"""Merges several sources' reports of servers into one endpoint list; no I/O, no clock.

Each source (the platform's list, Consul's health checks, or a file) reports servers by id. The
merged list has the state of each server (ready, draining or removed), its weight and its start
time. Its rules prevent a faulty source from emptying the pool:

- **Precedence.** Of the sources that report a server, the one of highest rank with a fresh report
  decides. A stale report decides only if no source has a fresh one.
- **One process, one server.** All reports of one address are about one server, whichever source
  reports it first and whether or not it was ever listed. Two ids of one source at one address are
  one process, and only the first is listed. A new id at the address of a removed server starts
  cold, and so does a known id at a new address, or a server with another start time.
- **Rate limit.** On reports alone, at most `MergeLimits.max_drained_fraction` of the pool may be
  drained within `window_ns` (a leaky bucket). Further departures wait. Those that have waited
  longest come first, so every real departure is carried out in the end.
- **Unconfirmed failures.** Servers that only health checks report as failed (critical) are drained
  up to `max_unconfirmed_fraction` of the pool at any one time, unless this node's own attempts
  confirm the failure. If half a pool is reported critical but still answers, the other half must
  not get its load. Deliberate changes (maintenance, deregistration) are not subject to this limit,
  only to the rate limit.
- **Evidence of attempts.** A server that this node's own attempts have found dead is drained at
  once, outside the rate limit. A server that answers them is drained after those without evidence.
- **Authoritative sources.** The platform's list is written by the operators of the servers. Its
  drains are orders with a grace period of their own, and are carried out at once
  (`Source.is_authoritative`). What its complete list leaves out has been removed, also where
  another source goes on reporting it. Its empty lists are treated like those of any other source,
  and an empty first list orders nothing.
- **Empty lists.** A complete list without servers is ignored until the source has repeated it for
  `empty_confirm_ns`.
- **Flapping.** A server whose health changes repeatedly stays in its present state until it has
  been stable, which bounds the number of changes of the merged list.

Limitation: a real outage that none of this node's attempts confirms is acted on only as fast as
the rate limit allows. Times are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from loadbalancer.core.balancing.model import SECOND, State
from loadbalancer.core.endpoints.attempt_evidence import AttemptEvidence, no_evidence
from loadbalancer.core.endpoints.departure_limits import DepartureLimiter, MergeLimits
from loadbalancer.core.endpoints.list_snapshot import ListSnapshot
from loadbalancer.core.endpoints.merged_server import ListedServer, MergedServer
from loadbalancer.core.endpoints.report_intake import ReportIntake
from loadbalancer.core.endpoints.server_report import Address, Health, ServerReport, Source
from loadbalancer.core.endpoints.server_table import ServerTable


class MergedList:
    """One endpoint list, merged from the reports of several sources.

    Args:
        sources: all sources of the list.
        limits: the limits on changes made on reports alone; None for the defaults.
        evidence_of: returns what this node's own attempts show of a server, by its id.
    """

    __slots__ = ("_departures", "_evidence_of", "_intake", "_limits", "_sources", "_table",
                 "_unsettled")  # fmt: skip

    def __init__(
        self,
        sources: Sequence[Source],
        limits: MergeLimits | None = None,
        evidence_of: Callable[[str], AttemptEvidence] = no_evidence,
    ) -> None:
        self._sources = {source.name: source for source in sources}
        self._limits = limits or MergeLimits()
        self._evidence_of = evidence_of
        self._table = ServerTable()
        self._intake = ReportIntake(sources, self._table, self._limits.empty_confirm_ns)
        self._departures = DepartureLimiter(self._limits)
        self._unsettled: set[Address] = set()  # addresses of servers that `_is_unsettled`

    @property
    def changes(self) -> int:
        """How many times a listed server has changed."""
        return self._table.changes

    def snapshot(self) -> ListSnapshot:
        """What a successor of this process begins with."""
        reports: dict[str, list[ServerReport]] = {}
        for server in self._table.servers.values():
            for (source, _), stored in server.all_reports.items():
                reports.setdefault(source, []).append(stored.report)
        ready = {s.address: s.boot for s in self._table.servers.values() if s.state == State.READY}
        intake = self._intake
        return ListSnapshot(
            reports, frozenset(intake.complete_sources), frozenset(intake.listing_sources), ready
        )

    def restore(self, now: int, snapshot: ListSnapshot) -> None:
        """Bring this list, which is empty, to a snapshot's state, as far as it has the sources.

        The servers that were ready are listed first, and then all are assessed by their reports.
        One that is reported as unhealthy may have been held in the list by the limits on
        departures, which have to hold for it here too. What is ordered out is so before other
        sources' reports count.
        """
        names = sorted(self._sources, key=lambda name: not self._sources[name].is_authoritative)
        for name in names:
            self.update(now, name, snapshot.listing_reports(name), complete=False)
        for address, boot in snapshot.ready.items():
            if address in self._table.servers:
                self._table.servers[address].boot = boot
        for name in names:
            reports = snapshot.reports.get(name, ())
            if name in snapshot.listing_sources:
                self._intake.note_listing(name)
            self.update(now, name, reports, complete=name in snapshot.complete_sources)

    def update(
        self, now: int, source: str, reports: Iterable[ServerReport], complete: bool
    ) -> bool:
        """Merge a source's answer; with `complete`, its servers not in `reports` are removed.

        Returns whether the merged list has changed.
        """
        self._intake.merge(now, source, reports, complete)
        return self.reassess(now)

    def is_complete(self) -> bool:
        """Whether all sources of some rank have sent complete lists.

        Until then the merged list must not be used: a partial list would empty a pool.
        """
        return self._intake.is_complete()

    def servers(self) -> list[ListedServer]:
        """All servers ordered by id, including those never listed."""
        found = []
        for server in self._table.servers.values():
            found.append(server.listed(self._sources, self._intake.listing_sources))
            found += self._duplicates(server)
        return sorted(found, key=lambda server: server.uid)

    def reassess(self, now: int) -> bool:
        """Bring the merged list up to date; returns whether it has changed."""
        table = self._table
        before = table.changes
        self._departures.leak(now, table.pool_size())
        addresses = table.to_reassess | self._unsettled
        table.to_reassess = set()
        servers = [server for address, server in table.servers.items() if address in addresses]
        for server in servers:
            self._assess(now, server)
        self._drain_waiting(now, [s for s in servers if s.waiting_since is not None])
        table.drop_removed(addresses)
        self._unsettled = {
            address
            for address in addresses
            if address in table.servers and self._is_unsettled(table.servers[address])
        }
        return table.changes != before

    def next_reassessment_at(self, now: int) -> int:
        """When to call `reassess` without a new report; 0 if no server or list is waiting."""
        servers = [self._table.servers.get(address) for address in self._unsettled]
        waits = any(
            s.waiting_since is not None or s.flaps.is_flapping or self._awaits_removal(s)
            for s in servers
            if s is not None
        )
        return now + SECOND if waits or self._intake.awaits_confirmation() else 0

    def _duplicates(self, server: MergedServer) -> list[ListedServer]:
        """The other ids that a source gives a server's address, as servers that are not listed."""
        found = []
        for source, stored in server.other_reports():
            is_healthy = stored.report.health.is_healthy
            reason = f"{'the same address as' if is_healthy else 'replaced by'} {server.uid}"
            other = MergedServer(stored.report.uid, {source: stored}, reason=reason)
            found.append(other.listed(self._sources))
        return found

    def _deciding_report(self, server: MergedServer) -> ServerReport:
        return server.deciding_report(self._sources, self._intake.listing_sources)

    def _is_ordered_out(self, server: MergedServer) -> bool:
        """Whether an authoritative source orders a server's drain or removal."""
        return server.drain_order(self._sources, self._intake.listing_sources) is not None

    def _reason_out(self, server: MergedServer, report: ServerReport) -> str:
        """What is reported of a server that gets no requests, as shown to operators."""
        for source in self._sources.values():
            is_left_out = source.name in self._intake.listing_sources - server.reports.keys()
            if source.is_authoritative and is_left_out:
                return f"not in the list of source {source.name}"
        return report.health.name.lower()

    def _assess(self, now: int, server: MergedServer) -> None:
        """Bring a server's state up to date, except for a drain that the limits must allow."""
        report = self._deciding_report(server)
        is_healthy = report.health.is_healthy
        limits = self._limits
        server.flaps.update(now, is_healthy, limits.flap_threshold, limits.flap_half_life_ns)
        if is_healthy:
            server.waiting_since = None
            if server.state != State.READY and server.flaps.is_flapping:
                server.reason = "flapping: held out"
            else:
                self._list_as_ready(now, server, report)
        elif server.state == State.READY:
            if server.waiting_since is None:
                server.waiting_since = now
        elif server.state == State.GONE:
            # The server is not listed, so no limit on departures applies.
            server.reason = f"never in: {self._reason_out(server, report)}"
        elif self._awaits_removal(server) and now - server.since >= limits.drain_ns:
            self._table.set_state(now, server, State.GONE, 0.0, "deregistered")

    def _awaits_removal(self, server: MergedServer) -> bool:
        """Whether a server drains after its deregistration, and is listed as removed next."""
        is_draining = server.state == State.DRAINING
        return is_draining and self._deciding_report(server).health == Health.GONE

    def _is_unsettled(self, server: MergedServer) -> bool:
        """Whether time alone, or the removal of another server, may change a server's state."""
        is_waiting = server.waiting_since is not None
        return server.state != State.READY or is_waiting or server.flaps.has_penalty()

    def _list_as_ready(self, now: int, server: MergedServer, report: ServerReport) -> None:
        """List a server as ready, and as cold if it may be another process than before."""
        boot = self._boot_to_list(now, server)
        if server.state == State.READY and (boot != server.boot or server.is_other_process):
            self._table.changes += 1
        server.boot = boot
        server.is_unconfirmed = server.is_confirmed_dead = server.is_other_process = False
        self._table.set_state(now, server, State.READY, report.weight, report.health.name.lower())

    @staticmethod
    def _boot_to_list(now: int, server: MergedServer) -> int:
        """The start time to list: `now` for another process whose start time is not reported.

        Any source may report it, and the one that decides the state may not know it.
        """
        reported = server.newest_boot()
        is_new = reported not in (0, server.reported_boot)
        server.reported_boot = reported or server.reported_boot
        if is_new:
            return reported
        is_back = server.state != State.READY and server.is_confirmed_dead
        return now if server.is_other_process or is_back else server.boot

    def _drain_waiting(self, now: int, servers: list[MergedServer]) -> None:
        """Drain the waiting servers if the limits allow it, those that answer attempts last."""
        answers = {
            server.uid: self._evidence_of(server.uid) is AttemptEvidence.ALIVE for server in servers
        }
        for server in sorted(servers, key=lambda s: (answers[s.uid], s.waiting_since, s.uid)):
            self._drain_if_allowed(now, server)

    def _drain_if_allowed(self, now: int, server: MergedServer) -> None:
        """Drain a ready server that is reported unhealthy, if the limits allow it now."""
        report = self._deciding_report(server)
        health = report.health
        reported = health.name.lower()
        by_health_checks = health == Health.CRITICAL
        if self._evidence_of(server.uid) is AttemptEvidence.DEAD:
            server.is_confirmed_dead = True
            self._drain(now, server, f"{reported}, confirmed by failed attempts")
        elif self._is_ordered_out(server):
            self._drain(now, server, f"{self._reason_out(server, report)}, as ordered")
        elif by_health_checks and server.flaps.is_flapping:
            server.reason = "flapping: held in"
        elif by_health_checks and not self._allows_unconfirmed():
            server.reason = (
                f"{reported}, ignored: too many servers at once, none confirmed by attempts"
            )
        elif not self._departures.has_capacity(self._table.pool_size()):
            server.reason = f"{reported}, waiting: too many servers depart at once"
        else:
            self._departures.count_departure()
            self._drain(now, server, reported, is_unconfirmed=by_health_checks)

    def _allows_unconfirmed(self) -> bool:
        table = self._table
        return self._departures.allows_unconfirmed(table.unconfirmed_count(), table.pool_size())

    def _drain(
        self, now: int, server: MergedServer, reason: str, is_unconfirmed: bool = False
    ) -> None:
        server.waiting_since = None
        server.is_unconfirmed = is_unconfirmed
        self._table.set_state(now, server, State.DRAINING, server.weight, reason)

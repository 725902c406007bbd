"""Merges several sources' reports of servers into one endpoint list; no I/O, no clock.

Each source (the platform's list, Consul's health checks, or a file) reports servers by id. The
merged list has the state of each server (ready, draining or removed), its weight and its start
time. Its rules prevent a faulty source from emptying the pool:

- **Precedence.** Of the sources that report a server, the one of highest rank with a fresh report
  decides. A stale report decides only if no source has a fresh one.
- **One process, one server.** Reports of several sources with the same address are about one
  server. Two ids of one source at one address are one process, and only the first is listed. A
  new id at the address of a removed server starts cold, and so does a known id at a new address.
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
  (`Source.is_authoritative`). Its empty lists are treated like those of any other source.
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
from loadbalancer.core.endpoints.merged_server import ListedServer, MergedServer
from loadbalancer.core.endpoints.report_intake import ReportIntake
from loadbalancer.core.endpoints.server_report import Health, ServerReport, Source
from loadbalancer.core.endpoints.server_table import ServerTable


class MergedList:
    """One endpoint list, merged from the reports of several sources.

    Args:
        sources: all sources of the list.
        limits: the limits on changes made on reports alone; None for the defaults.
        evidence_of: returns what this node's own attempts show of a server, by its id.
    """

    __slots__ = ("_departures", "_evidence_of", "_intake", "_limits", "_sources", "_table",
                 "_unsettled_uids")  # fmt: skip

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
        self._unsettled_uids: set[str] = set()  # ids of servers that `_is_unsettled`

    @property
    def changes(self) -> int:
        """How many times a listed server has changed."""
        return self._table.changes

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
        by_uid = sorted(self._table.servers.values(), key=lambda server: server.uid)
        return [server.listed(self._sources) for server in by_uid]

    def reassess(self, now: int) -> bool:
        """Bring the merged list up to date; returns whether it has changed."""
        table = self._table
        before = table.changes
        self._departures.leak(now, table.pool_size())
        uids = table.to_reassess | self._unsettled_uids
        table.to_reassess = set()
        servers = [server for uid, server in table.servers.items() if uid in uids]
        for server in servers:
            self._assess(now, server)
        self._drain_waiting(now, [s for s in servers if s.waiting_since is not None])
        removed = table.drop_removed(uids | table.to_reassess)
        if removed:
            self._intake.forget(removed)
        self._unsettled_uids = {
            uid for uid in uids if uid in table.servers and self._is_unsettled(table.servers[uid])
        }
        return table.changes != before

    def next_reassessment_at(self, now: int) -> int:
        """When to call `reassess` without a new report; 0 if no server or list is waiting."""
        servers = (self._table.servers[uid] for uid in self._unsettled_uids)
        waits = any(
            s.waiting_since is not None or s.flaps.is_flapping or self._awaits_removal(s)
            for s in servers
        )
        return now + SECOND if waits or self._intake.awaits_confirmation() else 0

    def _assess(self, now: int, server: MergedServer) -> None:
        """Bring a server's state up to date, except for a drain that the limits must allow."""
        report = server.deciding_report(self._sources)
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
            server.reason = f"never in: {report.health.name.lower()}"
        elif self._awaits_removal(server) and now - server.since >= limits.drain_ns:
            self._table.set_state(now, server, State.GONE, 0.0, "deregistered")
            self._table.release_address(server)

    def _awaits_removal(self, server: MergedServer) -> bool:
        """Whether a server drains after its deregistration, and is listed as removed next."""
        is_draining = server.state == State.DRAINING
        return is_draining and server.deciding_report(self._sources).health == Health.GONE

    def _is_unsettled(self, server: MergedServer) -> bool:
        """Whether time alone, or the removal of another server, may change a server's state."""
        is_waiting = server.waiting_since is not None
        return server.state != State.READY or is_waiting or server.flaps.has_penalty()

    def _list_as_ready(self, now: int, server: MergedServer, report: ServerReport) -> None:
        """List a server as ready, and as cold if it may be another process than before."""
        table = self._table
        listed = table.listed_at(report.address)
        if listed is None or listed is server:
            server.boot = self._boot_to_list(now, server, report)
        elif listed.deciding_report(self._sources).health.is_healthy:
            server.reason = f"the same address as {listed.uid}"
            return
        else:
            # Only one process can listen at an address, so the earlier one has ended.
            listed.waiting_since = None
            table.set_state(now, listed, State.GONE, 0.0, f"replaced by {server.uid}")
            table.to_reassess.add(listed.uid)
            server.boot = report.boot or now
        server.is_unconfirmed = server.is_confirmed_dead = False
        table.list_at(report.address, server)
        table.set_state(now, server, State.READY, report.weight, report.health.name.lower())

    def _boot_to_list(self, now: int, server: MergedServer, report: ServerReport) -> int:
        """The start time to list: `now` for another process whose start time is not reported."""
        has_moved = server.address != report.address
        if server.state != State.GONE and has_moved:
            self._table.release_address(server)
            self._table.changes += 1
        elif server.state == State.READY or not server.is_confirmed_dead:
            return self._updated_boot(report.boot, server.boot)
        return report.boot if report.boot not in (0, server.boot) else now

    def _updated_boot(self, reported: int, known: int) -> int:
        """The start time of a server that has not moved; a newly reported one is a change."""
        if reported in (0, known):
            return known
        self._table.changes += 1
        return reported

    def _drain_waiting(self, now: int, servers: list[MergedServer]) -> None:
        """Drain the waiting servers if the limits allow it, those that answer attempts last."""
        answers = {
            server.uid: self._evidence_of(server.uid) is AttemptEvidence.ALIVE for server in servers
        }
        for server in sorted(servers, key=lambda s: (answers[s.uid], s.waiting_since, s.uid)):
            self._drain_if_allowed(now, server)

    def _drain_if_allowed(self, now: int, server: MergedServer) -> None:
        """Drain a ready server that is reported unhealthy, if the limits allow it now."""
        health = server.deciding_report(self._sources).health
        reported = health.name.lower()
        by_health_checks = health == Health.CRITICAL
        if self._evidence_of(server.uid) is AttemptEvidence.DEAD:
            server.is_confirmed_dead = True
            self._drain(now, server, f"{reported}, confirmed by failed attempts")
        elif server.drain_order(self._sources) is not None:
            self._drain(now, server, f"{reported}, as ordered")
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

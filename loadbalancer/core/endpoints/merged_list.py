"""Merges what several sources report of the servers into one endpoint list; no I/O, no clock.

A source reports servers by id: the platform's list, Consul's health checks, a file. The merged
list says of each server whether it is ready, draining or removed, with a weight and a start time.
The rules are there so that no fault of a source can empty the pool:

- **Age and rank.** Of the sources that report a server, the one of highest rank decides while
  its report is fresh; an old report decides only where no source has a fresher one.
- **One process, one server.** Reports of several sources with the same address are of one server.
  Two ids of one source at one address are one process: the first is listed. A new id at the
  address of one that was removed, or a known id at a new address, starts cold.
- **Departures are rate limited.** On reports alone at most `MergeLimits.max_drained_part` of the
  pool may be drained in `window_ns` (a leaky bucket). Further departures wait, longest waiting
  first, so every real one is carried out in the end.
- **Unconfirmed failures.** What only health checks say (critical) drains at most
  `max_unconfirmed_part` of the pool at any one time, unless this node's own attempts confirm it:
  if half a pool is critical but still answers, the other half must not get its load. What was done
  on purpose (maintenance, deregistration) has no such limit, only the rate limit.
- **Confirmation.** A server that this node's own attempts have found dead is drained at once,
  outside the rate limit; one that answers them is drained after those of which nothing is known.
- **Orders.** The platform's list is written by whoever runs the servers: its drains are orders
  with a grace period of their own, and are carried out at once (`Source.is_authoritative`). An
  empty list is believed no sooner than another source's.
- **Empty lists.** A complete list without servers is ignored until it has been repeated for
  `empty_confirm_ns`.
- **Flapping.** A server whose state changes again and again stays in its present state until it
  has been stable, so the merged list changes a bounded number of times.

Times are in nanoseconds. Limit of the design: a real outage that no attempts of this node confirm
is acted on at the rate limit only.
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
    """The merged list.

    Args:
        sources: all sources of the list.
        limits: on what reports alone may change; None for the defaults.
        evidence_of: what this node's own attempts show of a server, by its id.
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
        self._unsettled_uids: set[str] = set()  # of servers that time alone may change

    @property
    def changes(self) -> int:
        """How many times a server of the merged list has changed."""
        return self._table.changes

    def update(
        self, now: int, source: str, reports: Iterable[ServerReport], complete: bool
    ) -> bool:
        """Merge a source's answer; with `complete`, servers that it does not name are removed.

        Returns whether the merged list has changed.
        """
        self._intake.merge(now, source, reports, complete)
        return self.reassess(now)

    def is_complete(self) -> bool:
        """Whether all sources of some rank have sent complete lists.

        Before that the merged list must not be used: a part of it would empty a pool.
        """
        return self._intake.is_complete()

    def servers(self) -> list[ListedServer]:
        """All servers by id, with the reason of each one's state; also those never listed."""
        by_uid = sorted(self._table.servers.values(), key=lambda server: server.uid)
        return [server.listed(self._sources) for server in by_uid]

    def reassess(self, now: int) -> bool:
        """Bring the merged list up to date; whether it has changed."""
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
        """When `reassess` may change something by time alone; 0 where nothing waits."""
        servers = (self._table.servers[uid] for uid in self._unsettled_uids)
        waits = any(
            s.waiting_since is not None or s.flaps.is_flapping or self._awaits_removal(s)
            for s in servers
        )
        return now + SECOND if waits or self._intake.awaits_confirmation() else 0

    # ---- one server's state ------------------------------------------------

    def _assess(self, now: int, server: MergedServer) -> None:
        """Bring a server's state up to date, save for a drain that has to be allowed."""
        report = server.deciding_report(self._sources)
        is_healthy = report.health.is_healthy
        limits = self._limits
        server.flaps.update(now, is_healthy, limits.flap_threshold, limits.flap_half_life_ns)
        if is_healthy:
            server.waiting_since = None
            if server.state != State.READY and server.flaps.is_flapping:
                server.reason = "flapping: held out"
            else:
                self._make_ready(now, server, report)
        elif server.state == State.READY:
            if server.waiting_since is None:
                server.waiting_since = now
        elif server.state == State.GONE:
            # It is not listed, so no limit on departures applies.
            server.reason = f"never in: {report.health.name.lower()}"
        elif self._awaits_removal(server) and now - server.since >= limits.drain_ns:
            self._table.set_state(now, server, State.GONE, 0.0, "deregistered")
            self._table.release_address(server)

    def _awaits_removal(self, server: MergedServer) -> bool:
        """Whether it is draining, and listed as removed after that."""
        is_draining = server.state == State.DRAINING
        return is_draining and server.deciding_report(self._sources).health == Health.GONE

    def _is_unsettled(self, server: MergedServer) -> bool:
        """Whether time alone, or the removal of another server, may change its state."""
        is_waiting = server.waiting_since is not None
        return server.state != State.READY or is_waiting or server.flaps.may_decay()

    # ---- ready -------------------------------------------------------------

    def _make_ready(self, now: int, server: MergedServer, report: ServerReport) -> None:
        """List a server as ready, cold where it may be another process than before."""
        table = self._table
        listed = table.listed_at(report.address)
        if listed is None or listed is server:
            server.boot = self._boot_of(now, server, report)
        elif listed.deciding_report(self._sources).health.is_healthy:
            server.reason = f"the same address as {listed.uid}"
            return
        else:
            # Only one process can listen at an address: the earlier one has ended.
            listed.waiting_since = None
            table.set_state(now, listed, State.GONE, 0.0, f"replaced by {server.uid}")
            table.to_reassess.add(listed.uid)
            server.boot = report.boot or now
        server.is_unconfirmed = server.is_confirmed_dead = False
        table.list_at(report.address, server)
        table.set_state(now, server, State.READY, report.weight, report.health.name.lower())

    def _boot_of(self, now: int, server: MergedServer, report: ServerReport) -> int:
        """The start time to list; `now` for another process whose start is not reported."""
        has_moved = server.address != report.address
        if server.state != State.GONE and has_moved:
            self._table.release_address(server)
            self._table.changes += 1
        elif server.state == State.READY or not server.is_confirmed_dead:
            return self._updated_boot(report.boot, server.boot)
        return report.boot if report.boot not in (0, server.boot) else now

    def _updated_boot(self, reported: int, known: int) -> int:
        """The start time of the same process; a new one counts as a change."""
        if reported in (0, known):
            return known
        self._table.changes += 1
        return reported

    # ---- draining ----------------------------------------------------------

    def _drain_waiting(self, now: int, servers: list[MergedServer]) -> None:
        """Drain the servers that wait, those that answer attempts last."""
        answers = {
            server.uid: self._evidence_of(server.uid) is AttemptEvidence.ALIVE for server in servers
        }
        for server in sorted(servers, key=lambda s: (answers[s.uid], s.waiting_since, s.uid)):
            self._drain_if_allowed(now, server)

    def _drain_if_allowed(self, now: int, server: MergedServer) -> None:
        """Drain a ready server that is to leave, where the limits allow it now."""
        health = server.deciding_report(self._sources).health
        reported = health.name.lower()
        by_checks = health == Health.CRITICAL
        if self._evidence_of(server.uid) is AttemptEvidence.DEAD:
            server.is_confirmed_dead = True
            self._drain(now, server, f"{reported}, and its own answers agree")
        elif server.drain_order(self._sources) is not None:
            self._drain(now, server, f"{reported}, as ordered")
        elif by_checks and server.flaps.is_flapping:
            server.reason = "flapping: held in"
        elif by_checks and not self._allows_unconfirmed():
            server.reason = f"{reported}, not believed: too many at once, none confirmed"
        elif not self._departures.has_capacity(self._table.pool_size()):
            server.reason = f"{reported}, waits: too many leave at once"
        else:
            self._departures.count_departure()
            self._drain(now, server, reported, is_unconfirmed=by_checks)

    def _allows_unconfirmed(self) -> bool:
        table = self._table
        return self._departures.allows_unconfirmed(table.unconfirmed_count(), table.pool_size())

    def _drain(
        self, now: int, server: MergedServer, reason: str, is_unconfirmed: bool = False
    ) -> None:
        server.waiting_since = None
        server.is_unconfirmed = is_unconfirmed
        self._table.set_state(now, server, State.DRAINING, server.weight, reason)

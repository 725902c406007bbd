"""One server of the merged list: all that the sources report of the process at one address."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from loadbalancer.core.balancing.model import UNKNOWN, State
from loadbalancer.core.endpoints.flap_detector import FlapDetector
from loadbalancer.core.endpoints.server_report import Address, Health, ServerReport, Source

ReportKey = tuple[str, str]  # a source's name, and its id of a server


class SourceHealth(NamedTuple):
    """The health of a server that one source reports, and since when (ns)."""

    source: str
    health: Health
    since: int


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One server as the merged list shows it, with the reason for its state; times in nanoseconds.

    Attributes:
        boot: the start time of its process; 0 if not reported.
        since: when it entered its state.
        reason: why it is in its state; shown to operators.
        reports: the health that each source reports, ordered by the sources' names.
        cell: the number of its cell, UNKNOWN if not reported.
        kind: the number of its kind, 0 if not reported.
    """

    uid: str
    host: str
    port: int
    zone: str
    state: State
    weight: float
    boot: int
    since: int
    reason: str
    reports: tuple[SourceHealth, ...]
    cell: int = UNKNOWN
    kind: int = 0


@dataclass(slots=True)
class StoredReport:
    """The latest report of one source about one id; times in nanoseconds.

    Attributes:
        health_since: when the source first reported the present health.
        received_at: when the latest report was received.
    """

    report: ServerReport
    health_since: int
    received_at: int


@dataclass(slots=True)
class MergedServer:
    """The process at one address, with the sources' reports of it and its state.

    Attributes:
        uid: its id in the merged list: that of the source which reported it first.
        reports: the report of each source that counts, by the source's name.
        address: where it listens.
        all_reports: the latest report of each id that a source gives this address. Where a source
            gives it several, one of them counts.
        last_uids: the id of the last process that each source has named here.
        named_by: the source whose id it has.
        reported_boot: the start time that was last reported; 0 if none was.
        is_other_process: whether a source has named another process here since it was last ready.
        waiting_since: since when (ns) it has been waiting, still ready, to be drained; None if it
            is not waiting.
        is_unconfirmed: whether it was drained on health checks alone.
        is_confirmed_dead: whether it was drained because this node's own attempts found it dead.
    """

    uid: str
    reports: dict[str, StoredReport] = field(default_factory=dict)
    state: State = State.GONE
    weight: float = 0.0
    boot: int = 0
    since: int = 0
    reason: str = "never in"
    address: Address = ("", 0)
    all_reports: dict[ReportKey, StoredReport] = field(default_factory=dict)
    last_uids: dict[str, str] = field(default_factory=dict)
    named_by: str = ""
    reported_boot: int = 0
    is_other_process: bool = False
    waiting_since: int | None = None
    is_unconfirmed: bool = False
    is_confirmed_dead: bool = False
    flaps: FlapDetector = field(default_factory=FlapDetector)

    def choose_report(self, source: str) -> bool:
        """Choose the report of a source that counts; whether it names another process than before.

        Of several ids at one address the one that may get requests is the present process, as only
        one process can listen there; else one that is still reported. Another id than before is
        another process.
        """
        self.reports.pop(source, None)
        last_uid = self.last_uids.get(source)
        candidates = [stored for (name, _), stored in self.all_reports.items() if name == source]
        if not candidates:
            return False

        def precedence(stored: StoredReport) -> tuple[bool, bool, bool]:
            health = stored.report.health
            return not health.is_healthy, health == Health.GONE, stored.report.uid != last_uid

        chosen = min(candidates, key=precedence)
        self.reports[source] = chosen
        self.last_uids[source] = chosen.report.uid
        if last_uid in (None, chosen.report.uid):
            return False
        self.begin_other_process()
        return True

    def begin_other_process(self) -> None:
        """Forget what was observed of the process before; the next one starts cold."""
        self.is_other_process = True
        self.flaps = FlapDetector()

    def own_uid(self) -> str:
        """The id by the source that names it; by another one, if that does not report it now."""
        if self.named_by not in self.reports:
            self.named_by = next(iter(self.reports))
        return self.reports[self.named_by].report.uid

    def newest_boot(self) -> int:
        """The latest start time that a source reports, ns; 0 if none does."""
        boots = [stored.report.boot for stored in self.reports.values()]
        return max((boot for boot in boots if boot), default=0)

    def other_reports(self) -> list[tuple[str, StoredReport]]:
        """Reports by source that do not count, as the source reports another id at the address."""
        chosen = {id(stored) for stored in self.reports.values()}
        return [
            (source, stored)
            for (source, _), stored in self.all_reports.items()
            if id(stored) not in chosen
        ]

    def drain_order(
        self, sources: Mapping[str, Source], listing_sources: Collection[str] = ()
    ) -> ServerReport | None:
        """The order of an authoritative source to drain or remove it, if any.

        Args:
            sources: all sources, by name.
            listing_sources: those whose complete list is known. What is not in the complete list of
                an authoritative source has been removed, also where another source reports it.
        """
        for name, source in sources.items():
            if not source.is_authoritative:
                continue
            stored = self.reports.get(name)
            if stored is None and name in listing_sources:
                return replace(next(iter(self.reports.values())).report, health=Health.GONE)
            if stored is not None and stored.report.health >= Health.MAINTENANCE:
                return stored.report
        return None

    def deciding_report(
        self, sources: Mapping[str, Source], listing_sources: Collection[str] = ()
    ) -> ServerReport:
        """The report that decides its state: a drain order, or the fresh report of highest rank.

        A stale report decides only where no report is fresh.
        """
        order = self.drain_order(sources, listing_sources)
        if order is not None:
            return order
        latest = max(stored.received_at for stored in self.reports.values())

        def precedence(item: tuple[str, StoredReport]) -> tuple[bool, int, int]:
            name, stored = item
            source = sources[name]
            is_fresh = not source.fresh_ns or latest - stored.received_at <= source.fresh_ns
            return is_fresh, source.rank, stored.received_at

        return max(self.reports.items(), key=precedence)[1].report

    def is_removed(self) -> bool:
        """Whether it is not listed, and no source reports it any more."""
        return self.state == State.GONE and all(
            stored.report.health == Health.GONE for stored in self.all_reports.values()
        )

    def listed(
        self, sources: Mapping[str, Source], listing_sources: Collection[str] = ()
    ) -> ListedServer:
        """Return the server as the merged list shows it."""
        report = self.deciding_report(sources, listing_sources)
        healths = tuple(
            SourceHealth(name, stored.report.health, stored.health_since)
            for name, stored in sorted(self.reports.items())
        )
        # Not every source reports cell and kind: each is taken from any that does. A cell on which
        # sources disagree is not known.
        all_reports = [stored.report for stored in self.reports.values()]
        cells = {r.cell for r in all_reports} - {UNKNOWN}
        cell = cells.pop() if len(cells) == 1 else UNKNOWN
        kind = next((r.kind for r in all_reports if r.kind), 0)
        return ListedServer(
            self.uid, report.host, report.port, report.zone, self.state, self.weight, self.boot,
            self.since, self.reason, healths, cell, kind,
        )  # fmt: skip

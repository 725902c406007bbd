"""One server of the merged list: the sources' reports of it, and the report that decides."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.core.balancing.model import UNKNOWN, State
from loadbalancer.core.endpoints.flap_detector import FlapDetector
from loadbalancer.core.endpoints.server_report import Address, Health, ServerReport, Source


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
    """The latest report of one source; times in nanoseconds.

    Attributes:
        health_since: when the source first reported the present health.
        received_at: when the latest report was received.
    """

    report: ServerReport
    health_since: int
    received_at: int


@dataclass(slots=True)
class MergedServer:
    """One server, with the sources' reports of it and its state in the merged list.

    Attributes:
        reports: the latest report of each source, by the source's name.
        address: the address at which it was last listed.
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
    waiting_since: int | None = None
    is_unconfirmed: bool = False
    is_confirmed_dead: bool = False
    flaps: FlapDetector = field(default_factory=FlapDetector)

    def drain_order(self, sources: Mapping[str, Source]) -> ServerReport | None:
        """The report of an authoritative source that orders its drain or removal, if any."""
        for name, stored in self.reports.items():
            ordered = stored.report.health >= Health.MAINTENANCE
            if ordered and sources[name].is_authoritative:
                return stored.report
        return None

    def deciding_report(self, sources: Mapping[str, Source]) -> ServerReport:
        """The report that decides its state: a drain order, or the fresh report of highest rank.

        A stale report decides only where no report is fresh.
        """
        order = self.drain_order(sources)
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
            stored.report.health == Health.GONE for stored in self.reports.values()
        )

    def listed(self, sources: Mapping[str, Source]) -> ListedServer:
        """Return the server as the merged list shows it."""
        report = self.deciding_report(sources)
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

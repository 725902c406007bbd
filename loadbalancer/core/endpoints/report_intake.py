"""Stores the sources' answers, and what follows from what a complete one leaves out."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from loadbalancer.core.endpoints.server_report import Health, ServerReport, Source
from loadbalancer.core.endpoints.server_table import ServerTable


class ReportIntake:
    """Stores each report with the server of a table that it is about.

    Args:
        sources: all sources of the list.
        table: all servers of the merged list.
        empty_confirm_ns: how long a source must repeat an empty list before it is applied.

    Attributes:
        complete_sources: those that have sent a complete list.
        listing_sources: those whose complete list is known and has had servers. What such a list
            leaves out is removed, which for an empty first list would mean every server.
    """

    __slots__ = ("_empty_confirm_ns", "_empty_since", "_sources", "_table",
                 "complete_sources", "listing_sources")  # fmt: skip

    def __init__(
        self, sources: Sequence[Source], table: ServerTable, empty_confirm_ns: int
    ) -> None:
        self._sources = sources
        self._table = table
        self._empty_confirm_ns = empty_confirm_ns
        self._empty_since: dict[str, int] = {}  # ns, by source that repeats an empty list
        self.complete_sources: set[str] = set()
        self.listing_sources: set[str] = set()

    def merge(self, now: int, source: str, reports: Iterable[ServerReport], complete: bool) -> None:
        """Store a source's answer; with `complete`, its servers not in `reports` are removed.

        Guards against a source that has lost its data and answers with an empty list, which would
        empty the pool: such a list is ignored until it has been repeated for long enough.
        """
        by_uid = {report.uid: report for report in reports}
        if complete:
            self.complete_sources.add(source)
        if by_uid:
            self._empty_since.pop(source, None)
        elif complete and self._is_unconfirmed_empty(now, source):
            return
        if complete:
            for uid in self._table.uids_reported_by(source):
                if uid not in by_uid:
                    self._table.mark_removed(now, source, uid)
        for report in by_uid.values():
            self._merge_report(now, source, report)
        if by_uid and source in self.complete_sources:
            self.note_listing(source)

    def is_complete(self) -> bool:
        """Whether all sources of some rank have sent complete lists."""
        incomplete = {s.rank for s in self._sources if s.name not in self.complete_sources}
        return any(s.rank not in incomplete for s in self._sources)

    def awaits_confirmation(self) -> bool:
        """Whether some source repeats an empty list that has not been applied yet."""
        return bool(self._empty_since)

    def note_listing(self, source: str) -> None:
        """From now on what this source's list leaves out counts for every server."""
        if source not in self.listing_sources:
            self.listing_sources.add(source)
            self._table.to_reassess.update(self._table.servers)

    def _is_unconfirmed_empty(self, now: int, source: str) -> bool:
        """Whether a source's empty list has not been repeated for long enough yet."""
        if not self._table.uids_reported_by(source):
            return False
        return now - self._empty_since.setdefault(source, now) < self._empty_confirm_ns

    def _merge_report(self, now: int, source: str, report: ServerReport) -> None:
        if report.health == Health.GONE:
            self._table.mark_removed(now, source, report.uid)
        else:
            self._table.store(now, source, report)

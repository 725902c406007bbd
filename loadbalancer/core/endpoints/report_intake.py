"""Stores the sources' answers: finds the server that each report is about."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace

from loadbalancer.core.endpoints.merged_server import MergedServer, StoredReport
from loadbalancer.core.endpoints.server_report import Health, ServerReport, Source
from loadbalancer.core.endpoints.server_table import ServerTable


class ReportIntake:
    """Stores each report with the server of a table that it is about.

    Args:
        sources: all sources of the list.
        table: all servers of the merged list.
        empty_confirm_ns: how long a source must repeat an empty list before it is applied.
    """

    __slots__ = ("_complete_sources", "_empty_confirm_ns", "_empty_since", "_sources", "_table",
                 "_uids")  # fmt: skip

    def __init__(
        self, sources: Sequence[Source], table: ServerTable, empty_confirm_ns: int
    ) -> None:
        self._sources = sources
        self._table = table
        self._empty_confirm_ns = empty_confirm_ns
        self._uids: dict[tuple[str, str], str] = {}  # server id by (source, source's id of it)
        self._empty_since: dict[str, int] = {}  # ns, by source that repeats an empty list
        self._complete_sources: set[str] = set()  # that have sent a complete list

    def merge(self, now: int, source: str, reports: Iterable[ServerReport], complete: bool) -> None:
        """Store a source's answer; with `complete`, its servers not in `reports` are removed.

        Guards against a source that has lost its data and answers with an empty list, which would
        empty the pool: such a list is ignored until it has been repeated for long enough.
        """
        by_uid = {report.uid: report for report in reports}
        if complete:
            self._complete_sources.add(source)
        if by_uid:
            self._empty_since.pop(source, None)
        elif complete and self._reports_any(source) and self._is_unconfirmed_empty(now, source):
            return
        reported_uids = {self._merge_report(now, source, report) for report in by_uid.values()}
        if complete:
            self._mark_removed(now, source, reported_uids)

    def is_complete(self) -> bool:
        """Whether all sources of some rank have sent complete lists."""
        incomplete = {s.rank for s in self._sources if s.name not in self._complete_sources}
        return any(s.rank not in incomplete for s in self._sources)

    def awaits_confirmation(self) -> bool:
        """Whether some source repeats an empty list that has not been applied yet."""
        return bool(self._empty_since)

    def forget(self, uids: set[str]) -> None:
        """Forget the sources' ids of servers that have been removed."""
        self._uids = {source_key: uid for source_key, uid in self._uids.items() if uid not in uids}

    def _is_unconfirmed_empty(self, now: int, source: str) -> bool:
        """Whether a source's empty list has not been repeated for long enough yet."""
        return now - self._empty_since.setdefault(source, now) < self._empty_confirm_ns

    def _reports_any(self, source: str) -> bool:
        """Whether any server is present according to this source's latest reports."""
        stored_reports = (s.reports.get(source) for s in self._table.servers.values())
        return any(s is not None and s.report.health != Health.GONE for s in stored_reports)

    def _mark_removed(self, now: int, source: str, reported_uids: set[str]) -> None:
        """Record that a source no longer reports any of its servers but these."""
        for server in self._table.servers.values():
            stored = server.reports.get(source)
            if stored is not None and server.uid not in reported_uids:
                self._store(now, server, source, replace(stored.report, health=Health.GONE))

    def _merge_report(self, now: int, source: str, report: ServerReport) -> str:
        """Store one report; returns the id of the server that it is about."""
        source_key = (source, report.uid)
        uid = self._uids.get(source_key) or self._resolve_uid(source, report)
        self._uids[source_key] = uid
        self._store(now, self._table.get_or_create(uid), source, report)
        return uid

    def _resolve_uid(self, source: str, report: ServerReport) -> str:
        """Return the id of the server that a report is about.

        This is the reported id, unless no server has it and another source reports a server
        at the same address: then it is that server's id.
        """
        if report.uid in self._table.servers:
            return report.uid
        server = self._table.listed_at(report.address)
        if server is not None and source not in server.reports:
            return server.uid
        return report.uid

    def _store(self, now: int, server: MergedServer, source: str, report: ServerReport) -> None:
        old = server.reports.get(source)
        if old is not None and report.health == Health.GONE:
            report = replace(old.report, health=Health.GONE)  # a removal may lack the address
        if old is None or old.report != report or len(server.reports) > 1:
            self._table.to_reassess.add(server.uid)
        if old is not None and old.report.health == report.health:
            old.report, old.received_at = report, now
        else:
            server.reports[source] = StoredReport(report, now, now)

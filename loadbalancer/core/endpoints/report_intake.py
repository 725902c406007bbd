"""Takes in the sources' answers: finds the server that each report is about, and stores it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace

from loadbalancer.core.endpoints.merged_server import MergedServer, StoredReport
from loadbalancer.core.endpoints.server_report import Health, ServerReport, Source
from loadbalancer.core.endpoints.server_table import ServerTable


class ReportIntake:
    """Stores reports with the servers of a table.

    Args:
        sources: all sources of the list.
        table: the servers.
        empty_confirm_ns: how long an empty list is repeated until it is believed.
    """

    __slots__ = ("_complete_sources", "_empty_confirm_ns", "_empty_since", "_sources", "_table",
                 "_uids")  # fmt: skip

    def __init__(
        self, sources: Sequence[Source], table: ServerTable, empty_confirm_ns: int
    ) -> None:
        self._sources = sources
        self._table = table
        self._empty_confirm_ns = empty_confirm_ns
        self._uids: dict[tuple[str, str], str] = {}  # by source and the source's id
        self._empty_since: dict[str, int] = {}  # by source whose complete list is empty: ns
        self._complete_sources: set[str] = set()  # those that have sent a complete list

    def merge(self, now: int, source: str, reports: Iterable[ServerReport], complete: bool) -> None:
        """Store a source's answer; with `complete`, servers that it does not name are gone.

        Guards against a source that lost its data and answers with an empty list, which would
        empty the pool: such a list is ignored until it has been repeated for long enough.
        """
        by_uid = {report.uid: report for report in reports}
        if complete:
            self._complete_sources.add(source)
        if by_uid:
            self._empty_since.pop(source, None)
        elif complete and self._reports_any(source) and self._is_unconfirmed_empty(now, source):
            return
        named = {self._merge_report(now, source, report) for report in by_uid.values()}
        if complete:
            self._mark_removed(now, source, named)

    def is_complete(self) -> bool:
        """Whether all sources of some rank have sent complete lists."""
        incomplete = {s.rank for s in self._sources if s.name not in self._complete_sources}
        return any(s.rank not in incomplete for s in self._sources)

    def awaits_confirmation(self) -> bool:
        """Whether an empty list is repeated until it is believed."""
        return bool(self._empty_since)

    def forget(self, uids: set[str]) -> None:
        """These servers are removed: forget the sources' ids of them."""
        self._uids = {key: uid for key, uid in self._uids.items() if uid not in uids}

    def _is_unconfirmed_empty(self, now: int, source: str) -> bool:
        """Whether an empty answer has not been repeated for long enough."""
        return now - self._empty_since.setdefault(source, now) < self._empty_confirm_ns

    def _reports_any(self, source: str) -> bool:
        """Whether any server is present by this source's last reports."""
        stored_reports = (s.reports.get(source) for s in self._table.servers.values())
        return any(s is not None and s.report.health != Health.GONE for s in stored_reports)

    def _mark_removed(self, now: int, source: str, named: set[str]) -> None:
        """Store that a source does not report its other servers any more."""
        for server in self._table.servers.values():
            stored = server.reports.get(source)
            if stored is not None and server.uid not in named:
                self._store(now, server, source, replace(stored.report, health=Health.GONE))

    def _merge_report(self, now: int, source: str, report: ServerReport) -> str:
        """Store one report; returns the id of the server that it is about."""
        key = (source, report.uid)
        uid = self._uids.get(key) or self._resolve(source, report)
        self._uids[key] = uid
        self._store(now, self._table.get_or_create(uid), source, report)
        return uid

    def _resolve(self, source: str, report: ServerReport) -> str:
        """The server's id: known, or of the server that another source reports at this address.

        Otherwise it is a new server under the source's id.
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

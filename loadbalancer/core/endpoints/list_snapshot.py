"""What a process hands over of a merged list: each source's reports, and which servers are ready.

The successor of an upgrade is the same node, so what its predecessor was told counts for it from
the first moment. Its sources may be silent just then, and its configuration may be old.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from loadbalancer.core.endpoints.server_report import Address, Health, ServerReport


@dataclass(frozen=True, slots=True)
class ListSnapshot:
    """A merged list as a process hands it over.

    Attributes:
        reports: the latest reports of each source, by its name.
        complete_sources: the sources that have sent a complete list.
        listing_sources: those whose complete list is known and has had servers.
        ready: the servers that are listed as ready, by address, each with the start time with
            which it is listed, in nanoseconds; 0 if it is not known.
    """

    reports: dict[str, list[ServerReport]]
    complete_sources: frozenset[str]
    listing_sources: frozenset[str]
    ready: dict[Address, int]

    def listing_reports(self, source: str) -> list[ServerReport]:
        """A source's reports, such that the servers that were ready are listed, and no others."""
        by_health = sorted(self.reports.get(source, ()), key=lambda report: report.health)
        # Of several ids at one address the healthy one is the server.
        counted = {report.address: report.uid for report in reversed(by_health)}
        return [
            replace(report, health=Health.PASSING)
            if report.address in self.ready and counted[report.address] == report.uid
            else replace(report, health=Health.CRITICAL)
            for report in by_health
        ]

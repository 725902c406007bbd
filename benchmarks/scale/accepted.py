"""What the control machines have accepted, as their log for operators (`GET /log`) gives it.

That log is not the way by which nodes are updated, so that the referee's account and the nodes'
lists have different sources.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.scale.steps import row_checksum
from loadbalancer.control.machine.list_format import canonical_json, row_from_target
from loadbalancer.control.machine.version import position_of


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """One accepted change; times are monotonic nanoseconds."""

    service: str
    region: str
    revision: int
    accepted_ns: int  # by the machine that was asked
    submitted_ns: int


@dataclass(slots=True)
class _Service:
    """One service's rows now, and its digest from each revision on."""

    rows: dict[str, str]  # bodies by uid
    checksums: dict[str, int]  # by uid
    revisions: list[int]  # ascending
    digests: list[int]  # one for each revision


class AcceptedServices:
    """Each service's digest at each revision: first the world's own, then by the log."""

    def __init__(
        self, backends: Mapping[str, Mapping[str, dict[str, Any]]], regions: Mapping[str, str]
    ) -> None:
        """`backends`: rows by service and uid; `regions`: by service."""
        self.regions = regions
        self.versions: dict[str, int] = {}  # of each region's log, as far as it was read
        self._services: dict[str, _Service] = {}
        for service, rows in backends.items():
            bodies = {uid: canonical_json(row) for uid, row in rows.items()}
            checksums = {uid: row_checksum(uid, body) for uid, body in bodies.items()}
            self._services[service] = _Service(bodies, checksums, [0], [sum(checksums.values())])

    def begin(self, region: str, version: int) -> None:
        """Take a region's log as loaded, at this version, from what is accepted here."""
        self.versions[region] = version

    def follow(self, region: str, answer: Mapping[str, Any]) -> int:
        """Apply one answer of `GET /log` and return how many changes it had."""
        for change in answer["changes"]:
            self.versions[region] = change["version"]
            if change["service"]:
                self._apply(position_of(change["version"]).revision, change)
        return len(answer["changes"])

    def _apply(self, revision: int, change: Mapping[str, Any]) -> None:
        service = self._services[change["service"]]
        if change["whole"] or change["deleted"]:
            service.rows.clear()
            service.checksums.clear()
        for uid in change["removed"]:
            service.rows.pop(uid, None)
            service.checksums.pop(uid, None)
        for body in change["rows"]:
            row = row_from_target(json.loads(body))
            service.rows[row.uid] = row.body
            service.checksums[row.uid] = row_checksum(row.uid, row.body)
        service.revisions.append(revision)
        service.digests.append(sum(service.checksums.values()))

    def write_source(self, path: Path) -> None:
        """Write all services as accepted: the source from which a lost log is loaded again."""
        with open(path, "w") as file:
            for name, service in self._services.items():
                targets = [json.loads(body) for body in service.rows.values()]
                file.write(json.dumps({"service": name, "targets": targets}) + "\n")

    def digest(self, service: str, revision: int) -> int:
        """Return the service's digest as of a revision of its region's log."""
        found = self._services[service]
        return found.digests[bisect_right(found.revisions, revision) - 1]

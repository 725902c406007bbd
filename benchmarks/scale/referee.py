"""A referee with books of its own: each step of each hollow node against the changes accepted.

The books begin with the world's backends and follow the log of accepted changes, as control
machines give it to operators: not the way by which nodes are told. A node's step names the
position it is at and, for each service that has changed there, a digest of what it then holds.
Checked of each: a position never goes back, and what is held is what the books have there, so
that no change is held in part.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.scale.steps import (
    DELETED,
    DOWN,
    RELEASE,
    RELEASED,
    UP,
    Step,
    read_steps,
    row_checksum,
)
from loadbalancer.control.machine.list_form import body_of, row_of
from loadbalancer.control.machine.version import position_of

MOST_FAULTS = 20  # that are told; all are counted


@dataclass(slots=True)
class _Service:
    """One service's rows now, and the digest from each revision on."""

    rows: dict[str, str]  # bodies by uid
    sums: dict[str, int]  # checksums by uid
    revisions: list[int]
    digests: list[int]


@dataclass(frozen=True, slots=True)
class Accepted:
    """One accepted change, and when the machine that was asked saw it accepted."""

    service: str
    region: str
    revision: int
    at: int
    handed_in: int


@dataclass(frozen=True, slots=True)
class Delay:
    """How long one change took, in nanoseconds, to be in force at the nodes that hold it."""

    change: Accepted
    nodes: int
    most: int
    missing: int  # nodes that never had it
    last: int = -1  # the node that had it last


@dataclass(slots=True)
class Verdict:
    """What came of all steps."""

    steps: int = 0
    checked: int = 0  # digests compared
    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def fault(self, kind: str, text: str) -> None:
        """Count it, and keep the first ones' words."""
        self.counts[kind] += 1
        if len(self.faults) < MOST_FAULTS:
            self.faults.append(f"{kind}: {text}")


class Books:
    """What each service is at each revision, by the log."""

    def __init__(
        self, backends: Mapping[str, Mapping[str, dict[str, Any]]], regions: Mapping[str, str]
    ) -> None:
        self.regions = regions  # by service
        self.versions: dict[str, int] = {}  # of each region's log, as far as it was read
        self._services: dict[str, _Service] = {}
        for service, rows in backends.items():
            bodies = {uid: body_of(row) for uid, row in rows.items()}
            sums = {uid: row_checksum(uid, body) for uid, body in bodies.items()}
            self._services[service] = _Service(bodies, sums, [0], [sum(sums.values())])

    def begin(self, region: str, version: int) -> None:
        """The log is at this version, loaded from `write_source` or the world's own file."""
        self.versions[region] = version

    def follow(self, region: str, answer: Mapping[str, Any]) -> int:
        """Take one answer of `GET /log`; how many changes it had."""
        for change in answer["changes"]:
            self.versions[region] = change["version"]
            if change["service"]:
                self._apply(position_of(change["version"]).revision, change)
        return len(answer["changes"])

    def _apply(self, revision: int, change: Mapping[str, Any]) -> None:
        service = self._services[change["service"]]
        if change["whole"] or change["deleted"]:
            service.rows.clear()
            service.sums.clear()
        for uid in change["removed"]:
            service.rows.pop(uid, None)
            service.sums.pop(uid, None)
        for body in change["rows"]:
            row = row_of(json.loads(body))
            service.rows[row.uid] = row.body
            service.sums[row.uid] = row_checksum(row.uid, row.body)
        service.revisions.append(revision)
        service.digests.append(sum(service.sums.values()))

    def write_source(self, path: Path) -> None:
        """All services as they are accepted: what a region that lost its log is loaded from."""
        with open(path, "w") as file:
            for name, service in self._services.items():
                targets = [json.loads(body) for body in service.rows.values()]
                file.write(json.dumps({"service": name, "targets": targets}) + "\n")

    def digest(self, service: str, revision: int) -> int:
        """Of the service as of a revision of its region's log."""
        found = self._services[service]
        return found.digests[bisect_right(found.revisions, revision) - 1]


@dataclass(slots=True)
class _Holding:
    """One node's holding of one service: steps in time, and its end."""

    began: int
    times: list[int] = field(default_factory=list)
    revisions: list[int] = field(default_factory=list)
    ended: int | None = None


class Referee:
    """Judges steps."""

    def __init__(self, books: Books, names: Mapping[int, str]) -> None:
        self.books = books
        self.verdict = Verdict()
        self.kinds: Counter[str] = Counter()
        self._names = names
        self._positions: dict[tuple[int, str], tuple[int, int]] = {}
        self._holdings: dict[str, dict[int, list[_Holding]]] = defaultdict(dict)  # by service, node
        self._held: dict[int, dict[str, _Holding]] = defaultdict(dict)

    def read(self, path: Path) -> None:
        """Judge all steps of one process."""
        for step in read_steps(path):
            self._judge(step)

    def _judge(self, step: Step) -> None:
        self.verdict.steps += 1
        self.kinds[step.kind] += 1
        if step.kind in (UP, DOWN):
            self._end(step.node, step.at)
            return
        revision = 0
        if step.kind != RELEASE:
            self._check_position(step)
            _, revision = step.position
        for service, digest in step.changed:
            self._service(step.node, service, revision, step.at, digest)

    def _check_position(self, step: Step) -> None:
        key = (step.node, step.region)
        epoch, revision = step.position
        before = self._positions.get(key, (0, 0))
        if epoch < before[0] or revision < before[1]:
            name = self._names[step.node]
            position = list(step.position)
            self.verdict.fault("went back", f"{name} from {before} to {position} of {step.region}")
        self._positions[key] = step.position

    def _service(self, node: int, service: str, revision: int, at: int, digest: int) -> None:
        holding = self._held[node].get(service)
        if digest in (DELETED, RELEASED):
            if holding is not None:
                holding.ended = at
                del self._held[node][service]
            return
        self.verdict.checked += 1
        if digest != self.books.digest(service, revision):
            name = self._names[node]
            self.verdict.fault("not as accepted", f"{name} holds {service} at {revision}")
        if holding is None:
            holding = self._held[node][service] = _Holding(at)
            self._holdings[service].setdefault(node, []).append(holding)
        holding.times.append(at)
        holding.revisions.append(revision)

    def _end(self, node: int, at: int) -> None:
        for holding in self._held.pop(node, {}).values():
            holding.ended = at
        for key in [key for key in self._positions if key[0] == node]:
            del self._positions[key]

    def delay(self, change: Accepted, until: int) -> Delay:
        """How long the change took; nodes that went or came meanwhile don't count."""
        most = nodes = missing = 0
        last = -1
        for node, holdings in self._holdings[change.service].items():
            for holding in holdings:
                if holding.began > change.at:
                    continue
                place = bisect_right(holding.revisions, change.revision - 1)
                there = holding.times[place] if place < len(holding.times) else None
                if there is None and holding.ended is not None and holding.ended < until:
                    continue
                nodes += 1
                if there is None:
                    missing += 1
                elif there - change.at > most:
                    most, last = there - change.at, node
        return Delay(change, nodes, most, missing, last)

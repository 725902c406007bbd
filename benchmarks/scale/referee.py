"""A referee: checks each step of each hollow node against the changes that were accepted.

A node's step names its position and, for each service that has changed there, a digest of the
service's rows at the node. Two things are checked: that a node's position never goes back, and that
its rows are those that were accepted at that position, so that no change is applied in part.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from benchmarks.scale.accepted import AcceptedChange, AcceptedServices
from benchmarks.scale.steps import DELETED, DOWN, RELEASE, RELEASED, UP, Step, read_steps

MAX_DESCRIBED_FAULTS = 20  # all are counted


class Fault(StrEnum):
    """A rule that a step breaks."""

    WENT_BACK = "went back"
    NOT_AS_ACCEPTED = "not as accepted"


@dataclass(frozen=True, slots=True)
class Delay:
    """How long one change took to be in force at the nodes that hold its service."""

    change: AcceptedChange
    nodes: int
    max_ns: int  # from acceptance, at the last node
    missing: int  # nodes that never had it
    last_node: int | None = None  # its number


@dataclass(slots=True)
class Verdict:
    """The result of all steps."""

    steps: int = 0
    checked: int = 0  # digests compared
    faults: list[str] = field(default_factory=list)  # the first ones
    counts: Counter[str] = field(default_factory=Counter)  # of all faults, by kind

    def add_fault(self, kind: Fault, text: str) -> None:
        """Count a fault, and describe it if it is one of the first."""
        self.counts[kind.value] += 1
        if len(self.faults) < MAX_DESCRIBED_FAULTS:
            self.faults.append(f"{kind}: {text}")


@dataclass(slots=True)
class _Holding:
    """One service at one node, from its first step to its end; times are monotonic nanoseconds."""

    began: int
    times: list[int] = field(default_factory=list)
    revisions: list[int] = field(default_factory=list)  # one for each time
    ended: int | None = None

    def time_of(self, revision: int) -> int | None:
        """Return when the node was first at this revision or a later one."""
        place = bisect_right(self.revisions, revision - 1)
        return self.times[place] if place < len(self.times) else None


class Referee:
    """Checks steps; each process's steps are read in their order."""

    def __init__(self, accepted: AcceptedServices, names: Mapping[int, str]) -> None:
        """`names`: of the nodes, by number."""
        self.accepted = accepted
        self.verdict = Verdict()
        self.kinds: Counter[str] = Counter()  # of the steps
        self._names = names
        self._positions: dict[tuple[int, str], tuple[int, int]] = {}  # by node and region
        self._holdings: dict[str, dict[int, list[_Holding]]] = defaultdict(dict)  # by service, node
        self._present: dict[int, dict[str, _Holding]] = defaultdict(dict)  # by node, service

    def read(self, path: Path) -> None:
        """Check all steps of one process."""
        for step in read_steps(path):
            self._check(step)

    def _check(self, step: Step) -> None:
        self.verdict.steps += 1
        self.kinds[step.kind] += 1
        if step.kind in (UP, DOWN):
            self._end_holdings(step.node, step.at)
            return
        revision = 0
        if step.kind != RELEASE:
            self._check_position(step)
            _, revision = step.position
        for service, digest in step.changed:
            if digest in (DELETED, RELEASED):
                self._end_holding(step, service)
            else:
                self._check_digest(step, service, revision, digest)
                self._record(step, service, revision)

    def _check_position(self, step: Step) -> None:
        key = (step.node, step.region)
        epoch, revision = step.position
        before = self._positions.get(key, (0, 0))
        if epoch < before[0] or revision < before[1]:
            name = self._names[step.node]
            text = f"{name} from {before} to {list(step.position)} of {step.region}"
            self.verdict.add_fault(Fault.WENT_BACK, text)
        self._positions[key] = step.position

    def _check_digest(self, step: Step, service: str, revision: int, digest: int) -> None:
        self.verdict.checked += 1
        if digest != self.accepted.digest(service, revision):
            text = f"{self._names[step.node]} holds {service} at {revision}"
            self.verdict.add_fault(Fault.NOT_AS_ACCEPTED, text)

    def _record(self, step: Step, service: str, revision: int) -> None:
        holding = self._present[step.node].get(service)
        if holding is None:
            holding = self._present[step.node][service] = _Holding(step.at)
            self._holdings[service].setdefault(step.node, []).append(holding)
        holding.times.append(step.at)
        holding.revisions.append(revision)

    def _end_holding(self, step: Step, service: str) -> None:
        holding = self._present[step.node].pop(service, None)
        if holding is not None:
            holding.ended = step.at

    def _end_holdings(self, node: int, at: int) -> None:
        """Forget a node that starts or stops: it may start again at any position."""
        for holding in self._present.pop(node, {}).values():
            holding.ended = at
        for key in [key for key in self._positions if key[0] == node]:
            del self._positions[key]

    # ---- delays ------------------------------------------------------------------

    def delay(self, change: AcceptedChange, until: int) -> Delay:
        """Return how long a change took, over the nodes with its service from then to `until` (ns).

        A node that got the service later, or lost it before it had the change, does not count.
        """
        max_ns = nodes = missing = 0
        last_node = None
        for node, holding in self._holdings_at(change):
            in_force = holding.time_of(change.revision)
            if in_force is None and holding.ended is not None and holding.ended < until:
                continue
            nodes += 1
            if in_force is None:
                missing += 1
            elif in_force - change.accepted_ns > max_ns:
                max_ns, last_node = in_force - change.accepted_ns, node
        return Delay(change, nodes, max_ns, missing, last_node)

    def _holdings_at(self, change: AcceptedChange) -> Iterator[tuple[int, _Holding]]:
        for node, holdings in self._holdings[change.service].items():
            for holding in holdings:
                if holding.began <= change.accepted_ns:
                    yield node, holding

"""Assesses the health of servers from the observations of other nodes.

The result for a server, its verdict, is reported to the Balancer of this node.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, ReportedState, State
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import RATIO_UNIT, DrainRecord, Observation
from loadbalancer.core.gossip.records import RecordStore

MIN_FAILURES = 3  # consecutive failures, summed over all observers, of a failing server
# Observers of failures that confirm each other, as a single one may be cut off; 1 in a small fleet.
MIN_FAILURE_OBSERVERS = 2
# An observer that sees more than a third of all servers fail (and more than the minimum below) is
# probably cut off itself, and is not trusted.
ISOLATED_OBSERVER_DIVISOR = 3
MIN_ISOLATED_OBSERVER_SERVERS = 3
MIN_SLOW_RATIO_16THS = 24  # 1.5 times the latency of the fleet
MIN_REJECTIONS = 3  # consecutive rejections, summed over all observers, of a full server
REPEAT_INTERVAL_NS = 500 * MS  # unchanged verdicts are reported again at this interval


class Verdict(NamedTuple):
    """The state of a server according to the observations of other nodes.

    `observed_at` is the time of the latest of these observations on the clock of this node.
    Responses that this node itself got after it take precedence.
    """

    kind: ReportedState
    ratio_16ths: int  # latency of the server relative to all servers, in sixteenths
    observed_at: int
    cold: bool


class VerdictChange(NamedTuple):
    """A verdict to report to the Balancer; a `verdict` of None retracts the previous one."""

    server: int
    verdict: ReportedState | None
    latency_ratio: float
    observed_at: int
    cold: bool


class Verdicts:
    """Computes verdicts from records, and keeps track of those reported to the Balancer."""

    def __init__(
        self, records: RecordStore, members: Membership, nodes: int, zones: int, now: int
    ) -> None:
        self._records = records
        self._members = members
        self._zones = max(zones, 1)
        self._min_observers = min(MIN_FAILURE_OBSERVERS, max(nodes // self._zones - 1, 1))
        self._reported: dict[int, ReportedState] = {}  # by server
        self._repeated_at = now

    def changes(self, now: int, boot_times: Mapping[int, int]) -> list[VerdictChange]:
        """The verdicts to report now.

        These are the verdicts on servers whose records have changed, and every REPEAT_INTERVAL_NS
        the verdicts on all servers. `boot_times` has the start time of each server in the list of
        this node.
        """
        servers = self._records.changed
        if now - self._repeated_at >= REPEAT_INTERVAL_NS:
            self._repeated_at = now
            servers = set(self._records.servers()) | set(self._reported)
        if not servers:
            return []
        self._records.changed = set()
        trusted = self._members.trusted(now) - self.isolated_observers(len(boot_times))
        changes = []
        for server in servers:
            boot = boot_times.get(server)
            if boot is None:
                self._reported.pop(server, None)
                continue
            verdict = self.assess(server, boot, trusted)
            if verdict is not None:
                self._reported[server] = verdict.kind
                ratio = verdict.ratio_16ths / RATIO_UNIT
                changes.append(
                    VerdictChange(server, verdict.kind, ratio, verdict.observed_at, verdict.cold)
                )
            elif self._reported.pop(server, None) is not None:
                changes.append(VerdictChange(server, None, 1.0, now, cold=False))
        return changes

    def isolated_observers(self, servers: int) -> set[int]:
        """Observers that are probably cut off: they see more than a third of the servers fail."""
        failing: Counter[int] = Counter()
        for server in self._records.servers():
            for record, _ in self._records.observations(server):
                failing[record.origin] += record.failures > 0
        limit = max(MIN_ISOLATED_OBSERVER_SERVERS, servers // ISOLATED_OBSERVER_DIVISOR)
        return {observer for observer, count in failing.items() if count > limit}

    def assess(self, server: int, boot: int, trusted: set[int]) -> Verdict | None:
        """The verdict on this start of a server; None if the observations do not suffice for one.

        Only observations of `trusted` members in this node's zone count: a server that is
        unreachable from another zone may be reachable from this one.
        """
        observations = [
            (record, written_at)
            for record, written_at in self._records.observations(server)
            if record.boot == boot and self._is_trusted_observer(record.origin, trusted)
        ]
        if not observations:
            return None
        observed_at = max(written_at for _, written_at in observations)
        records = [record for record, _ in observations]
        failing = [record for record in records if record.failures]
        if sum(record.failures for record in failing) >= MIN_FAILURES:
            confirmed = len(failing) >= self._min_observers
            kind = ReportedState.SILENT if confirmed else ReportedState.SUSPECTED
            return Verdict(kind, 0, observed_at, any(record.cold for record in failing))
        if sum(record.rejections for record in records) >= MIN_REJECTIONS:
            return Verdict(ReportedState.FULL, 0, observed_at, cold=False)
        ratios = sorted(record.ratio_16ths for record in records if record.ratio_16ths)
        if ratios and ratios[len(ratios) // 2] >= MIN_SLOW_RATIO_16THS:
            return Verdict(ReportedState.SLOW, ratios[len(ratios) // 2], observed_at, cold=False)
        return None

    def _is_trusted_observer(self, observer: int, trusted: set[int]) -> bool:
        """Whether an observer is another node of this zone, and trusted."""
        me = self._members.me
        return observer != me and observer in trusted and observer % self._zones == me % self._zones

    def report(self, now: int) -> list[list[object]]:
        """All records, for operators. Rows of server, writer, age in ms, contents and verdict."""
        rows: list[list[object]] = []
        for server in sorted(self._records.servers()):
            reported = self._reported.get(server)
            verdict = reported.name.lower() if reported else "-"
            for record, written_at in self._records.records_of_server(server):
                age_ms = (now - written_at) // MS
                writer, text = _description(record)
                rows.append([f"{server:016x}", writer, age_ms, text, verdict])
        return rows


def _description(record: DrainRecord | Observation) -> tuple[int | str, str]:
    """The writer and contents of a record, as they are shown to operators."""
    if isinstance(record, DrainRecord):
        return "list", f"{State(record.state).name.lower()} by list {record.rev}"
    ratio = record.ratio_16ths / RATIO_UNIT
    text = f"failures {record.failures} full {record.rejections} slow {ratio:g}"
    return record.origin, text

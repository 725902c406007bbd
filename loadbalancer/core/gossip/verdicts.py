"""One node's verdict on each server, from the observations of other nodes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, ReportedState, State
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import RATIO_UNIT, DrainRecord, Observation
from loadbalancer.core.gossip.records import RecordStore

MIN_FAILURES = 3  # of all witnesses together, for a server to count as failing
MIN_FAILURE_WITNESSES = 2  # or fewer in a small fleet; a single witness may itself be cut off
ISOLATED_WITNESS_SERVERS = 3  # a witness of failures of more than one server in so many ...
MIN_ISOLATED_WITNESS_SERVERS = 3  # ... and of more than so many servers is not trusted
MIN_SLOW_RATIO_16THS = 24  # half as slow again as the fleet
MIN_REJECTIONS = 3  # consecutive rejections, of all witnesses together, for a server to be full
REPEAT_INTERVAL_NS = 500 * MS  # after which unchanged verdicts are reported again


class Verdict(NamedTuple):
    """The verdict of other nodes' observations on a server.

    `observed_at` is when the latest of them was made, by this node's clock: later answers to this
    node itself take precedence.
    """

    kind: ReportedState
    ratio_16ths: int  # latency relative to the fleet's
    observed_at: int
    cold: bool


class VerdictChange(NamedTuple):
    """A verdict to report to the Balancer; `verdict` None retracts the last one."""

    server: int
    verdict: ReportedState | None
    latency_ratio: float
    observed_at: int
    cold: bool


class Verdicts:
    """Assesses the records of servers, and remembers what was reported to the Balancer."""

    def __init__(
        self, records: RecordStore, members: Membership, nodes: int, zones: int, now: int
    ) -> None:
        self._records = records
        self._members = members
        self._zones = max(zones, 1)
        self._min_witnesses = min(MIN_FAILURE_WITNESSES, max(nodes // self._zones - 1, 1))
        self._reported: dict[int, ReportedState] = {}  # by server
        self._repeated_at = now

    def changes(self, now: int, boots: Mapping[int, int]) -> list[VerdictChange]:
        """The verdicts on servers whose records have changed; on all each REPEAT_INTERVAL_NS.

        `boots`: the start of each server on this node's own list.
        """
        servers = self._records.changed
        if now - self._repeated_at >= REPEAT_INTERVAL_NS:
            self._repeated_at = now
            servers = set(self._records.servers()) | set(self._reported)
        if not servers:
            return []
        self._records.changed = set()
        trusted = self._members.trusted(now) - self.isolated_witnesses(len(boots))
        changes = []
        for server in servers:
            boot = boots.get(server)
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

    def isolated_witnesses(self, servers: int) -> set[int]:
        """Witnesses that see so many servers fail that the fault may be their own."""
        failing: Counter[int] = Counter()
        for server in self._records.servers():
            for record, _ in self._records.observations(server):
                failing[record.origin] += record.failures > 0
        limit = max(MIN_ISOLATED_WITNESS_SERVERS, servers // ISOLATED_WITNESS_SERVERS)
        return {witness for witness, count in failing.items() if count > limit}

    def assess(self, server: int, boot: int, trusted: set[int]) -> Verdict | None:
        """The verdict on this start of a server by the trusted members; None for no verdict.

        Evidence from one zone counts in that zone alone: a server that can't be reached from
        there need not have failed.
        """
        observations = [
            (record, written_at)
            for record, written_at in self._records.observations(server)
            if record.boot == boot and self._counts(record.origin, trusted)
        ]
        if not observations:
            return None
        observed_at = max(written_at for _, written_at in observations)
        records = [record for record, _ in observations]
        failing = [record for record in records if record.failures]
        if sum(record.failures for record in failing) >= MIN_FAILURES:
            confirmed = len(failing) >= self._min_witnesses
            kind = ReportedState.SILENT if confirmed else ReportedState.SUSPECTED
            return Verdict(kind, 0, observed_at, any(record.cold for record in failing))
        if sum(record.rejections for record in records) >= MIN_REJECTIONS:
            return Verdict(ReportedState.FULL, 0, observed_at, cold=False)
        ratios = sorted(record.ratio_16ths for record in records if record.ratio_16ths)
        if ratios and ratios[len(ratios) // 2] >= MIN_SLOW_RATIO_16THS:
            return Verdict(ReportedState.SLOW, ratios[len(ratios) // 2], observed_at, cold=False)
        return None

    def _counts(self, witness: int, trusted: set[int]) -> bool:
        """Whether a witness is another trusted member of this node's zone."""
        me = self._members.me
        return witness != me and witness in trusted and witness % self._zones == me % self._zones

    def report(self, now: int) -> list[list[object]]:
        """Every record, for operators: server, from whom, age in ms, contents, verdict."""
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
    """A record's writer and contents, in the operators' terms."""
    if isinstance(record, DrainRecord):
        return "list", f"{State(record.state).name.lower()} by list {record.rev}"
    ratio = record.ratio_16ths / RATIO_UNIT
    text = f"failures {record.failures} full {record.rejections} slow {ratio:g}"
    return record.origin, text

"""The assertions of a scale run: correctness by the referee, and bounds on times and costs."""

from __future__ import annotations

from collections.abc import Sequence

from benchmarks.scale.accepted import AcceptedChange
from benchmarks.scale.fleet import Host
from benchmarks.scale.measurements import Check
from benchmarks.scale.node_figures import NodeFigures
from benchmarks.scale.propagation import PropagationTimes
from benchmarks.scale.referee import Delay, Fault, Verdict

MAX_PROPAGATION_MS = 6_000.0
MAX_NODE_BYTES_S = 3_000.0
MAX_NODE_CPU = 0.012  # of a core
MAX_NODE_MEMORY = 64 << 20  # bytes
LISTED_CHANGES = 5  # of those that some node never had


def checks_of(
    verdict: Verdict,
    delays: Sequence[Delay],
    propagation: PropagationTimes,
    node: NodeFigures,
    hosts: Sequence[Host],
) -> list[Check]:
    """Return each assertion with what was measured."""
    return [
        *_referee_checks(verdict, hosts),
        *_propagation_checks(delays, propagation),
        *_cost_checks(node),
    ]


def _referee_checks(verdict: Verdict, hosts: Sequence[Host]) -> list[Check]:
    statuses = [host.last for host in hosts if host.last is not None]
    probes = sum(status.fault_count for status in statuses)
    probe_faults = [fault for status in statuses for fault in status.faults]
    went_back, differs = verdict.counts[Fault.WENT_BACK], verdict.counts[Fault.NOT_AS_ACCEPTED]
    return [
        Check("steps were judged", verdict.checked > 0, f"{verdict.checked} digests"),
        Check("no node went back", not went_back, _first(verdict.faults, Fault.WENT_BACK)),
        Check(
            "no node holds half a change or another",
            not differs,
            _first(verdict.faults, Fault.NOT_AS_ACCEPTED),
        ),
        Check("no probe to a drained backend", probes == 0, _first(probe_faults)),
    ]


def _propagation_checks(delays: Sequence[Delay], propagation: PropagationTimes) -> list[Check]:
    missing = [delay.change for delay in delays if delay.missing]
    max_ms = propagation.most_ms
    return [
        Check("changes were accepted", bool(delays), f"{len(delays)}"),
        Check("each change came into force everywhere", not missing, _list_changes(missing)),
        Check("in force within 6 s", max_ms <= MAX_PROPAGATION_MS, f"{max_ms} ms"),
    ]


def _cost_checks(node: NodeFigures) -> list[Check]:
    cpu = node.max_cpu_control
    worst = node.worst_minute_bytes_s
    memory = node.memory_lone_process_bytes
    return [
        Check("a node's bytes a second, mean", node.bytes_s <= MAX_NODE_BYTES_S, f"{node.bytes_s}"),
        Check(
            "a node's bytes a second, any node's worst minute",
            worst <= MAX_NODE_BYTES_S,
            f"{worst}",
        ),
        Check("a node's processor time", cpu <= MAX_NODE_CPU, f"{cpu} of a core"),
        Check("a node's memory", memory <= MAX_NODE_MEMORY, f"{memory} bytes"),
    ]


def _first(texts: Sequence[str], kind: str = "") -> str:
    """Return the first text that begins with `kind`, or an empty one."""
    return next((text for text in texts if text.startswith(kind)), "")


def _list_changes(changes: Sequence[AcceptedChange]) -> str:
    return ", ".join(f"{one.service}@{one.revision}" for one in changes[:LISTED_CHANGES])

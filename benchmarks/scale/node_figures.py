"""Bytes, processor time and memory that control costs one hollow node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.scale.fleet import Host
from benchmarks.scale.host_status import HostStatus
from benchmarks.scale.measurements import Phase

COLD_START = "cold start"  # a phase without figures: no node is in its usual state yet


@dataclass(frozen=True, slots=True)
class PhaseNodeFigures:
    """Means of all nodes in one phase."""

    bytes_s: float  # bytes a second, sent and received
    received_s: float  # bytes a second
    events: dict[str, int]  # of all subscribers together
    cpu_control: float  # of a core, without the Balancers' cycles
    cpu_with_cycles: float  # of a core, the cycles counted at their usual rate


@dataclass(frozen=True, slots=True)
class NodeFigures:
    """Figures of one node over the whole run, as they are written into the result."""

    by_phase: dict[str, PhaseNodeFigures]
    bytes_s: float  # mean of all nodes, without the cold start
    worst_minute_bytes_s: float
    worst_minute_of_a_running_node_bytes_s: float
    memory_shared_process_bytes: int  # a node's part of a process with many
    memory_lone_process_bytes: int  # of a node alone in its process
    services: float  # mean
    rows: float  # mean
    loop_late_most_s: float

    @property
    def max_cpu_control(self) -> float:
        """The highest processor time for control in any phase, of a core."""
        return max((figures.cpu_control for figures in self.by_phase.values()), default=0.0)

    def as_json(self) -> dict[str, Any]:
        """Return it as it is written into the result."""
        return asdict(self)


def node_figures(
    hosts: Sequence[Host], phases: Sequence[Phase], nodes: int, stretch: int
) -> NodeFigures:
    """Compute the figures of a fleet of `nodes` nodes from its hosts' reports.

    `stretch`: the Balancers' cycles came so many times less often than usual.
    """
    warm = [phase for phase in phases if phase.name != COLD_START]
    idle = sum(host.idle for host in hosts)
    last = [host.last for host in hosts if host.last is not None]
    worst = max((status.worst_bytes for status in last), default=0.0)
    worst_warm = max((status.worst_warm_bytes for status in last), default=0.0)
    lone, *shared = hosts
    return NodeFigures(
        by_phase={phase.name: _phase_figures(phase, idle, nodes, stretch) for phase in warm},
        bytes_s=_mean_bytes_s(warm, nodes),
        worst_minute_bytes_s=round(worst, 1),
        worst_minute_of_a_running_node_bytes_s=round(worst_warm, 1),
        memory_shared_process_bytes=_memory_per_node(shared),
        memory_lone_process_bytes=_memory_growth(lone),
        services=round(sum(status.services for status in last) / max(1, nodes), 2),
        rows=round(sum(status.rows for status in last) / max(1, nodes), 1),
        loop_late_most_s=round(max((status.behind_s for status in last), default=0.0), 3),
    )


def _memory_growth(host: Host) -> int:
    """Bytes that the host's process has grown by since it had no nodes; 0 if it had no order."""
    if host.last is None or host.empty is None:
        return 0
    return host.last.rss - host.empty.rss


def _memory_per_node(hosts: Sequence[Host]) -> int:
    started = [host for host in hosts if host.last is not None and host.empty is not None]
    nodes = sum(len(host.nodes) for host in started)
    return round(sum(_memory_growth(host) for host in started) / nodes) if nodes else 0


def _mean_bytes_s(phases: Sequence[Phase], nodes: int) -> float:
    """Bytes a second of a node, from the first phase's beginning to the last one's end."""
    if not phases:
        return 0.0
    before, after = phases[0].before.hosts, phases[-1].after.hosts
    seconds = (phases[-1].ended - phases[0].began) / 1e9
    grown = sum(after[name].control_bytes - status.control_bytes for name, status in before.items())
    return round(grown / nodes / seconds, 1)


def _phase_figures(phase: Phase, idle: float, nodes: int, stretch: int) -> PhaseNodeFigures:
    """`idle`: the part of a core that all hosts' event loops take without nodes."""
    before, after = phase.before.hosts, phase.after.hosts
    pairs = [(before[name], after[name]) for name in after]
    node_seconds = nodes * phase.seconds
    received = sum(last.received - first.received for first, last in pairs)
    total = sum(last.control_bytes - first.control_bytes for first, last in pairs)
    cpu_s = sum(last.cpu_s - first.cpu_s for first, last in pairs)
    cycles_s = sum(last.cycles_cpu_ns - first.cycles_cpu_ns for first, last in pairs) / 1e9
    control_s = max(cpu_s - cycles_s - idle * phase.seconds, 0.0)
    return PhaseNodeFigures(
        bytes_s=round(total / node_seconds, 1),
        received_s=round(received / node_seconds, 1),
        events=_events_between(pairs),
        cpu_control=round(control_s / node_seconds, 6),
        cpu_with_cycles=round((control_s + cycles_s * stretch) / node_seconds, 6),
    )


def _events_between(pairs: Sequence[tuple[HostStatus, HostStatus]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for first, last in pairs:
        total.update(last.events)
        total.subtract(first.events)
    return {event: count for event, count in sorted(total.items()) if count}

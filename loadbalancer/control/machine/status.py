"""A control machine's state as returned by GET /status; see docs/operate/scale.md for each key.

The keys, and the names of the counters under `counts`, are part of the interface for operators.
"""

from __future__ import annotations

import resource
from collections import Counter
from pathlib import Path
from typing import Any, Protocol

from loadbalancer.control.machine.file import Machine, ScaleFile
from loadbalancer.control.machine.node_requests import NodeRequests
from loadbalancer.control.machine.nodes import NodeRegistry
from loadbalancer.control.machine.stream import PeerStreams
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.release import ReleaseAuthority
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.replicated_log.replication import Replica, Role
from loadbalancer.core.subscription.publisher import Publisher


class ReportedMachine(Protocol):
    """The parts of a control machine that its status is built from."""

    file: ScaleFile
    machine: Machine
    replica: Replica
    logs: dict[str, ChangeLog]
    nodes: NodeRegistry
    node_requests: NodeRequests
    publisher: Publisher
    streams: PeerStreams
    releases: ReleaseAuthority
    counts: Counter[str]

    def live_machines(self, now: int) -> frozenset[str]:
        """Return the names of the control machines that are alive."""


STATM = Path("/proc/self/statm")  # the second field is the resident set size in pages

# The names of the roles in GET /status, which does not distinguish pre-candidates and candidates.
ROLE_NAMES = {
    Role.RECOVERING: "empty",
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "candidate",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}


def report(machine: ReportedMachine, now: int) -> dict[str, Any]:
    """Return the machine's state at the monotonic time `now` in nanoseconds."""
    replica = machine.replica
    return {
        "machine": machine.machine.spec.name,
        "region": machine.machine.spec.region,
        "role": ROLE_NAMES[replica.role],
        "epoch": replica.current_term,
        "leader": replica.leader,
        "needs_load": replica.needs_load(),
        "logs": _logs(machine),
        "machines": sorted(machine.live_machines(now)),
        "nodes": _nodes(machine),
        "questions": {
            "connections": machine.node_requests.connections,
            "waiting": machine.node_requests.pending_count(),
        },
        "assignment": _assignment(machine),
        "memory_bytes": resident_bytes(),
        "cpu_seconds": sum(resource.getrusage(resource.RUSAGE_SELF)[:2]),
        "counts": _counts(machine),
    }


def _logs(machine: ReportedMachine) -> dict[str, Any]:
    return {
        name: {
            "version": version_of(log.position),
            "position": list(log.position),
            "changes": len(log),
        }
        for name, log in machine.logs.items()
    }


def _nodes(machine: ReportedMachine) -> dict[str, int]:
    return {
        "registered": len(machine.file.nodes),
        "alive": len(machine.nodes.liveness.alive),
        "here": machine.nodes.presence.local_count(),
    }


def _assignment(machine: ReportedMachine) -> dict[str, Any]:
    nodes = machine.nodes
    return {
        "digest": nodes.assignment.digest,
        "generation": nodes.handover.generation,
        "pairs": sum(map(len, nodes.assignment.holders.values())),
        "moving": nodes.handover.pending_moves(),
        "unmet": len(nodes.assignment.unmet),
        "touched": nodes.nodes_changed_by_last_assignment,
    }


def _counts(machine: ReportedMachine) -> dict[str, dict[str, int]]:
    return {
        "questions": dict(machine.node_requests.counts),
        "publisher": dict(machine.publisher.counts),
        "replica": dict(machine.replica.counts),
        "streams": dict(machine.streams.counts),
        "machine": dict(machine.counts),
        "ignored_grants": dict(machine.releases.counts),
    }


def resident_bytes() -> int:
    """Return the resident set size of this process in bytes."""
    return int(STATM.read_text().split()[1]) * resource.getpagesize()

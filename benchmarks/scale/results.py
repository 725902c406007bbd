"""The JSON object that a scale run ends with."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.scale.accepted import AcceptedChange
from benchmarks.scale.budget import GB, Budget
from benchmarks.scale.checks import checks_of
from benchmarks.scale.control_figures import control_figures
from benchmarks.scale.fleet import Host
from benchmarks.scale.measurements import Measurements
from benchmarks.scale.node_figures import node_figures
from benchmarks.scale.options import Options
from benchmarks.scale.propagation import accepted_in, propagation_times, slowest_changes
from benchmarks.scale.referee import Delay, Referee

ROUTES_HELD = "not held: hollow nodes match no paths; a node's part is its services' routes"
TENANTS_HELD = "in the Settings of each service's Balancer, which one process's nodes share"


@dataclass(frozen=True, slots=True)
class RunData:
    """What a run that has ended leaves to be judged."""

    options: Options
    node_names: Sequence[str]  # by node number
    hosts: Sequence[Host]  # the first has a single node
    budget: Budget
    measurements: Measurements
    accepted: Sequence[AcceptedChange]
    driver_counts: dict[str, int]
    stopped: str  # the budget that ended the run, or empty


def result_of(data: RunData, referee: Referee) -> dict[str, Any]:
    """Return the run's result; the referee has read all steps."""
    options, measurements = data.options, data.measurements
    until = time.monotonic_ns()
    delays = [referee.delay(change, until) for change in data.accepted]
    phases = measurements.ended_phases
    node = node_figures(data.hosts, phases, len(data.node_names), options.stretch)
    total = propagation_times(delays)
    began = measurements.phases[0].began if measurements.phases else until
    checks = [
        *measurements.checks,
        *checks_of(referee.verdict, delays, total, node, data.hosts),
    ]
    return {
        "benchmark": "scale run",
        "ok": not data.stopped and all(check.passed for check in checks),
        "stopped": data.stopped,
        "reached": [phase.name for phase in phases],
        **_describe_options(data),
        "changes_accepted": len(data.accepted),
        "driver": data.driver_counts,
        "in_force": _times_by_phase(measurements, delays) | {"whole run": total.as_json()},
        "slowest": slowest_changes(delays, began, data.node_names),
        "node": node.as_json(),
        "control": {phase.name: control_figures(phase).as_json() for phase in phases},
        "snapshots_by_second": measurements.samples_as_json(),
        "notes": measurements.notes,
        "referee": _referee_summary(referee),
        "budget": {
            "memory_gb": round(data.budget.peak_memory / GB, 2),
            "processes": data.budget.peak_processes,
        },
        "checks": [check.as_json() for check in checks],
    }


def _describe_options(data: RunData) -> dict[str, Any]:
    options = data.options
    return {
        "sizes": asdict(options.sizes),
        "seed": options.seed,
        "everything_everywhere": options.every,
        "multiple": {"changes": options.multiple, "failures": options.failures},
        "hollow": {
            "processes": len(data.hosts),
            "cycles_stretched_by": options.stretch,
            "hold_s": options.hold,
            "routes": ROUTES_HELD,
            "tenants": TENANTS_HELD,
            "idle_loops": round(sum(host.idle for host in data.hosts), 4),
        },
    }


def _times_by_phase(measurements: Measurements, delays: Sequence[Delay]) -> dict[str, Any]:
    return {
        phase.name: propagation_times(accepted_in(phase, delays)).as_json()
        for phase in measurements.phases
    }


def _referee_summary(referee: Referee) -> dict[str, Any]:
    verdict = referee.verdict
    return {
        "steps": verdict.steps,
        "digests_checked": verdict.checked,
        "faults": dict(verdict.counts),
        "first": verdict.faults,
        "kinds": dict(referee.kinds),
    }

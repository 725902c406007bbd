"""How long accepted changes took to be in force at the nodes that hold their services."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.scale.measurements import Phase
from benchmarks.scale.referee import Delay

NS_PER_MS = 1e6
SLOWEST = 10  # changes that are listed one by one


@dataclass(frozen=True, slots=True)
class PropagationTimes:
    """Milliseconds from acceptance to being in force at the last node, of a set of changes."""

    changes: int
    nodes: int  # summed over the changes
    never: int  # nodes that should have had a change and had not
    p50_ms: float
    p99_ms: float
    most_ms: float
    to_accepted_p99_ms: float  # from being submitted to acceptance

    def as_json(self) -> dict[str, Any]:
        """Return it as it is written into the result."""
        return asdict(self)


def propagation_times(delays: Sequence[Delay]) -> PropagationTimes:
    """Summarise the delays of a set of changes."""
    took = sorted(delay.max_ns / NS_PER_MS for delay in delays if delay.nodes)
    waited = sorted(
        (one.change.accepted_ns - one.change.submitted_ns) / NS_PER_MS for one in delays
    )
    return PropagationTimes(
        changes=len(delays),
        nodes=sum(delay.nodes for delay in delays),
        never=sum(delay.missing for delay in delays),
        p50_ms=quantile(took, 0.50),
        p99_ms=quantile(took, 0.99),
        most_ms=quantile(took, 1.0),
        to_accepted_p99_ms=quantile(waited, 0.99),
    )


def quantile(ordered: Sequence[float], part: float) -> float:
    """Return the value at this part (0 to 1) of sorted values, rounded; 0 of none."""
    if not ordered:
        return 0.0
    return round(ordered[min(int(len(ordered) * part), len(ordered) - 1)], 2)


def accepted_in(phase: Phase, delays: Sequence[Delay]) -> list[Delay]:
    """Return the delays of changes accepted in a phase; one that has not ended has no end."""
    end = phase.ended or 1 << 63
    return [delay for delay in delays if phase.began <= delay.change.accepted_ns < end]


def slowest_changes(
    delays: Sequence[Delay], began: int, node_names: Sequence[str]
) -> list[dict[str, Any]]:
    """Describe the changes that took longest; `began` (ns) is the start of the first phase."""
    ordered = sorted(delays, key=lambda delay: -delay.max_ns)
    return [_describe(delay, began, node_names) for delay in ordered[:SLOWEST]]


def _describe(delay: Delay, began: int, node_names: Sequence[str]) -> dict[str, Any]:
    return {
        "service": delay.change.service,
        "region": delay.change.region,
        "revision": delay.change.revision,
        "accepted_s": round((delay.change.accepted_ns - began) / 1e9, 3),
        "took_ms": round(delay.max_ns / NS_PER_MS, 1),
        "node": node_names[delay.last_node] if delay.last_node is not None else "",
    }

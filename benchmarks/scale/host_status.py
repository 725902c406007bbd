"""What a process of hollow nodes reports to the run, as JSON, after each order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Totals of one process since its start; of its nodes together where not said otherwise."""

    at_ns: int  # monotonic clock
    nodes: int  # that run now
    services: int  # held
    rows: int  # of the lists held
    bytes_held: int
    sent: int  # bytes to control machines
    received: int  # bytes from control machines
    cpu_s: float
    rss: int  # bytes
    behind_s: float  # the longest delay of the process's event loop
    worst_bytes: float  # bytes a second of one node in its worst minute
    worst_warm_bytes: float  # the same, of nodes that ran before that minute
    counts: dict[str, int]
    events: dict[str, int]  # of the subscribers
    faults: list[str]  # the first ones
    fault_count: int

    @property
    def control_bytes(self) -> int:
        """Bytes sent and received."""
        return self.sent + self.received

    @property
    def cycles_cpu_ns(self) -> int:
        """Processor time of the Balancers' cycles, in nanoseconds."""
        return self.counts.get("cycles_cpu_ns", 0)

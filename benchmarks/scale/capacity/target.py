"""The size that the system has to carry, and what is assumed where the target does not say."""

from __future__ import annotations

from dataclasses import dataclass

DESCRIPTORS = 1024.0  # of a node, as most configurations have it
DAY_S = 86_400.0
HOUR_S = 3_600.0


@dataclass(frozen=True, slots=True)
class Range:
    """A figure at both ends of what is assumed; neither is under 0 and low is not above high."""

    low: float
    high: float

    def __post_init__(self) -> None:
        if not 0 <= self.low <= self.high:
            raise ValueError(f"no range: {self.low} to {self.high}")

    def __add__(self, other: Range | float) -> Range:
        more = ranged(other)
        return Range(self.low + more.low, self.high + more.high)

    def __mul__(self, other: Range | float) -> Range:
        times = ranged(other)
        return Range(self.low * times.low, self.high * times.high)

    def __truediv__(self, by: float) -> Range:
        return Range(self.low / by, self.high / by)

    __radd__ = __add__
    __rmul__ = __mul__


def ranged(value: Range | float) -> Range:
    """A figure as a range of one."""
    return value if isinstance(value, Range) else Range(value, value)


@dataclass(frozen=True, slots=True)
class Target:
    """The target, as given."""

    nodes: int = 7_800
    backends: int = 120_000
    services: int = 4_500
    requests_a_second: float = 850_000.0
    routes: int = 140_000
    tenants: int = 490_000
    late_part: float = 0.01  # of requests that may be delayed by more than `added_s`
    added_s: float = 0.0019
    regions: int = 2
    zones: int = 4
    changes_a_day: float = 22_000.0
    in_force_s: float = 6.0
    node_cores: float = 0.012
    node_bytes: float = 64e6
    node_bytes_a_second: float = 3_000.0
    control_machines: int = 6
    restarts_a_day: float = 18_000.0
    list_lines_a_second: float = 200.0

    @property
    def nodes_a_zone(self) -> float:
        """Nodes of one zone."""
        return self.nodes / self.zones

    @property
    def nodes_a_control_machine(self) -> float:
        """Nodes that one control machine serves while all of them run."""
        return self.nodes / self.control_machines

    @property
    def backends_a_service(self) -> float:
        """The mean."""
        return self.backends / self.services

    @property
    def routes_a_service(self) -> float:
        """The mean."""
        return self.routes / self.services

    @property
    def rate_a_backend(self) -> float:
        """Requests a second, the mean."""
        return self.requests_a_second / self.backends

    @property
    def rate_a_node(self) -> float:
        """Requests a second, the mean."""
        return self.requests_a_second / self.nodes

    @property
    def rate_a_tenant(self) -> float:
        """Requests a second, the mean."""
        return self.requests_a_second / self.tenants


def zipf_largest(total: float, items: int) -> float:
    """The largest item's part of a total that falls with an item's rank (Zipf, exponent 1)."""
    return total / sum(1.0 / rank for rank in range(1, items + 1))


@dataclass(frozen=True, slots=True)
class Assumption:
    """One figure that the target does not give, at both ends."""

    what: str
    unit: str
    range: Range


HOLDERS = Assumption("nodes of a zone that hold one service", "nodes", Range(3, 8))
LARGEST = Assumption(
    "backends of the largest service: all alike, or falling with rank (Zipf, exponent 1)",
    "backends",
    Range(120_000 / 4_500, zipf_largest(120_000, 4_500)),
)
RESTART_ROWS = Assumption(
    "rows of the list that one restart changes (leaving; left and new)", "rows", Range(2, 3)
)
CHANGE_ROWS = Assumption("rows or routes in one change of configuration", "rows", Range(1, 50))
HOUR_PART = Assumption(
    "of a day's restarts and changes, those of its busiest hour: evenly spread, or all of them "
    "as rolls of services and of a zone",
    "part",
    Range(1 / 24, 1.0),
)
TENANT_SERVICES = Assumption("services that one tenant uses", "services", Range(1, 10))
RACK = Assumption("machines in a rack or behind a switch", "machines", Range(20, 40))
WORK = Assumption(
    "work of a request, mean over classes (65% of 82 to 150 ms, 35% of 32 to 57 ms)",
    "s",
    Range(0.0645, 0.117),
)
CONNECTIONS = Assumption("connections that a backend takes", "connections", Range(15, 19))
IDLE = Assumption(
    "until a node closes an unused connection: 2 s before a backend would, at 15 or 60 s",
    "s",
    Range(13, 58),
)
HANDSHAKE = Assumption("what a new connection costs a backend", "s", Range(0.0015, 0.004))
CLIENT_CONNECTIONS = Assumption("clients' connections of a node", "connections", Range(100, 1_000))
NETWORK = Assumption("a control machine's network", "bytes/s", Range(125e6, 1.25e9))

ASSUMPTIONS = (
    HOLDERS, LARGEST, RESTART_ROWS, CHANGE_ROWS, HOUR_PART, TENANT_SERVICES, RACK, WORK,
    CONNECTIONS, IDLE, HANDSHAKE, CLIENT_CONNECTIONS, NETWORK,
)  # fmt: skip

"""Types that a host and the Balancer exchange: settings, list rows, outcomes, actions.

Times are integer nanoseconds. This is the lowest layer of the core: it makes no decisions and
imports nothing from the project except its errors.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

from loadbalancer.core.errors import ConfigurationError

MS = 1_000_000
SECOND = 1_000_000_000


class SettingsError(ConfigurationError, ValueError):
    """Invalid settings of a Balancer."""


class State(IntEnum):
    """The state of an endpoint in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Update(IntEnum):
    """The kind of an update of the endpoint list."""

    DELTA = 0  # a response with the rows that have changed
    FULL = 1  # a response with the complete list
    CACHED = 2  # a complete list that is not the response to a poll
    FAILED = 3  # the poll has failed
    REPORTED = 4  # rows reported by other nodes; not the response to a poll


class Effect(IntEnum):
    """The effect of executing a request twice; greater values are stricter."""

    PURE = 0  # none: the request is safe or idempotent
    TOKEN = 1  # none at endpoints that know its idempotency key
    SIDE_EFFECT = 2  # the effect happens twice: the request is not idempotent


class Scope(IntEnum):
    """Which endpoints know an executed request's idempotency key; greater is stricter."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Timer(IntEnum):
    """The purpose of a timer, passed as the token of Actions.set_timer."""

    WAKE = 1  # process requests and endpoints whose wake time is reached
    CYCLE = 2  # adjust the concurrency limit, the caps and the class shares
    LIST = 3  # poll the endpoint list


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3  # the endpoint rejected the request without executing it
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # nothing of the request was sent


class ReportedState(IntEnum):
    """The verdict on an endpoint from reports of other nodes; greater values are worse."""

    SLOW = 1
    FULL = 2
    SUSPECTED = 3  # silent, but for one node only, which may be isolated itself
    SILENT = 4


UNKNOWN = -1  # the number of a cell, or of a zone, that the list's source does not tell


class Listing(NamedTuple):
    """One row of the endpoint list.

    `backend` is the endpoint's id, `boot` the start time of its process (0: unknown). Zone and cell
    are 0 if the source doesn't tell them, or names a zone that the settings don't have.
    """

    backend: int
    state: State
    zone: int = 0
    cell: int = 0
    kind: int = 0
    boot: int = 0
    rating: float = 1.0
    zone_is_known: bool = True
    cell_is_known: bool = True

    @property
    def repeat_zone(self) -> int:
        """The zone in which repeats are dropped, or UNKNOWN."""
        return self.zone if self.zone_is_known else UNKNOWN

    @property
    def repeat_cell(self) -> int:
        """The cell in which repeats are dropped, or UNKNOWN."""
        return self.cell if self.cell_is_known else UNKNOWN


class ServerView(NamedTuple):
    """The Balancer's view of one endpoint, for code that passes its decisions to proxies."""

    backend: int
    zone: int
    state: State
    cap: int  # requests that this node may have in flight
    capacity_fraction: float  # part of its capacity that it is assumed to have; 1.0 once warm
    latency_ratio: float  # relative to the fleet's
    ejected: bool  # out of rotation as silent or unreachable


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of a request class.

    Attributes:
        latency_objective: nanoseconds from a request's arrival to its response.
        deadline: how long its clients wait at most, in nanoseconds.
        effect: the effect of executing a request twice.
        scope: which endpoints know an executed request's idempotency key.
        repeat_window: nanoseconds from a send during which endpoints know its key.
        priority_weight: the cost of missing the objective.
        late_weight: the value of a response after the objective; 0: none.
        stream: its responses are streams; no decision uses this.
        objective_stretch: nanoseconds added to the objective per nanosecond of work that the
            client estimates.
    """

    name: str
    latency_objective: int
    deadline: int
    effect: Effect = Effect.PURE
    scope: Scope = Scope.ALL
    repeat_window: int = 0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    stream: bool = False
    objective_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A client organisation; tenants share each node's capacity."""

    name: str
    portion: float = 1.0  # weight relative to other tenants, within each class
    quota_per_s: float = 0.0  # requests per second at all nodes together; 0: no quota


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a Balancer.

    Attributes:
        node: this node's number, below `nodes`.
        zone: the number of its zone, below `zones`.
        load_columns: names of the values in endpoints' load reports.
        poll: the Balancer polls the endpoint list, which is otherwise pushed.
        poll_within: nanoseconds in which every node must have polled; the first polls of all
            nodes are spread over a part of it.
        drain_grace: nanoseconds from the start of an endpoint's drain until every node must have
            stopped sending to it.
        cold_from: part of its capacity that an endpoint has when it starts.
        cold: nanoseconds from an endpoint's start until it has its full capacity.
        fall_multiple: load that a cold endpoint may be sent within `fall`, as a multiple of its
            present capacity.
        fall: the length of that window in nanoseconds.
        max_attempts: how many attempts a request may have.
        hedging: whether a second attempt may be sent while the first one is in flight.
        can_cancel: whether attempts can be cancelled.
        max_retry_after: the longest Retry-After given to clients, ns; 0: none is given.
        marks_retry: whether clients mark their retries.
        connect_timeout: nanoseconds in which a connection must be established.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    node: int = 0
    nodes: int = 1
    zone: int = 0
    zones: int = 1
    load_columns: tuple[str, ...] = ()
    poll: bool = False
    poll_within: int = 10 * SECOND
    drain_grace: int = SECOND
    cold_from: float = 0.1
    cold: int = 10 * SECOND
    fall_multiple: float = 3.0
    fall: int = 2 * SECOND
    max_attempts: int = 1
    hedging: bool = False
    can_cancel: bool = False
    max_retry_after: int = 0
    marks_retry: bool = False
    connect_timeout: int = 250 * MS

    def __post_init__(self) -> None:
        """Raise SettingsError if a value is invalid."""
        if not self.classes:
            raise SettingsError("settings must have at least one request class")
        if self.nodes < 1:
            raise SettingsError("balancers must be at least 1")
        for c in self.classes:
            if c.latency_objective <= 0 or c.deadline <= 0:
                raise SettingsError(
                    f"class {c.name!r} needs a latency objective and a deadline above 0"
                )


class Actions(Protocol):
    """Calls of a Balancer to its host; each takes effect immediately. Times are nanoseconds."""

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Send the request's next attempt to an endpoint, with a timeout."""

    def refuse(self, request: int, retry_after: int) -> None:
        """Reject the request; a retry is harmless, after `retry_after` or immediately (0)."""

    def fail(self, request: int) -> None:
        """Respond that the request has failed and may have been executed."""

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt; its outcome must still be reported."""

    def set_timer(self, token: int, due: int) -> None:
        """Call `Balancer.on_timer` with this token (a Timer) at `due`."""

    def watch(self) -> None:
        """Poll the endpoint list; the result is reported to `Balancer.on_members`."""

    def log(self, text: str) -> None:
        """Log one line."""

"""Settings, endpoint lists, outcomes and actions: what a host and the decisions exchange.

Times are integer nanoseconds. The lowest layer of the core: no decisions, and no import
from the project but its errors.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

from loadbalancer.core.errors import ConfigurationError

MS = 1_000_000
SECOND = 1_000_000_000


class SettingsError(ConfigurationError, ValueError):
    """Settings that a Balancer can't use; also a ValueError, as for any unsuitable value."""


class State(IntEnum):
    """The state of an endpoint in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Update(IntEnum):
    """The kind of an update of the endpoint list."""

    DELTA = 0  # an answer with the rows that have changed
    FULL = 1  # an answer with the complete list
    CACHED = 2  # a complete list that is no answer to a call
    FAILED = 3  # the call has failed
    REPORTED = 4  # rows reported by other nodes; no answer to a call


class Effect(IntEnum):
    """What a second execution of a request does; the greater, the stricter."""

    PURE = 0  # nothing: safe or idempotent
    TOKEN = 1  # nothing at endpoints that know its idempotency key
    SIDE_EFFECT = 2  # the effect happens twice: not idempotent


class Scope(IntEnum):
    """Which endpoints know a request's key once it has executed; the greater, the stricter."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Timer(IntEnum):
    """What a timer is for: the token of Actions.set_timer."""

    WAKE = 1  # look at requests and endpoints whose time has come
    CYCLE = 2  # adjust limits and shares
    LIST = 3  # poll the endpoint list


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3  # the endpoint rejected it without executing it
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # nothing of it was sent


class ReportedState(IntEnum):
    """The verdict of other nodes' reports on one endpoint; the greater, the stricter."""

    SLOW = 1
    FULL = 2
    SUSPECTED = 3  # silent, but only by one node, which may be cut off itself
    SILENT = 4


class Listing(NamedTuple):
    """One row of the endpoint list; `backend` is the endpoint's id."""

    backend: int
    state: State
    zone: int = 0
    cell: int = 0
    kind: int = 0
    boot: int = 0
    rating: float = 1.0


class ServerView(NamedTuple):
    """What the Balancer knows of one endpoint, for those that pass its decisions on."""

    backend: int
    zone: int
    state: State
    cap: int  # requests in flight that this node allows
    capacity_fraction: float  # assumed part of its capacity, 1.0 once warm
    latency_ratio: float  # against the fleet's
    ejected: bool  # out of rotation as silent or unreachable


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class and its rules.

    Attributes:
        latency_objective: nanoseconds from a request's arrival to its answer.
        deadline: the longest that its clients wait, in nanoseconds.
        effect: what a second execution of a request does.
        scope: which endpoints know a request's key once it has executed.
        repeat_window: nanoseconds after a send for which endpoints know its key.
        priority_weight: the cost of missing the objective.
        late_weight: the value of an answer after the objective; 0: none.
        stream: its answers are streams; no decision reads it.
        objective_stretch: nanoseconds of objective per nanosecond of stated work.
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
    """A client organisation: tenants share each node's capacity."""

    name: str
    portion: float = 1.0  # weight against the other tenants' within each class
    quota_per_s: float = 0.0  # requests a second at all nodes together; 0: no quota


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is given at its start.

    Attributes:
        node: this node's number, below `nodes`.
        zone: the number of its zone, below `zones`.
        load_columns: names of the figures in endpoints' load reports.
        poll: the Balancer requests the list, which is otherwise pushed.
        poll_within: nanoseconds; all nodes' first polls are spread over a part of it.
        drain_grace: nanoseconds from the start of an endpoint's drain until every node must have
            stopped sending to it.
        cold_from: part of its capacity that an endpoint starts with.
        cold: nanoseconds from an endpoint's start until it has all of its capacity.
        fall_multiple: multiple of its present capacity that a cold endpoint may be sent ...
        fall: ... within this many nanoseconds.
        max_attempts: attempts of one request.
        hedging: a second attempt may be sent while the first one is in flight.
        can_cancel: endpoints can be asked to end an attempt.
        max_retry_after: the longest that clients may be asked to wait, ns; 0: they are not asked.
        marks_retry: clients mark further tries.
        connect_timeout: nanoseconds until a connection must be up.
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
        """Raise SettingsError where a value can't be used."""
        if not self.classes:
            raise SettingsError("settings need at least one request class")
        if self.nodes < 1:
            raise SettingsError("balancers must be at least 1")
        for c in self.classes:
            if c.latency_objective <= 0 or c.deadline <= 0:
                raise SettingsError(f"class {c.name!r} needs an aim and a deadline above 0")


class Actions(Protocol):
    """What a Balancer calls its host for; all take effect at once, times in nanoseconds."""

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Send the request's next attempt to this endpoint, and end it after `timeout`."""

    def refuse(self, request: int, retry_after: int) -> None:
        """Reject the request: trying again is harmless, after `retry_after` or at once (0)."""

    def fail(self, request: int) -> None:
        """Answer that the request has failed and may have been executed."""

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt; its outcome is reported all the same."""

    def set_timer(self, token: int, due: int) -> None:
        """Report `on_timer` with this Timer at `due`."""

    def watch(self) -> None:
        """Poll the endpoint list."""

    def log(self, text: str) -> None:
        """Log one line."""

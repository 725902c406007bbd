"""Plain types that the decisions share with whoever tells them and carries them out.

Times are integer nanoseconds. Nothing here decides or imports anything of the project.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

MS = 1_000_000
SECOND = 1_000_000_000


class State(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Update(IntEnum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    REPORTED = 4  # what other nodes know of the list: its rows alone, and no answer to a call


class Effect(IntEnum):
    PURE = 0
    TOKEN = 1
    SIDE_EFFECT = 2


class Scope(IntEnum):
    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


class ReportedState(IntEnum):
    """What other nodes' words come to for one backend; the later, the stricter."""

    SLOW = 1
    FULL = 2
    DOUBTED = 3  # by one that may be cut off itself
    SILENT = 4


class Listing(NamedTuple):
    """One line of the backend list."""

    backend: int
    state: State
    zone: int = 0
    cell: int = 0
    kind: int = 0
    boot: int = 0
    rating: float = 1.0


class ServerView(NamedTuple):
    """What the Balancer holds of one backend, for whoever passes its decisions on."""

    backend: int
    zone: int
    state: State
    cap: int  # requests in flight that this node allows
    warmth: float  # part of its capacity, 1.0 once warm
    latency_ratio: float  # against the fleet's
    ejected: bool  # left alone as silent or unreachable


@dataclass(frozen=True, slots=True)
class RequestClass:
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
    name: str
    portion: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start; times in nanoseconds."""

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
    answer_slack: int = 0
    max_attempts: int = 1
    hedging: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    max_retry_after: int = 0
    marks_retry: bool = False
    connect_timeout: int = 250 * MS
    tick: int = MS
    worst_class: float = 0.0
    cross_zone_price: float = 0.0
    rated: bool = False

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings need at least one request class")
        if self.nodes < 1:
            raise ValueError("balancers must be at least 1")
        for c in self.classes:
            if c.latency_objective <= 0 or c.deadline <= 0:
                raise ValueError(f"class {c.name!r} needs an aim and a deadline above 0")


class Actions(Protocol):
    """What a Balancer asks its host to do; all take effect at once."""

    def send(self, request: int, backend: int, timeout: int) -> None: ...
    def refuse(self, request: int, retry_after: int) -> None: ...
    def fail(self, request: int) -> None: ...
    def cancel(self, request: int, attempt: int) -> None: ...
    def set_timer(self, token: int, due: int) -> None: ...
    def probe(self, backend: int) -> None: ...
    def watch(self) -> None: ...
    def log(self, text: str) -> None: ...

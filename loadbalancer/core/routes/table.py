"""Routes: which service and policy a request falls under.

Frozen data and matching, free of I/O. A table is built whole by `file.decode`, is
never changed, and is shared by all requests that arrive under it. The order in
which routes are tried is total (docs/operate/routes.md):

1. The host chooses the service: an exact name, then the longest `*.suffix`,
   then `*`. A request never falls through to another service.
2. The path: compared segment by segment from the left, a literal goes before a
   `{parameter}` and either before the end of a prefix.
3. On one path: method and class conditions, then method, then class, then none.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from loadbalancer.core.balancing.model import Effect, Outcome, Scope


class Condition(StrEnum):
    """What may be tried again, by the names of the routes file."""

    CONNECT_FAILURE = "connect-failure"
    REFUSED = "refused"
    RESET_BEFORE_SENT = "reset-before-sent"
    RESET = "reset"
    ERROR = "error"
    TIMEOUT = "timeout"


NEVER_RAN = frozenset((Condition.CONNECT_FAILURE, Condition.REFUSED, Condition.RESET_BEFORE_SENT))
_CONDITIONS: dict[int, Condition] = {
    Outcome.ERROR: Condition.ERROR,
    Outcome.FULL: Condition.REFUSED,
    Outcome.TIMEOUT: Condition.TIMEOUT,
    Outcome.RESET: Condition.RESET,
    # Our own want of a descriptor: for the request that is a connection not made.
    Outcome.MOOT: Condition.CONNECT_FAILURE,
}


def condition(outcome: int, connected: bool) -> Condition | None:
    """The condition that an attempt's end meets; None where it is no failure to try again.

    `connected` tells a connection that broke before the request's last byte from
    one that never came up: neither ran.
    """
    if outcome == Outcome.CONNECT_FAILED:
        return Condition.RESET_BEFORE_SENT if connected else Condition.CONNECT_FAILURE
    return _CONDITIONS.get(outcome)


@dataclass(frozen=True, slots=True)
class BudgetSpec:
    """Further attempts: `part` of requests (0 to 1) plus `floor` a second."""

    part: float
    floor: float


DEFAULT_NODE_BUDGET = BudgetSpec(0.2, 5.0)


@dataclass(frozen=True, slots=True)
class HedgingSpec:
    """A hedged request `after` nanoseconds, or at a learned `percentile` (0 to 100).

    `max_part` is the part of requests that may have one.
    """

    after: int
    percentile: float
    max_part: float


@dataclass(frozen=True, slots=True)
class Policy:
    """What one route grants requests of one class, resolved.

    Times in nanoseconds. 0 or None: not set, the Balancer does as without a file.
    """

    name: str  # service/route
    cls: str
    number: int  # the class's place in the settings
    effect: Effect
    scope: Scope = Scope.ALL  # of a keyed one, with its window
    window: int = 0
    wanted: int = 0
    timeout: int = 0
    attempt_timeout: int = 0
    attempts: int = 0
    retry_on: frozenset[Condition] | None = None
    backoff_base: int = 0
    max_backoff: int = 0
    budget: BudgetSpec | None = None
    hedging: HedgingSpec | None = None


@dataclass(frozen=True, slots=True)
class Pattern:
    """A path: literal segments, None for a parameter; `prefix` where more may follow."""

    segments: tuple[bytes | None, ...]
    prefix: bool

    def __str__(self) -> str:
        text = "/" + "/".join("{}" if s is None else s.decode() for s in self.segments)
        return f"{text} and below" if self.prefix else text

    def meets(self, other: Pattern) -> bool:
        """Whether some path fits both."""
        for a, b in zip(self.segments, other.segments, strict=False):
            if a is not None and b is not None and a != b:
                return False
            if (a is None and b == b"") or (b is None and a == b""):
                return False
        shorter, longer = sorted((self, other), key=lambda p: len(p.segments))
        return shorter.prefix or len(shorter.segments) == len(longer.segments)

    def covers(self, other: Pattern) -> bool:
        """Whether every path that fits `other` fits this."""
        n = len(self.segments)
        if n > len(other.segments) or (not self.prefix and (n < len(other.segments))):
            return False
        if other.prefix and not self.prefix:
            return False
        return all(
            b != b"" if a is None else a == b
            for a, b in zip(self.segments, other.segments[:n], strict=True)
        )

    def rank(self) -> tuple[tuple[int, bytes], ...]:
        """Sorts patterns that meet in the order in which they are tried."""
        steps = [(1, b"") if s is None else (0, s) for s in self.segments]
        return (*steps, (2, b"") if self.prefix else (-1, b""))


def conditions(methods: frozenset[bytes], classes: frozenset[bytes]) -> int:
    """The more conditions the earlier: 3 method and class, 2 method, 1 class, 0 none."""
    return 2 * bool(methods) + bool(classes)


@dataclass(frozen=True, slots=True)
class Route:
    """`methods` and `classes` empty: any. `assigned` None: the path's first segment names it."""

    name: str
    pattern: Pattern
    methods: frozenset[bytes]
    classes: frozenset[bytes]
    assigned: bytes | None
    deny: bool
    policies: Mapping[bytes, Policy]  # by class

    def conditions(self) -> int:
        """How many conditions a request has to meet."""
        return conditions(self.methods, self.classes)

    def takes(self, method: bytes, declared: bytes) -> bool:
        """Whether a request of this method and declared class meets the conditions."""
        return (not self.methods or method in self.methods) and (
            not self.classes or declared in self.classes
        )


class _Step:
    """One segment of the patterns' tree."""

    __slots__ = ("ends", "literals", "parameter", "prefixes")

    def __init__(self) -> None:
        self.literals: dict[bytes, _Step] = {}
        self.parameter: _Step | None = None
        self.ends: tuple[Route, ...] = ()
        self.prefixes: tuple[Route, ...] = ()


def _by_conditions(routes: Sequence[Route], route: Route) -> tuple[Route, ...]:
    return tuple(sorted((*routes, route), key=Route.conditions, reverse=True))


class Service:
    """The routes of some hosts, as a tree over segments.

    A look-up visits at most one literal and one parameter a segment, so its cost
    grows with the path and the parameters in the file, not with the routes.
    """

    __slots__ = ("_exact", "_root", "hosts", "name", "routes")

    def __init__(self, name: str, hosts: Sequence[str], routes: Sequence[Route]) -> None:
        self.name = name
        self.hosts = tuple(hosts)
        self.routes = tuple(routes)
        self._root = _Step()
        self._exact: dict[bytes, tuple[Route, ...]] = {}
        for route in routes:
            self._add(route)

    def _add(self, route: Route) -> None:
        step = self._root
        pattern = route.pattern
        for segment in pattern.segments:
            if segment is None:
                step.parameter = step.parameter or _Step()
                step = step.parameter
            else:
                step = step.literals.setdefault(segment, _Step())
        if pattern.prefix:
            step.prefixes = _by_conditions(step.prefixes, route)
            return
        step.ends = _by_conditions(step.ends, route)
        if None not in pattern.segments:
            path = b"/" + b"/".join(s for s in pattern.segments if s is not None)
            self._exact[path] = step.ends

    def match(
        self, path: bytes, segments: list[bytes], method: bytes, declared: bytes
    ) -> Route | None:
        """The first route in the order for a canonical path and what its slashes divide."""
        for route in self._exact.get(path, ()):
            if route.takes(method, declared):
                return route
        return _find(self._root, segments, 1, method, declared)


def _find(
    step: _Step, segments: list[bytes], at: int, method: bytes, declared: bytes
) -> Route | None:
    if at == len(segments):
        routes: tuple[Route, ...] = step.ends
        for route in routes:
            if route.takes(method, declared):
                return route
    else:
        segment = segments[at]
        child = step.literals.get(segment)
        if child is not None:
            hit = _find(child, segments, at + 1, method, declared)
            if hit is not None:
                return hit
        child = step.parameter
        if child is not None and segment:
            hit = _find(child, segments, at + 1, method, declared)
            if hit is not None:
                return hit
    for route in step.prefixes:
        if route.takes(method, declared):
            return route
    return None


def suffixes(host: bytes) -> Iterator[bytes]:
    """A host's suffixes with their leading dot, longest first."""
    at = host.find(b".")
    while at >= 0:
        yield host[at:]
        at = host.find(b".", at + 1)


class Table:
    """All services of one file."""

    __slots__ = ("_any", "_hosts", "_suffixes", "node_budget", "services")

    def __init__(self, services: Sequence[Service], node_budget: BudgetSpec) -> None:
        self.services = tuple(services)
        self.node_budget = node_budget
        self._hosts: dict[bytes, Service] = {}
        self._suffixes: dict[bytes, Service] = {}
        self._any: Service | None = None
        for service in services:
            for host in service.hosts:
                if host == "*":
                    self._any = service
                elif host.startswith("*."):
                    self._suffixes[host[1:].encode()] = service
                else:
                    self._hosts[host.encode()] = service

    def service(self, host: bytes) -> Service | None:
        """The service of a canonical host, None where no service has it."""
        found = self._hosts.get(host)
        if found is None and self._suffixes and host[:1] != b"[":
            for suffix in suffixes(host):
                found = self._suffixes.get(suffix)
                if found is not None:
                    return found
        return found or self._any

    def names(self) -> set[str]:
        """The full names of all routes that grant anything."""
        return {p.name for s in self.services for r in s.routes for p in r.policies.values()}

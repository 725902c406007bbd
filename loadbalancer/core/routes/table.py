"""Matches requests to services, routes and policies.

Immutable data and matching without I/O. `file.decode` builds a complete table, which
never changes and is shared by all requests that arrive while it is in use. Routes are
tried in a total order (docs/operate/routes.md):

1. The host chooses the service: an exact name, then the longest `*.suffix`,
   then `*`. There is no fallback to another service.
2. Paths are compared segment by segment from the left: a literal takes precedence
   over a `{parameter}`, and both over the end of a prefix.
3. On one path, routes with method and class conditions come first, then those with
   a method, then those with a class, then those without conditions.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from loadbalancer.core.balancing.model import Effect, Outcome, Scope


class Condition(StrEnum):
    """Failures after which a request may be retried, as named in the routes file."""

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
    # The proxy had no file descriptor left, so no connection was made for the request.
    Outcome.MOOT: Condition.CONNECT_FAILURE,
}


def condition(outcome: int, connected: bool) -> Condition | None:
    """Return the condition of an attempt's outcome; None if it is not a retryable failure.

    For a failed connection, `connected` tells whether it broke before the last byte of
    the request was sent or was never established. The request ran in neither case.
    """
    if outcome == Outcome.CONNECT_FAILED:
        return Condition.RESET_BEFORE_SENT if connected else Condition.CONNECT_FAILURE
    return _CONDITIONS.get(outcome)


@dataclass(frozen=True, slots=True)
class BudgetSpec:
    """Limit on retries and hedges: `part` of the requests (0 to 1) plus `floor` per second."""

    part: float
    floor: float


DEFAULT_NODE_BUDGET = BudgetSpec(0.2, 5.0)


@dataclass(frozen=True, slots=True)
class HedgingSpec:
    """Hedge after `after` nanoseconds, or at a measured latency `percentile` (0 to 100).

    `max_part` is the share of requests that may be hedged.
    """

    after: int
    percentile: float
    max_part: float


@dataclass(frozen=True, slots=True)
class Policy:
    """The resolved policy of one route for requests of one class.

    Times are in nanoseconds. 0 or None means not set: the Balancer then behaves as
    without a routes file.
    """

    name: str  # service/route
    cls: str
    number: int  # index of the class in the settings
    effect: Effect
    scope: Scope = Scope.ALL  # scope and window apply to keyed classes
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
    """A path pattern: literal segments, None for a parameter.

    With `prefix`, further segments may follow.
    """

    segments: tuple[bytes | None, ...]
    prefix: bool

    def __str__(self) -> str:
        text = "/" + "/".join("{}" if s is None else s.decode() for s in self.segments)
        return f"{text} and below" if self.prefix else text

    def overlaps(self, other: Pattern) -> bool:
        """Whether some path matches both patterns."""
        for a, b in zip(self.segments, other.segments, strict=False):
            if a is not None and b is not None and a != b:
                return False
            if (a is None and b == b"") or (b is None and a == b""):
                return False
        shorter, longer = sorted((self, other), key=lambda p: len(p.segments))
        return shorter.prefix or len(shorter.segments) == len(longer.segments)

    def covers(self, other: Pattern) -> bool:
        """Whether every path that matches `other` also matches this pattern."""
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
        """Return a key that sorts overlapping patterns in the order in which they are tried."""
        segment_ranks = [(1, b"") if s is None else (0, s) for s in self.segments]
        return (*segment_ranks, (2, b"") if self.prefix else (-1, b""))


def conditions(methods: frozenset[bytes], classes: frozenset[bytes]) -> int:
    """Return the precedence of conditions: 3 method and class, 2 method, 1 class, 0 none."""
    return 2 * bool(methods) + bool(classes)


@dataclass(frozen=True, slots=True)
class Route:
    """A route; empty `methods` or `classes` match any.

    If `assigned` is None, the first segment of the path names the class.
    """

    name: str
    pattern: Pattern
    methods: frozenset[bytes]
    classes: frozenset[bytes]
    assigned: bytes | None
    deny: bool
    policies: Mapping[bytes, Policy]  # by class

    def conditions(self) -> int:
        """Return the precedence of the route's conditions, see `conditions`."""
        return conditions(self.methods, self.classes)

    def takes(self, method: bytes, declared: bytes) -> bool:
        """Whether a request with this method and declared class satisfies the conditions."""
        return (not self.methods or method in self.methods) and (
            not self.classes or declared in self.classes
        )


class _TreeNode:
    """A node of the tree of path segments."""

    __slots__ = ("ends", "literals", "parameter", "prefixes")

    def __init__(self) -> None:
        self.literals: dict[bytes, _TreeNode] = {}
        self.parameter: _TreeNode | None = None
        self.ends: tuple[Route, ...] = ()
        self.prefixes: tuple[Route, ...] = ()


def _by_conditions(routes: Sequence[Route], route: Route) -> tuple[Route, ...]:
    return tuple(sorted((*routes, route), key=Route.conditions, reverse=True))


class Service:
    """The hosts of a service and its routes, as a tree over path segments.

    A lookup follows at most one literal and one parameter per tree node, so its cost
    grows with the path and the parameters in the file, not with the number of routes.
    """

    __slots__ = ("_exact", "_root", "hosts", "name", "routes")

    def __init__(self, name: str, hosts: Sequence[str], routes: Sequence[Route]) -> None:
        self.name = name
        self.hosts = tuple(hosts)
        self.routes = tuple(routes)
        self._root = _TreeNode()
        self._exact: dict[bytes, tuple[Route, ...]] = {}
        for route in routes:
            self._add(route)

    def _add(self, route: Route) -> None:
        node = self._root
        pattern = route.pattern
        for segment in pattern.segments:
            if segment is None:
                node.parameter = node.parameter or _TreeNode()
                node = node.parameter
            else:
                node = node.literals.setdefault(segment, _TreeNode())
        if pattern.prefix:
            node.prefixes = _by_conditions(node.prefixes, route)
            return
        node.ends = _by_conditions(node.ends, route)
        if None not in pattern.segments:
            path = b"/" + b"/".join(s for s in pattern.segments if s is not None)
            self._exact[path] = node.ends

    def match(
        self, path: bytes, segments: list[bytes], method: bytes, declared: bytes
    ) -> Route | None:
        """Return the first matching route for a canonical path and its segments.

        `segments` is the path split at its slashes, so its first item is empty.
        """
        for route in self._exact.get(path, ()):
            if route.takes(method, declared):
                return route
        return _find(self._root, segments, 1, method, declared)


def _find(
    node: _TreeNode, segments: list[bytes], index: int, method: bytes, declared: bytes
) -> Route | None:
    if index == len(segments):
        routes: tuple[Route, ...] = node.ends
        for route in routes:
            if route.takes(method, declared):
                return route
    else:
        segment = segments[index]
        child = node.literals.get(segment)
        if child is not None:
            found = _find(child, segments, index + 1, method, declared)
            if found is not None:
                return found
        child = node.parameter
        if child is not None and segment:
            found = _find(child, segments, index + 1, method, declared)
            if found is not None:
                return found
    for route in node.prefixes:
        if route.takes(method, declared):
            return route
    return None


def suffixes(host: bytes) -> Iterator[bytes]:
    """Yield the suffixes of a host with their leading dot, longest first."""
    dot = host.find(b".")
    while dot >= 0:
        yield host[dot:]
        dot = host.find(b".", dot + 1)


class Table:
    """All services of one routes file, by host."""

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
        """Return the service of a canonical host, or None if no service has it."""
        found = self._hosts.get(host)
        if found is None and self._suffixes and host[:1] != b"[":
            for suffix in suffixes(host):
                found = self._suffixes.get(suffix)
                if found is not None:
                    return found
        return found or self._any

    def names(self) -> set[str]:
        """Return the full names of all routes that have a policy."""
        return {p.name for s in self.services for r in s.routes for p in r.policies.values()}

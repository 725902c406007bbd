"""Plans for other proxies: a Balancer's view and the routes, as one kind of proxy honours them.

Free of I/O and protobuf. Nothing is decided here a second time: weights, bounds
and health are the Balancer's own figures, divided or written in the form that the
proxy carries out. What it can't carry out and matters is listed in `Plan.refused`: that
service is not handed to it. What it goes without and no rule rests on is in
`Plan.notes`. Both are for the operator.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from loadbalancer.core.balancing.model import Effect, ServerView, Settings, State
from loadbalancer.core.balancing.outlier_detection import MAX_EJECTION_NS, MAX_ERRORS
from loadbalancer.core.balancing.records import FIRST_EJECTION
from loadbalancer.core.routes.table import BudgetSpec, Condition, Pattern, Policy, Route, Service

WEIGHT_UNIT = 100  # a warm server of usual speed, a slot
WARMTH_STEPS = 20  # a cold server's weight is told anew at each, not at every cycle
# gRPC's proxyless clients by the version that first bounds what is in flight
# (gRFC A32, circuit breaking): Node counts its own versions.
NODE = "grpc node"
BOUNDED_SINCE = {NODE: (1, 3), "grpc": (1, 37)}
_VERSION = re.compile(r"(\d{1,6})\.(\d{1,6})")


class ProxyKind(StrEnum):
    """Kinds of proxy by what they honour."""

    ENVOY = "envoy"
    GRPC = "grpc"
    GRPC_NODE = "grpc-node"  # ends its process on a route that forwards nothing
    GRPC_UNBOUNDED = "grpc-unbounded"  # bounds nothing in flight, or tells no version

    @property
    def proxyless(self) -> bool:
        return self is not ProxyKind.ENVOY


def kind_of(agent: str, version: str) -> ProxyKind | None:
    """A proxy's kind by its node message; None where its kind is not known."""
    agent = agent.lower()
    if agent.startswith("envoy"):
        return ProxyKind.ENVOY
    for prefix, since in BOUNDED_SINCE.items():
        if agent.startswith(prefix):
            found = _VERSION.search(version)
            told = (int(found[1]), int(found[2])) if found else (0, 0)
            if told < since:
                return ProxyKind.GRPC_UNBOUNDED
            return ProxyKind.GRPC_NODE if prefix == NODE else ProxyKind.GRPC
    return None


@dataclass(frozen=True, slots=True)
class Server:
    host: str
    port: int
    weight: int
    draining: bool
    healthy: bool


@dataclass(frozen=True, slots=True)
class Locality:
    """Servers of one zone, or of gRPC's kind one server: `part` tells them apart."""

    zone: str
    part: str
    priority: int
    weight: int
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """One match and what it grants. Times in nanoseconds, 0 for none.

    `retry_on` empty: no retry. `copy_after`: a second copy is sent then. A route that
    takes the class from the path becomes one plan a class; the order is the routes'.
    """

    name: str
    pattern: Pattern
    methods: frozenset[bytes]
    policy: Policy | None  # None: denied
    retry_on: tuple[Condition, ...] = ()
    retries: int = 0
    copy_after: int = 0


@dataclass(frozen=True, slots=True)
class Outliers:
    """When a proxy itself leaves a server alone. Times in nanoseconds."""

    errors: int  # in a row
    rest: int
    longest: int
    most: int  # percent of all servers


@dataclass(frozen=True, slots=True)
class SlowStart:
    """A proxy's own ramp over `window` nanoseconds, from `least` percent on."""

    window: int
    least: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One service for one kind of proxy in one zone."""

    service: str
    hosts: tuple[str, ...]
    localities: tuple[Locality, ...]
    most_requests: int  # in flight at one proxy
    routes: tuple[RoutePlan, ...]
    outliers: Outliers | None
    slow_start: SlowStart | None
    budget: BudgetSpec | None  # of further attempts; the floor is this proxy's part
    refused: tuple[str, ...]
    notes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Audience:
    """Whom a plan is for: proxies of one kind and zone, and how many are present in all.

    `own_ramp`: proxies that can are told to warm servers up themselves.
    """

    kind: ProxyKind
    zone: int
    zones: tuple[str, ...]
    proxies: int
    own_ramp: bool = False

    @property
    def ramps(self) -> bool:
        return self.own_ramp and self.kind is ProxyKind.ENVOY


def plan(
    service: Service,
    settings: Settings,
    node_budget: BudgetSpec,
    view: Sequence[ServerView],
    addresses: Mapping[int, tuple[str, int]],
    to: Audience,
) -> Plan:
    """What one group of proxies is handed of a service.

    A server's weight is its cap times its warmth, so that all proxies together give
    a cold one its part of the whole rate however they round; the bound in flight is
    the sum of caps divided among the proxies present. Both are rounded to the safe side,
    the proxies up to a power of two, the sum down to three binary digits: a cluster that
    changes costs an Envoy its connections, which no proxy that comes, no one drain and
    no step of the level is worth.
    """
    usable = [v for v in view if v.backend in addresses]
    total = sum(v.cap for v in usable if v.state == State.READY and not v.ejected)
    shift = (max(to.proxies, 1) - 1).bit_length()
    envoy = to.kind is ProxyKind.ENVOY
    return Plan(
        service.name,
        service.hosts,
        tuple(_localities(usable, addresses, to)),
        max(_rounded(total) >> shift, 1),
        tuple(_routes(service.routes, to.kind)),
        Outliers(MAX_ERRORS, FIRST_EJECTION, MAX_EJECTION_NS, 50) if envoy else None,
        SlowStart(settings.cold, max(int(100 * settings.cold_from), 1)) if to.ramps else None,
        _budget(service, node_budget, shift) if envoy else None,
        tuple(_refused(service, to.kind)),
        tuple(_notes(service, to.kind)),
    )


def _rounded(total: int) -> int:
    """Down to three binary digits."""
    drop = max(total.bit_length() - 3, 0)
    return total >> drop << drop


def weight(v: ServerView, ramp: bool = True) -> int:
    """At least 1: a proxy takes a weight of 0 for none given, or refuses it.

    Warmth is rounded down to steps: told at every cycle, one cold server would be
    two messages a second to every proxy for as long as it warms up.
    """
    warmth = 1.0
    if ramp and v.warmth < 1.0:
        warmth = max(int(v.warmth * WARMTH_STEPS) / WARMTH_STEPS, min(v.warmth, 1 / WARMTH_STEPS))
    return max(int(WEIGHT_UNIT * v.cap * warmth), 1)


def _budget(service: Service, node: BudgetSpec, shift: int) -> BudgetSpec:
    """The narrowest of the service's budgets: a proxy keeps one for all its routes.

    It counts second copies as further attempts: their own bound narrows it too.
    """
    policies = [p for r in service.routes for p in r.policies.values()]
    found = [p.budget for p in policies if p.budget is not None]
    copies = [p.copy.most for p in policies if p.copy is not None and p.copy.after]
    part = min((*(b.part for b in found), *copies), default=node.part)
    floor = min((b.floor for b in found), default=node.floor)
    return BudgetSpec(min(part, node.part), min(floor, node.floor) / (1 << shift))


def _refused(service: Service, kind: ProxyKind) -> Iterator[str]:
    """Why this kind can't be handed the service."""
    if kind is ProxyKind.GRPC_UNBOUNDED:
        yield "bounds nothing in flight, or tells no version"
    if kind.proxyless and all("*" in host for host in service.hosts):
        yield "gRPC's client asks for an exact host, the service has none"
    if kind is ProxyKind.GRPC_NODE:
        denied = [r.name for r in _routes(service.routes, kind) if r.policy is None]
        for name in dict.fromkeys(denied):
            yield f"{name}: gRPC's client for Node takes no denied route before one that forwards"


def _notes(service: Service, kind: ProxyKind) -> Iterator[str]:
    """What this kind goes without."""
    for route in service.routes:
        for p in route.policies.values():
            if p.copy is None:
                continue
            if kind.proxyless:
                yield f"{p.name}: gRPC's client sends no second copies"
            elif not p.copy.after:
                yield f"{p.name}: a second copy at a percentile is not sent, a proxy needs a time"


def _localities(
    view: Sequence[ServerView], addresses: Mapping[int, tuple[str, int]], to: Audience
) -> list[Locality]:
    """By zone, the proxy's own first; for gRPC's client by server.

    Its ROUND_ROBIN ignores endpoint weights (1:3:5 gave 134:133:133 of 400 calls) and
    honours those of localities.
    """
    present = sorted({v.zone for v in view}, key=lambda z: (z != to.zone, z))
    out = []
    for priority, z in enumerate(present):
        rows = [v for v in view if v.zone == z]
        name = to.zones[z] if z < len(to.zones) else str(z)
        if to.kind.proxyless:
            live = [v for v in rows if v.state == State.READY and not v.ejected and v.cap]
            out += [
                Locality(name, str(v.backend), priority, weight(v), (_server(v, addresses, 1),))
                for v in live
            ]
            continue
        servers = tuple(_server(v, addresses, weight(v, not to.ramps)) for v in rows)
        out.append(Locality(name, "", priority, sum(s.weight for s in servers), servers))
    # A proxy wants priorities without gaps: a zone with nothing live leaves one.
    ranks = {p: i for i, p in enumerate(sorted({x.priority for x in out}))}
    return [Locality(x.zone, x.part, ranks[x.priority], x.weight, x.servers) for x in out]


def _server(v: ServerView, addresses: Mapping[int, tuple[str, int]], weight: int) -> Server:
    host, port = addresses[v.backend]
    usable = not v.ejected and v.cap > 0
    return Server(host, port, weight, v.state == State.DRAINING, usable)


def _routes(routes: Sequence[Route], kind: ProxyKind) -> Iterator[RoutePlan]:
    """Those that a kind is handed.

    gRPC's client for Node (grpc-js-xds 1.14.1) ends its process on an action that forwards
    nothing. A denied route behind all that forward is left out for it: a call that no route
    matches fails with UNAVAILABLE (gRFC A28) and is sent nowhere, as with the route.
    """
    rows = list(_all_routes(routes, kind))
    if kind is ProxyKind.GRPC_NODE:
        while rows and rows[-1].policy is None:
            rows.pop()
    yield from rows


def _all_routes(routes: Sequence[Route], kind: ProxyKind) -> Iterator[RoutePlan]:
    """In the order in which a proxy is to try them: it takes the first that fits."""
    for route in sorted(routes, key=lambda r: (r.pattern.rank(), -r.conditions())):
        methods = route.methods
        if kind.proxyless and methods:
            if b"POST" not in methods:
                continue  # gRPC's calls are all POST: no call of a client takes it
            methods = frozenset()
        for pattern, cls in _patterns(route):
            if route.deny:
                yield RoutePlan(route.name, pattern, methods, None)
                continue
            policy = route.policies[cls]
            retry_on, retries = _retries(policy, kind)
            after = _copy_after(policy, kind)
            if after:
                retries = 1  # one copy beside the first, and no third
            yield RoutePlan(route.name, pattern, methods, policy, retry_on, retries, after)


def _patterns(route: Route) -> Iterator[tuple[Pattern, bytes]]:
    """The paths a route takes, with the class whose policy holds there.

    The class that a request declares is its path's first segment: a condition on it,
    or a route that takes its class from it, is a path for each class.
    """
    fixed = route.assigned or b""
    if route.deny and not route.classes or route.assigned is not None and not route.classes:
        yield route.pattern, fixed
        return
    for cls in sorted(route.classes or route.policies.keys()):
        segments = route.pattern.segments
        if not segments or segments[0] in (None, cls):
            pattern = Pattern((cls, *segments[1:]), route.pattern.prefix)
            yield pattern, fixed or cls


def _copy_after(policy: Policy, kind: ProxyKind) -> int:
    """When a second copy goes out, 0 for never; only what may be repeated has one."""
    if policy.copy is None or policy.effect != Effect.PURE or kind.proxyless:
        return 0
    return policy.copy.after


def _retries(policy: Policy, kind: ProxyKind) -> tuple[tuple[Condition, ...], int]:
    """What is tried again by the proxy: only what both the policy and its kind know.

    gRPC's client retries by status alone, and UNAVAILABLE may have run: for a class
    that repeats never it gets no retry at all (what its transport knows never ran it
    sends again by itself). Envoy tells a request that was not begun from others.
    """
    if policy.attempts == 1 or policy.retry_on is None:
        return (), 0
    if kind.proxyless and policy.effect != Effect.PURE:
        return (), 0
    retry_on = tuple(sorted(policy.retry_on))
    return retry_on, max(policy.attempts - 1, 1) if retry_on else 0

"""Plans for other proxies: a Balancer's view and the routes, as one kind of proxy honours them.

Free of I/O and protobuf. Nothing is decided here a second time: weights, bounds
and health are the Balancer's own figures, divided or written in the form that the
proxy carries out. What it can't carry out is listed in `Plan.refused`, for the
operator; a service with such a decision that matters is not handed to it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from flinthatch.balancer import Effect, ServerView, State
from flinthatch.routes import Condition, Policy, Route, Service

WEIGHT_UNIT = 100  # a warm server of usual speed, a slot


class ProxyKind(StrEnum):
    """Kinds of proxy by what they honour."""

    ENVOY = "envoy"
    GRPC = "grpc"


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
    """`retry_on` empty: no retry. Times in nanoseconds, 0 for none."""

    route: Route
    policy: Policy | None  # None: denied
    retry_on: tuple[Condition, ...]
    retries: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One service for one kind of proxy in one zone."""

    service: str
    hosts: tuple[str, ...]
    localities: tuple[Locality, ...]
    most_requests: int  # in flight at one proxy
    routes: tuple[RoutePlan, ...]
    refused: tuple[str, ...]


def plan(
    service: Service,
    view: Sequence[ServerView],
    addresses: Mapping[int, tuple[str, int]],
    kind: ProxyKind,
    zone: int,
    zones: Sequence[str],
    proxies: int,
) -> Plan:
    """What `proxies` proxies of this kind and zone are handed of a service.

    A server's weight is its cap times its warmth, so that all proxies together give
    a cold one its part of the whole rate however they round; the bound in flight is
    the sum of caps divided among the proxies present. Their number is rounded up to a
    power of two: else each one that comes or goes would be news to all the others.
    """
    usable = [v for v in view if v.backend in addresses]
    total = sum(v.cap for v in usable if v.state == State.READY and not v.down)
    routes = [_route(r, kind) for r in service.routes]
    return Plan(
        service.name,
        service.hosts,
        tuple(_localities(usable, addresses, kind, zone, zones)),
        max(total >> (max(proxies, 1) - 1).bit_length(), 1),
        tuple(r for r, _ in routes if r is not None),
        tuple(text for _, text in routes if text),
    )


def weight(v: ServerView) -> int:
    """At least 1: a proxy takes a weight of 0 for none given, or refuses it."""
    return max(int(WEIGHT_UNIT * v.cap * v.warmth), 1)


def _localities(
    view: Sequence[ServerView],
    addresses: Mapping[int, tuple[str, int]],
    kind: ProxyKind,
    zone: int,
    zones: Sequence[str],
) -> list[Locality]:
    """By zone, the proxy's own first; for gRPC's client by server.

    Its ROUND_ROBIN ignores endpoint weights (1:3:5 gave 134:133:133 of 400 calls) and
    honours those of localities.
    """
    present = sorted({v.zone for v in view}, key=lambda z: (z != zone, z))
    out = []
    for priority, z in enumerate(present):
        rows = [v for v in view if v.zone == z]
        name = zones[z] if z < len(zones) else str(z)
        if kind is ProxyKind.GRPC:
            live = [v for v in rows if v.state == State.READY and not v.down and v.cap]
            out += [
                Locality(name, str(v.backend), priority, weight(v), (_server(v, addresses, 1),))
                for v in live
            ]
            continue
        servers = tuple(_server(v, addresses, weight(v)) for v in rows)
        out.append(Locality(name, "", priority, sum(s.weight for s in servers), servers))
    # A proxy wants priorities without gaps: a zone with nothing live leaves one.
    ranks = {p: i for i, p in enumerate(sorted({x.priority for x in out}))}
    return [Locality(x.zone, x.part, ranks[x.priority], x.weight, x.servers) for x in out]


def _server(v: ServerView, addresses: Mapping[int, tuple[str, int]], weight: int) -> Server:
    host, port = addresses[v.backend]
    usable = not v.down and v.cap > 0
    return Server(host, port, weight, v.state == State.DRAINING, usable)


def _route(route: Route, kind: ProxyKind) -> tuple[RoutePlan | None, str]:
    """A route as this kind carries it out, or why it can't."""
    if route.deny:
        return RoutePlan(route, None, (), 0), ""
    if route.assigned is None:
        return None, f"{route.name}: its class is told by the request, a proxy needs one class"
    policy = route.policies[route.assigned]
    if kind is ProxyKind.GRPC and (route.methods or route.classes):
        return None, f"{route.name}: gRPC's client matches no method or class"
    retry_on, retries = _retries(policy, kind)
    return RoutePlan(route, policy, retry_on, retries), ""


def _retries(policy: Policy, kind: ProxyKind) -> tuple[tuple[Condition, ...], int]:
    """What is tried again by the proxy: only what both the policy and its kind know.

    gRPC's client retries by status alone, and UNAVAILABLE may have run: for a class
    that repeats never it gets no retry at all (what its transport knows never ran it
    sends again by itself). Envoy tells a request that was not begun from others.
    """
    if policy.attempts == 1 or policy.retry_on is None:
        return (), 0
    if kind is ProxyKind.GRPC and policy.effect != Effect.PURE:
        return (), 0
    retry_on = tuple(sorted(policy.retry_on))
    return retry_on, max(policy.attempts - 1, 1) if retry_on else 0

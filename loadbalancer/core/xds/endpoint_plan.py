"""Endpoints of a service as localities, weighted by the Balancer's own figures."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from loadbalancer.core.balancing.model import ServerView, State
from loadbalancer.core.xds.target_proxies import TargetProxies

WEIGHT_UNIT = 100  # of a warm server of usual speed, for each slot of its limit
WARMTH_STEPS = 20  # a cold server's weight changes this often until it is warm


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server of a cluster load assignment."""

    host: str
    port: int
    weight: int
    draining: bool
    healthy: bool


@dataclass(frozen=True, slots=True)
class Locality:
    """Endpoints of one zone; for a proxyless client one endpoint, identified by `sub_zone`."""

    zone: str
    sub_zone: str
    priority: int
    weight: int
    endpoints: tuple[Endpoint, ...]


def endpoint_weight(view: ServerView, apply_warmth: bool = True) -> int:
    """A server's concurrency limit times its warmth, at least 1.

    A proxy takes a weight of 0 for none given, or rejects it. Warmth is rounded down to steps:
    sent at every cycle of the Balancer, one cold server would be two responses a second to
    every proxy for as long as it warms up.
    """
    warmth = 1.0
    if apply_warmth and view.capacity_fraction < 1.0:
        step = 1 / WARMTH_STEPS  # below the first step warmth is not rounded: it would be 0
        warmth = max(
            int(view.capacity_fraction * WARMTH_STEPS) / WARMTH_STEPS,
            min(view.capacity_fraction, step),
        )
    return max(int(WEIGHT_UNIT * view.cap * warmth), 1)


def plan_localities(
    views: Sequence[ServerView],
    addresses: Mapping[int, tuple[str, int]],
    target: TargetProxies,
) -> list[Locality]:
    """One locality for each zone, the proxy's own first; for gRPC's client one for each server.

    The client's ROUND_ROBIN ignores the weights of endpoints and honours those of localities.
    """
    zones = sorted({view.zone for view in views}, key=lambda zone: (zone != target.zone, zone))
    out: list[Locality] = []
    for priority, zone in enumerate(zones):
        in_zone = [view for view in views if view.zone == zone]
        name = target.zones[zone] if zone < len(target.zones) else str(zone)
        if target.kind.proxyless:
            out += _server_localities(in_zone, addresses, name, priority)
        else:
            out.append(_zone_locality(in_zone, addresses, name, priority, target))
    # Priorities must have no gaps, and a zone without a usable server leaves one.
    ranks = {priority: rank for rank, priority in enumerate(sorted({row.priority for row in out}))}
    return [replace(row, priority=ranks[row.priority]) for row in out]


def _server_localities(
    views: Sequence[ServerView],
    addresses: Mapping[int, tuple[str, int]],
    zone: str,
    priority: int,
) -> list[Locality]:
    """A locality for each server that takes new work."""
    return [
        Locality(
            zone,
            str(view.backend),
            priority,
            endpoint_weight(view),
            (_endpoint(view, addresses, 1),),
        )
        for view in views
        if view.state == State.READY and not view.ejected and view.cap
    ]


def _zone_locality(
    views: Sequence[ServerView],
    addresses: Mapping[int, tuple[str, int]],
    zone: str,
    priority: int,
    target: TargetProxies,
) -> Locality:
    """A locality of all servers of a zone, with the health of each."""
    apply_warmth = not target.use_slow_start
    endpoints = tuple(
        _endpoint(view, addresses, endpoint_weight(view, apply_warmth)) for view in views
    )
    weight = sum(endpoint.weight for endpoint in endpoints)
    return Locality(zone, "", priority, weight, endpoints)


def _endpoint(view: ServerView, addresses: Mapping[int, tuple[str, int]], weight: int) -> Endpoint:
    host, port = addresses[view.backend]
    healthy = not view.ejected and view.cap > 0
    return Endpoint(host, port, weight, view.state == State.DRAINING, healthy)

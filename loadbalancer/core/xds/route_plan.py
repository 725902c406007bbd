"""Routes of a service in the order and form in which one kind of proxy carries them out."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from loadbalancer.core.balancing.model import Effect, Scope
from loadbalancer.core.routes.table import NEVER_RAN, Condition, Pattern, Policy, Route
from loadbalancer.core.xds.target_proxies import ProxyKind


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """One match and what is done with it. A route with several classes becomes one plan a class.

    Attributes:
        name: the route's.
        pattern: the paths it matches.
        methods: the methods it matches; empty for all.
        policy: how a request is forwarded; None: it is denied.
        retry_on: conditions of a retry; empty for no retry.
        max_retries: attempts beside the first.
        hedge_after: nanoseconds after which a second attempt is sent beside the first, 0 for
            never.
    """

    name: str
    pattern: Pattern
    methods: frozenset[bytes]
    policy: Policy | None
    retry_on: tuple[Condition, ...] = ()
    max_retries: int = 0
    hedge_after: int = 0


def plan_routes(routes: Sequence[Route], kind: ProxyKind) -> Iterator[RoutePlan]:
    """The routes that a kind of proxy is served, in the order in which it is to match them.

    gRPC's client for Node.js (grpc-js-xds 1.14.1) ends its process on an action that forwards
    nothing. A denied route behind all that forward is left out for it: a call that no route
    matches fails with UNAVAILABLE (gRFC A28) and is sent nowhere, as with the route.
    """
    plans = list(_all_routes(routes, kind))
    if kind is ProxyKind.GRPC_NODE:
        while plans and plans[-1].policy is None:
            plans.pop()
    yield from plans


def _all_routes(routes: Sequence[Route], kind: ProxyKind) -> Iterator[RoutePlan]:
    """Most specific first: a proxy takes the first route that matches."""
    for route in sorted(routes, key=lambda route: (route.pattern.rank(), -route.conditions())):
        methods = route.methods
        if kind.proxyless and methods:
            if b"POST" not in methods:
                continue  # gRPC's calls are all POST: none can match
            methods = frozenset()
        for pattern, class_name in _patterns(route):
            if route.deny:
                yield RoutePlan(route.name, pattern, methods, None)
                continue
            policy = route.policies[class_name]
            retry_on, max_retries = _retries(policy, kind)
            hedge_after = _hedge_after(policy, kind)
            if hedge_after:
                max_retries = 1  # one attempt beside the first, and no third
            yield RoutePlan(
                route.name, pattern, methods, policy, retry_on, max_retries, hedge_after
            )


def _patterns(route: Route) -> Iterator[tuple[Pattern, bytes]]:
    """The paths that a route matches, each with the class whose policy applies.

    A request declares its class in its path's first segment. A condition on the class, or a
    route that takes its class from the request, is one path for each class.
    """
    assigned = route.assigned or b""
    if not route.classes and (route.deny or route.assigned is not None):
        yield route.pattern, assigned
        return
    for class_name in sorted(route.classes or route.policies.keys()):
        segments = route.pattern.segments
        if not segments or segments[0] in (None, class_name):
            pattern = Pattern((class_name, *segments[1:]), route.pattern.prefix)
            yield pattern, assigned or class_name


def _hedge_after(policy: Policy, kind: ProxyKind) -> int:
    """Nanoseconds until a second attempt, 0 for never; only for requests that may be repeated."""
    if policy.hedging is None or policy.effect != Effect.PURE or kind.proxyless:
        return 0
    return policy.hedging.after


def _retries(policy: Policy, kind: ProxyKind) -> tuple[tuple[Condition, ...], int]:
    """Conditions and number of retries: what both the policy and the kind of proxy support.

    gRPC's client retries by status alone, and a call that ended with UNAVAILABLE may have run:
    a class whose requests must not be repeated gets no retry at all. What the client's
    transport knows to have never run, it repeats by itself. Envoy tells such requests apart.
    """
    if policy.attempts == 1 or policy.retry_on is None:
        return (), 0
    if kind.proxyless and policy.effect != Effect.PURE:
        return (), 0
    conditions = policy.retry_on
    if policy.effect == Effect.TOKEN and policy.scope != Scope.ALL:
        # A proxy retries at any server, also at one of another zone or cell that does not know
        # the key and would execute the request a second time.
        conditions = conditions & NEVER_RAN
    retry_on = tuple(sorted(conditions))
    return retry_on, max(policy.attempts - 1, 1) if retry_on else 0

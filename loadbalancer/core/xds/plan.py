"""Plans for other proxies: a Balancer's view and the routes, as one kind of proxy honours them.

Free of I/O and protobuf. Nothing is decided here a second time: weights, bounds and health are
the Balancer's own figures, divided or written in the form that the proxy carries out.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from loadbalancer.core.balancing.model import ServerView, Settings, State
from loadbalancer.core.balancing.outlier_detection import MAX_EJECTION_NS, MAX_ERRORS
from loadbalancer.core.balancing.records import FIRST_EJECTION_NS
from loadbalancer.core.routes.table import BudgetSpec, Service
from loadbalancer.core.xds.endpoint_plan import Locality, plan_localities
from loadbalancer.core.xds.route_plan import RoutePlan, plan_routes
from loadbalancer.core.xds.target_proxies import ProxyKind, TargetProxies

MAX_EJECTION_PERCENT = 50
REQUEST_BOUND_DIGITS = 3  # significant binary digits of the bound on requests in flight


@dataclass(frozen=True, slots=True)
class OutlierDetection:
    """When a proxy itself ejects a server. Times in nanoseconds."""

    consecutive_errors: int
    base_ejection_time: int
    max_ejection_time: int
    max_ejection_percent: int  # of all servers


@dataclass(frozen=True, slots=True)
class SlowStart:
    """A proxy's own slow start over `window` nanoseconds."""

    window: int
    min_weight_percent: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One service for one group of proxies.

    Attributes:
        service: its name, also that of its cluster.
        hosts: the host names that it answers to.
        localities: its endpoints.
        max_requests: bound on requests in flight at one proxy.
        routes: in the order in which they are matched.
        outlier_detection: None: the proxy ejects nothing itself.
        slow_start: None: the weights hold the warmth.
        retry_budget: bound on further attempts; its floor is this proxy's part. None for none.
        unsupported: what these proxies can't carry out though a rule rests on it: where there
            is any, the service is withheld from them. For the operator.
        omitted: what these proxies go without and no rule rests on. For the operator.
    """

    service: str
    hosts: tuple[str, ...]
    localities: tuple[Locality, ...]
    max_requests: int
    routes: tuple[RoutePlan, ...]
    outlier_detection: OutlierDetection | None
    slow_start: SlowStart | None
    retry_budget: BudgetSpec | None
    unsupported: tuple[str, ...]
    omitted: tuple[str, ...] = ()


def make_plan(
    service: Service,
    settings: Settings,
    node_budget: BudgetSpec,
    views: Sequence[ServerView],
    addresses: Mapping[int, tuple[str, int]],
    target: TargetProxies,
) -> Plan:
    """Plan a service for one group of proxies.

    A server's weight is its concurrency limit times its warmth, so that all proxies together
    give a cold one its part of the whole rate however they round. The bound on requests in
    flight is the sum of limits divided among the connected proxies. Both are rounded to the
    safe side, the number of proxies up to a power of two, the sum down to three binary digits:
    an Envoy drops its connections to a cluster that changes, so a proxy that connects, one
    drain or a small step of a limit must not change it.
    """
    usable = [view for view in views if view.backend in addresses]
    limits = (view.cap for view in usable if view.state == State.READY and not view.ejected)
    share_shift = (max(target.connected, 1) - 1).bit_length()
    is_envoy = target.kind is ProxyKind.ENVOY
    return Plan(
        service=service.name,
        hosts=service.hosts,
        localities=tuple(plan_localities(usable, addresses, target)),
        max_requests=max(_round_down(sum(limits)) >> share_shift, 1),
        routes=tuple(plan_routes(service.routes, target.kind)),
        outlier_detection=(
            OutlierDetection(MAX_ERRORS, FIRST_EJECTION_NS, MAX_EJECTION_NS, MAX_EJECTION_PERCENT)
            if is_envoy
            else None
        ),
        slow_start=_slow_start(settings) if target.use_slow_start else None,
        retry_budget=_retry_budget(service, node_budget, share_shift) if is_envoy else None,
        unsupported=tuple(_unsupported(service, target.kind)),
        omitted=tuple(_omitted(service, target.kind)),
    )


def _round_down(total: int) -> int:
    dropped_digits = max(total.bit_length() - REQUEST_BOUND_DIGITS, 0)
    return total >> dropped_digits << dropped_digits


def _slow_start(settings: Settings) -> SlowStart:
    return SlowStart(settings.cold, max(int(100 * settings.cold_from), 1))


def _retry_budget(service: Service, node: BudgetSpec, share_shift: int) -> BudgetSpec:
    """The narrowest of the service's budgets: a proxy has one for all routes of a cluster.

    It counts hedged attempts as retries, so their own bound narrows it too.
    """
    policies = [policy for route in service.routes for policy in route.policies.values()]
    budgets = [policy.budget for policy in policies if policy.budget is not None]
    specs = [policy.hedging for policy in policies if policy.hedging is not None]
    hedged = [spec.max_part for spec in specs if spec.after]
    part = min((*(budget.part for budget in budgets), *hedged), default=node.part)
    floor = min((budget.floor for budget in budgets), default=node.floor)
    return BudgetSpec(min(part, node.part), min(floor, node.floor) / (1 << share_shift))


def _unsupported(service: Service, kind: ProxyKind) -> Iterator[str]:
    """Why a service is withheld from this kind of proxy."""
    if kind is ProxyKind.GRPC_UNBOUNDED:
        yield "bounds nothing in flight, or tells no version"
    if kind.proxyless and all("*" in host for host in service.hosts):
        yield "gRPC's client asks for an exact host, the service has none"
    if kind is ProxyKind.GRPC_NODE:
        denied = [plan.name for plan in plan_routes(service.routes, kind) if plan.policy is None]
        for name in dict.fromkeys(denied):
            yield f"{name}: gRPC's client for Node takes no denied route before one that forwards"


def _omitted(service: Service, kind: ProxyKind) -> Iterator[str]:
    """What this kind of proxy goes without."""
    for route in service.routes:
        for policy in route.policies.values():
            if policy.hedging is None:
                continue
            if kind.proxyless:
                yield f"{policy.name}: gRPC's client sends no second copies"
            elif not policy.hedging.after:
                yield (
                    f"{policy.name}: a second copy at a percentile is not sent, "
                    "a proxy needs a time"
                )

"""Plans as xDS v3 resources, serialised once for all proxies that get them."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import replace

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2, outlier_detection_pb2
from envoy.config.core.v3 import config_source_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_components_pb2 as route_pb2
from envoy.config.route.v3 import route_pb2 as configuration_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as manager_pb2,
)
from google.protobuf import any_pb2, duration_pb2, message

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.routes.table import Condition, Pattern, Policy
from loadbalancer.core.xds.endpoint_plan import Endpoint, Locality
from loadbalancer.core.xds.plan import OutlierDetection, Plan
from loadbalancer.core.xds.route_plan import RoutePlan
from loadbalancer.core.xds.snapshot import (
    Resource,
    ResourceType,
    Snapshot,
    make_resource,
    make_snapshot,
)
from loadbalancer.core.xds.target_proxies import ProxyKind

PREFIX = "type.googleapis.com/"
TYPES = {
    ResourceType.CLUSTER: PREFIX + "envoy.config.cluster.v3.Cluster",
    ResourceType.ENDPOINTS: PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment",
    ResourceType.LISTENER: PREFIX + "envoy.config.listener.v3.Listener",
    ResourceType.ROUTES: PREFIX + "envoy.config.route.v3.RouteConfiguration",
}
KINDS = {url: kind for kind, url in TYPES.items()}
ROUTES = "wharfspread"

# The proxies' own words for what is tried again. Envoy's refused-stream and
# reset-before-request are certain not to have run, as is a failed connect.
ENVOY_RETRY = {
    Condition.CONNECT_FAILURE: "connect-failure",
    Condition.REFUSED: "refused-stream",
    Condition.RESET_BEFORE_SENT: "reset-before-request",
    Condition.RESET: "reset",
    Condition.ERROR: "5xx",
    Condition.TIMEOUT: "gateway-error",
}


def packed(body: message.Message) -> bytes:
    """A resource's Any, in a form that is the same for equal content."""
    wrapped = any_pb2.Any()
    wrapped.Pack(body, deterministic=True)
    return bytes(wrapped.SerializeToString(deterministic=True))


def stub_cluster(name: str) -> Resource:
    """A cluster by its name alone, for a proxy that holds one this service never knew."""
    body = cluster_pb2.Cluster(
        name=name, type="EDS", lb_policy="ROUND_ROBIN",
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(
            eds_config=_ads(), service_name=name
        ),
    )  # fmt: skip
    return make_resource(name, packed(body), [name])


class Encoder:
    """Pictures of one group of proxies; what has not changed is not serialised again.

    `listen` is where an Envoy-like proxy is told to listen; `serialised` counts the
    bytes of all resources that were built anew.
    """

    __slots__ = ("_endpoints", "_kind", "_listen", "_others", "_picture", "serialised")

    def __init__(self, kind: ProxyKind, listen: tuple[str, int]) -> None:
        self._kind = kind
        self._listen = listen
        self._endpoints: dict[str, tuple[tuple[Locality, ...], Resource]] = {}
        self._others: tuple[Plan, ...] = ()
        self._picture: Snapshot | None = None
        self.serialised = 0

    def build(self, plans: Sequence[Plan]) -> Snapshot:
        """The picture of these plans; the same object where nothing has changed."""
        endpoints = [self._of(p) for p in plans]
        self._endpoints = {p.service: self._endpoints[p.service] for p in plans}
        # All else, without what changes with every server.
        others = tuple(replace(p, localities=()) for p in plans)
        old = self._picture
        if old is not None and others == self._others:
            if all(old.of_type(ResourceType.ENDPOINTS).get(r.name) is r for r in endpoints):
                return old
            rows: dict[ResourceType, Sequence[Resource]] = {
                kind: tuple(old.of_type(kind).values()) for kind in ResourceType
            }
        else:
            rows = self._rest(plans)
        self._others = others
        self._picture = make_snapshot(rows | {ResourceType.ENDPOINTS: endpoints})
        return self._picture

    def _of(self, p: Plan) -> Resource:
        old = self._endpoints.get(p.service)
        if old is not None and old[0] == p.localities:
            return old[1]
        made = self._made(p.service, _endpoints(p))
        if old is not None and old[1] == made:
            made = old[1]
        self._endpoints[p.service] = (p.localities, made)
        return made

    def _made(self, name: str, body: message.Message, names: Sequence[str] = ()) -> Resource:
        out = make_resource(name, packed(body), names)
        self.serialised += len(out.body)
        return out

    def _rest(self, plans: Sequence[Plan]) -> dict[ResourceType, Sequence[Resource]]:
        clusters = [
            self._made(p.service, _cluster(p, self._kind.proxyless), [p.service]) for p in plans
        ]
        if self._kind.proxyless:
            routes, listeners = self._by_host(plans)
        else:
            hosts = [_virtual_host(p, self._kind) for p in plans]
            config = configuration_pb2.RouteConfiguration(name=ROUTES, virtual_hosts=hosts)
            routes = [self._made(ROUTES, config, [p.service for p in plans])]
            listeners = [self._made("main", _listener(self._listen), [ROUTES])]
        return {
            ResourceType.CLUSTER: clusters,
            ResourceType.ROUTES: routes,
            ResourceType.LISTENER: listeners,
        }

    def _by_host(self, plans: Sequence[Plan]) -> tuple[list[Resource], list[Resource]]:
        """An API listener for every host by its name, as `xds:///HOST` asks for it."""
        routes, listeners = [], []
        for p in plans:
            config = configuration_pb2.RouteConfiguration(
                name=p.service, virtual_hosts=[_virtual_host(p, self._kind, ["*"])]
            )
            routes.append(self._made(p.service, config, [p.service]))
            for host in p.hosts:
                if "*" not in host:
                    body = listener_pb2.Listener(name=host)
                    body.api_listener.api_listener.Pack(_manager(p.service), deterministic=True)
                    listeners.append(self._made(host, body, [p.service]))
        return routes, listeners


def _duration(ns: int) -> duration_pb2.Duration:
    return duration_pb2.Duration(seconds=ns // SECOND, nanos=ns % SECOND)


def _ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version="V3"
    )


def _cluster(p: Plan, proxyless: bool) -> cluster_pb2.Cluster:
    thresholds = circuit_breaker_pb2.CircuitBreakers.Thresholds()
    thresholds.max_requests.value = p.max_requests
    if p.retry_budget is not None:
        # A part of what is active, and a count: of a rate it knows nothing. One is the
        # least that lets a thin service's request be tried again at all.
        thresholds.retry_budget.budget_percent.value = 100.0 * p.retry_budget.part
        thresholds.retry_budget.min_retry_concurrency.value = max(int(p.retry_budget.floor), 1)
    out = cluster_pb2.Cluster(
        name=p.service,
        type="EDS",
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(
            eds_config=_ads(), service_name=p.service
        ),
        lb_policy="ROUND_ROBIN",
        circuit_breakers=circuit_breaker_pb2.CircuitBreakers(thresholds=[thresholds]),
    )
    if proxyless:
        # Without it gRPC's client reports no load; an Envoy's own file says where to.
        out.lrs_server.self.SetInParent()
        return out
    if p.outlier_detection is not None:
        _outliers(out.outlier_detection, p.outlier_detection)
    if p.slow_start is not None:
        ramp = out.round_robin_lb_config.slow_start_config
        ramp.slow_start_window.CopyFrom(_duration(p.slow_start.window))
        ramp.min_weight_percent.value = p.slow_start.min_weight_percent
    return out


def _outliers(out: outlier_detection_pb2.OutlierDetection, o: OutlierDetection) -> None:
    """Errors in a row alone: success rates of a proxy's own are not the module's rule."""
    out.consecutive_5xx.value = o.consecutive_errors
    out.base_ejection_time.CopyFrom(_duration(o.base_ejection_time))
    out.max_ejection_time.CopyFrom(_duration(o.max_ejection_time))
    out.max_ejection_percent.value = o.max_ejection_percent
    out.enforcing_success_rate.value = 0
    out.enforcing_failure_percentage.value = 0


def _endpoints(p: Plan) -> endpoint_pb2.ClusterLoadAssignment:
    out = endpoint_pb2.ClusterLoadAssignment(cluster_name=p.service)
    for locality in p.localities:
        row = out.endpoints.add(priority=locality.priority)
        row.locality.zone = locality.zone
        row.locality.sub_zone = locality.sub_zone
        row.load_balancing_weight.value = locality.weight
        for server in locality.endpoints:
            one = row.lb_endpoints.add(health_status=_health(server))
            one.endpoint.address.socket_address.address = server.host
            one.endpoint.address.socket_address.port_value = server.port
            one.load_balancing_weight.value = server.weight
    return out


def _health(server: Endpoint) -> str:
    if server.draining:
        return "DRAINING"
    return "HEALTHY" if server.healthy else "UNHEALTHY"


def _manager(routes: str) -> manager_pb2.HttpConnectionManager:
    router = any_pb2.Any()
    router.Pack(router_pb2.Router(), deterministic=True)
    return manager_pb2.HttpConnectionManager(
        stat_prefix=ROUTES,
        rds=manager_pb2.Rds(config_source=_ads(), route_config_name=routes),
        http_filters=[manager_pb2.HttpFilter(name="router", typed_config=router)],
    )


def _listener(listen: tuple[str, int]) -> listener_pb2.Listener:
    out = listener_pb2.Listener(name="main")
    out.address.socket_address.address, out.address.socket_address.port_value = listen
    chain = out.filter_chains.add()
    one = chain.filters.add(name="envoy.filters.network.http_connection_manager")
    one.typed_config.Pack(_manager(ROUTES), deterministic=True)
    return out


def _virtual_host(
    p: Plan, kind: ProxyKind, domains: Sequence[str] | None = None
) -> route_pb2.VirtualHost:
    return route_pb2.VirtualHost(
        name=p.service, domains=domains or p.hosts,
        routes=[_route(r, p.service, kind) for r in p.routes],
    )  # fmt: skip


def _route(r: RoutePlan, cluster: str, kind: ProxyKind) -> route_pb2.Route:
    out = route_pb2.Route(name=r.name, match=_match(r.pattern))
    if r.methods:
        # One header with all of them: several matchers would have to hold at once.
        methods = "|".join(re.escape(m.decode()) for m in sorted(r.methods))
        out.match.headers.add(name=":method").string_match.safe_regex.regex = methods
    if r.policy is None:
        if kind.proxyless:
            out.non_forwarding_action.SetInParent()
        else:
            out.direct_response.status = 403
        return out
    out.route.cluster = cluster
    if r.policy.timeout:
        out.route.timeout.CopyFrom(_duration(r.policy.timeout))
        out.route.max_stream_duration.max_stream_duration.CopyFrom(_duration(r.policy.timeout))
    if r.retry_on or r.hedge_after:
        _retry(out.route, r, r.policy, kind)
    return out


def _retry(out: route_pb2.RouteAction, r: RoutePlan, policy: Policy, kind: ProxyKind) -> None:
    retry = out.retry_policy
    words = [ENVOY_RETRY[c] for c in r.retry_on]
    retry.retry_on = "unavailable" if kind.proxyless else ",".join(words)
    retry.num_retries.value = r.max_retries
    if policy.attempt_timeout and not kind.proxyless:
        retry.per_try_timeout.CopyFrom(_duration(policy.attempt_timeout))
    if r.hedge_after:
        # Hedging: at its time-out a try goes on beside the next, the first answer wins.
        retry.per_try_timeout.CopyFrom(_duration(r.hedge_after))
        out.hedge_policy.hedge_on_per_try_timeout = True
    if policy.backoff_base:
        retry.retry_back_off.base_interval.CopyFrom(_duration(policy.backoff_base))
        retry.retry_back_off.max_interval.CopyFrom(_duration(policy.backoff_most))


def _match(pattern: Pattern) -> route_pb2.RouteMatch:
    if pattern.prefix and not pattern.segments:
        return route_pb2.RouteMatch(prefix="/")
    if not pattern.prefix and None not in pattern.segments:
        return route_pb2.RouteMatch(path=str(pattern))
    # Whole segments, which a plain prefix does not keep to; RE2's syntax.
    parts = ("[^/]+" if s is None else re.escape(s.decode()) for s in pattern.segments)
    text = "/" + "/".join(parts) + ("(/.*)?" if pattern.prefix else "")
    out = route_pb2.RouteMatch()
    out.safe_regex.regex = text
    return out

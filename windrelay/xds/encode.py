"""Plans as xDS v3 resources, serialised once for all proxies that get them."""

from __future__ import annotations

import re
from collections.abc import Sequence

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2
from envoy.config.core.v3 import config_source_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2 as route_pb2
from envoy.config.route.v3 import route_pb2 as configuration_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as manager_pb2,
)
from google.protobuf import any_pb2, duration_pb2, message

from flinthatch.picture import Kind, Picture, Resource, picture, resource
from flinthatch.routes import Condition, Pattern
from flinthatch.snapshot import Plan, ProxyKind, RoutePlan, Server

SECOND = 1_000_000_000
PREFIX = "type.googleapis.com/"
TYPES = {
    Kind.CLUSTER: PREFIX + "envoy.config.cluster.v3.Cluster",
    Kind.ENDPOINTS: PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment",
    Kind.LISTENER: PREFIX + "envoy.config.listener.v3.Listener",
    Kind.ROUTES: PREFIX + "envoy.config.route.v3.RouteConfiguration",
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


def build(plans: Sequence[Plan], kind: ProxyKind, listen: tuple[str, int]) -> Picture:
    """The picture of one kind of proxy in one zone; `listen` is where an Envoy listens."""
    clusters = [resource(p.service, packed(_cluster(p)), [p.service]) for p in plans]
    endpoints = [resource(p.service, packed(_endpoints(p))) for p in plans]
    if kind is ProxyKind.GRPC:
        routes, listeners = _by_host(plans)
    else:
        names = [p.service for p in plans]
        hosts = [_virtual_host(p, kind) for p in plans]
        config = configuration_pb2.RouteConfiguration(name=ROUTES, virtual_hosts=hosts)
        routes = [resource(ROUTES, packed(config), names)]
        listeners = [resource("main", packed(_listener(listen)), [ROUTES])]
    return picture(
        {Kind.CLUSTER: clusters, Kind.ENDPOINTS: endpoints, Kind.ROUTES: routes,
         Kind.LISTENER: listeners}
    )  # fmt: skip


def _by_host(plans: Sequence[Plan]) -> tuple[list[Resource], list[Resource]]:
    """An API listener for every host by its name, as `xds:///HOST` asks for it."""
    routes, listeners = [], []
    for p in plans:
        config = configuration_pb2.RouteConfiguration(
            name=p.service, virtual_hosts=[_virtual_host(p, ProxyKind.GRPC, ["*"])]
        )
        routes.append(resource(p.service, packed(config), [p.service]))
        for host in p.hosts:
            if "*" not in host:
                api = any_pb2.Any()
                api.Pack(_manager(p.service), deterministic=True)
                body = listener_pb2.Listener(
                    name=host, api_listener=api_listener_pb2.ApiListener(api_listener=api)
                )
                listeners.append(resource(host, packed(body), [p.service]))
    return routes, listeners


def _duration(ns: int) -> duration_pb2.Duration:
    return duration_pb2.Duration(seconds=ns // SECOND, nanos=ns % SECOND)


def _ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version="V3"
    )


def _cluster(p: Plan) -> cluster_pb2.Cluster:
    thresholds = circuit_breaker_pb2.CircuitBreakers.Thresholds()
    thresholds.max_requests.value = p.most_requests
    return cluster_pb2.Cluster(
        name=p.service,
        type="EDS",
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(
            eds_config=_ads(), service_name=p.service
        ),
        lb_policy="ROUND_ROBIN",
        circuit_breakers=circuit_breaker_pb2.CircuitBreakers(thresholds=[thresholds]),
    )


def _endpoints(p: Plan) -> endpoint_pb2.ClusterLoadAssignment:
    out = endpoint_pb2.ClusterLoadAssignment(cluster_name=p.service)
    for locality in p.localities:
        row = out.endpoints.add(priority=locality.priority)
        row.locality.zone = locality.zone
        row.locality.sub_zone = locality.part
        row.load_balancing_weight.value = locality.weight
        for server in locality.servers:
            one = row.lb_endpoints.add(health_status=_health(server))
            one.endpoint.address.socket_address.address = server.host
            one.endpoint.address.socket_address.port_value = server.port
            one.load_balancing_weight.value = server.weight
    return out


def _health(server: Server) -> str:
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
    """Routes in the order in which they are tried: proxies take the first that fits."""
    rows = sorted(p.routes, key=lambda r: (r.route.pattern.rank(), -r.route.conditions()))
    return route_pb2.VirtualHost(
        name=p.service, domains=domains or p.hosts,
        routes=[_route(r, p.service, kind) for r in rows],
    )  # fmt: skip


def _route(r: RoutePlan, cluster: str, kind: ProxyKind) -> route_pb2.Route:
    out = route_pb2.Route(name=r.route.name, match=_match(r.route.pattern))
    for method in sorted(r.route.methods):
        header = out.match.headers.add(name=":method")
        header.string_match.exact = method.decode()
    if r.policy is None:
        if kind is ProxyKind.GRPC:
            out.non_forwarding_action.SetInParent()
        else:
            out.direct_response.status = 403
        return out
    out.route.cluster = cluster
    if r.policy.timeout:
        out.route.timeout.CopyFrom(_duration(r.policy.timeout))
        out.route.max_stream_duration.max_stream_duration.CopyFrom(_duration(r.policy.timeout))
    if r.retry_on:
        retry = out.route.retry_policy
        words = [ENVOY_RETRY[c] for c in r.retry_on]
        retry.retry_on = "unavailable" if kind is ProxyKind.GRPC else ",".join(words)
        retry.num_retries.value = r.retries
        if r.policy.attempt_timeout and kind is ProxyKind.ENVOY:
            retry.per_try_timeout.CopyFrom(_duration(r.policy.attempt_timeout))
        if r.policy.backoff_base:
            retry.retry_back_off.base_interval.CopyFrom(_duration(r.policy.backoff_base))
            retry.retry_back_off.max_interval.CopyFrom(_duration(r.policy.backoff_most))
    return out


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

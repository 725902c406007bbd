"""Converts plans to the protobuf messages of xDS v3 resources."""

from __future__ import annotations

import re
from collections.abc import Sequence

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
from google.protobuf import any_pb2, duration_pb2

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.routes.table import Condition, Pattern, Policy
from loadbalancer.core.xds.endpoint_plan import Endpoint, Locality
from loadbalancer.core.xds.plan import OutlierDetection, Plan
from loadbalancer.core.xds.route_plan import RoutePlan
from loadbalancer.core.xds.target_proxies import ProxyKind

# Name of Envoy's route configuration and its stat_prefix. It is sent to proxies, so it must stay.
ROUTES_NAME = "wharfspread"
LISTENER_NAME = "main"
DENIED_STATUS = 403

# Envoy's names of the retry conditions. With refused-stream, reset-before-request and
# connect-failure it is certain that the server has not processed the request.
ENVOY_RETRY_ON = {
    Condition.CONNECT_FAILURE: "connect-failure",
    Condition.REFUSED: "refused-stream",
    Condition.RESET_BEFORE_SENT: "reset-before-request",
    Condition.RESET: "reset",
    Condition.ERROR: "5xx",
    Condition.TIMEOUT: "gateway-error",
}


def _duration(nanoseconds: int) -> duration_pb2.Duration:
    return duration_pb2.Duration(seconds=nanoseconds // SECOND, nanos=nanoseconds % SECOND)


def _aggregated_source() -> config_source_pb2.ConfigSource:
    """Create a reference that tells the proxy to request further resources on its ADS stream."""
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version="V3"
    )


def eds_cluster(name: str) -> cluster_pb2.Cluster:
    """Create a cluster whose endpoints are delivered by EDS under the cluster's name."""
    return cluster_pb2.Cluster(
        name=name,
        type="EDS",
        lb_policy="ROUND_ROBIN",
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(
            eds_config=_aggregated_source(), service_name=name
        ),
    )


def cluster(plan: Plan, proxyless: bool) -> cluster_pb2.Cluster:
    """Create a service's cluster with its limits."""
    message = eds_cluster(plan.service)
    message.circuit_breakers.thresholds.append(_thresholds(plan))
    if proxyless:
        # gRPC clients report load only with this. An Envoy has the LRS server in its bootstrap.
        message.lrs_server.self.SetInParent()
        return message
    if plan.outlier_detection is not None:
        _fill_outlier_detection(message.outlier_detection, plan.outlier_detection)
    if plan.slow_start is not None:
        slow_start = message.round_robin_lb_config.slow_start_config
        slow_start.slow_start_window.CopyFrom(_duration(plan.slow_start.window))
        slow_start.min_weight_percent.value = plan.slow_start.min_weight_percent
    return message


def _thresholds(plan: Plan) -> circuit_breaker_pb2.CircuitBreakers.Thresholds:
    message = circuit_breaker_pb2.CircuitBreakers.Thresholds()
    message.max_requests.value = plan.max_requests
    if plan.retry_budget is not None:
        # Envoy's budget is a percentage of active requests with a minimum count, not a rate. With
        # a minimum of 0, a service with little traffic could not retry any request.
        message.retry_budget.budget_percent.value = 100.0 * plan.retry_budget.part
        message.retry_budget.min_retry_concurrency.value = max(int(plan.retry_budget.floor), 1)
    return message


def _fill_outlier_detection(
    message: outlier_detection_pb2.OutlierDetection, plan: OutlierDetection
) -> None:
    """Enable ejection by consecutive errors only; the Balancer has no rule on success rates."""
    message.consecutive_5xx.value = plan.consecutive_errors
    message.base_ejection_time.CopyFrom(_duration(plan.base_ejection_time))
    message.max_ejection_time.CopyFrom(_duration(plan.max_ejection_time))
    message.max_ejection_percent.value = plan.max_ejection_percent
    message.enforcing_success_rate.value = 0
    message.enforcing_failure_percentage.value = 0


def cluster_load_assignment(
    service: str, localities: Sequence[Locality]
) -> endpoint_pb2.ClusterLoadAssignment:
    """Create a service's endpoints, grouped by locality."""
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=service)
    for locality in localities:
        locality_endpoints = message.endpoints.add(priority=locality.priority)
        locality_endpoints.locality.zone = locality.zone
        locality_endpoints.locality.sub_zone = locality.sub_zone
        locality_endpoints.load_balancing_weight.value = locality.weight
        for endpoint in locality.endpoints:
            added = locality_endpoints.lb_endpoints.add(health_status=_health_status(endpoint))
            added.endpoint.address.socket_address.address = endpoint.host
            added.endpoint.address.socket_address.port_value = endpoint.port
            added.load_balancing_weight.value = endpoint.weight
    return message


def _health_status(endpoint: Endpoint) -> str:
    if endpoint.draining:
        return "DRAINING"
    return "HEALTHY" if endpoint.healthy else "UNHEALTHY"


def socket_listener(listen: tuple[str, int]) -> listener_pb2.Listener:
    """Create the listener of an Envoy: one address for all services."""
    message = listener_pb2.Listener(name=LISTENER_NAME)
    message.address.socket_address.address, message.address.socket_address.port_value = listen
    chain = message.filter_chains.add()
    http = chain.filters.add(name="envoy.filters.network.http_connection_manager")
    http.typed_config.Pack(_connection_manager(ROUTES_NAME), deterministic=True)
    return message


def api_listener(host: str, routes_name: str) -> listener_pb2.Listener:
    """Create the listener of a proxyless client for the host that it calls as `xds:///HOST`."""
    message = listener_pb2.Listener(name=host)
    message.api_listener.api_listener.Pack(_connection_manager(routes_name), deterministic=True)
    return message


def _connection_manager(routes_name: str) -> manager_pb2.HttpConnectionManager:
    router = any_pb2.Any()
    router.Pack(router_pb2.Router(), deterministic=True)
    return manager_pb2.HttpConnectionManager(
        stat_prefix=ROUTES_NAME,
        rds=manager_pb2.Rds(config_source=_aggregated_source(), route_config_name=routes_name),
        http_filters=[manager_pb2.HttpFilter(name="router", typed_config=router)],
    )


def route_configuration(
    name: str, plans: Sequence[Plan], kind: ProxyKind, domains: Sequence[str] | None = None
) -> configuration_pb2.RouteConfiguration:
    """Create a route configuration with one virtual host for each service.

    `domains` replaces the services' own hosts.
    """
    return configuration_pb2.RouteConfiguration(
        name=name, virtual_hosts=[_virtual_host(plan, kind, domains) for plan in plans]
    )


def _virtual_host(
    plan: Plan, kind: ProxyKind, domains: Sequence[str] | None
) -> route_pb2.VirtualHost:
    return route_pb2.VirtualHost(
        name=plan.service,
        domains=domains or plan.hosts,
        routes=[_route(route, plan.service, kind) for route in plan.routes],
    )


def _route(plan: RoutePlan, cluster_name: str, kind: ProxyKind) -> route_pb2.Route:
    message = route_pb2.Route(name=plan.name, match=_match(plan.pattern))
    if plan.methods:
        # A single matcher for all methods, because a route requires all its matchers to match.
        methods = "|".join(re.escape(method.decode()) for method in sorted(plan.methods))
        message.match.headers.add(name=":method").string_match.safe_regex.regex = methods
    policy = plan.policy
    if policy is None:
        if kind.proxyless:
            message.non_forwarding_action.SetInParent()
        else:
            message.direct_response.status = DENIED_STATUS
        return message
    message.route.cluster = cluster_name
    if policy.timeout:
        timeout = _duration(policy.timeout)
        message.route.timeout.CopyFrom(timeout)
        message.route.max_stream_duration.max_stream_duration.CopyFrom(timeout)
    if plan.retry_on or plan.hedge_after:
        _fill_retry_policy(message.route, plan, policy, kind)
    return message


def _fill_retry_policy(
    message: route_pb2.RouteAction, plan: RoutePlan, policy: Policy, kind: ProxyKind
) -> None:
    retry = message.retry_policy
    conditions = [ENVOY_RETRY_ON[condition] for condition in plan.retry_on]
    retry.retry_on = "unavailable" if kind.proxyless else ",".join(conditions)
    retry.num_retries.value = plan.max_retries
    if policy.attempt_timeout and not kind.proxyless:
        retry.per_try_timeout.CopyFrom(_duration(policy.attempt_timeout))
    if plan.hedge_after:
        # At the timeout the next attempt starts while this one continues; the first response wins.
        retry.per_try_timeout.CopyFrom(_duration(plan.hedge_after))
        message.hedge_policy.hedge_on_per_try_timeout = True
    if policy.backoff_base:
        retry.retry_back_off.base_interval.CopyFrom(_duration(policy.backoff_base))
        retry.retry_back_off.max_interval.CopyFrom(_duration(policy.max_backoff))


def _match(pattern: Pattern) -> route_pb2.RouteMatch:
    if pattern.prefix and not pattern.segments:
        return route_pb2.RouteMatch(prefix="/")
    if not pattern.prefix and None not in pattern.segments:
        return route_pb2.RouteMatch(path=str(pattern))
    # RE2 syntax. Envoy's plain prefix match would also match in the middle of a segment.
    segments = (
        "[^/]+" if segment is None else re.escape(segment.decode()) for segment in pattern.segments
    )
    message = route_pb2.RouteMatch()
    message.safe_regex.regex = "/" + "/".join(segments) + ("(/.*)?" if pattern.prefix else "")
    return message

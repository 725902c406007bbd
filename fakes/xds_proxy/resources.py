"""The four xDS resources, as far as a scripted proxy looks into them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as manager_pb2,
)

PREFIX = "type.googleapis.com/envoy.config."
TYPE_URLS = {
    "cluster": PREFIX + "cluster.v3.Cluster",
    "endpoints": PREFIX + "endpoint.v3.ClusterLoadAssignment",
    "listener": PREFIX + "listener.v3.Listener",
    "routes": PREFIX + "route.v3.RouteConfiguration",
}
KINDS = {url: kind for kind, url in TYPE_URLS.items()}
WILDCARD_KINDS = ("cluster", "listener")  # subscribed to as a whole, without names
# What is subscribed to by name, and which resources name it.
NAMED_BY = {"endpoints": "cluster", "routes": "listener"}


@dataclass(slots=True)
class Resource:
    """One accepted resource."""

    version: str
    references: frozenset[str] = frozenset()  # names of the resources that it needs
    servers: dict[str, list[Any]] = field(default_factory=dict)  # address: [weight, health]
    body: bytes = b""  # endpoints that are not decoded, in place of `servers`


Decoded = tuple[str, Resource]  # with its name


def decode_resource(kind: str, body: Any, version: str, light: bool) -> Decoded:
    """A resource and its name; a light proxy does not decode endpoints further."""
    if kind == "endpoints" and light:
        assignment = endpoint_pb2.ClusterLoadAssignment.FromString(body.value)
        return assignment.cluster_name, Resource(version, body=body.value)
    return _DECODERS[kind](body.value, version)


def _decode_cluster(data: bytes, version: str) -> Decoded:
    cluster = cluster_pb2.Cluster.FromString(data)
    return cluster.name, Resource(version, frozenset([cluster.eds_cluster_config.service_name]))


def _decode_endpoints(data: bytes, version: str) -> Decoded:
    assignment = endpoint_pb2.ClusterLoadAssignment.FromString(data)
    servers: dict[str, list[Any]] = {}
    for locality in assignment.endpoints:
        for endpoint in locality.lb_endpoints:
            address = endpoint.endpoint.address.socket_address
            servers[f"{address.address}:{address.port_value}"] = [
                endpoint.load_balancing_weight.value,
                endpoint.health_status,
            ]
    return assignment.cluster_name, Resource(version, servers=servers)


def _decode_listener(data: bytes, version: str) -> Decoded:
    listener = listener_pb2.Listener.FromString(data)
    chain = listener.filter_chains[0].filters[0].typed_config
    manager = manager_pb2.HttpConnectionManager.FromString(chain.value)
    return listener.name, Resource(version, frozenset([manager.rds.route_config_name]))


def _decode_routes(data: bytes, version: str) -> Decoded:
    routes = route_pb2.RouteConfiguration.FromString(data)
    clusters = {route.route.cluster for host in routes.virtual_hosts for route in host.routes}
    return routes.name, Resource(version, frozenset(clusters - {""}))


_DECODERS: dict[str, Callable[[bytes, str], Decoded]] = {
    "cluster": _decode_cluster,
    "endpoints": _decode_endpoints,
    "listener": _decode_listener,
    "routes": _decode_routes,
}

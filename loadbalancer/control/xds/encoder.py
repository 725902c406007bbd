"""Encodes plans as snapshots of xDS resources, serialized once for all proxies of a group."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from google.protobuf import any_pb2, message

from loadbalancer.control.xds import resource_messages as messages
from loadbalancer.core.xds.endpoint_plan import Locality
from loadbalancer.core.xds.plan import Plan
from loadbalancer.core.xds.snapshot import (
    Resource,
    ResourceType,
    Snapshot,
    make_resource,
    make_snapshot,
)
from loadbalancer.core.xds.target_proxies import ProxyKind

Resources = dict[ResourceType, Sequence[Resource]]


def _packed(body: message.Message) -> bytes:
    """Serialize a resource as an `Any`; equal content gives equal bytes."""
    wrapped = any_pb2.Any()
    wrapped.Pack(body, deterministic=True)
    return bytes(wrapped.SerializeToString(deterministic=True))


def _serialized(name: str, body: message.Message, references: Sequence[str] = ()) -> Resource:
    return make_resource(name, _packed(body), references)


def stub_cluster(name: str) -> Resource:
    """Create a cluster of which only the name is known.

    It is for a proxy that has a cluster which this service does not have.
    """
    return _serialized(name, messages.eds_cluster(name), [name])


class Encoder:
    """Builds the snapshots of one group of proxies, reusing serialized resources."""

    __slots__ = ("_endpoints", "_kind", "_listen", "_snapshot", "_without_endpoints")

    def __init__(self, kind: ProxyKind, listen: tuple[str, int]) -> None:
        """`listen` is the address on which an Envoy is told to listen."""
        self._kind = kind
        self._listen = listen
        self._endpoints: dict[str, tuple[tuple[Locality, ...], Resource]] = {}
        self._without_endpoints: tuple[Plan, ...] = ()
        self._snapshot: Snapshot | None = None

    def build(self, plans: Sequence[Plan]) -> Snapshot:
        """Build the snapshot of `plans`; return the previous object if nothing has changed."""
        endpoints = [self._endpoints_resource(plan) for plan in plans]
        self._endpoints = {plan.service: self._endpoints[plan.service] for plan in plans}
        # A change of servers affects only endpoints, so the other resources can be reused.
        without_endpoints = tuple(replace(plan, localities=()) for plan in plans)
        old = self._snapshot
        if old is not None and without_endpoints == self._without_endpoints:
            before = old.of_type(ResourceType.ENDPOINTS)
            if all(before.get(resource.name) is resource for resource in endpoints):
                return old
            resources: Resources = {
                resource_type: tuple(old.of_type(resource_type).values())
                for resource_type in ResourceType
            }
        else:
            resources = self._other_resources(plans)
        self._without_endpoints = without_endpoints
        self._snapshot = make_snapshot(resources | {ResourceType.ENDPOINTS: endpoints})
        return self._snapshot

    def _endpoints_resource(self, plan: Plan) -> Resource:
        old = self._endpoints.get(plan.service)
        if old is not None and old[0] == plan.localities:
            return old[1]
        body = messages.cluster_load_assignment(plan.service, plan.localities)
        resource = _serialized(plan.service, body)
        if old is not None and old[1] == resource:
            resource = old[1]
        self._endpoints[plan.service] = (plan.localities, resource)
        return resource

    def _other_resources(self, plans: Sequence[Plan]) -> Resources:
        """Serialize clusters, routes and listeners."""
        clusters = [
            _serialized(plan.service, messages.cluster(plan, self._kind.proxyless), [plan.service])
            for plan in plans
        ]
        if self._kind.proxyless:
            routes, listeners = self._by_host(plans)
        else:
            services = [plan.service for plan in plans]
            body = messages.route_configuration(messages.ROUTES_NAME, plans, self._kind)
            routes = [_serialized(messages.ROUTES_NAME, body, services)]
            listener = messages.socket_listener(self._listen)
            listeners = [_serialized(messages.LISTENER_NAME, listener, [messages.ROUTES_NAME])]
        return {
            ResourceType.CLUSTER: clusters,
            ResourceType.ROUTES: routes,
            ResourceType.LISTENER: listeners,
        }

    def _by_host(self, plans: Sequence[Plan]) -> tuple[list[Resource], list[Resource]]:
        """Serialize each service's routes, and an API listener for each of its exact hosts."""
        routes, listeners = [], []
        for plan in plans:
            body = messages.route_configuration(plan.service, [plan], self._kind, ["*"])
            routes.append(_serialized(plan.service, body, [plan.service]))
            for host in plan.hosts:
                if "*" not in host:
                    listener = messages.api_listener(host, plan.service)
                    listeners.append(_serialized(host, listener, [plan.service]))
        return routes, listeners

"""Which resources a proxy is to have next, so that it never refers to one it lacks.

The order is that of ADS: clusters, then their endpoints, then the route configurations that
refer to the clusters; removals come last. No progress of a change is stored: at every
event, what the proxy has acknowledged is compared with the snapshot, so that a broken stream, a
NACK or a newer snapshot in the middle of a change needs no special case.

Source: the xDS protocol, v3, "eventual consistency considerations".
"""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.core.xds.snapshot import (
    FULL_STATE_TYPES,
    Resource,
    ResourcesByName,
    ResourceType,
    Snapshot,
)
from loadbalancer.core.xds.subscription import Subscription

Subscriptions = Mapping[ResourceType, Subscription]


def desired_resources(
    subscription: Subscription, snapshot: Snapshot, subscriptions: Subscriptions, resuming: bool
) -> ResourcesByName:
    """What the proxy is to have next of a subscription's type.

    Args:
        subscription: the one to decide for.
        snapshot: what the proxy is to have in the end.
        subscriptions: all of this stream, by type.
        resuming: the proxy has clusters from an earlier stream and has not subscribed to
            routes yet, which may refer to them.
    """
    resources = snapshot.of_type(subscription.resource_type)
    names = subscription.resource_names
    desired: ResourcesByName = {}
    for name in resources.keys() | names if subscription.wildcard else names:
        found = resources.get(name)
        if _must_wait(subscription.resource_type, found, snapshot, subscriptions):
            acked = subscription.acked.get(name)
            if found is not None and acked is None:
                continue
            found = acked
        desired[name] = found
    if subscription.resource_type is ResourceType.CLUSTER and not _routes_replaced(
        snapshot, subscriptions, resuming
    ):
        for name, cluster in subscription.acked_resources().items():
            if desired.get(name) is None:
                desired[name] = cluster  # old routes may still refer to it
    return desired


def _must_wait(
    resource_type: ResourceType,
    resource: Resource | None,
    snapshot: Snapshot,
    subscriptions: Subscriptions,
) -> bool:
    """Whether a resource, or its removal where it is None, may not be sent yet."""
    if resource is None:
        # Not removed while a cluster that refers to it is in place.
        if resource_type in FULL_STATE_TYPES:
            return False
        return not _clusters_removed(snapshot, subscriptions)
    if resource_type is not ResourceType.ROUTES:
        return False
    return not _has_references(resource, snapshot, subscriptions)


def _has_references(routes: Resource, snapshot: Snapshot, subscriptions: Subscriptions) -> bool:
    """Whether the proxy has all clusters that these routes refer to, and their endpoints.

    This matters only for a proxy that gets every cluster. One that subscribes to clusters by
    name learns the names from the routes, and uses its old routes until it has the clusters.
    """
    clusters = subscriptions.get(ResourceType.CLUSTER)
    if clusters is None or not clusters.wildcard:
        return True
    endpoints = subscriptions.get(ResourceType.ENDPOINTS)
    for name in routes.references:
        if not clusters.retains(name):
            return False
        for assignment in snapshot.of_type(ResourceType.CLUSTER)[name].references:
            if endpoints is None or not endpoints.retains(assignment):
                return False
    return True


def _routes_replaced(snapshot: Snapshot, subscriptions: Subscriptions, resuming: bool) -> bool:
    """Whether the proxy has no routes of an older snapshot any more, nor are any under way."""
    routes = subscriptions.get(ResourceType.ROUTES)
    if routes is None:
        return not resuming
    current = snapshot.of_type(ResourceType.ROUTES)
    return routes.pending is None and all(
        current.get(name) == acked for name, acked in routes.acked_resources().items()
    )


def _clusters_removed(snapshot: Snapshot, subscriptions: Subscriptions) -> bool:
    """Whether the proxy has no cluster any more that the snapshot lacks."""
    clusters = subscriptions.get(ResourceType.CLUSTER)
    if clusters is None:
        return True
    current = snapshot.of_type(ResourceType.CLUSTER)
    return all(
        found is None or name in current
        for resources in (clusters.acked, clusters.pending or {})
        for name, found in resources.items()
    )

"""Type URLs of the xDS resource types."""

from __future__ import annotations

from loadbalancer.core.xds.snapshot import ResourceType

PREFIX = "type.googleapis.com/"
TYPE_URLS = {
    ResourceType.CLUSTER: PREFIX + "envoy.config.cluster.v3.Cluster",
    ResourceType.ENDPOINTS: PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment",
    ResourceType.LISTENER: PREFIX + "envoy.config.listener.v3.Listener",
    ResourceType.ROUTES: PREFIX + "envoy.config.route.v3.RouteConfiguration",
}
RESOURCE_TYPES = {url: resource_type for resource_type, url in TYPE_URLS.items()}

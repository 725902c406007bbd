"""Messages of the xDS protocol as plain records, for both variants of the protocol.

Source: envoy.service.discovery.v3 (DiscoveryRequest, DeltaDiscoveryRequest and their responses)
and envoy.admin.v3 (ClientResourceStatus).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from loadbalancer.core.errors import ProtocolError
from loadbalancer.core.xds.snapshot import Resource, ResourceType


class SubscriptionError(ProtocolError, ValueError):
    """A request beyond the bounds; the stream is to be ended with this text."""


@dataclass(frozen=True, slots=True)
class DiscoveryRequest:
    """A proxy's request, of either variant.

    Attributes:
        resource_type: the type it subscribes to.
        resource_names: state of the world: all names subscribed to; incremental: names added.
        unsubscribe: incremental: names removed from the subscription.
        response_nonce: of the response that this request answers; "" for none.
        error_detail: why that response was rejected (NACK); "" for an ACK.
        version_info: state of the world: the version accepted last.
        initial_resource_versions: incremental, first request of a type: what the proxy has
            from an earlier stream.
    """

    resource_type: ResourceType
    resource_names: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    response_nonce: str = ""
    error_detail: str = ""
    version_info: str = ""
    initial_resource_versions: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """One response to a proxy. Only the incremental variant has `removed_resources`."""

    resource_type: ResourceType
    version_info: str
    nonce: str
    resources: tuple[Resource, ...]
    removed_resources: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """A response that a proxy rejected: the versions that were new in it, and its reason."""

    resource_type: ResourceType
    versions: Mapping[str, str]
    error_detail: str


class ClientResourceStatus(IntEnum):
    """State of one resource at one proxy, by the names of envoy.admin.v3."""

    DOES_NOT_EXIST = 0  # subscribed to, and not in the snapshot
    REQUESTED = 1  # not acknowledged yet, or waits for what it depends on
    ACKED = 2
    NACKED = 3


@dataclass(frozen=True, slots=True)
class ResourceStatus:
    """One resource at one proxy: the version in question, and the proxy's reason of a NACK."""

    resource_type: ResourceType
    name: str
    version: str
    client_status: ClientResourceStatus
    error_detail: str = ""

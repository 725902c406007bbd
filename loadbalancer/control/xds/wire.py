"""Discovery requests decoded, and discovery responses encoded from serialised resources.

A generated message would parse and serialise every resource once more for every proxy: servers
times proxies. Here a response is the joined bytes that all proxies share and the few that
differ. protobuf's encoding allows this: fields may come in any order, and a message's bytes are
those of its fields.

Source: protobuf encoding; envoy.service.discovery.v3 DiscoveryResponse (version_info 1,
resources 2, type_url 4, nonce 5), DeltaDiscoveryResponse (system_version_info 1, resources 2,
type_url 4, nonce 5, removed_resources 6) and its Resource (version 1, resource 2, name 3).
"""

from __future__ import annotations

from collections import OrderedDict
from enum import IntEnum
from typing import Any

from loadbalancer.control.xds.type_urls import TYPE_URLS
from loadbalancer.core.xds.messages import DiscoveryRequest, DiscoveryResponse
from loadbalancer.core.xds.snapshot import Resource, ResourceType

MAX_SHARED = 256  # joined responses that are cached for the next proxy
LENGTH_DELIMITED = 2  # protobuf wire type
WIRE_TYPE_BITS = 3  # low bits of a field's tag, below its number
VARINT_BITS = 7
VARINT_MORE = 0x80


class ResponseField(IntEnum):
    """Field numbers of a response, the same in both variants."""

    VERSION = 1
    RESOURCES = 2
    TYPE_URL = 4
    NONCE = 5
    REMOVED = 6


class ResourceField(IntEnum):
    """Field numbers of a resource in the incremental variant."""

    VERSION = 1
    BODY = 2
    NAME = 3


_CacheKey = tuple[ResourceType, str, tuple[tuple[str, str], ...]]


def decode_request(resource_type: ResourceType, message: Any) -> DiscoveryRequest:
    """Decode a request of the state-of-the-world variant."""
    return DiscoveryRequest(
        resource_type,
        resource_names=tuple(message.resource_names),
        response_nonce=message.response_nonce,
        error_detail=_error_detail(message),
        version_info=message.version_info,
    )


def decode_delta_request(resource_type: ResourceType, message: Any) -> DiscoveryRequest:
    """Decode a request of the incremental variant."""
    return DiscoveryRequest(
        resource_type,
        resource_names=tuple(message.resource_names_subscribe),
        unsubscribe=tuple(message.resource_names_unsubscribe),
        response_nonce=message.response_nonce,
        error_detail=_error_detail(message),
        initial_resource_versions=dict(message.initial_resource_versions),
    )


def _error_detail(message: Any) -> str:
    if not message.HasField("error_detail"):
        return ""
    return message.error_detail.message or "refused"


def encode_varint(number: int) -> bytes:
    """Base 128, least significant group first."""
    out = bytearray()
    while number >= VARINT_MORE:
        out.append(number & (VARINT_MORE - 1) | VARINT_MORE)
        number >>= VARINT_BITS
    out.append(number)
    return bytes(out)


def encode_field(number: int, body: bytes) -> bytes:
    """A length-delimited field."""
    return (
        encode_varint(number << WIRE_TYPE_BITS | LENGTH_DELIMITED) + encode_varint(len(body)) + body
    )


class ResponseEncoder:
    """Responses of one variant as bytes; the part that proxies share is joined once.

    `joined` counts the responses that were not cached.
    """

    __slots__ = ("_incremental", "_shared", "joined")

    def __init__(self, incremental: bool) -> None:
        self._incremental = incremental
        self._shared: OrderedDict[_CacheKey, bytes] = OrderedDict()
        self.joined = 0

    def encode(self, response: DiscoveryResponse) -> bytes:
        """One DiscoveryResponse or DeltaDiscoveryResponse."""
        resources = tuple((resource.name, resource.version) for resource in response.resources)
        key = (response.resource_type, response.version_info, resources)
        shared = self._shared.get(key)
        if shared is None:
            self.joined += 1
            shared = self._shared[key] = self._join(response)
            if len(self._shared) > MAX_SHARED:
                self._shared.popitem(last=False)
        else:
            self._shared.move_to_end(key)
        nonce = encode_field(ResponseField.NONCE, response.nonce.encode())
        removed = b"".join(
            encode_field(ResponseField.REMOVED, name.encode())
            for name in response.removed_resources
        )
        return shared + nonce + removed

    def _join(self, response: DiscoveryResponse) -> bytes:
        type_url = TYPE_URLS[response.resource_type]
        encode_resource = _named_resource if self._incremental else _bare_resource
        return b"".join(
            (
                encode_field(ResponseField.VERSION, response.version_info.encode()),
                encode_field(ResponseField.TYPE_URL, type_url.encode()),
                *(
                    encode_field(ResponseField.RESOURCES, encode_resource(resource))
                    for resource in response.resources
                ),
            )
        )


def _bare_resource(resource: Resource) -> bytes:
    return resource.body


def _named_resource(resource: Resource) -> bytes:
    version = encode_field(ResourceField.VERSION, resource.version.encode())
    name = encode_field(ResourceField.NAME, resource.name.encode())
    return version + name + encode_field(ResourceField.BODY, resource.body)

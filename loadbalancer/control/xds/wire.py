"""Decodes discovery requests, and encodes discovery responses from serialized resources.

With protobuf's generated classes, every resource would be parsed and serialized again for every
proxy, at a cost of servers times proxies. Instead, the part of a response that is the same for all
proxies is encoded once and cached, and the few fields that differ are appended. Protobuf allows
this: fields may come in any order, and a message is the concatenation of its encoded fields.

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

MAX_CACHED_RESPONSES = 256  # shared parts of responses
LENGTH_DELIMITED = 2  # protobuf wire type
WIRE_TYPE_BITS = 3  # low bits of a field's tag; the field number is above them
VARINT_BITS = 7
VARINT_CONTINUATION = 0x80  # set in every byte of a varint but the last


class ResponseField(IntEnum):
    """Field numbers of a response; the same in both variants of the protocol."""

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
    """Encode a non-negative integer in base 128, least significant group first."""
    encoded = bytearray()
    while number >= VARINT_CONTINUATION:
        encoded.append(number & (VARINT_CONTINUATION - 1) | VARINT_CONTINUATION)
        number >>= VARINT_BITS
    encoded.append(number)
    return bytes(encoded)


def encode_field(number: int, body: bytes) -> bytes:
    """Encode a length-delimited field."""
    return (
        encode_varint(number << WIRE_TYPE_BITS | LENGTH_DELIMITED) + encode_varint(len(body)) + body
    )


class ResponseEncoder:
    """Encodes responses of one protocol variant, caching the part that proxies have in common.

    `cache_misses` counts the responses whose common part was not cached.
    """

    __slots__ = ("_cache", "_incremental", "cache_misses")

    def __init__(self, incremental: bool) -> None:
        self._incremental = incremental
        self._cache: OrderedDict[_CacheKey, bytes] = OrderedDict()
        self.cache_misses = 0

    def encode(self, response: DiscoveryResponse) -> bytes:
        """Encode a DiscoveryResponse or DeltaDiscoveryResponse."""
        resources = tuple((resource.name, resource.version) for resource in response.resources)
        key = (response.resource_type, response.version_info, resources)
        shared = self._cache.get(key)
        if shared is None:
            self.cache_misses += 1
            shared = self._cache[key] = self._encode_shared_part(response)
            if len(self._cache) > MAX_CACHED_RESPONSES:
                self._cache.popitem(last=False)
        else:
            self._cache.move_to_end(key)
        nonce = encode_field(ResponseField.NONCE, response.nonce.encode())
        removed = b"".join(
            encode_field(ResponseField.REMOVED, name.encode())
            for name in response.removed_resources
        )
        return shared + nonce + removed

    def _encode_shared_part(self, response: DiscoveryResponse) -> bytes:
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

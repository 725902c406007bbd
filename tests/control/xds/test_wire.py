"""Tests that responses joined from serialized resources decode as the generated messages."""

from __future__ import annotations

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from loadbalancer.control.xds.type_urls import TYPE_URLS
from loadbalancer.control.xds.wire import ResponseEncoder
from loadbalancer.core.xds.messages import DiscoveryResponse
from loadbalancer.core.xds.snapshot import ResourceType, make_resource


@pytest.mark.parametrize("incremental", [False, True])
def test_a_response_is_cached_and_decodes_as_the_generated_message(incremental: bool) -> None:
    encoder = ResponseEncoder(incremental)
    body = any_pb2.Any(
        type_url=TYPE_URLS[ResourceType.ENDPOINTS], value=b"x" * 300
    ).SerializeToString()
    row = make_resource("topup", body)
    message = (
        discovery_pb2.DeltaDiscoveryResponse if incremental else discovery_pb2.DiscoveryResponse
    )
    for nonce in ("1", "2", "3"):
        removed = ("a", "b") if incremental else ()
        response = DiscoveryResponse(ResourceType.ENDPOINTS, "v", nonce, (row,), removed)
        decoded = message.FromString(encoder.encode(response))
        assert (decoded.nonce, decoded.type_url) == (nonce, TYPE_URLS[ResourceType.ENDPOINTS])
        (found,) = decoded.resources
        if incremental:
            assert list(decoded.removed_resources) == ["a", "b"]
            assert (found.name, found.version) == ("topup", row.version)
        assert (found.resource if incremental else found).value == b"x" * 300
    assert encoder.cache_misses == 1

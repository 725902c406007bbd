"""Responses joined from serialised resources read as the published messages."""

from __future__ import annotations

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from loadbalancer.control.xds.type_urls import TYPE_URLS
from loadbalancer.control.xds.wire import ResponseEncoder
from loadbalancer.core.xds.messages import DiscoveryResponse
from loadbalancer.core.xds.snapshot import ResourceType, make_resource


@pytest.mark.parametrize("incremental", [False, True])
def test_an_answer_is_joined_once_and_reads_as_the_published_message(incremental: bool) -> None:
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
        read = message.FromString(encoder.encode(response))
        assert (read.nonce, read.type_url) == (nonce, TYPE_URLS[ResourceType.ENDPOINTS])
        (found,) = read.resources
        if incremental:
            assert list(read.removed_resources) == ["a", "b"]
            assert (found.name, found.version) == ("topup", row.version)
        assert (found.resource if incremental else found).value == b"x" * 300
    assert encoder.joined == 1

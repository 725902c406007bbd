"""Tests of a stream's response queue and requests, without a connection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any, cast

import grpc
import pytest
from envoy.service.discovery.v3 import discovery_pb2

from loadbalancer.control.xds.proxy_identity import ProxyGroup, ProxyIdentity
from loadbalancer.control.xds.stream import DiscoveryStream
from loadbalancer.core.xds.messages import DiscoveryResponse
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import ResourceType
from loadbalancer.core.xds.target_proxies import ProxyKind


def test_the_queue_is_limited_for_a_proxy_that_guesses_nonces_and_reads_nothing() -> None:
    stream = DiscoveryStream(ProxyIdentity("p1", ProxyGroup(ProxyKind.ENVOY, "")), Session(False))
    for i in range(100):
        stream.enqueue([DiscoveryResponse(kind, str(i), str(i), ()) for kind in ResourceType])
    assert [(r.resource_type, r.nonce) for r in stream.unsent] == [
        (kind, "99") for kind in ResourceType
    ]


@pytest.mark.parametrize("incremental", [False, True])
def test_a_request_for_an_unknown_type_ends_the_stream_with_invalid_argument(
    incremental: bool,
) -> None:
    message = discovery_pb2.DeltaDiscoveryRequest if incremental else discovery_pb2.DiscoveryRequest
    request = message(type_url="type.googleapis.com/some.Other")

    async def no_more() -> AsyncIterator[Any]:
        return
        yield

    # The request is rejected before identity or session is used.
    stream = DiscoveryStream(cast(Any, None), cast(Any, None))
    termination = asyncio.run(stream.read(request, no_more(), incremental))
    assert termination is not None
    assert termination.code is grpc.StatusCode.INVALID_ARGUMENT
    assert "some.Other" in termination.details

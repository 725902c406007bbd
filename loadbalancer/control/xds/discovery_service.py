"""The xDS discovery services over grpc.aio: the aggregated one (ADS), and one for each type."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
from envoy.service.discovery.v3 import discovery_pb2

from loadbalancer.control.xds.file import TlsConfig
from loadbalancer.control.xds.proxies import MAX_GROUPS, ConnectedProxies
from loadbalancer.control.xds.proxy_identity import ProxyIdentity, RejectedProxyError, identify
from loadbalancer.control.xds.stream import DiscoveryStream
from loadbalancer.control.xds.stream_limits import first_request
from loadbalancer.control.xds.wire import ResponseEncoder
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.pacing import StreamPacer
from loadbalancer.core.xds.snapshot import ResourceType

logger = logging.getLogger(__name__)

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
# For each type: its service, and the plural in its method names (StreamClusters, ...).
SERVICES_BY_TYPE = {
    ResourceType.CLUSTER: ("cluster.v3.ClusterDiscoveryService", "Clusters"),
    ResourceType.ENDPOINTS: ("endpoint.v3.EndpointDiscoveryService", "Endpoints"),
    ResourceType.LISTENER: ("listener.v3.ListenerDiscoveryService", "Listeners"),
    ResourceType.ROUTES: ("route.v3.RouteDiscoveryService", "Routes"),
}
MAX_STREAMS = 2000
CLOSE_TIMEOUT_S = 1.0  # for the response that is being written when a stream is terminated
RESUMPTION_TIMEOUT_S = 5.0  # for a reconnected proxy to subscribe to its routes
MAX_LOGGED_ID = 100  # characters
NEW_STREAMS_PER_S = 500
NEW_STREAMS_BURST = 100
MAX_NEW_STREAM_WAIT_NS = 10 * SECOND


class DiscoveryService:
    """Serves discovery streams.

    Args:
        proxies: the registry of connected proxies.
        on_change: called when a proxy connects or disconnects.
        tls: None for no TLS.
    """

    def __init__(
        self,
        proxies: ConnectedProxies,
        on_change: Callable[[], None],
        tls: TlsConfig | None = None,
    ) -> None:
        self._proxies = proxies
        self._on_change = on_change
        self._tls = tls
        self._encoder = ResponseEncoder(incremental=False)
        self._delta_encoder = ResponseEncoder(incremental=True)
        self._pacer = StreamPacer(NEW_STREAMS_PER_S, NEW_STREAMS_BURST, MAX_NEW_STREAM_WAIT_NS)
        self._open = 0  # open streams, including those without a request yet

    def handlers(self) -> tuple[Any, ...]:
        """Return the gRPC handlers of the aggregated service and of the services for each type."""
        by_type = (
            self._handler(f"envoy.service.{name}", methods, resource_type)
            for resource_type, (name, methods) in SERVICES_BY_TYPE.items()
        )
        return (self._handler(SERVICE, "AggregatedResources", None), *by_type)

    def _handler(self, service: str, methods: str, only: ResourceType | None) -> Any:
        """Create the handler of both variants of a discovery service.

        `only` is its resource type; None for the aggregated service.
        """

        async def state_of_the_world(requests: AsyncIterator[Any], context: Any) -> None:
            await self._serve(requests, context, incremental=False, only=only)

        async def incremental(requests: AsyncIterator[Any], context: Any) -> None:
            await self._serve(requests, context, incremental=True, only=only)

        # Without a serializer, because responses are already serialized.
        return grpc.method_handlers_generic_handler(
            service,
            {
                f"Stream{methods}": grpc.stream_stream_rpc_method_handler(
                    state_of_the_world, discovery_pb2.DiscoveryRequest.FromString, None
                ),
                f"Delta{methods}": grpc.stream_stream_rpc_method_handler(
                    incremental, discovery_pb2.DeltaDiscoveryRequest.FromString, None
                ),
            },
        )

    async def _serve(
        self,
        requests: AsyncIterator[Any],
        context: Any,
        incremental: bool,
        only: ResourceType | None,
    ) -> None:
        if self._open >= MAX_STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        self._open += 1
        try:
            first = await first_request(requests, context)
            if first is not None:
                identity = await self._admit(first, context)
                session = self._proxies.open_session(identity.group, incremental)
                stream = DiscoveryStream(identity, session, only)
                await self._run(stream, first, requests, context, incremental)
        finally:
            self._open -= 1

    async def _admit(self, first: Any, context: Any) -> ProxyIdentity:
        """Identify a proxy and apply the limits on new streams; a rejected proxy's stream ends."""
        try:
            identity = identify(first.node, context, self._tls)
        except RejectedProxyError as err:
            logger.info("proxy %r: rejected: %s", first.node.id[:MAX_LOGGED_ID], err)
            await context.abort(err.code, str(err))
            raise
        if not self._proxies.has_capacity_for(identity.group):
            text = f"more than {MAX_GROUPS} combinations of proxy kind and zone"
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)
        wait = self._pacer.reserve(time.monotonic_ns())
        if wait is None:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many new streams")
        if wait:
            await asyncio.sleep(wait / SECOND)
        return identity

    async def _run(
        self,
        stream: DiscoveryStream,
        first: Any,
        requests: AsyncIterator[Any],
        context: Any,
        incremental: bool,
    ) -> None:
        identity = stream.identity
        self._proxies.add(stream)
        zone = identity.group.zone or "-"
        logger.info(
            "proxy %s: connected, %s in zone %s", identity.node_id, identity.group.kind, zone
        )
        self._on_change()
        encoder = self._delta_encoder if incremental else self._encoder
        writer = asyncio.create_task(stream.write(context, encoder))
        resumption = asyncio.get_running_loop().call_later(
            RESUMPTION_TIMEOUT_S, lambda: stream.enqueue(stream.session.end_resumption())
        )
        try:
            termination = await stream.read(first, requests, incremental)
            if termination is not None:
                # Let the current write finish: ending the stream in the middle of a response
                # would corrupt the status.
                stream.close()
                await asyncio.wait((writer,), timeout=CLOSE_TIMEOUT_S)
                await context.abort(*termination)
        finally:
            resumption.cancel()
            writer.cancel()
            self._proxies.remove(stream)
            logger.info("proxy %s: disconnected", identity.node_id)
            self._on_change()

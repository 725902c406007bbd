"""One proxy's discovery stream: its session, and the queue of unsent responses."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import grpc

from loadbalancer.control.xds.client_status import MAX_ERROR_DETAIL
from loadbalancer.control.xds.proxy_identity import ProxyIdentity
from loadbalancer.control.xds.stream_limits import MAX_REQUESTS_PER_S, RequestRate
from loadbalancer.control.xds.type_urls import RESOURCE_TYPES
from loadbalancer.control.xds.wire import (
    ResponseEncoder,
    decode_delta_request,
    decode_request,
)
from loadbalancer.core.xds.messages import DiscoveryResponse, SubscriptionError
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import ResourceType

logger = logging.getLogger(__name__)

MAX_LOGGED_TYPE_URL = 200


class Termination(NamedTuple):
    """The gRPC status with which the service ends a stream."""

    code: grpc.StatusCode
    details: str


class DiscoveryStream:
    """One proxy's stream. `only` is its single resource type, None for an ADS stream."""

    def __init__(
        self, identity: ProxyIdentity, session: Session, only: ResourceType | None = None
    ) -> None:
        self.identity = identity
        self.session = session
        self.only = only
        # At most one response of each type: the session holds a newer one back until the older one
        # is acknowledged or rejected, and `enqueue` replaces an unsent one.
        self.unsent: list[DiscoveryResponse] = []
        self._changed = asyncio.Event()
        self._closing = False

    def enqueue(self, responses: list[DiscoveryResponse]) -> None:
        """Queue responses, replacing unsent ones of the same types.

        This limits the queue's memory. Otherwise a proxy that reads nothing, but acknowledges
        responses by guessing their nonces, would make the queue grow with each request.
        """
        if responses:
            newer = {response.resource_type for response in responses}
            self.unsent = [
                response for response in self.unsent if response.resource_type not in newer
            ] + responses
            self._changed.set()

    def close(self) -> None:
        """Stop writing after the response that is currently being written."""
        self._closing = True
        self._changed.set()

    def push_endpoints(self) -> None:
        """Send the latest endpoints now, without waiting for earlier ones to be acknowledged.

        They replace an unsent response, so that a slow reader gets them right after the data that
        is already in its buffers.
        """
        self.enqueue(self.session.push_endpoints())

    async def write(self, context: Any, encoder: ResponseEncoder) -> None:
        """Write queued responses until the stream is closed."""
        while not self._closing:
            await self._changed.wait()
            self._changed.clear()
            while self.unsent and not self._closing:
                await context.write(encoder.encode(self.unsent.pop(0)))

    async def read(
        self, first: Any, requests: AsyncIterator[Any], incremental: bool
    ) -> Termination | None:
        """Handle requests until the proxy ends the stream.

        Returns None then, or the status to end the stream with after an invalid request.
        """
        rate = RequestRate()
        message = first
        while message is not None:
            if rate.exceeded():
                text = f"more than {MAX_REQUESTS_PER_S} requests a second"
                return Termination(grpc.StatusCode.RESOURCE_EXHAUSTED, text)
            termination = self._handle_request(message, incremental)
            if termination is not None:
                return termination
            message = await anext(aiter(requests), None)
        return None

    def _handle_request(self, message: Any, incremental: bool) -> Termination | None:
        """Handle one request; return the status to end the stream with if it is invalid."""
        resource_type = self._resource_type(message.type_url)
        if resource_type is None:
            text = f"resource type {message.type_url[:MAX_LOGGED_TYPE_URL]!r} is not served"
            return Termination(grpc.StatusCode.INVALID_ARGUMENT, text)
        decode = decode_delta_request if incremental else decode_request
        request = decode(resource_type, message)
        try:
            self.enqueue(self.session.request(request))
        except SubscriptionError as err:
            return Termination(grpc.StatusCode.INVALID_ARGUMENT, str(err))
        if request.error_detail:
            logger.info(
                "proxy %s: rejected %s (NACK): %s",
                self.identity.node_id,
                resource_type.name.lower(),
                request.error_detail[:MAX_ERROR_DETAIL],
            )
        return None

    def _resource_type(self, type_url: str) -> ResourceType | None:
        """Return the type that a request is for, or None if this stream does not serve it.

        On a stream for a single type, requests may omit the type.
        """
        if not type_url and self.only is not None:
            return self.only
        resource_type = RESOURCE_TYPES.get(type_url)
        return resource_type if self.only in (None, resource_type) else None

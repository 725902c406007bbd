"""What a proxy sends over one stream, in either variant of the protocol."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from typing import Any, NamedTuple

from envoy.service.discovery.v3 import discovery_pb2

from fakes.xds_proxy.resources import TYPE_URLS, Resource

USER_AGENT_VERSION = "1.85.0"
RETAINED_NONCES = 3  # by type
UNKNOWN_TYPE_URL = "type.googleapis.com/some.Other"
INVALID_ARGUMENT = 3  # google.rpc.Code


class Identity(NamedTuple):
    """Who a proxy is to the service."""

    node_id: str
    agent: str
    zone: str


class Requests:
    """The requests of one stream, and what they depend on: subscriptions and nonces.

    `type_versions` is the proxy's own: of the state-of-the-world variant, and longer than a stream.
    """

    def __init__(
        self, identity: Identity, incremental: bool, type_versions: dict[str, str]
    ) -> None:
        self._identity = identity
        self._incremental = incremental
        self._type_versions = type_versions
        self._subscribed: dict[str, set[str]] = {}
        self._nonces: dict[str, list[str]] = {}
        self._queue: asyncio.Queue[Any] = asyncio.Queue()
        self._is_first = True

    async def messages(self) -> AsyncIterator[Any]:
        """All requests, as they come, until `end`."""
        while (message := await self._queue.get()) is not None:
            yield message

    def end(self) -> None:
        """Send nothing more."""
        self._queue.put_nowait(None)

    def is_subscribed(self, kind: str) -> bool:
        """Whether this type was subscribed to over this stream."""
        return kind in self._subscribed

    def subscribe(self, kind: str, names: set[str], retained: Mapping[str, Resource]) -> None:
        """Subscribe to exactly these; none stands for all clusters and listeners.

        Args:
            retained: what the proxy has of this type from the streams before.
        """
        old = self._subscribed.get(kind)
        if old == names:
            return
        self._subscribed[kind] = names
        if not self._incremental:
            nonce = self._nonces.get(kind, [""])[-1]
            version = self._type_versions.get(kind, "")
            self._put(
                kind, resource_names=sorted(names), response_nonce=nonce, version_info=version
            )
            return
        fields: dict[str, Any] = {
            "resource_names_subscribe": sorted(names - (old or set())),
            "resource_names_unsubscribe": sorted((old or set()) - names),
        }
        if old is None:
            versions = {name: resource.version for name, resource in retained.items()}
            fields["initial_resource_versions"] = versions
        self._put(kind, **fields)

    def note_nonce(self, kind: str, nonce: str) -> bool:
        """Remember a response's nonce; False where it came a moment ago already."""
        nonces = self._nonces.setdefault(kind, [])
        is_new = nonce not in nonces
        nonces.append(nonce)
        del nonces[:-RETAINED_NONCES]
        return is_new

    def answer(self, kind: str, nonce: str, error: str = "") -> None:
        """Acknowledge a response, or reject it for this reason."""
        fields: dict[str, Any] = {"response_nonce": nonce}
        if error:
            fields["error_detail"] = {"code": INVALID_ARGUMENT, "message": error}
        if not self._incremental:
            fields["resource_names"] = sorted(self._subscribed.get(kind, ()))
            fields["version_info"] = self._type_versions.get(kind, "")
        self._put(kind, **fields)

    def answer_with_stale_nonce(self, kind: str) -> None:
        """Answer the response before the last one again."""
        nonces = self._nonces[kind]
        if len(nonces) > 1:
            self.answer(kind, nonces[-2])

    def flood(self, count: int) -> None:
        """Send so many requests at once."""
        for _ in range(count):
            self._put("cluster")

    def subscribe_to_unknown_type(self) -> None:
        """Ask for a type that does not exist."""
        self._put(UNKNOWN_TYPE_URL)

    def _put(self, kind: str, **fields: Any) -> None:
        request = (
            discovery_pb2.DeltaDiscoveryRequest
            if self._incremental
            else discovery_pb2.DiscoveryRequest
        )
        message = request(type_url=TYPE_URLS.get(kind, kind), **fields)
        if self._is_first:
            self._is_first = False
            message.node.id = self._identity.node_id
            message.node.user_agent_name = self._identity.agent
            message.node.user_agent_version = USER_AGENT_VERSION
            message.node.locality.zone = self._identity.zone
        self._queue.put_nowait(message)

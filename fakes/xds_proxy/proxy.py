"""One scripted proxy: its streams, what it accepted, and whether that is consistent."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import grpc
from envoy.service.discovery.v3 import discovery_pb2

from fakes.xds_proxy.faults import Faults
from fakes.xds_proxy.requests import Identity, Requests
from fakes.xds_proxy.resources import (
    KINDS,
    NAMED_BY,
    TYPE_URLS,
    WILDCARD_KINDS,
    Resource,
    decode_resource,
)

SERVICE = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
MAX_MESSAGE_BYTES = 64 << 20
RECONNECT_DELAY_S = 0.01
INVENTED_NONCE = "never-seen"
REPORTED_VIOLATIONS = 5
CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),  # proxies share no connection
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
]


class Proxy:
    """One proxy, over one stream after another; what it accepted outlives them.

    `light`: endpoints are not decoded. `reconnects`: a stream that ends is followed by another.
    """

    def __init__(
        self,
        identity: Identity,
        address: str,
        incremental: bool,
        light: bool = False,
        reconnects: bool = False,
    ) -> None:
        self.identity = identity
        self.resources: dict[str, dict[str, Resource]] = {kind: {} for kind in TYPE_URLS}
        self.answered_at = 0.0  # when it last answered, in seconds of the monotonic clock
        self.changed = asyncio.Event()  # set with every message, and at a stream's end
        self._address = address
        self._incremental = incremental
        self._light = light
        self._reconnects = reconnects
        self._faults = Faults()
        self._type_versions: dict[str, str] = {}
        self._violations: list[str] = []
        self._message_count = 0
        self._byte_count = 0
        self._rejections = 0
        self._end_status = ""
        self._requests = self._new_requests()
        self._task: asyncio.Task[None] | None = None

    # ---- streams ---------------------------------------------------------------

    def connect(self) -> None:
        """Open a stream."""
        self._task = asyncio.create_task(self._run_streams())

    async def disconnect(self) -> None:
        """End the stream at once."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def set_faults(self, faults: Faults) -> None:
        """Break the protocol like this from now on."""
        self._faults = faults
        if faults.unknown_type:
            self._requests.subscribe_to_unknown_type()
        self._requests.flood(faults.flood)

    def _new_requests(self) -> Requests:
        return Requests(self.identity, self._incremental, self._type_versions)

    async def _run_streams(self) -> None:
        while True:
            self._requests = self._new_requests()
            self._end_status = ""
            await self._run_stream(self._requests)
            if not self._reconnects:
                return
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_stream(self, requests: Requests) -> None:
        response_type, variant = (
            (discovery_pb2.DeltaDiscoveryResponse, "Delta")
            if self._incremental
            else (discovery_pb2.DiscoveryResponse, "Stream")
        )
        async with grpc.aio.insecure_channel(self._address, options=CHANNEL_OPTIONS) as channel:
            method = channel.stream_stream(
                f"{SERVICE}{variant}AggregatedResources",
                lambda request: request.SerializeToString(),
                None,
            )
            stream = method(requests.messages(), wait_for_ready=True)
            self._subscribe_first()
            try:
                async for data in stream:
                    self._byte_count += len(data)
                    self._receive(response_type.FromString(data))
                    self.changed.set()
                    if self._faults.stops_reading:
                        await asyncio.Event().wait()
            except grpc.RpcError as err:
                self._end_status = err.code().name
            else:
                self._end_status = "OK"
            finally:
                requests.end()
                self.changed.set()

    def _subscribe_first(self) -> None:
        for kind in WILDCARD_KINDS:
            self._requests.subscribe(kind, set(), self.resources[kind])
        self._subscribe_to_named()  # what it has from the streams before names

    def _subscribe_to_named(self) -> None:
        """Subscribe to what is named now, and forget what no longer is, as proxies do."""
        for kind, naming in NAMED_BY.items():
            resources = self.resources[kind]
            names = {n for resource in self.resources[naming].values() for n in resource.references}
            if names or self._requests.is_subscribed(kind):
                self._requests.subscribe(kind, names, resources)
                self.resources[kind] = {n: r for n, r in resources.items() if n in names}

    # ---- responses --------------------------------------------------------------

    def _receive(self, response: Any) -> None:
        self._message_count += 1
        kind = KINDS[response.type_url]
        if not self._requests.note_nonce(kind, response.nonce):
            self._violations.append(f"nonce {response.nonce} came twice")
        received = self._decode(kind, response)
        if self._faults.rejected(kind, set(received)):
            self._rejections += 1
            self._answer(kind, response.nonce, f"{self._faults.nack} is not wanted here")
            return
        self._accept(kind, received, response)
        if self._faults.unanswered(kind):
            return
        if self._faults.stale_nonce:
            self._requests.answer_with_stale_nonce(kind)
        if self._faults.invented_nonce:
            self._requests.answer(kind, INVENTED_NONCE)
        self._answer(kind, response.nonce)
        self._subscribe_to_named()

    def _answer(self, kind: str, nonce: str, error: str = "") -> None:
        self._requests.answer(kind, nonce, error)
        self.answered_at = time.monotonic()

    def _decode(self, kind: str, response: Any) -> dict[str, Resource]:
        received: dict[str, Resource] = {}
        for item in response.resources:
            body, version = (
                (item.resource, item.version)
                if self._incremental
                else (item, response.version_info)
            )
            name, resource = decode_resource(kind, body, version, self._light)
            if name in received:
                self._violations.append(f"{kind} {name} twice in one message")
            received[name] = resource
        return received

    def _accept(self, kind: str, received: dict[str, Resource], response: Any) -> None:
        resources = self.resources[kind]
        if self._incremental:
            resources.update(received)
            for name in response.removed_resources:
                resources.pop(name, None)
        else:
            self._type_versions[kind] = response.version_info
            if kind in WILDCARD_KINDS:
                resources.clear()
            resources.update(received)
        self._check_consistency(kind)

    def _check_consistency(self, kind: str) -> None:
        """Note what is inconsistent after a message of this type.

        A cluster that is new waits for its endpoints, and a listener for its routes, before
        either is used: that is how proxies warm them. Routes are used at once.
        """
        clusters = self.resources["cluster"]
        for name, routes in self.resources["routes"].items():
            for cluster in routes.references:
                if cluster not in clusters:
                    self._violations.append(f"after {kind}: routes {name} name {cluster}, unknown")
                elif not clusters[cluster].references <= self.resources["endpoints"].keys():
                    self._violations.append(f"after {kind}: {cluster} without its endpoints")

    # ---- what a test sees ----------------------------------------------------------

    def has_applied(self, service: str, servers: dict[str, int], exactly: bool) -> bool:
        """Whether it has these servers with this health, and, if `exactly`, no others."""
        assignment = self.resources["endpoints"].get(service)
        if assignment is None:
            return False
        if exactly and assignment.servers.keys() != servers.keys():
            return False
        unknown = [0, -1]
        return all(
            assignment.servers.get(address, unknown)[1] == health
            for address, health in servers.items()
        )

    def has_endpoints_with(self, text: bytes) -> bool:
        """Whether endpoints that it has not decoded contain this text."""
        return any(text in r.body for r in self.resources["endpoints"].values())

    def state(self) -> dict[str, Any]:
        """All of it, for JSON."""
        return {
            "versions": {
                kind: {name: r.version for name, r in resources.items()}
                for kind, resources in self.resources.items()
            },
            "type_versions": self._type_versions,
            "servers": {name: r.servers for name, r in self.resources["endpoints"].items()},
            "violations": self._violations[:REPORTED_VIOLATIONS],
            "messages": self._message_count,
            "bytes": self._byte_count,
            "rejections": self._rejections,
            "end_status": self._end_status,
        }

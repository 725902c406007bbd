"""The discovery services over grpc.aio: sessions to streams and back."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

import grpc
from envoy.service.discovery.v3 import discovery_pb2

from loadbalancer.control.xds.encode import KINDS, stub_cluster
from loadbalancer.control.xds.file import TlsFile
from loadbalancer.control.xds.peers import (
    REQUESTS,
    Group,
    Peer,
    Rate,
    RejectedProxyError,
    first_request,
    identify,
)
from loadbalancer.control.xds.status import MAX_WORDS
from loadbalancer.control.xds.wire import Answers
from loadbalancer.core.xds.drains import AssignmentInUse
from loadbalancer.core.xds.history import History
from loadbalancer.core.xds.messages import (
    DiscoveryRequest,
    DiscoveryResponse,
    SubscriptionError,
)
from loadbalancer.core.xds.pacing import StreamPacer
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import ResourceType, Snapshot

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
SEPARATE = {
    ResourceType.CLUSTER: ("cluster.v3.ClusterDiscoveryService", "Clusters"),
    ResourceType.ENDPOINTS: ("endpoint.v3.EndpointDiscoveryService", "Endpoints"),
    ResourceType.LISTENER: ("listener.v3.ListenerDiscoveryService", "Listeners"),
    ResourceType.ROUTES: ("route.v3.RouteDiscoveryService", "Routes"),
}
MAX_STREAMS = 2000
MAX_GROUPS = 64  # kinds times zones; each holds a picture of its own
MAX_REQUEST = 4 << 20  # bytes
CLOSE_S = 1.0  # for a message that is being written when the stream is to be ended
PAST_S = 5.0  # for a proxy that comes back to tell of its routes
COMERS = 500  # new streams a second ...
AT_ONCE = 100  # ... after so many at once
LONGEST_WAIT = 10_000_000_000


class Stream:
    """One proxy's stream: its session and what is still to be written."""

    def __init__(self, peer: Peer, session: Session, only: ResourceType | None = None) -> None:
        self.peer = peer
        self.session = session
        self.only = only
        # At most one message of a kind: a newer one waits for the older's answer.
        self.unsent: list[DiscoveryResponse] = []
        self.ready = asyncio.Event()
        self.closing = False

    def put(self, replies: list[DiscoveryResponse]) -> None:
        if replies:
            # A proxy that acknowledges by guessed nonces and reads nothing gets more
            # than it reads: only the newest of a kind is kept for it.
            newer = {reply.resource_type for reply in replies}
            self.unsent = [
                reply for reply in self.unsent if reply.resource_type not in newer
            ] + replies
            self.ready.set()

    def close(self) -> None:
        """Write nothing after what is being written now."""
        self.closing = True
        self.ready.set()

    def press(self) -> None:
        """Tell the newest endpoints now, whatever was not answered or not even written.

        What still waits here to be written the proxy has never seen: it is dropped,
        so that a slow reader gets the newest behind what is in its buffers already.
        """
        self.put(self.session.push_endpoints())


class Streams:
    """All streams, and the picture that each group of proxies is to hold."""

    def __init__(
        self,
        log: Callable[[str], None],
        changed: Callable[[], None],
        build: Callable[[Group], Snapshot | None],
        tls: TlsFile | None = None,
    ) -> None:
        self.streams: set[Stream] = set()
        self._build = build  # for a group that has no picture yet; None while nothing is known
        self.pictures: dict[Group, Snapshot] = {}
        self._histories: dict[Group, History] = {}
        self._log = log
        self._changed = changed  # a proxy has come or gone
        self._tls = tls
        self._answers = (Answers(False), Answers(True))
        self._pacing = StreamPacer(COMERS, AT_ONCE, LONGEST_WAIT)
        self._open = 0  # streams that have begun, also those that said nothing yet

    def publish(self, pictures: Mapping[Group, Snapshot]) -> None:
        """Hand out new pictures; a proxy whose resources are the same is sent nothing."""
        changed = {g for g, p in pictures.items() if self.pictures.get(g) is not p}
        self.pictures = dict(pictures)
        for stream in self.streams:
            if stream.peer.group in changed:
                stream.put(stream.session.update(self.pictures[stream.peer.group]))

    def groups(self) -> set[Group]:
        """The groups that have proxies present."""
        return {stream.peer.group for stream in self.streams}

    def proxies(self) -> int:
        """How many proxies are present.

        One that has a stream for each type is one; two aggregated streams of one id
        are two proxies, or one that has come back before its old connection ended:
        counted twice each gets a smaller part of what all may have in flight.
        """
        counts: dict[str, Counter[ResourceType | None]] = {}
        for stream in self.streams:
            counts.setdefault(stream.peer.node, Counter())[stream.only] += 1
        return sum(
            count[None] + max((n for kind, n in count.items() if kind is not None), default=0)
            for count in counts.values()
        )

    def holdings(self, service: str) -> list[AssignmentInUse]:
        """Every set of a service's endpoints that some proxy may be acting on."""
        out = []
        for stream in self.streams:
            group = (stream.peer.group.kind.value, stream.peer.group.zone)
            for version in stream.session.possible_versions(ResourceType.ENDPOINTS).get(
                service, ()
            ):
                out.append(AssignmentInUse(stream.peer.node, group, version))
        return out

    def press(self, nodes: set[str]) -> None:
        """Tell these proxies the newest endpoints without waiting for their answers."""
        for stream in self.streams:
            if stream.peer.node in nodes:
                stream.press()

    def handlers(self) -> tuple[Any, ...]:
        """For grpc.aio's server: the aggregated service, and one for each type."""
        by_type = (
            self._discovery(f"envoy.service.{name}", plural, kind)
            for kind, (name, plural) in SEPARATE.items()
        )
        return (self._discovery(SERVICE, "AggregatedResources", None), *by_type)

    def _discovery(self, service: str, plural: str, only: ResourceType | None) -> Any:
        """Both variants of a discovery service, for one type of resource or for all."""

        async def whole(requests: AsyncIterator[Any], context: Any) -> None:
            await self._serve(requests, context, False, only)

        async def incremental(requests: AsyncIterator[Any], context: Any) -> None:
            await self._serve(requests, context, True, only)

        # Answers are bytes already: no serialiser.
        methods = {
            f"Stream{plural}": grpc.stream_stream_rpc_method_handler(
                whole, discovery_pb2.DiscoveryRequest.FromString, None
            ),
            f"Delta{plural}": grpc.stream_stream_rpc_method_handler(
                incremental, discovery_pb2.DeltaDiscoveryRequest.FromString, None
            ),
        }
        return grpc.method_handlers_generic_handler(service, methods)

    async def _serve(
        self, requests: AsyncIterator[Any], context: Any, delta: bool, only: ResourceType | None
    ) -> None:
        if self._open >= MAX_STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        self._open += 1
        try:
            first = await first_request(requests, context)
            if first is not None:
                peer = await self._admit(first, context)
                await self._run(peer, first, requests, context, delta, only)
        finally:
            self._open -= 1

    async def _admit(self, first: Any, context: Any) -> Peer:
        """Who it is, once it is its turn."""
        try:
            peer = identify(first.node, context, self._tls)
        except RejectedProxyError as err:
            self._log(f"proxy {first.node.id[:100]!r}: not served: {err}")
            await context.abort(err.code, str(err))
            raise
        if peer.group not in self._histories and len(self._histories) >= MAX_GROUPS:
            text = f"over {MAX_GROUPS} kinds and zones"
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)
        wait = self._pacing.reserve(time.monotonic_ns())
        if wait is None:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many come at once")
        if wait:
            await asyncio.sleep(wait / 1e9)
        return peer

    async def _run(
        self,
        peer: Peer,
        first: Any,
        requests: AsyncIterator[Any],
        context: Any,
        delta: bool,
        only: ResourceType | None,
    ) -> None:
        history = self._histories.setdefault(peer.group, History())
        picture = self.pictures.get(peer.group)
        if picture is None:
            picture = self._build(peer.group)
            if picture is not None:
                self.pictures[peer.group] = picture
        session = Session(delta, picture, history, stub_cluster)
        stream = Stream(peer, session, only)
        self.streams.add(stream)
        group = peer.group
        self._log(f"proxy {peer.node}: connected, {group.kind} in zone {group.zone or '-'}")
        self._changed()
        writer = asyncio.create_task(self._write(stream, context, delta))
        loop = asyncio.get_running_loop()
        past = loop.call_later(PAST_S, lambda: stream.put(session.end_resumption()))
        try:
            wrong = await self._read(stream, first, requests, delta)
            if wrong is not None:
                # A status beside a message that is being written would be garbled.
                stream.close()
                await asyncio.wait((writer,), timeout=CLOSE_S)
                await context.abort(*wrong)
        finally:
            past.cancel()
            writer.cancel()
            self.streams.discard(stream)
            self._log(f"proxy {peer.node}: gone")
            self._changed()

    async def _read(
        self, stream: Stream, first: Any, requests: AsyncIterator[Any], delta: bool
    ) -> tuple[grpc.StatusCode, str] | None:
        """Take requests to the stream's end; what is wrong if it is to be ended from here."""
        rate = Rate()
        message = first
        only = stream.only
        while message is not None:
            if rate.exceeded():
                text = f"over {REQUESTS} requests a second"
                return grpc.StatusCode.RESOURCE_EXHAUSTED, text
            # A stream for one type need not name it.
            kind = KINDS.get(message.type_url) if message.type_url or only is None else only
            if kind is None or only not in (None, kind):
                text = f"no resources of type {message.type_url[:200]!r} here"
                return grpc.StatusCode.INVALID_ARGUMENT, text
            request = _read_delta(kind, message) if delta else _read_whole(kind, message)
            try:
                stream.put(stream.session.request(request))
            except SubscriptionError as err:
                return grpc.StatusCode.INVALID_ARGUMENT, str(err)
            if request.error_detail:
                words = request.error_detail[:MAX_WORDS]
                self._log(f"proxy {stream.peer.node}: refused {kind.name.lower()}: {words}")
            message = await anext(aiter(requests), None)
        return None

    async def _write(self, stream: Stream, context: Any, delta: bool) -> None:
        answers = self._answers[delta]
        while not stream.closing:
            await stream.ready.wait()
            stream.ready.clear()
            while stream.unsent and not stream.closing:
                await context.write(answers.encode(stream.unsent.pop(0)))


def _read_whole(kind: Any, m: Any) -> DiscoveryRequest:
    error = m.error_detail.message or "refused" if m.HasField("error_detail") else ""
    return DiscoveryRequest(
        kind, tuple(m.resource_names), (), m.response_nonce, error, m.version_info
    )


def _read_delta(kind: Any, m: Any) -> DiscoveryRequest:
    error = m.error_detail.message or "refused" if m.HasField("error_detail") else ""
    return DiscoveryRequest(
        kind, tuple(m.resource_names_subscribe), tuple(m.resource_names_unsubscribe),
        m.response_nonce, error, initial_resource_versions=dict(m.initial_resource_versions),
    )  # fmt: skip

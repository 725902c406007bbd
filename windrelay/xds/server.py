"""The aggregated discovery service over grpc.aio: sessions to streams and back."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

import grpc
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.status.v3 import csds_pb2

from flinthatch.picture import (
    History,
    Kind,
    Picture,
    Reply,
    Request,
    Session,
    Standing,
    SubscriptionError,
)
from flinthatch.snapshot import ProxyKind
from windrelay.xds.encode import KINDS, TYPES
from windrelay.xds.wire import Answers

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
STATUS_SERVICE = "envoy.service.status.v3.ClientStatusDiscoveryService"
SEPARATE = {
    Kind.CLUSTER: ("cluster.v3.ClusterDiscoveryService", "Clusters"),
    Kind.ENDPOINTS: ("endpoint.v3.EndpointDiscoveryService", "Endpoints"),
    Kind.LISTENER: ("listener.v3.ListenerDiscoveryService", "Listeners"),
    Kind.ROUTES: ("route.v3.RouteDiscoveryService", "Routes"),
}
STANDINGS = {
    Standing.ABSENT: "DOES_NOT_EXIST",
    Standing.SENT: "REQUESTED",
    Standing.ACCEPTED: "ACKED",
    Standing.REFUSED: "NACKED",
}
MAX_WORDS = 500  # of a refusal, kept for the operator
MAX_STREAMS = 2000
MAX_REQUEST = 4 << 20  # bytes
REQUESTS = 200  # a second and stream; a proxy that asks for everything sends some ten
PAST_S = 5.0  # for a proxy that comes back to tell of its routes

Group = tuple[ProxyKind, str]  # kind and zone


class Stream:
    """One proxy's stream: its session and what is still to be written."""

    def __init__(self, node: str, group: Group, session: Session) -> None:
        self.node = node
        self.group = group
        self.session = session
        # At most one message of a kind: a newer one waits for the older's answer.
        self.unsent: list[Reply] = []
        self.ready = asyncio.Event()

    def put(self, replies: list[Reply]) -> None:
        if replies:
            # A proxy that acknowledges by guessed nonces and reads nothing gets more
            # than it reads: only the newest of a kind is kept for it.
            newer = {reply.kind for reply in replies}
            self.unsent = [reply for reply in self.unsent if reply.kind not in newer] + replies
            self.ready.set()


class Streams:
    """All streams, and the picture that each group of proxies is to hold."""

    def __init__(
        self,
        log: Callable[[str], None],
        changed: Callable[[], None],
        build: Callable[[Group], Picture | None],
    ) -> None:
        self.streams: set[Stream] = set()
        self._build = build  # for a group that has no picture yet; None while nothing is known
        self.pictures: dict[Group, Picture] = {}
        self._histories: dict[Group, History] = {}
        self._log = log
        self._changed = changed  # a proxy has come or gone
        self._answers = (Answers(False), Answers(True))

    def publish(self, pictures: Mapping[Group, Picture]) -> None:
        """Hand out new pictures; a proxy whose resources are the same is sent nothing."""
        self.pictures = dict(pictures)
        for stream in self.streams:
            if stream.group in self.pictures:
                stream.put(stream.session.update(self.pictures[stream.group]))

    def groups(self) -> dict[Group, int]:
        """How many proxies are present, by group."""
        out: dict[Group, int] = {}
        for stream in self.streams:
            out[stream.group] = out.get(stream.group, 0) + 1
        return out

    def handlers(self) -> tuple[Any, ...]:
        """For grpc.aio's server: the aggregated service, one for each type, and client status."""
        by_type = (
            self._discovery(f"envoy.service.{name}", plural, kind)
            for kind, (name, plural) in SEPARATE.items()
        )
        status = grpc.unary_unary_rpc_method_handler(
            self._fetch_status,
            csds_pb2.ClientStatusRequest.FromString,
            csds_pb2.ClientStatusResponse.SerializeToString,
        )
        return (
            self._discovery(SERVICE, "AggregatedResources", None),
            *by_type,
            grpc.method_handlers_generic_handler(STATUS_SERVICE, {"FetchClientStatus": status}),
        )

    def _discovery(self, service: str, plural: str, only: Kind | None) -> Any:
        """Both variants of a discovery service, for one type of resource or for all."""

        async def whole(requests: AsyncIterator[Any], context: Any) -> None:
            await self._serve(requests, context, False, only)

        async def incremental(requests: AsyncIterator[Any], context: Any) -> None:
            await self._serve(requests, context, True, only)

        methods = {
            f"Stream{plural}": grpc.stream_stream_rpc_method_handler(
                whole,
                discovery_pb2.DiscoveryRequest.FromString,
                None,  # answers are bytes already
            ),
            f"Delta{plural}": grpc.stream_stream_rpc_method_handler(
                incremental,
                discovery_pb2.DeltaDiscoveryRequest.FromString,
                None,
            ),
        }
        return grpc.method_handlers_generic_handler(service, methods)

    async def _fetch_status(self, _request: Any, _context: Any) -> Any:
        """Each proxy's resources: sent, accepted, or refused in its own words."""
        out = csds_pb2.ClientStatusResponse()
        for stream in sorted(self.streams, key=lambda s: s.node):
            config = out.config.add()
            config.node.id = stream.node
            config.node.locality.zone = stream.group[1]
            for s in stream.session.status():
                row = config.generic_xds_configs.add(
                    type_url=TYPES[s.kind],
                    name=s.name,
                    version_info=s.version,
                    client_status=STANDINGS[s.standing],
                )
                if s.words:
                    row.error_state.details = s.words[:MAX_WORDS]
                    row.error_state.version_info = s.version
        return out

    async def _serve(
        self, requests: AsyncIterator[Any], context: Any, delta: bool, only: Kind | None
    ) -> None:
        if len(self.streams) >= MAX_STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        first = await anext(aiter(requests), None)
        if first is None:
            return
        group = _group(first.node)
        if group is None:
            text = "the node's user_agent_name is neither envoy nor gRPC's"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, text)
            return
        history = self._histories.setdefault(group, History())
        picture = self.pictures.get(group) or self._build(group)
        session = Session(delta, picture, history)
        stream = Stream(first.node.id, group, session)
        self.streams.add(stream)
        self._log(f"proxy {stream.node}: connected, {group[0]} in zone {group[1] or '-'}")
        self._changed()
        writer = asyncio.create_task(self._write(stream, context, delta))
        loop = asyncio.get_running_loop()
        past = loop.call_later(PAST_S, lambda: stream.put(session.forget_past()))
        try:
            await self._read(stream, first, requests, context, delta, only)
        finally:
            past.cancel()
            writer.cancel()
            self.streams.discard(stream)
            self._log(f"proxy {stream.node}: gone")
            self._changed()

    async def _read(
        self,
        stream: Stream,
        first: Any,
        requests: AsyncIterator[Any],
        context: Any,
        delta: bool,
        only: Kind | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        second, count = int(loop.time()), 0
        message = first
        while message is not None:
            now = int(loop.time())
            second, count = (second, count + 1) if now == second else (now, 1)
            if count > REQUESTS:
                text = f"over {REQUESTS} requests a second"
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)
            # A stream for one type need not name it.
            kind = KINDS.get(message.type_url) if message.type_url or only is None else only
            if kind is None or only not in (None, kind):
                text = f"no resources of type {message.type_url[:200]!r} here"
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, text)
                return
            request = _read_delta(kind, message) if delta else _read_whole(kind, message)
            try:
                stream.put(stream.session.request(request))
            except SubscriptionError as err:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(err))
            if request.error:
                words = request.error[:MAX_WORDS]
                self._log(f"proxy {stream.node}: refused {kind.name.lower()}: {words}")
            message = await anext(aiter(requests), None)

    async def _write(self, stream: Stream, context: Any, delta: bool) -> None:
        answers = self._answers[delta]
        while True:
            await stream.ready.wait()
            stream.ready.clear()
            while stream.unsent:
                reply = stream.unsent.pop(0)
                await context.write(answers.encode(reply))


def _group(node: Any) -> Group | None:
    agent = node.user_agent_name.lower()
    kind = ProxyKind.GRPC if agent.startswith("grpc") else ProxyKind.ENVOY
    if kind is ProxyKind.ENVOY and not agent.startswith("envoy"):
        return None
    return kind, node.locality.zone


def _read_whole(kind: Any, m: Any) -> Request:
    error = m.error_detail.message or "refused" if m.HasField("error_detail") else ""
    return Request(kind, tuple(m.resource_names), (), m.response_nonce, error, m.version_info)


def _read_delta(kind: Any, m: Any) -> Request:
    error = m.error_detail.message or "refused" if m.HasField("error_detail") else ""
    return Request(
        kind, tuple(m.resource_names_subscribe), tuple(m.resource_names_unsubscribe),
        m.response_nonce, error, held=dict(m.initial_resource_versions),
    )  # fmt: skip

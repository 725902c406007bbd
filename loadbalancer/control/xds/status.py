"""Client status (CSDS) out: what each proxy holds, waits for or refused."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import grpc
from envoy.service.status.v3 import csds_pb2

from loadbalancer.control.xds.encode import TYPES
from loadbalancer.control.xds.peers import Group, Peer
from loadbalancer.core.xds.messages import ClientResourceStatus
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import ResourceType

SERVICE = "envoy.service.status.v3.ClientStatusDiscoveryService"
STANDINGS = {
    ClientResourceStatus.DOES_NOT_EXIST: "DOES_NOT_EXIST",
    ClientResourceStatus.REQUESTED: "REQUESTED",
    ClientResourceStatus.ACKED: "ACKED",
    ClientResourceStatus.NACKED: "NACKED",
}
MAX_WORDS = 500  # of a refusal, kept for the operator

Row = tuple[Peer, Session]


class ClientStatus:
    """Answers from the streams as they stand; `withheld` tells services by group."""

    def __init__(
        self,
        streams: Callable[[], Iterable[Row]],
        withheld: Callable[[Group], Mapping[str, str]],
        old: Callable[[], str],
        reports: Callable[[str], tuple[int, int]],
    ) -> None:
        self._streams = streams
        self._withheld = withheld
        self._old = old  # since when lists are old, "" where they are not
        self._reports = reports  # a node's load reports: counted, and not

    def handler(self) -> Any:
        """For grpc.aio's server: one answer a call, or one a message of a stream."""

        async def fetch(request: Any, context: Any) -> Any:
            return self.answer(request)

        async def stream(requests: Any, context: Any) -> None:
            async for request in requests:
                await context.write(self.answer(request))

        codec = (
            csds_pb2.ClientStatusRequest.FromString,
            csds_pb2.ClientStatusResponse.SerializeToString,
        )
        return grpc.method_handlers_generic_handler(
            SERVICE,
            {
                "FetchClientStatus": grpc.unary_unary_rpc_method_handler(fetch, *codec),
                "StreamClientStatus": grpc.stream_stream_rpc_method_handler(stream, *codec),
            },
        )

    def answer(self, request: Any) -> Any:
        """All proxies, or those that the request's node matchers name by their id."""
        out = csds_pb2.ClientStatusResponse()
        wanted = {m.node_id.exact for m in request.node_matchers if m.node_id.exact}
        for peer, session in sorted(self._streams(), key=lambda row: row[0].node):
            if not wanted or peer.node in wanted:
                self._add(out.config.add(), peer, session)
        return out

    def _add(self, config: Any, peer: Peer, session: Session) -> None:
        config.node.id = peer.node
        config.node.user_agent_name = peer.group.kind
        config.node.locality.zone = peer.group.zone
        old = self._old()
        if old:
            config.node.metadata["membership"] = old
        counted, refused = self._reports(peer.node)
        if counted or refused:
            config.node.metadata["load_reports"] = f"{counted} counted, {refused} not"
        for s in session.status():
            row = config.generic_xds_configs.add(
                type_url=TYPES[s.resource_type],
                name=s.name,
                version_info=s.version,
                client_status=STANDINGS[s.client_status],
            )
            if s.error_detail:
                row.error_state.details = s.error_detail[:MAX_WORDS]
                row.error_state.version_info = s.version
        for service, why in sorted(self._withheld(peer.group).items()):
            row = config.generic_xds_configs.add(
                type_url=TYPES[ResourceType.CLUSTER], name=service, client_status="DOES_NOT_EXIST"
            )
            row.error_state.details = f"not served: {why}"[:MAX_WORDS]

"""The client status discovery service (CSDS): the state of each proxy's resources."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import grpc
from envoy.service.status.v3 import csds_pb2

from loadbalancer.control.xds.proxy_identity import ProxyGroup, ProxyIdentity
from loadbalancer.control.xds.type_urls import TYPE_URLS
from loadbalancer.core.xds.load_reports import ReportCounts
from loadbalancer.core.xds.messages import ClientResourceStatus
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import ResourceType

SERVICE = "envoy.service.status.v3.ClientStatusDiscoveryService"
MAX_ERROR_DETAIL = 500  # characters of a NACK's error that are shown to the operator


class ConnectedClient(NamedTuple):
    """A connected proxy's stream, as needed by the status service."""

    identity: ProxyIdentity
    session: Session


class ClientStatusService:
    """Reports the current state of the connected proxies.

    Args:
        clients: returns the connected proxies.
        withheld: returns the services that are not served to a group, with the reasons.
        stale_lists: returns which lists of servers are stale, "" for none.
        report_counts: returns how many load reports of a node were counted and rejected.
    """

    def __init__(
        self,
        clients: Callable[[], Iterable[ConnectedClient]],
        withheld: Callable[[ProxyGroup], Mapping[str, str]],
        stale_lists: Callable[[], str],
        report_counts: Callable[[str], ReportCounts],
    ) -> None:
        self._clients = clients
        self._withheld = withheld
        self._stale_lists = stale_lists
        self._report_counts = report_counts

    def handler(self) -> Any:
        """Return the gRPC handler: one response for each call, or for each message of a stream."""

        async def fetch(request: Any, context: Any) -> Any:
            del context
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
        """Return the state of all proxies, or of those whose ids the request's matchers name."""
        response = csds_pb2.ClientStatusResponse()
        wanted = {matcher.node_id.exact for matcher in request.node_matchers}
        wanted.discard("")
        for client in sorted(self._clients(), key=lambda client: client.identity.node_id):
            if not wanted or client.identity.node_id in wanted:
                self._add(response.config.add(), client)
        return response

    def _add(self, config: Any, client: ConnectedClient) -> None:
        identity = client.identity
        config.node.id = identity.node_id
        config.node.user_agent_name = identity.group.kind
        config.node.locality.zone = identity.group.zone
        stale = self._stale_lists()
        if stale:
            config.node.metadata["membership"] = stale
        counted, rejected = self._report_counts(identity.node_id)
        if counted or rejected:
            config.node.metadata["load_reports"] = f"{counted} counted, {rejected} not"
        for status in client.session.status():
            resource = config.generic_xds_configs.add(
                type_url=TYPE_URLS[status.resource_type],
                name=status.name,
                version_info=status.version,
                client_status=status.client_status.name,
            )
            if status.error_detail:
                resource.error_state.details = status.error_detail[:MAX_ERROR_DETAIL]
                resource.error_state.version_info = status.version
        for service, reason in sorted(self._withheld(identity.group).items()):
            resource = config.generic_xds_configs.add(
                type_url=TYPE_URLS[ResourceType.CLUSTER],
                name=service,
                client_status=ClientResourceStatus.DOES_NOT_EXIST.name,
            )
            resource.error_state.details = f"not served: {reason}"[:MAX_ERROR_DETAIL]

"""The load reporting service (LRS): converts reports to endpoint loads, by pool."""

from __future__ import annotations

import logging
import time
from collections.abc import AsyncIterator, Callable, Collection, Mapping
from typing import Any, Protocol

import grpc
from envoy.service.load_stats.v3 import lrs_pb2

from loadbalancer.control.xds.file import TlsConfig
from loadbalancer.control.xds.proxy_identity import RejectedProxyError, identify
from loadbalancer.control.xds.stream_limits import (
    MAX_REQUESTS_PER_S,
    RequestRate,
    first_request,
)
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.load_reports import EndpointLoad, LoadReportAggregator

logger = logging.getLogger(__name__)

SERVICE = "envoy.service.load_stats.v3.LoadReportingService"
# Endpoint loads in the reports of all proxies. With more proxies, each reports less often.
MAX_LOADS_PER_S = 5_000
MAX_REPORTERS = 2000


class ReportedPool(Protocol):
    """The parts of a pool that load reports need."""

    load_reports: LoadReportAggregator

    def services(self) -> Collection[str]:
        """Return the names of the pool's services, which are also its cluster names."""

    def size(self) -> int:
        """Return the number of servers."""

    def backend_at(self, host: str, port: int) -> int | None:
        """Return the server at an address, or None if there is none."""

    def is_listed(self, backend: int) -> bool:
        """Return whether a server is in the pool's list."""


class LoadReportingService:
    """Serves load-reporting streams. A report is counted completely or not at all.

    Args:
        pools: returns the pools by name.
        interval_s: seconds between a proxy's reports; 0 if no reports are accepted.
        tls: which certificates may be used by which node ids; None for no TLS.
    """

    def __init__(
        self,
        pools: Callable[[], Mapping[str, ReportedPool]],
        interval_s: int,
        tls: TlsConfig | None,
    ) -> None:
        self._pools = pools
        self._interval_s = interval_s
        self._tls = tls
        self._streams = 0
        self._logged: set[tuple[str, str]] = set()

    def handler(self) -> Any:
        """Return the gRPC handler to add to the grpc.aio server."""
        method = grpc.stream_stream_rpc_method_handler(
            self._serve,
            lrs_pb2.LoadStatsRequest.FromString,
            lrs_pb2.LoadStatsResponse.SerializeToString,
        )
        return grpc.method_handlers_generic_handler(SERVICE, {"StreamLoadStats": method})

    def interval_s(self, servers: int) -> int:
        """Return the seconds between a proxy's reports, to stay below MAX_LOADS_PER_S in total."""
        return max(self._interval_s, self._streams * servers // MAX_LOADS_PER_S)

    async def _serve(self, requests: AsyncIterator[Any], context: Any) -> None:
        if not self._interval_s or self._streams >= MAX_REPORTERS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "no load reports accepted")
        self._streams += 1
        try:
            first = await first_request(requests, context)
            if first is not None:
                await self._receive_reports(first, requests, context)
        finally:
            self._streams -= 1

    async def _receive_reports(
        self, first: Any, requests: AsyncIterator[Any], context: Any
    ) -> None:
        try:
            identity = identify(first.node, context, self._tls)
        except RejectedProxyError as err:
            await context.abort(err.code, str(err))
            return
        pools = self._pools()
        interval_s = self.interval_s(sum(pool.size() for pool in pools.values()))
        answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
        answer.load_reporting_interval.seconds = interval_s
        now = time.monotonic_ns()
        streams = {}
        for name, pool in pools.items():
            pool.load_reports.report_interval = interval_s * SECOND
            streams[name] = pool.load_reports.open_stream(now, identity.node_id)
        await context.write(answer)
        rate = RequestRate()
        message: Any = first
        while message is not None:
            if rate.exceeded():
                text = f"more than {MAX_REQUESTS_PER_S} reports a second"
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)
            for name, pool in pools.items():
                reason = _add_report(pool, identity.node_id, streams[name], message)
                if reason:
                    self._log_rejection(identity.node_id, reason)
            message = await anext(aiter(requests), None)

    def _log_rejection(self, node_id: str, reason: str) -> None:
        """Log each reason only once for each proxy, since its reports usually stay wrong."""
        if (node_id, reason) not in self._logged and len(self._logged) < MAX_REPORTERS:
            self._logged.add((node_id, reason))
            logger.info("proxy %s: load report not counted: %s", node_id, reason)


def _add_report(pool: ReportedPool, node_id: str, stream: int, message: Any) -> str:
    """Count the part of a report that concerns a pool.

    Returns the reason if the part is rejected, otherwise "".
    """
    services = pool.services()
    interval = 0
    loads: list[EndpointLoad] = []
    for cluster in message.cluster_stats:
        if (cluster.cluster_service_name or cluster.cluster_name) in services:
            reported = cluster.load_report_interval
            interval = max(interval, reported.seconds * SECOND + reported.nanos)
            for locality in cluster.upstream_locality_stats:
                loads += _locality_loads(pool, locality)
    if not loads:
        return ""
    return pool.load_reports.add_report(time.monotonic_ns(), node_id, stream, interval, loads)


def _locality_loads(pool: ReportedPool, locality: Any) -> list[EndpointLoad]:
    """Convert a locality's statistics to loads of servers.

    Servers are found by address. Without endpoint statistics of known servers, a sub-zone that is
    a server's number stands for that server, and the locality's totals are the server's load.
    """
    loads = []
    for stats in locality.upstream_endpoint_stats:
        address = stats.address.socket_address
        backend = pool.backend_at(address.address, address.port_value)
        if backend is not None:
            loads.append(_endpoint_load(backend, stats))
    sub_zone = locality.locality.sub_zone
    if not loads and sub_zone.isascii() and sub_zone.isdigit() and pool.is_listed(int(sub_zone)):
        loads.append(_endpoint_load(int(sub_zone), locality))
    return loads


def _endpoint_load(backend: int, stats: Any) -> EndpointLoad:
    return EndpointLoad(
        backend,
        stats.total_successful_requests,
        stats.total_error_requests,
        stats.total_requests_in_progress,
    )

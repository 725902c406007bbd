"""Load reports (LRS) in: streams to rows, and rows to the pool whose servers they are."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, Protocol

import grpc
from envoy.service.load_stats.v3 import lrs_pb2

from loadbalancer.control.xds.file import TlsFile
from loadbalancer.control.xds.peers import (
    REQUESTS,
    Rate,
    RejectedProxyError,
    first_request,
    identify,
)
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.xds.load_reports import EndpointLoad, LoadReportAggregator

SERVICE = "envoy.service.load_stats.v3.LoadReportingService"
ROWS_PER_S = 5_000  # of all reports together; with more proxies each reports more rarely
MAX_REPORTERS = 2000


class Reported(Protocol):
    """A pool of servers, as load reports name them."""

    ledger: LoadReportAggregator

    def services(self) -> frozenset[str]: ...
    def size(self) -> int: ...
    def at(self, host: str, port: int) -> int | None: ...
    def listed(self, backend: int) -> bool: ...


class LoadReports:
    """All load-reporting streams. A report is counted whole or not at all."""

    def __init__(
        self,
        pools: Callable[[], Mapping[str, Reported]],
        every: int,
        tls: TlsFile | None,
        log: Callable[[str], None],
    ) -> None:
        self._pools = pools
        self._every = every  # seconds, 0: reports are not asked for
        self._tls = tls
        self._log = log
        self._streams = 0
        self._said: set[tuple[str, str]] = set()

    def handler(self) -> Any:
        """For grpc.aio's server."""
        method = grpc.stream_stream_rpc_method_handler(
            self._serve,
            lrs_pb2.LoadStatsRequest.FromString,
            lrs_pb2.LoadStatsResponse.SerializeToString,
        )
        return grpc.method_handlers_generic_handler(SERVICE, {"StreamLoadStats": method})

    def interval(self, servers: int) -> int:
        """Seconds between a proxy's reports, so that all together stay under a rate."""
        return max(self._every, self._streams * servers // ROWS_PER_S)

    async def _serve(self, requests: AsyncIterator[Any], context: Any) -> None:
        if not self._every or self._streams >= MAX_REPORTERS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "no more load reports")
        self._streams += 1
        try:
            first = await first_request(requests, context)
            if first is not None:
                await self._reports(first, requests, context)
        finally:
            self._streams -= 1

    async def _reports(self, first: Any, requests: AsyncIterator[Any], context: Any) -> None:
        try:
            peer = identify(first.node, context, self._tls)
        except RejectedProxyError as err:
            await context.abort(err.code, str(err))
            return
        pools = self._pools()
        seconds = self.interval(sum(p.size() for p in pools.values()))
        answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
        answer.load_reporting_interval.seconds = seconds
        now = time.monotonic_ns()
        streams = {}
        for name, pool in pools.items():
            pool.ledger.report_interval = seconds * SECOND
            streams[name] = pool.ledger.open_stream(now, peer.node)
        await context.write(answer)
        rate = Rate()
        message: Any = first
        while message is not None:
            if rate.exceeded():
                text = f"over {REQUESTS} reports a second"
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)
            for name, pool in pools.items():
                why = self._count(pool, peer.node, streams[name], message)
                if why:
                    self._refused(peer.node, why)
            message = await anext(aiter(requests), None)

    def _refused(self, node: str, why: str) -> None:
        """Said once for each reason: a proxy that is wrong stays so."""
        if (node, why) not in self._said and len(self._said) < MAX_REPORTERS:
            self._said.add((node, why))
            self._log(f"proxy {node}: load report not counted: {why}")

    def _count(self, pool: Reported, node: str, stream: int, message: Any) -> str:
        own = pool.services()
        interval = 0
        rows: list[EndpointLoad] = []
        for cluster in message.cluster_stats:
            if (cluster.cluster_service_name or cluster.cluster_name) in own:
                told = cluster.load_report_interval
                interval = max(interval, told.seconds * SECOND + told.nanos)
                for locality in cluster.upstream_locality_stats:
                    rows += _rows(pool, locality)
        if not rows:
            return ""
        return pool.ledger.add_report(time.monotonic_ns(), node, stream, interval, rows)


def _rows(pool: Reported, locality: Any) -> list[EndpointLoad]:
    """A locality's servers: by address, or the one that the locality stands for."""
    out = []
    for one in locality.upstream_endpoint_stats:
        address = one.address.socket_address
        backend = pool.at(address.address, address.port_value)
        if backend is not None:
            out.append(_row(backend, one))
    part = locality.locality.sub_zone
    if not out and part.isascii() and part.isdigit() and pool.listed(int(part)):
        out.append(_row(int(part), locality))
    return out


def _row(backend: int, stats: Any) -> EndpointLoad:
    return EndpointLoad(
        backend,
        stats.total_successful_requests,
        stats.total_error_requests,
        stats.total_requests_in_progress,
    )

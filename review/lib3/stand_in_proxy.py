"""A stand-in for an Envoy-like proxy: it carries out what the control service sends it over xDS.

    python stand_in_proxy.py --control HOST:PORT --listen HOST:PORT --zone ZONE --id ID

Only what cases need, as Envoy's public documentation has it: ADS in the state of the world;
routes by domain, path and method; round robin by weight over the hosts of a priority, of which
UNHEALTHY and DRAINING ones are not available; priorities with the overprovisioning factor of
1.4; the panic threshold (50% of a priority's hosts where the cluster names none; 0 disables it);
the retry policy of a route, each retry at the next host.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import sys
from collections.abc import AsyncIterator
from typing import Any

import grpc
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as manager_pb2,
)
from envoy.service.discovery.v3 import discovery_pb2

METHOD = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
PREFIX = "type.googleapis.com/envoy.config."
CLUSTERS = PREFIX + "cluster.v3.Cluster"
ENDPOINTS = PREFIX + "endpoint.v3.ClusterLoadAssignment"
LISTENERS = PREFIX + "listener.v3.Listener"
ROUTES = PREFIX + "route.v3.RouteConfiguration"
DEFAULT_PANIC_PERCENT = 50.0
OVERPROVISIONING = 1.4
DEFAULT_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 0.25
USABLE = (health_check_pb2.UNKNOWN, health_check_pb2.HEALTHY)


class Host:
    """One host of a cluster, with its place in the weighted round robin."""

    def __init__(self, address: tuple[str, int], weight: int, usable: bool) -> None:
        self.address = address
        self.weight = weight
        self.usable = usable
        self.credit = 0.0


class Config:
    """What the control service has sent last."""

    def __init__(self) -> None:
        self.clusters: dict[str, Any] = {}
        self.priorities: dict[str, list[list[Host]]] = {}  # of each cluster
        self.routes: dict[str, Any] = {}

    def apply(self, type_url: str, resources: list[Any]) -> dict[str, set[str]]:
        """Apply a response; returns the names to subscribe to from now on, by type."""
        if type_url == CLUSTERS:
            clusters = [cluster_pb2.Cluster.FromString(r.value) for r in resources]
            self.clusters = {cluster.name: cluster for cluster in clusters}
            return {ENDPOINTS: {c.eds_cluster_config.service_name or c.name for c in clusters}}
        if type_url == ENDPOINTS:
            for resource in resources:
                self._apply_endpoints(endpoint_pb2.ClusterLoadAssignment.FromString(resource.value))
        elif type_url == LISTENERS:
            return {ROUTES: {name for r in resources for name in routes_named(r)}}
        elif type_url == ROUTES:
            for resource in resources:
                found = route_pb2.RouteConfiguration.FromString(resource.value)
                self.routes[found.name] = found
        return {}

    def _apply_endpoints(self, assignment: Any) -> None:
        by_priority: dict[int, list[Host]] = {}
        for locality in assignment.endpoints:
            for row in locality.lb_endpoints:
                address = row.endpoint.address.socket_address
                host = Host(
                    (address.address, address.port_value),
                    row.load_balancing_weight.value or 1,
                    row.health_status in USABLE,
                )
                by_priority.setdefault(locality.priority, []).append(host)
        self.priorities[assignment.cluster_name] = [by_priority[p] for p in sorted(by_priority)]

    def pick(self, cluster: str) -> Host | None:
        """The next host: a priority by its health, then weighted round robin."""
        for hosts in self.priorities.get(cluster, ()):
            usable = [host for host in hosts if host.usable]
            part = len(usable) / len(hosts)
            if not usable and hosts is not self.priorities[cluster][-1]:
                continue
            if 100.0 * part < self._panic_percent(cluster):
                usable = hosts
            if not usable:
                return None
            for host in usable:
                host.credit += host.weight
            best = max(usable, key=lambda host: host.credit)
            best.credit -= sum(host.weight for host in usable)
            return best
        return None

    def _panic_percent(self, cluster: str) -> float:
        common = self.clusters[cluster].common_lb_config
        if common.HasField("healthy_panic_threshold"):
            return float(common.healthy_panic_threshold.value)
        return DEFAULT_PANIC_PERCENT

    def route(self, host: str, method: str, path: str) -> Any:
        for configuration in self.routes.values():
            for virtual_host in configuration.virtual_hosts:
                if host.split(":")[0] in virtual_host.domains or "*" in virtual_host.domains:
                    for route in virtual_host.routes:
                        if takes(route.match, method, path):
                            return route
        return None


def routes_named(resource: Any) -> list[str]:
    listener = listener_pb2.Listener.FromString(resource.value)
    names = []
    for chain in listener.filter_chains:
        for http in chain.filters:
            manager = manager_pb2.HttpConnectionManager.FromString(http.typed_config.value)
            names.append(manager.rds.route_config_name)
    return names


def takes(match: Any, method: str, path: str) -> bool:
    path = path.partition("?")[0]
    kind = match.WhichOneof("path_specifier")
    if kind == "prefix" and not path.startswith(match.prefix):
        return False
    if kind == "path" and path != match.path:
        return False
    if kind == "safe_regex" and not re.fullmatch(match.safe_regex.regex, path):
        return False
    return all(
        header.name != ":method" or re.fullmatch(header.string_match.safe_regex.regex, method)
        for header in match.headers
    )


class Stream:
    """The ADS stream."""

    def __init__(self, config: Config, node_id: str, zone: str) -> None:
        self._config = config
        self._outgoing: asyncio.Queue[Any] = asyncio.Queue()
        self._names: dict[str, set[str]] = {CLUSTERS: set(), LISTENERS: set()}
        self._nonces: dict[str, tuple[str, str]] = {}
        self._node_id, self._zone = node_id, zone
        self.has_all = asyncio.Event()

    async def run(self, control: str) -> None:
        """Follow the control service, over one stream after another."""
        while True:
            self._outgoing, self._nonces = asyncio.Queue(), {}
            for type_url in self._names:
                self._send(type_url)
            try:
                async with grpc.aio.insecure_channel(control) as channel:
                    call = channel.stream_stream(
                        METHOD,
                        lambda request: request.SerializeToString(),
                        discovery_pb2.DiscoveryResponse.FromString,
                    )
                    async for response in call(self._requests(), wait_for_ready=True):
                        self._receive(response)
            except grpc.RpcError as err:
                print(f"stream ended: {err}", file=sys.stderr, flush=True)
            await asyncio.sleep(0.2)

    async def _requests(self) -> AsyncIterator[Any]:
        while True:
            yield await self._outgoing.get()

    def _send(self, type_url: str) -> None:
        version, nonce = self._nonces.get(type_url, ("", ""))
        request = discovery_pb2.DiscoveryRequest(
            type_url=type_url, version_info=version, response_nonce=nonce,
            resource_names=sorted(self._names[type_url]),
        )  # fmt: skip
        request.node.id, request.node.locality.zone = self._node_id, self._zone
        request.node.user_agent_name = "envoy"
        request.node.user_agent_build_version.version.major_number = 1
        request.node.user_agent_build_version.version.minor_number = 30
        self._outgoing.put_nowait(request)

    def _receive(self, response: Any) -> None:
        self._nonces[response.type_url] = (response.version_info, response.nonce)
        subscribed = self._config.apply(response.type_url, list(response.resources))
        self._send(response.type_url)
        for type_url, names in subscribed.items():
            if names != self._names.get(type_url, set()):
                self._names[type_url] = names
                self._send(type_url)
        if self._config.routes and self._config.priorities:
            self.has_all.set()


class ConnectError(Exception):
    """No connection to the host."""


class ResetError(Exception):
    """The connection ended without an answer."""


class Proxy:
    """Forwards requests by the present configuration."""

    def __init__(self, config: Config) -> None:
        self._config = config

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                method, path, _ = lines[0].split(" ")
                status, text = await self._answer(method, path, fields, head + body)
                answer = f"HTTP/1.1 {status} -\r\nContent-Length: {len(text)}\r\n\r\n"
                writer.write(answer.encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, path: str, fields: dict[str, str], request: bytes
    ) -> tuple[int, bytes]:
        route = self._config.route(fields.get("host", ""), method, path)
        if route is None:
            return 404, b""
        if route.HasField("direct_response"):
            return int(route.direct_response.status), b""
        action = route.route
        timeout = action.timeout.seconds + action.timeout.nanos / 1e9
        try:
            return await asyncio.wait_for(
                self._attempts(action, request), timeout or DEFAULT_TIMEOUT_S
            )
        except TimeoutError:
            return 504, b""

    async def _attempts(self, action: Any, request: bytes) -> tuple[int, bytes]:
        policy = action.retry_policy
        conditions = set(policy.retry_on.split(","))
        retries = policy.num_retries.value if policy.HasField("num_retries") else 1
        remaining = retries if policy.retry_on else 0
        per_try = policy.per_try_timeout.seconds + policy.per_try_timeout.nanos / 1e9
        while True:
            status, text, met = await self._attempt(action.cluster, request, per_try)
            if not remaining or not met & conditions:
                return status, text
            remaining -= 1
            await asyncio.sleep(0.01)

    async def _attempt(
        self, cluster: str, request: bytes, per_try: float
    ) -> tuple[int, bytes, set[str]]:
        """Status, body, and the retry conditions that this outcome meets."""
        host = self._config.pick(cluster)
        if host is None:
            return 503, b"no healthy upstream", set()
        try:
            status, text = await asyncio.wait_for(exchange(host.address, request), per_try or None)
        except ConnectError:
            return 503, b"", {"connect-failure", "5xx", "gateway-error", "reset-before-request"}
        except ResetError:
            return 503, b"", {"reset", "5xx", "gateway-error"}
        except TimeoutError:
            return 504, b"", {"reset", "5xx", "gateway-error"}
        met = {"5xx"} if status >= 500 else set()
        return status, text, met | ({"gateway-error"} if status in (502, 503, 504) else set())


async def exchange(address: tuple[str, int], request: bytes) -> tuple[int, bytes]:
    """Send a request on a connection of its own, and return its answer."""
    try:
        opening = asyncio.open_connection(*address)
        reader, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError):
        raise ConnectError from None
    try:
        writer.write(request)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lengths = re.findall(r"(?i)content-length: *(\d+)", head)
        return int(head.split(" ")[1]), await reader.readexactly(int(lengths[0]))
    except (asyncio.IncompleteReadError, ConnectionError):
        raise ResetError from None
    finally:
        writer.close()


async def run(args: argparse.Namespace) -> None:
    config = Config()
    stream = Stream(config, args.id, args.zone)
    following = asyncio.create_task(stream.run(args.control))
    await stream.has_all.wait()
    host, port = args.listen.split(":")
    server = await asyncio.start_server(Proxy(config).serve, host, int(port))
    print(f"listening on {args.listen}", flush=True)
    async with server:
        await following


def main() -> None:
    parser = argparse.ArgumentParser()
    for name in ("control", "listen", "zone", "id"):
        parser.add_argument(f"--{name}", required=True)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()

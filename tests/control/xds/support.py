"""Test support: a control service as a process, and clients of several kinds to connect to it."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator
from pathlib import Path
from queue import Queue
from typing import Any

import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.status.v3 import csds_pb2

from fakes.files import GRPC_BALANCE, METHODS, routes_toml, write_config, write_control
from fakes.processes import Process, running_process
from loadbalancer.control.xds.client_status import SERVICE as CSDS_SERVICE
from loadbalancer.control.xds.discovery_service import SERVICE as ADS_SERVICE
from loadbalancer.control.xds.load_reports import SERVICE as LRS_SERVICE
from loadbalancer.control.xds.type_urls import TYPE_URLS
from loadbalancer.core.xds.snapshot import ResourceType
from tests.harness import LIMIT, SETTINGS, roster, target

CLUSTER_URL, ENDPOINTS_URL, LISTENER_URL, ROUTES_URL = (TYPE_URLS[kind] for kind in ResourceType)
COLD = SETTINGS["rules"] | {"cold": 100_000 * 1_000_000_000, "cold_from": 0.3}


def write_one_pool(tmp_path: Path, port: int, known: dict[str, Any], discovery: str) -> Path:
    settings = SETTINGS | {"rules": COLD}
    return write_control(tmp_path, settings, known, port, discovery, "1s")


@contextlib.contextmanager
def control_service(
    tmp_path: Path, known: dict[str, Any], discovery: str = "127.0.0.1:1", port: int = 0
) -> Iterator[Process]:
    path = write_one_pool(tmp_path, port, known, discovery)
    with running_process(("-m", "loadbalancer", "control", str(path))) as process:
        yield process


@contextlib.contextmanager
def grpc_client(address: str) -> Iterator[Process]:
    """Run grpcio's xDS client for `xds:///app.svc` as its own process."""
    bootstrap = {
        "xds_servers": [
            {"server_uri": address, "channel_creds": [{"type": "insecure"}],
             "server_features": ["xds_v3"]}
        ],
        "node": {"id": "p1", "locality": {"zone": "east"}},
    }  # fmt: skip
    environ = {"GRPC_XDS_BOOTSTRAP_CONFIG": json.dumps(bootstrap)}
    with running_process(("-m", "fakes.xds_client", "xds:///app.svc"), environ) as process:
        yield process


def calls(process: Process, count: int, method: str = "Balance") -> dict[str, int]:
    seen: dict[str, int] = json.loads(process.send_line(f"/topup.Topup/{method} {count}"))
    return seen


@contextlib.contextmanager
def grpc_servers(*names: str) -> Iterator[dict[str, Process]]:
    with contextlib.ExitStack() as stack:
        yield {
            name: stack.enter_context(running_process(("-m", "fakes.topup_grpc", "--name", name)))
            for name in names
        }


def targets_of(servers: dict[str, Process], **overrides: Any) -> list[dict[str, object]]:
    return [
        target(name, int(p.address.rpartition(":")[2])) | overrides.get(name.replace("-", "_"), {})
        for name, p in servers.items()
    ]


class RawStream:
    """A hand-driven discovery stream of either variant of the protocol."""

    def __init__(
        self, address: str, incremental: bool, agent: str = "envoy", method: str = ""
    ) -> None:
        self.channel = grpc.insecure_channel(address)
        name = "DeltaAggregatedResources" if incremental else "StreamAggregatedResources"
        stream = self.channel.stream_stream(
            f"/{method or f'{ADS_SERVICE}/{name}'}",
            lambda m: m.SerializeToString(),
            (discovery_pb2.DeltaDiscoveryResponse if incremental
             else discovery_pb2.DiscoveryResponse).FromString,
        )  # fmt: skip
        self.kind = (
            discovery_pb2.DeltaDiscoveryRequest if incremental else discovery_pb2.DiscoveryRequest
        )
        self.agent = agent
        self.first = True
        self._more: Queue[Any] = Queue()
        self.answers = stream(iter(self._more.get, None), timeout=LIMIT)

    def request(self, type_url: str, **fields: Any) -> None:
        message = self.kind(type_url=type_url, **fields)
        if self.first:
            message.node.id, message.node.user_agent_name = "p1", self.agent
            message.node.locality.zone = "east"
            self.first = False
        self._more.put(message)

    def receive(self) -> Any:
        return next(self.answers)

    def end_status(self) -> grpc.StatusCode:
        """Read until the stream ends, and return the status it ends with."""

        def read_all() -> None:
            while True:
                self.receive()

        with pytest.raises(grpc.RpcError) as caught:
            read_all()
        code: grpc.StatusCode = caught.value.code()
        return code

    def close(self) -> None:
        self._more.put(None)
        self.answers.cancel()
        self.channel.close()


@contextlib.contextmanager
def raw_stream(process: Process, incremental: bool, agent: str = "envoy") -> Iterator[RawStream]:
    stream = RawStream(process.address, incremental, agent)
    try:
        yield stream
    finally:
        stream.close()


class EnvoyStream:
    """A state-of-the-world stream that applies and acknowledges every response."""

    def __init__(self, stream: RawStream) -> None:
        self.stream = stream
        self.assignments: dict[str, Any] = {}
        self.routes: Any = None
        self.names: dict[str, list[str]] = {}

    def subscribe(self, kind: ResourceType, *names: str) -> None:
        self.names[TYPE_URLS[kind]] = list(names)
        self.stream.request(TYPE_URLS[kind], resource_names=names)

    def receive(self) -> str:
        """Read one response, apply and acknowledge it, and return its type URL."""
        response = self.stream.receive()
        for resource in response.resources:
            if resource.Is(endpoint_pb2.ClusterLoadAssignment.DESCRIPTOR):
                assignment = endpoint_pb2.ClusterLoadAssignment.FromString(resource.value)
                self.assignments[assignment.cluster_name] = {
                    e.endpoint.address.socket_address.port_value: e
                    for x in assignment.endpoints for e in x.lb_endpoints
                }  # fmt: skip
            elif resource.Is(route_pb2.RouteConfiguration.DESCRIPTOR):
                self.routes = route_pb2.RouteConfiguration.FromString(resource.value)
        self.stream.request(
            response.type_url,
            resource_names=self.names[response.type_url],
            response_nonce=response.nonce,
            version_info=response.version_info,
        )
        return str(response.type_url)

    def ports(self, service: str) -> set[int]:
        return set(self.assignments.get(service, ()))


@contextlib.contextmanager
def envoy_stream(process: Process) -> Iterator[EnvoyStream]:
    """Open a stream that has subscribed to two services like an Envoy and received both."""
    services = ("topup", "billing")
    with raw_stream(process, False) as stream:
        out = EnvoyStream(stream)
        out.subscribe(ResourceType.CLUSTER)
        out.subscribe(ResourceType.ENDPOINTS, *services)
        out.subscribe(ResourceType.ROUTES, "wharfspread")
        while out.assignments.keys() != set(services) or out.routes is None:
            out.receive()
        yield out


class LoadReporter:
    """A hand-driven load-reporting stream."""

    def __init__(self, process: Process, node: str) -> None:
        self.channel = grpc.insecure_channel(process.address)
        self._more: Queue[Any] = Queue()
        call = self.channel.stream_stream(
            f"/{LRS_SERVICE}/StreamLoadStats",
            lrs_pb2.LoadStatsRequest.SerializeToString,
            lrs_pb2.LoadStatsResponse.FromString,
        )
        first = lrs_pb2.LoadStatsRequest()
        first.node.id, first.node.user_agent_name = node, "envoy"
        self._more.put(first)
        self.answers = call(iter(self._more.get, None), timeout=LIMIT)
        self.response = next(self.answers)

    def report(self, results: dict[int, tuple[int, int]], ms: int = 10) -> None:
        """Report (successes, errors) by server port, for an interval of `ms` milliseconds."""
        message = lrs_pb2.LoadStatsRequest()
        stats = message.cluster_stats.add(cluster_name="topup")
        stats.load_report_interval.nanos = ms * 1_000_000
        locality = stats.upstream_locality_stats.add()
        for port, (ok, errors) in results.items():
            endpoint = locality.upstream_endpoint_stats.add(
                total_successful_requests=ok, total_error_requests=errors,
                total_issued_requests=ok + errors,
            )  # fmt: skip
            endpoint.address.socket_address.address = "127.0.0.1"
            endpoint.address.socket_address.port_value = port
        self._more.put(message)

    def close(self) -> None:
        self._more.put(None)
        self.answers.cancel()
        self.channel.close()


def client_configs(process: Process) -> Any:
    """Fetch the client status of all proxies by CSDS."""
    with grpc.insecure_channel(process.address) as channel:
        fetch = channel.unary_unary(
            f"/{CSDS_SERVICE}/FetchClientStatus",
            csds_pb2.ClientStatusRequest.SerializeToString,
            csds_pb2.ClientStatusResponse.FromString,
        )
        return fetch(csds_pb2.ClientStatusRequest(), timeout=LIMIT).config


def resource_statuses(process: Process) -> dict[tuple[str, str], Any]:
    """Fetch the status of each resource by CSDS, by node id and type URL."""
    return {
        (config.node.id, row.type_url): row
        for config in client_configs(process)
        for row in config.generic_xds_configs
    }


def client_config(process: Process) -> Any:
    """Fetch the client status of the first proxy."""
    return client_configs(process)[0]


def wait_for_log(process: Process, text: str) -> None:
    """Wait for a line with this text in the service's log, and store all lines read."""
    assert process.child.stdout is not None
    lines = []
    for line in process.child.stdout:
        lines.append(line)
        if text in line:
            break
    process.log_text += "".join(lines)


TWO_POOLS = """\
version = 1
listen = "127.0.0.1:0"
report_every = "1s"
[[pool]]
name = "topup"
config = "topup.json"
routes = "topup.toml"
[[pool]]
name = "billing"
config = "billing.json"
routes = "billing.toml"
members = "billing-members.json"
"""


def replace_file(path: Path, text: str) -> None:
    """Replace a file atomically, as an operator should."""
    new = path.with_suffix(".new")
    new.write_text(text)
    new.rename(path)


def write_two_pools(tmp_path: Path, text: str = TWO_POOLS) -> Path:
    for name, host, uid in (("topup", "app.svc", "s-1"), ("billing", "bill.svc", "b-0")):
        routes = routes_toml(GRPC_BALANCE, paths=METHODS, hosts=(host,), service=name)
        (tmp_path / f"{name}.toml").write_text(routes)
        write_config(tmp_path / f"{name}.json", SETTINGS, roster(target(uid, 9001)))
    members = roster(target("b-1", 9101), target("b-2", 9102))
    (tmp_path / "billing-members.json").write_text(json.dumps(members))
    path = tmp_path / "control.toml"
    path.write_text(text)
    return path


@contextlib.contextmanager
def two_pools(tmp_path: Path, text: str = TWO_POOLS) -> Iterator[Process]:
    path = write_two_pools(tmp_path, text)
    with running_process(("-m", "loadbalancer", "control", str(path))) as process:
        yield process


TLS = """
[tls]
certificate = "server.pem"
key = "server.key"
clients = "ca.pem"
nodes = { "proxy.east.example" = ["p1", "east-*"], "proxy.west.example" = ["west-*"] }
"""

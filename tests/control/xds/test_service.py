"""Tests of the control service with grpcio's xDS client and with hand-driven streams."""

from __future__ import annotations

import contextlib
import subprocess
import sys
import time
from pathlib import Path

import grpc
import pytest
from envoy.admin.v3.config_dump_shared_pb2 import ClientResourceStatus
from envoy.config.endpoint.v3 import endpoint_pb2

from fakes.processes import running_process
from loadbalancer.control.xds.discovery_service import SERVICES_BY_TYPE
from loadbalancer.control.xds.type_urls import TYPE_URLS
from loadbalancer.core.xds.snapshot import ResourceType
from tests.control.xds.support import (
    CLUSTER_URL,
    ENDPOINTS_URL,
    LISTENER_URL,
    RawStream,
    calls,
    control_service,
    grpc_client,
    grpc_servers,
    raw_stream,
    resource_statuses,
    targets_of,
)
from tests.harness import ROOT, roster, target, until


def test_calls_of_a_grpc_client_are_distributed_by_the_weights_of_cold_and_warm_servers(
    tmp_path: Path,
) -> None:
    """Two servers have a concurrency limit of 4. The third one is cold: it has a limit of 2 and
    three tenths of its weight. The shares of 2,000 calls may deviate by 5% of all calls.
    """
    with grpc_servers("s-1", "s-2", "s-3") as servers:
        cold = {"s_3": {"boot_ms": int(time.time() * 1000)}}
        known = roster(*targets_of(servers, **cold))
        with (
            control_service(tmp_path, known) as service,
            grpc_client(service.address) as proxy,
        ):
            seen = calls(proxy, 2000)
    assert seen.keys() == {"s-1", "s-2", "s-3"}
    for name, share in (("s-1", 400 / 860), ("s-2", 400 / 860), ("s-3", 60 / 860)):
        assert abs(seen[name] - 2000 * share) < 100, seen


def test_a_denied_route_is_denied_by_the_proxy(tmp_path: Path) -> None:
    with (
        grpc_servers("s-1") as servers,
        control_service(tmp_path, roster(*targets_of(servers))) as service,
        grpc_client(service.address) as proxy,
    ):
        assert calls(proxy, 3, "Credit") == {"s-1": 3}
        assert "s-1" not in calls(proxy, 3, "Other")


def test_no_call_fails_while_a_server_drains_and_returns(tmp_path: Path) -> None:
    with (
        grpc_servers("s-1", "s-2") as servers,
        running_process(("-m", "fakes.discovery")) as discovery,
    ):
        listed = targets_of(servers)
        discovery.call("POST", "/standin/targets", listed)
        with (
            control_service(tmp_path, roster(*listed), discovery.address) as service,
            grpc_client(service.address) as proxy,
        ):
            assert calls(proxy, 40).keys() == {"s-1", "s-2"}
            for state, present in (("leaving", {"s-1"}), ("active", {"s-1", "s-2"})):
                changed = [listed[0], listed[1] | {"state": state}]
                discovery.call("POST", "/standin/targets", changed)

                def follows(present: set[str] = present) -> bool:
                    seen = calls(proxy, 20)
                    assert seen.keys() <= {"s-1", "s-2"}  # no call has failed
                    return seen.keys() == present

                until(follows)


def test_no_call_fails_while_the_control_service_restarts(tmp_path: Path) -> None:
    """While the service is down, its client must continue with the resources that it has."""
    with grpc_servers("s-1", "s-2") as servers:
        known = roster(*targets_of(servers))
        with contextlib.ExitStack() as stack:
            with control_service(tmp_path, known) as service:
                port = int(service.address.rpartition(":")[2])
                proxy = stack.enter_context(grpc_client(service.address))
                assert sum(calls(proxy, 40).values()) == 40
            assert calls(proxy, 40).keys() == {"s-1", "s-2"}
            with control_service(tmp_path, known, port=port):
                assert calls(proxy, 40).keys() == {"s-1", "s-2"}


@pytest.mark.parametrize("incremental", [False, True])
def test_an_envoy_stream_gets_clusters_and_endpoints(tmp_path: Path, incremental: bool) -> None:
    known = roster(target("s-1", 9001), target("s-2", 9002))
    with control_service(tmp_path, known) as service, raw_stream(service, incremental) as stream:
        stream.request(CLUSTER_URL)
        (cluster,) = stream.receive().resources
        names = {"resource_names_subscribe" if incremental else "resource_names": ["topup"]}
        stream.request(ENDPOINTS_URL, **names)
        answer = stream.receive()
        assert answer.type_url == ENDPOINTS_URL
        assert len(answer.resources) == 1
        body = answer.resources[0].resource if incremental else answer.resources[0]
        assignment = endpoint_pb2.ClusterLoadAssignment()
        assert body.Unpack(assignment)
        (locality,) = assignment.endpoints
        ports = {e.endpoint.address.socket_address.port_value for e in locality.lb_endpoints}
        assert ports == {9001, 9002}
        assert (cluster.name if incremental else cluster.type_url) in (
            "topup",
            CLUSTER_URL,
        )


@pytest.mark.parametrize("incremental", [False, True])
def test_an_invalid_stream_does_not_affect_others(tmp_path: Path, incremental: bool) -> None:
    """Streams with an unknown type, an unknown user agent, too many requests and too many names
    are each ended with the right status. A valid stream must still be served.
    """
    known = roster(target("s-1", 9001))
    with control_service(tmp_path, known) as service, raw_stream(service, incremental) as good:
        good.request(CLUSTER_URL)
        first = good.receive()
        with raw_stream(service, incremental) as wrong:
            wrong.request("type.googleapis.com/some.Other")
            assert wrong.end_status() is grpc.StatusCode.INVALID_ARGUMENT
        with raw_stream(service, incremental, "squid") as unknown:
            unknown.request(CLUSTER_URL)
            assert unknown.end_status() is grpc.StatusCode.INVALID_ARGUMENT
        with raw_stream(service, incremental) as flood:
            for _ in range(1000):
                flood.request(CLUSTER_URL)
            assert flood.end_status() is grpc.StatusCode.RESOURCE_EXHAUSTED
        with raw_stream(service, incremental) as greedy:
            key = "resource_names_subscribe" if incremental else "resource_names"
            greedy.request(ENDPOINTS_URL, **{key: [f"e-{i}" for i in range(10_001)]})
            assert greedy.end_status() is grpc.StatusCode.INVALID_ARGUMENT
        good.request(CLUSTER_URL, response_nonce=first.nonce)
        good.request(LISTENER_URL)
        # Clusters with changed limits may come first, because other proxies have come and gone.
        while (answer := good.receive()).type_url != LISTENER_URL:
            good.request(answer.type_url, response_nonce=answer.nonce)


def test_nothing_is_removed_while_no_server_is_known(tmp_path: Path) -> None:
    """A service is started without a list, and later its list becomes empty. Both times proxies
    must get no response, because an empty snapshot would remove all their endpoints.
    """
    with running_process(("-m", "fakes.discovery")) as discovery:
        discovery.call("POST", "/standin/faults", {"status": 503})
        with (
            control_service(tmp_path, roster(), discovery.address) as service,
            raw_stream(service, False) as stream,
        ):
            stream.request(CLUSTER_URL)
            discovery.call("POST", "/standin/targets", [target("s-1", 9001)])
            discovery.call("POST", "/standin/faults", {})
            first = stream.receive()  # nothing was sent before a server was known
            assert len(first.resources) == 1
            stream.request(CLUSTER_URL, response_nonce=first.nonce)
            names = ["topup"]
            stream.request(ENDPOINTS_URL, resource_names=names)
            endpoints = stream.receive()
            stream.request(ENDPOINTS_URL, resource_names=names, response_nonce=endpoints.nonce)
            discovery.call("POST", "/standin/targets", [])
            discovery.call("POST", "/standin/targets", [target("s-2", 9002)])
            answer = stream.receive()
            assert answer.type_url == ENDPOINTS_URL
            assert answer.resources[0].value.count(b"127.0.0.1") == 1


@pytest.mark.parametrize("incremental", [False, True])
def test_client_status_contains_the_reason_of_a_nack(tmp_path: Path, incremental: bool) -> None:
    known = roster(target("s-1", 9001))
    with control_service(tmp_path, known) as service, raw_stream(service, incremental) as stream:
        stream.request(CLUSTER_URL)
        cluster = stream.receive()
        row = resource_statuses(service)["p1", CLUSTER_URL]
        assert (row.name, row.client_status) == ("topup", ClientResourceStatus.REQUESTED)
        stream.request(CLUSTER_URL, response_nonce=cluster.nonce)
        stream.request(LISTENER_URL)
        listener = stream.receive()
        stream.request(
            LISTENER_URL, response_nonce=listener.nonce,
            error_detail={"code": 3, "message": "port taken"},
        )  # fmt: skip

        def rejected() -> bool:
            row = resource_statuses(service)["p1", LISTENER_URL]
            return bool(row.client_status == ClientResourceStatus.NACKED)

        until(rejected)
        rows = resource_statuses(service)
        assert rows["p1", LISTENER_URL].error_state.details == "port taken"
        assert rows["p1", CLUSTER_URL].client_status == ClientResourceStatus.ACKED


@pytest.mark.parametrize("kind", list(ResourceType))
@pytest.mark.parametrize("incremental", [False, True])
def test_each_resource_type_has_its_own_discovery_service(
    tmp_path: Path, kind: ResourceType, incremental: bool
) -> None:
    names = {ResourceType.ENDPOINTS: ["topup"], ResourceType.ROUTES: ["wharfspread"]}.get(kind, [])
    key = "resource_names_subscribe" if incremental else "resource_names"
    service_name, plural = SERVICES_BY_TYPE[kind]
    with control_service(tmp_path, roster(target("s-1", 9001))) as service:
        method = f"envoy.service.{service_name}/{'Delta' if incremental else 'Stream'}{plural}"
        stream = RawStream(service.address, incremental, method=method)
        try:
            stream.request("", **{key: names})
            answer = stream.receive()
            assert answer.type_url == TYPE_URLS[kind]
            assert len(answer.resources) == 1
            stream.request(TYPE_URLS[ResourceType((kind + 1) % 4)])
            assert stream.end_status() is grpc.StatusCode.INVALID_ARGUMENT
        finally:
            stream.close()


def test_a_node_does_not_import_grpc() -> None:
    code = (
        "import sys, loadbalancer.proxy.host, loadbalancer.proxy.downstream.listener; "
        "sys.exit('grpc' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=30).returncode == 0


def test_a_grpc_client_uses_the_other_server_while_one_is_restarted(tmp_path: Path) -> None:
    """A server process is killed and started again; the client's calls go to the other server."""
    with (
        grpc_servers("s-1", "s-2") as servers,
        control_service(tmp_path, roster(*targets_of(servers))) as process,
        grpc_client(process.address) as proxy,
    ):
        assert calls(proxy, 40).keys() == {"s-1", "s-2"}
        port = servers["s-2"].address
        servers["s-2"].child.kill()
        servers["s-2"].child.wait()
        until(lambda: calls(proxy, 20) == {"s-1": 20})
        arguments = ("-m", "fakes.topup_grpc", "--name", "s-2", "--listen", port)
        with running_process(arguments):
            until(lambda: calls(proxy, 20).keys() == {"s-1", "s-2"})

"""The control service before grpcio's own xDS client and raw streams."""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from queue import Queue
from typing import Any

import grpc
import pytest
from envoy.admin.v3.config_dump_shared_pb2 import ClientResourceStatus
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.status.v3 import csds_pb2
from google.protobuf import any_pb2

from fakes.files import write_control
from fakes.fleet import Process, started
from loadbalancer.control.xds.encode import TYPES
from loadbalancer.control.xds.file import ControlError, read_file
from loadbalancer.control.xds.peers import Group, Peer
from loadbalancer.control.xds.server import SEPARATE, SERVICE, Stream
from loadbalancer.control.xds.status import SERVICE as STATUS_SERVICE
from loadbalancer.control.xds.wire import Answers
from loadbalancer.core.xds.messages import DiscoveryResponse
from loadbalancer.core.xds.session import Session
from loadbalancer.core.xds.snapshot import ResourceType, make_resource
from loadbalancer.core.xds.target_proxies import ProxyKind
from tests.harness import LIMIT, ROOT, SETTINGS, roster, target, until

COLD = SETTINGS["rules"] | {"cold": 100_000 * 1_000_000_000, "cold_from": 0.3}


def write_files(tmp_path: Path, port: int, known: dict[str, Any], discovery: str) -> Path:
    settings = SETTINGS | {"rules": COLD}
    return write_control(tmp_path, settings, known, port, discovery, "1s")


@contextlib.contextmanager
def control(
    tmp_path: Path, known: dict[str, Any], discovery: str = "127.0.0.1:1", port: int = 0
) -> Iterator[Process]:
    path = write_files(tmp_path, port, known, discovery)
    with started(("-m", "loadbalancer", "control", str(path))) as process:
        yield process


@contextlib.contextmanager
def client(tmp_path: Path, address: str) -> Iterator[Process]:
    """grpcio's client on `xds:///app.svc`, as its own process."""
    bootstrap = {
        "xds_servers": [
            {"server_uri": address, "channel_creds": [{"type": "insecure"}],
             "server_features": ["xds_v3"]}
        ],
        "node": {"id": "p1", "locality": {"zone": "east"}},
    }  # fmt: skip
    environ = {"GRPC_XDS_BOOTSTRAP_CONFIG": json.dumps(bootstrap)}
    with started(("-m", "fakes.xds_client", "xds:///app.svc"), environ) as process:
        yield process


def calls(process: Process, count: int, method: str = "Balance") -> dict[str, int]:
    seen: dict[str, int] = json.loads(process.say(f"/topup.Topup/{method} {count}"))
    return seen


@contextlib.contextmanager
def servers(*names: str) -> Iterator[dict[str, Process]]:
    with contextlib.ExitStack() as stack:
        yield {
            name: stack.enter_context(started(("-m", "fakes.topup_grpc", "--name", name)))
            for name in names
        }


def rows(up: dict[str, Process], **more: Any) -> list[dict[str, object]]:
    return [
        target(name, int(p.address.rpartition(":")[2])) | more.get(name.replace("-", "_"), {})
        for name, p in up.items()
    ]


def test_grpcs_client_follows_the_weights_of_cold_and_warm_servers(tmp_path: Path) -> None:
    """Within 5% of 2,000 calls: caps 4, 4 and, cold, 2 at three tenths of its capacity."""
    with servers("s-1", "s-2", "s-3") as up:
        cold = {"s_3": {"boot_ms": int(time.time() * 1000)}}
        known = roster(*rows(up, **cold))
        with control(tmp_path, known) as service, client(tmp_path, service.address) as proxy:
            seen = calls(proxy, 2000)
    assert seen.keys() == {"s-1", "s-2", "s-3"}
    for name, share in (("s-1", 400 / 860), ("s-2", 400 / 860), ("s-3", 60 / 860)):
        assert abs(seen[name] - 2000 * share) < 100, seen


def test_a_denied_route_is_denied_at_the_proxy(tmp_path: Path) -> None:
    with (
        servers("s-1") as up,
        control(tmp_path, roster(*rows(up))) as service,
        client(tmp_path, service.address) as proxy,
    ):
        assert calls(proxy, 3, "Credit") == {"s-1": 3}
        assert "s-1" not in calls(proxy, 3, "Other")


def test_a_drain_and_a_return_cost_no_call(tmp_path: Path) -> None:
    with servers("s-1", "s-2") as up, started(("-m", "fakes.discovery")) as discovery:
        listed = rows(up)
        discovery.call("POST", "/standin/targets", listed)
        with (
            control(tmp_path, roster(*listed), discovery.address) as service,
            client(tmp_path, service.address) as proxy,
        ):
            assert calls(proxy, 40).keys() == {"s-1", "s-2"}
            for state, present in (("leaving", {"s-1"}), ("active", {"s-1", "s-2"})):
                changed = [listed[0], listed[1] | {"state": state}]
                discovery.call("POST", "/standin/targets", changed)

                def told(present: set[str] = present) -> bool:
                    seen = calls(proxy, 20)
                    assert seen.keys() <= {"s-1", "s-2"}  # no failed call meanwhile
                    return seen.keys() == present

                until(told)


def test_a_restart_of_the_control_service_costs_no_call(tmp_path: Path) -> None:
    with servers("s-1", "s-2") as up:
        known = roster(*rows(up))
        with contextlib.ExitStack() as stack:
            with control(tmp_path, known) as service:
                port = int(service.address.rpartition(":")[2])
                proxy = stack.enter_context(client(tmp_path, service.address))
                assert sum(calls(proxy, 40).values()) == 40
            assert calls(proxy, 40).keys() == {"s-1", "s-2"}  # it is gone, they go on
            with control(tmp_path, known, port=port):
                assert calls(proxy, 40).keys() == {"s-1", "s-2"}


# ---- raw streams -------------------------------------------------------


class Raw:
    """A stream driven by hand, of either variant."""

    def __init__(
        self, address: str, incremental: bool, agent: str = "envoy", method: str = ""
    ) -> None:
        self.channel = grpc.insecure_channel(address)
        name = "DeltaAggregatedResources" if incremental else "StreamAggregatedResources"
        stream = self.channel.stream_stream(
            f"/{method or f'{SERVICE}/{name}'}",
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

    def ask(self, type_url: str, **fields: Any) -> None:
        message = self.kind(type_url=type_url, **fields)
        if self.first:
            message.node.id, message.node.user_agent_name = "p1", self.agent
            message.node.locality.zone = "east"
            self.first = False
        self._more.put(message)

    def next(self) -> Any:
        return next(self.answers)

    def ends(self) -> grpc.StatusCode:
        with pytest.raises(grpc.RpcError) as caught:
            while True:
                self.next()
        code: grpc.StatusCode = caught.value.code()
        return code

    def close(self) -> None:
        self._more.put(None)
        self.answers.cancel()
        self.channel.close()


@contextlib.contextmanager
def raw(process: Process, incremental: bool, agent: str = "envoy") -> Iterator[Raw]:
    stream = Raw(process.address, incremental, agent)
    try:
        yield stream
    finally:
        stream.close()


@pytest.mark.parametrize("incremental", [False, True])
def test_an_envoy_like_proxy_gets_clusters_endpoints_and_routes(
    tmp_path: Path, incremental: bool
) -> None:
    known = roster(target("s-1", 9001), target("s-2", 9002))
    with control(tmp_path, known) as service, raw(service, incremental) as stream:
        stream.ask(TYPES[ResourceType.CLUSTER])
        (cluster,) = stream.next().resources
        names = {"resource_names_subscribe" if incremental else "resource_names": ["topup"]}
        stream.ask(TYPES[ResourceType.ENDPOINTS], **names)
        answer = stream.next()
        assert answer.type_url == TYPES[ResourceType.ENDPOINTS] and len(answer.resources) == 1
        body = answer.resources[0].resource if incremental else answer.resources[0]
        from envoy.config.endpoint.v3 import endpoint_pb2

        load = endpoint_pb2.ClusterLoadAssignment()
        assert body.Unpack(load)
        (locality,) = load.endpoints
        ports = {e.endpoint.address.socket_address.port_value for e in locality.lb_endpoints}
        assert ports == {9001, 9002}
        assert (cluster.name if incremental else cluster.type_url) in (
            "topup",
            TYPES[ResourceType.CLUSTER],
        )


@pytest.mark.parametrize("incremental", [False, True])
def test_a_bad_stream_costs_only_itself(tmp_path: Path, incremental: bool) -> None:
    known = roster(target("s-1", 9001))
    with control(tmp_path, known) as service, raw(service, incremental) as good:
        good.ask(TYPES[ResourceType.CLUSTER])
        first = good.next()
        with raw(service, incremental) as wrong:
            wrong.ask("type.googleapis.com/some.Other")
            assert wrong.ends() is grpc.StatusCode.INVALID_ARGUMENT
        with raw(service, incremental, "squid") as unknown:
            unknown.ask(TYPES[ResourceType.CLUSTER])
            assert unknown.ends() is grpc.StatusCode.INVALID_ARGUMENT
        with raw(service, incremental) as flood:
            for _ in range(1000):
                flood.ask(TYPES[ResourceType.CLUSTER])
            assert flood.ends() is grpc.StatusCode.RESOURCE_EXHAUSTED
        with raw(service, incremental) as greedy:
            key = "resource_names_subscribe" if incremental else "resource_names"
            greedy.ask(TYPES[ResourceType.ENDPOINTS], **{key: [f"e-{i}" for i in range(10_001)]})
            assert greedy.ends() is grpc.StatusCode.INVALID_ARGUMENT
        good.ask(TYPES[ResourceType.CLUSTER], response_nonce=first.nonce)
        good.ask(TYPES[ResourceType.LISTENER])
        # Before it may come clusters with other bounds: proxies came and went.
        while (answer := good.next()).type_url != TYPES[ResourceType.LISTENER]:
            good.ask(answer.type_url, response_nonce=answer.nonce)


def test_nothing_is_withdrawn_while_no_server_is_known(tmp_path: Path) -> None:
    """Started with no list, and with a list that turns empty: silence, not an empty picture."""
    with started(("-m", "fakes.discovery")) as discovery:
        discovery.call("POST", "/standin/faults", {"status": 503})
        with (
            control(tmp_path, roster(), discovery.address) as service,
            raw(service, False) as stream,
        ):
            stream.ask(TYPES[ResourceType.CLUSTER])
            discovery.call("POST", "/standin/targets", [target("s-1", 9001)])
            discovery.call("POST", "/standin/faults", {})
            first = stream.next()  # what comes first is what is known at last
            assert len(first.resources) == 1
            stream.ask(TYPES[ResourceType.CLUSTER], response_nonce=first.nonce)
            names = ["topup"]
            stream.ask(TYPES[ResourceType.ENDPOINTS], resource_names=names)
            load = stream.next()
            stream.ask(
                TYPES[ResourceType.ENDPOINTS], resource_names=names, response_nonce=load.nonce
            )
            discovery.call("POST", "/standin/targets", [])
            discovery.call("POST", "/standin/targets", [target("s-2", 9002)])
            answer = stream.next()
            assert answer.type_url == TYPES[ResourceType.ENDPOINTS]
            assert answer.resources[0].value.count(b"127.0.0.1") == 1


def status(process: Process) -> dict[tuple[str, str], Any]:
    """What CSDS says, by proxy and resource."""
    with grpc.insecure_channel(process.address) as channel:
        fetch = channel.unary_unary(
            f"/{STATUS_SERVICE}/FetchClientStatus",
            csds_pb2.ClientStatusRequest.SerializeToString,
            csds_pb2.ClientStatusResponse.FromString,
        )
        answer = fetch(csds_pb2.ClientStatusRequest(), timeout=LIMIT)
    return {
        (config.node.id, row.type_url): row
        for config in answer.config
        for row in config.generic_xds_configs
    }


@pytest.mark.parametrize("incremental", [False, True])
def test_client_status_tells_what_was_refused_in_the_proxys_own_words(
    tmp_path: Path, incremental: bool
) -> None:
    known = roster(target("s-1", 9001))
    with control(tmp_path, known) as service, raw(service, incremental) as stream:
        stream.ask(TYPES[ResourceType.CLUSTER])
        cluster = stream.next()
        row = status(service)["p1", TYPES[ResourceType.CLUSTER]]
        assert (row.name, row.client_status) == ("topup", ClientResourceStatus.REQUESTED)
        stream.ask(TYPES[ResourceType.CLUSTER], response_nonce=cluster.nonce)
        stream.ask(TYPES[ResourceType.LISTENER])
        listener = stream.next()
        stream.ask(
            TYPES[ResourceType.LISTENER], response_nonce=listener.nonce,
            error_detail={"code": 3, "message": "port taken"},
        )  # fmt: skip

        def refused() -> bool:
            row = status(service)["p1", TYPES[ResourceType.LISTENER]]
            return bool(row.client_status == ClientResourceStatus.NACKED)

        until(refused)
        rows = status(service)
        assert rows["p1", TYPES[ResourceType.LISTENER]].error_state.details == "port taken"
        assert rows["p1", TYPES[ResourceType.CLUSTER]].client_status == ClientResourceStatus.ACKED


@pytest.mark.parametrize("kind", list(ResourceType))
@pytest.mark.parametrize("incremental", [False, True])
def test_a_type_has_a_stream_of_its_own_where_a_proxy_asks_so(
    tmp_path: Path, kind: ResourceType, incremental: bool
) -> None:
    names = {ResourceType.ENDPOINTS: ["topup"], ResourceType.ROUTES: ["wharfspread"]}.get(kind, [])
    key = "resource_names_subscribe" if incremental else "resource_names"
    service_name, plural = SEPARATE[kind]
    with control(tmp_path, roster(target("s-1", 9001))) as service:
        method = f"envoy.service.{service_name}/{'Delta' if incremental else 'Stream'}{plural}"
        stream = Raw(service.address, incremental, method=method)
        try:
            stream.ask("", **{key: names})
            answer = stream.next()
            assert answer.type_url == TYPES[kind] and len(answer.resources) == 1
            stream.ask(TYPES[ResourceType((kind + 1) % 4)])
            assert stream.ends() is grpc.StatusCode.INVALID_ARGUMENT
        finally:
            stream.close()


def test_a_proxy_that_guesses_nonces_and_reads_nothing_fills_no_queue() -> None:
    stream = Stream(Peer("p1", Group(ProxyKind.ENVOY, "")), Session(False))
    for i in range(100):
        stream.put([DiscoveryResponse(kind, str(i), str(i), ()) for kind in ResourceType])
    assert [(r.resource_type, r.nonce) for r in stream.unsent] == [
        (kind, "99") for kind in ResourceType
    ]


@pytest.mark.parametrize("incremental", [False, True])
def test_an_answer_is_joined_once_and_reads_as_the_published_message(incremental: bool) -> None:
    answers = Answers(incremental)
    body = any_pb2.Any(type_url=TYPES[ResourceType.ENDPOINTS], value=b"x" * 300).SerializeToString()
    row = make_resource("topup", body)
    message = (
        discovery_pb2.DeltaDiscoveryResponse if incremental else discovery_pb2.DiscoveryResponse
    )
    for nonce in ("1", "2", "3"):
        gone = ("a", "b") if incremental else ()
        reply = DiscoveryResponse(ResourceType.ENDPOINTS, "v", nonce, (row,), gone)
        read = message.FromString(answers.encode(reply))
        assert (read.nonce, read.type_url) == (nonce, TYPES[ResourceType.ENDPOINTS])
        (found,) = read.resources
        if incremental:
            assert list(read.removed_resources) == ["a", "b"]
            assert (found.name, found.version) == ("topup", row.version)
        assert (found.resource if incremental else found).value == b"x" * 300
    assert answers.joined == 1


# ---- the file ----------------------------------------------------------


def test_a_bad_control_file_names_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "control.toml"
    path.write_text('version = 1\nlisten = "0.0.0.0:18000"\nrotues = "x"\nconfig = 5\n')
    with pytest.raises(ControlError) as caught:
        read_file(str(path))
    faults = [line.removeprefix(f"{path}:") for line in str(caught.value).splitlines()]
    assert [f.split(":")[0] for f in faults] == ["1", "2", "3", "4"]
    assert "[wide-listener]" in faults[1] and "[unknown-key]" in faults[2]
    done = subprocess.run(
        [sys.executable, "-m", "loadbalancer", "control", str(path)],
        cwd=ROOT, capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 2 and "[wide-listener]" in done.stderr


def test_the_node_does_not_import_what_the_control_service_needs() -> None:
    code = (
        "import sys, loadbalancer.proxy.host, loadbalancer.proxy.downstream.listener; "
        "sys.exit('grpc' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, timeout=30).returncode == 0

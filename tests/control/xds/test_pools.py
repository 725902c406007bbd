"""Several pools, lists from a file, TLS, load reports and reloads of the control service."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from queue import Queue
from typing import Any

import grpc
import pytest
import trustme
from envoy.admin.v3.config_dump_shared_pb2 import ClientResourceStatus
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.status.v3 import csds_pb2

from fakes.files import GRPC_BALANCE, METHODS, routes_toml, write_config
from fakes.fleet import Process, started
from loadbalancer.control.xds.encode import TYPES
from loadbalancer.control.xds.file import ControlError, read_file
from loadbalancer.control.xds.load_reports import SERVICE as LOAD_SERVICE
from loadbalancer.control.xds.pool import Pool
from loadbalancer.control.xds.server import SERVICE
from loadbalancer.control.xds.service import read_inputs
from loadbalancer.control.xds.status import SERVICE as STATUS
from loadbalancer.core.xds.snapshot import ResourceType
from loadbalancer.sources.discovery import Discovery
from tests.control.xds.test_hostile import until_said
from tests.control.xds.test_service import Raw, calls, client, control, raw, rows, servers, status
from tests.harness import LIMIT, ROOT, SETTINGS, roster, target, until

TWO = """\
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


def replace(path: Path, text: str) -> None:
    """As an operator should: never half written."""
    new = path.with_suffix(".new")
    new.write_text(text)
    new.rename(path)


def write_two(tmp_path: Path, text: str = TWO) -> Path:
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
def two(tmp_path: Path, text: str = TWO) -> Iterator[Process]:
    path = write_two(tmp_path, text)
    with started(("-m", "loadbalancer", "control", str(path))) as process:
        yield process


class Envoy:
    """A whole-variant stream that keeps what it is told and acknowledges it."""

    def __init__(self, stream: Raw) -> None:
        self.stream = stream
        self.loads: dict[str, Any] = {}
        self.routes: Any = None
        self.names: dict[str, list[str]] = {}

    def subscribe(self, kind: ResourceType, *names: str) -> None:
        self.names[TYPES[kind]] = list(names)
        self.stream.ask(TYPES[kind], resource_names=names)

    def take(self) -> str:
        m = self.stream.next()
        for r in m.resources:
            if r.Is(endpoint_pb2.ClusterLoadAssignment.DESCRIPTOR):
                load = endpoint_pb2.ClusterLoadAssignment.FromString(r.value)
                self.loads[load.cluster_name] = {
                    e.endpoint.address.socket_address.port_value: e
                    for x in load.endpoints for e in x.lb_endpoints
                }  # fmt: skip
            elif r.Is(route_pb2.RouteConfiguration.DESCRIPTOR):
                self.routes = route_pb2.RouteConfiguration.FromString(r.value)
        self.stream.ask(
            m.type_url, resource_names=self.names[m.type_url], response_nonce=m.nonce,
            version_info=m.version_info,
        )  # fmt: skip
        return str(m.type_url)

    def ports(self, service: str) -> set[int]:
        return set(self.loads.get(service, ()))


@contextlib.contextmanager
def envoy(process: Process) -> Iterator[Envoy]:
    """It asks for all endpoints that its clusters name, as proxies do."""
    services = ("topup", "billing")
    with raw(process, False) as stream:
        out = Envoy(stream)
        out.subscribe(ResourceType.CLUSTER)
        out.subscribe(ResourceType.ENDPOINTS, *services)
        out.subscribe(ResourceType.ROUTES, "wharfspread")
        while out.loads.keys() != set(services) or out.routes is None:
            out.take()
        yield out


def test_each_pool_has_its_own_servers_and_all_are_handed_out_together(tmp_path: Path) -> None:
    with two(tmp_path) as process, envoy(process) as proxy:
        assert proxy.ports("topup") == {9001}
        assert proxy.ports("billing") == {9101, 9102}  # the file goes before discovery's list
        hosts = {h.name: list(h.domains) for h in proxy.routes.virtual_hosts}
        assert hosts == {"topup": ["app.svc"], "billing": ["bill.svc"]}


def test_a_members_file_is_followed_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "billing-members.json"
    with two(tmp_path) as process, envoy(process) as proxy:
        for bad in ('{"targets": [', "[]", '{"targets": [{"uid": "x", "state": "odd"}]}'):
            replace(path, bad)
            until_said(process, "billing-members.json not used")
        replace(path, json.dumps(roster(target("b-3", 9103))))
        while proxy.ports("billing") != {9103}:
            assert proxy.ports("billing") == {9101, 9102}
            proxy.take()
        path.unlink()  # a list that is not there is not an empty one
        path.write_text(json.dumps(roster(target("b-4", 9104))))
        while proxy.ports("billing") != {9104}:
            assert proxy.ports("billing") == {9103}
            proxy.take()


def test_a_pool_that_knows_no_server_holds_back_all_so_that_nothing_is_taken(
    tmp_path: Path,
) -> None:
    path = write_two(tmp_path)
    members = tmp_path / "billing-members.json"
    members.write_text(json.dumps(roster()))
    with (
        started(("-m", "loadbalancer", "control", str(path))) as process,
        raw(process, False) as stream,
    ):
        stream.ask(TYPES[ResourceType.CLUSTER])
        until_said(process, "no server is known of billing")
        replace(members, json.dumps(roster(target("b-1", 9101))))
        assert len(stream.next().resources) == 2


def test_routes_are_read_again_whole_or_not_at_all(tmp_path: Path) -> None:
    with two(tmp_path) as process, envoy(process) as proxy:
        good = (tmp_path / "topup.toml").read_text()
        replace(tmp_path / "topup.toml", good.replace('path = "/topup.Topup/Balance"', "path = 5"))
        replace(tmp_path / "billing.toml", good.replace('"topup"', '"other"'))
        process.popen.send_signal(signal.SIGHUP)
        until_said(process, "reload: nothing changed")
        replace(tmp_path / "topup.toml", good.replace("/topup.Topup/Balance", "/topup.Topup/Ask"))
        billing = good.replace('"topup"', '"billing"').replace('"app.svc"', '"b2.svc"')
        replace(tmp_path / "billing.toml", billing)
        process.popen.send_signal(signal.SIGHUP)
        until_said(process, "reload: taken over")
        while proxy.routes.virtual_hosts[0].routes[0].match.path != "/topup.Topup/Ask":
            proxy.take()
        assert list(proxy.routes.virtual_hosts[1].domains) == ["b2.svc"]


def test_a_reload_that_would_need_a_restart_says_so_and_changes_nothing(tmp_path: Path) -> None:
    with two(tmp_path) as process, envoy(process) as proxy:
        billing = (tmp_path / "billing.toml").read_text()
        replace(tmp_path / "billing.toml", billing.replace("bill.svc", "b2.svc"))
        for old, new in (
            ("0.1:0", "0.1:1"), ('name = "billing"', 'name = "other"'),
            ('members = "billing', 'members = "other'),
        ):  # fmt: skip
            replace(tmp_path / "control.toml", TWO.replace(old, new))
            process.popen.send_signal(signal.SIGHUP)
            until_said(process, "reload: nothing changed")
        assert list(proxy.routes.virtual_hosts[1].domains) == ["bill.svc"]
        replace(tmp_path / "control.toml", TWO)
        process.popen.send_signal(signal.SIGHUP)
        until_said(process, "reload: taken over")
        while list(proxy.routes.virtual_hosts[1].domains) != ["b2.svc"]:
            proxy.take()


def test_a_host_in_two_pools_is_refused_with_its_place(tmp_path: Path) -> None:
    path = write_two(tmp_path)
    text = (tmp_path / "billing.toml").read_text()
    (tmp_path / "billing.toml").write_text(text.replace("bill.svc", "app.svc"))
    done = subprocess.run(
        [sys.executable, "-m", "loadbalancer", "control", str(path)],
        cwd=ROOT, capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 2
    assert "billing.toml: [twice] host app.svc is pool topup's already" in done.stderr


def test_a_list_that_turns_empty_is_told_as_old_in_the_proxys_status(tmp_path: Path) -> None:
    with two(tmp_path) as process, envoy(process) as proxy:
        assert "membership" not in config(process).node.metadata
        replace(tmp_path / "billing-members.json", json.dumps(roster()))
        until(lambda: "list is empty" in str(config(process).node.metadata))
        assert proxy.ports("billing") == {9101, 9102}


def config(process: Process) -> Any:
    """The first proxy's client status."""
    with grpc.insecure_channel(process.address) as channel:
        fetch = channel.unary_unary(
            f"/{STATUS}/FetchClientStatus",
            csds_pb2.ClientStatusRequest.SerializeToString,
            csds_pb2.ClientStatusResponse.FromString,
        )
        return fetch(csds_pb2.ClientStatusRequest(), timeout=LIMIT).config[0]


def test_a_kind_that_bounds_nothing_is_not_served_and_its_status_says_why(tmp_path: Path) -> None:
    with (
        control(tmp_path, roster(target("s-1", 9001))) as process,
        raw(process, True, "gRPC Go") as stream,  # tells no version
    ):
        stream.ask(TYPES[ResourceType.LISTENER], resource_names_subscribe=["app.svc"])
        answer = stream.next()
        assert list(answer.removed_resources) == ["app.svc"]
        row = status(process)["p1", TYPES[ResourceType.CLUSTER]]
        assert row.name == "topup"
        assert row.client_status == ClientResourceStatus.DOES_NOT_EXIST
        assert "not served: bounds nothing in flight" in row.error_state.details
    assert process.log.count("topup is not served") == 1


# ---- load reports --------------------------------------------------------


class Reporter:
    """A load-reporting stream driven by hand."""

    def __init__(self, process: Process, node: str) -> None:
        self.channel = grpc.insecure_channel(process.address)
        self._more: Queue[Any] = Queue()
        call = self.channel.stream_stream(
            f"/{LOAD_SERVICE}/StreamLoadStats",
            lrs_pb2.LoadStatsRequest.SerializeToString,
            lrs_pb2.LoadStatsResponse.FromString,
        )
        first = lrs_pb2.LoadStatsRequest()
        first.node.id, first.node.user_agent_name = node, "envoy"
        self._more.put(first)
        self.answers = call(iter(self._more.get, None), timeout=LIMIT)
        self.asked = next(self.answers)

    def report(self, rows: dict[int, tuple[int, int]], ms: int = 10) -> None:
        """Well and badly finished requests by port, over so many milliseconds."""
        message = lrs_pb2.LoadStatsRequest()
        stats = message.cluster_stats.add(cluster_name="topup")
        stats.load_report_interval.nanos = ms * 1_000_000
        locality = stats.upstream_locality_stats.add()
        for port, (ok, errors) in rows.items():
            one = locality.upstream_endpoint_stats.add(
                total_successful_requests=ok, total_error_requests=errors,
                total_issued_requests=ok + errors,
            )  # fmt: skip
            one.address.socket_address.address = "127.0.0.1"
            one.address.socket_address.port_value = port
        self._more.put(message)

    def close(self) -> None:
        self._more.put(None)
        self.answers.cancel()
        self.channel.close()


def test_what_proxies_report_takes_out_a_server_that_fails(tmp_path: Path) -> None:
    """Two proxies of three say so; a third, which reports nothing, is told as well."""
    text = TWO.replace('config = "topup.json"', 'config = "topup.json"\nmembers = "m.json"')
    (tmp_path / "m.json").write_text(
        json.dumps(roster(*(target(f"s-{i}", 9000 + i) for i in range(1, 5))))
    )
    with two(tmp_path, text) as process, envoy(process) as proxy:
        reporters = [Reporter(process, name) for name in ("r1", "r2")]
        assert reporters[0].asked.load_reporting_interval.seconds == 1
        assert reporters[0].asked.send_all_clusters
        good = {9000 + i: (100, 0) for i in range(1, 5)}
        for r in reporters:
            r.report(good | {9003: (0, 100)})
        unhealthy = 2
        while proxy.loads["topup"][9003].health_status != unhealthy:
            proxy.take()
        assert all(proxy.loads["topup"][p].health_status == 1 for p in (9001, 9002, 9004))
        for r in reporters:
            r.close()


def test_absurd_reports_are_said_once_and_change_nothing(tmp_path: Path) -> None:
    with control(tmp_path, roster(target("s-1", 9001), target("s-2", 9002))) as process:
        r = Reporter(process, "r1")
        for _ in range(3):
            r.report({9001: (0, 1 << 62)})
        r.report({9001: (1, 0)}, ms=999)  # the next of them covers more time than passed
        r.report({9001: (1, 0)}, ms=999)
        r.report({9001: (1, 0)}, ms=999)
        until_said(process, "covers more time than has passed")
        with raw(process, False) as stream:
            stream.ask(TYPES[ResourceType.CLUSTER])
            assert len(stream.next().resources) == 1
        r.close()
    assert process.log.count("load report not counted: more than 1000000 a second") == 1


def test_a_flood_of_reports_ends_its_stream_alone(tmp_path: Path) -> None:
    with control(tmp_path, roster(target("s-1", 9001))) as process:
        flood, good = Reporter(process, "r1"), Reporter(process, "r2")
        for _ in range(1000):
            flood.report({9001: (1, 0)}, ms=0)
        with pytest.raises(grpc.RpcError) as caught:
            next(flood.answers)
        assert caught.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
        good.report({9001: (1, 0)})
        with raw(process, False) as stream:
            stream.ask(TYPES[ResourceType.CLUSTER])
            assert len(stream.next().resources) == 1
        good.close()
        flood.close()


def test_a_list_not_heard_of_is_old_and_stands(tmp_path: Path) -> None:
    """Thirty seconds of silence, told by the time of the last word and not waited for."""
    file = read_file(str(write_two(tmp_path, TWO)))

    async def play() -> None:
        inputs = read_inputs(file)
        said: list[str] = []
        pool = Pool(*inputs[0], 0, lambda: None, lambda _pool: None, said.append)
        pool.start()
        assert pool.old() == ""
        pool.heard -= Discovery.old_after
        assert pool.old() == "topup: not heard of for 30 s"
        assert pool.known() and len(pool.usable()) == 1

    asyncio.run(play())


def test_grpcs_own_client_reports_its_load(tmp_path: Path) -> None:
    with (
        servers("s-1", "s-2") as up,
        control(tmp_path, roster(*rows(up))) as process,
        client(tmp_path, process.address) as proxy,
    ):

        def counted() -> bool:
            assert sum(calls(proxy, 20).values()) == 20
            return "counted" in str(config(process).node.metadata)

        until(counted)


def test_a_server_lost_and_back_costs_grpcs_client_no_call(tmp_path: Path) -> None:
    with (
        servers("s-1", "s-2") as up,
        control(tmp_path, roster(*rows(up))) as process,
        client(tmp_path, process.address) as proxy,
    ):
        assert calls(proxy, 40).keys() == {"s-1", "s-2"}
        port = up["s-2"].address
        up["s-2"].popen.kill()
        up["s-2"].popen.wait()
        until(lambda: calls(proxy, 20) == {"s-1": 20})
        words = ("-m", "fakes.topup_grpc", "--name", "s-2", "--listen", port)
        with started(words):
            until(lambda: calls(proxy, 20).keys() == {"s-1", "s-2"})


# ---- TLS ------------------------------------------------------------------


TLS = """
[tls]
certificate = "server.pem"
key = "server.key"
clients = "ca.pem"
nodes = { "proxy.east.example" = ["p1", "east-*"], "proxy.west.example" = ["west-*"] }
"""


@pytest.fixture(scope="module")
def authority() -> trustme.CA:
    return trustme.CA()


@contextlib.contextmanager
def secured(tmp_path: Path, authority: trustme.CA) -> Iterator[Process]:
    issue(tmp_path, authority)
    authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    with two(tmp_path, TWO + TLS) as process:
        yield process


def issue(tmp_path: Path, authority: trustme.CA) -> None:
    cert = authority.issue_cert("control.example")
    cert.private_key_pem.write_to_path(str(tmp_path / "server.key"))
    cert.cert_chain_pems[0].write_to_path(str(tmp_path / "server.pem"))


def secure_stream(
    process: Process, authority: trustme.CA, signer: trustme.CA | None, name: str, node: str
) -> Any:
    """The first answer of a stream under a certificate of this name, for this node id."""
    pair: dict[str, bytes] = {}
    if signer is not None:
        cert = signer.issue_cert(name)
        pair = {
            "private_key": cert.private_key_pem.bytes(),
            "certificate_chain": cert.cert_chain_pems[0].bytes(),
        }
    credentials = grpc.ssl_channel_credentials(authority.cert_pem.bytes(), **pair)
    options = [("grpc.ssl_target_name_override", "control.example")]
    with grpc.secure_channel(process.address, credentials, options) as channel:
        stream = channel.stream_stream(
            f"/{SERVICE}/StreamAggregatedResources",
            discovery_pb2.DiscoveryRequest.SerializeToString,
            discovery_pb2.DiscoveryResponse.FromString,
        )
        first = discovery_pb2.DiscoveryRequest(type_url=TYPES[ResourceType.CLUSTER])
        first.node.id, first.node.user_agent_name = node, "envoy"
        answers = stream(iter([first]), timeout=LIMIT)
        return next(answers)


def test_a_certificates_name_is_bound_to_the_node_ids_it_may_use(
    tmp_path: Path, authority: trustme.CA
) -> None:
    with secured(tmp_path, authority) as process:
        for name, node in (("proxy.east.example", "east-7"), ("proxy.west.example", "west-1")):
            assert len(secure_stream(process, authority, authority, name, node).resources) == 2
        wrong = [
            ("proxy.east.example", "west-1"), ("proxy.west.example", "p1"),
            ("proxy.north.example", "p1"),
        ]  # fmt: skip
        for name, node in wrong:
            with pytest.raises(grpc.RpcError) as caught:
                secure_stream(process, authority, authority, name, node)
            assert caught.value.code() is grpc.StatusCode.PERMISSION_DENIED
    assert "may not speak for 'west-1'" in process.log


def test_no_certificate_or_a_strangers_gets_no_stream(
    tmp_path: Path, authority: trustme.CA
) -> None:
    with secured(tmp_path, authority) as process:
        for signer in (None, trustme.CA()):
            with pytest.raises(grpc.RpcError) as caught:
                secure_stream(process, authority, signer, "proxy.east.example", "east-7")
            assert caught.value.code() is grpc.StatusCode.UNAVAILABLE
    assert "connected" not in process.log


def test_a_renewed_certificate_is_used_without_a_restart(
    tmp_path: Path, authority: trustme.CA
) -> None:
    with secured(tmp_path, authority) as process:
        issue(tmp_path, authority)
        renewed = trustme.CA()
        renewed.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
        issue(tmp_path, renewed)

        def served() -> bool:
            try:
                secure_stream(process, renewed, renewed, "proxy.east.example", "east-7")
            except grpc.RpcError:
                return False
            return True

        until(served)


# ---- the file ---------------------------------------------------------------


@pytest.mark.parametrize(
    ("old", "new", "line", "rule"),
    [
        ('listen = "127.0.0.1:0"', 'listen = "0.0.0.0:0"', 2, "wide-listener"),
        ('report_every = "1s"', 'report_every = "soon"', 3, "bad-value"),
        ('report_every = "1s"', 'slow_start = "both"', 3, "bad-value"),
        ('report_every = "1s"', 'routes = "r.toml"', 3, "twice"),
        ('name = "billing"', 'name = "topup"', 9, "twice"),
        ('members = "bill', 'memberz = "bill', 12, "unknown-key"),
        ('routes = "billing.toml"\n', "", 8, "missing-key"),
        ("# tls", "[tls]\nnodes = {}", 14, "missing-key"),
        ("# tls", TLS.replace('["west-*"]', "5"), 18, "bad-value"),
    ],
)
def test_a_fault_in_the_file_is_named_with_line_and_rule(
    tmp_path: Path, old: str, new: str, line: int, rule: str
) -> None:
    path = tmp_path / "control.toml"
    path.write_text((TWO + "# tls").replace(old, new))
    with pytest.raises(ControlError) as caught:
        read_file(str(path))
    assert f"{path}:{line}: [{rule}]" in str(caught.value), caught.value


def test_a_wide_listener_is_good_with_tls(tmp_path: Path) -> None:
    path = tmp_path / "control.toml"
    path.write_text(TWO.replace('listen = "127.0.0.1:0"', 'listen = "0.0.0.0:0"') + TLS)
    found = read_file(str(path))
    assert found.tls is not None and found.tls.allows(["x", "proxy.east.example"], "east-1")
    assert not found.tls.allows(["proxy.east.example"], "west-1")

"""Plans: the Balancer's figures, in the form that each kind of proxy carries out."""

from __future__ import annotations

import heapq
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.route.v3 import route_pb2
from google.protobuf import any_pb2, message

from loadbalancer.config.toml_file import parse
from loadbalancer.control.xds import encoder as encoder_module
from loadbalancer.control.xds.encoder import Encoder
from loadbalancer.core import Effect, RequestClass, Scope, Settings, State
from loadbalancer.core.balancing.model import SECOND, ServerView
from loadbalancer.core.routes.file import decode
from loadbalancer.core.routes.table import NEVER_RAN, Condition, Pattern, Policy, Route, Table
from loadbalancer.core.xds.endpoint_plan import endpoint_weight
from loadbalancer.core.xds.plan import Plan, make_plan
from loadbalancer.core.xds.route_plan import plan_routes
from loadbalancer.core.xds.snapshot import ResourceType, Snapshot
from loadbalancer.core.xds.target_proxies import ProxyKind, TargetProxies, proxy_kind_of
from tests.routefiles import GOOD, with_changes

SETTINGS = Settings(
    classes=(
        RequestClass("balance", 800_000_000, 2 * SECOND),
        RequestClass("credit", 750_000_000, 3 * SECOND, Effect.SIDE_EFFECT),
        RequestClass("topup", 750_000_000, 3 * SECOND, Effect.TOKEN),
    ),
    cold_from=0.3,
)
ENVOY = TargetProxies(ProxyKind.ENVOY, 0, ("east", "west"), 1)
GRPC = replace(ENVOY, kind=ProxyKind.GRPC)
LISTEN = ("127.0.0.1", 10000)


def table(text: str = GOOD) -> Table:
    found = decode(*parse(text.encode())).table
    assert found is not None
    return found


def server(backend: int, **fields: Any) -> ServerView:
    base = ServerView(backend, 0, State.READY, 4, 1.0, 1.0, False)
    return base._replace(**fields)


def planned(*view: ServerView, target: TargetProxies = ENVOY, text: str = GOOD) -> Plan:
    addresses = {row.backend: ("127.0.0.1", 9000 + row.backend) for row in view}
    found = table(text)
    return make_plan(found.services[0], SETTINGS, found.node_budget, view, addresses, target)


def unpacked(snapshot: Snapshot, kind: ResourceType, name: str, into: Any) -> Any:
    wrapped = any_pb2.Any.FromString(snapshot.of_type(kind)[name].body)
    assert wrapped.Unpack(into)
    return into


def cluster(plan: Plan, kind: ProxyKind = ProxyKind.ENVOY) -> Any:
    snapshot = Encoder(kind, LISTEN).build([plan])
    return unpacked(snapshot, ResourceType.CLUSTER, "topup", cluster_pb2.Cluster())


def routes(plan: Plan, kind: ProxyKind = ProxyKind.ENVOY) -> dict[str, Any]:
    name = "topup" if kind.proxyless else "wharfspread"
    snapshot = Encoder(kind, LISTEN).build([plan])
    found = unpacked(snapshot, ResourceType.ROUTES, name, route_pb2.RouteConfiguration())
    return {route.name.removeprefix("topup/"): route for route in found.virtual_hosts[0].routes}


def test_the_bound_in_flight_is_divided_among_the_proxies_present() -> None:
    view = [server(i) for i in range(1, 101)]
    bounds = {
        n: planned(*view, target=replace(ENVOY, connected=n)).max_requests for n in (1, 21, 200)
    }
    assert bounds == {1: 384, 21: 384 // 32, 200: 384 // 256}
    assert all(n * bound <= 400 for n, bound in bounds.items())


def test_more_proxies_than_slots_get_one_each() -> None:
    assert planned(server(1), target=replace(ENVOY, connected=1000)).max_requests == 1


def test_a_cold_servers_weight_goes_up_in_steps_and_never_to_nothing() -> None:
    weights = [endpoint_weight(server(1, capacity_fraction=i / 1000)) for i in range(1001)]
    assert weights == sorted(weights)
    assert weights[0] == 1
    assert weights[-1] == 400
    assert len(set(weights)) < 50
    assert all(w <= max(400 * i / 1000, 1) for i, w in enumerate(weights))


def test_where_proxies_have_slow_start_the_weight_holds_no_warmth() -> None:
    cold = server(1, capacity_fraction=0.3)
    slow_start = replace(ENVOY, proxy_slow_start=True)
    with_slow_start = planned(cold, target=slow_start)
    assert with_slow_start.localities[0].endpoints[0].weight == 400
    out = cluster(with_slow_start).round_robin_lb_config.slow_start_config
    assert out.slow_start_window.seconds == 10
    assert out.min_weight_percent.value == 30
    assert planned(cold).localities[0].endpoints[0].weight == 120
    assert not cluster(planned(cold)).HasField("round_robin_lb_config")
    # gRPC's client has no ramp of its own: the weight carries it whatever is set.
    assert (
        planned(cold, target=replace(slow_start, kind=ProxyKind.GRPC)).localities[0].weight == 120
    )


def test_envoy_gets_the_balancers_own_rule_for_consecutive_errors() -> None:
    out = cluster(planned(server(1))).outlier_detection
    assert (out.consecutive_5xx.value, out.max_ejection_percent.value) == (3, 50)
    assert (out.base_ejection_time.seconds, out.max_ejection_time.seconds) == (1, 8)
    assert out.enforcing_success_rate.value == 0
    assert out.HasField("enforcing_success_rate")


def test_a_retry_budget_is_the_narrowest_of_the_services() -> None:
    budget = cluster(planned(server(1))).circuit_breakers.thresholds[0].retry_budget
    assert budget.budget_percent.value == pytest.approx(5.0)  # of second copies
    assert budget.min_retry_concurrency.value == 3
    no_copy = with_changes(('second_copy = { after = "80ms", most = 0.05 }\n', ""))
    budget = cluster(planned(server(1), text=no_copy)).circuit_breakers.thresholds[0].retry_budget
    assert budget.budget_percent.value == pytest.approx(20.0)


def test_a_second_copy_is_a_hedge_of_one_and_only_what_is_safe_has_one() -> None:
    found = routes(planned(server(1)))
    balance = found["balance"].route
    assert balance.hedge_policy.hedge_on_per_try_timeout
    assert balance.retry_policy.per_try_timeout.nanos == 80_000_000
    assert balance.retry_policy.num_retries.value == 1
    assert not found["credit"].route.HasField("hedge_policy")
    plan = planned(server(1), target=GRPC)
    assert not routes(plan, ProxyKind.GRPC)["balance"].route.HasField("hedge_policy")
    assert plan.omitted == ("topup/balance: gRPC's client sends no second copies",)


@pytest.mark.parametrize("kind", [ProxyKind.ENVOY, ProxyKind.GRPC])
def test_credits_routes_hold_no_retry_condition_that_may_have_run(kind: ProxyKind) -> None:
    plan = planned(server(1), target=replace(ENVOY, kind=kind))
    (credit,) = (
        route for route in plan.routes if route.policy is not None and route.policy.cls == "credit"
    )
    never_ran = {Condition.CONNECT_FAILURE, Condition.REFUSED, Condition.RESET_BEFORE_SENT}
    assert set(credit.retry_on) <= never_ran
    retry = routes(plan, kind)["credit"].route.retry_policy
    conditions: set[str] = set(filter(None, retry.retry_on.split(",")))
    safe = {"connect-failure", "refused-stream", "reset-before-request"}
    assert conditions == (set() if kind.proxyless else safe)


@pytest.mark.parametrize("scope", list(Scope))
def test_a_proxy_repeats_a_key_only_where_every_server_knows_it(scope: Scope) -> None:
    """A proxy can't be told to stay within a zone or a cell: its repeat ran in another one."""
    keyed = Policy(
        "topup/credit", "topup", 2, Effect.TOKEN, scope, attempts=3, retry_on=frozenset(Condition)
    )
    pattern = Pattern((b"topup",), prefix=True)
    route = Route("credit", pattern, frozenset(), frozenset(), b"topup", False, {b"topup": keyed})
    (plan,) = plan_routes([route], ProxyKind.ENVOY)
    expected = frozenset(Condition) if scope is Scope.ALL else NEVER_RAN
    assert frozenset(plan.retry_on) == expected


def test_a_route_that_takes_its_class_from_the_path_is_a_path_for_each_class() -> None:
    text = with_changes(('prefix = "/"\ndeny = true', 'prefix = "/"'))
    plan = planned(server(1), text=text)
    assert not plan.unsupported
    patterns = {
        str(route.pattern): route.policy.cls
        for route in plan.routes
        if route.name == "topup/rest" and route.policy
    }
    assert patterns == {f"/{c} and below": c for c in ("balance", "credit", "topup")}


def test_grpcs_calls_are_all_post() -> None:
    text = with_changes(
        ('prefix = "/balance"', 'prefix = "/balance"\nmethods = ["GET"]'),
        ('prefix = "/credit"', 'prefix = "/credit"\nmethods = ["POST", "GET"]'),
    )
    plan = planned(server(1), target=GRPC, text=text)
    assert [route.name for route in plan.routes] == ["topup/credit", "topup/rest"]
    assert not plan.unsupported
    envoy = routes(planned(server(1), text=text))["credit"]
    (header,) = envoy.match.headers
    assert (header.name, header.string_match.safe_regex.regex) == (":method", "GET|POST")


@pytest.mark.parametrize(
    ("agent", "version", "kind"),
    [
        ("envoy", "1.30.1", ProxyKind.ENVOY),
        ("gRPC C-core linux", "C-core 1.85.3", ProxyKind.GRPC),
        ("gRPC Go", "1.36.0", ProxyKind.GRPC_UNBOUNDED),
        ("gRPC Java", "1.37.1", ProxyKind.GRPC),
        ("gRPC Node Pure JS", "1.8.0", ProxyKind.GRPC_NODE),
        ("gRPC Node Pure JS", "1.2.9", ProxyKind.GRPC_UNBOUNDED),
        ("gRPC Go", "", ProxyKind.GRPC_UNBOUNDED),
        ("squid", "6.1", None),
        ("", "", None),
    ],
)
def test_a_proxys_kind_follows_from_its_node_message(
    agent: str, version: str, kind: ProxyKind | None
) -> None:
    assert proxy_kind_of(agent, version) is kind


def test_grpcs_client_for_node_is_never_sent_a_route_that_ends_its_process() -> None:
    """The client for Node.js ends its process on a denied route.

    One behind all others is omitted, since a call that no route matches is forwarded as little.
    With one in between, the service is withheld.
    """
    node = replace(GRPC, kind=ProxyKind.GRPC_NODE)
    grpc_plan = planned(server(1), target=GRPC)
    plan = planned(server(1), target=node)
    assert [route.name for route in grpc_plan.routes if route.policy is None]
    assert plan.routes
    assert all(route.policy is not None for route in plan.routes)
    assert not plan.unsupported
    assert [route.name for route in plan.routes] == [
        route.name for route in grpc_plan.routes if route.policy is not None
    ]
    for route in routes(plan, ProxyKind.GRPC_NODE).values():
        assert route.HasField("route")
    inner = GOOD + '[[service.route]]\nname = "inner"\nprefix = "/balance/in"\ndeny = true\n'
    assert "topup/inner" in planned(server(1), target=node, text=inner).unsupported[0]
    assert not planned(server(1), target=GRPC, text=inner).unsupported


def test_a_proxy_without_circuit_breaking_is_not_served_and_the_reason_is_named() -> None:
    plan = planned(server(1), target=replace(ENVOY, kind=ProxyKind.GRPC_UNBOUNDED))
    assert plan.unsupported == ("bounds nothing in flight, or tells no version",)
    wild = with_changes(
        ('hosts = ["topup.example.org", "*.example.org"]', 'hosts = ["*.example.org"]')
    )
    assert "exact host" in planned(server(1), target=GRPC, text=wild).unsupported[0]
    assert not planned(server(1), text=wild).unsupported


def test_what_has_not_changed_is_not_serialised_again(monkeypatch: pytest.MonkeyPatch) -> None:
    sizes: list[int] = []
    pack = encoder_module._packed

    def counting_pack(body: message.Message) -> bytes:
        packed = pack(body)
        sizes.append(len(packed))
        return packed

    monkeypatch.setattr(encoder_module, "_packed", counting_pack)
    view = [server(i) for i in range(1, 271)]
    encoder = Encoder(ProxyKind.ENVOY, LISTEN)
    first = encoder.build([planned(*view)])
    assert encoder.build([planned(*view)]) is first
    assert len(sizes) == sum(len(first.of_type(kind)) for kind in ResourceType)
    sizes.clear()
    second = encoder.build([planned(*view[:-1], server(270, state=State.DRAINING))])
    (endpoints,) = second.of_type(ResourceType.ENDPOINTS).values()
    assert sizes == [len(endpoints.body)]


# ---- a cold server before many proxies ---------------------------------


class Wheel:
    """A proxy's weighted round robin, earliest deadline first, as Envoy's: built anew
    with every new set of weights, its first turns the heaviest servers'."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.heap: list[tuple[float, float, int, int]] = []
        self.at = 0.0

    def load(self, weights: dict[int, int]) -> None:
        self.at = 0.0
        self.heap = [(1.0 / w, self.random.random(), b, w) for b, w in weights.items()]
        heapq.heapify(self.heap)

    def pick(self) -> int:
        due, _, backend, w = self.heap[0]
        self.at = due
        heapq.heapreplace(self.heap, (due + 1.0 / w, self.random.random(), backend, w))
        return backend


@pytest.mark.parametrize("proxyless", [False, True])
@pytest.mark.parametrize("servers", [3, 11, 270])
def test_a_cold_server_stays_under_the_multiple_of_its_present_capacity(
    servers: int, proxyless: bool
) -> None:
    """21 proxies, each with its own rounding, from cold to warm; windows of one second.

    The multiple is of what a warm server gets, times how warm this one is.
    """
    random = Random(7)
    proxies = [Wheel(random) for _ in range(21)]
    target = replace(GRPC if proxyless else ENVOY, connected=21)
    per_second = 60 * servers  # all proxies together
    worst = 0.0
    loaded: dict[int, int] = {}
    for second in range(1, 11):
        warmth = 0.3 + 0.07 * (second - 1)
        view = [
            server(1, capacity_fraction=warmth, cap=2),
            *(server(i) for i in range(2, servers + 1)),
        ]
        rows = planned(*view, target=target).localities
        weights = (
            {int(row.sub_zone): row.weight for row in rows} if proxyless
            else {
                endpoint.port - 9000: endpoint.weight
                for row in rows
                for endpoint in row.endpoints
            }
        )  # fmt: skip
        if weights != loaded:
            for wheel in proxies:
                wheel.load(weights)
            loaded = weights
        got = [0] * (servers + 1)
        for i in range(per_second):
            got[proxies[i % 21].pick()] += 1
        warm = (per_second - got[1]) / (servers - 1)
        worst = max(worst, got[1] / (warm * warmth))
    assert 0 < worst <= SETTINGS.fall_multiple / 2, worst  # half of it is for heavy requests

"""Routing in a node process: unknown hosts and paths, and equivalent spellings of known ones."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from tests.harness import request
from tests.proxy.routed_node import exchange, routed_node, routes_text

REFUSED = {
    "host": (b"Host: other.org", b"404"),
    "host in brackets": (b"Host: [::2]", b"404"),
    "bad host": (b"Host: a b", b"400"),
    "suffix itself": (b"Host: svc", b"404"),
}


@pytest.mark.parametrize("name", REFUSED)
def test_a_request_with_an_unknown_host_is_refused_and_reaches_no_backend(
    tmp_path: Path, name: str
) -> None:
    line, status = REFUSED[name]
    with routed_node(tmp_path, routes_text()) as (proxy, backend):
        client = proxy.connect()
        client.send(request().replace(b"Host: app.svc", line))
        head, _, body = client.ends().partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 " + status)
        assert body
        assert str(backend.port).encode() not in body  # reveals nothing about the backends
        assert b"topup" not in body
        assert not backend.received


# Request targets, each with the status of its refusal or the path that the backend receives.
TARGETS = {
    "/balance/x": "/balance/x",
    "//balance//x": "/balance/x",
    "/./balance/../balance/x": "/balance/x",
    "/%62alance/%78": "/balance/x",
    "/balance/x?a=/../b%2F": "/balance/x?a=/../b%2F",
    "http://app.svc/balance/x": "/balance/x",
    "http://other.org/balance/x": "404",
    "/credit/../balance/x": "/balance/x",
    "/balance/../credit/x": "405",
    "/%63redit/x": "405",
    "/balance%2Fx": "400",
    "/balance/..%2Fcredit/x": "400",
    "/balance/%2e%2e%5Ccredit": "400",
    "/balance/%00": "400",
    "/../credit/x": "400",
    "/balancer": "403",
    "/balance/" + "x" * 8183: "/balance/" + "x" * 8183,
    "/balance/" + "x" * 8184: "400",
    "*": "400",
}


def test_each_spelling_of_a_path_is_made_canonical_or_refused(tmp_path: Path) -> None:
    with routed_node(tmp_path, routes_text()) as (proxy, backend):
        for i, (spelling, expected) in enumerate(TARGETS.items()):
            client = proxy.connect()
            head = request(rid=f"r{i}", X_Priority_Class="").partition(b"\r\n")[2]
            client.send(b"GET " + spelling.encode() + b" HTTP/1.1\r\n" + head)
            line, _, _ = client.message()
            client.close()
            status = expected if expected.isdigit() else "200"
            assert line.split(" ")[1] == status, spelling
            if status == "200":
                assert backend.paths.pop() == expected
            assert not backend.paths


@pytest.mark.parametrize(
    ("sent", "forwarded"),
    [
        ("App.SVC", "app.svc"),
        ("app.svc.", "app.svc"),
        ("app.svc:8080", "app.svc:8080"),
        ("a.App.svc.:81", "a.app.svc:81"),
        ("[0:0::1]:80", "[::1]:80"),
    ],
)
def test_each_spelling_of_a_host_is_made_canonical(
    tmp_path: Path, sent: str, forwarded: str
) -> None:
    with routed_node(tmp_path, routes_text()) as (proxy, backend):
        assert exchange(proxy, "balance", Host=sent)[1] == b"served"
        assert backend.heads[0]["host"] == forwarded


def test_a_missing_host_or_a_class_that_differs_from_the_route_is_refused(tmp_path: Path) -> None:
    with routed_node(tmp_path, routes_text()) as (proxy, backend):
        assert exchange(proxy, "balance", Host="")[0].startswith("HTTP/1.1 400")
        line, _ = exchange(proxy, "credit", path="/balance/x")
        assert line.startswith("HTTP/1.1 40")
        client = proxy.connect()
        client.send(request("/balance/x", X_Priority_Class="credit"))
        assert client.ends().startswith(b"HTTP/1.1 400")
        assert not backend.received


def test_a_route_assigns_its_class_to_the_requests_of_its_path(tmp_path: Path) -> None:
    more = '[[service.route]]\nname = "pay"\npath = "/pay/{id}"\nclass = "credit"\n'
    with routed_node(tmp_path, routes_text(more=more), ("error",) * 4) as (proxy, backend):
        line, _ = exchange(proxy, "credit", path="/pay/77")
        assert line.split(" ")[1] == "502"
        assert backend.received == {"r1": 1}
        assert exchange(proxy, "balance", path="/pay/77", rid="r2")[0].split(" ")[1] in (
            "400",
            "405",
        )


def test_refusals_are_counted_by_reason(tmp_path: Path) -> None:
    with routed_node(tmp_path, routes_text()) as (proxy, _):
        for host in ("x.org", "y.org"):
            exchange(proxy, "balance", Host=host)
        exchange(proxy, "balance", path="/none")
        proxy.process.send_signal(signal.SIGTERM)
        proxy.says("refused by the routes: denied 1")
        proxy.says("refused by the routes: unknown-host 2")

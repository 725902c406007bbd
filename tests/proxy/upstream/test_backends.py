"""Backends whose responses are malformed or break off, or that can't be reached."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from typing import Any

import pytest

from tests.harness import (
    Peer,
    Running,
    accept,
    accept_any,
    answer,
    listen,
    node,
    request,
    roster,
    target,
)


@contextmanager
def node_with_one_backend(
    tmp_path: Path, **options: Any
) -> Iterator[tuple[socket.socket, Running]]:
    """Run a node with one backend; yields the backend's listener and the node."""
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, **options) as n:
            yield backend, n


def assert_request_reaches(client: Peer, peer: Peer, rid: str, body: bytes | None = b"x") -> None:
    """Send a request and assert that it arrives on this backend connection."""
    client.send(request("/credit" if body else "/balance", body, rid=rid))
    assert peer.message()[1]["x-request-id"] == rid


MALFORMED = [
    b"\x8a\x00noise\r\n\r\n",
    b"ICY 200 OK\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + b"x" * 70_000,
    b"HTTP/1.1 200 OK\r\n\r\nhow long is it?",
    b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 20_000,
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno end",
    b"HTTP/1.1 200 OK\r\nX-No-End: 1\r\n",
]


@contextmanager
def node_with_two_backends(
    tmp_path: Path,
) -> Iterator[tuple[socket.socket, socket.socket, Running]]:
    """Run a node with two backends; yields their listeners and the node."""
    with listen() as one, listen() as two:
        known = roster(*(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((one, two))))
        with node(tmp_path, known) as n:
            yield one, two, n


def send_unsafe(client: Peer, *backends: socket.socket) -> Peer:
    """Send an unsafe request; returns the backend connection on which it arrived."""
    client.send(request("/credit", b"x", rid="a1"))
    peer, _ = accept_any(*backends)
    assert peer.message()[1]["x-request-id"] == "a1"
    return peer


def assert_both_are_used(n: Running, *backends: socket.socket) -> None:
    """Assert that of two simultaneous requests each backend gets one."""
    clients = [n.connect() for _ in backends]
    for i, client in enumerate(clients):
        client.send(request("/credit", b"x", rid=f"b{i}"))
    for backend in backends:
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"served"))
    assert [client.message()[2] for client in clients] == [b"served"] * len(clients)


@pytest.mark.parametrize("malformed", MALFORMED, ids=range(len(MALFORMED)))
def test_a_malformed_response_fails_the_request_but_does_not_eject_its_backend(
    tmp_path: Path, malformed: bytes
) -> None:
    """An unsafe request may have been executed, so it is not retried: the client gets a 502."""
    with node_with_two_backends(tmp_path) as (one, two, n):
        client = n.connect()
        peer = send_unsafe(client, one, two)
        peer.send(malformed)
        assert client.message()[0] == "HTTP/1.1 502 Bad Gateway"
        assert peer.ends() == b""
        assert_both_are_used(n, one, two)


def test_interim_responses_bad_load_reports_and_trailing_bytes_do_not_fail_a_response(
    tmp_path: Path,
) -> None:
    early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
    with node_with_one_backend(tmp_path) as (backend, n):
        client = n.connect()
        for trailing in (answer(b"served"), b"\x8a\x00noise"):
            client.send(request())
            peer = accept(backend)
            peer.message()
            peer.send(early + answer(b"served", "200 OK", "X-Server-Load: =,=") + trailing)
            assert client.message()[2] == b"served"
            assert peer.ends() == b""


def test_a_response_is_served_only_when_it_is_complete(tmp_path: Path) -> None:
    """A response sent in three parts is served; nothing is sent of one that breaks off."""
    message = answer(b"y" * 60_000)
    with node_with_one_backend(tmp_path) as (backend, n):
        client = n.connect()
        client.send(request("/credit", b"x", rid="a1"))
        peer = accept(backend)
        peer.message()
        for part in (message[:30], message[30:40_000], message[40_000:]):
            peer.send(part)
        assert client.message()[2] == b"y" * 60_000
        assert_request_reaches(client, peer, "a2")
        peer.send(message[:40_000])
        peer.close()
        assert client.message()[0] == "HTTP/1.1 502 Bad Gateway"


def test_one_reset_connection_does_not_eject_its_backend(tmp_path: Path) -> None:
    """A single reset during a request is no evidence that the backend's process has failed."""
    with node_with_two_backends(tmp_path) as (one, two, n):
        client = n.connect()
        send_unsafe(client, one, two).reset()
        assert client.message()[0] == "HTTP/1.1 502 Bad Gateway"
        assert_both_are_used(n, one, two)


def test_a_response_that_blames_the_request_is_final(tmp_path: Path) -> None:
    """Another backend would respond alike, so not even a safe request is retried."""
    with node_with_one_backend(tmp_path) as (backend, n):
        client = n.connect()
        client.send(request(rid="a1"))
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"", "400 Bad Request"))
        assert client.message()[0] == "HTTP/1.1 400 Bad Request"
        assert_request_reaches(client, peer, "a2", None)
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"


class OkHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802 -- the name that http.server calls
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_: object) -> None:
        pass


def test_a_backend_that_can_not_be_connected_to_is_ejected(tmp_path: Path) -> None:
    """The backend's machine has failed: connecting takes longer than any attempt's timeout."""
    aims = {"target": 150_000_000, "deadline": 500_000_000, "effect": "pure"}
    settings = {"classes": [{"name": "balance", **aims}, {"name": "credit", **aims}]}
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        queued = [
            socket.socket() for _ in range(4)
        ]  # nothing accepts them, so further connects hang
        try:
            for sock in queued:
                sock.setblocking(False)
                sock.connect_ex(full.getsockname())
            with listen() as silent, ThreadingHTTPServer(("127.0.0.1", 0), OkHandler) as server:
                Thread(target=server.serve_forever, daemon=True).start()
                serves = [target(f"s-{i}", server.server_port) for i in (2, 3)]
                known = roster(target("s-1", full.getsockname()[1]), *serves)
                discovery = silent.getsockname()[
                    1
                ]  # polls can connect, so that no other failure is logged
                with node(tmp_path, known, discovery, settings=settings) as n:
                    clients = [n.connect() for _ in range(12)]
                    for _ in range(4):
                        for i, client in enumerate(clients):
                            client.send(request(rid=f"a{i}", timeout=400))
                        for client in clients:
                            client.message()
                    n.says("out: connection failed")
                server.shutdown()
        finally:
            for sock in queued:
                sock.close()


def test_an_unsafe_request_is_retried_if_it_breaks_off_before_its_last_byte(
    tmp_path: Path,
) -> None:
    """The backend resets the connection while an unsafe request arrives.

    Without its last byte the request can't have been executed, so it is sent again.
    """
    with node_with_one_backend(tmp_path) as (backend, n):
        client = n.connect()
        client.send(request("/credit", b"x", rid="a1"))
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"
        message = request("/credit", b"y" * 1000, rid="a2")
        client.send(message)
        peer.sock.recv(100)
        peer.reset()  # while the rest of the request is unread
        peer = accept(backend)
        assert peer.message()[1]["x-request-id"] == "a2"
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"

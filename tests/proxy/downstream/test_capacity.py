"""Capacity for clients: idle connections are closed when others need their descriptors."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.core.buffer_budget import BufferBudget
from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.listener import SATURATED_LINGER_S, Listener
from loadbalancer.proxy.lifecycle import Lifecycle
from tests.harness import LIMIT, Running, answer, request
from tests.proxy.downstream.exchanges import READINESS_CHECK, assert_served, send_to_backend

SILENT_CLIENTS = 120  # about twice the number of descriptors
MANY_CLIENTS = 500  # many times the number of descriptors


def test_silent_clients_do_not_displace_a_client_that_sends_requests(
    backend: socket.socket, small_proxy: Running
) -> None:
    """Many clients connect and send nothing; one that has sent a request stays connected."""
    client = small_proxy.connect()
    peer = send_to_backend(client, backend, request(rid="a0"))
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    silent = [small_proxy.connect() for _ in range(SILENT_CLIENTS)]
    assert [c.ends() for c in silent[:80]] == [b""] * 80
    assert_served(client, peer, "a1")


@pytest.mark.usefixtures("backend")
def test_idle_connections_are_closed_oldest_first_before_the_limit_is_reached(
    small_proxy: Running,
) -> None:
    """Idle and busy connections together come near the limit.

    At the limit, a new client would have to wait for capacity. The oldest idle connections are
    closed before that, and the newest stay open.
    """
    idle = [small_proxy.connect() for _ in range(12)]
    for client in idle:
        client.send(READINESS_CHECK)
        assert client.message()[0] == "HTTP/1.1 200 OK"
    busy = [small_proxy.connect() for _ in range(6)]
    for client in busy:
        client.send(request("/credit/7f3a", b"half", timeout=2900)[:-2])
    assert idle[0].ends() == b""
    idle[-1].send(READINESS_CHECK)
    assert idle[-1].message()[0] == "HTTP/1.1 200 OK"


@pytest.mark.usefixtures("backend")
def test_clients_that_stay_idle_after_one_request_do_not_block_others(
    small_proxy: Running,
) -> None:
    """Many more clients than there is capacity for connect at once, and each sends one request.

    Capacity must pass from one to the next without waiting for a sweep. With one connection
    closed per sweep, the test would take twice LIMIT, after which a test counts as hung.
    """
    end = time.monotonic() + LIMIT
    clients = [small_proxy.connect() for _ in range(MANY_CLIENTS)]
    for client in clients:
        client.send(READINESS_CHECK)
    for client in clients:
        assert client.message()[0] == "HTTP/1.1 200 OK"
        assert time.monotonic() < end


def test_a_response_closes_its_connection_when_too_many_are_idle(
    backend: socket.socket, small_proxy: Running
) -> None:
    """Clients send one request each and stay, until a fifth of the descriptors is idle.

    Capacity must remain for others. The response to one more client closes its connection. A
    client whose connection is already idle keeps it when it sends another request.
    """
    first = small_proxy.connect()
    peer = send_to_backend(first, backend, request(rid="r0"))
    peer.send(answer(b"served"))
    assert "connection" not in first.message()[1]
    idle = [first]
    for i in range(1, 13):
        client = small_proxy.connect()
        idle.append(client)
        assert_served(client, peer, f"r{i}")
    beyond = small_proxy.connect()
    beyond.send(request(rid="beyond"))
    peer.message()
    peer.send(answer(b"served"))
    assert beyond.message()[1]["connection"] == "close"
    assert beyond.ends() == b""
    assert_served(first, peer, "again")
    assert_served(first, peer, "and again")


class Transport:
    """A fake transport; the test sets the number of its unsent bytes."""

    def __init__(self) -> None:
        self.unsent = 0
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted

    def write_eof(self) -> None:
        """Does nothing."""

    def resume_reading(self) -> None:
        """Does nothing."""


class Loop:
    """A fake event loop whose clock the test sets and whose timers never fire."""

    def __init__(self) -> None:
        self.now = 0.0
        self.accept: Callable[[], None] = lambda: None

    def time(self) -> float:
        return self.now

    def call_later(self, *_args: object) -> None:
        """Does nothing: timers never fire."""

    def add_reader(self, _sock: socket.socket, accept: Callable[[], None]) -> None:
        self.accept = accept

    def remove_reader(self, _sock: socket.socket) -> None:
        """Does nothing: the test calls `accept` itself."""


@pytest.fixture
def full_host() -> Any:
    """A host that has capacity for one client, which is in use."""
    return SimpleNamespace(
        loop=Loop(),
        clients=1,
        config=SimpleNamespace(sockets=64, settings=SimpleNamespace(tenants=())),
        max_clients=lambda: 1,
        may_accept_client=lambda: False,
        close_surplus_upstream=lambda: None,
        on_descriptor_freed=None,
        budget=BufferBudget(128),
    )


def test_a_lingering_connection_with_unsent_output_is_not_aborted_for_capacity(
    full_host: Any,
) -> None:
    """A connection lingers while a part of its last response is still unsent.

    Lingering connections are aborted when clients wait to be accepted. Here that would truncate
    the response, so the connection is aborted only once all of it has been sent.
    """
    listener = Listener(full_host, Lifecycle())
    with socket.create_server(("127.0.0.1", 0)) as listening, socket.socket() as sock:
        listener.adopt(listening)
        conn, transport = ClientConnection(listener.registry, sock), Transport()
        conn.connection_made(cast(Any, transport))
        transport.unsent = 1
        conn.close()
        full_host.loop.accept()  # a client waits, and there is no capacity
        full_host.loop.now = 2 * SATURATED_LINGER_S
        listener.sweep()
        assert not transport.aborted
        transport.unsent = 0
        listener.sweep()
        assert transport.aborted

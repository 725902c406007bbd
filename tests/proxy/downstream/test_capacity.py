"""Clients that hold connections while others want their places."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.listener import SATURATED_LINGER_S, Listener
from loadbalancer.proxy.lifecycle import Lifecycle
from tests.harness import LIMIT, Running, answer, request
from tests.proxy.downstream.exchanges import READINESS_CHECK, is_served, reaches_backend

SILENT_CLIENTS = 120  # twice as many as there are descriptors
CROWD = 500  # many times as many


def test_silent_clients_do_not_displace_one_that_sends_requests(
    backend: socket.socket, small_proxy: Running
) -> None:
    """Hundreds connect and send nothing; a client that has sent a request stays connected."""
    client = small_proxy.connect()
    peer = reaches_backend(client, backend, request(rid="a0"))
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"
    silent = [small_proxy.connect() for _ in range(SILENT_CLIENTS)]
    assert [c.ends() for c in silent[:80]] == [b""] * 80
    is_served(client, peer, "a1")


@pytest.mark.usefixtures("backend")
def test_clients_that_keep_connections_and_send_nothing_more_are_closed_oldest_first(
    small_proxy: Running,
) -> None:
    """Idle connections and busy ones come near the limit.

    At the limit a new client would wait for a place. The oldest idle ones are closed
    before, and the newest stay.
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
def test_clients_that_send_one_request_and_stay_hold_no_place_that_others_need(
    small_proxy: Running,
) -> None:
    """Many times as many clients as fit connect at once, and each sends one request.

    Places change hands without waiting for a sweep: at one place a sweep they would take
    twice the limit, which is a hang's.
    """
    end = time.monotonic() + LIMIT
    clients = [small_proxy.connect() for _ in range(CROWD)]
    for client in clients:
        client.send(READINESS_CHECK)
    for client in clients:
        assert client.message()[0] == "HTTP/1.1 200 OK"
        assert time.monotonic() < end


def test_a_response_ends_its_connection_where_many_are_idle(
    backend: socket.socket, small_proxy: Running
) -> None:
    """Clients send one request each and stay, until a fifth of the descriptors is idle.

    They must leave places for others. The response to one more client ends its connection;
    one that is idle and sends another request keeps its own.
    """
    first = small_proxy.connect()
    peer = reaches_backend(first, backend, request(rid="r0"))
    peer.send(answer(b"served"))
    assert "connection" not in first.message()[1]
    idle = [first]
    for i in range(1, 13):
        client = small_proxy.connect()
        idle.append(client)
        is_served(client, peer, f"r{i}")
    beyond = small_proxy.connect()
    beyond.send(request(rid="beyond"))
    peer.message()
    peer.send(answer(b"served"))
    assert beyond.message()[1]["connection"] == "close"
    assert beyond.ends() == b""
    is_served(first, peer, "again")
    is_served(first, peer, "and again")


class Transport:
    """A transport whose bytes leave when the test says so."""

    def __init__(self) -> None:
        self.unsent = 0
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted

    def write_eof(self) -> None:
        """The end of sending, behind what has not left."""

    def resume_reading(self) -> None:
        """Whatever comes is dropped."""


class Loop:
    """An event loop whose clock the test sets and whose timers never come due."""

    def __init__(self) -> None:
        self.now = 0.0
        self.accept: Callable[[], None] = lambda: None

    def time(self) -> float:
        return self.now

    def call_later(self, *_args: object) -> None:
        """Nothing comes due in the test."""

    def add_reader(self, _sock: socket.socket, accept: Callable[[], None]) -> None:
        self.accept = accept

    def remove_reader(self, _sock: socket.socket) -> None:
        """The test calls `accept` itself."""


@pytest.fixture
def full_host() -> Any:
    """A host whose one place for a client is taken."""
    return SimpleNamespace(
        loop=Loop(),
        clients=1,
        config=SimpleNamespace(sockets=64, settings=SimpleNamespace(tenants=())),
        max_clients=lambda: 1,
        may_accept_client=lambda: False,
        close_surplus_upstream=lambda: None,
        on_descriptor_freed=None,
        budget=SimpleNamespace(body_finished=lambda _conn: None),
    )


def test_a_response_that_has_not_left_is_not_cut_off_for_one_who_wants_the_place(
    full_host: Any,
) -> None:
    """A connection lingers behind its last response, of which a part still waits to be sent.

    Others wait to be accepted, and lingering connections are aborted for them. That would
    cut the response off: this one is aborted only once all of it has left.
    """
    listener = Listener(full_host, Lifecycle())
    with socket.create_server(("127.0.0.1", 0)) as listening, socket.socket() as sock:
        listener.adopt(listening)
        conn, transport = ClientConnection(listener.registry, sock), Transport()
        conn.connection_made(cast(Any, transport))
        transport.unsent = 1
        conn.close()
        full_host.loop.accept()  # somebody waits, and there is no place
        full_host.loop.now = 2 * SATURATED_LINGER_S
        listener.sweep()
        assert not transport.aborted
        transport.unsent = 0
        listener.sweep()
        assert transport.aborted

"""Clients that send what can't be served, or send nothing: an error or a close, soon."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.listener import Listener
from loadbalancer.proxy.lifecycle import Service
from tests.harness import (
    LIMIT,
    Peer,
    Running,
    accept,
    answer,
    listen,
    node,
    request,
    roster,
    target,
)


@contextmanager
def before_one(tmp_path: Path, **limits: int) -> Iterator[tuple[socket.socket, Running]]:
    """A node with one backend."""
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, limits=limits) as n:
            yield backend, n


def served(client: Peer, peer: Peer, rid: str) -> None:
    client.send(request(rid=rid))
    assert peer.message()[1]["x-request-id"] == rid
    peer.send(answer(b"served"))
    assert client.message()[2] == b"served"


def only_this_came(n: Running, backend: socket.socket) -> None:
    """The first request that reaches the backend is this one."""
    served_client = n.connect()
    served_client.send(request(rid="good"))
    peer = accept(backend)
    assert peer.message()[1]["x-request-id"] == "good"
    peer.send(answer(b"served"))
    assert served_client.message()[2] == b"served"


HIDDEN = request(rid="hidden")
UNFIT = {
    "noise": b"\x8a\xff\x00\r\n\r\n",
    "both lengths": request("/credit", b"0\r\n\r\n" + HIDDEN, Transfer_Encoding="chunked"),
    "length first": (
        b"POST /credit HTTP/1.1\r\nHost: a\r\nX-Request-ID: b\r\nX-Timeout-Ms: 900\r\n"
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + HIDDEN
    ),
    "odd coding": request("/credit", b"", Content_Length="", Transfer_Encoding="gzip"),
    "negative length": request("/credit", b"", Content_Length="-5"),
    "huge length": request("/credit", b"", Content_Length="9" * 30),
    "60 MB": request("/credit", b"", Content_Length="62914560"),
    "two lengths": request("/credit", b"ab", Content_Length="2\r\nContent-Length: 3"),
    "no colon": request(X_Odd="1\r\na line with no colon"),
    "no such class": request("/credit-old", b""),
    "other class named": request(X_Priority_Class="credit"),
    "no id": request(rid=""),
    "long id": request(rid="a" * 200),
    "no timeout": request(X_Timeout_Ms=""),
    "odd timeout": request(X_Timeout_Ms="soon"),
    "negative timeout": request(X_Timeout_Ms="-1"),
    "wrong method": request("/balance", b""),
    "body of a safe one": request(Content_Length="2") + b"ab",
    "other version": request().replace(b"HTTP/1.1", b"HTTP/2.0"),
    "no version": b"GET /balance\r\n\r\n",
    "many at once": request(rid="a1") + request(rid="a2") * 300,
    "endless head": request(X_Pad="p" * 20_000),
}


@pytest.mark.parametrize("name", UNFIT)
def test_what_is_unfit_gets_an_error_and_reaches_no_backend(tmp_path: Path, name: str) -> None:
    with before_one(tmp_path) as (backend, n):
        client = n.connect()
        client.send(UNFIT[name])
        first = client.ends()
        assert first.startswith(b"HTTP/1.1 4")
        assert first.count(b"HTTP/1.1") == 1
        only_this_came(n, backend)


@pytest.mark.parametrize("part", [b"", b"POST /cre", request("/credit", b"half", timeout=900)[:-2]])
def test_half_a_request_is_given_up(tmp_path: Path, part: bytes) -> None:
    """However long its bytes go on coming: no sweep takes one of them for progress."""
    with before_one(tmp_path) as (backend, n):
        client = n.connect()
        client.send(part)
        assert client.ends().startswith(b"HTTP/1.1 408" if part else b"")
        only_this_came(n, backend)


def test_the_id_of_an_open_request_is_not_taken_twice(tmp_path: Path) -> None:
    with before_one(tmp_path) as (backend, n):
        first, second = n.connect(), n.connect()
        first.send(request(rid="same"))
        peer = accept(backend)
        peer.message()
        second.send(request("/balance/other", rid="same"))
        assert second.ends().startswith(b"HTTP/1.1 409")
        peer.send(answer(b"served"))
        assert first.message()[2] == b"served"
        served(first, peer, "same")  # free again


def test_noise_behind_an_open_request_ends_the_connection(tmp_path: Path) -> None:
    with before_one(tmp_path) as (backend, n):
        client = n.connect()
        client.send(request(rid="a1"))
        peer = accept(backend)
        peer.message()
        client.send(b"\x8a\xff\x00\r\n\r\n")
        assert client.ends().startswith(b"HTTP/1.1 400")
        peer.send(answer(b"late"))
        served(n.connect(), peer, "a3")


def test_those_that_say_nothing_do_not_push_out_those_that_ask(tmp_path: Path) -> None:
    """Hundreds connect and stay silent; a client that has asked keeps its connection."""
    with before_one(tmp_path, sockets=64) as (backend, n):
        client = n.connect()
        client.send(request(rid="a0"))
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"
        silent = [n.connect() for _ in range(120)]
        assert [c.ends() for c in silent[:80]] == [b""] * 80
        served(client, peer, "a1")


def test_clients_that_keep_connections_and_never_ask_again_make_room(tmp_path: Path) -> None:
    """The oldest are closed before the limit, as others are busy; the newest stay."""
    with before_one(tmp_path, sockets=64) as (_backend, n):
        ready = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        clients = [n.connect() for _ in range(12)]
        for client in clients:
            client.send(ready)
            assert client.message()[0] == "HTTP/1.1 200 OK"
        busy = [n.connect() for _ in range(6)]
        for client in busy:
            client.send(request("/credit/7f3a", b"half", timeout=2900)[:-2])
        assert clients[0].ends() == b""
        clients[-1].send(ready)
        assert clients[-1].message()[0] == "HTTP/1.1 200 OK"


def test_those_that_ask_once_and_stay_hold_no_place_that_others_need(tmp_path: Path) -> None:
    """Many times what fits, all at once: places change hands without waiting for a sweep.

    At one place a sweep they would take twice the limit, which is a hang's.
    """
    with before_one(tmp_path, sockets=64) as (_backend, n):
        end = time.monotonic() + LIMIT
        clients = [n.connect() for _ in range(500)]
        for client in clients:
            client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        for client in clients:
            assert client.message()[0] == "HTTP/1.1 200 OK"
            assert time.monotonic() < end


def test_an_answer_ends_its_connection_where_many_rest(tmp_path: Path) -> None:
    """Clients that ask once and stay must leave places: a fifth of 64 descriptors rest."""
    with before_one(tmp_path, sockets=64) as (backend, n):
        first = n.connect()
        first.send(request(rid="r0"))
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"served"))
        assert "connection" not in first.message()[1]
        resting = [first]
        for i in range(1, 13):
            client = n.connect()
            resting.append(client)
            served(client, peer, f"r{i}")
        beyond = n.connect()
        beyond.send(request(rid="beyond"))
        peer.message()
        peer.send(answer(b"served"))
        assert beyond.message()[1]["connection"] == "close"
        assert beyond.ends() == b""
        served(first, peer, "again")  # one that rests and asks again is kept
        served(first, peer, "and again")


class Transport:
    """A connection whose bytes leave when the test says so."""

    unsent = 0
    aborted = False

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
    now = 0.0

    def time(self) -> float:
        return self.now

    def call_later(self, *_args: object) -> None:
        """Nothing comes due in the test."""


def test_what_has_not_left_yet_is_not_cut_off_for_others_who_want_the_place() -> None:
    loop = Loop()
    settings = SimpleNamespace(tenants=())
    host = SimpleNamespace(
        loop=loop, clients=1, config=SimpleNamespace(sockets=64, settings=settings),
        most_clients=lambda: 30, drop_beyond_part=lambda: None, freed=None,
        budget=SimpleNamespace(body_finished=lambda conn: None),
    )  # fmt: skip
    listener = Listener(cast(Any, host), Service())
    with socket.socket() as sock:
        conn, transport = ClientConnection(listener.registry, sock), Transport()
        conn.connection_made(cast(Any, transport))
        transport.unsent = 1
        conn.close()
        loop.now = 10.0
        listener._free_places()
        assert not transport.aborted
        transport.unsent = 0
        listener._free_places()
        assert transport.aborted

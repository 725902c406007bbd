"""Invalid and incomplete requests are rejected or time out."""

from __future__ import annotations

import socket

import pytest

from tests.harness import Running, answer, request
from tests.proxy.downstream.exchanges import (
    assert_backend_gets_next_request,
    assert_served,
    send_to_backend,
)

HIDDEN = request(rid="hidden")
INVALID = {
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


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_request_is_rejected_and_not_forwarded(
    backend: socket.socket, proxy: Running, name: str
) -> None:
    """An invalid request may hide another one in the bytes that follow it (request smuggling).

    The client gets one error, its connection is closed, and nothing is forwarded.
    """
    client = proxy.connect()
    client.send(INVALID[name])
    received = client.ends()
    assert received.startswith(b"HTTP/1.1 4")
    assert received.count(b"HTTP/1.1") == 1
    assert_backend_gets_next_request(backend, proxy)


@pytest.mark.parametrize(
    ("part", "response"),
    [
        (b"", b""),
        (b"POST /cre", b"HTTP/1.1 408"),
        (request("/credit", b"half", timeout=900)[:-2], b"HTTP/1.1 408"),
    ],
    ids=["nothing", "half a head", "half the content"],
)
def test_a_request_that_never_completes_times_out(
    backend: socket.socket, proxy: Running, part: bytes, response: bytes
) -> None:
    """A client connects, sends a part of a request or nothing, and stays connected.

    Its connection must not hold a descriptor indefinitely: it is closed, with an error response
    if a request has been started.
    """
    client = proxy.connect()
    client.send(part)
    received = client.ends()
    assert received.startswith(response)
    assert bool(received) == bool(response)
    assert_backend_gets_next_request(backend, proxy)


def test_the_id_of_an_open_request_is_not_accepted_twice(
    backend: socket.socket, proxy: Running
) -> None:
    """Two clients send different requests with the same id at the same time.

    A backend that deduplicates by id could answer one with the other's response. The second is
    rejected; the id may be used again once the first has been answered.
    """
    first, second = proxy.connect(), proxy.connect()
    peer = send_to_backend(first, backend, request(rid="same"))
    second.send(request("/balance/other", rid="same"))
    assert second.ends().startswith(b"HTTP/1.1 409")
    peer.send(answer(b"served"))
    assert first.message()[2] == b"served"
    assert_served(first, peer, "same")


def test_invalid_input_behind_an_open_request_closes_the_connection(
    backend: socket.socket, proxy: Running
) -> None:
    """Input that is not HTTP follows a request that is at a backend.

    The client gets an error and its connection is closed at once. The late response is discarded,
    and the backend's connection serves the next client.
    """
    client = proxy.connect()
    peer = send_to_backend(client, backend, request(rid="a1"))
    client.send(b"\x8a\xff\x00\r\n\r\n")
    assert client.ends().startswith(b"HTTP/1.1 400")
    peer.send(answer(b"late"))
    assert_served(proxy.connect(), peer, "a3")

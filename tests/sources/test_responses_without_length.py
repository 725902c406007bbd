"""A service's response has neither a length nor chunks: it ends with its connection.

Taken for a failed call, every such response is lost: a node whose list service answers in this form
never learns of a change and goes on sending requests to a backend that drains.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import ssl
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import trustme
import uvloop

from loadbalancer.config.address import Address
from loadbalancer.sources.http_get import HttpGet, Response
from tests.harness import (
    Peer,
    accept,
    listen,
    node,
    roster,
    served_by,
    target,
)

TIMEOUT_S = 20.0
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
Contexts = tuple[ssl.SSLContext | None, ssl.SSLContext | None]  # of the server and of the client
PLAIN: Contexts = (None, None)
End = Callable[[asyncio.StreamWriter], None]


def close(writer: asyncio.StreamWriter) -> None:
    """End the stream in an orderly way; over TLS with a close_notify alert."""
    writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def cut(writer: asyncio.StreamWriter) -> None:
    """End a TLS stream without the alert that tells its end."""
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as sock:
        sock.shutdown(socket.SHUT_WR)


class ObservedGet(HttpGet):
    """A request whose server can wait until what it has sent was read."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.was_read = asyncio.Event()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self.was_read.set()


async def get(pieces: tuple[bytes, ...], end: End, contexts: Contexts) -> Response | None:
    """Return what a request reports if the server sends these pieces and ends the connection.

    Each piece is read before the next one is sent, and all are before the end.
    """
    done: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            for piece in pieces:
                request.was_read.clear()
                writer.write(piece)
                await asyncio.wait_for(request.was_read.wait(), TIMEOUT_S)
        end(writer)
        await asyncio.wait([done])
        writer.close()

    server_tls, client_tls = contexts
    server = await asyncio.start_server(serve, "127.0.0.1", 0, ssl=server_tls)
    async with server:
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        request = ObservedGet(address, "/", TIMEOUT_S, done.set_result, tls=client_tls)
        return await done


def run(
    *pieces: bytes, end: End = close, contexts: Contexts = PLAIN, on_uvloop: bool = True
) -> Response | None:
    factory = uvloop.new_event_loop if on_uvloop else asyncio.new_event_loop
    with asyncio.Runner(loop_factory=factory) as runner:
        return runner.run(get(pieces, end, contexts))


@pytest.fixture(scope="module")
def tls_contexts() -> Contexts:
    authority = trustme.CA()
    server_tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(server_tls)
    client_tls = ssl.create_default_context()
    authority.configure_trust(client_tls)
    return server_tls, client_tls


@pytest.mark.parametrize(
    "pieces",
    [
        (HEAD + b"[1]",),
        (HEAD[:9], HEAD[9:], b"[", b"1]"),
        (b"HTTP/1.1 200 OK\r\n\r\n[1]",),
        (b"HTTP/1.0 200 OK\r\n\r\n[1]",),
    ],
    ids=["at once", "in pieces", "no Connection field", "HTTP/1.0"],
)
def test_an_orderly_end_completes_a_response_without_a_length(pieces: tuple[bytes, ...]) -> None:
    response = run(*pieces)
    assert response is not None
    assert (response.status, response.body) == (200, b"[1]")


@pytest.mark.parametrize(
    "response",
    [
        HEAD[:-2],
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[1]",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n[1]\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n[1]",
    ],
    ids=["head", "short of its length", "short of its last chunk", "a coding not asked for"],
)
def test_an_orderly_end_does_not_complete_any_other_response(response: bytes) -> None:
    assert run(response) is None


def test_a_reset_does_not_complete_a_response() -> None:
    assert run(HEAD + b"[1]", end=reset) is None


@pytest.mark.parametrize("on_uvloop", [True, False], ids=["uvloop", "asyncio"])
@pytest.mark.parametrize(("end", "body"), [(close, b"[1]"), (cut, None)])
def test_over_tls_only_an_end_that_the_service_tells_completes_a_response(
    tls_contexts: Contexts, end: End, body: bytes | None, on_uvloop: bool
) -> None:
    response = run(HEAD + b"[1]", end=end, contexts=tls_contexts, on_uvloop=on_uvloop)
    assert (response and response.body) == body


def answer_without_length(call: Peer, roster_: dict[str, object], size: int | None = None) -> str:
    """Answer a call of the list, up to `size` bytes of it; returns the call's first line."""
    line = call.message()[0]
    call.send(HEAD + json.dumps(roster_).encode()[:size])
    call.close()
    return line


def test_a_drain_is_learned_from_lists_without_a_length(tmp_path: Path) -> None:
    """A node polls and watches the list; one of two backends begins to drain.

    A list that is cut short must not pass for a complete one, and the next call repairs it.
    """
    with listen() as discovery, listen() as one, listen() as two:
        rows = [target(f"s-{i}", sock.getsockname()[1]) for i, sock in enumerate((one, two))]
        draining = rows[0] | {"state": "leaving"}
        with node(tmp_path, roster(), discovery.getsockname()[1]) as running:
            assert "hold_ms=1 " in answer_without_length(accept(discovery), roster(*rows, rev=40))
            watch = accept(discovery)
            assert "from=40&hold_ms=" in answer_without_length(watch, roster(draining, rev=41), 20)
            poll = accept(discovery)
            changes = roster(draining, rev=41, complete=False)
            assert "from=40&" in answer_without_length(poll, changes)
            assert "from=41&hold_ms=" in accept(discovery).message()[0]
            for _ in range(8):
                served_by(running, two)

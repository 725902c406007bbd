"""What a request has beside its content is limited, wherever in the request it stands.

Trailer sections and chunk extensions without end were counted by nobody. The parser held an
incomplete trailer field until its end and copied it with each read, so that eight clients took
a node over its memory limit and its event loop stood still.
"""

from __future__ import annotations

import socket

import pytest

from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES
from loadbalancer.core.http_framing import MAX_FRAMING_EXCESS_BYTES
from loadbalancer.proxy.downstream.connection import ClientConnection
from tests.harness import Running, request
from tests.proxy.downstream.connection_fakes import Host, Transport
from tests.proxy.downstream.exchanges import assert_backend_gets_next_request

HEAD = request("/credit", b"", Content_Length="", Transfer_Encoding="chunked")
SMALL = b"3\r\nabc\r\n"
LONG = b"%x\r\n%s\r\n" % (2 * STREAMING_THRESHOLD_BYTES, bytes(2 * STREAMING_THRESHOLD_BYTES))
ENDLESS = {
    "a trailer field's value": b"0\r\nX-Note: ",
    "a trailer field's name": b"0\r\nX-",
    "an extension of the last chunk": b"0;",
    "an extension of another chunk": b"5;name=",
}


@pytest.mark.parametrize("content", [b"", SMALL, LONG], ids=["none", "small", "forwarded"])
@pytest.mark.parametrize("place", ENDLESS)
def test_a_request_without_end_is_rejected_within_the_limit(
    conn: ClientConnection, transport: Transport, place: str, content: bytes
) -> None:
    conn.data_received(HEAD + content)
    conn.data_received(ENDLESS[place])
    conn.data_received(b"a" * (MAX_FRAMING_EXCESS_BYTES // 2))
    assert transport.written == b""
    conn.data_received(b"a" * MAX_FRAMING_EXCESS_BYTES)
    assert transport.written.startswith(b"HTTP/1.1 431 ")


@pytest.mark.parametrize("place", ENDLESS)
def test_a_single_read_is_limited_too(
    conn: ClientConnection, transport: Transport, place: str
) -> None:
    conn.data_received(HEAD + ENDLESS[place] + b"a" * (4 * MAX_FRAMING_EXCESS_BYTES))
    assert transport.written.startswith(b"HTTP/1.1 431 ")


def test_trailer_fields_without_end_are_rejected(
    conn: ClientConnection, transport: Transport
) -> None:
    conn.data_received(HEAD + b"0\r\n")
    for _ in range(MAX_FRAMING_EXCESS_BYTES // 4):
        assert transport.written == b""
        conn.data_received(b"a:\r\n")
    conn.data_received(b"a:\r\n")
    assert transport.written.startswith(b"HTTP/1.1 431 ")


@pytest.mark.parametrize("chunk", [b"1\r\na\r\n", b"0001;sign=0123456789\r\na\r\n"])
def test_small_chunks_are_no_excess(
    conn: ClientConnection, transport: Transport, host: Host, chunk: bytes
) -> None:
    """Chunks of one byte, and short extensions, are sound however many there are."""
    count = 500 if len(chunk) > 20 else 20_000
    conn.data_received(HEAD)
    for start in range(0, count, 50):
        conn.data_received(chunk * min(50, count - start))
    assert transport.written == b""
    conn.data_received(b"0\r\nX-Sum: 1\r\n\r\n")
    assert len(host.admitted_ids()) == 1


def test_a_client_gets_an_error_and_nothing_is_forwarded(
    proxy: Running, backend: socket.socket
) -> None:
    client = proxy.connect()
    client.send(HEAD + SMALL + ENDLESS["a trailer field's value"])
    client.send(b"a" * (2 * MAX_FRAMING_EXCESS_BYTES))
    assert client.ends().startswith(b"HTTP/1.1 431 ")
    assert_backend_gets_next_request(backend, proxy)

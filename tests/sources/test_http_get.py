"""What a GET request reports for complete, malformed and truncated responses."""

from __future__ import annotations

import asyncio
import contextlib
import logging

import pytest

from loadbalancer.config.address import Address
from loadbalancer.sources import http_get
from loadbalancer.sources.http_get import HttpGet, Response

TIMEOUT_S = 20.0
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


async def get_from(response: bytes, raises: bool = False) -> list[Response | None]:
    """Return what a request reports if the server sends these bytes and closes the connection."""
    reported: list[Response | None] = []
    done = asyncio.Event()

    def on_done(result: Response | None) -> None:
        reported.append(result)
        done.set()
        if raises:
            raise KeyError("a fault of the response's handler")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        request = HttpGet(Address("127.0.0.1", port), "/", TIMEOUT_S, on_done)
        await asyncio.wait_for(done.wait(), TIMEOUT_S)
        await asyncio.sleep(0)
        request.drop()
    return reported


def test_a_complete_response_is_reported() -> None:
    reported = asyncio.run(get_from(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"))
    assert [(r.status, r.body) for r in reported if r is not None] == [(200, b"[]")]


@pytest.mark.parametrize(
    "interim", [b"HTTP/1.1 100 Continue\r\n\r\n", EARLY_HINTS, EARLY_HINTS * 2]
)
@pytest.mark.parametrize("length", [b"Content-Length: 2\r\n", b""])
def test_interim_responses_are_not_taken_for_the_response(interim: bytes, length: bytes) -> None:
    """A list service sends 1xx responses first: its list would be lost as a failed call."""
    reported = asyncio.run(get_from(interim + b"HTTP/1.1 200 OK\r\n" + length + b"\r\n[]"))
    (response,) = reported
    assert response is not None
    assert (response.status, response.body) == (200, b"[]")
    assert "link" not in response.headers


def test_an_interim_response_alone_is_incomplete() -> None:
    assert asyncio.run(get_from(EARLY_HINTS)) == [None]


@pytest.mark.parametrize("response", [b"", b"no HTTP\r\n\r\n", b"HTTP/1.1 200 OK\r\n"])
def test_an_incomplete_or_malformed_response_is_reported_as_none(response: bytes) -> None:
    assert asyncio.run(get_from(response)) == [None]


@pytest.mark.parametrize("length", [b"Content-Length: 2\r\n", b""])
def test_an_exception_of_the_response_handler_is_logged(
    caplog: pytest.LogCaptureFixture, length: bytes
) -> None:
    """Raised within the parser's callback it would look like a malformed response.

    Raised at the end of the stream, as of a response without a length, it would reach the event
    loop, whose log is not the process's.
    """
    response = b"HTTP/1.1 200 OK\r\n" + length + b"\r\n[]"
    with caplog.at_level(logging.ERROR, "loadbalancer"):
        assert len(asyncio.run(get_from(response, raises=True))) == 1
    assert "a fault of the response's handler" in caplog.text
    assert {record.name for record in caplog.records} == {"loadbalancer.sources.http_get"}


def test_a_header_field_without_end_counts_as_received(monkeypatch: pytest.MonkeyPatch) -> None:
    """The parser holds an incomplete field: it was counted only at its end, which never came."""
    monkeypatch.setattr(http_get, "MAX_RESPONSE_BYTES", 1 << 10)

    async def exchange() -> list[Response | None]:
        reported: list[Response | None] = []
        request = HttpGet(Address("127.0.0.1", 1), "/", TIMEOUT_S, reported.append)
        request.data_received(b"HTTP/1.1 200 OK\r\nX-Note: " + b"a" * 512)
        assert reported == []
        request.data_received(b"a" * 512)
        request.drop()
        return reported

    assert asyncio.run(exchange()) == [None]

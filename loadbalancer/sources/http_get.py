"""HTTP/1.1 GET requests and connection probes to services such as discovery."""

from __future__ import annotations

import asyncio
import logging
import math
import ssl
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

import httptools

from loadbalancer.config.address import Address
from loadbalancer.core.http_framing import INTERIM_STATUSES, ends_with_stream

logger = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 16 << 20  # all that is received, interim responses included
MAX_DIGITS = 18  # of a number in a header field or query; such a number fits in 64 bits


def parse_decimal(text: str) -> int | None:
    """Parse a peer's decimal number of at most MAX_DIGITS digits; None for any other text.

    Guards against non-ASCII digits, which isdigit() and int() accept, and against numbers so long
    that int() raises ValueError.
    """
    is_decimal = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_decimal else None


class Response(NamedTuple):
    """A complete response; the names of its header fields are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpGet(asyncio.Protocol):
    """One GET request on its own connection.

    Args:
        address: the service's address.
        target: the request target, including the query.
        timeout_s: time limit in seconds for the complete exchange.
        on_done: called once with the response, or with None if there is no complete one.
        headers: additional header fields, sent unchanged.
        tls: the TLS context; None for plain TCP.
        connect_timeout_s: time limit in seconds for establishing the connection.
    """

    __slots__ = (
        "_body", "_deadline", "_ends_with_stream", "_head", "_headers", "_on_done", "_parser",
        "_size", "_task", "_timer", "_tls", "_transport", "connected",
    )  # fmt: skip

    def __init__(
        self,
        address: Address,
        target: str,
        timeout_s: float,
        on_done: Callable[[Response | None], None],
        headers: Mapping[str, str] | None = None,
        tls: ssl.SSLContext | None = None,
        connect_timeout_s: float = math.inf,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._on_done: Callable[[Response | None], None] | None = on_done
        extra_fields = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
        self._head = (
            f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n{extra_fields}\r\n"
        )
        self._tls = tls
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        # Whether the response is complete once the service ends the stream.
        self._ends_with_stream = False
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self.connected = False  # whether the connection was established
        self._deadline = loop.time() + timeout_s
        self._timer = loop.call_later(min(timeout_s, connect_timeout_s), self._finish, None)
        self._task = loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, address.host, address.port, ssl=self._tls)
        except OSError:
            self._finish(None)

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self._transport = cast(asyncio.Transport, transport)
        self.connected = True
        if self._on_done is None:
            self._transport.abort()
        else:
            self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._deadline, self._finish, None)
            self._transport.write(self._head.encode())

    def data_received(self, data: bytes) -> None:
        """Parse the next part of the response."""
        # Counted before they are parsed: the parser holds an incomplete header field.
        self._size += len(data)
        if self._size > MAX_RESPONSE_BYTES:
            self._finish(None)
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # `on_done` raised within a callback of the parser, which wraps the exception in one of
            # its own errors. Without this branch it would look like a malformed response.
            self._log_handler_fault()
            self._finish(None)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish(None)

    def _log_handler_fault(self) -> None:
        logger.exception("the handler of a response raised an exception")

    def eof_received(self) -> bool:
        """Handle the end of the service's stream, which completes a response without a length.

        The request asked for the connection to be closed, so such a response is expected. The
        parser isn't told of the end. Any other response is incomplete. A reset never gets here.

        Returns False, so that the transport is closed.
        """
        if self._ends_with_stream and not self._is_cut_tls_stream():
            try:
                self._report_response()
            except Exception:  # noqa: BLE001 -- as in `data_received`, whose parser wraps it
                self._log_handler_fault()
        return False

    def _is_cut_tls_stream(self) -> bool:
        """Whether a TLS stream has ended without a close_notify alert.

        Such an end may be an attacker's or a failed connection's (RFC 9112, section 9.8).
        """
        assert self._transport is not None
        tls_stream = self._transport.get_extra_info("ssl_object")
        if tls_stream is None:
            return False
        try:
            tls_stream.read(1)
        except ssl.SSLWantReadError:
            return True  # the alert may still come: all that has arrived is read
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report None if the connection is lost before the response is complete."""
        del exc
        self._finish(None)

    # Callbacks of httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Note whether the header fields leave the response's length open."""
        headers = self._headers
        self._ends_with_stream = ends_with_stream(
            "content-length" in headers, "transfer-encoding" in headers
        )

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Report the complete response; an interim one is followed by another, and dropped."""
        parser = self._parser
        if parser is not None and parser.get_status_code() in INTERIM_STATUSES:
            self._headers = {}
            self._ends_with_stream = False
            return
        self._report_response()

    def _report_response(self) -> None:
        parser = self._parser
        if parser is not None:
            status = parser.get_status_code()
            parts, self._body = self._body, []
            body = b"".join(parts)
            parts.clear()  # before the body is decoded, which takes a multiple of its size
            self._finish(Response(status, self._headers, body))

    def _finish(self, response: Response | None) -> None:
        """Close the connection and report the result, unless that was done before."""
        on_done = self._on_done
        if on_done is not None:
            self.drop()
            on_done(response)

    def drop(self) -> None:
        """Close the connection without reporting a result."""
        self._on_done = None
        self._parser = None
        self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._task.cancel()


class Probe(asyncio.Protocol):
    """One connection that is opened and closed again without sending a request.

    Args:
        address: the service's address.
        timeout_s: time limit in seconds for establishing the connection.
        on_done: called once, with whether the connection was established in time.
    """

    __slots__ = ("_on_done", "_task", "_timer")

    def __init__(self, address: Address, timeout_s: float, on_done: Callable[[bool], None]) -> None:
        loop = asyncio.get_running_loop()
        self._on_done: Callable[[bool], None] | None = on_done
        self._timer = loop.call_later(timeout_s, self._finish, False)
        self._task = loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, address.host, address.port)
        except OSError:
            self._finish(False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection and report that the service can be reached."""
        cast(asyncio.Transport, transport).abort()
        self._finish(True)

    def _finish(self, reached: bool) -> None:
        on_done = self._on_done
        if on_done is not None:
            self._stop()
            on_done(reached)

    def drop(self) -> None:
        """Cancel the probe without reporting a result."""
        if self._on_done is not None:
            self._stop()
            self._task.cancel()

    def _stop(self) -> None:
        self._on_done = None
        self._timer.cancel()

"""One HTTP/1.1 GET request to a service that the node itself depends on, such as discovery."""

from __future__ import annotations

import asyncio
import logging
import math
import ssl
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

import httptools

from loadbalancer.config.address import Address

logger = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 16 << 20  # header fields and body
MAX_DIGITS = 18  # of a number in a header field or query: it fits in 64 bits


def parse_decimal(text: str) -> int | None:
    """A peer's decimal number of at most MAX_DIGITS digits, None for anything else.

    Guards against digits outside ASCII, which isdigit() and int() accept, and against numbers
    so long that int() raises.
    """
    is_decimal = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_decimal else None


class Response(NamedTuple):
    """A complete response; names of header fields are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpGet(asyncio.Protocol):
    """One GET request on a connection of its own.

    Args:
        address: of the service.
        target: the request target, with its query.
        timeout_s: seconds for the whole exchange.
        on_done: called once, with the response, or with None where none came in full.
        headers: further header fields, sent as they are.
        tls: wraps the connection; None for plain TCP.
        connect_timeout_s: seconds for the connection to come up.
    """

    __slots__ = (
        "_body", "_deadline", "_head", "_headers", "_on_done", "_parser", "_size", "_task",
        "_timer", "_tls", "_transport", "connected",
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
        more = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
        self._head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n{more}\r\n"
        self._tls = tls
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self.connected = False  # whether the connection has come up
        self._deadline = loop.time() + timeout_s
        self._timer = loop.call_later(min(timeout_s, connect_timeout_s), self._finish, None)
        self._task = loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, address.host, address.port, ssl=self._tls)
        except OSError:
            self._finish(None)

    # ---- asyncio ----------------------------------------------------------------

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
        """Parse a part of the response."""
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # Failure: whoever takes the response raises. The parser makes that one of its own
            # errors, which a malformed response raises too: it would pass for one, unseen.
            logger.exception("handling a response failed")
            self._finish(None)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up on a response that has not come in full."""
        del exc
        self._finish(None)

    # ---- httptools ----------------------------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field."""
        self._count(len(name) + len(value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body.append(body)
        self._count(len(body))

    def on_message_complete(self) -> None:
        """Hand over the response."""
        parser = self._parser
        if parser is not None:
            status = parser.get_status_code()
            self._finish(Response(status, self._headers, b"".join(self._body)))

    def _count(self, size: int) -> None:
        self._size += size
        if self._size > MAX_RESPONSE_BYTES:
            self._finish(None)

    # ---- the end --------------------------------------------------------------------

    def _finish(self, response: Response | None) -> None:
        """Report the response, once, and close the connection."""
        on_done = self._on_done
        if on_done is not None:
            self.drop()
            on_done(response)

    def drop(self) -> None:
        """Close the connection and report nothing."""
        self._on_done = None
        self._parser = None
        self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._task.cancel()


class Probe(asyncio.Protocol):
    """One connection that is opened and closed with no request on it.

    Args:
        address: of the service.
        timeout_s: seconds for the connection to come up.
        on_done: called once, with whether it came up in time.
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
        """Close the connection at once: it has come up."""
        cast(asyncio.Transport, transport).abort()
        self._finish(True)

    def _finish(self, reached: bool) -> None:
        on_done = self._on_done
        if on_done is not None:
            self._stop()
            on_done(reached)

    def drop(self) -> None:
        """Give it up and report nothing."""
        if self._on_done is not None:
            self._stop()
            self._task.cancel()

    def _stop(self) -> None:
        self._on_done = None
        self._timer.cancel()

"""One HTTP/1.1 GET to a service beside the node's own work."""

from __future__ import annotations

import asyncio
import math
import ssl
from collections.abc import Callable, Mapping
from typing import NamedTuple, cast

import httptools

from loadbalancer.config.address import Address

MAX_ANSWER = 16 << 20  # bytes of head and body


def whole_number(text: str) -> int | None:
    """A peer's decimal number of at most 18 digits, None for anything else.

    Guards against digits that are none of ASCII's and against more than int() takes.
    """
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 18 else None


class Answer(NamedTuple):
    """A whole answer; header names in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Call(asyncio.Protocol):
    """One GET on a connection of its own; `done` gets the answer, or None, once.

    `headers` go out as they are; `tls` wraps the connection. Bounded in size, and in time by
    `wait` seconds in all and `connect`, where that is given, for the connection to come up.
    """

    __slots__ = (
        "_body", "_done", "_end_at", "_handle", "_head", "_headers", "_parser", "_size", "_task",
        "_tls", "_transport", "connected",
    )  # fmt: skip

    def __init__(
        self,
        address: Address,
        target: str,
        wait: float,
        done: Callable[[Answer | None], None],
        headers: Mapping[str, str] | None = None,
        tls: ssl.SSLContext | None = None,
        connect: float = math.inf,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._done: Callable[[Answer | None], None] | None = done
        more = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
        self._head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n{more}\r\n"
        self._tls = tls
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self.connected = False  # whether the connection has come up
        self._end_at = loop.time() + wait
        self._handle = loop.call_later(min(wait, connect), self.end, None)
        self._task = loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, address.host, address.port, ssl=self._tls)
        except OSError:
            self.end(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.connected = True
        if self._done is None:
            self._transport.abort()
        else:
            self._handle.cancel()
            self._handle = asyncio.get_running_loop().call_at(self._end_at, self.end, None)
            self._transport.write(self._head.encode())

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end(None)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        if self._size > MAX_ANSWER:
            self.end(None)
            return
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)
        self._size += len(body)
        if self._size > MAX_ANSWER:
            self.end(None)

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is not None:
            self.end(Answer(parser.get_status_code(), self._headers, b"".join(self._body)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(None)

    def end(self, answer: Answer | None) -> None:
        """Hand over what came, once, and let go of the connection."""
        done = self._done
        if done is not None:
            self.drop()
            done(answer)

    def drop(self) -> None:
        """Let go of the connection and tell nobody."""
        self._done = None
        self._parser = None
        self._handle.cancel()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._task.cancel()


class Probe(asyncio.Protocol):
    """One connection that is opened and closed with nothing asked; `done` is told once whether
    it came up within `connect` seconds."""

    __slots__ = ("_done", "_handle", "_task")

    def __init__(self, address: Address, connect: float, done: Callable[[bool], None]) -> None:
        loop = asyncio.get_running_loop()
        self._done: Callable[[bool], None] | None = done
        self._handle = loop.call_later(connect, self._end, False)
        self._task = loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, address.host, address.port)
        except OSError:
            self._end(False)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).abort()
        self._end(True)

    def _end(self, reached: bool) -> None:
        done = self._done
        if done is not None:
            self._forget()
            done(reached)

    def drop(self) -> None:
        """Give it up and tell nobody."""
        if self._done is not None:
            self._forget()
            self._task.cancel()

    def _forget(self) -> None:
        self._done = None
        self._handle.cancel()

"""Connections of callers that ask one question at a time, bounded in size and time.

A `Watcher` asks for a list in the platform's discovery form, and waits for its next version.
What is answered, and when, is the host's to say.

Source: the platform's protocol, "Discovery".
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from loadbalancer.sources.http_get import whole_number

LIST = "/registry/instances"
MAX_HOLD_S = 60.0
MAX_HEAD = 8 << 10  # bytes of a request
IDLE_S = 75.0  # for a connection with nothing asked
GONE = {"state": "left", "endpoint": "", "az": "", "model": "", "pod_group": 0,
        "capacity_hint": 1.0, "boot_ms": 0}  # fmt: skip

Query = dict[str, list[str]]


class Host(Protocol):
    """Whoever answers: it replies on the connection, now or later."""

    most_watchers: int
    connections: int

    def waits(self, caller: Any) -> bool:
        """Whether its last question has no answer yet."""

    def forget(self, caller: Any) -> None:
        """Its question needs no answer any more."""


class ListHost(Host, Protocol):
    """Whoever has the list."""

    def ready(self) -> bool:
        """Whether there is a whole list."""

    def asked(self, watcher: Watcher, since: int, hold: float, query: Query) -> None:
        """A question: the version held, 0 for none, and how many seconds news may take."""


def gone_row(uid: str) -> dict[str, Any]:
    """What the list says of a server that has gone."""
    return {"uid": uid} | GONE


class Caller(asyncio.Protocol):
    """One connection: one question at a time, bounded in size and time."""

    most_bytes = MAX_HEAD  # of one question

    def __init__(self, host: Host) -> None:
        self.host = host
        self.parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._size = 0
        self._target = b""
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.host.connections += 1
        if self.host.connections > self.host.most_watchers:
            self.reply(503, b"too many watchers")
            self._transport.close()
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.connections -= 1
        self.host.forget(self)
        if self._idle is not None:
            self._idle.cancel()

    def _rest(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        if self._transport is not None:
            loop = asyncio.get_running_loop()
            self._idle = loop.call_later(IDLE_S, self._transport.abort)

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self.most_bytes:
            self.give_up(400, b"too large")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise  # a fault of ours: the loop tells it, and ends the connection
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.give_up(400, b"no HTTP/1.1 request")

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        target, self._target, self._size = self._target, b"", 0
        self._rest()
        if self.host.waits(self):
            self.give_up(400, b"a second question before the first's answer")
            return
        parts = urlsplit(target.decode("latin-1"))
        self.question(self.parser.get_method(), parts.path, parse_qs(parts.query))

    def question(self, method: bytes, path: str, query: Query) -> None:
        """A whole question has come."""
        raise NotImplementedError

    def reply(self, status: int, body: bytes) -> None:
        """Answer the question; nothing where the connection is on its way out."""
        if self._transport is None or self._transport.is_closing():
            return
        kind = "application/json" if status == 200 else "text/plain"
        head = f"HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
        # One that does not read: its answers are not kept for it.
        if self._transport.get_write_buffer_size() > 0:
            self._transport.abort()
            return
        self._transport.write(head.encode() + b"\r\n" + body)
        if not self.parser.should_keep_alive():
            self._transport.close()

    def abort(self) -> None:
        """End the connection without a word."""
        if self._transport is not None:
            self._transport.abort()

    def give_up(self, status: int, why: bytes) -> None:
        """Answer, and end the connection."""
        self.host.forget(self)
        self.reply(status, why)
        if self._transport is not None:
            self._transport.close()


class Watcher(Caller):
    """One node's connection."""

    host: ListHost

    def __init__(self, host: ListHost) -> None:
        super().__init__(host)

    def question(self, method: bytes, path: str, query: Query) -> None:
        if method != b"GET":
            self.give_up(405, b"GET only")
        elif path == "/health/ready":
            self.reply(200 if self.host.ready() else 503, b"")
        elif path != LIST:
            self.reply(404, b"")
        elif not self.host.ready():
            self.reply(503, b"no whole list yet")
        else:
            self._asked(query)

    def _asked(self, query: Query) -> None:
        since, hold = (whole_number(query.get(k, ["0"])[0]) for k in ("from", "hold_ms"))
        if since is None or hold is None:
            self.reply(400, b"from and hold_ms are whole numbers")
            return
        self.host.asked(self, since, min(hold / 1000, MAX_HOLD_S), query)

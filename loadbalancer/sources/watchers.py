"""The server side of polls and watches (long polls): connections with size and time limits.

A connection carries one request at a time. A `Watcher` is the connection of a caller that polls
for an endpoint list by the platform's discovery protocol (its specification, section "Discovery")
and may wait for the list's next version. Its host decides what is answered, and when.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any, Protocol, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from loadbalancer.sources.endpoint_list import LIST_PATH
from loadbalancer.sources.http_get import parse_decimal

READY_PATH = "/health/ready"
MAX_HOLD_S = 60.0  # the longest wait of a watch
MAX_REQUEST_BYTES = 8 << 10
IDLE_TIMEOUT_S = 75.0  # since the last complete request, or since the connection was opened
MS_PER_S = 1000
# The fields of a removed server's row, without the uid.
REMOVED_FIELDS = {"state": "left", "endpoint": "", "az": "", "model": "", "pod_group": 0,
                  "capacity_hint": 1.0, "boot_ms": 0}  # fmt: skip

Query = dict[str, list[str]]


class ConnectionHost(Protocol):
    """Answers the requests of connections, at once or later."""

    max_connections: int
    connections: int

    def is_waiting(self, connection: Any) -> bool:
        """Return whether the connection's last request has no response yet."""

    def cancel(self, connection: Any) -> None:
        """Forget the connection's request, which no longer needs a response."""


class ListHost(ConnectionHost, Protocol):
    """Serves an endpoint list."""

    def ready(self) -> bool:
        """Return whether there is a complete list."""

    def on_list_request(self, watcher: Watcher, since: int, hold_s: float, query: Query) -> None:
        """Handle a poll or a watch.

        Args:
            watcher: the connection that the request came on.
            since: the version that the caller has; 0 for none.
            hold_s: how long the caller waits for a newer version, in seconds; 0 for a poll.
            query: the complete query of the request.
        """


def removed_row(uid: str) -> dict[str, Any]:
    """Return the row by which a delta removes a server."""
    return {"uid": uid} | REMOVED_FIELDS


class ServerConnection(asyncio.Protocol):
    """A connection that carries one request at a time, with limits on its size and idle time."""

    max_request_bytes = MAX_REQUEST_BYTES

    def __init__(self, host: ConnectionHost) -> None:
        self.host = host
        self.parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._size = 0
        self._target = b""
        self._idle_timer: asyncio.TimerHandle | None = None

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a request, or reject the connection if the host has too many."""
        self._transport = cast(asyncio.Transport, transport)
        self.host.connections += 1
        if self.host.connections > self.host.max_connections:
            self.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"too many watchers")
            self._transport.close()
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending request."""
        del exc
        self.host.connections -= 1
        self.host.cancel(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse the next part of a request."""
        self._size += len(data)
        if self._size > self.max_request_bytes:
            self.reject(HTTPStatus.BAD_REQUEST, b"too large")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise  # a fault in this program: the event loop logs it and closes the connection
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(HTTPStatus.BAD_REQUEST, b"no HTTP/1.1 request")

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._transport is not None:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(IDLE_TIMEOUT_S, self._transport.abort)

    # Callbacks of httptools

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Validate the request target and handle the request."""
        target, self._target, self._size = self._target, b"", 0
        self._restart_idle_timer()
        if self.host.is_waiting(self):
            self.reject(HTTPStatus.BAD_REQUEST, b"a second question before the first's answer")
            return
        try:
            parts = urlsplit(target.decode("latin-1"))
            query = parse_qs(parts.query)
        except ValueError:
            # A malformed target such as "http://[::1" raises here. Uncaught, the exception would
            # close the connection without a response, as a fault in this program does. Targets are
            # split nowhere else, so no malformed one gets any further.
            self.reject(HTTPStatus.BAD_REQUEST, b"the request target can't be split")
            return
        self.on_request(self.parser.get_method(), parts.path, query)

    def on_request(self, method: bytes, path: str, query: Query) -> None:
        """Handle a complete request."""
        raise NotImplementedError

    def reply(self, status: int, body: bytes) -> None:
        """Send a response, unless the connection is closing."""
        if self._transport is None or self._transport.is_closing():
            return
        content_type = "application/json" if status == HTTPStatus.OK else "text/plain"
        head = (
            f"HTTP/1.1 {int(status)} -\r\n"
            f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n"
        )
        # Responses to a caller that doesn't read them would pile up in memory, so the connection
        # is closed if a response is due while an earlier one is still unsent.
        if self._transport.get_write_buffer_size() > 0:
            self._transport.abort()
            return
        self._transport.write(head.encode() + b"\r\n" + body)
        if not self.parser.should_keep_alive():
            self._transport.close()

    def abort(self) -> None:
        """Close the connection without a response."""
        if self._transport is not None:
            self._transport.abort()

    def reject(self, status: int, reason: bytes) -> None:
        """Send an error response and close the connection."""
        self.host.cancel(self)
        self.reply(status, reason)
        if self._transport is not None:
            self._transport.close()


class Watcher(ServerConnection):
    """The connection of a caller that polls or watches an endpoint list."""

    host: ListHost

    def __init__(self, host: ListHost) -> None:
        super().__init__(host)

    def on_request(self, method: bytes, path: str, query: Query) -> None:
        """Serve the endpoint list, or whether there is one (`READY_PATH`)."""
        if method != b"GET":
            self.reject(HTTPStatus.METHOD_NOT_ALLOWED, b"GET only")
        elif path == READY_PATH:
            self.reply(HTTPStatus.OK if self.host.ready() else HTTPStatus.SERVICE_UNAVAILABLE, b"")
        elif path != LIST_PATH:
            self.reply(HTTPStatus.NOT_FOUND, b"")
        elif not self.host.ready():
            self.reply(HTTPStatus.SERVICE_UNAVAILABLE, b"no whole list yet")
        else:
            self._on_list_request(query)

    def _on_list_request(self, query: Query) -> None:
        since, hold_ms = (parse_decimal(query.get(key, ["0"])[0]) for key in ("from", "hold_ms"))
        if since is None or hold_ms is None:
            self.reply(HTTPStatus.BAD_REQUEST, b"from and hold_ms are whole numbers")
            return
        hold_s = min(hold_ms / MS_PER_S, MAX_HOLD_S)
        self.host.on_list_request(self, since, hold_s, query)

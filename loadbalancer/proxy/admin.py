"""HTTP server of a node's admin address: one request per connection.

It has a small number of sockets of its own, so it answers under any load of clients. Each
connection is limited in bytes and in time. When MAX_CONNECTIONS are open, the oldest is closed
for a new one, even if it has not been answered: a caller that sends nothing, or that never
closes its connection, locks nobody else out. `admin_calls` has the handlers.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

import httptools

from loadbalancer.config.address import Address
from loadbalancer.proxy.sockets import listening_socket

logger = logging.getLogger(__name__)

MAX_CONNECTIONS = 8
MAX_REQUEST_BYTES = 4 << 10  # of head and body together
CONNECTION_TIMEOUT_S = 2.0  # from accept until the caller has closed the connection
ACCEPT_RETRY_S = 0.1  # pause after an accept that failed, as without a free descriptor
LISTEN_BACKLOG = 64
DESCRIPTORS = MAX_CONNECTIONS + 2  # and the listening socket, and one connection that is closing

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
CONFLICT = 409
CONTENT_TOO_LARGE = 413
INTERNAL_ERROR = 500
SERVICE_UNAVAILABLE = 503

REASONS = {
    OK: "OK",
    BAD_REQUEST: "Bad Request",
    NOT_FOUND: "Not Found",
    METHOD_NOT_ALLOWED: "Method Not Allowed",
    REQUEST_TIMEOUT: "Request Timeout",
    CONFLICT: "Conflict",
    CONTENT_TOO_LARGE: "Content Too Large",
    INTERNAL_ERROR: "Internal Server Error",
    SERVICE_UNAVAILABLE: "Service Unavailable",
}


class Reply(NamedTuple):
    """A response: status, body text, and for METHOD_NOT_ALLOWED the supported method."""

    status: int
    text: str
    allow: str = ""


class Route(NamedTuple):
    """The only method that a path supports, and the handler of its requests.

    `is_named`: whether the answer to an unknown path names this one.
    """

    method: str
    handler: Callable[[], Reply]
    is_named: bool = True


class AdminListener:
    """Accepts connections at the admin address; `connections` is ordered from oldest to newest.

    Args:
        loop: the event loop of the process.
        routes: the supported paths, and how each is handled.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, routes: Mapping[str, Route]) -> None:
        self.loop = loop
        self.routes = routes
        self.connections: dict[AdminConnection, None] = {}
        self._sock: socket.socket | None = None

    def listen(self, address: Address) -> int:
        """Listen at `address` and return the port; raises OSError if it can't be bound."""
        sock = listening_socket(address, LISTEN_BACKLOG)
        self._sock = sock
        self.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def _accept(self) -> None:
        assert self._sock is not None
        for _ in range(MAX_CONNECTIONS):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as err:
                self._pause_accepting(err)
                return
            if len(self.connections) >= MAX_CONNECTIONS:
                next(iter(self.connections)).close()
            sock.setblocking(False)
            self.connections[AdminConnection(self, sock)] = None

    def _pause_accepting(self, err: OSError) -> None:
        """Stop accepting for ACCEPT_RETRY_S.

        Without a pause: when accept fails because no descriptor is free, the listening socket
        stays readable, and the event loop would retry and log the error in every iteration.
        """
        assert self._sock is not None
        logger.info("admin address: accept failed: %s", err)
        self.loop.remove_reader(self._sock)
        self.loop.call_later(ACCEPT_RETRY_S, self.loop.add_reader, self._sock, self._accept)

    def reply(self, method: str, url: bytes) -> Reply:
        """Handle a request and return its response.

        A handler's exception is caught and logged here. Otherwise the parser, whose callback
        this runs in, would report it as a parse error: a 400 to the caller and nothing logged.
        """
        path = url.partition(b"?")[0].decode("latin-1")
        route = self.routes.get(path)
        if route is None:
            named = (known for known, other in self.routes.items() if other.is_named)
            return Reply(NOT_FOUND, f"no such call; there are {', '.join(named)}")
        if route.method != method:
            return Reply(METHOD_NOT_ALLOWED, f"{path} takes {route.method}", route.method)
        try:
            return route.handler()
        except Exception:
            logger.exception("admin address: the handler of %s raised", path)
            return Reply(INTERNAL_ERROR, f"{path} failed; the log says why")


class AdminConnection:
    """One connection at the admin address; the HTTP parser calls the `on_...` methods."""

    __slots__ = (
        "_listener", "_answered", "_parser", "_received_bytes", "_sock", "_timeout_timer",
        "_unsent", "_url", "_watches_writable",
    )  # fmt: skip

    def __init__(self, listener: AdminListener, sock: socket.socket) -> None:
        self._listener = listener
        self._sock = sock
        self._received_bytes = 0
        self._url = b""
        self._answered = False
        self._unsent = b""  # the rest of the response
        self._watches_writable = False
        self._parser = httptools.HttpRequestParser(self)
        listener.loop.add_reader(sock, self._read)
        self._timeout_timer = listener.loop.call_later(CONNECTION_TIMEOUT_S, self._on_timeout)

    def _read(self) -> None:
        try:
            data = self._sock.recv(MAX_REQUEST_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data and self._unsent:
            # The caller may have shut down only its sending side; `_on_timeout` closes.
            self._listener.loop.remove_reader(self._sock)
        elif not data:
            self.close()
        elif not self._answered:  # ignores anything after the first request
            self._feed_parser(data)

    def _feed_parser(self, data: bytes) -> None:
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._respond(Reply(BAD_REQUEST, "this is no HTTP/1.1 call"))
        if not self._answered and self._received_bytes >= MAX_REQUEST_BYTES:
            text = f"a call has at most {MAX_REQUEST_BYTES} bytes"
            self._respond(Reply(CONTENT_TOO_LARGE, text))

    def on_url(self, url: bytes) -> None:
        """Parser callback: a part of the request target has been read."""
        self._url += url

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        if not self._answered:
            method = self._parser.get_method().decode("latin-1")
            self._respond(self._listener.reply(method, self._url))

    def _on_timeout(self) -> None:
        if not self._answered:
            text = f"a call has to come within {CONNECTION_TIMEOUT_S:g} s"
            self._respond(Reply(REQUEST_TIMEOUT, text))
        self.close()

    def _respond(self, reply: Reply) -> None:
        """Send the response and shut down the sending side; the caller closes the connection.

        Closing the socket while bytes of the request are unread would reset the connection, and
        the reset could reach the caller before it has read the response.
        """
        self._answered = True
        content = reply.text.encode() + b"\n"
        allow = f"Allow: {reply.allow}\r\n" if reply.allow else ""
        head = (
            f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(content)}\r\n{allow}Connection: close\r\n\r\n"
        )
        self._unsent = head.encode() + content
        self._send()

    def _send(self) -> None:
        """Write as much as the socket accepts; shut down the sending side after the last byte.

        A response may exceed the socket's send buffer, as the peers of a fleet of thousands of
        nodes do. The rest has to be sent later, or the caller gets a truncated response.
        """
        try:
            sent = self._sock.send(self._unsent)
            self._unsent = self._unsent[sent:]
            if not self._unsent:
                self._sock.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            pass  # the send buffer is full
        except OSError:
            self._unsent = b""  # the caller has disconnected
        self._watch_writable(bool(self._unsent))

    def _watch_writable(self, on: bool) -> None:
        """Start or stop calling `_send` when the socket is writable."""
        if on == self._watches_writable:
            return
        self._watches_writable = on
        if on:
            self._listener.loop.add_writer(self._sock, self._send)
        else:
            self._listener.loop.remove_writer(self._sock)

    def close(self) -> None:
        """Close the connection; a second call does nothing."""
        if self._listener.connections.pop(self, self) is None:
            self._timeout_timer.cancel()
            self._listener.loop.remove_reader(self._sock)
            self._watch_writable(False)
            self._sock.close()

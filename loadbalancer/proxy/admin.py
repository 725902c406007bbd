"""The second address: a listener that takes one call on each connection.

Its sockets are its own and few, and what is asked here is answered whatever the clients do.
Each caller is bounded in bytes and time. One more than MAX_CALLERS closes the oldest, answered
or not: callers that send nothing, or that do not leave, keep nobody else out. What is answered
is not decided here.
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

MAX_CALLERS = 8
MAX_CALL_BYTES = 4 << 10  # head and body
CALL_TIMEOUT_S = 2.0  # for the complete call to come, its answer to go, and the caller to leave
ACCEPT_RETRY_S = 0.1  # until the next accept, where the system is short of descriptors
BACKLOG = 64
DESCRIPTORS = MAX_CALLERS + 2  # with the listener, and one caller that is being closed

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
    """A status, one line that says why, and with METHOD_NOT_ALLOWED the method to use."""

    status: int
    text: str
    allow: str = ""


class Route(NamedTuple):
    """The one method of a path, and what answers it."""

    method: str
    answer: Callable[[], Reply]


class Admin:
    """The listener of the second address, and its callers from the oldest to the latest.

    Args:
        loop: the event loop of the process.
        routes: the calls that there are, by their paths.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, routes: Mapping[str, Route]) -> None:
        self.loop = loop
        self.routes = routes
        self.callers: dict[Caller, None] = {}
        self._sock: socket.socket | None = None

    def listen(self, address: Address) -> int:
        """Accept calls at this address; returns the port. OSError where it can't be bound."""
        sock = listening_socket(address, BACKLOG)
        self._sock = sock
        self.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def _accept(self) -> None:
        assert self._sock is not None
        for _ in range(MAX_CALLERS):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as err:
                self._pause_accepting(err)
                return
            if len(self.callers) >= MAX_CALLERS:
                next(iter(self.callers)).close()
            sock.setblocking(False)
            self.callers[Caller(self, sock)] = None

    def _pause_accepting(self, err: OSError) -> None:
        """Accept again a moment later.

        Failure: the system is short of descriptors, and the socket stays readable. The loop
        would try again in each of its turns, with a line of the log for each.
        """
        assert self._sock is not None
        logger.info("second address: accept: %s", err)
        self.loop.remove_reader(self._sock)
        self.loop.call_later(ACCEPT_RETRY_S, self.loop.add_reader, self._sock, self._accept)

    def reply(self, method: str, url: bytes) -> Reply:
        """The answer to a call.

        Failure: what answers a call raises. Within the caller's parser that would pass for a
        call that can't be read: the caller is told 400, and the log says nothing.
        """
        path = url.partition(b"?")[0].decode("latin-1")
        route = self.routes.get(path)
        if route is None:
            return Reply(NOT_FOUND, f"no such call; there are {', '.join(self.routes)}")
        if route.method != method:
            return Reply(METHOD_NOT_ALLOWED, f"{path} takes {route.method}", route.method)
        try:
            return route.answer()
        except Exception:
            logger.exception("second address: %s raised", path)
            return Reply(INTERNAL_ERROR, f"{path} failed; the log says why")


class Caller:
    """One connection on the second address; `on_...` are callbacks of its parser."""

    __slots__ = (
        "_admin", "_answered", "_parser", "_size", "_sock", "_timer", "_unsent", "_url",
        "_watches_writable",
    )  # fmt: skip

    def __init__(self, admin: Admin, sock: socket.socket) -> None:
        self._admin = admin
        self._sock = sock
        self._size = 0
        self._url = b""
        self._answered = False
        self._unsent = b""  # of the answer
        self._watches_writable = False
        self._parser = httptools.HttpRequestParser(self)
        admin.loop.add_reader(sock, self._read)
        self._timer = admin.loop.call_later(CALL_TIMEOUT_S, self._on_timeout)

    def _read(self) -> None:
        try:
            data = self._sock.recv(MAX_CALL_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data and self._unsent:
            self._admin.loop.remove_reader(self._sock)  # it may still read: the timer closes
        elif not data:
            self.close()
        elif not self._answered:  # what follows the one call is dropped
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(Reply(BAD_REQUEST, "this is no HTTP/1.1 call"))
        if not self._answered and self._size >= MAX_CALL_BYTES:
            text = f"a call has at most {MAX_CALL_BYTES} bytes"
            self._answer(Reply(CONTENT_TOO_LARGE, text))

    def on_url(self, url: bytes) -> None:
        """A part of the call's target has been read."""
        self._url += url

    def on_message_complete(self) -> None:
        """The call has been read to its end."""
        if not self._answered:
            method = self._parser.get_method().decode("latin-1")
            self._answer(self._admin.reply(method, self._url))

    def _on_timeout(self) -> None:
        if not self._answered:
            text = f"a call has to come within {CALL_TIMEOUT_S:g} s"
            self._answer(Reply(REQUEST_TIMEOUT, text))
        self.close()

    def _answer(self, reply: Reply) -> None:
        """Write an answer; the caller closes.

        Failure: a close while bytes of the call are unread resets the connection, and the
        reset may reach the caller before it has read the answer. So only the sending ends.
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
        """Write what the socket takes, and end the sending after the last byte.

        Failure: an answer is longer than the socket's buffer, as what a fleet of thousands says
        of its nodes. What one write leaves over would be lost, and the caller get a part.
        """
        try:
            sent = self._sock.send(self._unsent)
            self._unsent = self._unsent[sent:]
            if not self._unsent:
                self._sock.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            pass  # its buffer is full
        except OSError:
            self._unsent = b""  # the caller has gone
        self._watch_writable(bool(self._unsent))

    def _watch_writable(self, on: bool) -> None:
        """Have `_send` called whenever the socket takes bytes again, or no longer."""
        if on == self._watches_writable:
            return
        self._watches_writable = on
        if on:
            self._admin.loop.add_writer(self._sock, self._send)
        else:
            self._admin.loop.remove_writer(self._sock)

    def close(self) -> None:
        """Close the connection; nothing where it is closed."""
        if self._admin.callers.pop(self, self) is None:
            self._timer.cancel()
            self._admin.loop.remove_reader(self._sock)
            self._watch_writable(False)
            self._sock.close()

"""The second address: one call to a connection, answered whatever the clients do.

Its sockets are its own and few. Each caller is bounded in bytes and time, and the
oldest that has not finished its call goes when all places are taken, so a caller
that says nothing costs nobody else. What is answered is not decided here.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

import httptools

from loadbalancer.config.address import Address
from loadbalancer.proxy.sockets import listening_socket

MOST_CALLERS = 8
MOST_BYTES = 4 << 10  # of one call, head and body
SHORT_S = 0.1  # before the next accept, where the system is short of descriptors
CALL_S = 2.0  # for the whole call to come, and then for the caller to leave
BACKLOG = 64
DESCRIPTORS = MOST_CALLERS + 2  # with the listener, and one caller on its way out

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 503: "Service Unavailable",
}  # fmt: skip


class Reply(NamedTuple):
    """A status and one line that says why."""

    status: int
    text: str


class Route(NamedTuple):
    method: str
    answer: Callable[[], Reply]


class Admin:
    """The listener of the second address and its callers, oldest first."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        routes: Mapping[str, Route],
        log: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.routes = routes
        self.log = log
        self.callers: dict[Caller, None] = {}
        self._sock: socket.socket | None = None

    def listen(self, address: Address) -> int:
        """Take calls at this address; returns the port. OSError where it can't be had."""
        sock = listening_socket(address, BACKLOG)
        self._sock = sock
        self.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def _accept(self) -> None:
        for _ in range(MOST_CALLERS):
            assert self._sock is not None
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as err:
                # The system is short of something, and would say so again at once.
                self.log(f"second address: accept: {err}")
                self.loop.remove_reader(self._sock)
                self.loop.call_later(SHORT_S, self.loop.add_reader, self._sock, self._accept)
                return
            if len(self.callers) >= MOST_CALLERS:
                next(iter(self.callers)).close()
            sock.setblocking(False)
            self.callers[Caller(self, sock)] = None

    def reply(self, method: str, url: bytes) -> tuple[Reply, str]:
        """What a call is answered, and the method to allow where it was the wrong one."""
        path = url.partition(b"?")[0].decode("latin-1")
        route = self.routes.get(path)
        if route is None:
            return Reply(404, f"no such call; there are {', '.join(self.routes)}"), ""
        if route.method != method:
            return Reply(405, f"{path} takes {route.method}"), route.method
        return route.answer(), ""


class Caller:
    """One connection on the second address."""

    __slots__ = ("_admin", "_done", "_parser", "_size", "_sock", "_timer", "_url")

    def __init__(self, admin: Admin, sock: socket.socket) -> None:
        self._admin = admin
        self._sock = sock
        self._size = 0
        self._url = b""
        self._done = False
        self._parser = httptools.HttpRequestParser(self)
        admin.loop.add_reader(sock, self._read)
        self._timer = admin.loop.call_later(CALL_S, self._expired)

    def _read(self) -> None:
        try:
            data = self._sock.recv(MOST_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        if self._done:
            return  # what follows the one call is dropped
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(Reply(400, "this is no HTTP/1.1 call"))
        if not self._done and self._size >= MOST_BYTES:
            self._answer(Reply(413, f"a call has at most {MOST_BYTES} bytes"))

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        if not self._done:
            method = self._parser.get_method().decode("latin-1")
            self._answer(*self._admin.reply(method, self._url))

    def _expired(self) -> None:
        if not self._done:
            self._answer(Reply(408, f"a call has to come within {CALL_S:g} s"))
        self.close()

    def _answer(self, reply: Reply, allow: str = "") -> None:
        """Write the answer, which any socket's buffer holds, and wait for the caller to leave:
        a close over bytes unread would reset the connection, perhaps before it was read."""
        self._done = True
        body = reply.text.encode() + b"\n"
        more = f"Allow: {allow}\r\n" if allow else ""
        head = (
            f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(body)}\r\n{more}Connection: close\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            self._sock.send(head.encode() + body)
            self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        if self._admin.callers.pop(self, self) is None:
            self._timer.cancel()
            self._admin.loop.remove_reader(self._sock)
            self._sock.close()

"""One client's connection, as far as it reads requests."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from abc import abstractmethod
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from loadbalancer.core.balancing.model import MS
from loadbalancer.errors import BadRequestError
from loadbalancer.proxy.downstream.registry import Connection, ConnectionRegistry
from loadbalancer.proxy.downstream.request import MAX_HEAD, NOT_PASSED_ON, READ, IncomingRequest
from loadbalancer.proxy.flow_control import (
    MAX_MESSAGE_BYTES,
    MIN_WINDOW_BYTES,
    STREAMING_THRESHOLD_BYTES,
    Flow,
)

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Request

SMALL_BODY = 16 << 10  # never made to wait for room
MOST_WAITING = 8  # requests on one connection behind the one that is open
TCP_INFO_SIZE = 56
LAST_DATA_RECEIVED = struct.Struct("=52xI")  # tcpi_last_data_recv, in milliseconds


class RequestReader(Connection):
    """Reads a client's requests one after another; a subclass answers them.

    Up to MOST_WAITING may wait behind the open one and are taken in turn. More, or
    anything that can't be read, ends them all: one connection must not fill the
    queues, nor bytes hidden behind a request pass for one.
    """

    __slots__ = (
        "_head_size", "_headers_done", "_incoming", "_parser", "_registry", "_request", "_since",
        "_sock", "_still_to_come", "_transport", "_waiting",
    )  # fmt: skip

    def __init__(self, registry: ConnectionRegistry, sock: socket.socket) -> None:
        self._registry = registry
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._incoming: IncomingRequest | None = None
        self._waiting: deque[IncomingRequest] = deque()  # read to their ends, not yet begun
        self._request: Request | None = None
        self._still_to_come = 0  # bytes of a long body that nobody wants any more
        self._headers_done = False
        self._head_size = 0
        # The sweep at which it came up, or the last request began or was answered,
        # or lingering began.
        self._since = registry.sweeps

    @abstractmethod
    def _begin(self, incoming: IncomingRequest) -> None:
        """Take up a request that is whole, or whose body goes on as it comes."""

    @abstractmethod
    def _reject(self, status: int, text: bytes = b"") -> None:
        """Answer what can't be read as a request, and close."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)
        self._registry.connections.add(self)
        self._registry.fresh[self] = None

    def data_received(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            # Lingering: what still comes is dropped. A client in the middle of a long
            # body may read its answer only after it: the rest of it is waited for.
            if self._still_to_come > 0:
                self._still_to_come -= len(data)
                self._since = self._registry.sweeps
            return
        if not self._headers_done:
            self._head_size += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as err:
            cause = err.__context__
            if not isinstance(cause, BadRequestError):
                self._registry.node.log(f"reading a request: {cause!r}")
            bad = cause if isinstance(cause, BadRequestError) else BadRequestError(400)
            self._reject(bad.status, bad.text)
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)
            return
        self._next()
        incoming = self._incoming
        if incoming is None:
            return
        if not self._headers_done:
            if self._head_size > MAX_HEAD:
                self._reject(431)
        elif incoming.flow is None and incoming.size:
            if self._request is not None:
                if incoming.size > STREAMING_THRESHOLD_BYTES:
                    self.pause_flow()  # its turn comes with the open one's answer
            elif self._registry.node.budget.must_pause(self):
                self.pause_flow()

    def _next(self) -> None:
        """Begin what has been read, if nothing is open."""
        while self._request is None and self._waiting and self._parser is not None:
            self._begin(self._waiting.popleft())
        incoming = self._incoming
        if (
            self._request is None
            and incoming is not None
            and self._headers_done
            and incoming.flow is None
            and incoming.size > STREAMING_THRESHOLD_BYTES
        ):
            self._begin_long(incoming)

    def on_message_begin(self) -> None:
        if len(self._waiting) + (self._request is not None) > MOST_WAITING:
            raise BadRequestError(400)
        self._incoming = IncomingRequest()
        self._headers_done = False
        # From its first byte on: a client that connects ahead of its need is not slow.
        self._since = self._registry.sweeps
        self._leave_rest()

    def on_url(self, url: bytes) -> None:
        assert self._incoming is not None
        self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self._incoming
        if incoming is None or self._headers_done:
            return  # a trailer
        lower = name.lower()
        value = value.strip(b" \t")  # RFC 9110, section 5.5: no part of the value
        if lower in READ:
            if lower in incoming.fields:
                raise BadRequestError(400)  # which of the two would be meant?
            incoming.fields[lower] = value
        elif lower == b"idempotency-key":
            incoming.keyed = True
        if lower not in NOT_PASSED_ON:
            incoming.lines.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        incoming, parser = self._incoming, self._parser
        assert incoming is not None and parser is not None
        self._headers_done = True
        self._head_size = 0
        incoming.method = parser.get_method()
        incoming.keep_alive = parser.should_keep_alive()
        size = len(incoming.url) + sum(map(len, incoming.lines))
        if size > MAX_HEAD:
            raise BadRequestError(431)
        if parser.get_http_version() not in ("1.0", "1.1"):
            raise BadRequestError(400)
        incoming.old = parser.get_http_version() == "1.0"
        self._registry.heads.check(incoming)
        if incoming.length > MAX_MESSAGE_BYTES:
            raise BadRequestError(413)
        if incoming.length or incoming.chunked:
            if incoming.length > STREAMING_THRESHOLD_BYTES:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_WINDOW_BYTES)
            elif incoming.length > SMALL_BODY or incoming.chunked:
                self._registry.node.budget.incomplete[self] = None
            # Where another's answer is still to go out first, this would stand in it.
            free = self._request is None and not self._waiting
            if free and incoming.fields.get(b"expect", b"").lower() == b"100-continue":
                assert self._transport is not None
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.size += len(body)
        if incoming.size > MAX_MESSAGE_BYTES:
            raise BadRequestError(413)
        if incoming.flow is not None:
            incoming.flow.push(body)
            return
        incoming.body.append(body)
        self._registry.node.budget.reserve(len(body))

    def on_message_complete(self) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._incoming = None
        self._headers_done = False
        node = self._registry.node
        node.budget.body_finished(self)
        # What waited in the kernel while the loop was busy is the client's time.
        info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (unread_ms,) = LAST_DATA_RECEIVED.unpack(info)
        incoming.received = time.monotonic_ns() - unread_ms * MS
        if incoming.flow is not None:
            request = self._request
            if request is not None and request.flow is incoming.flow:
                node.uploaded(request, None)
            incoming.flow.finish()
            return
        incoming.chunked = False  # it is whole: its length is known
        incoming.length = incoming.size
        self._write_lines(incoming)
        # Begun only once what came with it is read: that may end them all.
        self._waiting.append(incoming)

    def _write_lines(self, incoming: IncomingRequest) -> None:
        """The head that each attempt starts with."""
        if not incoming.probe:
            if incoming.chunked:
                incoming.lines.append(b"Transfer-Encoding: chunked\r\n")
            elif incoming.method == b"POST" or incoming.length:
                incoming.lines.append(b"Content-Length: %d\r\n" % incoming.length)
            lines = b"".join(incoming.lines)
            incoming.head = b"%s %s HTTP/1.1\r\n%sX-Timeout-Ms: " % (
                incoming.method,
                incoming.url,
                lines,
            )
        incoming.lines = []

    def _begin_long(self, incoming: IncomingRequest) -> None:
        """Pass on a body that is too long to hold, from what has come of it."""
        node = self._registry.node
        node.budget.body_finished(self)
        node.budget.release(incoming.size)
        flow = incoming.flow = Flow(node.budget, self)
        chunks, incoming.body = incoming.body, []
        self.resume_flow()
        for chunk in chunks:
            flow.push(chunk)
        incoming.received = time.monotonic_ns()
        self._write_lines(incoming)
        self._begin(incoming)

    def pause_flow(self) -> None:
        """Read no more until resume_flow."""
        if self._transport is not None:
            self._transport.pause_reading()
            self._registry.look_after(self)

    def resume_flow(self) -> None:
        """There is room for more of the body; the time meanwhile was not the client's."""
        self._since = self._registry.sweeps
        self._registry.unread.pop(self, None)
        if self._transport is not None:
            self._transport.resume_reading()

    resume_body = resume_flow

    def _leave_rest(self) -> None:
        self._registry.fresh.pop(self, None)
        self._registry.idle.pop(self, None)
        self._registry.unread.pop(self, None)

    def _drop_incoming(self) -> None:
        """Give back what a request not begun holds."""
        self._registry.node.budget.body_finished(self)
        if self._incoming is not None:
            self._give_back(self._incoming)
        for incoming in self._waiting:
            self._give_back(incoming)
        self._incoming = None
        self._waiting.clear()

    def _give_back(self, incoming: IncomingRequest) -> None:
        if incoming.flow is not None:
            incoming.flow.discard()
        else:
            self._registry.node.budget.release(incoming.size)

    def _half_read(self) -> bool:
        """Whether the answer comes before its request has been read to its end."""
        incoming = self._incoming
        return incoming is not None and incoming.flow is not None

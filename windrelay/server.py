"""Connections from clients: accepting, reading requests, writing answers."""

from __future__ import annotations

import asyncio
import fcntl
import re
import select
import socket
import struct
import termios
import time
from collections import deque
from typing import TYPE_CHECKING, cast
from zlib import crc32

import httptools

from flinthatch import Effect
from flinthatch.balancer import ClassState
from flinthatch.model import MS, RequestClass
from windrelay.errors import BadRequest
from windrelay.flow import MOST, WHOLE, WINDOW, Flow
from windrelay.sockets import disown, listening

if TYPE_CHECKING:
    from flinthatch.routes.table import Policy
    from windrelay.config import Address
    from windrelay.exchange import Request
    from windrelay.ports import ClientHost
    from windrelay.service import Service

MAX_HEAD = 16 << 10
MAX_ID = 128  # bytes of a request's id
SMALL_BODY = 16 << 10  # never made to wait for room
BACKLOG = 1024
ACCEPTS = 64  # in one turn of the loop
# Patience with clients, in sweeps: a node that was stopped for a while must not
# take its own absence for the clients'.
SWEEP_S = 0.25
WHOLE_SWEEPS = 9  # for the first byte of a connection
HEAD_SWEEPS = 10  # for a whole request, from its first byte on ...
SWEEP_BYTES = 8 << 10  # ... and one more for each so many bytes of its body
STALL_SWEEPS = 20  # for a server to take more of a long body
MOST_WAITING = 8  # requests on one connection behind the one that is open
REST_SWEEPS = 9  # without a request, after which a connection may be closed for room
WRITE_SWEEPS = 40  # without a byte taken
LINGER_SWEEPS = 4
PRESSED_S = 0.05  # the same while others wait for a place ...
PRESSED_PART = 2  # ... and one in so many places is freed at a time, at the most
LOOK_S = 0.05  # between looks whether those that are not read from have ended their sending
FRESH_SWEEPS = 1  # for a new connection's first bytes, while clients are sent away
FLOOD_PART = 4  # one silent connection in so many is a flood of them
IDLE_PART = 0.5  # of the room for clients, above which the oldest resting ones go
REST_PART = 0.2  # of all descriptors, above which an answer ends its connection

TCP_INFO_SIZE = 56
LAST_DATA_RECEIVED = struct.Struct("=52xI")
QUEUED = struct.Struct("i")
ABORTIVE = struct.pack("ii", 1, 0)  # SO_LINGER: the connection's end is a reset
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR

REASONS = {
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
EMPTY = {
    status: b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n" % (status, reason)
    for status, reason in REASONS.items()
}
TEXT = b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"

# Of one hop only, or written anew for each attempt.
NOT_PASSED_ON = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-connection",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"x-timeout-ms",
    )
)  # fmt: skip
READ = frozenset(
    (
        b"connection", b"content-length", b"expect", b"host", b"transfer-encoding", b"x-cost",
        b"x-priority-class", b"x-request-id", b"x-retried", b"x-tenant-id", b"x-timeout-ms",
    )
)  # fmt: skip


ABSOLUTE = re.compile(rb"^[Hh][Tt][Tt][Pp]://[^/?#]*")


def sending_has_ended(sock: socket.socket) -> bool:
    """Whether the peer has ended its sending, also behind bytes that nobody has read yet."""
    try:
        if sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"":
            return True
        poll = select.poll()
        poll.register(sock, ENDED)
        return bool(poll.poll(0))
    except BlockingIOError:
        return False
    except OSError:
        return True


NO_CLASS = ClassState(-1, RequestClass("", 1, 1), 0)  # of what is no request for a backend


class Incoming:
    """A request as it is read; `head` is what each attempt starts with."""

    __slots__ = (
        "body", "chunked", "cls", "fields", "flow", "head", "hint", "keep_alive", "key", "keyed",
        "label", "length", "lines", "method", "old", "path", "policy", "probe",
        "received", "retried", "size", "tenant", "timeout", "url",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.lines: list[bytes] = []
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = 0
        self.length = 0
        self.chunked = False
        self.flow: Flow | None = None  # once its bytes go on as they come
        self.old = False  # of a client that speaks HTTP/1.0
        self.head = b""
        self.path = b""  # without its query
        self.policy: Policy | None = None  # its route's, where there is a routes file
        self.label = b""  # the id the client gave it
        self.keep_alive = True
        self.probe = False
        self.cls: ClassState = NO_CLASS
        self.tenant = 0
        self.key = 0
        self.keyed = False  # it carries a key that backends drop its repeats by
        self.hint = 0
        self.retried = False
        self.timeout = 0
        self.received = 0


class ClientConnection(asyncio.Protocol):
    """One client's connection, with one request on it at a time.

    Up to MOST_WAITING may wait behind the open one and are taken in turn. More, or
    anything that can't be read, ends them all: one connection must not fill the
    queues, nor bytes hidden behind a request pass for one.
    """

    __slots__ = (
        "_endless", "_eof", "_flow", "_head_size", "_headers_done", "_incoming", "_keep_alive",
        "_lingering", "_long_end", "_old", "_parser", "_progress", "_request", "_server", "_since",
        "_sock", "_still_to_come", "_transport", "_waiting", "_write_since",
    )  # fmt: skip

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._incoming: Incoming | None = None
        self._waiting: deque[Incoming] = deque()  # read to their ends, not yet begun
        self._request: Request | None = None
        self._flow: Flow | None = None  # of a long answer
        self._long_end = b""  # what closes it, where it goes in chunks
        self._endless = False  # it ends with its connection, and says nowhere how long it is
        self._old = False  # the open request came by HTTP/1.0
        self._still_to_come = 0  # bytes of a long body that nobody wants any more
        self._headers_done = False
        self._head_size = 0
        self._keep_alive = True
        self._eof = False
        self._lingering = False
        # The sweep at which it came up, or the last request began or was answered,
        # or lingering began.
        self._since = server.sweeps
        self._write_since = 0
        self._progress = (0, 0)

    # ---- reading ------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)
        self._server.connections.add(self)
        self._server.fresh[self] = None

    def data_received(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            # Lingering: what still comes is dropped. A client in the middle of a long
            # body may read its answer only after it: the rest of it is waited for.
            if self._still_to_come > 0:
                self._still_to_come -= len(data)
                self._since = self._server.sweeps
            return
        if not self._headers_done:
            self._head_size += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as err:
            cause = err.__context__
            if not isinstance(cause, BadRequest):
                self._server.node.log(f"reading a request: {cause!r}")
            bad = cause if isinstance(cause, BadRequest) else BadRequest(400)
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
                if incoming.size > WHOLE:
                    self.pause_flow()  # its turn comes with the open one's answer
            elif self._server.node.budget.must_pause(self):
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
            and incoming.size > WHOLE
        ):
            self._begin_long(incoming)

    def on_message_begin(self) -> None:
        if len(self._waiting) + (self._request is not None) > MOST_WAITING:
            raise BadRequest(400)
        self._incoming = Incoming()
        self._headers_done = False
        # From its first byte on: a client that connects ahead of its need is not slow.
        self._since = self._server.sweeps
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
                raise BadRequest(400)  # which of the two would be meant?
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
            raise BadRequest(431)
        if parser.get_http_version() not in ("1.0", "1.1"):
            raise BadRequest(400)
        incoming.old = parser.get_http_version() == "1.0"
        self._server.read_head(incoming)
        if incoming.length > MOST:
            raise BadRequest(413)
        if incoming.length or incoming.chunked:
            if incoming.length > WHOLE:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
            elif incoming.length > SMALL_BODY or incoming.chunked:
                self._server.node.budget.unfinished[self] = None
            # Where another's answer is still to go out first, this would stand in it.
            free = self._request is None and not self._waiting
            if free and incoming.fields.get(b"expect", b"").lower() == b"100-continue":
                assert self._transport is not None
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.size += len(body)
        if incoming.size > MOST:
            raise BadRequest(413)
        if incoming.flow is not None:
            incoming.flow.push(body)
            return
        incoming.body.append(body)
        self._server.node.budget.take(len(body))

    def on_message_complete(self) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._incoming = None
        self._headers_done = False
        node = self._server.node
        node.budget.finished(self)
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

    def _write_lines(self, incoming: Incoming) -> None:
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

    def _begin_long(self, incoming: Incoming) -> None:
        """Pass on a body that is too long to hold, from what has come of it."""
        node = self._server.node
        node.budget.finished(self)
        node.budget.give(incoming.size)
        flow = incoming.flow = Flow(node.budget, self)
        chunks, incoming.body = incoming.body, []
        self.resume_flow()
        for chunk in chunks:
            flow.push(chunk)
        incoming.received = time.monotonic_ns()
        self._write_lines(incoming)
        self._begin(incoming)

    def _begin(self, incoming: Incoming) -> None:
        self._keep_alive = incoming.keep_alive
        self._old = incoming.old
        node = self._server.node
        if incoming.probe:
            ready = self._server.service.asked_ready(time.monotonic_ns())
            self._write_head(READY if ready else EMPTY[503])
            return
        if incoming.label in node.labels or incoming.label in node.others:
            # Another client's, still open: with two under one id a backend could
            # take either's answer for the other's.
            self._give_back(incoming)
            self._reject(409)
            return
        waited = time.monotonic_ns() - incoming.received
        # Set first: the answer may come before the call returns.
        request = node.request(self, incoming, waited)
        if request is None:
            self._give_back(incoming)
            self.answer_empty(503, 0)
        elif not request.ended:
            self._request = request

    def pause_flow(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()
            self._server.look_after(self)

    def resume_flow(self) -> None:
        """There is room for more of the body; the time meanwhile was not the client's."""
        self._since = self._server.sweeps
        self._server.unread.pop(self, None)
        if self._transport is not None:
            self._transport.resume_reading()

    resume_body = resume_flow

    # ---- answering ----------------------------------------------------

    def answer(self, content_type: bytes, chunks: list[bytes], size: int) -> None:
        """The whole answer of a backend."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % size
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        self._write_head(head, chunks)

    def answer_empty(self, status: int, retry_after: int) -> None:
        head = EMPTY[status]
        if retry_after:
            head += b"Retry-After: %.3f\r\n" % (retry_after / 1e9)
        self._write_head(head)

    def begin_long(self, content_type: bytes, length: int, flow: Flow) -> None:
        """A backend's answer that is passed on as it comes; a length under 0 is not known."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if length >= 0:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % length
        elif self._old:
            head = b"HTTP/1.1 200 OK\r\n"
            self._keep_alive = False
            self._endless = True
        else:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            self._long_end = b"0\r\n\r\n"
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        # Said now and kept at the end, whatever holds by then.
        self._keep_alive = not self._closes()
        transport.set_write_buffer_limits(high=0)
        transport.write(head + (b"\r\n" if self._keep_alive else b"Connection: close\r\n\r\n"))
        self._flow = flow
        flow.attach(self)

    def flow_write(self, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self._long_end else data)

    def flow_end(self) -> None:
        """The last byte of a long answer."""
        transport, end = self._transport, self._long_end
        self._request = self._flow = None
        self._long_end = b""
        self._endless = False
        if transport is None or transport.is_closing():
            return
        if end:
            transport.write(end)
        transport.set_write_buffer_limits()
        self._after_answer(not self._keep_alive)

    def cut(self) -> None:
        """What has begun can't be finished: an end without the rest tells the client."""
        self._request = None
        self._drop_flow()
        if self._transport is not None:
            if self._endless:
                # Its end would pass for the answer's: only a reset tells that it is not whole.
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE)
            self._transport.abort()

    def _drop_flow(self) -> None:
        flow, self._flow = self._flow, None
        if flow is not None:
            flow.drop()

    def pause_writing(self) -> None:
        if self._flow is not None:
            self._flow.block()

    def resume_writing(self) -> None:
        if self._flow is not None:
            self._flow.unblock()

    def _closes(self) -> bool:
        if not self._keep_alive or self._half_read():
            return True
        if self._waiting:
            return False  # taken: each of them is owed its answer
        server = self._server
        return server.service.closes or self._eof or server.crowded()

    def _half_read(self) -> bool:
        """Whether the answer comes before its request has been read to its end."""
        incoming = self._incoming
        return incoming is not None and incoming.flow is not None

    def _write_head(self, head: bytes, chunks: list[bytes] | None = None) -> None:
        """Write an answer that is whole, and go on to what follows it."""
        self._request = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        closes = self._closes()
        end = b"Connection: close\r\n\r\n" if closes else b"\r\n"
        transport.write(b"".join((head, end, *chunks)) if chunks else head + end)
        self._after_answer(closes)

    def _after_answer(self, closes: bool) -> None:
        if closes:
            self._end()
            return
        self._since = self._server.sweeps
        if self._waiting or self._incoming is not None:
            # Not from here: whoever answered is still at work with this request.
            self._server.node.loop.call_soon(self._go_on)
        else:
            self._server.idle[self] = None

    def _go_on(self) -> None:
        """Take what waited behind the request that has been answered."""
        if self._transport is None or self._parser is None:
            return
        self._next()
        if self._request is None:
            self.resume_flow()

    def _reject(self, status: int, text: bytes = b"") -> None:
        """Answer what can't be read as a request, and close."""
        self._parser = None
        request, self._request = self._request, None
        if request is not None:
            self._server.node.client_gone(request)
        if self._flow is not None:
            # Part of an answer has gone: an error now would pass for more of it.
            self.cut()
            return
        transport = self._transport
        if transport is not None and not transport.is_closing():
            head = TEXT % (status, REASONS[status], len(text)) if text else EMPTY[status]
            transport.write(head + b"Connection: close\r\n\r\n" + text)
            self._end()

    def _end(self) -> None:
        """The one way to end a connection: end our sending, drop what comes, close when the
        client has, or after a while.

        Closing at once would reset the connection where bytes lie unread, also such as came
        since we looked, and the reset could reach the client before the answer does.
        """
        transport = self._transport
        assert transport is not None
        silent = self in self._server.fresh
        self._leave_rest()
        incoming = self._incoming
        if incoming is not None and incoming.flow is not None:
            self._still_to_come = (incoming.length or MOST) - incoming.size
        self._drop_incoming()
        self._parser = None
        if self._eof:
            transport.close()
            return
        self._lingering = True
        self._server.lingering[self] = (self._server.node.loop.time(), silent)
        self._since = self._server.sweeps
        transport.write_eof()
        transport.resume_reading()

    def _leave_rest(self) -> None:
        self._server.fresh.pop(self, None)
        self._server.idle.pop(self, None)
        self._server.unread.pop(self, None)

    def _drop_incoming(self) -> None:
        """Give back what a request not begun holds."""
        self._server.node.budget.finished(self)
        if self._incoming is not None:
            self._give_back(self._incoming)
        for incoming in self._waiting:
            self._give_back(incoming)
        self._incoming = None
        self._waiting.clear()

    def _give_back(self, incoming: Incoming) -> None:
        if incoming.flow is not None:
            incoming.flow.drop()
        else:
            self._server.node.budget.give(incoming.size)

    # ---- ends ---------------------------------------------------------

    def eof_received(self) -> bool:
        # A client that has ended its sending may still wait for its answer, and one that
        # has closed looks the same: what has been sent on for it is waited for, nothing
        # begins any more, and what waited behind it is dropped.
        self._eof = True
        if self._half_read():
            return False  # a body that was cut off never becomes whole
        self._drop_incoming()
        if self._request is not None:
            self._server.node.client_ended(self._request)
        return self._request is not None or self._flow is not None

    def connection_lost(self, exc: Exception | None) -> None:
        server = self._server
        self._transport = None
        self._parser = None
        server.connections.discard(self)
        server.lingering.pop(self, None)
        self._leave_rest()
        request, self._request = self._request, None
        if request is not None:
            server.node.client_gone(request)
        self._drop_flow()
        self._drop_incoming()
        server.node.clients -= 1
        server.node.freed()

    def resting(self) -> bool:
        """Whether it can be closed without harm: nothing under way either way."""
        transport = self._transport
        if (
            transport is None
            or self._request is not None
            or self._incoming is not None
            or self._waiting
            or self._flow is not None
            or transport.get_write_buffer_size()
        ):
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return True
        return False  # a request lies unread

    def finished(self) -> bool:
        """Whether a stop need not wait for it."""
        transport = self._transport
        return transport is None or (
            not self._lingering
            and self._request is None
            and self._incoming is None
            and not self._waiting
            and self._flow is None
            and not transport.get_write_buffer_size()
        )

    def has_left(self) -> bool:
        """Whether the client has ended its sending, asked of the socket itself."""
        return self._eof or self._transport is None or sending_has_ended(self._sock)

    def look(self) -> None:
        """While it is not read from: learn all the same that the client has gone."""
        if self._request is not None and not self._eof and sending_has_ended(self._sock):
            self._server.node.client_ended(self._request)

    def close(self) -> None:
        """End it at rest."""
        if self._transport is not None and not self._lingering:
            self._end()

    def cut_off(self) -> None:
        """Close without the client's end, once its last answer has left."""
        if self._transport is not None and not self._transport.get_write_buffer_size():
            self._transport.abort()

    def age(self) -> int:
        """Sweeps since it came up, or was last busy."""
        return self._server.sweeps - self._since

    def _too_slow(self) -> bool:
        """Give up a request that does not become whole.

        Guards against heads and bodies that never end, and against whoever connects
        and says nothing. Does harm to a client behind a line under 32 kB/s.
        """
        incoming = self._incoming
        if incoming is None:
            if self in self._server.fresh and self.age() > WHOLE_SWEEPS and self.resting():
                self.close()
                return True
            return False
        if incoming.flow is not None and incoming.flow.paused:
            # We pause it, for its server takes no more: that is not the client's time.
            if self.age() > STALL_SWEEPS and self._request is not None:
                self._server.node.stalled(self._request)
            return False
        if self.age() <= HEAD_SWEEPS + incoming.size // SWEEP_BYTES:
            return False
        if self._request is not None and incoming.flow is None:
            return False  # its turn has not come
        self._reject(408)
        return True

    def sweep(self, sweep: int) -> None:
        """Give up a client that has stopped sending or taking bytes."""
        transport = self._transport
        if transport is None:
            return
        waiting = transport.get_write_buffer_size()
        if self._lingering:
            if not waiting and self.age() > LINGER_SWEEPS:
                transport.abort()
                return
        elif self._too_slow():
            return
        if not waiting:
            self._write_since = sweep
            return
        queued = QUEUED.unpack(fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(4)))[0]
        if (waiting, queued) != self._progress:
            self._progress = (waiting, queued)
            self._write_since = sweep
        elif sweep - self._write_since > WRITE_SWEEPS:
            # A reader that takes nothing holds a descriptor and a buffer for good.
            transport.abort()


class Server:
    """The listening socket and all client connections."""

    def __init__(self, node: ClientHost, service: Service) -> None:
        self.node = node
        self.service = service
        self.connections: set[ClientConnection] = set()
        # At rest, longest first: those that have asked, and those that never have.
        self.idle: dict[ClientConnection, None] = {}
        self.fresh: dict[ClientConnection, None] = {}
        # Ended by us: since when, and whether it had never said anything.
        self.lingering: dict[ClientConnection, tuple[float, bool]] = {}
        self.unread: dict[ClientConnection, None] = {}  # reading is paused
        self._looks = False
        self._pressed = False
        self._at_a_time = 1
        self.sweeps = 0
        self._paused = False
        self._held_back = False  # a successor accepts
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock: socket.socket | None = None
        self.most_at_rest = int(REST_PART * node.config.sockets)
        settings = node.config.settings
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        node.freed = self.freed

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket, None once it is closed."""
        return self._sock

    def adopt(self, sock: socket.socket) -> int:
        """Take connections from a listening socket that another process made; returns the port."""
        sock.setblocking(False)
        self._sock = sock
        self.node.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def hold_back(self) -> None:
        """Accept no more; whoever shares the socket gets what waits."""
        self._held_back = True
        self._pause()

    def accept_again(self) -> None:
        self._held_back = False
        self.freed()

    def listen(self, address: Address, shared: bool = False) -> int:
        """Take connections at this address; returns the port.

        `shared`: where one process succeeds another and can't be handed its socket.
        """
        sock = listening(address, BACKLOG, shared)
        self._sock = sock
        self.node.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self._sock is None or not self._room():
                return
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            except OSError as err:
                # Descriptors are budgeted, but the system may be short of other
                # things: the accept loop must outlive that.
                self.node.log(f"accept: {err}")
                self._pause()
                return
            sock.setblocking(False)
            self.node.clients += 1
            task = self.node.loop.create_task(self._welcome(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _welcome(self, sock: socket.socket) -> None:
        conn = ClientConnection(self, sock)
        try:
            transport, _ = await self.node.loop.connect_accepted_socket(lambda: conn, sock)
            disown(transport, sock)
        except OSError:
            sock.detach()
            if conn not in self.connections:
                self.node.clients -= 1
                self.freed()

    def _room(self) -> bool:
        """Room for one more; else an idle connection goes, and the next waits its turn."""
        if self.node.room_for_client():
            return True
        self._pause()
        self._give_way()
        return False

    def look_after(self, conn: ClientConnection) -> None:
        """Look at a connection that is not read from, for its client's end."""
        self.unread[conn] = None
        if not self._looks:
            self._looks = True
            self.node.loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        for conn in list(self.unread):
            conn.look()
        self._looks = bool(self.unread)
        if self._looks:
            self.node.loop.call_later(LOOK_S, self._look)

    def _give_way(self) -> None:
        """Free a place for who waits to be accepted, and more while that does not do.

        Most clients close as we end their connection. Those that don't are cut off after
        PRESSED_S, and the more of them there are, the more are ended at a time.
        """
        now = self.node.loop.time()
        for conn, (since, _) in list(self.lingering.items()):
            if now - since < PRESSED_S:
                break
            conn.cut_off()
        while len(self.lingering) < self._at_a_time and self.drop_oldest():
            pass
        if not self.lingering:
            self.node.drop_beyond_part()
        if not self._pressed:
            self._pressed = True
            self.node.loop.call_later(PRESSED_S, self._press)

    def _wants_room(self) -> bool:
        """Whether connections may wait that are not accepted for want of room alone."""
        return self._paused and not self._held_back and self._sock is not None

    def _press(self) -> None:
        self._pressed = False
        if self._wants_room():
            most = max(self.node.most_clients() // PRESSED_PART, 1)
            self._at_a_time = min(2 * self._at_a_time, most)
            self._give_way()
        else:
            self._at_a_time = 1

    def _pause(self) -> None:
        if self._sock is not None and not self._paused:
            self._paused = True
            self.node.loop.remove_reader(self._sock)

    def freed(self) -> None:
        """A descriptor has come free: accept again."""
        if self._held_back:
            return
        if self._paused and self._sock is not None and self.node.room_for_client():
            self._paused = False
            self.node.loop.add_reader(self._sock, self._accept)

    def drop_oldest(self) -> bool:
        """End the client connection that has rested longest; False where none may go.

        Before those that have asked go those that never have, once they had a
        moment to: hundreds that say nothing must not push out clients that do. But
        where few are silent the oldest at rest goes at once, or those that ask once
        and stay would hold all places for seconds each.
        """
        # Those just ended count too: with each batch of them gone, a flood would look over.
        ended = sum(silent for _, silent in self.lingering.values())
        silent = len(self.fresh) + len(self._tasks) + ended
        rested = REST_SWEEPS if silent * FLOOD_PART > self.node.clients else 0
        return self._drop(self.fresh, 1) or self._drop(self.idle, rested)

    def _drop(self, conns: dict[ClientConnection, None], least: int) -> bool:
        for conn in conns:
            if conn.age() < least:
                return False
            if conn.resting():
                conn.close()
                return True
        return False

    def crowded(self) -> bool:
        """Whether so many connections rest that a further one is not kept.

        Guards against clients that ask once and keep their connection: closed only
        after REST_SWEEPS, they held all places for clients while those with a
        request waited unaccepted, and that looked like refusals with idle backends.
        An end that comes with the answer crosses no request, so it may come at
        once. No hysteresis: each end frees one place, and the number at rest stays
        at the mark. Does harm where more clients than that ask again and again:
        those beyond it pay a new connection for every request.
        """
        return len(self.idle) > self.most_at_rest

    def make_room(self) -> None:
        """Close the oldest resting connections before there is want of descriptors.

        Guards against clients that keep connections and never ask again: at the
        limit each new client would wait for one of them to be closed. One that
        asks just then has to ask once more on a new connection.
        """
        surplus = self.node.clients - int(IDLE_PART * self.node.most_clients())
        while surplus > 0 and self._drop(self.idle, REST_SWEEPS):
            surplus -= 1

    def sweep(self) -> None:
        self.sweeps += 1
        for conn in list(self.connections):
            conn.sweep(self.sweeps)
        self.make_room()
        self.freed()
        if self._wants_room():
            self._give_way()

    # ---- sending clients away, stopping -------------------------------

    def send_away(self, now: int) -> None:
        """Close idle connections as the state has it, those that rest longest first.

        One on which a request lies unread is no longer idle. One that has only just
        come up is left its moment: the front's own question is about to be on it.
        """
        rest = [*self.idle, *(conn for conn in self.fresh if conn.age() > FRESH_SWEEPS)]
        for conn in rest[: self.service.to_close(now, len(rest))]:
            if conn.resting():
                conn.close()

    def stop_accepting(self) -> None:
        """Take in what the kernel has accepted for us, then listen no more."""
        sock = self._sock
        if sock is None:
            return
        if not self._held_back:
            self.close_resting()
            for _ in range(BACKLOG // ACCEPTS):
                self._accept()
        self._pause()
        self._sock = None
        sock.close()

    def close_resting(self) -> None:
        for conn in [*self.idle, *self.fresh]:
            if conn.resting():
                conn.close()

    def finished(self) -> bool:
        """Whether nothing is held, and nothing lies unread, that a stop must wait for."""
        if self.service.relieved:
            self.send_away(time.monotonic_ns())  # spread: nobody waits for the place
        else:
            self.close_resting()
        if self.idle or self.fresh:
            return False
        return not self._tasks and all(conn.finished() for conn in self.connections)

    # ---- heads --------------------------------------------------------

    def read_head(self, incoming: Incoming) -> None:
        """Check a head and fill in what the module wants to know; BadRequest if it is unfit."""
        fields = incoming.fields
        if self.node.routing is None and not incoming.url.startswith(b"/"):
            incoming.url = ABSOLUTE.sub(b"", incoming.url, 1)  # RFC 9112, section 3.2.2
            if not incoming.url.startswith(b"/"):
                incoming.url = b"/" + incoming.url
        path = incoming.path = incoming.url.partition(b"?")[0]
        incoming.chunked = b"transfer-encoding" in fields
        if incoming.chunked and b"content-length" in fields:
            raise BadRequest(400)  # one may hide a request from whoever goes by the other
        incoming.length = int(fields.get(b"content-length", b"0"))
        if path == b"/health/ready":
            incoming.probe = True
            if incoming.method != b"GET" or incoming.length or incoming.chunked:
                raise BadRequest(400)
            return
        if b"host" not in fields:
            raise BadRequest(400)
        cls = self._class_of(incoming)
        if incoming.method != (b"GET" if cls.effect == Effect.PURE else b"POST"):
            raise BadRequest(405)
        if incoming.method == b"GET" and (incoming.length or incoming.chunked):
            raise BadRequest(400)
        label = fields.get(b"x-request-id", b"")
        if not 0 < len(label) <= MAX_ID:
            raise BadRequest(400)
        incoming.label = label
        if self._tenants:
            tenant = self._tenants.get(fields.get(b"x-tenant-id", b""))
            if tenant is None:
                raise BadRequest(400)
            incoming.tenant = tenant
        timeout = fields.get(b"x-timeout-ms", b"")
        if not timeout.isdigit() or len(timeout) > 12 or not int(timeout):
            raise BadRequest(400)
        incoming.cls = cls
        incoming.timeout = min(int(timeout) * MS, cls.spec.deadline)
        head, _, last = incoming.path.rpartition(b"/")
        if head and last:
            incoming.key = crc32(last) or 1
        cost = fields.get(b"x-cost", b"")
        if cost.isdigit() and len(cost) <= 12:
            incoming.hint = int(cost) * 1000
        incoming.retried = fields.get(b"x-retried") == b"1"

    def _class_of(self, incoming: Incoming) -> ClassState:
        """The class that a request falls under, by its route where there are routes."""
        routing = self.node.routing
        if routing is not None:
            incoming.policy = routing.place(incoming)
            return self._named(incoming, incoming.policy.cls)
        parts = incoming.path.split(b"/", 2)
        name = parts[1].decode("latin-1") if len(parts) > 1 and not parts[0] else ""
        cls = self._named(incoming, name)
        if incoming.fields.get(b"x-priority-class", parts[1]) != parts[1]:
            raise BadRequest(400)
        return cls

    def _named(self, incoming: Incoming, name: str) -> ClassState:
        """The class of this name that the request's method and key fit; BadRequest for none."""
        safe, keyed = incoming.method == b"GET", incoming.keyed
        cls = self.node.balancer.class_named(time.monotonic_ns(), name, safe, keyed)
        if cls is None:
            raise BadRequest(404)
        return cls

"""Connections to backends, and the pool of idle ones."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Sequence
from math import isfinite
from typing import TYPE_CHECKING, cast

import httptools

from loadbalancer.config.address import Address
from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import MS
from loadbalancer.proxy.flow_control import (
    MAX_MESSAGE_BYTES,
    MIN_WINDOW_BYTES,
    STREAMING_THRESHOLD_BYTES,
    Flow,
)
from loadbalancer.proxy.sockets import release_socket

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Attempt, Client
    from loadbalancer.proxy.ports import BackendHost

MAX_HEAD = 16 << 10  # of an answer, without its body
# A request that may not run twice goes out but for its last byte, and that byte so
# much later, in seconds: a connection that has gone tells of it by then.
HOLD_S = 0.002
# How long an answer that has begun may say nothing, in times of the dial's: its head,
# and its body, whose sender may be slow.
HEAD_PART = 1.0
BODY_PART = 3.0
# An answer that does not say how long it is may be a long one whose sender is slow: what
# has not ended so long after its first bytes goes on as it comes. Held back until it
# passed STREAMING_THRESHOLD_BYTES, it would come after its deadline. Costs a malformed
# one that trickles its retry.
UNSAID_S = 0.03
STALL_S = 5.0  # the same of a long one, of which the client has a part already
# What a backend says of the request, not of itself: no other would say otherwise,
# so it is no reason for a further attempt. Not those that ask for another time.
CLIENT_FAULTS = frozenset(range(400, 500)) - {408, 421, 425, 429}
MAX_INTERIM = 8  # 1xx answers before the real one
IDLE_MARGIN_NS = 2_000_000_000  # closed so long before the backend would

# The site's words for load, beside those that settings may use for the same.
LOAD_WORDS = {
    b"inflight": "rif",
    b"queue": "q",
    b"util": "busy",
    b"latency_ms": "lat_ms",
    b"qps": "rate",
    b"eps": "fail_rate",
}


class BackendConnection(asyncio.Protocol):
    """One connection to one backend; it carries one attempt at a time.

    `request_written` is the line that the rules hang on: false for as long as a part of
    the request, its last byte included, has certainly not left the process.

    Nothing of an answer up to STREAMING_THRESHOLD_BYTES goes to the client before it is
    whole. One that can't be read, is larger than any may be, or does not come to its end is
    spoilt: an error that may have run, and the end of the connection. A backend that
    sends one lives; it is not to be taken for one whose process has gone. Of a longer
    answer what has come goes on at once; if it breaks off, the client's is cut.
    """

    __slots__ = (
        "_chunked", "_chunks", "_client", "_closed", "_closes", "_complete", "_connected",
        "_dirty", "_first_at", "_flow", "_held_back",
        "_head_size", "_headers_done", "_interim", "_keep_alive", "_length", "_let", "_not_run",
        "_paused", "_piece", "_pieces", "_report", "_size", "_sock", "_spoilt", "_status", "_task",
        "_timer", "_type", "address", "attempt", "backend", "idle_since", "parser", "transport",
        "upstream", "request_written",
    )  # fmt: skip

    def __init__(self, upstream: ConnectionPool, backend: int, address: Address) -> None:
        self.upstream = upstream
        self.backend = backend
        self.address = address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.idle_since = 0
        self._connected = False
        self._closed = False
        self._let = False
        self._sock: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None  # of the dial, then of an answer
        self._reset()

    def _reset(self) -> None:
        self.request_written = False
        self._flow: Flow | None = None  # of a long body, then of a long answer
        self._client: Client | None = None  # who has a part of the answer
        self._pieces: Sequence[bytes] = ()
        self._piece = 0
        self._paused = False
        self._held_back = False
        self._interim = 0
        self._begin_answer()

    def _begin_answer(self) -> None:
        self._status = 0
        self._first_at = 0.0  # when the first bytes of a body without a length came
        self._head_size = 0
        self._headers_done = False
        self._length = -1
        self._chunked = False
        self._closes = False
        self._spoilt = False
        self._not_run = False
        self._report = b""
        self._type = b""
        self._chunks: list[bytes] = []
        self._size = 0
        self._complete = False
        self._keep_alive = False
        self._dirty = False

    # ---- dialling -----------------------------------------------------

    def dial(self, attempt: Attempt) -> None:
        node = self.upstream.node
        self.attempt = attempt
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock = sock
        self.upstream.count += 1
        timeout = node.config.settings.connect_timeout / 1e9
        self._timer = node.loop.call_later(timeout, self._dial_expired)
        self.upstream.dials[self] = None
        self._task = node.loop.create_task(self._connect(sock))
        self._task.add_done_callback(self._dialled)

    async def _connect(self, sock: socket.socket) -> None:
        loop = self.upstream.node.loop
        await loop.sock_connect(sock, self.address)
        self._connected = True
        transport, _ = await loop.create_connection(lambda: self, sock=sock)
        release_socket(transport, sock)

    def _dialled(self, task: asyncio.Task[None]) -> None:
        """However dialling ended: where no transport owns the socket it goes here."""
        failed = task.cancelled() or task.exception() is not None
        self._task = None
        if not failed or self.transport is not None:
            return
        assert self._sock is not None
        if self._connected:
            self._sock.detach()  # the loop has closed it, and the number may be in use again
        else:
            self._sock.close()
        self._let_go()
        self._broken()

    def _dial_expired(self) -> None:
        # Between the connection's coming up and being told of it there is a turn
        # of the loop: a dial that made it is no failure.
        if not self._connected:
            self._broken()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.upstream.dials.pop(self, None)
        self._stop_timer()
        if self._closed:
            self.transport.abort()
            return
        # With no room above the kernel's, a write that leaves anything behind
        # pauses us at once: not paused means that every byte has left.
        self.transport.set_write_buffer_limits(high=0)
        self.parser = httptools.HttpResponseParser(self)
        attempt, node = self.attempt, self.upstream.node
        if attempt is None:
            return
        if node.may_begin(attempt):
            self._write_request()
        else:
            # What held when it was sent on holds no more; nothing has been written.
            self.attempt = None
            self._close()
            node.conclude(attempt, Outcome.MOOT)

    # ---- the request --------------------------------------------------

    def begin(self, attempt: Attempt) -> None:
        """Carry an attempt on a connection that was idle."""
        self._reset()
        self.attempt = attempt
        self._write_request()

    def _write_request(self) -> None:
        attempt = self.attempt
        assert attempt is not None
        attempt.connection = self
        attempt.connected = True
        r = attempt.request
        if r is None:
            head = b"GET /health/live HTTP/1.1\r\nHost: %s\r\n\r\n" % str(self.address).encode()
            self._pieces = (head,)
        else:
            left = attempt.sent + attempt.limit - time.monotonic_ns()
            head = b"%s%d\r\n\r\n" % (r.head, max(left // MS, 1))
            if r.flow is not None:
                assert self.transport is not None
                self.transport.write(head)
                self._flow = r.flow
                if self._paused:
                    r.flow.block()
                r.flow.attach(self)
                return
            whole = b"".join((head, *r.body))
            self._held_back = r.unsafe
            self._pieces = (whole[:-1], whole[-1:]) if r.unsafe else (whole,)
        self._write_on()
        if self._held_back and not self._closed:
            # Guards against connections that the backend has closed, or resets as a
            # request comes: what had not been written to its end has never run and
            # may go elsewhere. Costs such requests HOLD_S, and each a timer.
            self._timer = self.upstream.node.loop.call_later(HOLD_S, self._release)

    def _release(self) -> None:
        self._timer = None
        self._held_back = False
        self._write_on()

    def _write_on(self) -> None:
        """Write piece by piece, never a further one while the kernel takes no more."""
        transport = self.transport
        assert transport is not None
        pieces = self._pieces
        last = len(pieces) - 1
        while self._piece <= last and not self._paused:
            if self._held_back and self._piece == last:
                return
            transport.write(pieces[self._piece])
            if transport.is_closing():
                # The write itself failed: the kernel took nothing of this piece,
                # so the last byte never left. connection_lost tells the outcome.
                return
            self._piece += 1
        if self._piece > last:
            # A rest of the last piece may still wait above the kernel, but how
            # much of it is on its way is in doubt from here on.
            self.request_written = True
            self._pieces = ()

    def pause_writing(self) -> None:
        self._paused = True
        if self._flow is not None and self._client is None:
            self._flow.block()

    def resume_writing(self) -> None:
        self._paused = False
        if self._flow is not None:
            if self._client is None:
                self._flow.unblock()
            return
        if self.attempt is not None and not self.request_written and not self._complete:
            self._write_on()

    # ---- a long body ----------------------------------------------------

    def flow_write(self, data: bytes) -> None:
        """The next bytes of the body."""
        attempt, transport = self.attempt, self.transport
        if attempt is None or transport is None or attempt.request is None:
            return
        flow = attempt.request.flow
        if flow is not None and not flow.forwarded:
            self.upstream.node.uploading(attempt)
        if attempt.request.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        transport.write(data)

    def flow_end(self) -> None:
        """All of it has been given to the kernel or waits right above."""
        attempt, transport = self.attempt, self.transport
        self._flow = None
        if attempt is None or transport is None or transport.is_closing():
            return
        r = attempt.request
        assert r is not None
        if r.chunked:
            transport.write(b"0\r\n\r\n")
        self.request_written = True
        self.upstream.node.uploaded(r, attempt)

    # ---- the answer ---------------------------------------------------

    def data_received(self, data: bytes) -> None:
        parser = self.parser
        if parser is None:
            return
        if self.attempt is None:
            # Unasked-for bytes on an idle connection: they answer nobody.
            self._close()
            return
        if not self._headers_done:
            self._head_size += len(data)
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._dirty = self._spoilt = True
        if self._client is not None:
            self._pass_on()
            return
        if self._complete:
            self._answered()
        elif self._long():
            self._begin_long()
        elif self._spoilt or (not self._headers_done and self._head_size > MAX_HEAD):
            self._spoil()
        elif self.request_written:
            self._stop_timer()
            node = self.upstream.node
            part = BODY_PART if self._headers_done else HEAD_PART
            limit = part * node.config.settings.connect_timeout / 1e9
            self._timer = node.loop.call_later(limit, self._spoil)

    def _long(self) -> bool:
        """Whether this answer goes on in parts, from what has come of it by now."""
        attempt = self.attempt
        return (
            self._headers_done
            and self._status == 200
            and not self._spoilt
            and self.request_written
            and (max(self._length, self._size) > STREAMING_THRESHOLD_BYTES or self._unsaid())
            and attempt is not None
            and attempt.request is not None
            and attempt.request.client is not None
        )

    def _unsaid(self) -> bool:
        """Whether an answer of no stated length has been under way for long."""
        if self._length >= 0 or not self._size:
            return False
        now = self.upstream.node.loop.time()
        self._first_at = self._first_at or now
        return now - self._first_at >= UNSAID_S

    def _begin_long(self) -> None:
        """Pass on what has come; from here on the answer is this one or none."""
        attempt, node = self.attempt, self.upstream.node
        assert attempt is not None and attempt.request is not None and self._sock is not None
        self._stop_timer()
        client = self._client = attempt.request.client
        assert client is not None
        # One read must not fetch more than a window or two, however much waits.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_WINDOW_BYTES)
        self._flow = Flow(node.budget, self)
        node.started(attempt)
        client.begin_streaming(self._type, self._length, self._flow)
        self._pass_on()

    def _pass_on(self) -> None:
        """Give the client what this read brought, and the end where it has come."""
        flow, node = self._flow, self.upstream.node
        self._stop_timer()
        if flow is None:
            return
        chunks, self._chunks = self._chunks, []
        for chunk in chunks:
            flow.push(chunk)
        if self._closed:
            return
        if self._complete:
            self._flow = None
            self._end_long(flow)
        elif self._spoilt:
            self._fail(Outcome.ERROR)
        elif not flow.paused:
            self._timer = node.loop.call_later(STALL_S, self._broken)

    def _end_long(self, flow: Flow) -> None:
        """The backend has given all: its connection is free, whatever the client still reads."""
        attempt, self.attempt = self.attempt, None
        self._client = None
        reusable = self._reusable()
        flow.finish()
        if reusable:
            self.upstream.put(self)
        else:
            self._close()
        if attempt is not None:
            self.upstream.node.conclude(attempt, Outcome.OK, self._load())

    def pause_flow(self) -> None:
        self._stop_timer()  # that it says nothing is our doing
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_flow(self) -> None:
        if self.transport is not None and not self._closed:
            self.transport.resume_reading()
            if self._client is not None:
                self._stop_timer()
                self._timer = self.upstream.node.loop.call_later(STALL_S, self._broken)

    def on_message_begin(self) -> None:
        if self._complete:
            self._dirty = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._headers_done:
            return  # a trailer
        name = name.lower()
        value = value.strip(b" \t")  # RFC 9110, section 5.5
        if name == b"content-length":
            self._length = int(value) if value.isdigit() else -1
        elif name == b"content-type":
            self._type = value
        elif name == b"transfer-encoding":
            self._chunked = True
        elif name == b"connection":
            self._closes = b"close" in (word.strip() for word in value.lower().split(b","))
        elif name == b"x-not-processed":
            self._not_run = value.strip() == b"1"
        elif name == b"x-server-load":
            self._report = value

    def on_headers_complete(self) -> None:
        if self._complete or self.parser is None:
            return
        self._status = self.parser.get_status_code()
        self._headers_done = True
        # With no length, only an end that was announced tells a whole answer from
        # one that broke off.
        endless = self._length < 0 and not self._chunked and not self._closes
        if self._status == 200 and (endless or self._length > MAX_MESSAGE_BYTES):
            self._spoilt = True

    def on_body(self, body: bytes) -> None:
        if self.parser is None:
            return
        if self._complete:
            self._dirty = True
            return
        self._size += len(body)
        if self._size > (MAX_MESSAGE_BYTES if self._status == 200 else STREAMING_THRESHOLD_BYTES):
            self._spoilt = True
        elif self._status == 200:
            self._chunks.append(body)
        # The text of an error is of no use to anybody: it is not kept.

    def on_message_complete(self) -> None:
        if self._complete or self.parser is None:
            return
        if 100 <= self._status < 200 and self._status != 101 and self._interim < MAX_INTERIM:
            self._interim += 1
            self._begin_answer()
            return
        if self._spoilt:
            return
        self._keep_alive = self.parser.should_keep_alive()
        self._complete = True

    def eof_received(self) -> bool:
        # An answer without length or chunks ends with its connection.
        if (
            self._headers_done
            and not self._complete
            and self._length < 0
            and not self._chunked
            and not self._spoilt
            and self.attempt is not None
        ):
            self._complete = True
            self._dirty = True
            if self._client is not None:
                self._pass_on()
            else:
                self._answered()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._broken()
        self._let_go()

    def _outcome(self) -> Outcome:
        status = self._status
        if status == 200:
            # Before the request's last byte is written no backend has begun it:
            # such an answer is not one to this request.
            return Outcome.OK if self.request_written else Outcome.ERROR
        if status in (503, 504) and self._not_run:
            return Outcome.FULL
        return Outcome.ERROR

    def _answered(self) -> None:
        attempt, self.attempt = self.attempt, None
        chunks, self._chunks = self._chunks, []
        node = self.upstream.node
        self._stop_timer()
        reusable = self._reusable()
        outcome = self._outcome()
        if attempt is not None:
            r = attempt.request
            if r is not None and outcome == Outcome.OK and not r.ended and r.client is not None:
                r.client.respond(self._type, chunks, self._size)
            elif r is not None and self._status in CLIENT_FAULTS:
                node.finish(r, 400)
            elif r is None and outcome == Outcome.ERROR and self._status == 503:
                outcome = Outcome.FULL
        if reusable:
            self.upstream.put(self)
        else:
            self._close()
        if attempt is not None:
            node.conclude(attempt, outcome, self._load())

    def _reusable(self) -> bool:
        transport = self.transport
        return (
            not self._dirty
            and self.request_written
            and not self._paused
            and self._keep_alive
            and transport is not None
            and not transport.is_closing()
        )

    def _load(self) -> Sequence[float]:
        """The load report in the settings' order of columns, or nothing."""
        config = self.upstream.node.config
        if not self._report or not config.reports:
            return ()
        values: dict[str, float] = {}
        try:
            for part in self._report.split(b","):
                word, _, value = part.strip().partition(b"=")
                values[word.decode()] = values[LOAD_WORDS.get(word, word.decode())] = float(value)
            load = tuple(values[column] for column in config.settings.load_columns)
            return load if all(map(isfinite, load)) else ()
        except (ValueError, KeyError):
            return ()

    # ---- ends ---------------------------------------------------------

    def abandon(self) -> bool:
        """Stop waiting and close: whatever comes late must reach nobody.

        False where the request's last byte was certainly never written.
        """
        sent = self.request_written
        self.attempt = None
        self._close()
        return sent

    def _broken(self) -> None:
        """The connection has gone; whoever waits on it learns so."""
        self._fail(Outcome.RESET)

    def _spoil(self) -> None:
        """What came is no answer: it has run, and the connection is of no more use."""
        self._fail(Outcome.ERROR)

    def _fail(self, outcome: Outcome) -> None:
        attempt, self.attempt = self.attempt, None
        client, self._client = self._client, None
        self._close()
        if client is not None:
            client.abort_response()
        if attempt is not None:
            never = not self.request_written
            self.upstream.node.conclude(attempt, Outcome.CONNECT_FAILED if never else outcome)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._client = None
        flow, self._flow = self._flow, None
        if flow is not None:
            flow.detach(self)
        self.upstream.take_out(self)
        self.upstream.dials.pop(self, None)
        self.parser = None
        self._chunks = []
        self._pieces = ()
        self._stop_timer()
        if self.transport is not None:
            self.transport.abort()
        elif self._task is not None and not self._connected:
            # Past this point the loop owns the socket, and cancelling would close
            # it behind our back: then connection_made aborts it.
            self._task.cancel()

    def _let_go(self) -> None:
        if not self._let:
            self._let = True
            self.upstream.count -= 1
            self.upstream.node.freed()

    def usable(self) -> bool:
        """Whether an idle connection still stands, as far as the kernel knows.

        The loop may not have come to its end yet: a request written into it
        would count as may-have-run.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self._sock is None:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # an end, or bytes that nobody asked for


class ConnectionPool:
    """Idle connections by backend, newest first, and by age for giving up."""

    __slots__ = ("by_age", "count", "dials", "idle", "node")

    def __init__(self, node: BackendHost) -> None:
        self.node = node
        self.dials: dict[BackendConnection, None] = {}  # not up yet
        self.count = 0  # descriptors, dials included
        self.idle: dict[int, list[BackendConnection]] = {}
        self.by_age: dict[BackendConnection, None] = {}

    def send(self, attempt: Attempt) -> None:
        backend = attempt.backend
        address = self.node.discovery.endpoint_list.endpoints.get(backend)
        if address is None:
            self.node.conclude(attempt, Outcome.CONNECT_FAILED)
            return
        while (conn := self.pop(backend)) is not None:
            if conn.usable():
                conn.begin(attempt)
                return
            conn.abandon()
        if not self.node.may_open_upstream():
            # Our own want of descriptors says nothing of the backend.
            self.node.conclude(attempt, Outcome.MOOT)
            return
        conn = BackendConnection(self, backend, address)
        attempt.connection = conn
        try:
            conn.dial(attempt)
        except OSError:
            attempt.connection = None
            self.node.conclude(attempt, Outcome.MOOT)

    def connecting(self, backends: Sequence[int]) -> list[Attempt]:
        """Attempts that wait for a connection to one of these to come up."""
        return [c.attempt for c in self.dials if c.attempt is not None and c.backend in backends]

    def pop(self, backend: int) -> BackendConnection | None:
        conns = self.idle.get(backend)
        if not conns:
            return None
        conn = conns.pop()
        if not conns:
            del self.idle[backend]
        del self.by_age[conn]
        return conn

    def put(self, conn: BackendConnection) -> None:
        """Keep a connection for the next attempt, unless its backend has moved or left."""
        if self.node.discovery.endpoint_list.endpoints.get(conn.backend) != conn.address:
            conn.abandon()
            return
        conn.idle_since = time.monotonic_ns()
        self.idle.setdefault(conn.backend, []).append(conn)
        self.by_age[conn] = None

    def take_out(self, conn: BackendConnection) -> None:
        if conn in self.by_age:
            del self.by_age[conn]
            conns = self.idle[conn.backend]
            conns.remove(conn)
            if not conns:
                del self.idle[conn.backend]

    def close_idle(self, backend: int) -> None:
        for conn in list(self.idle.get(backend, ())):
            conn.abandon()

    def idle_count(self) -> int:
        """How many connections wait for an attempt."""
        return len(self.by_age)

    def trim(self, most: int) -> None:
        """Keep at most so many of them, the newest."""
        while len(self.by_age) > most and self.close_oldest():
            pass

    def close_oldest(self) -> bool:
        """Give up the connection that has been idle longest; False where none is."""
        conn = next(iter(self.by_age), None)
        if conn is None:
            return False
        conn.abandon()
        return True

    def close_expired(self, now: int) -> None:
        """Close what has been idle nearly as long as backends allow.

        At the limit itself a request would cross the backend's close and count
        as a reset: may have run.
        """
        limit = self.node.config.idle_close
        oldest = now - max(limit - IDLE_MARGIN_NS, limit // 2)
        while (conn := next(iter(self.by_age), None)) is not None and conn.idle_since < oldest:
            conn.abandon()

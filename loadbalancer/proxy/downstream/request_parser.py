"""Parses the bytes received from a client into the heads and contents of requests."""

from __future__ import annotations

import asyncio
import logging
import socket
from abc import abstractmethod
from collections.abc import Callable

import httptools

from loadbalancer.core.buffer_budget import (
    COSTLY_READ_BYTES,
    MIN_WINDOW_BYTES,
    STREAMING_THRESHOLD_BYTES,
)
from loadbalancer.core.http_framing import FramingExcess
from loadbalancer.core.memory_account import SMALL_HEAD_BYTES, Holder
from loadbalancer.errors import BadRequestError
from loadbalancer.proxy.bounded_reads import parts_to_parse
from loadbalancer.proxy.downstream.head_checker import INTERPRETED_FIELDS
from loadbalancer.proxy.downstream.registry import Connection, ConnectionRegistry
from loadbalancer.proxy.downstream.request import IncomingRequest
from loadbalancer.proxy.downstream.responses import CONTINUE
from loadbalancer.proxy.downstream.states import (
    CONTENT,
    HEAD,
    NO_REQUEST,
    UPLOAD,
    ReadState,
)
from loadbalancer.proxy.flow_control import (
    MAX_MESSAGE_BYTES,
    append_piece,
)

logger = logging.getLogger(__name__)

MAX_HEAD_BYTES = 16 << 10  # of a request's target and header fields
MAX_PIECES_A_READ = 200  # parts of content in one read, above which the next read is smaller
HTTP_VERSIONS = ("1.0", "1.1")

# Header fields that are hop-by-hop, or that the proxy sets itself for each attempt.
NOT_FORWARDED = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-connection",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"x-timeout-ms",
    )
)  # fmt: skip


class RequestParser(Connection):
    """The part of a client's connection that parses input.

    An invalid or oversized request is rejected and the connection closed: it is unknown where the
    next request starts, and content could be mistaken for one.

    `_parser` is None while input is not parsed: before the connection is set up, and once its
    closing has started.
    """

    __slots__ = (
        "_counted_head", "_discarding", "_head_size", "_incoming", "_is_costly", "_is_paused",
        "_last_active_sweep", "_parser", "_read_state", "_registry", "_sock", "_transport",
    )  # fmt: skip

    def __init__(self, registry: ConnectionRegistry, sock: socket.socket) -> None:
        self._registry = registry
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._incoming: IncomingRequest | None = None  # the request being read
        self._read_state: ReadState = NO_REQUEST
        self._is_costly = False  # whether the last read had many small chunks
        self._is_paused = False  # whether reading waits for `resume_flow`
        self._head_size = 0  # bytes read of an incomplete head
        self._counted_head = 0  # of these, those counted in the buffer budget
        self._discarding = 0  # bytes still expected of an upload that is no longer forwarded
        # The sweep of the last activity: the accept, the start of a request, its response, reading
        # resumed, or the start of lingering.
        self._last_active_sweep = registry.sweeps

    @abstractmethod
    def _start_queued(self) -> None:
        """Start queued requests until one is open."""

    @abstractmethod
    def _limit_reading(self) -> None:
        """Pause reading if what follows has to wait."""

    @abstractmethod
    def _response_is_next(self) -> bool:
        """Whether the next response on the connection is that to the request being read."""

    @abstractmethod
    def _reject(self, status: int, text: bytes = b"") -> None:
        """Respond with an error status and close the connection."""

    def data_received(self, data: bytes) -> None:
        """Parse the next bytes from the client, then start what they have completed."""
        for part in parts_to_parse(data, self._reads_plain_content()):
            self._parse(part)
        if self._parser is None:
            return
        self._start_queued()
        self._limit_reading()

    def _reads_plain_content(self) -> bool:
        """Whether content is read that is not in chunks, of which the parser holds nothing."""
        incoming = self._incoming
        return incoming is not None and self._read_state is not HEAD and not incoming.chunked

    def read_size(self) -> int:
        """How many bytes to read at a time at the moment."""
        if self._is_costly:
            return COSTLY_READ_BYTES
        return self._registry.host.budget.read_size(self._reads_plain_content())

    def transport_to_read(self) -> asyncio.Transport | None:
        """The transport; None if it is closing, or if reading waits for `resume_flow`."""
        transport = self._transport
        if transport is None or self._is_paused or transport.is_closing():
            return None
        return transport

    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next turn of the event loop."""
        self._registry.host.loop.call_soon(callback)

    def _parse(self, data: bytes) -> None:
        """Parse bytes, and reject the request if they are invalid or exceed a limit."""
        parser = self._parser
        if parser is None:
            self._discard(data)
            return
        state, incoming = self._read_state, self._incoming
        size, pieces = (incoming.size, incoming.pieces) if incoming is not None else (0, 0)
        if state is NO_REQUEST or state is HEAD:
            self._head_size += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self._reject_parse_error(error.__context__)
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)
            return
        if self._read_state is HEAD:
            self._limit_head()
        elif incoming is not None and incoming is self._incoming and state is not HEAD:
            content, new_pieces = incoming.size - size, incoming.pieces - pieces
            self._is_costly = new_pieces > MAX_PIECES_A_READ
            excess = incoming.framing_excess
            if excess is not None and not excess.add(len(data), content, new_pieces):
                self._reject(431)  # a trailer section or a chunk extension without end
            else:
                self._forward_content(incoming)

    def _limit_head(self) -> None:
        """Reject a head that is too long while it is incomplete, or for which there is no memory.

        One that never ends does not reach the check of its size in on_headers_complete.
        """
        if self._head_size > MAX_HEAD_BYTES:
            self._reject(431)
        elif self._head_size > SMALL_HEAD_BYTES:
            self._count_head(self._head_size)
            budget = self._registry.host.budget
            if budget.has_too_many_heads():
                budget.rejected += 1
                self._reject(503)

    def _count_head(self, size: int) -> None:
        """Count an incomplete head of this size; 0 once there is none."""
        self._registry.host.budget.reserve(Holder.INCOMPLETE_HEADS, size - self._counted_head)
        self._counted_head = size

    def _expect_rest(self, incoming: IncomingRequest) -> None:
        """Let the rest of a request's content count as activity while the connection closes."""
        length = MAX_MESSAGE_BYTES if incoming.chunked else incoming.length
        self._discarding = length - incoming.size

    def _discard(self, data: bytes) -> None:
        """Drop input that arrives while the connection is closing.

        A client may send its whole upload before it reads the response. If the connection were
        closed earlier, the client would see a reset in place of the response. So the rest of the
        upload counts as activity.
        """
        if self._discarding > 0:
            self._discarding -= len(data)
            self._last_active_sweep = self._registry.sweeps

    def _reject_parse_error(self, cause: BaseException | None) -> None:
        """Reject a request for which a callback of the parser has raised `cause`."""
        if isinstance(cause, BadRequestError):
            self._reject(cause.status, cause.text)
        else:
            logger.info("parsing a request raised %r", cause)
            self._reject(400)

    # The parser calls the on_... methods; RequestQueue has those for a message's begin and end.

    def on_url(self, url: bytes) -> None:
        """Called with a part of the request target."""
        assert self._incoming is not None
        self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with a header field, or a trailer field, which is ignored."""
        incoming = self._incoming
        if incoming is None or self._read_state is not HEAD:
            return
        lower = name.lower()
        value = value.strip(b" \t")  # not part of the value (RFC 9110, section 5.5)
        if lower in INTERPRETED_FIELDS:
            if lower in incoming.fields:
                raise BadRequestError(400)  # repeated: it is ambiguous which one is meant
            incoming.fields[lower] = value
        elif lower == b"idempotency-key":
            incoming.has_idempotency_key = True
        if lower not in NOT_FORWARDED:
            incoming.lines += b"%s: %s\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Called at the end of the head: validate it."""
        incoming, parser = self._incoming, self._parser
        assert incoming is not None
        assert parser is not None
        self._read_state = CONTENT
        self._head_size = 0
        if self._counted_head:
            self._count_head(0)
        incoming.method = parser.get_method()
        incoming.keep_alive = parser.should_keep_alive()
        if len(incoming.url) + len(incoming.lines) > MAX_HEAD_BYTES:
            raise BadRequestError(431)
        version = parser.get_http_version()
        if version not in HTTP_VERSIONS:
            raise BadRequestError(400)
        incoming.http10 = version == "1.0"
        self._registry.head_checker.check(incoming)
        if incoming.length > MAX_MESSAGE_BYTES:
            raise BadRequestError(413)
        self._count_complete_head(incoming)
        if incoming.length or incoming.chunked:
            self._expect_content(incoming)

    def _count_complete_head(self, incoming: IncomingRequest) -> None:
        """Count a complete head until its request is forgotten; reject it if memory is short.

        Behind another request of the connection nothing is rejected, as that would end the
        connection with the other one's response due.
        """
        budget = self._registry.host.budget
        size = incoming.head_size = len(incoming.url) + len(incoming.lines)
        budget.reserve_request(size)
        has_content = incoming.chunked or incoming.length > budget.small_content_bytes
        is_upload = incoming.chunked or incoming.length > STREAMING_THRESHOLD_BYTES
        if not budget.may_begin(size, has_content, is_upload) and self._response_is_next():
            budget.rejected += 1
            raise BadRequestError(503)

    def _expect_content(self, incoming: IncomingRequest) -> None:
        budget = self._registry.host.budget
        if incoming.chunked:
            incoming.framing_excess = FramingExcess()
        if incoming.length > STREAMING_THRESHOLD_BYTES:
            # Limits one read to about a window, however much has arrived.
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_WINDOW_BYTES)
        elif incoming.length > budget.small_content_bytes or incoming.chunked:
            budget.incomplete[self] = None
        # While a response to an earlier request is due, the client would take the interim response
        # for a part of that one.
        expects = incoming.fields.get(b"expect", b"").lower() == b"100-continue"
        if expects and self._response_is_next():
            assert self._transport is not None
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Called with the next bytes of the content."""
        incoming = self._incoming
        assert incoming is not None
        incoming.size += len(body)
        incoming.pieces += 1
        if incoming.size > MAX_MESSAGE_BYTES:
            raise BadRequestError(413)
        append_piece(incoming.body, body)
        if self._read_state is not UPLOAD:
            self._registry.host.budget.reserve(Holder.CONTENT, len(body))

    def _forward_content(self, incoming: IncomingRequest) -> None:
        """Pass the content that has been parsed to the flow of an upload, small pieces as one."""
        if incoming.flow is not None and incoming.body:
            pieces, incoming.body = incoming.body, []
            for piece in pieces:
                incoming.flow.push(piece)

    @abstractmethod
    def resume_body(self) -> None:
        """Resume reading, as the buffer budget has capacity again."""

    def missing_bytes(self) -> int:
        """The bytes of the content that the head has declared and that have not been read yet."""
        incoming = self._incoming
        return max(incoming.length - incoming.size, 0) if incoming is not None else 0

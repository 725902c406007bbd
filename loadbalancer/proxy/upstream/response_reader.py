"""Parses consecutive responses from the bytes of a connection (RFC 9112); no I/O, no clock."""

from __future__ import annotations

from enum import Enum

import httptools

from loadbalancer.core.buffer_budget import STREAMING_THRESHOLD_BYTES
from loadbalancer.core.http_framing import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    FramingExcess,
    ends_with_stream,
)
from loadbalancer.proxy.bounded_reads import parts_to_parse
from loadbalancer.proxy.flow_control import (
    MAX_MESSAGE_BYTES,
    append_piece,
)

MAX_HEAD_BYTES = 16 << 10  # of a response's status line and header fields
OK_STATUS = 200
MAX_INTERIM_BYTES = 64 << 10  # of the interim responses before one response, with its head


class ResponseState(Enum):
    """How far the response has been read."""

    HEAD = "head"  # the status line and header fields are incomplete
    CONTENT = "content"
    COMPLETE = "complete"
    MALFORMED = "malformed"  # unparsable or too large; never becomes complete


HEAD = ResponseState.HEAD
CONTENT = ResponseState.CONTENT
COMPLETE = ResponseState.COMPLETE
MALFORMED = ResponseState.MALFORMED


class ResponseReader:
    """Reads the responses of one connection; `feed` updates `state` and the other attributes.

    `chunks` contains the content of a 200 response that has not been taken yet. The content of
    other responses is counted in `size` and dropped. `length` is the stated Content-Length, or
    -1. Once the response is complete, `keep_alive` tells whether the connection can carry
    another request. It cannot if bytes followed the response, as they would be taken for the
    response to the next request. `head_begun` is False before the first byte of a head and
    between an interim response and the next one.
    """

    __slots__ = (
        "_closes", "_framing_excess", "_has_interim", "_has_transfer_encoding", "_head_size",
        "_parser", "_pieces", "chunks", "content_type", "head_begun", "keep_alive", "length",
        "load_report", "not_processed", "size", "state", "status",
    )  # fmt: skip

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Prepare for the response to a new request."""
        self._has_interim = False
        self._head_size = 0  # with the interim responses before it
        self._begin_response()

    def _begin_response(self) -> None:
        self.state = HEAD
        self.status = 0
        self.length = -1
        self.size = 0
        self.chunks: list[bytes] = []
        self.content_type = b""
        self.load_report = b""
        self.not_processed = False
        self.keep_alive = False
        self.head_begun = False
        self._pieces = 0  # parts in which the content came, at least one for each chunk
        self._framing_excess: FramingExcess | None = None  # of chunked content
        self._has_transfer_encoding = False
        self._closes = False

    def close(self) -> None:
        """Drop the buffered content and the parser.

        The parser and this reader refer to each other. If the cycle were not broken, each closed
        connection would stay in memory until the garbage collector's next run.
        """
        self._parser = None
        self.chunks = []

    def feed(self, data: bytes) -> None:
        """Parse the next bytes and update `state` and the other attributes."""
        for part in parts_to_parse(data, self.reads_plain_content()):
            self._parse(part)

    def held_bytes(self) -> int:
        """The bytes of the response that are in memory."""
        return self._head_size + (self.size if self.chunks else 0)

    def reads_plain_content(self) -> bool:
        """Whether content is read that is not in chunks, of which the parser holds nothing."""
        return self.state is CONTENT and not self._has_transfer_encoding

    def _parse(self, data: bytes) -> None:
        parser = self._parser
        if parser is None or self.state is MALFORMED:
            return
        state, size, pieces = self.state, self.size, self._pieces
        if state is HEAD:
            self._head_size += len(data)
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.keep_alive = False
            if self.state is not COMPLETE:
                self.state = MALFORMED
        if self.state is HEAD:
            if self._head_size > self._max_head_bytes():
                self.state = MALFORMED
        elif self.state is CONTENT and state is CONTENT and self._has_transfer_encoding:
            self._framing_excess = self._framing_excess or FramingExcess()
            content, pieces = self.size - size, self._pieces - pieces
            if not self._framing_excess.add(len(data), content, pieces):
                self.state = MALFORMED

    def _max_head_bytes(self) -> int:
        return MAX_INTERIM_BYTES if self._has_interim else MAX_HEAD_BYTES

    def feed_eof(self) -> bool:
        """Handle the end of the backend's stream; returns whether it completes the response.

        It completes only a response whose header fields leave its length open.
        """
        if self.state is not CONTENT or not self._ends_with_stream():
            return False
        self.state = COMPLETE
        return True

    def _ends_with_stream(self) -> bool:
        return ends_with_stream(self.length >= 0, self._has_transfer_encoding)

    def take_chunks(self) -> list[bytes]:
        """Return and remove the content read since the last call."""
        chunks, self.chunks = self.chunks, []
        return chunks

    # Callbacks of httptools.HttpResponseParser, which requires these names.

    def on_message_begin(self) -> None:
        """Handle the start of a response; one after a complete response prevents keep-alive."""
        self.head_begun = True
        if self.state is COMPLETE:
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field; trailer fields are ignored."""
        if self.state is not HEAD:
            return
        name = name.lower()
        value = value.strip(b" \t")  # surrounding white space is not part of it (RFC 9110, 5.5)
        if name == b"content-length":
            self.length = int(value) if value.isdigit() else -1
        elif name == b"content-type":
            self.content_type = value
        elif name == b"transfer-encoding":
            self._has_transfer_encoding = True
        elif name == b"connection":
            self._closes = b"close" in (option.strip() for option in value.lower().split(b","))
        elif name == b"x-not-processed":
            self.not_processed = value == b"1"
        elif name == b"x-server-load":
            self.load_report = value

    def on_headers_complete(self) -> None:
        """Handle the end of the header fields."""
        parser = self._parser
        if self.state is COMPLETE or parser is None:
            return
        self.status = parser.get_status_code()
        self.state = CONTENT
        # A response with neither a length nor chunked encoding ends when its connection is closed.
        # Unless the backend has announced that with `Connection: close`, the end cannot be told
        # from a failed connection, and a client could get a truncated response as complete.
        unbounded = self._ends_with_stream() and not self._closes
        if self.status == OK_STATUS and (unbounded or self.length > MAX_MESSAGE_BYTES):
            self.state = MALFORMED

    def on_body(self, body: bytes) -> None:
        """Handle the next bytes of the content."""
        if self.state is COMPLETE:
            self.keep_alive = False
            return
        self.size += len(body)
        self._pieces += 1
        if self.status != OK_STATUS:
            # Clients get only the status, so the content is not needed.
            if self.size > STREAMING_THRESHOLD_BYTES:
                self.state = MALFORMED
        elif self.size > MAX_MESSAGE_BYTES:
            self.state = MALFORMED
        else:
            append_piece(self.chunks, body)

    def on_message_complete(self) -> None:
        """Handle the end of a response; an interim response is followed by another one.

        HTTP sets no limit to the number of interim responses. If one of them were taken for the
        final response, the connection would be reused while that is still due, and it would be
        taken for the response to the next request.
        """
        parser = self._parser
        if self.state is COMPLETE or parser is None:
            return
        if self.status in INTERIM_STATUSES:
            self._has_interim = True
            self._begin_response()
            return
        if self.state is MALFORMED:
            return
        self.keep_alive = self.status in FINAL_STATUSES and parser.should_keep_alive()
        self.state = COMPLETE

"""Receives the response to an attempt, and buffers it until it is complete or streams it."""

from __future__ import annotations

import asyncio
import socket
import time
from abc import abstractmethod
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from loadbalancer.core import Outcome, response_buffering
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.buffer_budget import MIN_WINDOW_BYTES
from loadbalancer.core.memory_account import Holder
from loadbalancer.proxy.flow_control import Flow
from loadbalancer.proxy.upstream.load_report import parse_load_report
from loadbalancer.proxy.upstream.request_writer import RequestWriter
from loadbalancer.proxy.upstream.response_reader import (
    COMPLETE,
    CONTENT,
    MALFORMED,
    OK_STATUS,
    ResponseReader,
)
from loadbalancer.proxy.upstream.states import CLOSED, CLOSING, IDLE, STREAMING

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.proxy.exchange import Attempt, Client
    from loadbalancer.proxy.ports import BackendHost

STREAM_TIMEOUT_S = 5.0  # how long a response may pause while it is streamed to the client

# Together with X-Not-Processed: 1 these mean that the backend has not begun to execute the request.
OVERLOAD_STATUSES = (503, 504)
# Statuses that report a fault of the request, not of the backend. Another backend would respond
# alike, so the request is not retried. The excluded statuses invite the client to retry.
REQUEST_FAULT_STATUSES = frozenset(range(400, 500)) - {408, 421, 425, 429}


class ResponseReceiver(RequestWriter):
    """The part of a connection that receives responses.

    A response of up to STREAMING_THRESHOLD_BYTES is sent to the client only once it is complete.
    If it is unparsable, too large or stalls, the attempt's outcome is ERROR, so that the request
    counts as possibly executed, and the connection is closed. The outcome is not RESET, because
    a backend that sends such a response is evidently running. A longer response is streamed; if
    it breaks off, the response to the client is aborted.
    """

    __slots__ = ("_client", "_content_began", "_counted", "_download", "_sock", "reader")

    def __init__(self, host: BackendHost, address: Address) -> None:
        super().__init__(host, address)
        self.reader = ResponseReader()
        self._sock: socket.socket | None = None
        self._client: Client | None = None  # while a response is streamed
        self._download: Flow | None = None  # the response being streamed
        # When the first content of a response of unknown length arrived; monotonic clock, ns.
        self._content_began = 0
        self._counted = 0  # bytes of an incomplete response, counted in the memory account

    @abstractmethod
    def _recycle(self, reusable: bool) -> None:
        """After a complete response, return the connection to the pool or close it."""

    @abstractmethod
    def _close(self) -> None:
        """Close without settling the attempt; does nothing if closed already."""

    @abstractmethod
    def _log_unsolicited(self, data: bytes) -> None:
        """Log bytes that no request on this connection has asked for, and what follows."""

    @abstractmethod
    def _fail(self, outcome: Outcome) -> None:
        """Close the connection and settle its attempt, if there is one."""

    def read_size(self) -> int:
        """How many bytes to read at a time at the moment."""
        return self.host.budget.read_size(self.reader.reads_plain_content())

    def transport_to_read(self) -> asyncio.Transport | None:
        """The transport; None if it is closing, or if a slow client holds up the reading."""
        transport, download = self.transport, self._download
        if transport is None or transport.is_closing():
            return None
        return None if download is not None and download.paused else transport

    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next turn of the event loop."""
        self.host.loop.call_soon(callback)

    def data_received(self, data: bytes) -> None:
        """Process the next bytes of the response."""
        if self.attempt is None:
            # Bytes on an idle connection would be taken for the response to the next request.
            if self._state is IDLE:
                self._log_unsolicited(data)
            self._close()
            return
        if self._awaits_no_response:
            self._log_unsolicited(data)
            self._reroute_attempt()
            return
        reader = self.reader
        reader.feed(data)
        if self._state is STREAMING:
            self._forward()
            return
        progress = reader.state
        if progress is COMPLETE:
            self._respond()
        elif progress is MALFORMED:
            self._fail(Outcome.ERROR)
        elif progress is CONTENT and self._must_stream():
            self._begin_streaming()
        else:
            self._discard_if_unwanted(self.attempt)
            self._count_response(reader.held_bytes())
            self._restart_timeout()

    def _count_response(self, size: int) -> None:
        """Count what is buffered of an incomplete response; 0 for nothing."""
        if size != self._counted:
            self.host.budget.reserve(Holder.RESPONSES, size - self._counted)
            self._counted = size

    def _discard_if_unwanted(self, attempt: Attempt) -> None:
        """Drop the content of an incomplete response whose request has ended.

        Its client has left, so the response is not streamed, but the attempt continues to its
        outcome because it may have been executed. If the content were buffered, each such attempt
        could hold up to MAX_MESSAGE_BYTES that the buffer budget does not count, and a few of
        them would exceed the process's memory limit.
        """
        if self.reader.state is CONTENT and attempt.request.ended:
            self.reader.take_chunks()

    def _restart_timeout(self) -> None:
        """Restart the timer that runs out if no further bytes arrive, see `response_buffering`.

        After an interim response nothing of the next one may come for long, as the backend is
        still working on the request: the attempt's own timeout applies, as before any bytes.
        """
        if not self.request_written:
            return
        self._stop_timer()
        reader = self.reader
        if reader.state is not CONTENT and not reader.head_begun:
            return
        pause = self._allowed_pause()
        self._timer = self.host.loop.call_later(pause / SECOND, self._pause_timed_out)

    def _allowed_pause(self) -> int:
        connect_timeout = self.host.config.settings.connect_timeout
        if self._may_stream_unknown_length():
            attempt = self.attempt
            assert attempt is not None
            remaining = attempt.sent_at + attempt.timeout - time.monotonic_ns()
            return response_buffering.unknown_length_pause(connect_timeout, remaining)
        if self.reader.state is CONTENT:
            return response_buffering.content_pause(connect_timeout)
        return response_buffering.head_pause(connect_timeout)

    def _pause_timed_out(self) -> None:
        """Give up a response that goes on too slowly, or stream it if it may be a long one."""
        if self._may_stream_unknown_length():
            self._begin_streaming()
        else:
            self._fail(Outcome.ERROR)

    def _may_stream_unknown_length(self) -> bool:
        """Whether this is a 200 response of unknown length that its request's client waits for.

        While another attempt of the request is in flight, such as a hedge, that one may still
        bring a complete response.
        """
        attempt, reader = self.attempt, self.reader
        return (
            reader.state is CONTENT
            and reader.status == OK_STATUS
            and reader.length < 0
            and self.request_written
            and attempt is not None
            and attempt.request.client is not None
            and attempt.request.open_attempts == 1
        )

    def eof_received(self) -> bool:
        """Handle the end of the backend's stream, which either completes the response or fails it.

        Returns False, so that the transport is closed. Otherwise the event loop would go on
        writing the rest of a request from its buffer. The backend could receive the request's
        last byte while the attempt counts as not executed and the client is told that a retry
        is safe. Closing the connection immediately drops what has not been written.
        """
        if self.attempt is None:
            return False
        if not self.reader.feed_eof():
            self._fail(Outcome.RESET)
        elif self._state is STREAMING:
            self._forward()
        else:
            self._respond()
        return False

    def _respond(self) -> None:
        """Settle the attempt by its complete response, and send that to the client if it is a 200.

        A response that reports a fault of the request ends the request with a 400.
        """
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        reader, host = self.reader, self.host
        chunks = reader.take_chunks()
        self._count_response(0)
        self._stop_timer()
        reusable = self._reusable()
        outcome = self._outcome()
        request = attempt.request
        if outcome is Outcome.OK and not request.ended and request.client is not None:
            request.client.respond(reader.content_type, chunks, reader.size)
        elif reader.status in REQUEST_FAULT_STATUSES:
            host.finish(request, 400)
        self._recycle(reusable)
        host.record_outcome(attempt, outcome, self._load())

    def _outcome(self) -> Outcome:
        status = self.reader.status
        if status == OK_STATUS:
            # No backend executes a request before it has received the last byte, so a response
            # that arrives earlier is not a response to this request.
            return Outcome.OK if self.request_written else Outcome.ERROR
        if status in OVERLOAD_STATUSES and self.reader.not_processed:
            return Outcome.FULL
        return Outcome.ERROR

    def _reusable(self) -> bool:
        transport = self.transport
        return (
            self.request_written
            and not self._write_paused
            and self.reader.keep_alive
            and transport is not None
            and not transport.is_closing()
        )

    def _load(self) -> Sequence[float]:
        """The backend's reported load in the order of the settings' columns; empty if none."""
        report, config = self.reader.load_report, self.host.config
        if not report or not config.reports:
            return ()
        return parse_load_report(report, config.settings.load_columns)

    # For long responses this connection is the source of the flow.

    def _must_stream(self) -> bool:
        """Whether the response must be streamed, judging by the part read so far."""
        reader, attempt = self.reader, self.attempt
        return (
            reader.status == OK_STATUS
            and self.request_written
            and attempt is not None
            and attempt.request.client is not None
            and (self._is_long(attempt) or self._is_slow())
        )

    def _is_long(self, attempt: Attempt) -> bool:
        reader, has_others = self.reader, attempt.request.open_attempts > 1
        return self.host.budget.is_long_response(reader.length, reader.size, has_others)

    def _is_slow(self) -> bool:
        """Whether a response of unknown length comes from a slow sender."""
        if self.reader.length >= 0 or not self.reader.size:
            return False
        now = time.monotonic_ns()
        self._content_began = self._content_began or now
        return response_buffering.is_slow(now, self._content_began)

    def _begin_streaming(self) -> None:
        """Start streaming the response; after this the client can get no other response."""
        attempt, reader, host = self.attempt, self.reader, self.host
        assert attempt is not None
        assert self._sock is not None
        self._count_response(0)
        self._stop_timer()
        client = self._client = attempt.request.client
        assert client is not None
        self._state = STREAMING
        # Limits how much one read can deliver to about one window.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_WINDOW_BYTES)
        flow = self._download = Flow(host.budget, self)
        host.on_response_started(attempt)
        client.begin_streaming(reader.content_type, reader.length, flow)
        self._forward()

    def _forward(self) -> None:
        """Forward newly read content to the client, and finish if the response is complete."""
        flow = self._download
        self._stop_timer()
        if flow is None:
            return
        for chunk in self.reader.take_chunks():
            flow.push(chunk)
        if self._state is not STREAMING:
            return  # closed meanwhile, because the client has disconnected
        progress = self.reader.state
        if progress is COMPLETE:
            self._download = None
            self._end_streaming(flow)
        elif progress is MALFORMED:
            self._fail(Outcome.ERROR)
        elif not flow.paused:
            self._start_stream_timer()

    def _end_streaming(self, flow: Flow) -> None:
        """Settle the attempt and release the connection, while the client may still be reading."""
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        self._client = None
        reusable = self._reusable()
        flow.finish()
        self._recycle(reusable)
        self.host.record_outcome(attempt, Outcome.OK, self._load())

    def pause_flow(self) -> None:
        """Stop reading because the client reads too slowly, and suspend the backend's timeout."""
        self._stop_timer()
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_flow(self) -> None:
        """Continue reading and restart the backend's timeout."""
        if self.transport is None or self._state is CLOSING or self._state is CLOSED:
            return
        self.transport.resume_reading()
        if self._download is not None:
            self._stop_timer()
            self._start_stream_timer()

    def _start_stream_timer(self) -> None:
        self._timer = self.host.loop.call_later(STREAM_TIMEOUT_S, self._fail, Outcome.RESET)

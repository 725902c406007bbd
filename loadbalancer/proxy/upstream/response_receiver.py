"""Receiving the response to a connection's attempt: buffered until complete, or streamed."""

from __future__ import annotations

import socket
from abc import abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.proxy.flow_control import MIN_WINDOW_BYTES, STREAMING_THRESHOLD_BYTES, Flow
from loadbalancer.proxy.upstream.load_report import parse_load_report
from loadbalancer.proxy.upstream.request_writer import RequestWriter
from loadbalancer.proxy.upstream.response_reader import (
    COMPLETE,
    CONTENT,
    MALFORMED,
    OK_STATUS,
    ResponseReader,
)
from loadbalancer.proxy.upstream.states import CLOSED, CLOSING, STREAMING

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.proxy.exchange import Attempt, Client
    from loadbalancer.proxy.ports import BackendHost

# How long a response that has begun may pause, in multiples of the connect timeout: within
# its head, and within its content, whose sender may be slow.
HEAD_TIMEOUT_FACTOR = 1.0
CONTENT_TIMEOUT_FACTOR = 3.0
STREAM_TIMEOUT_S = 5.0  # the same while the client has a part of it already
# A response of unknown length may be a long one whose sender is slow: one that is not
# complete so long after its first content is streamed. Buffered up to the threshold it
# would come after its request's deadline. Once streamed, a malformed one can't be retried.
UNKNOWN_LENGTH_DELAY_S = 0.03

OVERLOAD_STATUSES = (503, 504)  # with X-Not-Processed: the backend has not begun the request
# What a backend says of the request and not of itself. Any other backend would say the
# same, so there is no further attempt; except for the statuses that ask to come again.
REQUEST_FAULT_STATUSES = frozenset(range(400, 500)) - {408, 421, 425, 429}


class ResponseReceiver(RequestWriter):
    """The part of a connection that receives responses.

    A response up to STREAMING_THRESHOLD_BYTES reaches the client only once it is complete.
    One that can't be read, is larger than accepted or stops before its end is malformed:
    the attempt's outcome is an error after which the request may have run, and the
    connection is closed. It does not count as a reset: a backend that sends one is
    running. A longer response is streamed; if it breaks off, the client's is aborted.
    """

    __slots__ = ("_client", "_content_began_s", "_download", "_sock", "reader")

    def __init__(self, host: BackendHost, address: Address) -> None:
        super().__init__(host, address)
        self.reader = ResponseReader()
        self._sock: socket.socket | None = None
        self._client: Client | None = None  # while streaming
        self._download: Flow | None = None  # the response that is streamed
        self._content_began_s = 0.0  # first content of unknown length, on the loop's clock

    @abstractmethod
    def _recycle(self, reusable: bool) -> None:
        """The response is complete: go idle if reusable, else close."""

    @abstractmethod
    def _close(self) -> None:
        """Close, without an outcome; nothing where it is closed already."""

    @abstractmethod
    def _fail(self, outcome: Outcome) -> None:
        """Close, and settle the attempt if there is one."""

    def data_received(self, data: bytes) -> None:
        """The next bytes of the response."""
        if self.attempt is None:
            # Bytes on an idle connection would pass for a response to the next request.
            self._close()
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
            self._restart_timeout()

    def _discard_if_unwanted(self, attempt: Attempt) -> None:
        """Drop the content of a response that is not complete and that nobody gets.

        Failure: its client has left, so that it is not streamed, and the attempt goes on to its
        outcome, as it may have been executed and is not to be sent again. Buffered, up to
        MAX_MESSAGE_BYTES of each such attempt would lie outside the budget, and a few would
        take the process past its memory. Nobody gets the content, so it is dropped as it comes.
        """
        if self.reader.state is CONTENT and attempt.request.ended:
            self.reader.take_chunks()

    def _restart_timeout(self) -> None:
        """Give the response up if nothing more of it comes; its time begins anew."""
        if not self.request_written:
            return
        self._stop_timer()
        is_content = self.reader.state is CONTENT
        factor = CONTENT_TIMEOUT_FACTOR if is_content else HEAD_TIMEOUT_FACTOR
        limit_s = factor * self.host.config.settings.connect_timeout / SECOND
        self._timer = self.host.loop.call_later(limit_s, self._fail, Outcome.ERROR)

    def eof_received(self) -> bool:
        """The backend has ended its sending: its response is complete, or never will be.

        Failure: the loop goes on writing what it buffers of a request after this end. The
        backend could receive the request's last byte while the attempt counts as one that
        can't have executed, and its client is told that a retry is harmless. Closing at
        once drops what is not written.
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
        """Give the client a complete response, if it is one for it, and settle the attempt."""
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        reader, host = self.reader, self.host
        chunks = reader.take_chunks()
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
            # Before the request's last byte is written no backend has begun it: such a
            # response is not one to this request.
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
        """The backend's load in the settings' order of columns, or nothing."""
        report, config = self.reader.load_report, self.host.config
        if not report or not config.reports:
            return ()
        return parse_load_report(report, config.settings.load_columns)

    # ---- a long response: this connection is the source of its flow ------

    def _must_stream(self) -> bool:
        """Whether the response is forwarded as it comes, by what has been read of it."""
        reader, attempt = self.reader, self.attempt
        return (
            reader.status == OK_STATUS
            and self.request_written
            and (max(reader.length, reader.size) > STREAMING_THRESHOLD_BYTES or self._is_slow())
            and attempt is not None
            and attempt.request.client is not None
        )

    def _is_slow(self) -> bool:
        """Whether a response of unknown length has been under way for long."""
        if self.reader.length >= 0 or not self.reader.size:
            return False
        now = self.host.loop.time()
        self._content_began_s = self._content_began_s or now
        return now - self._content_began_s >= UNKNOWN_LENGTH_DELAY_S

    def _begin_streaming(self) -> None:
        """Forward what has been read; from here on the client gets this response or none."""
        attempt, reader, host = self.attempt, self.reader, self.host
        assert attempt is not None
        assert self._sock is not None
        self._stop_timer()
        client = self._client = attempt.request.client
        assert client is not None
        self._state = STREAMING
        # One read must not bring more than about a window, however much has arrived.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_WINDOW_BYTES)
        flow = self._download = Flow(host.budget, self)
        host.on_response_started(attempt)
        client.begin_streaming(reader.content_type, reader.length, flow)
        self._forward()

    def _forward(self) -> None:
        """Give the client what the last read brought, and the end where it has come."""
        flow = self._download
        self._stop_timer()
        if flow is None:
            return
        for chunk in self.reader.take_chunks():
            flow.push(chunk)
        if self._state is not STREAMING:
            return  # closed meanwhile, for the client has gone
        progress = self.reader.state
        if progress is COMPLETE:
            self._download = None
            self._end_streaming(flow)
        elif progress is MALFORMED:
            self._fail(Outcome.ERROR)
        elif not flow.paused:
            self._start_stream_timer()

    def _end_streaming(self, flow: Flow) -> None:
        """The response is complete: this connection is free, whatever the client still reads."""
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        self._client = None
        reusable = self._reusable()
        flow.finish()
        self._recycle(reusable)
        self.host.record_outcome(attempt, Outcome.OK, self._load())

    def pause_flow(self) -> None:
        """The client reads too slowly; the backend's silence is not its own meanwhile."""
        self._stop_timer()
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_flow(self) -> None:
        """The client has read on."""
        if self.transport is None or self._state is CLOSING or self._state is CLOSED:
            return
        self.transport.resume_reading()
        if self._download is not None:
            self._stop_timer()
            self._start_stream_timer()

    def _start_stream_timer(self) -> None:
        self._timer = self.host.loop.call_later(STREAM_TIMEOUT_S, self._fail, Outcome.RESET)

"""Writes responses to the client, complete or streamed, and decides on keep-alive."""

from __future__ import annotations

import asyncio
import socket
from abc import abstractmethod

from loadbalancer.core.memory_account import Holder
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.downstream.request_queue import RequestQueue
from loadbalancer.proxy.downstream.responses import (
    CLOSE_END,
    EMPTY_HEADS,
    KEEP_ALIVE_END,
    REASONS,
    TEXT_HEAD,
)
from loadbalancer.proxy.downstream.socket_state import reset_on_close
from loadbalancer.proxy.downstream.states import (
    AWAITING_REQUEST,
    CHUNKED,
    CLOSE,
    LENGTH,
    STREAMING,
    UPLOAD,
    ResponseFraming,
)
from loadbalancer.proxy.flow_control import Flow

NS_PER_SECOND = 1e9
LACKS_MEMORY = 503  # the status of a request that is rejected while it is read


class ResponseWriter(RequestQueue):
    """The part of a client's connection that writes responses.

    A response is written only while its request is the open one, so responses are sent in the
    order of their requests. Each response tells the client whether the connection closes after it.
    """

    __slots__ = ("_flow", "_framing", "_half_closed", "_http10", "_keep_alive", "_unsent")

    def __init__(self, registry: ConnectionRegistry, sock: socket.socket) -> None:
        super().__init__(registry, sock)
        self._flow: Flow | None = None  # of the response being streamed
        self._framing: ResponseFraming = LENGTH  # of the last response streamed
        self._half_closed = False  # by the event loop's report
        self._unsent = 0  # bytes of a complete response that the client's kernel does not accept
        # Of the open or last request:
        self._http10 = False
        # What the client asked for; for a streamed response, what its head has announced.
        self._keep_alive = True

    @abstractmethod
    def _close_gracefully(self) -> None:
        """Close the connection after everything written has been sent."""

    @abstractmethod
    def _abort(self, transport: asyncio.Transport) -> None:
        """Close at once, dropping output that is still buffered."""

    def respond(self, content_type: bytes, chunks: list[bytes], size: int) -> None:
        """Send a complete 200 response of `size` bytes."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % size
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        self._write_response(head, chunks)

    def respond_empty(self, status: int, retry_after_ns: int) -> None:
        """Send a response without content; `retry_after_ns` in nanoseconds, 0 for none."""
        head = EMPTY_HEADS[status]
        if retry_after_ns:
            head += b"Retry-After: %.3f\r\n" % (retry_after_ns / NS_PER_SECOND)
        self._write_response(head)

    def _write_response(self, head: bytes, chunks: list[bytes] | None = None) -> None:
        """Write a complete response, then close or proceed to the next request."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._request = None
        self._state = AWAITING_REQUEST
        closes = self._closes_after_response()
        end = CLOSE_END if closes else KEEP_ALIVE_END
        message = b"".join((head, end, *chunks)) if chunks else head + end
        transport.write(message)
        if self._write_paused:
            self._count_unsent(len(message))  # the transport keeps all of it until it is sent
        self._after_response(closes)

    def _after_response(self, closes: bool) -> None:
        if closes:
            self._close_gracefully()
            return
        registry = self._registry
        self._last_active_sweep = registry.sweeps
        if self._queued or self._incoming is not None or self._is_paused:
            # Deferred, as the caller that responded is still processing the old request.
            registry.host.loop.call_soon(self._start_next)
        elif not self._write_paused:
            registry.idle[self] = None

    def _closes_after_response(self) -> bool:
        """Whether to close the connection after the response about to be written."""
        if not self._keep_alive or self._read_state is UPLOAD:
            return True  # the rest of an upload may follow, and must not be parsed as a request
        if self._queued:
            return False  # queued requests have been accepted and must be answered
        registry = self._registry
        return (
            registry.lifecycle.closes_after_response
            or self._half_closed
            or registry.too_many_idle()
        )

    # For streamed responses, the connection is the sink of their flow.

    def begin_streaming(self, content_type: bytes, length: int, flow: Flow) -> None:
        """Send the head of a 200 response whose content follows through `flow`.

        A negative `length` means that the length is not known.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if length >= 0:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % length
            self._framing = LENGTH
        elif self._http10:
            head = b"HTTP/1.1 200 OK\r\n"
            self._framing = CLOSE
            self._keep_alive = False
        else:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            self._framing = CHUNKED
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        # Decided once, so that the end of the response does what its head has announced.
        self._keep_alive = not self._closes_after_response()
        transport.write(head + (KEEP_ALIVE_END if self._keep_alive else CLOSE_END))
        self._state = STREAMING
        self._flow = flow
        self._count_unsent(0)  # from here on the flow counts what is not sent
        flow.attach(self, self._write_paused)

    def flow_write(self, data: bytes) -> None:
        """Write the next bytes of the content."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._framing is CHUNKED:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        transport.write(data)

    def flow_end(self) -> None:
        """Complete the response: all content has been passed to `flow_write`."""
        transport = self._transport
        self._flow = None
        if transport is None or transport.is_closing():
            return
        request, self._request = self._request, None
        if request is not None:
            self._registry.host.response_delivered(request)
        self._state = AWAITING_REQUEST
        if self._framing is CHUNKED:
            transport.write(b"0\r\n\r\n")
        self._after_response(not self._keep_alive)

    def abort_response(self) -> None:
        """Abort the connection, so that the client sees that the response is incomplete."""
        request, self._request = self._request, None
        if request is not None:
            self._registry.host.response_delivered(request)
        self._drop_flow()
        if self._transport is not None:
            self._abort(self._transport)

    def reset_if_incomplete(self) -> None:
        """Make the close a reset if it would make a truncated response look complete.

        A response without a length, to an HTTP/1.0 client, may be truncated by its backend, by a
        timeout of the client or by the exit of the process. For such a response an orderly close
        marks the end of the content, so without a reset the client would take a part of it for the
        whole. A reset is reported to the client as an error. Once all of the response has been
        passed to the kernel, which delivers it, there is no reset, as it would destroy the
        response.
        """
        transport = self._transport
        if transport is None or self._framing is not CLOSE:
            return
        if self._state is STREAMING or transport.get_write_buffer_size():
            reset_on_close(self._sock)

    def pause_writing(self) -> None:
        """Called by the event loop when the client's kernel accepts no more bytes."""
        self._write_paused = True
        if self._flow is not None:
            self._flow.block()
        elif self._transport is not None:
            self._count_unsent(self._transport.get_write_buffer_size())

    def _count_unsent(self, size: int) -> None:
        """Count the bytes of complete responses in the transport's buffer; 0 for none."""
        self._registry.host.budget.reserve(Holder.UNSENT, size - self._unsent)
        self._unsent = size

    def resume_writing(self) -> None:
        """Called by the event loop when its write buffer has drained."""
        self._write_paused = False
        self._count_unsent(0)
        if self._flow is not None:
            self._flow.unblock()
        elif self._state is AWAITING_REQUEST:
            # Deferred, as a write may have called this.
            self._registry.host.loop.call_soon(self._start_next)

    def _drop_flow(self) -> None:
        flow, self._flow = self._flow, None
        if flow is not None:
            flow.discard()

    def _reject(self, status: int, text: bytes = b"") -> None:
        self._parser = None
        request, self._request = self._request, None
        if request is not None:
            self._registry.host.client_disconnected(request)
        if self._flow is not None:
            # In the middle of a response the client would take an error response for its content.
            self.abort_response()
            return
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        incoming = self._incoming
        if status == LACKS_MEMORY and incoming is not None and incoming.head_size:
            # The request is valid: its client may write all of it before it reads the response.
            self._expect_rest(incoming)
        head = TEXT_HEAD % (status, REASONS[status], len(text)) if text else EMPTY_HEADS[status]
        transport.write(head + CLOSE_END + text)
        self._close_gracefully()

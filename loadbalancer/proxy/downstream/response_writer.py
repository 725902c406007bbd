"""Writing: the response to the open request, complete or streamed, and what ends with it."""

from __future__ import annotations

import asyncio
import socket
from abc import abstractmethod

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


class ResponseWriter(RequestQueue):
    """The part of a client's connection that writes responses.

    A response is written only while its request is the open one, so responses leave in the
    order of their requests. Each one says whether the connection ends with it.
    """

    __slots__ = ("_flow", "_framing", "_half_closed", "_http10", "_keep_alive")

    def __init__(self, registry: ConnectionRegistry, sock: socket.socket) -> None:
        super().__init__(registry, sock)
        self._flow: Flow | None = None  # of the response that is streamed
        self._framing: ResponseFraming = LENGTH  # of the same one
        self._half_closed = False  # the client has ended its sending, as the loop reports it
        # Of the open request:
        self._http10 = False
        self._keep_alive = True  # of a streamed one: what its response's head has said

    @abstractmethod
    def _end(self) -> None:
        """End the connection behind what has been written."""

    @abstractmethod
    def _abort(self, transport: asyncio.Transport) -> None:
        """Close at once; what has been written and has not left is dropped."""

    # ---- complete responses ------------------------------------------------

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
        """Write a complete response, and go on to what follows it."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._request = None
        self._state = AWAITING_REQUEST
        closes = self._closes()
        end = CLOSE_END if closes else KEEP_ALIVE_END
        transport.write(b"".join((head, end, *chunks)) if chunks else head + end)
        self._after_response(closes)

    def _after_response(self, closes: bool) -> None:
        if closes:
            self._end()
            return
        registry = self._registry
        self._active_sweep = registry.sweeps
        if self._queued or self._incoming is not None:
            # Not from here: whoever responded is still at work with this request.
            registry.host.loop.call_soon(self._begin_after_response)
        else:
            registry.idle[self] = None

    def _closes(self) -> bool:
        """Whether the connection ends with the response that is about to be written."""
        if not self._keep_alive or self._read_state is UPLOAD:
            return True  # what follows on the connection is the rest of an upload
        if self._queued:
            return False  # accepted: each of them is owed its response
        registry = self._registry
        return (
            registry.lifecycle.closes_after_response
            or self._half_closed
            or registry.too_many_idle()
        )

    # ---- streamed responses: the connection is the sink of their flow ----------

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
        # Decided with the head, and kept to at the end whatever holds by then.
        self._keep_alive = not self._closes()
        transport.set_write_buffer_limits(high=0)
        transport.write(head + (KEEP_ALIVE_END if self._keep_alive else CLOSE_END))
        self._state = STREAMING
        self._flow = flow
        flow.attach(self)

    def flow_write(self, data: bytes) -> None:
        """The next bytes of the content."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._framing is CHUNKED:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        transport.write(data)

    def flow_end(self) -> None:
        """All of the content has been given to `flow_write`."""
        transport = self._transport
        self._flow = None
        if transport is None or transport.is_closing():
            return
        self._request = None
        self._state = AWAITING_REQUEST
        if self._framing is CHUNKED:
            transport.write(b"0\r\n\r\n")
        transport.set_write_buffer_limits()
        self._after_response(not self._keep_alive)

    def abort_response(self) -> None:
        """End the connection so that the client sees its response as incomplete."""
        self._request = None
        self._drop_flow()
        if self._transport is not None:
            self._abort(self._transport)

    def reset_if_incomplete(self) -> None:
        """Have the connection's end be a reset where it would complete a response that is cut.

        Failure: a response to an HTTP/1.0 client without a length is cut, by its backend, by a
        time-out of the client or at the end of a stop. The connection's orderly end would
        complete it, and the client would take a part of the content for all of it. A reset is
        an error. Where all of it has left this process the kernel delivers it, and a reset
        would destroy it.
        """
        transport = self._transport
        if transport is None or self._framing is not CLOSE:
            return
        if self._state is STREAMING or transport.get_write_buffer_size():
            reset_on_close(self._sock)

    def pause_writing(self) -> None:
        """The kernel accepts no more for now."""
        if self._flow is not None:
            self._flow.block()

    def resume_writing(self) -> None:
        """The kernel accepts bytes again."""
        if self._flow is not None:
            self._flow.unblock()

    def _drop_flow(self) -> None:
        flow, self._flow = self._flow, None
        if flow is not None:
            flow.discard()

    # ---- requests that can't be read -----------------------------------------

    def _reject(self, status: int, text: bytes = b"") -> None:
        self._parser = None
        request, self._request = self._request, None
        if request is not None:
            self._registry.host.client_disconnected(request)
        if self._flow is not None:
            # A part of a response has been sent: an error would be taken for more of it.
            self.abort_response()
            return
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        head = TEXT_HEAD % (status, REASONS[status], len(text)) if text else EMPTY_HEADS[status]
        transport.write(head + CLOSE_END + text)
        self._end()

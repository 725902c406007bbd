"""Queues the pipelined requests of a connection, and starts them one at a time."""

from __future__ import annotations

import socket
import struct
import time
from abc import abstractmethod
from collections import deque
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.memory_account import REQUEST_BYTES, Holder
from loadbalancer.errors import BadRequestError
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.downstream.request import IncomingRequest
from loadbalancer.proxy.downstream.request_parser import RequestParser
from loadbalancer.proxy.downstream.states import (
    AWAITING_REQUEST,
    CONTENT,
    HEAD,
    NO_REQUEST,
    OPENING,
    UPLOAD,
    ConnectionState,
)
from loadbalancer.proxy.flow_control import Flow

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Request

MAX_QUEUED = 8  # requests queued on one connection behind the open one
TCP_INFO_BYTES = 56  # of struct tcp_info, up to and including tcpi_last_data_recv
LAST_DATA_RECEIVED = struct.Struct("=52xI")  # tcpi_last_data_recv, in milliseconds


class RequestQueue(RequestParser):
    """The part of a client's connection that processes its requests in order.

    One request is open at a time. Up to MAX_QUEUED requests that are complete wait behind it. A
    further one is rejected and the connection closed: one connection must not fill the process's
    queues.

    A request is started once it is complete and all input received together with it has been
    parsed, as invalid input there closes the connection. A request with long content is started
    earlier, and its content is forwarded while it is read.
    """

    __slots__ = ("_queued", "_request", "_state", "_write_paused")

    def __init__(self, registry: ConnectionRegistry, sock: socket.socket) -> None:
        super().__init__(registry, sock)
        self._state: ConnectionState = OPENING
        self._queued: deque[IncomingRequest] = deque()
        self._request: Request | None = None  # the open one
        # Whether the client's kernel accepts no more of what was written; no request begins then.
        self._write_paused = False

    @abstractmethod
    def has_half_closed(self) -> bool:
        """Whether the client has shut down its sending."""

    @abstractmethod
    def _close_half_closed(self) -> None:
        """Drop what is queued, and close once everything written has been sent."""

    @abstractmethod
    def _start_request(self, incoming: IncomingRequest) -> None:
        """Start a request that is complete, or whose content is forwarded while it is read."""

    def on_message_begin(self) -> None:
        """Called at the first bytes of a request."""
        if len(self._queued) + (self._request is not None) > MAX_QUEUED:
            raise BadRequestError(400)
        self._incoming = IncomingRequest()
        self._read_state = HEAD
        # The request timeout starts here: a client may connect long before it needs to.
        self._last_active_sweep = self._registry.sweeps
        self._leave_waiting_lists()

    def on_message_complete(self) -> None:
        """Called at the end of a request."""
        incoming = self._incoming
        assert incoming is not None
        self._incoming = None
        self._read_state = NO_REQUEST
        host = self._registry.host
        host.budget.body_finished(self)
        # Time for which the request lay in the kernel while the event loop was busy counts against
        # the request's timeout.
        info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (unread_ms,) = LAST_DATA_RECEIVED.unpack(info)
        incoming.received_at = time.monotonic_ns() - unread_ms * MS
        if incoming.flow is not None:
            self._forward_content(incoming)
            request = self._request
            if request is not None and request.flow is incoming.flow:
                host.on_body_received(request, incoming.received_at)
            incoming.flow.finish()
            return
        incoming.chunked = False  # the request is complete, so its length is known
        incoming.length = incoming.size
        self._build_forwarded_head(incoming)
        self._queued.append(incoming)

    def _start_queued(self) -> None:
        while self._state is AWAITING_REQUEST and self._queued and not self._write_paused:
            self._start_request(self._queued.popleft())
        incoming = self._incoming
        if (
            incoming is not None
            and self._state is AWAITING_REQUEST
            and not self._write_paused
            and self._read_state is CONTENT
            and self._is_long(incoming)
        ):
            self._start_upload(incoming)

    def _is_long(self, incoming: IncomingRequest) -> bool:
        return self._registry.host.budget.is_long_request(incoming.length, incoming.size)

    def _start_next(self) -> None:
        """Start the next queued request after a response, or resume reading if there is none.

        The client may have left while the request waited behind the open one. The event loop does
        not report that while reading is paused, so the socket is asked.
        """
        if self._state is not AWAITING_REQUEST or self._write_paused:
            return
        if (self._queued or self._incoming is not None) and self.has_half_closed():
            self._close_half_closed()
            return
        self._start_queued()
        if self._state is AWAITING_REQUEST and not self._write_paused:
            self.resume_flow()
            if not self._queued and self._incoming is None:
                self._registry.idle[self] = None

    def _start_upload(self, incoming: IncomingRequest) -> None:
        """Start a request whose content is too long to be buffered, and forward the content."""
        budget = self._registry.host.budget
        budget.body_finished(self)
        budget.release(Holder.CONTENT, incoming.size)
        flow = incoming.flow = Flow(budget, self)
        self._read_state = UPLOAD
        chunks, incoming.body = incoming.body, []
        self.resume_flow()
        for chunk in chunks:
            flow.push(chunk)
        incoming.received_at = time.monotonic_ns()
        self._build_forwarded_head(incoming)
        self._start_request(incoming)

    def _build_forwarded_head(self, incoming: IncomingRequest) -> None:
        """Build the start of each attempt's head, up to the value of its timeout."""
        if not incoming.is_readiness_check:
            if incoming.chunked:
                incoming.lines += b"Transfer-Encoding: chunked\r\n"
            elif incoming.method == b"POST" or incoming.length:
                incoming.lines += b"Content-Length: %d\r\n" % incoming.length
            incoming.head = b"%s %s HTTP/1.1\r\n%sX-Timeout-Ms: " % (
                incoming.method,
                incoming.url,
                incoming.lines,
            )
        incoming.lines.clear()

    def _response_is_next(self) -> bool:
        return self._request is None and not self._queued

    # For uploads, the connection is the source of their flow.

    def _limit_reading(self) -> None:
        if self._read_state is UPLOAD:
            return
        if self._request is not None or self._write_paused:
            if self._has_read_ahead():
                self.pause_flow()  # until the open request's response has been taken
        elif self._read_state is CONTENT and self._registry.host.budget.pause_if_needed(self):
            self.pause_flow()

    def _has_read_ahead(self) -> bool:
        """Whether enough has been read of the requests behind the open one."""
        if self._write_paused and self._queued:
            return True  # before more are read than may be queued
        incoming = self._incoming
        waiting = sum(q.size + q.head_size + REQUEST_BYTES for q in self._queued)
        if incoming is not None and self._read_state is CONTENT:
            if self._is_long(incoming):
                return True
            waiting += incoming.size
        return not self._registry.host.budget.may_read_ahead(waiting)

    def pause_flow(self) -> None:
        """Pause reading until `resume_flow`."""
        if self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
            self._registry.watch_paused(self)

    def resume_flow(self) -> None:
        """Resume reading; the pause does not count against the client's timeouts."""
        self._last_active_sweep = self._registry.sweeps
        self.resume_body()

    def resume_body(self) -> None:
        """Resume reading, as the buffer budget has capacity again.

        The pause counts against the client's timeouts. Otherwise hundreds of clients that stop in
        the middle of a body would be read in turns, and each would be owed its error for as long
        as the others before it took.
        """
        self._registry.paused.pop(self, None)
        self._is_paused = False
        if self._transport is not None:
            self._transport.resume_reading()

    def _leave_waiting_lists(self) -> None:
        """Remove the connection from the registry's silent, idle and paused connections."""
        self._registry.silent.pop(self, None)
        self._registry.idle.pop(self, None)
        self._registry.paused.pop(self, None)

    def _drop_pending(self) -> None:
        """Drop queued and incomplete requests, and release their share of the buffer budget."""
        self._registry.host.budget.body_finished(self)
        self._count_head(0)
        if self._incoming is not None:
            self._release_content(self._incoming)
        for incoming in self._queued:
            self._release_content(incoming)
        self._incoming = None
        self._read_state = NO_REQUEST
        self._queued.clear()

    def _release_content(self, incoming: IncomingRequest) -> None:
        budget = self._registry.host.budget
        head_size, incoming.head_size = incoming.head_size, 0
        budget.release_request(head_size)
        if incoming.flow is not None:
            incoming.flow.discard()
        else:
            budget.release(Holder.CONTENT, incoming.size)

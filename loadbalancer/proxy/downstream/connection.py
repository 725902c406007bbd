"""A client's connection: its lifecycle from accept to close, and its timeouts."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from typing import TYPE_CHECKING, cast

import httptools

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.memory_account import CLIENT_CONNECTION_BYTES
from loadbalancer.proxy.downstream.registry import ConnectionRegistry, Lingering
from loadbalancer.proxy.downstream.request import IncomingRequest
from loadbalancer.proxy.downstream.response_writer import ResponseWriter
from loadbalancer.proxy.downstream.responses import EMPTY_HEADS, READY_HEAD
from loadbalancer.proxy.downstream.socket_state import (
    has_unread_input,
    peer_has_half_closed,
)
from loadbalancer.proxy.downstream.states import (
    AWAITING_REQUEST,
    AWAITING_RESPONSE,
    CLOSED,
    CLOSING,
    LINGERING,
    STREAMING,
    UPLOAD,
)
from loadbalancer.proxy.flow_control import Flow
from loadbalancer.proxy.sockets import unacknowledged_bytes

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Request

SWEEP_S = 0.25  # seconds between two sweeps, each of which checks all connections for timeouts
# Timeouts are counted in sweeps, not in seconds: if this process was suspended for a while, the
# time that it missed must not count as inactivity of its clients.
FIRST_BYTE_TIMEOUT_SWEEPS = 9  # until the first byte of a new connection
REQUEST_TIMEOUT_SWEEPS = 10  # from a request's first byte until it is complete
BYTES_PER_EXTRA_SWEEP = 8 << 10  # per sweep by which a request's content extends its timeout
WRITE_TIMEOUT_SWEEPS = 40  # without the client accepting more of a response
LINGER_TIMEOUT_SWEEPS = 4  # for the client to close after this process has shut down its side


class ClientConnection(ResponseWriter):
    """A client's connection.

    This class opens, closes and times out the connection. Its base classes parse requests
    (`RequestParser`), process them one at a time (`RequestQueue`) and write responses
    (`ResponseWriter`). The module `states` documents the state transitions.
    """

    __slots__ = ("_last_write_progress", "_upload_backlog", "_write_backlog")

    def __init__(self, registry: ConnectionRegistry, sock: socket.socket) -> None:
        super().__init__(registry, sock)
        # The bytes of a response still buffered in this process and unacknowledged in the kernel,
        # and the sweep at which these two numbers last changed.
        self._write_backlog = (0, 0)
        self._last_write_progress = 0
        # The bytes of an upload buffered in this process, and on their way to the backend.
        self._upload_backlog = (0, 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once it has set up the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)
        # With a limit of 0 the event loop reports at once what the client's kernel doesn't accept.
        self._transport.set_write_buffer_limits(high=0)
        self._state = AWAITING_REQUEST
        self._registry.connections.add(self)
        self._registry.silent[self] = None

    def _start_request(self, incoming: IncomingRequest) -> None:
        self._keep_alive = incoming.keep_alive
        self._http10 = incoming.http10
        registry = self._registry
        host = registry.host
        if incoming.is_readiness_check:
            ready = registry.lifecycle.answer_readiness_check(time.monotonic_ns())
            self._release_content(incoming)
            self._write_response(READY_HEAD if ready else EMPTY_HEADS[503])
            return
        now = time.monotonic_ns()
        if host.request_ids.in_use(incoming.client_request_id, now):
            self._release_content(incoming)
            self._reject(409)
            return
        waited_ns = now - incoming.received_at
        request = host.admit_request(self, incoming, waited_ns)
        if request is None:
            self._release_content(incoming)
            self.respond_empty(503, 0)
            return
        incoming.head_size = 0  # released with its request from here on
        if not request.ended:
            # A request that has already ended was answered within admit_request.
            self._request = request
            self._state = AWAITING_RESPONSE

    def _close_gracefully(self) -> None:
        """Shut down sending, discard input, and close once the client has closed or timed out.

        Closing a socket with unread input, even input that arrived a moment ago, makes the kernel
        reset the connection. The client might see the reset before it has read the response, and
        the response would be lost.
        """
        transport = self._transport
        assert transport is not None
        registry = self._registry
        was_silent = self in registry.silent
        self._leave_waiting_lists()
        incoming = self._incoming
        if incoming is not None and incoming.flow is not None:
            self._expect_rest(incoming)
        self._drop_pending()
        self._parser = None
        if self._half_closed:
            self._state = CLOSING
            transport.close()
            return
        self._state = LINGERING
        registry.lingering[self] = Lingering(registry.host.loop.time(), was_silent)
        self._last_active_sweep = registry.sweeps
        transport.write_eof()
        self._is_paused = False
        transport.resume_reading()

    def _close_half_closed(self) -> None:
        """Drop what is queued, and close once everything written has been sent."""
        self._half_closed = True
        self._close_gracefully()

    def close(self) -> None:
        """Close the connection gracefully, unless a request is open."""
        if self._state is AWAITING_REQUEST:
            self._close_gracefully()

    def abort_lingering(self) -> None:
        """Abort without waiting for the client to close, if its last response has been flushed."""
        transport = self._transport
        if transport is not None and not transport.get_write_buffer_size():
            self._abort(transport)

    def _abort(self, transport: asyncio.Transport) -> None:
        self.reset_if_incomplete()
        self._state = CLOSING
        transport.abort()

    def eof_received(self) -> bool:
        """The client has shut down its sending; returns True to keep the connection for a response.

        The client may have closed, or may still read its response: the two can't be told apart.
        The response to the open request is still delivered, but no further request is started:
        those queued behind the open one are dropped.
        """
        self._half_closed = True
        if self._read_state is not UPLOAD:  # an upload that is cut off can never complete
            self._drop_pending()
            if self._request is not None:
                self._registry.host.client_half_closed(self._request)
            if self._state is AWAITING_RESPONSE or self._state is STREAMING:
                return True
        if self._state is not LINGERING:
            self._state = CLOSING
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed, by either side."""
        del exc  # the cleanup is the same for every cause
        registry = self._registry
        self._state = CLOSED
        self._transport = None
        self._parser = None  # breaks a reference cycle that only the garbage collector would free
        registry.connections.discard(self)
        registry.lingering.pop(self, None)
        self._leave_waiting_lists()
        request, self._request = self._request, None
        if request is not None:
            registry.host.client_disconnected(request)
        self._drop_flow()
        self._drop_pending()
        self._count_unsent(0)
        registry.host.budget.add_connections(-CLIENT_CONNECTION_BYTES)
        registry.host.clients -= 1
        registry.host.on_descriptor_freed()

    def can_close(self) -> bool:
        """Whether closing loses nothing: no open request, unread input or unsent output.

        The socket is checked too, or a request that has arrived but has not been read would be
        lost.
        """
        return (
            self._state is AWAITING_REQUEST
            and self._has_nothing_pending()
            and not has_unread_input(self._sock)
        )

    def is_drained(self) -> bool:
        """Whether the process may exit without waiting for this connection."""
        return self._state is not LINGERING and self._has_nothing_pending()

    def _has_nothing_pending(self) -> bool:
        """Whether no request is open, queued or partly read, and all responses are flushed."""
        transport = self._transport
        return transport is None or (
            self._request is None
            and self._incoming is None
            and not self._queued
            and not transport.get_write_buffer_size()
        )

    def has_half_closed(self) -> bool:
        """Whether the client has shut down its sending, as the socket itself reports it."""
        return self._half_closed or self._transport is None or peer_has_half_closed(self._sock)

    def check_half_close(self) -> None:
        """Report a half-close, which the event loop does not report while reading is paused."""
        if self._request is not None and not self._half_closed and peer_has_half_closed(self._sock):
            self._registry.host.client_half_closed(self._request)

    def idle_sweeps(self) -> int:
        """The number of sweeps since the connection was accepted or last active."""
        return self._registry.sweeps - self._last_active_sweep

    def sweep(self, sweep: int) -> None:
        """End the connection if the client has timed out, either sending or receiving."""
        transport = self._transport
        if transport is None:
            return
        unsent = transport.get_write_buffer_size()
        if self._state is LINGERING:
            if not unsent and self.idle_sweeps() > LINGER_TIMEOUT_SWEEPS:
                self._abort(transport)
                return
        elif self._close_if_request_timed_out():
            return
        if unsent:
            self._check_write_progress(transport, unsent, sweep)
        else:
            self._last_write_progress = sweep

    def _check_write_progress(self, transport: asyncio.Transport, unsent: int, sweep: int) -> None:
        """Abort if the client has accepted nothing within the write timeout.

        Without this, a client that never reads would hold a descriptor and a buffer indefinitely.
        """
        progress = (unsent, unacknowledged_bytes(self._sock))
        if progress != self._write_backlog:
            self._write_backlog = progress
            self._last_write_progress = sweep
        elif sweep - self._last_write_progress > WRITE_TIMEOUT_SWEEPS:
            self._abort(transport)

    def _close_if_request_timed_out(self) -> bool:
        """Close if the request does not complete, or never begins, in time; True if closed.

        Without this, requests that never complete, and clients that connect and send nothing,
        would hold descriptors until none is left. The drawback is that a client whose link is
        slower than 32 kB/s can't send larger requests.
        """
        incoming = self._incoming
        if incoming is None:
            return self._close_if_first_byte_timed_out()
        flow = incoming.flow
        if flow is not None and flow.paused:
            # Reading is paused because the backend accepts no more: the client is not to blame.
            if self._request is not None:
                self._check_upload_progress(self._request, flow)
            return False
        if self._has_waited_for_memory(incoming):
            host = self._registry.host
            host.budget.rejected += 1
            self._reject(503)
            return True
        if self.idle_sweeps() <= REQUEST_TIMEOUT_SWEEPS + incoming.size // BYTES_PER_EXTRA_SWEEP:
            return False
        if self._request is not None and flow is None:
            return False  # reading may be paused until the open request has been answered
        self._reject(408)
        return True

    def _has_waited_for_memory(self, incoming: IncomingRequest) -> bool:
        """Whether content still waits for memory although the request's time is over.

        Its client may have written its last byte long ago: the rest is in the kernel's buffer.
        """
        if self not in self._registry.host.budget.paused:
            return False
        return self.idle_sweeps() >= math.ceil(incoming.timeout / SECOND / SWEEP_S)

    def _check_upload_progress(self, request: Request, flow: Flow) -> None:
        """Give up an upload once its backend has accepted nothing for the request's timeout.

        The client may have written its last byte long ago: the rest is in the kernels' buffers. The
        time that it waits for its answer counts from then.
        """
        host = self._registry.host
        backlog = (flow.buffered, host.upload_backlog(request))
        if backlog != self._upload_backlog:
            self._upload_backlog = backlog
            self._last_active_sweep = self._registry.sweeps
        elif self.idle_sweeps() >= math.ceil(request.timeout / SECOND / SWEEP_S):
            host.upload_timed_out(request)

    def _close_if_first_byte_timed_out(self) -> bool:
        late = self in self._registry.silent and self.idle_sweeps() > FIRST_BYTE_TIMEOUT_SWEEPS
        if not late or not self.can_close():
            return False
        self.close()
        return True

"""One client's connection: from its acceptance to its end, and which clients are given up."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import cast

import httptools

from loadbalancer.proxy.downstream.registry import ConnectionRegistry, Lingering
from loadbalancer.proxy.downstream.request import IncomingRequest
from loadbalancer.proxy.downstream.response_writer import ResponseWriter
from loadbalancer.proxy.downstream.responses import EMPTY_HEADS, READY_HEAD
from loadbalancer.proxy.downstream.socket_state import (
    has_unread,
    sending_has_ended,
    unacknowledged_bytes,
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
from loadbalancer.proxy.flow_control import MAX_MESSAGE_BYTES

SWEEP_S = 0.25  # from one sweep over all connections to the next, in seconds
# Timeouts are in sweeps and not in seconds: a process that was stopped for a while must not
# take its own absence for its clients'.
FIRST_BYTE_TIMEOUT_SWEEPS = 9  # for the first byte on a connection
REQUEST_TIMEOUT_SWEEPS = 10  # for a complete request, from its first byte on ...
BYTES_PER_SWEEP = 8 << 10  # ... and one sweep more for each so many bytes of its content
UPLOAD_TIMEOUT_SWEEPS = 20  # for a backend to accept more of an upload
WRITE_TIMEOUT_SWEEPS = 40  # for a client to accept more of a response
LINGER_TIMEOUT_SWEEPS = 4  # for a client to close after our end


class ClientConnection(ResponseWriter):
    """One client's connection.

    This part opens and ends it; its bases read requests, take them in turn and write
    responses. `states` shows its life.
    """

    __slots__ = ("_last_progress", "_unsent")

    def __init__(self, registry: ConnectionRegistry, sock: socket.socket) -> None:
        super().__init__(registry, sock)
        # While bytes of a response wait: how many in this process and in the kernel, and
        # the sweep at which that last changed.
        self._unsent = (0, 0)
        self._last_progress = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The event loop has taken the connection over."""
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)
        self._state = AWAITING_REQUEST
        self._registry.connections.add(self)
        self._registry.fresh[self] = None

    def _begin(self, incoming: IncomingRequest) -> None:
        self._keep_alive = incoming.keep_alive
        self._http10 = incoming.http10
        registry = self._registry
        host = registry.host
        if incoming.readiness_check:
            ready = registry.lifecycle.answer_readiness_check(time.monotonic_ns())
            self._write_response(READY_HEAD if ready else EMPTY_HEADS[503])
            return
        label = incoming.label
        if label in host.open_request_ids or label in host.other_process_request_ids:
            # Failure: with two open requests under one id, a backend that drops repeats by
            # the id answers one of them with the other's response.
            self._release_content(incoming)
            self._reject(409)
            return
        waited_ns = time.monotonic_ns() - incoming.received
        request = host.request(self, incoming, waited_ns)
        if request is None:
            self._release_content(incoming)
            self.respond_empty(503, 0)
        elif not request.ended:
            # Otherwise it has been answered within the call.
            self._request = request
            self._state = AWAITING_RESPONSE

    # ---- the end, begun here -------------------------------------------------

    def _end(self) -> None:
        """End our sending, discard what comes, and close once the client has, or after a while.

        Failure: closing at once resets the connection where bytes lie unread, also such as
        have only just come. The reset can reach the client before the response does, which
        then is lost.
        """
        transport = self._transport
        assert transport is not None
        registry = self._registry
        was_silent = self in registry.fresh
        self._leave_idle()
        incoming = self._incoming
        if incoming is not None and incoming.flow is not None:
            self._discarding = (incoming.length or MAX_MESSAGE_BYTES) - incoming.size
        self._drop_unbegun()
        self._parser = None
        if self._half_closed:
            self._state = CLOSING
            transport.close()
            return
        self._state = LINGERING
        registry.lingering[self] = Lingering(registry.host.loop.time(), was_silent)
        self._active_sweep = registry.sweeps
        transport.write_eof()
        transport.resume_reading()

    def close(self) -> None:
        """End the connection, on which nothing is under way."""
        if self._state is AWAITING_REQUEST:
            self._end()

    def abort_lingering(self) -> None:
        """Close without waiting for the client, once its last response has left."""
        transport = self._transport
        if transport is not None and not transport.get_write_buffer_size():
            self._abort(transport)

    def _abort(self, transport: asyncio.Transport) -> None:
        self.reset_if_incomplete()
        self._state = CLOSING
        transport.abort()

    # ---- the end, as the event loop reports it ---------------------------------

    def eof_received(self) -> bool:
        """The client has ended its sending; True where it still gets a response.

        It may have closed, or wait for its response: the two look the same. What has been
        sent to a backend for it is waited for, and nothing begins any more: what waits
        behind the open request is dropped.
        """
        self._half_closed = True
        if self._read_state is not UPLOAD:  # content that is cut off never completes
            self._drop_unbegun()
            if self._request is not None:
                self._registry.host.client_half_closed(self._request)
            if self._state is AWAITING_RESPONSE or self._state is STREAMING:
                return True
        if self._state is not LINGERING:
            self._state = CLOSING
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, on this side or the client's."""
        del exc  # whatever the reason, the same follows
        registry = self._registry
        self._state = CLOSED
        self._transport = None
        self._parser = None  # it refers back to this object: a ring that only the collector ends
        registry.connections.discard(self)
        registry.lingering.pop(self, None)
        self._leave_idle()
        request, self._request = self._request, None
        if request is not None:
            registry.host.client_disconnected(request)
        self._drop_flow()
        self._drop_unbegun()
        registry.host.clients -= 1
        registry.host.on_descriptor_freed()

    # ---- what the registry and the host ask --------------------------------------

    def can_close(self) -> bool:
        """Whether it can be closed without harm: nothing is under way in either direction.

        Failure: a request that has arrived and has not been read would be lost.
        """
        return self._state is AWAITING_REQUEST and self._is_quiet() and not has_unread(self._sock)

    def finished(self) -> bool:
        """Whether a stop of the process need not wait for it."""
        return self._state is not LINGERING and self._is_quiet()

    def _is_quiet(self) -> bool:
        """Whether no request is open or read in part, and every response has left."""
        transport = self._transport
        return transport is None or (
            self._request is None
            and self._incoming is None
            and not self._queued
            and not transport.get_write_buffer_size()
        )

    def has_half_closed(self) -> bool:
        """Whether the client has ended its sending, read from the socket itself."""
        return self._half_closed or self._transport is None or sending_has_ended(self._sock)

    def check_half_close(self) -> None:
        """Report the client's end of sending, which the loop doesn't while reading is paused."""
        if self._request is not None and not self._half_closed and sending_has_ended(self._sock):
            self._registry.host.client_half_closed(self._request)

    def idle_sweeps(self) -> int:
        """Sweeps since it was accepted or last active."""
        return self._registry.sweeps - self._active_sweep

    # ---- timeouts ------------------------------------------------------------------

    def sweep(self, sweep: int) -> None:
        """Give up a client that has stopped sending or accepting bytes."""
        transport = self._transport
        if transport is None:
            return
        unsent = transport.get_write_buffer_size()
        if self._state is LINGERING:
            if not unsent and self.idle_sweeps() > LINGER_TIMEOUT_SWEEPS:
                self._abort(transport)
                return
        elif self._end_if_reading_timed_out():
            return
        if unsent:
            self._check_write_progress(transport, unsent, sweep)
        else:
            self._last_progress = sweep

    def _check_write_progress(self, transport: asyncio.Transport, unsent: int, sweep: int) -> None:
        """Abort where the client accepts nothing.

        Failure: a client that reads nothing holds a descriptor and a buffer without end.
        """
        progress = (unsent, unacknowledged_bytes(self._sock))
        if progress != self._unsent:
            self._unsent = progress
            self._last_progress = sweep
        elif sweep - self._last_progress > WRITE_TIMEOUT_SWEEPS:
            self._abort(transport)

    def _end_if_reading_timed_out(self) -> bool:
        """End a connection whose request does not complete, or never begins; True if ended.

        Failure: heads and content without an end, and clients that connect and send
        nothing, hold descriptors until there are none. Harm: a client behind a line under
        32 kB/s can't send larger requests.
        """
        incoming = self._incoming
        if incoming is None:
            return self._end_if_first_byte_timed_out()
        flow = incoming.flow
        if flow is not None and flow.paused:
            # Reading is paused, as the backend accepts no more: that is not the client's time.
            if self.idle_sweeps() > UPLOAD_TIMEOUT_SWEEPS and self._request is not None:
                self._registry.host.upload_stalled(self._request)
            return False
        if self.idle_sweeps() <= REQUEST_TIMEOUT_SWEEPS + incoming.size // BYTES_PER_SWEEP:
            return False
        if self._request is not None and flow is None:
            return False  # reading it may be paused until the open request is answered
        self._reject(408)
        return True

    def _end_if_first_byte_timed_out(self) -> bool:
        late = self in self._registry.fresh and self.idle_sweeps() > FIRST_BYTE_TIMEOUT_SWEEPS
        if not late or not self.can_close():
            return False
        self.close()
        return True

"""Writes requests to a backend connection and tracks whether one may have been received."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.connection_reuse import NEVER, last_byte_delay, settling_delay
from loadbalancer.core.memory_account import Holder
from loadbalancer.proxy.bounded_reads import BoundedReader
from loadbalancer.proxy.upstream.states import (
    AWAITING_RESPONSE,
    CONNECTING,
    SENDING,
    ConnectionState,
)

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.proxy.exchange import Attempt
    from loadbalancer.proxy.flow_control import Flow
    from loadbalancer.proxy.ports import BackendHost

# The event loop's timers count whole milliseconds and may fire early; a shorter one fires at once.
MIN_TIMER_S = 0.001


class RequestWriter(BoundedReader, ABC):
    """The part of a connection that sends requests.

    `request_written` decides whether the request may be sent again. It is False while at least
    the last byte of the request has certainly not left this process, so that the backend cannot
    have begun to execute it. It remains valid after the connection is closed.
    """

    __slots__ = (
        "_delays_last_byte", "_pieces", "_state", "_timer", "_unsent", "_upload", "_write_paused",
        "address", "attempt", "host", "idle_since", "request_written", "transport",
    )  # fmt: skip

    def __init__(self, host: BackendHost, address: Address) -> None:
        self.host = host
        self.address = address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.request_written = False
        # When its last response was complete, set by the pool; monotonic clock, nanoseconds.
        self.idle_since = NEVER
        self._state: ConnectionState = CONNECTING
        # The timer of the current state: for the connect timeout, the delay of the last byte or
        # the timeout of the response's next bytes.
        self._timer: asyncio.TimerHandle | None = None
        self._pieces: Sequence[bytes] = ()  # of a request, that the transport does not have yet
        self._delays_last_byte = False
        self._write_paused = False
        self._unsent = 0  # bytes of a request buffered whole that the kernel does not accept
        self._upload: Flow | None = None  # a long request body, forwarded while it is received

    @abstractmethod
    def abandon(self) -> bool:
        """Close without settling the attempt.

        Returns False if the request's last byte was certainly never written.
        """

    @abstractmethod
    def unaccepted_bytes(self) -> int:
        """The bytes written that the backend's kernel has not accepted."""

    @abstractmethod
    def is_usable(self) -> bool:
        """Whether the kernel has received neither a close nor any bytes that were not read."""

    @abstractmethod
    def _reroute_attempt(self) -> None:
        """Close, and send the attempt, whose last byte is withheld, on another connection."""

    @property
    def _awaits_no_response(self) -> bool:
        """Whether bytes that arrive now can't be the response to the attempt.

        No backend executes a request without its last byte. On a new connection a backend may
        reject the request before: nothing of an earlier one can have been left there.
        """
        return self._delays_last_byte and self.idle_since != NEVER

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write_request(self) -> None:
        """Write the attempt's request, but withhold its last byte as `connection_reuse` says."""
        attempt = self.attempt
        assert attempt is not None
        self._state = SENDING
        attempt.connection = self
        attempt.connected = True
        request = attempt.request
        now = time.monotonic_ns()
        if request.flow is not None:
            self._upload_when_settled(request.flow, settling_delay(now, self.idle_since))
            return
        delay_ns = last_byte_delay(now, self.idle_since, request.unsafe)
        message = b"".join((self._head(attempt, now + delay_ns), *request.body))
        if not delay_ns:
            self._pieces = (message,)
            self._write_pieces()
            return
        self._pieces = (message[:-1], message[-1:])
        self._delays_last_byte = True
        self._write_pieces()
        if self._state is SENDING:
            self._start_delay(delay_ns, self._write_pieces)

    def _head(self, attempt: Attempt, now: int) -> bytes:
        """The request's head, with the time that is left to the attempt at `now`."""
        remaining = attempt.sent_at + attempt.timeout - now
        return b"%s%d\r\n\r\n" % (attempt.request.head, max(remaining // MS, 1))

    def _start_delay(self, delay_ns: int, write: Callable[[], None]) -> None:
        """Call `write` after a delay, or later if the connection has not settled by then."""
        self._timer = self.host.loop.call_later(delay_ns / SECOND, self._end_delay, write)

    def _end_delay(self, write: Callable[[], None]) -> None:
        """Call `write`, or send the attempt on another connection if bytes or the end arrived.

        The socket is read directly: after a stall of this process the timer may fire before the
        event loop has reported the bytes that arrived meanwhile.
        """
        self._timer = None
        if settling_delay(time.monotonic_ns(), self.idle_since):
            self._timer = self.host.loop.call_later(MIN_TIMER_S, self._end_delay, write)
        elif self._awaits_no_response and not self.is_usable():
            self._reroute_attempt()
        else:
            self._delays_last_byte = False
            write()

    def _write_pieces(self) -> None:
        """Write the pieces in order; stops while the kernel accepts no more bytes."""
        transport = self.transport
        assert transport is not None
        while self._pieces and not self._write_paused:
            if self._delays_last_byte and len(self._pieces) == 1:
                return
            piece, *rest = self._pieces
            transport.write(piece)
            if self._write_paused:
                self._count_unsent(len(piece))  # the transport keeps all of it until it is sent
            if transport.is_closing():
                # The write failed and the kernel accepted nothing of this piece, so the last byte
                # never left this process. connection_lost settles the attempt.
                return
            # What is written is dropped at once. Kept until the last byte may follow, it was a
            # second copy of each request in flight that nothing counted.
            self._pieces = rest
        if not self._pieces:
            # A part of the last piece may still be in the transport's buffer, but from here on
            # it is unknown how much of it has left this process.
            self.request_written = True
            self._state = AWAITING_RESPONSE

    def pause_writing(self) -> None:
        """Stop writing: the kernel accepts no more bytes for now."""
        self._write_paused = True
        if self._upload is not None:
            self._upload.block()
        elif self.transport is not None:
            self._count_unsent(self.transport.get_write_buffer_size())

    def _count_unsent(self, size: int) -> None:
        """Count the bytes in the transport's buffer that no flow counts; 0 for none."""
        self.host.budget.reserve(Holder.UNSENT, size - self._unsent)
        self._unsent = size

    def resume_writing(self) -> None:
        """Continue writing: the kernel accepts bytes again."""
        self._write_paused = False
        self._count_unsent(0)
        if self._upload is not None:
            self._upload.unblock()
        elif self._pieces:
            self._write_pieces()

    # For long bodies this connection is the sink of the flow.

    def _upload_when_settled(self, flow: Flow, delay_ns: int) -> None:
        """Begin to forward a long body once the connection has settled.

        Nothing is written before, as the body's pieces are written as they come.
        """
        if delay_ns:
            self._delays_last_byte = True
            self._start_delay(delay_ns, partial(self._begin_upload, flow))
        else:
            self._begin_upload(flow)

    def _begin_upload(self, flow: Flow) -> None:
        assert self.transport is not None
        assert self.attempt is not None
        self.transport.write(self._head(self.attempt, time.monotonic_ns()))
        self._upload = flow
        self._count_unsent(0)  # from here on the flow counts what is not sent
        flow.attach(self, self._write_paused)

    def flow_write(self, data: bytes) -> None:
        """Write the next bytes of the body, as a chunk if its length is unknown."""
        attempt, transport = self.attempt, self.transport
        if attempt is None or transport is None:
            return
        flow = attempt.request.flow
        if flow is not None and not flow.forwarded:
            self.host.on_body_started(attempt)
        if attempt.request.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        transport.write(data)

    def flow_end(self) -> None:
        """Finish the request: all of its body has been passed to the transport."""
        attempt, transport = self.attempt, self.transport
        self._upload = None
        if attempt is None or transport is None or transport.is_closing():
            return
        request = attempt.request
        if request.chunked:
            transport.write(b"0\r\n\r\n")
        self.request_written = True
        self._state = AWAITING_RESPONSE
        self.host.on_body_sent(attempt)

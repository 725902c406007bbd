"""Writes requests to a backend connection and tracks whether one may have been received."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import MS
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

# How long the last byte of an unsafe request is withheld; see `_write_request`.
LAST_BYTE_DELAY_S = 0.002


class RequestWriter(asyncio.Protocol, ABC):
    """The part of a connection that sends requests.

    `request_written` decides whether the request may be sent again. It is False while at least
    the last byte of the request has certainly not left this process, so that the backend cannot
    have begun to execute it. It remains valid after the connection is closed.
    """

    __slots__ = (
        "_delays_last_byte", "_next_piece", "_pieces", "_state", "_timer", "_upload",
        "_write_paused", "address", "attempt", "host", "request_written", "transport",
    )  # fmt: skip

    def __init__(self, host: BackendHost, address: Address) -> None:
        self.host = host
        self.address = address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.request_written = False
        self._state: ConnectionState = CONNECTING
        # The timer of the current state: for the connect timeout, the delay of the last byte or
        # the timeout of the response's next bytes.
        self._timer: asyncio.TimerHandle | None = None
        self._pieces: Sequence[bytes] = ()
        self._next_piece = 0
        self._delays_last_byte = False
        self._write_paused = False
        self._upload: Flow | None = None  # a long request body, forwarded while it is received

    @abstractmethod
    def abandon(self) -> bool:
        """Close without settling the attempt.

        Returns False if the request's last byte was certainly never written.
        """

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write_request(self) -> None:
        attempt = self.attempt
        assert attempt is not None
        self._state = SENDING
        attempt.connection = self
        attempt.connected = True
        request = attempt.request
        self._next_piece = 0
        remaining = attempt.sent_at + attempt.timeout - time.monotonic_ns()
        head = b"%s%d\r\n\r\n" % (request.head, max(remaining // MS, 1))
        if request.flow is not None:
            self._begin_upload(request.flow, head)
            return
        message = b"".join((head, *request.body))
        if not request.unsafe:
            self._pieces = (message,)
            self._write_pieces()
            return
        # The backend may have closed this connection, or may reset it when the request arrives,
        # and this process would notice only after the whole request is written. An unsafe
        # request could then not be retried, and its client would get a 502 although it was never
        # executed. So the last byte is delayed until a close or reset would have arrived. No
        # backend executes a request without its last byte, so it can still be sent to another.
        self._delays_last_byte = True
        self._pieces = (message[:-1], message[-1:])
        self._write_pieces()
        if self._state is SENDING:
            self._timer = self.host.loop.call_later(LAST_BYTE_DELAY_S, self._write_last_byte)

    def _write_last_byte(self) -> None:
        self._timer = None
        self._delays_last_byte = False
        self._write_pieces()

    def _write_pieces(self) -> None:
        """Write the pieces in order; stops while the kernel accepts no more bytes."""
        transport = self.transport
        assert transport is not None
        pieces = self._pieces
        last = len(pieces) - 1
        while self._next_piece <= last and not self._write_paused:
            if self._delays_last_byte and self._next_piece == last:
                return
            transport.write(pieces[self._next_piece])
            if transport.is_closing():
                # The write failed and the kernel accepted nothing of this piece, so the last byte
                # never left this process. connection_lost settles the attempt.
                return
            self._next_piece += 1
        if self._next_piece > last:
            # A part of the last piece may still be in the transport's buffer, but from here on
            # it is unknown how much of it has left this process.
            self.request_written = True
            self._state = AWAITING_RESPONSE
            self._pieces = ()

    def pause_writing(self) -> None:
        """Stop writing: the kernel accepts no more bytes for now."""
        self._write_paused = True
        if self._upload is not None:
            self._upload.block()

    def resume_writing(self) -> None:
        """Continue writing: the kernel accepts bytes again."""
        self._write_paused = False
        if self._upload is not None:
            self._upload.unblock()
        elif self._state is SENDING:
            self._write_pieces()

    # For long bodies this connection is the sink of the flow.

    def _begin_upload(self, flow: Flow, head: bytes) -> None:
        assert self.transport is not None
        self.transport.write(head)
        self._upload = flow
        if self._write_paused:
            flow.block()
        flow.attach(self)

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

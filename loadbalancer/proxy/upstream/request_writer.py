"""Writing an attempt's request to a connection, and what of it may have left the process."""

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

# How long the last byte of an unsafe request is withheld, in seconds.
LAST_BYTE_DELAY_S = 0.002


class RequestWriter(asyncio.Protocol, ABC):
    """The part of a connection that sends requests.

    `request_written` decides what may be sent again: it is False for as long as a part of
    the request, its last byte included, has certainly not left the process, so that the
    backend can't have begun it. It stays readable after the connection's end.
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
        # The one timer of the current state: of connecting, of the last byte's delay, or
        # of the response's next bytes.
        self._timer: asyncio.TimerHandle | None = None
        self._pieces: Sequence[bytes] = ()
        self._next_piece = 0
        self._delays_last_byte = False
        self._write_paused = False
        self._upload: Flow | None = None  # a long request body that is forwarded as it comes

    @abstractmethod
    def abandon(self) -> bool:
        """Close; False where the request's last byte was certainly never written."""

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
        remaining = attempt.sent + attempt.limit - time.monotonic_ns()
        head = b"%s%d\r\n\r\n" % (request.head, max(remaining // MS, 1))
        if request.flow is not None:
            self._begin_upload(request.flow, head)
            return
        message = b"".join((head, *request.body))
        if not request.unsafe:
            self._pieces = (message,)
            self._write_pieces()
            return
        # Failure: the backend has closed this connection, or resets it as the request
        # comes in, and this process learns of it only after writing. The client of an
        # unsafe request then gets a 502 for a request that never ran. The close or reset
        # arrives within the delay; as no backend runs a request without its last byte,
        # the request may still be sent to another one.
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
        """Write piece by piece, never a further one while the kernel accepts no more."""
        transport = self.transport
        assert transport is not None
        pieces = self._pieces
        last = len(pieces) - 1
        while self._next_piece <= last and not self._write_paused:
            if self._delays_last_byte and self._next_piece == last:
                return
            transport.write(pieces[self._next_piece])
            if transport.is_closing():
                # The write itself failed: the kernel took nothing of this piece, so the
                # last byte never left. connection_lost settles the attempt.
                return
            self._next_piece += 1
        if self._next_piece > last:
            # A part of the last piece may still wait above the kernel, but how much of it
            # has left is unknown from here on.
            self.request_written = True
            self._state = AWAITING_RESPONSE
            self._pieces = ()

    def pause_writing(self) -> None:
        """The kernel accepts no more for now."""
        self._write_paused = True
        if self._upload is not None:
            self._upload.block()

    def resume_writing(self) -> None:
        """The kernel accepts bytes again."""
        self._write_paused = False
        if self._upload is not None:
            self._upload.unblock()
        elif self._state is SENDING:
            self._write_pieces()

    # ---- a long body: this connection is the sink of its flow ------------

    def _begin_upload(self, flow: Flow, head: bytes) -> None:
        assert self.transport is not None
        self.transport.write(head)
        self._upload = flow
        if self._write_paused:
            flow.block()
        flow.attach(self)

    def flow_write(self, data: bytes) -> None:
        """The next bytes of the body."""
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
        """All of the body has been given to the kernel or waits right above it."""
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

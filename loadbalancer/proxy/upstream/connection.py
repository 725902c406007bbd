"""One connection to a backend: how it is established and how it ends."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Protocol, cast

from loadbalancer.config.address import Address
from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.proxy.sockets import release_socket
from loadbalancer.proxy.upstream.response_receiver import ResponseReceiver
from loadbalancer.proxy.upstream.states import CLOSED, CLOSING, CONNECTING, IDLE

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Attempt
    from loadbalancer.proxy.ports import BackendHost


class Pool(Protocol):
    """What a connection uses of the pool that it belongs to."""

    host: BackendHost
    count: int
    pending: dict[BackendConnection, None]

    def release(self, conn: BackendConnection) -> None:
        """Take the connection back for the next attempt."""

    def remove(self, conn: BackendConnection) -> None:
        """Forget the connection, which closes."""


class BackendConnection(ResponseReceiver):
    """One connection to one backend; it carries one attempt at a time.

    This part establishes and closes it; its bases send requests and receive responses.
    Whatever ends it, the attempt on it gets its outcome, and its descriptor is counted
    off once.
    """

    __slots__ = ("_loop_owns_socket", "_task", "backend", "idle_since", "pool")

    def __init__(self, pool: Pool, backend: int, address: Address) -> None:
        super().__init__(pool.host, address)
        self.pool = pool
        self.backend = backend
        self.idle_since = 0  # nanoseconds, set by the pool
        self._loop_owns_socket = False
        self._task: asyncio.Task[None] | None = None

    # ---- establishment ---------------------------------------------------

    def connect(self, attempt: Attempt) -> None:
        """Connect for an attempt; OSError where this process gets no socket."""
        host = self.host
        self.attempt = attempt
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock = sock
        self.pool.count += 1
        timeout = host.config.settings.connect_timeout / SECOND
        self._timer = host.loop.call_later(timeout, self._connect_timed_out)
        self.pool.pending[self] = None
        self._task = host.loop.create_task(self._establish(sock))
        self._task.add_done_callback(self._establish_done)

    async def _establish(self, sock: socket.socket) -> None:
        loop = self.host.loop
        await loop.sock_connect(sock, self.address)
        self._loop_owns_socket = True
        transport, _ = await loop.create_connection(lambda: self, sock=sock)
        release_socket(transport, sock)

    def _establish_done(self, task: asyncio.Task[None]) -> None:
        """Free the socket of a connection that was never made: no transport closes it."""
        failed = task.cancelled() or task.exception() is not None
        self._task = None
        if not failed or self.transport is not None:
            return
        assert self._sock is not None
        if self._loop_owns_socket:
            self._sock.detach()  # the loop has closed it, and its number may be in use again
        else:
            self._sock.close()
        self._close()
        self._release_descriptor()
        self._fail(Outcome.RESET)

    def _connect_timed_out(self) -> None:
        # Between the TCP handshake and connection_made there is a turn of the loop: a
        # connection that was established in time is no failure.
        if not self._loop_owns_socket:
            self._fail(Outcome.RESET)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless its attempt has been given up or may no longer begin."""
        self.transport = cast(asyncio.Transport, transport)
        self.pool.pending.pop(self, None)
        self._stop_timer()
        if self._state is not CONNECTING:
            self.transport.abort()
            return
        # With no buffer above the kernel's, a write that leaves anything behind pauses this
        # connection at once: not paused means that every byte has left the process.
        self.transport.set_write_buffer_limits(high=0)
        attempt = self.attempt
        assert attempt is not None
        if self.host.may_begin(attempt):
            self._write_request()
        else:
            # The client has left or the attempt is no longer wanted; nothing was written.
            self.attempt = None
            self._close()
            self.host.conclude(attempt, Outcome.MOOT)

    def begin(self, attempt: Attempt) -> None:
        """Send an attempt's request on this connection, which was idle."""
        self.request_written = False
        self._content_began_s = 0.0
        self.reader.reset()
        self.attempt = attempt
        self._write_request()

    def usable(self) -> bool:
        """Whether an idle connection is still open, as far as the kernel knows.

        Failure: the backend has closed it, and the loop has not yet read that. A request
        written to it would be answered by a reset and count as one that may have run.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self._sock is None:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # the backend's end of sending, or bytes that answer no request

    # ---- the end ---------------------------------------------------------

    def _recycle(self, reusable: bool) -> None:
        if reusable:
            self._state = IDLE
            self.pool.release(self)
        else:
            self._close()

    def abandon(self) -> bool:
        """Close: a response that comes late must reach nobody.

        False where the request's last byte was certainly never written.
        """
        self.attempt = None
        self._close()
        return self.request_written

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 -- asyncio's signature
        """The connection has ended, on this side or the backend's."""
        self._fail(Outcome.RESET)
        self._release_descriptor()

    def _fail(self, outcome: Outcome) -> None:
        """Close, and settle the attempt if there is one.

        RESET: the connection has ended, or the backend has fallen silent. ERROR: it sent
        what is no response. Either is CONNECT_FAILED where the request can't have begun.
        """
        attempt, self.attempt = self.attempt, None
        client, self._client = self._client, None
        self._close()
        if client is not None:
            client.abort_response()
        if attempt is not None:
            self.host.conclude(attempt, outcome if self.request_written else Outcome.CONNECT_FAILED)

    def _close(self) -> None:
        if self._state is CLOSING or self._state is CLOSED:
            return
        self._state = CLOSING
        self._client = self._download = None
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.detach(self)
        self.pool.remove(self)
        self.reader.close()
        self._pieces = ()
        self._stop_timer()
        if self.transport is not None:
            if not self.request_written:
                self._stop_sending(self.transport)
            # No orderly close, which would wait for bytes that nobody will read.
            self.transport.abort()
        elif self._task is not None and not self._loop_owns_socket:
            # Later than this the loop owns the socket, and a cancelled task would close it
            # while the loop still uses its number: then connection_made aborts it.
            self._task.cancel()

    def _stop_sending(self, transport: asyncio.Transport) -> None:
        """Make sure that what the loop still buffers of a request never leaves.

        Failure: an aborted transport closes its socket only in the loop's next iteration.
        Until then the loop may write its buffer out, so that the backend receives the last
        byte of a request that counts as never executed, and its client sends it again.
        """
        if self._sock is not None and transport.get_write_buffer_size():
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    def _release_descriptor(self) -> None:
        if self._state is not CLOSED:
            self._state = CLOSED
            self.pool.count -= 1
            self.host.on_descriptor_freed()

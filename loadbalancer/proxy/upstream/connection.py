"""One connection to a backend: connecting, reuse and closing."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from typing import TYPE_CHECKING, Protocol, cast

from loadbalancer.config.address import Address
from loadbalancer.core import Outcome
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.memory_account import UPSTREAM_CONNECTION_BYTES
from loadbalancer.proxy.sockets import release_socket, unacknowledged_bytes
from loadbalancer.proxy.upstream.response_receiver import ResponseReceiver
from loadbalancer.proxy.upstream.states import CLOSED, CLOSING, CONNECTING, IDLE

if TYPE_CHECKING:
    from loadbalancer.proxy.exchange import Attempt
    from loadbalancer.proxy.ports import BackendHost

logger = logging.getLogger(__name__)

MAX_LOGGED_BYTES = 48  # of what a backend sent although no request asked for it


class Pool(Protocol):
    """The part of the connection pool that its connections use."""

    host: BackendHost
    count: int
    pending: dict[BackendConnection, None]

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on one of the connections to its backend, or on a new one."""

    def release(self, conn: BackendConnection) -> None:
        """Make the connection available to the next attempt."""

    def remove(self, conn: BackendConnection) -> None:
        """Remove the connection, which is closing."""


class BackendConnection(ResponseReceiver):
    """One connection to one backend; it carries one attempt at a time.

    This class opens and closes the connection; its base classes send requests and receive
    responses. Unless the caller takes over the attempt by `abandon`, the end of the connection
    settles its attempt. The pool's count of descriptors is decremented exactly once.
    """

    __slots__ = ("_loop_owns_socket", "_task", "backend", "pool")

    def __init__(self, pool: Pool, backend: int, address: Address) -> None:
        super().__init__(pool.host, address)
        self.pool = pool
        self.backend = backend
        self._loop_owns_socket = False
        self._task: asyncio.Task[None] | None = None

    def connect(self, attempt: Attempt) -> None:
        """Connect and then send an attempt; raises OSError if no socket can be created."""
        host = self.host
        self.attempt = attempt
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._sock = sock
        self.pool.count += 1
        host.budget.add_connections(UPSTREAM_CONNECTION_BYTES)
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
        """Close the socket of a connection that was not established.

        Such a connection has no transport that would close it.
        """
        failed = task.cancelled() or task.exception() is not None
        self._task = None
        if not failed or self.transport is not None:
            return
        assert self._sock is not None
        if self._loop_owns_socket:
            self._sock.detach()  # the loop has closed it, and its number may have been reused
        else:
            self._sock.close()
        self._close()
        self._release_descriptor()
        self._fail(Outcome.RESET)

    def _connect_timed_out(self) -> None:
        # connection_made is called one iteration of the event loop after the TCP handshake. A
        # connection whose handshake was complete in time must not fail in between.
        if not self._loop_owns_socket:
            self._fail(Outcome.RESET)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless its attempt has been aborted or may no longer begin."""
        self.transport = cast(asyncio.Transport, transport)
        self.pool.pending.pop(self, None)
        self._stop_timer()
        if self._state is not CONNECTING:
            self.transport.abort()
            return
        # With a limit of 0 the transport pauses writing as soon as a write leaves anything in
        # its buffer. While writing is not paused, every byte has been passed to the kernel.
        self.transport.set_write_buffer_limits(high=0)
        attempt = self.attempt
        assert attempt is not None
        if self.host.may_begin(attempt):
            self._write_request()
        else:
            # The client has left or the attempt is no longer needed; nothing was written.
            self.abandon()
            self.host.record_outcome(attempt, Outcome.MOOT)

    def begin(self, attempt: Attempt) -> None:
        """Send an attempt on this idle connection."""
        self.request_written = False
        self._delays_last_byte = False
        self._content_began = 0
        self.reader.reset()
        self.attempt = attempt
        self._write_request()

    def is_usable(self) -> bool:
        """Whether the kernel has received neither a close nor any bytes that were not read.

        The backend may have closed it without the event loop having noticed yet. A request
        written to it would be answered with a reset and count as possibly executed.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self._sock is None:
            return False
        try:
            data = self._sock.recv(MAX_LOGGED_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if data:
            self._log_unsolicited(data)
        return False

    def _log_unsolicited(self, data: bytes) -> None:
        """Log bytes that no request on this connection has asked for, and what follows."""
        start = data[:MAX_LOGGED_BYTES]
        if self.attempt is None:
            logger.info(
                "backend %s sent bytes that belong to no request, between two requests: closing "
                "the connection; they begin %r",
                self.address,
                start,
            )
        else:
            logger.info(
                "backend %s sent bytes that belong to no request, before the last byte of request "
                "%r, which was not executed: closing the connection; they begin %r",
                self.address,
                self.attempt.request.client_request_id.decode("latin-1"),
                start,
            )

    def _recycle(self, reusable: bool) -> None:
        if reusable:
            self._state = IDLE
            self.pool.release(self)
        else:
            self._close()

    def unaccepted_bytes(self) -> int:
        """The bytes written that the backend's kernel has not accepted."""
        if self.transport is None or self._sock is None or self._state is CLOSED:
            return 0
        return self.transport.get_write_buffer_size() + unacknowledged_bytes(self._sock)

    def abandon(self) -> bool:
        """Close without settling the attempt, so that a late response is not delivered.

        Returns False if the request's last byte was certainly never written.
        """
        self.attempt = None
        self._close()
        return self.request_written

    def _reroute_attempt(self) -> None:
        """Close, and send the attempt, whose last byte is withheld, on another connection.

        The attempt has not been executed and its backend has not failed, so it has no outcome yet.
        The withheld byte keeps this connection's part of the request from ever being executed.
        """
        attempt = self.attempt
        assert attempt is not None
        self.abandon()
        attempt.connection = None
        if self.host.may_begin(attempt):
            self.pool.send(attempt)
        else:
            self.host.record_outcome(attempt, Outcome.MOOT)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 -- asyncio's signature
        """Handle the end of the connection, whichever side closed it."""
        self._fail(Outcome.RESET)
        self._release_descriptor()

    def _fail(self, outcome: Outcome) -> None:
        """Close the connection and settle its attempt, if there is one.

        Callers pass RESET if connecting failed, the connection ended or a streamed response
        stalled, and ERROR if a response was malformed or stalled while it was buffered. The
        attempt gets CONNECT_FAILED instead if the backend cannot have begun to execute the request.
        """
        attempt, self.attempt = self.attempt, None
        client, self._client = self._client, None
        self._close()
        if client is not None:
            client.abort_response()
        if attempt is not None:
            self.host.record_outcome(
                attempt, outcome if self.request_written else Outcome.CONNECT_FAILED
            )

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
        self._count_response(0)
        self._count_unsent(0)
        self._pieces = ()
        self._stop_timer()
        if self.transport is not None:
            if not self.request_written:
                self._stop_sending(self.transport)
            # Not close(), which would first write the buffered bytes, although nobody needs them.
            self.transport.abort()
        elif self._task is not None and not self._loop_owns_socket:
            # Once the loop owns the socket the task is not cancelled: cancelling would close the
            # socket while the loop still uses its descriptor. connection_made aborts it instead.
            self._task.cancel()

    def _stop_sending(self, transport: asyncio.Transport) -> None:
        """Prevent the rest of a request in the transport's buffer from being sent.

        An aborted transport closes its socket only in the event loop's next iteration, and may
        write out its buffer until then. The backend would receive the last byte of a request
        that is reported as not executed and that may therefore be sent again.
        """
        if self._sock is not None and transport.get_write_buffer_size():
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)

    def _release_descriptor(self) -> None:
        if self._state is not CLOSED:
            self._state = CLOSED
            self.pool.count -= 1
            self.host.budget.add_connections(-UPSTREAM_CONNECTION_BYTES)
            self.host.on_descriptor_freed()

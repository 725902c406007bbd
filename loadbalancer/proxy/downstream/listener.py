"""The listening socket: accepts clients within capacity, and closes idle ones for new ones."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from enum import Enum
from typing import TYPE_CHECKING

from loadbalancer.core.memory_account import CLIENT_CONNECTION_BYTES
from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.sockets import listening_socket, release_socket

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.proxy.lifecycle import Lifecycle
    from loadbalancer.proxy.ports import ClientHost

logger = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the kernel queues until they are accepted
MAX_ACCEPTS = 64  # per iteration of the event loop
# While clients wait to be accepted, a connection may linger for SATURATED_LINGER_S seconds, and at
# most 1/MAX_LINGERING_DIVISOR of the capacity for clients may linger at a time.
SATURATED_LINGER_S = 0.05
MAX_LINGERING_DIVISOR = 2


class ListenerState(Enum):
    """Whether connections are accepted."""

    NOT_LISTENING = "not listening"  # not started, or stopped
    ACCEPTING = "accepting"
    PAUSED = "paused"  # no capacity, or accepting failed; a freed descriptor or a sweep resumes
    SUSPENDED = "held back"  # the successor process accepts from the same socket


NOT_LISTENING = ListenerState.NOT_LISTENING
ACCEPTING = ListenerState.ACCEPTING
PAUSED = ListenerState.PAUSED
SUSPENDED = ListenerState.SUSPENDED


class Listener:
    """Accepts clients' connections from the listening socket, within the host's capacity."""

    def __init__(self, host: ClientHost, lifecycle: Lifecycle) -> None:
        self.host = host
        self.lifecycle = lifecycle
        self.registry = ConnectionRegistry(host, lifecycle)
        self._state = NOT_LISTENING
        self._sock: socket.socket | None = None
        self._establishing: set[asyncio.Task[None]] = set()
        self._saturation_check: asyncio.TimerHandle | None = None  # pending while saturated
        self._max_lingering = 1  # connections that may linger at a time while saturated
        host.on_descriptor_freed = self.on_descriptor_freed

    @property
    def sock(self) -> socket.socket | None:
        """The listening socket, None once it is closed."""
        return self._sock

    def listen(self, address: Address, shared: bool = False) -> int:
        """Bind to the address and accept connections; returns the port.

        `shared`: lets two processes bind the address, for an upgrade in which the successor
        can't be handed the socket.
        """
        return self._listen_on(listening_socket(address, BACKLOG, shared))

    def adopt(self, sock: socket.socket) -> int:
        """Accept connections from a socket that another process created; returns the port."""
        sock.setblocking(False)
        return self._listen_on(sock)

    def _listen_on(self, sock: socket.socket) -> int:
        self._sock = sock
        self._state = ACCEPTING
        self.host.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def suspend_accepting(self) -> None:
        """Stop accepting and leave pending connections to the process that shares the socket."""
        self._pause()
        if self._state is PAUSED:
            self._state = SUSPENDED

    def resume_accepting(self) -> None:
        """Undo `suspend_accepting`, as the successor has not taken over."""
        if self._state is SUSPENDED:
            self._state = PAUSED
        self.on_descriptor_freed()

    def _pause(self) -> None:
        if self._state is ACCEPTING:
            assert self._sock is not None
            self._state = PAUSED
            self.host.loop.remove_reader(self._sock)

    def stop_accepting(self) -> None:
        """Accept the connections in the kernel's backlog, then close the listening socket.

        Their handshakes are complete, and their clients may have sent requests already. Closing
        the socket first would reset them.
        """
        sock = self._sock
        if sock is None:
            return
        if self._state is not SUSPENDED:
            self.registry.close_idle()
            for _ in range(BACKLOG // MAX_ACCEPTS):
                self._accept()
        self._pause()
        self._state = NOT_LISTENING
        self._sock = None
        sock.close()

    def close_idle_and_check_drained(self) -> bool:
        """Close idle connections; returns whether a stop has nothing left to wait for.

        That is the case once no request is open or unread, and all responses have been delivered.
        """
        registry = self.registry
        if self.lifecycle.handed_over:
            # The successor serves new clients, so closing may be spread over time.
            registry.close_idle_gradually(time.monotonic_ns())
        else:
            registry.close_idle()
        if registry.idle or registry.silent:
            return False
        return not self._establishing and registry.all_drained()

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS):
            if self._sock is None or not self._ensure_capacity():
                return
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            except OSError as error:
                # The system is short of descriptors or memory, although this process is within
                # its budget. The socket stays readable, so without a pause the event loop would
                # call this in a busy loop. The next sweep or freed descriptor resumes accepting.
                logger.info("accepting a connection failed, paused: %s", error)
                self._pause()
                return
            sock.setblocking(False)
            self.host.clients += 1
            self.host.budget.add_connections(CLIENT_CONNECTION_BYTES)
            task = self.host.loop.create_task(self._establish(sock))
            self._establishing.add(task)
            task.add_done_callback(self._establishing.discard)

    async def _establish(self, sock: socket.socket) -> None:
        conn = ClientConnection(self.registry, sock)
        try:
            transport, _ = await self.host.loop.connect_accepted_socket(lambda: conn, sock)
            release_socket(transport, sock)
        except OSError:
            sock.detach()
            if conn not in self.registry.connections:
                self.host.clients -= 1
                self.host.budget.add_connections(-CLIENT_CONNECTION_BYTES)
                self.on_descriptor_freed()

    def on_descriptor_freed(self) -> None:
        """Resume accepting, if a descriptor that has been closed leaves capacity for a client."""
        sock = self._sock
        if self._state is PAUSED and sock is not None and self.host.may_accept_client():
            self._state = ACCEPTING
            self.host.loop.add_reader(sock, self._accept)

    def sweep(self) -> None:
        """Check all connections for timeouts, then free capacity if clients wait to be accepted."""
        self.registry.sweep()
        self.on_descriptor_freed()
        if self._state is PAUSED:
            self._free_capacity()

    def close_idle_gradually(self, now: int) -> None:
        """Close the idle connections that `Lifecycle` schedules for this tick; `now` in ns."""
        self.registry.close_idle_gradually(now)

    def _ensure_capacity(self) -> bool:
        """Whether a further client may be accepted; if not, pause and free capacity for one."""
        if self.host.may_accept_client():
            return True
        self._pause()
        self._free_capacity()
        return False

    def _free_capacity(self) -> None:
        """Close idle connections, as clients wait to be accepted.

        Most clients close soon after their connection is shut down here. Those that don't are
        aborted after SATURATED_LINGER_S. `_check_saturation` doubles the number of connections
        closed at a time for as long as clients wait.
        """
        now = self.host.loop.time()
        registry = self.registry
        for conn, linger in list(registry.lingering.items()):
            if now - linger.since_s < SATURATED_LINGER_S:
                break
            conn.abort_lingering()
        while len(registry.lingering) < self._max_lingering:
            if not registry.close_oldest(len(self._establishing)):
                break
        if not registry.lingering:
            self.host.close_surplus_upstream()
        if self._saturation_check is None:
            self._saturation_check = self.host.loop.call_later(
                SATURATED_LINGER_S, self._check_saturation
            )

    def _check_saturation(self) -> None:
        self._saturation_check = None
        if self._state is PAUSED:
            max_lingering = max(self.host.max_clients() // MAX_LINGERING_DIVISOR, 1)
            self._max_lingering = min(2 * self._max_lingering, max_lingering)
            self._free_capacity()
        else:
            self._max_lingering = 1

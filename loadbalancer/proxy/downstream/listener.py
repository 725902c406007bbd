"""The listening socket: accepting clients while there is capacity, and making some for more."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from enum import Enum
from typing import TYPE_CHECKING

from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.sockets import listening_socket, release_socket

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.proxy.lifecycle import Lifecycle
    from loadbalancer.proxy.ports import ClientHost

logger = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the kernel holds until they are accepted
MAX_ACCEPTS = 64  # in one turn of the loop
# How long, in seconds, a connection may linger after our end while others wait for its place ...
SATURATED_LINGER_S = 0.05
MAX_ENDED_PART = 2  # ... and at most one in so many places is freed at a time


class ListenerState(Enum):
    """Whether connections are accepted."""

    NOT_LISTENING = "not listening"  # not yet, or no more
    ACCEPTING = "accepting"
    PAUSED = "paused"  # until there is capacity for a client again
    HELD_BACK = "held back"  # another process accepts from the same socket


NOT_LISTENING = ListenerState.NOT_LISTENING
ACCEPTING = ListenerState.ACCEPTING
PAUSED = ListenerState.PAUSED
HELD_BACK = ListenerState.HELD_BACK


class Listener:
    """The listening socket, and the admission of clients' connections."""

    def __init__(self, host: ClientHost, lifecycle: Lifecycle) -> None:
        self.host = host
        self.lifecycle = lifecycle
        self.registry = ConnectionRegistry(host, lifecycle)
        self._state = NOT_LISTENING
        self._sock: socket.socket | None = None
        self._establishing: set[asyncio.Task[None]] = set()
        self._saturation_check: asyncio.TimerHandle | None = None  # while places are freed
        self._max_ended = 1  # connections ended at a time
        host.on_descriptor_freed = self.on_descriptor_freed

    @property
    def sock(self) -> socket.socket | None:
        """The listening socket, None once it is closed."""
        return self._sock

    # ---- begin and end of listening -------------------------------------

    def listen(self, address: Address, shared: bool = False) -> int:
        """Accept connections at this address; returns the port.

        `shared`: where one process succeeds another and can't be handed its socket.
        """
        return self._listen_on(listening_socket(address, BACKLOG, shared))

    def adopt(self, sock: socket.socket) -> int:
        """Accept connections from a socket that another process made; returns the port."""
        sock.setblocking(False)
        return self._listen_on(sock)

    def _listen_on(self, sock: socket.socket) -> int:
        self._sock = sock
        self._state = ACCEPTING
        self.host.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def hold_back(self) -> None:
        """Accept no more; whoever shares the socket gets the connections that wait."""
        self._pause()
        if self._state is PAUSED:
            self._state = HELD_BACK

    def accept_again(self) -> None:
        """Undo `hold_back`: the successor has not taken over."""
        if self._state is HELD_BACK:
            self._state = PAUSED
        self.on_descriptor_freed()

    def _pause(self) -> None:
        if self._state is ACCEPTING:
            assert self._sock is not None
            self._state = PAUSED
            self.host.loop.remove_reader(self._sock)

    def stop_accepting(self) -> None:
        """Accept what the kernel holds for this process, then close the listening socket.

        Failure: the kernel has completed these connections, and their clients may have sent
        requests on them. Closing the socket would reset them.
        """
        sock = self._sock
        if sock is None:
            return
        if self._state is not HELD_BACK:
            self.registry.close_idle()
            for _ in range(BACKLOG // MAX_ACCEPTS):
                self._accept()
        self._pause()
        self._state = NOT_LISTENING
        self._sock = None
        sock.close()

    def close_idle_and_is_finished(self) -> bool:
        """Close idle connections; returns whether the listener is finished.

        It is once nothing is open, and nothing lies unread, that a stop must wait for.
        """
        registry = self.registry
        if self.lifecycle.handed_over:
            registry.send_away(time.monotonic_ns())  # spread out: nobody waits for the places
        else:
            registry.close_idle()
        if registry.idle or registry.fresh:
            return False
        return not self._establishing and registry.finished()

    # ---- accepting --------------------------------------------------------

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS):
            if self._sock is None or not self._make_capacity():
                return
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            except OSError as error:
                # Failure: the system is short of descriptors or memory, though this process
                # is within its budget. The socket stays readable, so the loop would call
                # again at once and without end; the next sweep or freed place tries again.
                logger.info("accept: %s", error)
                self._pause()
                return
            sock.setblocking(False)
            self.host.clients += 1
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
                self.on_descriptor_freed()

    def on_descriptor_freed(self) -> None:
        """A descriptor has been freed: accept again if there is capacity."""
        sock = self._sock
        if self._state is PAUSED and sock is not None and self.host.may_accept_client():
            self._state = ACCEPTING
            self.host.loop.add_reader(sock, self._accept)

    def sweep(self) -> None:
        """One more sweep over all connections, then capacity for those that wait."""
        self.registry.sweep()
        self.on_descriptor_freed()
        if self._state is PAUSED:
            self._free_places()

    def send_away(self, now: int) -> None:
        """Close as many idle connections as `Lifecycle` has it, longest idle first; `now` in ns."""
        self.registry.send_away(now)

    # ---- freeing places for those that wait ---------------------------------

    def _make_capacity(self) -> bool:
        """Whether one more client fits; else pause, and free a place for the next one."""
        if self.host.may_accept_client():
            return True
        self._pause()
        self._free_places()
        return False

    def _free_places(self) -> None:
        """End an idle connection for a client that waits, and more while that does not do.

        Most clients close as their connection is ended. Those that don't are aborted after
        SATURATED_LINGER_S, and the more of them there are, the more are ended at a time.
        """
        now = self.host.loop.time()
        registry = self.registry
        for conn, linger in list(registry.lingering.items()):
            if now - linger.since_s < SATURATED_LINGER_S:
                break
            conn.abort_lingering()
        while len(registry.lingering) < self._max_ended:
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
            max_ended = max(self.host.max_clients() // MAX_ENDED_PART, 1)
            self._max_ended = min(2 * self._max_ended, max_ended)
            self._free_places()
        else:
            self._max_ended = 1

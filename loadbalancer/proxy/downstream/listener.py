"""The listening socket: accepting clients while there is room, and making room for more."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

from loadbalancer.proxy.downstream.connection import ClientConnection
from loadbalancer.proxy.downstream.registry import ConnectionRegistry
from loadbalancer.proxy.sockets import listening_socket, release_socket

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.proxy.lifecycle import Service
    from loadbalancer.proxy.ports import ClientHost

BACKLOG = 1024
ACCEPTS = 64  # in one turn of the loop
PRESSED_S = 0.05  # that an ended connection may linger while others wait for a place ...
PRESSED_PART = 2  # ... and one in so many places is freed at a time, at the most


class Listener:
    """The listening socket, and the admission of clients."""

    def __init__(self, node: ClientHost, service: Service) -> None:
        self.node = node
        self.service = service
        self.registry = ConnectionRegistry(node, service)
        self._pressed = False
        self._at_a_time = 1
        self._paused = False
        self._held_back = False  # a successor accepts
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock: socket.socket | None = None
        node.freed = self.freed

    @property
    def sock(self) -> socket.socket | None:
        """The listening socket, None once it is closed."""
        return self._sock

    def adopt(self, sock: socket.socket) -> int:
        """Take connections from a listening socket that another process made; returns the port."""
        sock.setblocking(False)
        self._sock = sock
        self.node.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def hold_back(self) -> None:
        """Accept no more; whoever shares the socket gets what waits."""
        self._held_back = True
        self._pause()

    def accept_again(self) -> None:
        """Undo hold_back: the successor has not taken over."""
        self._held_back = False
        self.freed()

    def listen(self, address: Address, shared: bool = False) -> int:
        """Take connections at this address; returns the port.

        `shared`: where one process succeeds another and can't be handed its socket.
        """
        sock = listening_socket(address, BACKLOG, shared)
        self._sock = sock
        self.node.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self._sock is None or not self._room():
                return
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            except OSError as err:
                # Descriptors are budgeted, but the system may be short of other
                # things: the accept loop must outlive that.
                self.node.log(f"accept: {err}")
                self._pause()
                return
            sock.setblocking(False)
            self.node.clients += 1
            task = self.node.loop.create_task(self._welcome(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _welcome(self, sock: socket.socket) -> None:
        conn = ClientConnection(self.registry, sock)
        try:
            transport, _ = await self.node.loop.connect_accepted_socket(lambda: conn, sock)
            release_socket(transport, sock)
        except OSError:
            sock.detach()
            if conn not in self.registry.connections:
                self.node.clients -= 1
                self.freed()

    def _room(self) -> bool:
        """Room for one more; else an idle connection goes, and the next waits its turn."""
        if self.node.room_for_client():
            return True
        self._pause()
        self._give_way()
        return False

    def _give_way(self) -> None:
        """Free a place for who waits to be accepted, and more while that does not do.

        Most clients close as we end their connection. Those that don't are cut off after
        PRESSED_S, and the more of them there are, the more are ended at a time.
        """
        now = self.node.loop.time()
        registry = self.registry
        for conn, (since, _) in list(registry.lingering.items()):
            if now - since < PRESSED_S:
                break
            conn.cut_off()
        while len(registry.lingering) < self._at_a_time:
            if not registry.drop_oldest(len(self._tasks)):
                break
        if not registry.lingering:
            self.node.drop_beyond_part()
        if not self._pressed:
            self._pressed = True
            self.node.loop.call_later(PRESSED_S, self._press)

    def _wants_room(self) -> bool:
        """Whether connections may wait that are not accepted for want of room alone."""
        return self._paused and not self._held_back and self._sock is not None

    def _press(self) -> None:
        self._pressed = False
        if self._wants_room():
            most = max(self.node.most_clients() // PRESSED_PART, 1)
            self._at_a_time = min(2 * self._at_a_time, most)
            self._give_way()
        else:
            self._at_a_time = 1

    def _pause(self) -> None:
        if self._sock is not None and not self._paused:
            self._paused = True
            self.node.loop.remove_reader(self._sock)

    def freed(self) -> None:
        """A descriptor has come free: accept again."""
        if self._held_back:
            return
        if self._paused and self._sock is not None and self.node.room_for_client():
            self._paused = False
            self.node.loop.add_reader(self._sock, self._accept)

    def sweep(self) -> None:
        """One more sweep over all connections, then room for those that wait."""
        self.registry.sweep()
        self.freed()
        if self._wants_room():
            self._give_way()

    # ---- sending clients away, stopping -------------------------------

    def send_away(self, now: int) -> None:
        """Close idle connections as the state has it, those that rest longest first."""
        self.registry.send_away(now)

    def stop_accepting(self) -> None:
        """Take in what the kernel has accepted for us, then listen no more."""
        sock = self._sock
        if sock is None:
            return
        if not self._held_back:
            self.registry.close_resting()
            for _ in range(BACKLOG // ACCEPTS):
                self._accept()
        self._pause()
        self._sock = None
        sock.close()

    def finished(self) -> bool:
        """Whether nothing is held, and nothing lies unread, that a stop must wait for."""
        if self.service.relieved:
            self.send_away(time.monotonic_ns())  # spread: nobody waits for the place
        else:
            self.registry.close_resting()
        registry = self.registry
        if registry.idle or registry.fresh:
            return False
        return not self._tasks and registry.finished()

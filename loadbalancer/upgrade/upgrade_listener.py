"""The predecessor's side of the upgrade socket, up to a successor's HELLO."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from loadbalancer.config.address import Address
from loadbalancer.upgrade.greeting import HELLO, GreetingError
from loadbalancer.upgrade.socket_path import UpgradeSocket, is_same_user, socket_path

logger = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 2.0
MAX_CALLERS = 4


class UpgradeListener:
    """Accepts callers at the upgrade socket and waits for each one's HELLO.

    `may_accept` says whether a caller is accepted at all. `hand_over` is called with the
    connection of a caller that has sent HELLO; it raises OSError where it can't serve it.

    Failure: a program that connects and sends nothing, or something else, would hold a
    descriptor for good, and many of them would take those of the clients. So callers have
    HELLO_TIMEOUT_S, and no more than MAX_CALLERS are accepted at a time.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listen: Address,
        may_accept: Callable[[], bool],
        hand_over: Callable[[socket.socket], None],
    ) -> None:
        self._loop = loop
        self._may_accept = may_accept
        self._hand_over = hand_over
        self._upgrade_socket = UpgradeSocket(socket_path(listen))
        self._timers: dict[socket.socket, asyncio.TimerHandle] = {}  # by caller

    def open(self) -> None:
        """Listen from now on.

        Where the socket can't be made, the process serves on: its successor finds none and
        shares the port instead of taking over. Where it listens already, nothing changes.
        """
        if self._upgrade_socket.listener is not None:
            return
        try:
            listener = self._upgrade_socket.listen()
        except OSError as err:
            logger.info("upgrade: no socket in the temporary folder: %s", err.strerror)
            return
        self._loop.add_reader(listener, self._accept)

    def close(self) -> None:
        """Stop listening, and close the connections that have sent no HELLO."""
        if self._upgrade_socket.listener is not None:
            self._loop.remove_reader(self._upgrade_socket.listener)
        self._upgrade_socket.close()
        for caller in list(self._timers):
            self._reject(caller)

    def _accept(self) -> None:
        listener = self._upgrade_socket.listener
        if listener is None:
            return
        try:
            caller, _address = listener.accept()
        except OSError:
            return
        if not is_same_user(caller) or not self._may_accept() or len(self._timers) >= MAX_CALLERS:
            caller.close()  # a successor takes it for a busy predecessor and tries again
            return
        caller.setblocking(False)
        self._timers[caller] = self._loop.call_later(HELLO_TIMEOUT_S, self._reject, caller)
        self._loop.add_reader(caller, self._read_hello, caller)

    def _read_hello(self, caller: socket.socket) -> None:
        try:
            data = caller.recv(len(HELLO))
            if data != HELLO:
                raise GreetingError(f"a caller said {data!r}")
            self._hand_over(caller)
        except OSError as err:
            logger.info("upgrade: not handed over: %s", err)
            self._reject(caller)
            return
        self._release(caller)

    def _release(self, caller: socket.socket) -> bool:
        """Stop waiting for a caller's HELLO; False where it was no longer waited for."""
        timer = self._timers.pop(caller, None)
        if timer is None:
            return False
        timer.cancel()
        self._loop.remove_reader(caller)
        return True

    def _reject(self, caller: socket.socket) -> None:
        if self._release(caller):
            caller.close()

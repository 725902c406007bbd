"""Accepts connections at the upgrade socket and reads the HELLO of a successor."""

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
MAX_CALLERS = 4  # connections that wait for HELLO at the same time


class UpgradeListener:
    """Accepts callers at the upgrade socket and waits for the HELLO of each.

    `may_accept` returns whether callers are accepted at present. `hand_over` is called with the
    connection of a caller that has sent HELLO; it raises OSError if it can't hand over.

    A program that connects and sends nothing would hold a descriptor for ever, and many of them
    would use up the descriptors for clients. So each caller must send HELLO within
    HELLO_TIMEOUT_S, and at most MAX_CALLERS may be waiting at a time.
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
        # HELLO timeouts by caller.
        self._timers: dict[socket.socket, asyncio.TimerHandle] = {}

    def open(self) -> None:
        """Start listening; does nothing if the socket is already open.

        If the socket can't be created, the process serves all the same. A successor then finds
        no predecessor, and shares the port with this process instead of taking over.
        """
        if self._upgrade_socket.listener is not None:
            return
        try:
            listener = self._upgrade_socket.listen()
        except OSError as err:
            logger.info(
                "upgrade: can't create the upgrade socket in the temporary folder: %s", err.strerror
            )
            return
        self._loop.add_reader(listener, self._accept)

    def close(self) -> None:
        """Stop listening, and close the callers that have not sent HELLO."""
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
            caller.close()  # a successor retries, as the predecessor may be busy with another
            return
        caller.setblocking(False)
        self._timers[caller] = self._loop.call_later(HELLO_TIMEOUT_S, self._reject, caller)
        self._loop.add_reader(caller, self._read_hello, caller)

    def _read_hello(self, caller: socket.socket) -> None:
        try:
            data = caller.recv(len(HELLO))
            if data != HELLO:
                raise GreetingError(f"caller sent {data!r} in place of HELLO")
            self._hand_over(caller)
        except OSError as err:
            logger.info("upgrade: rejected a caller at the upgrade socket: %s", err)
            self._reject(caller)
            return
        self._release(caller)

    def _release(self, caller: socket.socket) -> bool:
        """Stop waiting for a caller's HELLO; returns False if it was not being waited for."""
        timer = self._timers.pop(caller, None)
        if timer is None:
            return False
        timer.cancel()
        self._loop.remove_reader(caller)
        return True

    def _reject(self, caller: socket.socket) -> None:
        if self._release(caller):
            caller.close()

"""Handlers of the admin address: a node's status, its standby mode, and its gossip peers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from loadbalancer.proxy.admin import (
    CONFLICT,
    NOT_FOUND,
    OK,
    SERVICE_UNAVAILABLE,
    AdminListener,
    Reply,
    Route,
)
from loadbalancer.upgrade.messages import SetStandby

if TYPE_CHECKING:
    from loadbalancer.config.address import Address
    from loadbalancer.proxy.host import Node
    from loadbalancer.proxy.lifecycle import Lifecycle
    from loadbalancer.upgrade.messages import Message

logger = logging.getLogger(__name__)


class ControlledProcess(Protocol):
    """What the handlers use of the process that they control."""

    loop: asyncio.AbstractEventLoop
    node: Node
    lifecycle: Lifecycle

    def forward(self, message: Message) -> None:
        """Send a message to the other process of this node, if there is one."""

    def set_standby(self, on: bool) -> None:
        """Begin or end a drain of this process."""


class AdminCalls:
    """Handles the admin requests of one process.

    During an upgrade a node has two processes. A drain that a request begins or ends is also
    forwarded to the other one.
    """

    def __init__(self, process: ControlledProcess) -> None:
        self._process = process

    def listen(self, address: Address) -> None:
        """Serve admin requests at `address`; raises OSError if it can't be bound."""
        routes = {
            "/status": Route("GET", self.status),
            "/standby": Route("POST", self.begin_standby),
            "/active": Route("POST", self.end_standby),
            "/peers": Route("GET", self.peers),
            "/memory": Route("GET", self.memory, is_named=False),
        }
        port = AdminListener(self._process.loop, routes).listen(address)
        logger.info("calls at %s:%d", address.host, port)

    def status(self) -> Reply:
        """Whether this process can serve requests: 200 with its mode, or 503 with the reason."""
        lifecycle = self._process.lifecycle
        if lifecycle.can_serve:
            return Reply(OK, "standby" if lifecycle.standby else "active")
        if lifecycle.serving and not lifecycle.stopping:
            return Reply(SERVICE_UNAVAILABLE, "no list of servers yet")
        return Reply(SERVICE_UNAVAILABLE, "stopping" if lifecycle.stopping else "not serving yet")

    def peers(self) -> Reply:
        """The state of the other nodes, as gossip has it, in JSON."""
        peers = self._process.node.peers
        if peers is None:
            return Reply(NOT_FOUND, "no gossip between nodes")
        return Reply(OK, peers.status())

    def memory(self) -> Reply:
        """The account of memory: what holds how much, against which limits, in KB."""
        return Reply(OK, self._process.node.memory_watch.report())

    def begin_standby(self) -> Reply:
        """Begin a drain; a process that is stopping drains anyway, and the response is the same."""
        self._process.forward(SetStandby(on=True))
        self._process.set_standby(True)
        return Reply(OK, "standby")

    def end_standby(self) -> Reply:
        """End the drain.

        In a process that is stopping this is refused, except if a successor already accepts the
        node's clients.
        """
        self._process.forward(SetStandby(on=False))
        self._process.set_standby(False)
        lifecycle = self._process.lifecycle
        if lifecycle.stopping and not lifecycle.handed_over:
            return Reply(CONFLICT, "stopping: this process takes no clients any more")
        return Reply(OK, "active")

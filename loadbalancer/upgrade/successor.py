"""The new process's side of an upgrade: it takes over from a running process, if there is one.

    Alone --find_predecessor--> Connected --receive_state--> AwaitingState
                                                                   |
                                                              HandedState
                                                                   v
      Sharing <-----------------announce_serving--------------- Starting

When the link closes, in any state, the process returns to Alone.

Every wait for the predecessor is bounded: one that is unresponsive must not stop a start.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time
from typing import TYPE_CHECKING

from loadbalancer.core.process_pair import SuccessorShare
from loadbalancer.faults import run_logged
from loadbalancer.proxy.sockets import release_socket
from loadbalancer.upgrade import handed_state
from loadbalancer.upgrade.greeting import request_listener
from loadbalancer.upgrade.handed_state import HandedStateError, Inheritance
from loadbalancer.upgrade.link import Link
from loadbalancer.upgrade.messages import (
    HandedState,
    ListUpdate,
    Message,
    Reload,
    RetainedCapacity,
    Serving,
    SetStandby,
)
from loadbalancer.upgrade.socket_path import UpgradeSocket, socket_path

if TYPE_CHECKING:
    from loadbalancer.upgrade.ports import Process

logger = logging.getLogger(__name__)

GREETING_TIMEOUT_S = 0.8
STATE_TIMEOUT_S = 0.8  # for what the predecessor hands over
RETAINED_TIMEOUT_S = 0.3  # for its first RetainedCapacity
GREETING_ATTEMPTS = 30
GREETING_INTERVAL_S = 0.1

NOT_HANDED_OVER = "upgrade: not handed over: %s; starting alone"


class Alone:
    """No predecessor was found, or it has ended: this process is the whole node."""

    __slots__ = ()


class Connected:
    """The predecessor has given its listening socket."""

    __slots__ = ("sock",)

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock


class AwaitingState:
    """The predecessor's state is to come; None in its place where the link closes first."""

    __slots__ = ("inheritance", "link")

    def __init__(self, link: Link, inheritance: asyncio.Future[Inheritance | None]) -> None:
        self.link = link
        self.inheritance = inheritance


class Starting:
    """This process starts from what it was handed; the predecessor still serves."""

    __slots__ = ("link",)

    def __init__(self, link: Link) -> None:
        self.link = link


class Sharing:
    """This process serves, within what the predecessor does not retain while it drains."""

    __slots__ = ("first_report", "link", "share")

    def __init__(self, link: Link, first_report: asyncio.Future[None]) -> None:
        self.link = link
        self.share = SuccessorShare()
        self.first_report = first_report  # of the predecessor's retained capacity


class Successor:
    """Takes the clients' address over from a running process, or finds that there is none."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._upgrade_socket = UpgradeSocket(socket_path(process.node.config.listen))
        self._state: Alone | Connected | AwaitingState | Starting | Sharing = Alone()
        self._called_standby: bool | None = None  # what the last call at this process said
        self.listener: socket.socket | None = None  # the predecessor's, once it is given

    async def find_predecessor(self) -> None:
        """Look for a predecessor and take its listening socket.

        Failure: the predecessor is stopped (SIGSTOP) or swapped out. Its kernel accepts the
        connection but no answer comes, and this process would never start. After
        GREETING_TIMEOUT_S it goes on without: the two share the port.

        Failure: the predecessor is busy with another successor, and closes the connection.
        It is asked again, for that one may end.
        """
        for _ in range(GREETING_ATTEMPTS):
            sock = self._upgrade_socket.connect(GREETING_TIMEOUT_S)
            if sock is None:
                return
            try:
                self.listener = request_listener(sock)
            except OSError as err:
                sock.close()
                logger.info("upgrade: no predecessor to take over from: %s", err)
                if isinstance(err, TimeoutError):
                    return
                await asyncio.sleep(GREETING_INTERVAL_S)
                continue
            self._state = Connected(sock)
            return

    async def receive_state(self) -> Inheritance | None:
        """What the predecessor hands over; None where there is none, or it sends nothing.

        Failure: `/active` comes at this process while the predecessor's standby is on its way.
        Begun after the call was answered, that standby would overrule it. So what this process
        was last called stands in its place; the predecessor is sent it too.
        """
        if not isinstance(self._state, Connected):
            return None
        sock, loop = self._state.sock, self._process.loop
        link = Link(self._on_message, self._on_closed)
        state = self._state = AwaitingState(link, loop.create_future())
        sock.setblocking(False)
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: link, sock)
            release_socket(transport, sock)
            inheritance = await asyncio.wait_for(state.inheritance, STATE_TIMEOUT_S)
        except (TimeoutError, OSError) as err:
            logger.info(NOT_HANDED_OVER, str(err) or f"nothing came in {STATE_TIMEOUT_S:g} s")
            link.close()
            return None
        if inheritance is not None and self._called_standby is not None:
            return inheritance._replace(standby=self._called_standby)
        return inheritance

    async def announce_serving(self) -> None:
        """Announce that this process serves, and wait for what the predecessor retains.

        Failure: without that wait both would use all slots of an endpoint for a moment. The
        wait is bounded, for clients' connections are accepted by nobody meanwhile.
        """
        if not isinstance(self._state, Starting):
            return
        first_report = self._process.loop.create_future()
        state = self._state = Sharing(self._state.link, first_report)
        self._process.node.discovery.forward = self._forward_list
        state.link.send(Serving())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(first_report, RETAINED_TIMEOUT_S)

    def pass_on(self, message: Message) -> None:
        """Send a message to the predecessor, where there is one."""
        if isinstance(message, SetStandby):
            self._called_standby = message.on
        if isinstance(self._state, AwaitingState | Starting | Sharing):
            self._state.link.send(message)

    def _forward_list(self, body: bytes) -> None:
        self.pass_on(ListUpdate(body))

    # ---- the predecessor's messages -------------------------------------------

    def _on_message(self, message: Message) -> None:
        match message:
            case HandedState():
                self._inherit(message)
            case RetainedCapacity():
                self._divide(message)
            case Reload():
                self._process.reload(passed_on=True)
            case SetStandby(on):
                self._process.set_standby(on)

    def _inherit(self, message: HandedState) -> None:
        """Take what the predecessor hands over; without a usable state, start alone."""
        state = self._state
        if not isinstance(state, AwaitingState) or state.inheritance.done():
            return  # later than STATE_TIMEOUT_S: `receive_state` is about to close the link
        try:
            inheritance = handed_state.parse(message.state, time.monotonic_ns())
        except HandedStateError as err:
            logger.info(NOT_HANDED_OVER, err)
            state.inheritance.set_result(None)
            state.link.close()
            return
        self._state = Starting(state.link)
        state.inheritance.set_result(inheritance)

    def _divide(self, message: RetainedCapacity) -> None:
        """Use what the predecessor does not retain."""
        state = self._state
        if not isinstance(state, Sharing):
            return
        node = self._process.node
        state.share.update(message.slots)
        node.use_limit_share(state.share)
        node.other_process_request_ids = set(message.request_ids)
        node.set_other_process_descriptors(message.descriptors)
        if not state.first_report.done():
            state.first_report.set_result(None)

    def _on_closed(self) -> None:
        """The predecessor has ended: what it retained is free."""
        state, self._state = self._state, Alone()
        if isinstance(state, AwaitingState) and not state.inheritance.done():
            logger.info(NOT_HANDED_OVER, "the connection has ended")
            state.inheritance.set_result(None)
        if isinstance(state, Starting):
            logger.info("upgrade: the predecessor has exited before this process served")
        if isinstance(state, Sharing):
            if not state.first_report.done():
                state.first_report.set_result(None)
            logger.info("upgrade: the predecessor has exited")
        self._process.node.discovery.forward = None
        run_logged(self._process.node.end_sharing)  # a fault there must not end a start

"""The new process's side of an upgrade: it takes over from a running process, if any.

    Alone --find_predecessor--> Connected --receive_state--> AwaitingState
                                                                   |
                                                              HandedState
                                                                   v
      Sharing <-----------------announce_serving--------------- Starting

When the link closes, in any state, the process returns to Alone.

Every wait for the predecessor has a timeout, so that an unresponsive one can't block a start.
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
    RequestIdsChanged,
    RetainedCapacity,
    Serving,
    SetStandby,
)
from loadbalancer.upgrade.shared_ids import report_changes
from loadbalancer.upgrade.socket_path import UpgradeSocket, socket_path

if TYPE_CHECKING:
    from loadbalancer.upgrade.ports import Process

logger = logging.getLogger(__name__)

GREETING_TIMEOUT_S = 0.8  # for the predecessor's answer to HELLO
STATE_TIMEOUT_S = 0.8  # for the predecessor's HandedState
RETAINED_TIMEOUT_S = 0.3  # for the predecessor's first RetainedCapacity
GREETING_ATTEMPTS = 30
GREETING_INTERVAL_S = 0.1  # between two attempts

HANDOVER_FAILED = "upgrade: handover failed: %s; starting without the predecessor's state"


class Alone:
    """No predecessor was found, or its link has closed: this process serves alone."""

    __slots__ = ()


class Connected:
    """The predecessor has sent its listening socket."""

    __slots__ = ("sock",)

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock


class AwaitingState:
    """Waiting for the predecessor's state; the result is None if the link closes first."""

    __slots__ = ("inheritance", "link")

    def __init__(self, link: Link, inheritance: asyncio.Future[Inheritance | None]) -> None:
        self.link = link
        self.inheritance = inheritance


class Starting:
    """This process starts up with the received state; the predecessor still serves."""

    __slots__ = ("link",)

    def __init__(self, link: Link) -> None:
        self.link = link


class Sharing:
    """This process serves with the capacity that the draining predecessor does not retain."""

    __slots__ = ("first_report", "link", "share")

    def __init__(self, link: Link, first_report: asyncio.Future[None]) -> None:
        self.link = link
        self.share = SuccessorShare()
        self.first_report = first_report  # done at the first RetainedCapacity


class Successor:
    """Takes over the clients' address from a running process, if there is one."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._upgrade_socket = UpgradeSocket(socket_path(process.node.config.listen))
        self._state: Alone | Connected | AwaitingState | Starting | Sharing = Alone()
        # The flag of the last operator's call at this process, None without one.
        self._called_standby: bool | None = None
        self.listener: socket.socket | None = None  # received from the predecessor

    async def find_predecessor(self) -> None:
        """Connect to a predecessor, if there is one, and receive its listening socket.

        If the predecessor is suspended (SIGSTOP) or swapped out, the kernel accepts the
        connection but no answer arrives, and this process would never start. After
        GREETING_TIMEOUT_S it starts without a handover, and the two share the port.

        A predecessor that is busy with another successor closes the connection. This process
        retries, as the other successor may exit.
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
        """Return the predecessor's state; None without a predecessor or if no state arrives.

        An operator's `/active` may arrive at this process while the predecessor's state, with
        its standby flag, is on its way. Applied after the call was answered, that flag would
        override the call. So the flag of the last call at this process replaces the received
        one; the call is also forwarded to the predecessor.
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
            logger.info(HANDOVER_FAILED, str(err) or f"no state received in {STATE_TIMEOUT_S:g} s")
            link.close()
            return None
        if inheritance is not None and self._called_standby is not None:
            return inheritance._replace(standby=self._called_standby)
        return inheritance

    async def announce_serving(self) -> None:
        """Tell the predecessor that this process serves, and wait for the slots it retains.

        Without this wait both processes would use all slots of an endpoint for a moment. The
        wait is limited to RETAINED_TIMEOUT_S, as neither process accepts connections meanwhile.
        """
        if not isinstance(self._state, Starting):
            return
        first_report = self._process.loop.create_future()
        state = self._state = Sharing(self._state.link, first_report)
        self._process.node.discovery.forward = self._forward_list
        report_changes(self._process.node.request_ids, state.link)
        state.link.send(Serving())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(first_report, RETAINED_TIMEOUT_S)

    def forward(self, message: Message) -> None:
        """Forward a message to the predecessor, if there is one."""
        if isinstance(message, SetStandby):
            self._called_standby = message.on
        if isinstance(self._state, AwaitingState | Starting | Sharing):
            self._state.link.send(message)

    def _forward_list(self, body: bytes) -> None:
        self.forward(ListUpdate(body))

    def _on_message(self, message: Message) -> None:
        match message:
            case HandedState():
                self._accept_state(message)
            case RetainedCapacity():
                self._apply_retained(message)
            case RequestIdsChanged(begun, released):
                self._process.node.request_ids.update_other_process(begun, released)
            case Reload():
                self._process.reload(forwarded=True)
            case SetStandby(on):
                self._process.set_standby(on)

    def _accept_state(self, message: HandedState) -> None:
        """Accept the predecessor's state; if it is malformed, close the link."""
        state = self._state
        if not isinstance(state, AwaitingState) or state.inheritance.done():
            return  # after STATE_TIMEOUT_S: `receive_state` is about to close the link
        try:
            inheritance = handed_state.parse(message.state, time.monotonic_ns())
        except HandedStateError as err:
            logger.info(HANDOVER_FAILED, err)
            state.inheritance.set_result(None)
            state.link.close()
            return
        self._state = Starting(state.link)
        state.inheritance.set_result(inheritance)

    def _apply_retained(self, message: RetainedCapacity) -> None:
        """Limit this process to the capacity that the predecessor does not retain."""
        state = self._state
        if not isinstance(state, Sharing):
            return
        node = self._process.node
        state.share.update(message.slots)
        node.use_limit_share(state.share)
        node.request_ids.replace_other_process(message.request_ids)
        node.set_other_process_descriptors(message.descriptors)
        if not state.first_report.done():
            state.first_report.set_result(None)

    def _on_closed(self) -> None:
        """End the wait for the predecessor's messages, and use the whole capacity of the node."""
        state, self._state = self._state, Alone()
        if isinstance(state, AwaitingState) and not state.inheritance.done():
            logger.info(HANDOVER_FAILED, "the predecessor has closed the connection")
            state.inheritance.set_result(None)
        if isinstance(state, Starting):
            logger.info(
                "upgrade: the link to the predecessor has closed before this process served"
            )
        if isinstance(state, Sharing):
            if not state.first_report.done():
                state.first_report.set_result(None)
            logger.info("upgrade: the link to the predecessor has closed; using all slots")
        self._process.node.discovery.forward = None
        run_logged(self._process.node.end_sharing)  # an exception there must not abort the start

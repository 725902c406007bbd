"""The old process's side of an upgrade: it hands over to a successor, then drains.

                  HELLO of a successor                Serving
           Sole ------------------------> HandingOver ---------> Draining
             ^                                 |                     |
             +-------- the link closes --------+---------------------+

`core/process_pair` decides how the two processes divide the node's limits. `proxy/lifecycle`
decides how a draining process answers readiness checks and when it closes connections.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.faults import run_logged
from loadbalancer.proxy.lifecycle import DRAIN_TICK_NS
from loadbalancer.proxy.sockets import release_socket
from loadbalancer.upgrade import handed_state
from loadbalancer.upgrade.drain import Drain
from loadbalancer.upgrade.greeting import GreetingError, send_listener
from loadbalancer.upgrade.link import Link
from loadbalancer.upgrade.messages import (
    HandedState,
    ListUpdate,
    Message,
    Reload,
    RequestIdsChanged,
    Serving,
    SetStandby,
)
from loadbalancer.upgrade.shared_ids import report_changes
from loadbalancer.upgrade.upgrade_listener import UpgradeListener

if TYPE_CHECKING:
    from loadbalancer.upgrade.ports import Process

logger = logging.getLogger(__name__)

TICK_S = DRAIN_TICK_NS / SECOND


class Sole:
    """No successor is connected: this process is the only one of the node."""

    __slots__ = ()


class HandingOver:
    """A successor has received the listening socket and starts up; this process still serves."""

    __slots__ = ("link", "reload_requested", "standby_called", "start")

    def __init__(self, link: Link) -> None:
        self.link = link
        # Referenced here, as the event loop keeps only weak references to tasks.
        self.start: asyncio.Task[None] | None = None
        # Whether a standby call was made at either process, or this process received SIGHUP,
        # while the successor starts up.
        self.standby_called = False
        self.reload_requested = False


class Draining:
    """The successor serves new clients; this process serves those still connected to it."""

    __slots__ = ("drain", "link", "timer")

    def __init__(self, link: Link, drain: Drain) -> None:
        self.link = link
        self.drain = drain
        self.timer: asyncio.TimerHandle | None = None


class Predecessor:
    """Waits for a successor and hands over to it.

    The successor may exit at any point, through a crash or an invalid configuration. Its link
    then closes, and this process serves alone again, on the listening socket that it has kept
    open.
    """

    def __init__(self, process: Process) -> None:
        self._process = process
        self._state: Sole | HandingOver | Draining = Sole()
        self._upgrade_listener = UpgradeListener(
            process.loop, process.node.config.listen, self._is_sole, self._hand_over
        )

    @property
    def relieved(self) -> bool:
        """Whether a successor has taken over the clients' address."""
        return isinstance(self._state, Draining)

    def open(self) -> None:
        """Start listening for a successor."""
        self._upgrade_listener.open()

    def close(self) -> None:
        """Stop listening for a successor."""
        self._upgrade_listener.close()

    def forward(self, message: Message) -> None:
        """Forward a message to the successor; one that is starting up gets it once it serves.

        A call or SIGHUP may arrive after the successor has received the standby flag and read
        its configuration. Without being forwarded, the successor would serve as active although
        the operator was answered `standby`, or would serve with outdated settings.
        `_send_missed` sends what arrived during the startup.
        """
        state = self._state
        if isinstance(state, Draining):
            state.link.send(message)
        elif isinstance(state, HandingOver):
            state.standby_called |= isinstance(message, SetStandby)
            state.reload_requested |= isinstance(message, Reload)

    def _is_sole(self) -> bool:
        return isinstance(self._state, Sole)

    def _hand_over(self, caller: socket.socket) -> None:
        """Send a successor the listening socket and start the link to it.

        Raises:
            OSError: the socket can't be sent, or another successor has connected first.
        """
        listener = self._process.listener.sock
        if listener is None:
            raise GreetingError("this process no longer listens")
        if not self._is_sole():
            raise GreetingError("another successor has connected first")
        send_listener(caller, listener)
        link = Link(self._on_message, self._on_closed)
        self._state = state = HandingOver(link)
        state.start = self._process.loop.create_task(self._start_link(link, caller))

    async def _start_link(self, link: Link, caller: socket.socket) -> None:
        """Connect the link and send the state; any exception closes the link.

        Otherwise the exception would go unnoticed in this task, and the process would stay in
        HandingOver and reject every later successor until a restart.
        """
        try:
            transport, _ = await self._process.loop.connect_accepted_socket(lambda: link, caller)
            release_socket(transport, caller)
        except OSError:
            link.close()
            return
        except Exception:
            logger.exception("upgrade: can't start the link to the successor")
            link.close()
            return
        logger.info("upgrade: a successor has connected")
        run_logged(self._process.node.share_memory, 2)
        if not run_logged(self._send_state, link):
            link.close()  # so that the successor need not wait for the state until its timeout

    def _send_state(self, link: Link) -> None:
        state = handed_state.export(self._process.node, self._process.lifecycle.standby)
        link.send(HandedState(state))

    def _on_message(self, message: Message) -> None:
        match message:
            case Serving():
                self._start_draining()
            case RequestIdsChanged(begun, released):
                self._process.node.request_ids.update_other_process(begun, released)
            case ListUpdate(body):
                self._process.node.discovery.on_forwarded(body)
            case Reload():
                self._process.reload(forwarded=True)
            case SetStandby(on):
                if isinstance(self._state, HandingOver):
                    # The state already sent may hold the old flag.
                    self._state.standby_called = True
                self._process.set_standby(on)

    def _start_draining(self) -> None:
        """Stop accepting connections and start to drain, as the successor serves."""
        handing_over = self._state
        if not isinstance(handing_over, HandingOver):
            return
        node = self._process.node
        state = Draining(handing_over.link, Drain(node))
        self._state = state
        try:
            self._begin_drain(state)
        except Exception:
            # Otherwise this process would neither accept connections nor drain. Closing the
            # link undoes the steps that have been done.
            logger.exception("upgrade: can't start to drain; closing the link to the successor")
            state.link.close()
            return
        logger.info("upgrade: the successor serves; draining %d client connections", node.clients)
        run_logged(self._send_missed, handing_over)
        self._advance(state)

    def _begin_drain(self, state: Draining) -> None:
        process, node = self._process, self._process.node
        process.listener.suspend_accepting()
        process.lifecycle.on_successor_accepting(time.monotonic_ns())
        self.close()
        node.discovery.suspend()
        if node.peers is not None:
            # Only one process gossips for the node: if both wrote the node's records, the
            # other nodes would see them contradict each other.
            node.peers.close(leaving=False)
        state.link.send(state.drain.begin())
        report_changes(node.request_ids, state.link)

    def _send_missed(self, handing_over: HandingOver) -> None:
        """Send the calls and signals that arrived while the successor was starting up.

        SetStandby is sent only after a call: an unneeded one could cross a newer call at the
        successor and undo it.
        """
        if handing_over.standby_called:
            handing_over.link.send(SetStandby(self._process.lifecycle.standby))
        if handing_over.reload_requested:
            handing_over.link.send(Reload())

    def _advance(self, state: Draining) -> None:
        """Close idle clients, release and report unused capacity; repeats at every drain tick."""
        run_logged(self._process.listener.close_idle_gradually, time.monotonic_ns())
        run_logged(self._report, state)
        state.timer = self._process.loop.call_later(TICK_S, self._advance, state)

    def _report(self, state: Draining) -> None:
        state.link.send(state.drain.advance())

    def _on_closed(self) -> None:
        state, self._state = self._state, Sole()
        if not isinstance(state, Draining):
            logger.info("upgrade: the link to the successor has closed before it served")
            run_logged(self._process.node.share_memory, 1)
            return
        if state.timer is not None:
            state.timer.cancel()
        self._resume()

    def _resume(self) -> None:
        """Serve alone again; a process that is stopping does not accept connections again.

        An exception in one step is logged and does not prevent the next. Otherwise the process
        might accept connections but neither poll discovery nor gossip nor listen for another
        successor, until a restart.
        """
        process = self._process
        run_logged(process.lifecycle.on_successor_disconnected)
        run_logged(process.node.end_sharing)
        if process.lifecycle.stopping:
            return
        logger.info("upgrade: the link to the successor has closed; serving again")
        run_logged(process.listener.resume_accepting)
        run_logged(process.node.discovery.resume)
        if process.node.peers is not None:
            run_logged(process.node.peers.reopen)
        run_logged(self.open)

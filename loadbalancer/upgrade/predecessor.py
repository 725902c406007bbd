"""The running process's side of an upgrade: it hands over to a successor, then drains.

                  HELLO of a successor                Serving
           Sole ------------------------> HandingOver ---------> Draining
             ^                                 |                     |
             +-------- the link closes --------+---------------------+

What the two processes may use meanwhile is decided in `core/process_pair`; what readiness,
answers and idle connections do while this one drains, in `proxy/lifecycle`.
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
    Serving,
    SetStandby,
)
from loadbalancer.upgrade.upgrade_listener import UpgradeListener

if TYPE_CHECKING:
    from loadbalancer.upgrade.ports import Process

logger = logging.getLogger(__name__)

TICK_S = DRAIN_TICK_NS / SECOND


class Sole:
    """No successor has connected: this process is the whole node."""

    __slots__ = ()


class HandingOver:
    """A successor has the listening socket and starts; this process serves as before."""

    __slots__ = ("link", "reload_requested", "standby_called", "start")

    def __init__(self, link: Link) -> None:
        self.link = link
        self.start: asyncio.Task[None] | None = None  # the loop itself holds no task
        # Whether these have come while the successor starts, at either process.
        self.standby_called = False
        self.reload_requested = False


class Draining:
    """The successor serves; this process serves the clients that it still has."""

    __slots__ = ("drain", "link", "timer")

    def __init__(self, link: Link, drain: Drain) -> None:
        self.link = link
        self.drain = drain
        self.timer: asyncio.TimerHandle | None = None


class Predecessor:
    """Waits for a successor and hands over to it.

    Failure: the successor ends at any point, by a crash or a faulty configuration. Its link
    closes, and this process is the whole node again, with the listening socket that it kept.
    """

    def __init__(self, process: Process) -> None:
        self._process = process
        self._state: Sole | HandingOver | Draining = Sole()
        self._upgrade_listener = UpgradeListener(
            process.loop, process.node.config.listen, self._is_sole, self._hand_over
        )

    @property
    def relieved(self) -> bool:
        """Whether a successor serves the clients' address."""
        return isinstance(self._state, Draining)

    def open(self) -> None:
        """Let a successor find this process from now on."""
        self._upgrade_listener.open()

    def close(self) -> None:
        """Let no further successor find this process."""
        self._upgrade_listener.close()

    def pass_on(self, message: Message) -> None:
        """Send a message to the successor; one that still starts is told once it serves.

        Failure: a call or SIGHUP comes after the successor was handed the standby and has read
        the configuration. Not passed on, the successor serves as active while its operator was
        answered `standby`, or serves with the replaced settings. `_send_missed` repeats it.
        """
        state = self._state
        if isinstance(state, Draining):
            state.link.send(message)
        elif isinstance(state, HandingOver):
            state.standby_called |= isinstance(message, SetStandby)
            state.reload_requested |= isinstance(message, Reload)

    # ---- handing over ------------------------------------------------------

    def _is_sole(self) -> bool:
        return isinstance(self._state, Sole)

    def _hand_over(self, caller: socket.socket) -> None:
        """Give a successor the listening socket and begin to talk to it.

        Raises:
            OSError: it can't be given, or another successor has it.
        """
        listener = self._process.listener.sock
        if listener is None:
            raise GreetingError("this process listens no longer")
        if not self._is_sole():
            raise GreetingError("another successor has come first")
        send_listener(caller, listener)
        link = Link(self._on_message, self._on_closed)
        self._state = state = HandingOver(link)
        state.start = self._process.loop.create_task(self._start_link(link, caller))

    async def _start_link(self, link: Link, caller: socket.socket) -> None:
        """Connect the link and send the state.

        Failure: a fault ends this task unseen, and the state says for good that a successor
        starts: every later one is rejected. So whatever is raised closes the link.
        """
        try:
            transport, _ = await self._process.loop.connect_accepted_socket(lambda: link, caller)
            release_socket(transport, caller)
        except OSError:
            link.close()
            return
        except Exception:
            logger.exception("upgrade: not handed over")
            link.close()
            return
        logger.info("upgrade: a successor has connected")
        if not run_logged(self._send_state, link):
            link.close()  # the successor starts without; it would wait, and then do the same

    def _send_state(self, link: Link) -> None:
        state = handed_state.export(self._process.node, self._process.lifecycle.standby)
        link.send(HandedState(state))

    def _on_message(self, message: Message) -> None:
        match message:
            case Serving():
                self._start_draining()
            case ListUpdate(body):
                self._process.node.discovery.on_forwarded(body)
            case Reload():
                self._process.reload(passed_on=True)
            case SetStandby(on):
                if isinstance(self._state, HandingOver):
                    self._state.standby_called = True  # it may cross the standby handed over
                self._process.set_standby(on)

    # ---- draining ----------------------------------------------------------

    def _start_draining(self) -> None:
        """Accept nothing more and begin to drain: the successor serves."""
        handing_over = self._state
        if not isinstance(handing_over, HandingOver):
            return
        node = self._process.node
        state = Draining(handing_over.link, Drain(node))
        self._state = state
        try:
            self._begin_drain(state)
        except Exception:
            # Failure: a fault here leaves a process that neither accepts nor drains. Closing
            # the link undoes what was begun.
            logger.exception("upgrade: the drain can't begin")
            state.link.close()
            return
        logger.info("upgrade: the successor serves; draining %d connections", node.clients)
        run_logged(self._send_missed, handing_over)
        self._advance(state)

    def _begin_drain(self, state: Draining) -> None:
        process, node = self._process, self._process.node
        process.listener.hold_back()
        process.lifecycle.successor_serves(time.monotonic_ns())
        self.close()
        node.discovery.suspend()
        if node.peers is not None:
            # One process gossips for the node: two writers of one node's records would
            # contradict each other at all the others.
            node.peers.close(leaving=False)
        state.link.send(state.drain.begin())

    def _send_missed(self, handing_over: HandingOver) -> None:
        """Send what the successor was not told while it started.

        Only where a call has come: a needless SetStandby could cross one at the successor.
        """
        if handing_over.standby_called:
            handing_over.link.send(SetStandby(self._process.lifecycle.standby))
        if handing_over.reload_requested:
            handing_over.link.send(Reload())

    def _advance(self, state: Draining) -> None:
        """Close idle clients, release what is no longer needed, and say so; then once a tick."""
        run_logged(self._process.listener.send_away, time.monotonic_ns())
        run_logged(self._report, state)
        state.timer = self._process.loop.call_later(TICK_S, self._advance, state)

    def _report(self, state: Draining) -> None:
        state.link.send(state.drain.advance())

    # ---- the successor has gone ----------------------------------------------

    def _on_closed(self) -> None:
        state, self._state = self._state, Sole()
        if not isinstance(state, Draining):
            logger.info("upgrade: the successor left before it served")
            return
        if state.timer is not None:
            state.timer.cancel()
        self._resume()

    def _resume(self) -> None:
        """Be the whole node again; a process that stops does not accept again.

        Failure: one step raises, and no later one comes. The process would accept again but
        poll no discovery, or not gossip, or no further successor would find it, until a
        restart. So each step is followed by the next whatever it raises.
        """
        process = self._process
        run_logged(process.lifecycle.successor_gone)
        run_logged(process.node.end_sharing)
        if process.lifecycle.stopping:
            return
        logger.info("upgrade: the link to the successor has closed; serving again")
        run_logged(process.listener.accept_again)
        run_logged(process.node.discovery.resume)
        if process.node.peers is not None:
            run_logged(process.node.peers.reopen)
        run_logged(self.open)

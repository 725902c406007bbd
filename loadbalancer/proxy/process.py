"""One node as a process: its start, its signals, and its end.

A node with a second address may have two processes for a while, the older of which hands
over to the newer one (`upgrade`).
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import logging
import os
import sys
import time
from typing import TYPE_CHECKING

import uvloop

from loadbalancer import early_signals, logs
from loadbalancer.config.node import Config, ConfigError, load, reload
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.errors import RoutesError, SourceError
from loadbalancer.faults import run_logged
from loadbalancer.proxy.admin_calls import AdminCalls
from loadbalancer.proxy.downstream.connection import SWEEP_S
from loadbalancer.proxy.downstream.listener import Listener
from loadbalancer.proxy.host import Node
from loadbalancer.proxy.lifecycle import DRAIN_TICK_NS, Lifecycle
from loadbalancer.proxy.reload import apply_configuration, apply_routes
from loadbalancer.proxy.shutdown import Shutdown
from loadbalancer.sources.endpoint_list import ListError
from loadbalancer.upgrade.messages import Reload

if TYPE_CHECKING:
    from loadbalancer.upgrade.messages import Message
    from loadbalancer.upgrade.predecessor import Predecessor
    from loadbalancer.upgrade.successor import Successor

logger = logging.getLogger(__name__)

UNUSABLE_STATUS = 2  # the exit status where the configuration or the address can't be used
# For a port that another process holds which neither hands it over nor shares it.
BIND_TIMEOUT_S = 15.0
BIND_RETRY_S = 0.05
# Objects allocated before each generation of the garbage collector runs. What the start has
# made is frozen, and a collection among requests finds little.
GC_THRESHOLDS = (20_000, 20, 50)


class Process:
    """One process of a node, from its start to its end.

    Raises:
        SourceError: the file that names the source of endpoints can't be used.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.lifecycle = Lifecycle()
        self.node = Node(config, loop, self._on_list_usable)
        self.listener = Listener(self.node, self.lifecycle)
        self._shutdown = Shutdown(
            loop, self.node, self.listener, self.lifecycle, self._close_predecessor
        )
        self._drain_timer: asyncio.TimerHandle | None = None
        # The sides of a handover, where there is a second address: to the process before
        # this one, and to the one after it.
        self._successor: Successor | None = None
        self._predecessor: Predecessor | None = None

    def _on_list_usable(self) -> None:
        if not self.lifecycle.has_usable_list:
            self.lifecycle.has_usable_list = True
            logger.info("ready: an endpoint list is in use")

    # ---- start -------------------------------------------------------------

    async def run(self) -> None:
        """Serve until a stop has ended.

        Raises:
            OSError: an address can't be bound.
            ListError, RoutesError, SourceError: what the configuration names can't be used.
        """
        port = await self._begin()
        for number in early_signals.STOP_SIGNALS:
            self.loop.add_signal_handler(number, self._shutdown.begin)
        self.loop.add_signal_handler(early_signals.RELOAD_SIGNAL, self.reload)
        self.lifecycle.serving = True
        logger.info("listening on %s:%d", self.config.listen.host, port)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self.loop.call_later(SWEEP_S, self._sweep)
        if early_signals.RELOAD_SIGNAL in early_signals.received:
            self.reload()
        if not early_signals.received.isdisjoint(early_signals.STOP_SIGNALS):
            self._shutdown.begin()
        await self._shutdown.ended

    async def _begin(self) -> int:
        """Listen, taking over from a running process where there is one; returns the port."""
        admin = self.config.admin
        if admin is None:
            apply_routes(self.node)
            self.node.start()
            return self.listener.listen(self.config.listen)
        # Imported here: a node without a second address does not pay for the modules.
        from loadbalancer.upgrade.predecessor import Predecessor
        from loadbalancer.upgrade.successor import Successor

        successor = self._successor = Successor(self)
        await successor.find_predecessor()
        # Each process has a second address of its own. It is bound before the handover, so that
        # a wrong one ends this process and not the old one.
        AdminCalls(self).listen(admin)
        inheritance = await successor.receive_state()
        apply_routes(self.node)
        self.node.start(inheritance)
        if inheritance is not None and inheritance.standby:
            self.set_standby(True)
        await successor.announce_serving()
        if successor.listener is not None:
            port = self.listener.adopt(successor.listener)
        else:
            port = await self._listen_shared()
        self._predecessor = Predecessor(self)
        self._predecessor.open()
        return port

    async def _listen_shared(self) -> int:
        """Listen beside a process that can't hand over; wait for one that does not share."""
        give_up_at_s = self.loop.time() + BIND_TIMEOUT_S
        while True:
            try:
                return self.listener.listen(self.config.listen, shared=True)
            except OSError as err:
                if err.errno != errno.EADDRINUSE or self.loop.time() > give_up_at_s:
                    raise
            await asyncio.sleep(BIND_RETRY_S)

    def _sweep(self) -> None:
        run_logged(self.listener.sweep)
        run_logged(self.node.sweep)
        self.loop.call_later(SWEEP_S, self._sweep)

    def _close_predecessor(self) -> None:
        if self._predecessor is not None and not self._predecessor.relieved:
            self._predecessor.close()

    # ---- the other process of this node --------------------------------------

    def pass_on(self, message: Message) -> None:
        """Send a message to the other process of this node, where there is one."""
        if self._successor is not None:
            self._successor.pass_on(message)
        if self._predecessor is not None:
            self._predecessor.pass_on(message)

    # ---- reload and drain ----------------------------------------------------

    def reload(self, passed_on: bool = False) -> None:
        """Use the configuration's file as it is now; one that can't be used changes nothing.

        Args:
            passed_on: the other process of this node was signalled, and has passed it on.
        """
        if not passed_on:
            self.pass_on(Reload())
        try:
            config = reload(os.environ, self.config)
            apply_configuration(self.node, config)
        except (ConfigError, RoutesError) as err:
            logger.info("reload: %s; going on as before", err)
            return
        except Exception:
            # Not "as before": the Balancer may have begun to use the new settings.
            logger.exception("reload: the new settings were not taken over: SIGHUP tries again")
            return
        self.config = config
        self.node.discovery.move(config.discovery, config.settings)
        logger.info("reloaded the configuration")

    def set_standby(self, on: bool) -> None:
        """Begin or end a drain, by a call here or at the other process of this node."""
        if on == self.lifecycle.standby:
            return
        if not on:
            logger.info("active: the drain has ended")
            self.lifecycle.end_standby()
            return
        logger.info("standby: sending clients away")
        self.lifecycle.begin_standby(time.monotonic_ns())
        if self._drain_timer is not None:
            self._drain_timer.cancel()  # of a drain that has only just ended
        self._drain()

    def _drain(self) -> None:
        """While clients are sent away, close idle connections at each tick."""
        if self.lifecycle.standby and not self.lifecycle.stopping:
            run_logged(self.listener.close_idle_gradually, time.monotonic_ns())
            self._drain_timer = self.loop.call_later(DRAIN_TICK_NS / SECOND, self._drain)


def run_node() -> int:
    """Run the node that the environment describes; returns only where it can't start."""
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"loadbalancer: {err}", file=sys.stderr)
        return UNUSABLE_STATUS
    logs.configure(config.name, logs.SERVICE_LINES_PER_SECOND)
    # Failure: whoever reads the log stops, its pipe is full, and a write waits with the loop.
    os.set_blocking(sys.stderr.fileno(), False)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        process = Process(config, loop)
        loop.run_until_complete(process.run())
    except (ListError, RoutesError, SourceError, OSError) as err:
        print(f"loadbalancer: {err}", file=sys.stderr)
        return UNUSABLE_STATUS
    # What a log that nobody reads still holds must not turn the exit into a failure.
    with contextlib.suppress(OSError):
        sys.stderr.flush()
    # Not by the interpreter's own exit: it takes the loop and each connection apart one by
    # one, in time that a stop does not have.
    os._exit(0)

"""A node's process: its start, its signals, and its end.

During an upgrade a node with an admin address has two processes: the predecessor, which hands
over, and its successor (see the package `upgrade`).
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

UNUSABLE_STATUS = 2  # exit status if the configuration or an address can't be used
# How long to retry a bind to a port held by a process that neither hands it over nor shares it.
BIND_TIMEOUT_S = 15.0
BIND_RETRY_S = 0.05
# Thresholds of the garbage collector's three generations, as for `gc.set_threshold`: it runs
# rarely, as the objects of the start are frozen and a collection among requests frees little.
GC_THRESHOLDS = (20_000, 20, 50)


class Process:
    """One process of a node.

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
        # The two roles in an upgrade, if there is an admin address: successor of the process
        # before this one, predecessor of the one after it.
        self._successor: Successor | None = None
        self._predecessor: Predecessor | None = None

    def _on_list_usable(self) -> None:
        if not self.lifecycle.has_usable_list:
            self.lifecycle.has_usable_list = True
            logger.info("ready: an endpoint list is in use")

    async def run(self) -> None:
        """Serve until the process has been stopped and its last responses are sent.

        Raises:
            OSError: an address can't be bound.
            ListError, RoutesError, SourceError: the endpoint list, the routes file or the file of
                the list's source can't be used.
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
        self.node.memory_watch.begin()
        self.loop.call_later(SWEEP_S, self._sweep)
        if early_signals.RELOAD_SIGNAL in early_signals.received:
            self.reload()
        if not early_signals.received.isdisjoint(early_signals.STOP_SIGNALS):
            self._shutdown.begin()
        await self._shutdown.ended

    async def _begin(self) -> int:
        """Listen, taking over from a running predecessor if there is one; returns the port."""
        admin = self.config.admin
        if admin is None:
            apply_routes(self.node)
            self.node.start()
            return self.listener.listen(self.config.listen)
        # Imported here, so that a node without an admin address does not load the modules.
        from loadbalancer.upgrade.predecessor import Predecessor
        from loadbalancer.upgrade.successor import Successor

        successor = self._successor = Successor(self)
        await successor.find_predecessor()
        # Each process of the node binds an admin address of its own. This happens before the
        # handover, so that an unusable address ends this process and not the predecessor.
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
        """Listen beside a process that can't hand over, or wait for the port if it isn't shared."""
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

    def forward(self, message: Message) -> None:
        """Send a message to the other process of this node, if there is one."""
        if self._successor is not None:
            self._successor.forward(message)
        if self._predecessor is not None:
            self._predecessor.forward(message)

    def reload(self, forwarded: bool = False) -> None:
        """Reread and apply the configuration file; an unusable one changes nothing.

        Args:
            forwarded: the other process of this node received the signal and forwarded it, so
                it isn't forwarded back.
        """
        if not forwarded:
            self.forward(Reload())
        try:
            config = reload(os.environ, self.config)
            apply_configuration(self.node, config)
        except (ConfigError, RoutesError) as err:
            logger.info("reload: %s; going on as before", err)
            return
        except Exception:
            # The log must not claim that nothing has changed: before it raised, the Balancer may
            # have applied a part of the new settings.
            logger.exception("reload: applying the new settings failed; send SIGHUP to retry")
            return
        self.config = config
        self.node.discovery.reconfigure(config.discovery, config.settings)
        logger.info("reloaded the configuration")

    def set_standby(self, on: bool) -> None:
        """Begin or end a drain, as requested here or at the other process of this node."""
        if on == self.lifecycle.standby:
            return
        if not on:
            logger.info("active: the drain was ended by an operator")
            self.lifecycle.end_standby()
            return
        logger.info("standby: sending clients away")
        self.lifecycle.begin_standby(time.monotonic_ns())
        if self._drain_timer is not None:
            self._drain_timer.cancel()  # still pending from a drain that has just been ended
        self._drain()

    def _drain(self) -> None:
        """Close idle connections in each tick while the drain lasts."""
        if self.lifecycle.standby and not self.lifecycle.stopping:
            run_logged(self.listener.close_idle_gradually, time.monotonic_ns())
            self._drain_timer = self.loop.call_later(DRAIN_TICK_NS / SECOND, self._drain)


def run_node() -> int:
    """Run the node configured by the environment.

    Returns an exit status only if it can't start; otherwise the process exits here.
    """
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"loadbalancer: {err}", file=sys.stderr)
        return UNUSABLE_STATUS
    logs.configure(config.name, logs.SERVICE_LINES_PER_SECOND)
    # If the log's reader stops reading, the pipe fills up; a blocking write would stop the loop.
    os.set_blocking(sys.stderr.fileno(), False)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        process = Process(config, loop)
        loop.run_until_complete(process.run())
    except (ListError, RoutesError, SourceError, OSError) as err:
        print(f"loadbalancer: {err}", file=sys.stderr)
        return UNUSABLE_STATUS
    # Flushing stderr raises if nobody reads the log any more (its pipe is closed or full). The
    # stop itself has succeeded, so the exit status stays 0.
    with contextlib.suppress(OSError):
        sys.stderr.flush()
    # Skips the interpreter's own shutdown, which frees the loop and each connection one by one
    # and takes longer than a stop has left.
    os._exit(0)

"""Start-up, signals and exit codes of one real node."""

from __future__ import annotations

import signal
import sys
from types import FrameType

if __name__ == "__main__" and len(sys.argv) > 1:
    # Another command than the node: it has signals and imports of its own.
    from loadbalancer.cli.commands import main as command

    sys.exit(command(sys.argv[1:]))

STOPS = (signal.SIGTERM, signal.SIGINT)
_early_signals: set[int] = set()


def _early(number: int, _frame: FrameType | None) -> None:
    _early_signals.add(number)


# Before the heavier imports: a SIGTERM during start-up is a stop like any other,
# and a SIGHUP, which by default would end the node, a reload.
for _number in (*STOPS, signal.SIGHUP):
    signal.signal(_number, _early)

import asyncio  # noqa: E402
import contextlib  # noqa: E402
import errno  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import time  # noqa: E402
from typing import TYPE_CHECKING  # noqa: E402

import uvloop  # noqa: E402

from loadbalancer import logs  # noqa: E402
from loadbalancer.config.address import Address  # noqa: E402
from loadbalancer.config.node import Config, ConfigError, load, reload  # noqa: E402
from loadbalancer.core.balancing.model import SECOND  # noqa: E402
from loadbalancer.errors import RoutesError, SourceError  # noqa: E402
from loadbalancer.proxy import reload as configuration  # noqa: E402
from loadbalancer.proxy.admin import Admin, Reply, Route  # noqa: E402
from loadbalancer.proxy.downstream.connection import SWEEP_S  # noqa: E402
from loadbalancer.proxy.downstream.listener import Listener  # noqa: E402
from loadbalancer.proxy.host import Node  # noqa: E402
from loadbalancer.proxy.lifecycle import TICK, Service  # noqa: E402
from loadbalancer.sources.endpoint_list import ListError  # noqa: E402

if TYPE_CHECKING:
    from loadbalancer.upgrade.handover import Predecessor, Successor

LOG_LINES = 20  # a second
# For the port, where a process holds it that neither hands it over nor shares it.
SHARE_S = 15.0
SHARE_EVERY_S = 0.05
# A stop. Connections go on coming for 0.4 s; the longest deadline and 0.7 s
# after SIGTERM the node may be killed.
ACCEPT_S = 0.5
KILL_S = 0.7
LAST_CALL_S = 0.12  # before that, for the last answers to be written and the exit
POLL_S = 0.01


class Run:
    """One node from its start to its end."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.node = Node(config, loop, self.listed)
        self.service = Service()
        self.listener = Listener(self.node, self.service)
        self.ended = loop.create_future()
        self.give_up_at = 0.0
        self.away: asyncio.TimerHandle | None = None
        # The process before this one and the one after it, where there is a second address.
        self.successor: Successor | None = None
        self.predecessor: Predecessor | None = None

    async def run(self) -> None:
        port = await self.begin()
        for number in STOPS:
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.service.serving = True
        self.node.log(f"listening on {self.config.listen.host}:{port}")
        # What stands now stands for good: later collections need not look at it.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        self.loop.call_later(SWEEP_S, self.sweep)
        if signal.SIGHUP in _early_signals:
            self.reload()
        if not _early_signals.isdisjoint(STOPS):
            self.stop()
        await self.ended

    def listed(self) -> None:
        """There are servers to send to, or the list service itself says that there are none."""
        if not self.service.listed:
            self.service.listed = True
            self.node.log("ready: a list has been taken over")

    async def begin(self) -> int:
        """Listen, taking over from a running process where there is one; returns the port."""
        admin = self.config.admin
        if admin is None:
            configuration.apply_routes(self.node, self.config.routes)
            self.node.start()
            return self.listener.listen(self.config.listen)
        # Here and not above: without a second address the node is as small as ever.
        from loadbalancer.upgrade.handover import Predecessor, Successor

        successor = self.successor = Successor(self)
        await successor.find()
        self.answer_calls(admin)
        left = await successor.meet()
        configuration.apply_routes(self.node, self.config.routes)
        self.node.start(left)
        if left is not None and left.standby:
            self.set_standby(True)
        await successor.serve()
        if successor.listener is not None:
            port = self.listener.adopt(successor.listener)
        else:
            port = await self.listen_shared()
        self.predecessor = Predecessor(self)
        self.predecessor.open()
        return port

    async def listen_shared(self) -> int:
        """Listen beside a process that can't hand over; wait for one that does not share."""
        give_up_at = self.loop.time() + SHARE_S
        while True:
            try:
                return self.listener.listen(self.config.listen, shared=True)
            except OSError as err:
                if err.errno != errno.EADDRINUSE or self.loop.time() > give_up_at:
                    raise
            await asyncio.sleep(SHARE_EVERY_S)

    def reload(self, passed_on: bool = False) -> None:
        """Take over a replaced configuration; one that can't be used changes nothing.

        Two processes that are one node take it over together, whichever was told.
        """
        if not passed_on:
            self.pass_on({"reload": True})
        try:
            config = reload(os.environ, self.config)
            configuration.apply_configuration(self.node, config)
        except (ConfigError, RoutesError) as err:
            self.node.log(f"reload: {err}; going on as before")
            return
        self.config = config
        self.node.discovery.move(config.discovery, config.settings)
        self.node.log("reloaded the configuration")

    # ---- calls on the second address ------------------------------------

    def answer_calls(self, address: Address) -> None:
        routes = {
            "/status": Route("GET", self.status),
            "/standby": Route("POST", self.standby),
            "/active": Route("POST", self.active),
            "/peers": Route("GET", self.peers),
        }
        port = Admin(self.loop, routes, self.node.log).listen(address)
        self.node.log(f"calls at {address.host}:{port}")

    def pass_on(self, frame: dict[str, bool]) -> None:
        """Tell the other process of this node, where there is one."""
        if self.successor is not None:
            self.successor.pass_on(frame)
        if self.predecessor is not None:
            self.predecessor.pass_on(frame)

    def status(self) -> Reply:
        state = self.service
        if state.can_serve:
            return Reply(200, "standby" if state.standby else "active")
        if state.serving and not state.stopping:
            return Reply(503, "no list of servers yet")
        return Reply(503, "stopping" if state.stopping else "not serving yet")

    def peers(self) -> Reply:
        """What this node has from the others, as JSON."""
        peers = self.node.peers
        if peers is None:
            return Reply(404, "no gossip between nodes")
        return Reply(200, peers.status())

    def standby(self) -> Reply:
        """Send clients away; a stop does so too, and the answer is the same."""
        self.pass_on({"standby": True})
        self.set_standby(True)
        return Reply(200, "standby")

    def active(self) -> Reply:
        self.pass_on({"standby": False})
        self.set_standby(False)
        if self.service.stopping and not self.service.relieved:
            return Reply(409, "stopping: this process takes no clients any more")
        return Reply(200, "active")

    def set_standby(self, on: bool) -> None:
        """Begin or end a drain, by a call here or at the other process of this node."""
        if on == self.service.standby:
            return
        if not on:
            self.node.log("active: the drain has ended")
            self.service.end_standby()
            return
        self.node.log("standby: sending clients away")
        self.service.begin_standby(time.monotonic_ns())
        if self.away is not None:
            self.away.cancel()  # of a drain that has only just ended
        self.send_away()

    def send_away(self) -> None:
        """While clients are sent away, look at the idle ones each TICK."""
        if self.service.standby and not self.service.stopping:
            self.listener.send_away(time.monotonic_ns())
            self.away = self.loop.call_later(TICK / SECOND, self.send_away)

    # ---- time and signals ----------------------------------------------

    def sweep(self) -> None:
        self.listener.sweep()
        self.node.sweep()
        self.loop.call_later(SWEEP_S, self.sweep)

    def stop(self) -> None:
        if self.service.stopping:
            return  # a second signal changes nothing
        self.service.stopping = True
        self.node.log("stopping")
        if self.node.peers is not None:
            self.node.peers.close(leaving=not self.service.relieved)
        configuration.log_route_counters(self.node)
        longest = max(c.spec.deadline for c in self.node.balancer.classes) / 1e9
        self.give_up_at = self.loop.time() + longest + KILL_S - LAST_CALL_S
        self.loop.call_later(ACCEPT_S, self.close)

    def close(self) -> None:
        if self.predecessor is not None and not self.predecessor.relieved:
            self.predecessor.close()
        self.listener.stop_accepting()
        self.wait()

    def wait(self) -> None:
        late = self.loop.time() >= self.give_up_at
        if late:
            self.node.fail_all()
        if late or self.listener.finished():
            self.node.discovery.close()
            # One more turn, so that the last answers leave.
            self.loop.call_later(POLL_S, self.end)
        else:
            self.loop.call_later(POLL_S, self.wait)

    def end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)


def main() -> int:
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"loadbalancer: {err}", file=sys.stderr)
        return 2
    logs.configure(config.name, LOG_LINES)
    # A full pipe behind the log must not stop the loop.
    os.set_blocking(sys.stderr.fileno(), False)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        run = Run(config, loop)
        loop.run_until_complete(run.run())
    except (ListError, RoutesError, SourceError, OSError) as err:
        print(f"loadbalancer: {err}", file=sys.stderr)
        return 2
    # Not through the interpreter's own end: it would take the loop and each
    # connection apart one by one, in time that the exit does not have.
    # What a log that nobody reads still holds must not turn the end into a failure.
    with contextlib.suppress(OSError):
        sys.stderr.flush()
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())

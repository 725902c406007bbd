"""The two sides of an upgrade: who hands the clients' address on, and who takes it.

What either may use meanwhile is decided in loadbalancer/core/process_pair.py; what readiness,
answers and idle connections do, in loadbalancer/proxy/lifecycle.py. Every wait for the other
side is bounded, and its end, whenever it comes, leaves one whole node.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import Protocol

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.process_pair import PredecessorShare, SuccessorShare, endpoint_use
from loadbalancer.proxy.downstream.listener import Listener
from loadbalancer.proxy.host import Node
from loadbalancer.proxy.lifecycle import TICK, Service
from loadbalancer.proxy.sockets import release_socket
from loadbalancer.upgrade.handed_state import Inheritance, read, write
from loadbalancer.upgrade.link import HELLO, Frame, Link, be_greeted, greet
from loadbalancer.upgrade.socket_path import Place, path_for, trusted

GREET_S = 0.8  # for a predecessor's greeting; one that hangs is gone without
MEET_S = 0.8  # for its state
YIELD_S = 0.3  # for its first word on what it keeps
HELLO_S = 2.0  # for a caller's first bytes
BUSY_TRIES = 30  # while it hands over to another one
BUSY_S = 0.1
MOST_CALLERS = 4


class Host(Protocol):
    """The process that an upgrade is of."""

    loop: asyncio.AbstractEventLoop
    node: Node
    listener: Listener
    service: Service

    def reload(self, passed_on: bool = False) -> None: ...
    def set_standby(self, on: bool) -> None: ...


class Predecessor:
    """Waits for a successor, hands over to it, and gives up its part as it empties."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self._place = Place(path_for(host.node.config.listen))
        self._callers: dict[socket.socket, asyncio.TimerHandle] = {}
        self._link: Link | None = None
        self._kept: PredecessorShare | None = None
        self._clients = 1  # when the successor began
        self._idle = 0
        self._need = 1.0
        self._lent = 0  # descriptors; like slots they are only ever given up

    @property
    def relieved(self) -> bool:
        return self._kept is not None

    def open(self) -> None:
        """Be found from now on. Without the path a successor shares the port instead."""
        try:
            self._place.claim()
        except OSError as err:
            self.host.node.log(f"upgrade: no socket in the temporary folder: {err.strerror}")
            return
        assert self._place.sock is not None
        self.host.loop.add_reader(self._place.sock, self._accept)

    def close(self) -> None:
        """Be found no more; callers without a greeting are let go."""
        if self._place.sock is not None:
            self.host.loop.remove_reader(self._place.sock)
        self._place.leave()
        for sock in list(self._callers):
            self._let_go(sock)

    def pass_on(self, frame: Frame) -> bool:
        """Tell the successor; False where there is none."""
        if self._link is None or not self.relieved:
            return False
        self._link.send(frame)
        return True

    # ---- greeting -------------------------------------------------------

    def _accept(self) -> None:
        listener = self._place.sock
        if listener is None:
            return
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        if not trusted(sock) or self._link is not None or len(self._callers) >= MOST_CALLERS:
            sock.close()  # one successor at a time: another finds its way to the first
            return
        sock.setblocking(False)
        loop = self.host.loop
        self._callers[sock] = loop.call_later(HELLO_S, self._let_go, sock)
        loop.add_reader(sock, self._hello, sock)

    def _let_go(self, sock: socket.socket, close: bool = True) -> None:
        timer = self._callers.pop(sock, None)
        if timer is not None:
            timer.cancel()
            self.host.loop.remove_reader(sock)
            if close:
                sock.close()

    def _hello(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(len(HELLO))
            listener = self.host.listener.sock
            if data != HELLO or listener is None or self._link is not None:
                raise ConnectionError(f"a caller said {data!r}")
            greet(sock, listener)
        except OSError as err:
            self.host.node.log(f"upgrade: not handed over: {err}")
            self._let_go(sock)
            return
        self._let_go(sock, close=False)
        link = self._link = Link(self._told, self._ended)
        self.host.loop.create_task(self._begin(link, sock))

    async def _begin(self, link: Link, sock: socket.socket) -> None:
        try:
            transport, _ = await self.host.loop.connect_accepted_socket(lambda: link, sock)
            release_socket(transport, sock)
        except OSError:
            link.end()
            return
        self.host.node.log("upgrade: a successor has come")
        link.send({"state": write(self.host.node, self.host.service.standby)})

    # ---- giving up --------------------------------------------------------

    def _told(self, frame: Frame) -> None:
        if "serving" in frame:
            self._relieve()
        elif "news" in frame:
            self.host.node.discovery.on_forwarded(str(frame["news"]).encode())
        elif "reload" in frame:
            self.host.reload(passed_on=True)
        elif "standby" in frame:
            self.host.set_standby(bool(frame["standby"]))

    def _relieve(self) -> None:
        """The successor serves: from here on this process only empties."""
        if self.relieved:
            return
        host, node = self.host, self.host.node
        host.listener.hold_back()
        host.service.relieve(time.monotonic_ns())
        self.close()
        node.discovery.suspend()
        if node.peers is not None:
            node.peers.close(leaving=False)  # one writer: the successor speaks from here on
        self._kept = PredecessorShare()
        self._clients = max(node.clients, 1)
        self._idle = node.upstream.idle_count()
        self._need = 1.0
        self._lent = 0
        kept = self._kept.begin(endpoint_use(node.balancer, time.monotonic_ns()))
        node.divide(self._kept)
        node.log(f"upgrade: the successor serves; {node.clients} connections to empty")
        self._tell(kept)
        self._tick()

    def _tick(self) -> None:
        kept = self._kept
        if kept is None:
            return
        node = self.host.node
        self.host.listener.send_away(time.monotonic_ns())
        self._need = min(self._need, node.clients / self._clients)
        changed = kept.release(endpoint_use(node.balancer, time.monotonic_ns()), self._need)
        node.upstream.trim(int(self._idle * self._need))
        node.divide(kept)
        self._tell(changed)
        self.host.loop.call_later(TICK / SECOND, self._tick)

    def _tell(self, kept: dict[int, int]) -> None:
        assert self._link is not None
        node = self.host.node
        self._lent = max(self._lent, node.spare_descriptors())
        node.lend_descriptors(self._lent)
        self._link.send(
            {
                "keeps": {str(backend): slots for backend, slots in kept.items()},
                "descriptors": node.descriptors(),
                "labels": [label.decode("latin-1") for label in node.labels],
                "empty": self._need == 0,
            }
        )

    def _ended(self) -> None:
        """The successor has gone: be the whole node again, unless a stop is under way."""
        self._link = None
        host = self.host
        if not self.relieved:
            host.node.log("upgrade: the successor left before it served")
            return
        self._kept = None
        host.service.take_back()
        host.node.be_whole()
        if host.service.stopping:
            return
        host.node.log("upgrade: the successor has gone; serving again")
        host.listener.accept_again()
        host.node.discovery.resume()
        self.open()


class Successor:
    """Takes the clients' address over from a running process, or finds that there is none."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self._place = Place(path_for(host.node.config.listen))
        self._sock: socket.socket | None = None
        self._link: Link | None = None
        self._state: asyncio.Future[Inheritance | None] | None = None
        self._yielded: asyncio.Future[None] | None = None
        self._left: SuccessorShare | None = None
        self.listener: socket.socket | None = None

    async def find(self) -> None:
        """Look for a predecessor and take its listening socket."""
        for _ in range(BUSY_TRIES):
            sock = self._place.connect(GREET_S)
            if sock is None:
                return
            try:
                self.listener = be_greeted(sock)
            except OSError as err:
                sock.close()
                self.host.node.log(f"upgrade: no predecessor to take over from: {err}")
                if isinstance(err, TimeoutError):
                    return  # it hangs: share the port with it
                await asyncio.sleep(BUSY_S)
                continue
            self._sock = sock
            return

    async def meet(self) -> Inheritance | None:
        """What the predecessor leaves; None where there is none or it says nothing."""
        sock, self._sock = self._sock, None
        if sock is None:
            return None
        loop = self.host.loop
        self._state = loop.create_future()
        link = self._link = Link(self._told, self._ended)
        sock.setblocking(False)
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: link, sock)
            release_socket(transport, sock)
            return await asyncio.wait_for(self._state, MEET_S)
        except (TimeoutError, OSError):
            link.end()
            return None

    async def serve(self) -> None:
        """Say that this process serves, and hear first what the other one keeps."""
        link = self._link
        if link is None or not link.open:
            return
        self._left = SuccessorShare()
        self._yielded = self.host.loop.create_future()
        self.host.node.discovery.forward = self._news
        link.send({"serving": True})
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._yielded, YIELD_S)

    def pass_on(self, frame: Frame) -> None:
        if self._link is not None:
            self._link.send(frame)

    def _news(self, body: bytes) -> None:
        self.pass_on({"news": body.decode("utf-8", "replace")})

    def _told(self, frame: Frame) -> None:
        if "state" in frame:
            if self._state is not None and not self._state.done():
                self._state.set_result(read(frame["state"], time.monotonic_ns()))
        elif "keeps" in frame and self._left is not None:
            kept = {int(key): int(slots) for key, slots in frame["keeps"].items()}
            labels = {str(label).encode("latin-1") for label in frame["labels"]}
            descriptors = int(frame["descriptors"])
            node = self.host.node
            self._left.update(kept)
            node.divide(self._left)
            node.others = labels
            node.lend_descriptors(descriptors)
            if self._yielded is not None and not self._yielded.done():
                self._yielded.set_result(None)
        elif "reload" in frame:
            self.host.reload(passed_on=True)
        elif "standby" in frame:
            self.host.set_standby(bool(frame["standby"]))

    def _ended(self) -> None:
        """The predecessor has gone: whatever it kept is ours."""
        for future in (self._state, self._yielded):
            if future is not None and not future.done():
                future.set_result(None)
        if self._left is not None:
            self._left = None
            self.host.node.log("upgrade: the predecessor has gone")
        self.host.node.discovery.forward = None
        self.host.node.be_whole()

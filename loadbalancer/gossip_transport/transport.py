"""One node's socket to the others: datagrams in and out, and when its gossip takes a turn.

Opened only where the settings allow gossip. What arrives is bounded before it is decoded
(`datagram_filter.py`), and no request waits for any of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

from loadbalancer.config.node import Config
from loadbalancer.core import Balancer, Listing, Update
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.balancer_bridge import BalancerBridge
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import Outgoing
from loadbalancer.core.gossip.settings import GossipSettings
from loadbalancer.faults import run_logged
from loadbalancer.gossip_transport.codec import encode, fleet_number
from loadbalancer.gossip_transport.datagram_filter import DatagramFilter
from loadbalancer.gossip_transport.settings import FleetFile
from loadbalancer.gossip_transport.status import status

if TYPE_CHECKING:
    from loadbalancer.gossip_transport.shared_list import ListSharing
    from loadbalancer.sources.consul.source import ConsulMembers
    from loadbalancer.sources.discovery import Discovery

logger = logging.getLogger(__name__)

DATAGRAMS_PER_EVENT = 32  # read in one event of the loop, so that requests come in between
MAX_DATAGRAM_BYTES = 2048
RECEIVE_BUFFER_BYTES = 64 << 10  # small, so that a paused node finds few old messages
FAULT_RETRY_NS = 100 * MS  # from a turn that raised to the next one
BIND_RETRY_S = 0.1  # while another process of this node has the port


class Host(Protocol):
    """What the transport asks of the node's host."""

    loop: asyncio.AbstractEventLoop
    balancer: Balancer

    @property
    def discovery(self) -> Discovery | ConsulMembers:
        """Where the list of servers comes from."""

    def notify_balancer(self, event: Callable[..., None], *args: Any) -> None:
        """Run an event of the Balancer, with the time and these arguments."""


class GossipTransport:
    """A GossipNode on a UDP socket and an event loop, connected to the host's Balancer."""

    def __init__(self, host: Host, config: Config) -> None:
        """Raises FleetError where the configuration names a fleet file that can't be used."""
        assert config.peer_listen is not None
        file = _fleet_file(config)
        now = time.monotonic_ns()
        self.counters: Counter[str] = Counter()
        self._host = host
        self._listen = config.peer_listen
        self._fleet = fleet_number(file.name)
        self._addresses = config.peers
        self._filter = DatagramFilter(
            config.peers, config.settings.node, self._fleet, self.counters, now
        )
        self.node = GossipNode(_gossip_settings(config, file), config.seed, _incarnation(), now)
        self.bridge = BalancerBridge(self.node, host.balancer)
        self._list_sharing = self._share_list(config)
        self._caught_up = False  # as last logged
        self._alive = 0  # as last logged
        self._sock: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0

    def _share_list(self, config: Config) -> ListSharing | None:
        if self.node.shared_list is None:
            return None
        # Imported here: a node that reads the list for itself does not pay for the module.
        from loadbalancer.gossip_transport.shared_list import ListSharing

        return ListSharing(self._host, self.node, config.known)

    # ---- socket -----------------------------------------------------------

    def open(self) -> None:
        """Take part from now on, or as soon as no other process of this node does any more."""
        family = socket.AF_INET6 if ":" in self._listen.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            sock.bind(self._listen)
        except OSError as err:
            sock.close()
            self._retry_open(err)
            return
        self._sock = sock
        self._host.loop.add_reader(sock, self._read)
        logger.info("gossip between %d nodes at %s", len(self._addresses), self._listen)
        self._turn()

    def reopen(self) -> None:
        """Take part again after `close`: the process that took part for this node has ended.

        Failure: the successor of an upgrade crashes and this process serves on, without a
        socket. The others take the node for dead, and it learns nothing from them.
        """
        if self._sock is None and self._timer is None:
            self.node.rejoin(time.monotonic_ns(), _incarnation())
            self.open()

    def _retry_open(self, err: OSError) -> None:
        if not self.counters["port taken"]:
            logger.info("gossip between nodes: %s: %s; waiting", self._listen, err.strerror)
        self.counters["port taken"] += 1
        # Where the port is never free this node must come to serve as one without gossip.
        # Failure: a fault there, before the timer is set, and the port is never tried again: this
        # node takes no part in gossip until a restart. It is logged, and the timer set.
        run_logged(self._update_host, time.monotonic_ns())
        self._timer = self._host.loop.call_later(BIND_RETRY_S, self.open)

    def close(self, leaving: bool) -> None:
        """Send no more; `leaving` announces that no other process of this node takes part."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock is None:
            return
        if leaving:
            self._send(self.node.leave())
        self._host.loop.remove_reader(self._sock)
        self._sock.close()
        self._sock = None
        update = self.bridge.close(time.monotonic_ns())
        if update is not None:
            self._host.notify_balancer(self.bridge.apply, update)

    def _discard_after_pause(self, now: int) -> None:
        """After a pause of this process, discard what waited in the socket: its age is unknown."""
        if self._sock is None or not self.node.recover_if_paused(now):
            return
        with contextlib.suppress(OSError):
            for _ in range(RECEIVE_BUFFER_BYTES):
                self._sock.recv(1)
                self.counters["waited too long"] += 1

    def _read(self) -> None:
        now = time.monotonic_ns()
        self._discard_after_pause(now)
        for _ in range(DATAGRAMS_PER_EVENT):
            if self._sock is None:
                return
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                continue  # an earlier message was refused: its node does not listen, no more
            message = self._filter.accept(now, data, source[:2])
            if message is not None:
                self._send(self.node.receive(now, message))
        self._update_host(now)

    def _send(self, out: Iterable[Outgoing]) -> None:
        if self._sock is None:
            return
        for to, message in out:
            data = encode(message, self._fleet)
            self.counters["sent"] += 1
            self.counters["bytes sent"] += len(data)
            # Lost like any other message: a full buffer, or no route.
            with contextlib.suppress(OSError):
                self._sock.sendto(data, self._addresses[to])

    # ---- turns ---------------------------------------------------------------

    def _turn(self) -> None:
        """Take a turn, and arm the next one.

        Failure: a turn raises before it has armed the next one, and none comes any more: this
        node neither probes nor tells the others anything, and they take it for dead. After a
        fault the next turn comes a while later, as the time of the regular one may be over.
        """
        self._timer = None
        if run_logged(self._take_turn) or self._sock is None or self._timer is not None:
            return
        self._timer_due = time.monotonic_ns() + FAULT_RETRY_NS
        self._timer = self._host.loop.call_later(FAULT_RETRY_NS / SECOND, self._turn)

    def _take_turn(self) -> None:
        now = time.monotonic_ns()
        self._discard_after_pause(now)
        self.bridge.report(now)
        self._send(self.node.tick(now))
        self._update_host(now)

    def _update_host(self, now: int) -> None:
        """Pass what has changed on to the Balancer and the list, and arm the next turn."""
        node = self.node
        update = self.bridge.collect(now)
        if update is not None:
            self._host.notify_balancer(self.bridge.apply, update)
        if self.bridge.alive != self._alive:
            self._alive = self.bridge.alive
            logger.info("%d of %d nodes live", self._alive, len(self._addresses))
        if self._list_sharing is not None:
            self._list_sharing.update(now, self._sock is not None)
        if node.caught_up != self._caught_up:
            self._caught_up = node.caught_up
            if node.caught_up:
                logger.info("caught up in %d ms", node.counters["catch_up_ms"])
        self._arm(now)

    def _arm(self, now: int) -> None:
        """Arm the timer of the next turn, also where that has been brought forward."""
        due = self.node.next_tick_at
        if self._sock is None or (self._timer is not None and due >= self._timer_due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._host.loop.call_later(max(due - now, 0) / SECOND, self._turn)

    # ---- the list -----------------------------------------------------------------

    def on_list(self, update: Update, rows: list[Listing]) -> list[Listing]:
        """This node's own list has changed; returns the rows with the drains of other nodes."""
        now = time.monotonic_ns()
        if update == Update.FAILED:
            return rows
        roster = self._host.discovery.endpoint_list
        servers = [(row.backend, roster.boot_ms(row.backend), row.state) for row in rows]
        complete = update in (Update.FULL, Update.CACHED)
        self.node.on_local_list(now, roster.rev, servers, complete)
        self._arm(now)
        return [
            row._replace(state=self.node.effective_state(row.backend, boot, row.state))
            for row, (_, boot, _state) in zip(rows, servers, strict=True)
        ]

    def status(self) -> str:
        """What `loadbalancer peers` shows, as JSON."""
        return status(self.node, self.counters, time.monotonic_ns())


def _incarnation() -> int:
    """An incarnation above those of this node's earlier processes.

    The wall clock is read here alone. Where it has jumped back, the others' records raise the
    incarnation.
    """
    return time.time_ns() // MS


def _fleet_file(config: Config) -> FleetFile:
    if not config.fleet:
        return FleetFile()
    # Imported here: reading TOML takes more memory than all gossip does.
    from loadbalancer.gossip_transport.fleet_file import read_fleet

    return read_fleet(config.fleet)


def _gossip_settings(config: Config, file: FleetFile) -> GossipSettings:
    settings = config.settings
    # A list that is pushed costs nothing to ask for, and Consul has readers of its own.
    readers = file.readers if settings.poll and not config.consul else 0
    if readers != file.readers:
        logger.info("readers: ignored, as lists are pushed or come from Consul")
    return GossipSettings(
        len(config.peers), settings.node, settings.zones, file.messages, file.datagram, file.slots,
        readers,
    )  # fmt: skip

"""The UDP socket of a node's gossip: sends and receives datagrams, and calls `GossipNode.tick`.

It is open only if the settings allow gossip. Datagrams are rate limited before they are decoded
(`datagram_filter.py`), and no request waits for them.
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

DATAGRAMS_PER_EVENT = 32  # datagrams read before other events, such as requests, are processed
MAX_DATAGRAM_BYTES = 2048
RECEIVE_BUFFER_BYTES = 64 << 10  # small, so that few old messages wait for a paused node
FAULT_RETRY_NS = 100 * MS  # delay of the next tick after one that raised an exception
BIND_RETRY_S = 0.1  # delay of the next attempt while another process of this node has the port


class Host(Protocol):
    """What the transport uses of its host, the process that embeds the Balancer."""

    loop: asyncio.AbstractEventLoop
    balancer: Balancer

    @property
    def discovery(self) -> Discovery | ConsulMembers:
        """The source of the endpoint list."""

    def notify_balancer(self, event: Callable[..., None], *args: Any) -> None:
        """Call `event` with the time and these arguments, as an event of the Balancer."""


class GossipTransport:
    """Runs a GossipNode on a UDP socket and an event loop, connected to the host's Balancer."""

    def __init__(self, host: Host, config: Config) -> None:
        """Raises FleetError if the configuration names a fleet file that can't be used."""
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
        self._list_sharing = self._create_list_sharing(config)
        self._caught_up = False  # value of `node.caught_up` that was logged last
        self._alive = 0  # number of alive nodes that was logged last
        self._sock: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tick_due = 0

    def _create_list_sharing(self, config: Config) -> ListSharing | None:
        if self.node.shared_list is None:
            return None
        # Imported here so that a node without a shared list does not load the module.
        from loadbalancer.gossip_transport.shared_list import ListSharing

        return ListSharing(self._host, self.node, config.known)

    def open(self) -> None:
        """Open the socket, or retry until no other process of this node has the port."""
        family = socket.AF_INET6 if ":" in self._listen.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            sock.bind(self._listen)
        except OSError as err:
            sock.close()
            self._open_later(err)
            return
        self._sock = sock
        self._host.loop.add_reader(sock, self._on_readable)
        logger.info("gossip between %d nodes at %s", len(self._addresses), self._listen)
        self._run_tick()

    def reopen(self) -> None:
        """Take part again after `close`, because the process that replaced this one has ended.

        This happens if the successor of an upgrade crashes and this process continues to serve.
        Without a socket, the other nodes would consider this node dead, and it would receive
        nothing from them.
        """
        if self._sock is None and self._timer is None:
            self.node.rejoin(time.monotonic_ns(), _incarnation())
            self.open()

    def _open_later(self, err: OSError) -> None:
        if not self.counters["port taken"]:
            logger.info(
                "gossip between nodes: can't bind %s: %s; retrying", self._listen, err.strerror
            )
        self.counters["port taken"] += 1
        # If the port never becomes free, this node must serve as one without gossip, so the host is
        # updated here as well. An exception from that is only logged: if the timer were not set,
        # the port would not be tried again, and this node would need a restart to use gossip.
        run_logged(self._update_host, time.monotonic_ns())
        self._timer = self._host.loop.call_later(BIND_RETRY_S, self.open)

    def close(self, leaving: bool) -> None:
        """Close the socket.

        If `leaving`, first notify other nodes that no process of this node takes part any more.
        """
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
        """After a pause of this process, discard datagrams in the socket: their age is unknown."""
        if self._sock is None or not self.node.recover_if_paused(now):
            return
        with contextlib.suppress(OSError):
            for _ in range(RECEIVE_BUFFER_BYTES):
                self._sock.recv(1)
                self.counters["waited too long"] += 1

    def _on_readable(self) -> None:
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
                continue  # an ICMP error for a datagram sent before: that node does not listen
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
            # On an error (full buffer, no route) the message is lost, as may happen on the network.
            with contextlib.suppress(OSError):
                self._sock.sendto(data, self._addresses[to])

    def _run_tick(self) -> None:
        """Run a tick, and make sure that the next one is scheduled.

        If a tick raises before it has scheduled the next one, that must not be the last: this node
        would send neither probes nor updates, and other nodes would consider it dead. The next tick
        then follows after FAULT_RETRY_NS, because its regular time may have passed already.
        """
        self._timer = None
        if run_logged(self._tick) or self._sock is None or self._timer is not None:
            return
        self._tick_due = time.monotonic_ns() + FAULT_RETRY_NS
        self._timer = self._host.loop.call_later(FAULT_RETRY_NS / SECOND, self._run_tick)

    def _tick(self) -> None:
        now = time.monotonic_ns()
        self._discard_after_pause(now)
        self.bridge.report(now)
        self._send(self.node.tick(now))
        self._update_host(now)

    def _update_host(self, now: int) -> None:
        """Pass changes to the Balancer and to the shared list, and schedule the next tick."""
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
        self._schedule_tick(now)

    def _schedule_tick(self, now: int) -> None:
        """Set the timer of the next tick, also if that has become due earlier than before."""
        due = self.node.next_tick_at
        if self._sock is None or (self._timer is not None and due >= self._tick_due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._tick_due = due
        self._timer = self._host.loop.call_later(max(due - now, 0) / SECOND, self._run_tick)

    def on_list(self, update: Update, rows: list[Listing]) -> list[Listing]:
        """Process a change of the endpoint list; returns its rows with drains from other nodes."""
        now = time.monotonic_ns()
        if update == Update.FAILED:
            return rows
        endpoint_list = self._host.discovery.endpoint_list
        servers = [(row.backend, endpoint_list.boot_ms(row.backend), row.state) for row in rows]
        complete = update in (Update.FULL, Update.CACHED)
        self.node.on_local_list(now, endpoint_list.rev, servers, complete)
        self._schedule_tick(now)
        return [
            row._replace(state=self.node.effective_state(row.backend, boot, row.state))
            for row, (_, boot, _state) in zip(rows, servers, strict=True)
        ]

    def status(self) -> str:
        """The gossip status as JSON, which `loadbalancer peers` shows."""
        return status(self.node, self.counters, time.monotonic_ns())


def _incarnation() -> int:
    """An incarnation above those of the earlier processes of this node.

    Nothing else in gossip reads the wall clock. If it has jumped back, records of other members
    lead this node to increase its incarnation.
    """
    return time.time_ns() // MS


def _fleet_file(config: Config) -> FleetFile:
    if not config.fleet:
        return FleetFile()
    # Imported here because the TOML parser takes more memory than all of gossip.
    from loadbalancer.gossip_transport.fleet_file import read_fleet

    return read_fleet(config.fleet)


def _gossip_settings(config: Config, file: FleetFile) -> GossipSettings:
    settings = config.settings
    # A list that is pushed needs no polling, and `sources.consul` has separate readers.
    readers = file.readers if settings.poll and not config.consul else 0
    if readers != file.readers:
        logger.info("fleet file: `readers` is ignored, as the list is pushed or comes from Consul")
    return GossipSettings(
        len(config.peers), settings.node, settings.zones, file.messages, file.datagram, file.slots,
        readers,
    )  # fmt: skip

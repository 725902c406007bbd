"""One node's socket to the others: datagrams in and out, who may speak, and the fleet's turns.

Opened only where the settings allow messages between nodes. Whatever comes here is bounded
before it is looked at, and no request waits for any of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from loadbalancer.config.node import Config
from loadbalancer.core import Balancer, Listing, Update
from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.balancer_bridge import BalancerBridge
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import MemberStatus, Outgoing
from loadbalancer.core.gossip.settings import GossipSettings
from loadbalancer.core.gossip.token_bucket import TokenBucket
from loadbalancer.gossip_transport.codec import BadMessageError, decode, encode, tier
from loadbalancer.gossip_transport.settings import FleetFile

if TYPE_CHECKING:
    from loadbalancer.sources.consul.source import ConsulMembers
    from loadbalancer.sources.discovery import Discovery

READ_ONCE = 32  # datagrams a turn of the loop: requests come in between
FROM_ONE = 300  # datagrams a second of one node; those that catch up get CATCH_UP_RATE a second
ALL = 1500  # datagrams a second looked at in all
BUFFER = 64 << 10  # bytes that wait in the socket: a stopped node keeps no more old messages
BIND_S = 0.1  # until the port is tried again, while another process of this node holds it


class Host(Protocol):
    """What the peers' socket asks of the host."""

    loop: asyncio.AbstractEventLoop
    balancer: Balancer

    @property
    def discovery(self) -> Discovery | ConsulMembers: ...
    def log(self, text: str) -> None: ...
    def moves(self, event: Callable[..., None], *args: Any) -> None: ...


class Speaker(NamedTuple):
    """A node's number, and how fast it may speak."""

    node: int
    pace: TokenBucket


class Peers:
    """See the module's docstring."""

    def __init__(self, host: Host, config: Config) -> None:
        file = FleetFile()
        if config.fleet:
            # Here and not above: reading TOML takes more memory than all gossip does.
            from loadbalancer.gossip_transport.file import read_fleet

            file = read_fleet(config.fleet)
        s = config.settings
        now = time.monotonic_ns()
        assert config.peer_listen is not None
        self._host = host
        self._listen = config.peer_listen
        self._tier = tier(file.tier)
        self._addresses = config.peers
        self._speakers: dict[tuple[str, int], Speaker] = {}
        for node, address in enumerate(config.peers):
            if node != s.node:
                self._speakers[address] = Speaker(node, TokenBucket(FROM_ONE, FROM_ONE, now))
        self._all = TokenBucket(ALL, ALL, now)
        # Where lists are pushed asking costs nothing, and Consul has readers of its own.
        readers = file.readers if s.poll and not config.consul else 0
        if readers != file.readers:
            host.log("readers: of no use where lists are pushed, or come from Consul")
        terms = GossipSettings(
            len(config.peers), s.node, s.zones, file.messages, file.datagram, file.slots, readers
        )
        # The wall clock is read here alone, for a number that this node's last start lies
        # under; where it has jumped back, others tell us and we go on from theirs.
        self.fleet = GossipNode(terms, config.seed, time.time_ns() // MS, now)
        self.bridge = BalancerBridge(self.fleet, host.balancer)
        self.shared = None
        if self.fleet.shared_list is not None:
            # Here and not above: where each node reads for itself it costs nothing.
            from loadbalancer.gossip_transport.shared_list import Lists

            self.shared = Lists(host, self.fleet, config.known)
        self.counts: Counter[str] = Counter()
        self._caught_up = False
        self._living = 0  # as last logged
        self._sock: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._armed = 0

    # ---- socket -----------------------------------------------------------

    def open(self) -> None:
        """Take part from now on, or once no other process of this node does any more."""
        sock = socket.socket(
            socket.AF_INET6 if ":" in self._listen.host else socket.AF_INET, socket.SOCK_DGRAM
        )
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        try:
            sock.bind(self._listen)
        except OSError as err:
            sock.close()
            if not self.counts["port taken"]:
                self._host.log(f"gossip between nodes: {self._listen}: {err.strerror}; waiting")
            self.counts["port taken"] += 1
            # Where it is never free this node must come to serve as one without gossip.
            self._after(time.monotonic_ns())
            self._timer = self._host.loop.call_later(BIND_S, self.open)
            return
        self._sock = sock
        self._host.loop.add_reader(sock, self._read)
        self._host.log(f"gossip between {len(self._addresses)} nodes at {self._listen}")
        self._turn()

    def close(self, leaving: bool) -> None:
        """Say no more; `leaving` tells the others that no successor goes on."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock is not None:
            if leaving:
                self._send(self.fleet.leave())
            self._host.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
            update = self.bridge.close(time.monotonic_ns())
            if update is not None:
                self._host.moves(self.bridge.apply, update)

    def _discard(self) -> None:
        """Throw away what has waited while we stood still: nobody can tell how old it is."""
        assert self._sock is not None
        with contextlib.suppress(OSError):
            for _ in range(BUFFER):
                self._sock.recv(1)
                self.counts["waited too long"] += 1

    def _read(self) -> None:
        now = time.monotonic_ns()
        if self.fleet.resume_after_pause(now):
            self._discard()
        for _ in range(READ_ONCE):
            if self._sock is None:
                return
            try:
                data, source = self._sock.recvfrom(2048)
            except BlockingIOError:
                break
            except OSError:
                continue  # a refused message of ours is told here: its node says nothing, no more
            self._heard(now, data, source[:2])
        self._after(now)

    def _heard(self, now: int, data: bytes, source: tuple[str, int]) -> None:
        speaker = self._speakers.get(source)
        if speaker is None:
            self.counts["unlisted"] += 1
            return
        if not (speaker.pace.take(now) and self._all.take(now)):
            self.counts["too many"] += 1
            return
        try:
            message = decode(data, self._tier)
        except BadMessageError as err:
            self.counts[str(err)] += 1
            return
        if message is None:
            self.counts["unknown kind"] += 1
        elif message.origin != speaker.node:
            # One who speaks under another's name, or a list in another order.
            self.counts["misnamed"] += 1
        else:
            self.counts["heard"] += 1
            self._send(self.fleet.receive(now, message))

    def _send(self, out: Iterable[Outgoing]) -> None:
        if self._sock is None:
            return
        for to, message in out:
            data = encode(message, self._tier)
            self.counts["sent"] += 1
            self.counts["bytes sent"] += len(data)
            # Lost like any other message: a full buffer, a route that has gone.
            with contextlib.suppress(OSError):
                self._sock.sendto(data, self._addresses[to])

    # ---- turns ---------------------------------------------------------------

    def _turn(self) -> None:
        self._timer = None
        now = time.monotonic_ns()
        if self.fleet.resume_after_pause(now):
            self._discard()
        self.bridge.report(now)
        self._send(self.fleet.tick(now))
        self._after(now)

    def _after(self, now: int) -> None:
        """Tell the Balancer what is new, and come again when it is time."""
        fleet = self.fleet
        update = self.bridge.collect(now)
        if update is not None:
            self._host.moves(self.bridge.apply, update)
        if self.bridge.alive != self._living:
            self._living = self.bridge.alive
            self._host.log(f"{self._living} of {len(self._addresses)} nodes live")
        if self.shared is not None:
            self.shared.after(now, self._sock is not None)
        if fleet.caught_up != self._caught_up:
            self._caught_up = fleet.caught_up
            if fleet.caught_up:
                self._host.log(f"caught up in {fleet.counters['catch_up_ms']} ms")
        self._arm(now)

    def _arm(self, now: int) -> None:
        """Turn when the fleet wants to, also where that is sooner than it was."""
        due = self.fleet.next_turn_at
        if self._sock is None or (self._timer is not None and due >= self._armed):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._armed = due
        self._timer = self._host.loop.call_later(max(due - now, 0) / SECOND, self._turn)

    # ---- the list -----------------------------------------------------------------

    def listed(self, update: Update, rows: list[Listing]) -> list[Listing]:
        """This node's own list has changed; returns the rows as the fleet knows them."""
        now = time.monotonic_ns()
        if update == Update.FAILED:
            return rows
        roster = self._host.discovery.roster
        told = [(r.backend, roster.boot_ms(r.backend), r.state) for r in rows]
        self.fleet.on_local_list(now, roster.rev, told, update in (Update.FULL, Update.CACHED))
        self._arm(now)
        return [
            r._replace(state=self.fleet.effective_state(r.backend, boot, r.state))
            for r, (_, boot, _state) in zip(rows, told, strict=True)
        ]

    # ---- for who is on call --------------------------------------------------------

    def status(self) -> str:
        """What `loadbalancer peers` shows, as JSON."""
        now = time.monotonic_ns()
        fleet, m = self.fleet, self.fleet.members
        nodes = []
        for n, p in sorted(m.peers.items()):
            heard = (now - p.last_message_at) // MS if p.last_message_at else None
            doubted = p.untrusted_until > now
            standing = MemberStatus(p.status).name.lower()
            nodes.append([n, standing, p.incarnation, heard, doubted])
        servers = fleet.report(now)
        found: dict[str, Any] = {
            "me": m.me, "incarnation": m.incarnation, "caught_up": fleet.caught_up,
            "living": m.alive_count(), "nodes": nodes, "servers": servers,
            "counts": dict(sorted((self.counts + fleet.counters).items())),
            "health": m.local_health, "refuted": m.refutations,
        }  # fmt: skip
        found |= fleet.leases.report(now)
        if fleet.shared_list is not None:
            found["list"] = fleet.shared_list.report(now)
        return json.dumps(found)

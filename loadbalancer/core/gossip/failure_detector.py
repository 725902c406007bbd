"""The SWIM failure detector: in each protocol period a node probes another member.

Das, Gupta, Motivala, "SWIM" (2002), sections 3 and 4.3: members are probed in the order of a
shuffled list, which is shuffled again after each round. A probe is a ping; if no ack arrives, other
members are asked by ping-req to ping the target as well. A member that sends no ack is suspected.
Dadgar, Phillips, Currey, "Lifeguard" (2017), section IV-A: a node whose own probes fail probes more
slowly. Times are in nanoseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.membership import PROTOCOL_PERIOD_NS, Membership
from loadbalancer.core.gossip.messages import MemberStatus, Message, MessageKind, Outgoing

ACK_TIMEOUT_NS = 200 * MS  # time without an ack after which ping-reqs are sent
PING_INTERVAL_NS = 100 * MS  # interval between the pings of one probe
INDIRECT_PROBES = 3  # members that get a ping-req in one round
MAX_INDIRECT_ROUNDS = 2  # rounds of ping-reqs in one protocol period
# Protocol periods without an ack before a member is suspected. At 30% packet loss one period in 20
# fails: suspecting the member each time would fill messages with suspicions and refutations.
MAX_PROBE_PERIODS = 2
MAX_PARALLEL_PROBES = 8  # probes started in one period
DEAD_PROBE_INTERVAL = 5  # in every fifth period a dead member is probed, as it may have returned
RELAY_TTL_NS = 4 * SECOND  # an ack that arrives longer after the ping-req is not relayed


class Probe:
    """The probe of one member, over up to MAX_PROBE_PERIODS protocol periods."""

    __slots__ = ("indirect_rounds", "node", "periods", "pinged_at", "serial", "started_at")

    def __init__(self, node: int, serial: int, now: int) -> None:
        self.node = node
        self.serial = serial
        self.started_at = now  # start of the present period of this probe
        self.pinged_at = now
        self.indirect_rounds = 0
        self.periods = 1


class Relay(NamedTuple):
    """A ping that was sent on behalf of another member."""

    requester: int
    serial: int  # of the ping-req
    target: int
    sent_at: int


class EndedProbes(NamedTuple):
    """The outcome of the probes without an ack at the end of a period."""

    pings: list[Outgoing]  # of probes that continue for another period
    failed: bool  # whether the probe of an alive member has failed


class FailureDetector:
    """Probes the members of a membership table and suspects those that send no ack."""

    def __init__(self, members: Membership) -> None:
        self._members = members
        self._random = members.random
        self._ring: list[int] = []
        self._periods = 0
        # Starts at random, so that an ack to a ping of an earlier process of this node won't match.
        self._serial = self._random.getrandbits(30)
        self._probes: dict[int, Probe] = {}  # by serial
        self._relays: dict[int, Relay] = {}  # by the serial of this node's ping
        # Probes to start in a period; doubled while probes fail, to detect many dead nodes sooner.
        self._parallel_probes = 1
        self._next_period_at = 0

    def on_message(self, now: int, message: Message) -> list[Outgoing]:
        """Reply to a ping, ping on behalf of a ping-req, or process an ack."""
        members = self._members
        if message.kind == MessageKind.PING:
            ack = members.message(MessageKind.ACK, serial=message.serial, subject=members.me)
            return [Outgoing(message.origin, ack)]
        if message.kind == MessageKind.PING_REQUEST and message.subject in members.peers:
            serial = self._next_serial()
            self._relays[serial] = Relay(message.origin, message.serial, message.subject, now)
            return [Outgoing(message.subject, members.message(MessageKind.PING, serial=serial))]
        if message.kind == MessageKind.ACK:
            return self._on_ack(message)
        return []

    def _on_ack(self, message: Message) -> list[Outgoing]:
        relay = self._relays.get(message.serial)
        if relay is not None and relay.target == message.origin:
            del self._relays[message.serial]
            ack = self._members.message(
                MessageKind.ACK, serial=relay.serial, subject=message.origin
            )
            return [Outgoing(relay.requester, ack)]
        probe = self._probes.get(message.serial)
        if probe is not None and message.subject == probe.node:
            del self._probes[message.serial]
            self._members.improve_local_health()
        return []

    def on_resumed(self, now: int) -> None:
        """Discard all probes: acks that arrived during a pause of this process were discarded."""
        self._probes.clear()
        self._relays.clear()
        self._next_period_at = now + PROTOCOL_PERIOD_NS

    def tick(self, now: int) -> list[Outgoing]:
        """The messages to send now. To be called several times in each protocol period."""
        self._members.expire_suspicions(now)
        slowdown = 1 + self._members.local_health
        out = [
            outgoing
            for probe in self._probes.values()
            for outgoing in self._retry_probe(now, probe, slowdown)
        ]
        if now >= self._next_period_at:
            self._next_period_at = now + PROTOCOL_PERIOD_NS * slowdown
            out += self._begin_period(now)
        return out

    def _begin_period(self, now: int) -> list[Outgoing]:
        """End the probes of the last period and start new ones."""
        self._relays = {
            serial: relay
            for serial, relay in self._relays.items()
            if now - relay.sent_at < RELAY_TTL_NS
        }
        out, failed = self._end_probes(now)
        self._parallel_probes = min(2 * self._parallel_probes, MAX_PARALLEL_PROBES) if failed else 1
        for _ in range(self._parallel_probes):
            target = self._next_target()
            if target is not None and all(p.node != target for p in self._probes.values()):
                serial = self._next_serial()
                probe = self._probes[serial] = Probe(target, serial, now)
                out.append(self._ping(probe))
        return out

    def _end_probes(self, now: int) -> EndedProbes:
        """Continue the probes without an ack for another period, or suspect their targets."""
        out = []
        failed = False
        for probe in list(self._probes.values()):
            alive = self._members.is_alive(probe.node)
            if probe.periods < MAX_PROBE_PERIODS and alive:
                probe.periods += 1
                probe.started_at = probe.pinged_at = now
                probe.indirect_rounds = 0
                out.append(self._ping(probe))
            else:
                del self._probes[probe.serial]
                failed = failed or alive
                self._members.suspect(now, probe.node)
        return EndedProbes(out, failed)

    def _ping(self, probe: Probe) -> Outgoing:
        """A ping, with the status of a member that is not ALIVE, to be refuted (Lifeguard)."""
        record = self._members.record(probe.node)
        records = (record,) if record.status != MemberStatus.ALIVE else ()
        message = self._members.message(MessageKind.PING, serial=probe.serial, records=records)
        return Outgoing(probe.node, message)

    def _retry_probe(self, now: int, probe: Probe, slowdown: int) -> list[Outgoing]:
        """Ping again while there is no ack, and after ACK_TIMEOUT_NS send ping-reqs instead."""
        if now - probe.pinged_at < PING_INTERVAL_NS * slowdown:
            return []
        probe.pinged_at = now
        if now - probe.started_at < ACK_TIMEOUT_NS * slowdown:
            return [self._ping(probe)]
        if probe.indirect_rounds >= MAX_INDIRECT_ROUNDS or not self._members.is_alive(probe.node):
            return []
        probe.indirect_rounds += 1
        message = self._members.message(
            MessageKind.PING_REQUEST, serial=probe.serial, subject=probe.node
        )
        relaying_members = self._members.sample(INDIRECT_PROBES, exclude=probe.node)
        return [Outgoing(member, message) for member in relaying_members]

    def _next_target(self) -> int | None:
        """The next member to probe: each alive one once in a round, and sometimes a dead one."""
        members = self._members
        self._periods += 1
        if self._periods % DEAD_PROBE_INTERVAL == 0:
            dead = [node for node in members.peers if not members.is_alive(node)]
            if dead:
                return self._random.choice(dead)
        while self._ring:
            node = self._ring.pop()
            if members.is_alive(node):
                return node
        self._ring = members.alive_peers()
        self._random.shuffle(self._ring)
        if self._ring:
            return self._ring.pop()
        peers = list(members.peers)
        return self._random.choice(peers) if peers else None

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial

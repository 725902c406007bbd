"""The membership table of one node: status and incarnation of each member, and suspicions.

Das, Gupta, Motivala, "SWIM" (2002), section 4: a member that does not respond to probes is
suspected, and declared dead unless it refutes the suspicion with a higher incarnation. Dadgar,
Phillips, Currey, "Lifeguard" (2017), section IV-B: the more members confirm a suspicion, the
shorter its timeout. The probes are in `failure_detector.py`. Times are in nanoseconds.
"""

from __future__ import annotations

from math import log, log10
from random import Random

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.messages import (
    MemberRecord,
    MemberStatus,
    Message,
    MessageKind,
    Record,
    record_checksum,
)

PROTOCOL_PERIOD_NS = 500 * MS  # interval between probes, as long as they succeed
MAX_LOCAL_HEALTH = 8  # limit of Lifeguard's local health multiplier, which slows down probing
SUSPICION_ALPHA = 2  # the minimum suspicion timeout is this * log10(members) protocol periods
SUSPICION_BETA = 4  # the maximum suspicion timeout, as a multiple of the minimum
MAX_CONFIRMATIONS = 3  # suspecting members from which the minimum suspicion timeout applies
ISOLATED_AFTER_NS = 3 * SECOND  # a node that gets no message for longer counts as isolated
PAUSED_AFTER_NS = SECOND  # a longer gap between two ticks means that the process was paused
# Two processes use one node number if messages of an earlier incarnation arrive while the present
# one sends as well. After DUPLICATE_NODE_STALE_MESSAGES of them the node is not trusted for a time.
DUPLICATE_NODE_DISTRUST_NS = 30 * SECOND
DUPLICATE_NODE_STALE_MESSAGES = 3


class Member:
    """What this node knows about another member."""

    __slots__ = (
        "incarnation",
        "last_message_at",
        "stale_messages",
        "status",
        "suspected_at",
        "suspected_by",
        "untrusted_until",
    )

    def __init__(self) -> None:
        self.incarnation = 0
        self.status = MemberStatus.ALIVE  # assumed until a probe fails or a record arrives
        self.suspected_at = 0
        self.last_message_at = 0  # from the member itself; 0 if there was none
        self.suspected_by: set[int] = set()  # members that suspect it in this incarnation
        self.stale_messages = 0
        self.untrusted_until = 0


class Membership:
    """The other members of the fleet by node number, and the incarnation of this node."""

    def __init__(self, me: int, nodes: int, incarnation: int, seed: int, now: int = 0) -> None:
        self.me = me
        self.incarnation = incarnation
        self.peers = {node: Member() for node in range(nodes) if node != me}
        self.local_health = 0  # local health multiplier of Lifeguard; 0 is healthy
        self.updates: list[MemberRecord] = []  # to disseminate, oldest first
        self.refutations = 0
        self.liveness_changes = 0  # how often a member has become dead, or alive again
        self.random = Random(seed)
        self._last_message_at = 0  # from any member
        self._running_since = now  # time of the start or of the end of the last pause
        self._suspects: set[int] = set()

    def is_alive(self, node: int) -> bool:
        """Whether a member counts as alive; a suspected member still does."""
        return node == self.me or self.peers[node].status <= MemberStatus.SUSPECT

    def alive_count(self) -> int:
        """How many members count as alive, including this node."""
        return 1 + sum(peer.status <= MemberStatus.SUSPECT for peer in self.peers.values())

    def alive_peers(self) -> list[int]:
        """The other members that count as alive."""
        return [node for node, p in self.peers.items() if p.status <= MemberStatus.SUSPECT]

    def trusted(self, now: int) -> set[int]:
        """The members whose node number is not known to be used by two processes."""
        return {node for node, peer in self.peers.items() if peer.untrusted_until <= now}

    def non_alive_records(self) -> list[MemberRecord]:
        """The records of all members with a status other than ALIVE."""
        return [
            MemberRecord(node, peer.incarnation, peer.status)
            for node, peer in self.peers.items()
            if peer.status != MemberStatus.ALIVE
        ]

    def record(self, node: int) -> MemberRecord:
        """The record of one member, which may be this node."""
        if node == self.me:
            return MemberRecord(node, self.incarnation, MemberStatus.ALIVE)
        peer = self.peers[node]
        return MemberRecord(node, peer.incarnation, peer.status)

    def digest(self) -> int:
        """A checksum of `non_alive_records` in any order."""
        total = 0
        for record in self.non_alive_records():
            total ^= record_checksum(record)
        return total

    def sample(self, count: int, exclude: int = -1) -> list[int]:
        """Up to `count` random other members that count as alive."""
        candidates = [node for node in self.alive_peers() if node != exclude]
        return self.random.sample(candidates, min(count, len(candidates)))

    def message(
        self,
        kind: MessageKind,
        serial: int = 0,
        subject: int = -1,
        digest: tuple[int, ...] = (),
        records: tuple[Record, ...] = (),
        body: bytes = b"",
    ) -> Message:
        """A message of this node in its present incarnation."""
        return Message(kind, self.me, self.incarnation, serial, subject, digest, records, body)

    # Messages and records from other members.

    def on_message(self, now: int, origin: int, incarnation: int) -> bool:
        """Record a message from a member; returns False if its incarnation is out of date."""
        peer = self.peers[origin]
        self._last_message_at = now
        if incarnation < peer.incarnation:
            # Either a delayed datagram, or two processes with one node number. In the second case
            # more of them follow.
            if now - peer.last_message_at < PAUSED_AFTER_NS:
                peer.stale_messages += 1
                if peer.stale_messages >= DUPLICATE_NODE_STALE_MESSAGES:
                    peer.stale_messages = 0
                    peer.untrusted_until = now + DUPLICATE_NODE_DISTRUST_NS
            return False
        if incarnation > peer.incarnation:
            peer.incarnation = incarnation
            if peer.status != MemberStatus.ALIVE:
                self._set_status(now, origin, MemberStatus.ALIVE)
        peer.last_message_at = now
        return True

    def merge(self, now: int, sender: int, record: MemberRecord) -> bool:
        """Merge a record received from `sender`; returns whether it has changed the table."""
        node, incarnation, status = record.node, record.incarnation, MemberStatus(record.status)
        if node == self.me:
            self._refute(incarnation, status)
            return False
        peer = self.peers[node]
        if incarnation < peer.incarnation:
            return False
        if incarnation == peer.incarnation and status <= peer.status:
            if status == MemberStatus.SUSPECT == peer.status:
                peer.suspected_by.add(sender)
            return False
        peer.incarnation = incarnation
        self._set_status(now, node, status)
        if status == MemberStatus.SUSPECT:
            peer.suspected_by = {sender}
        return True

    def is_stale(self, record: MemberRecord) -> bool:
        """Whether a record is about an earlier incarnation than the one this node knows."""
        return record.node != self.me and record.incarnation < self.peers[record.node].incarnation

    def _refute(self, incarnation: int, status: MemberStatus) -> None:
        """Increase this node's incarnation if a record calls it not alive or has a later one.

        A later incarnation in a record comes from an earlier process of this node, whose clock was
        ahead.
        """
        if incarnation < self.incarnation or (
            incarnation == self.incarnation and status == MemberStatus.ALIVE
        ):
            return
        self.incarnation = incarnation + 1
        self.refutations += 1
        self.degrade_local_health()
        self.updates.append(self.record(self.me))

    def _set_status(self, now: int, node: int, status: MemberStatus) -> None:
        peer = self.peers[node]
        was_dead, is_dead = (each > MemberStatus.SUSPECT for each in (peer.status, status))
        self.liveness_changes += was_dead != is_dead
        peer.status = status
        peer.suspected_at = now
        peer.suspected_by = set()
        if status == MemberStatus.SUSPECT:
            self._suspects.add(node)
        else:
            self._suspects.discard(node)
        self.updates.append(self.record(node))

    # Isolation and local health of this node.

    def has_lost_contact(self, now: int) -> bool:
        """Whether this node used to get messages, and has got none for ISOLATED_AFTER_NS."""
        return self._last_message_at > 0 and now - self._last_message_at > ISOLATED_AFTER_NS

    def receives_no_messages(self, now: int) -> bool:
        """Whether this node has run for ISOLATED_AFTER_NS without a message.

        The time counts from the last message, the start of this process, or the end of its last
        pause, whichever is the latest.
        """
        return now - max(self._last_message_at, self._running_since) > ISOLATED_AFTER_NS

    def restore_to_alive(self, now: int) -> None:
        """Set suspected and dead members to alive, because this node itself was isolated."""
        for node, peer in self.peers.items():
            if peer.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
                self._set_status(now, node, MemberStatus.ALIVE)

    def degrade_local_health(self) -> None:
        """Probe more slowly, as this node may be the faulty one (Lifeguard, section IV-A)."""
        self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)

    def improve_local_health(self) -> None:
        """Probe faster again, as a probe was acknowledged."""
        self.local_health = max(self.local_health - 1, 0)

    # Suspicion of other members.

    def suspect(self, now: int, node: int) -> None:
        """Suspect a member because a probe by this node failed."""
        if self.peers[node].status == MemberStatus.ALIVE:
            self._set_status(now, node, MemberStatus.SUSPECT)
            self.peers[node].suspected_by = {self.me}

    def suspicion_timeout(self, suspecting_members: int) -> float:
        """How long a suspicion lasts before the member is declared dead (Lifeguard, IV-B)."""
        members = self.alive_count()
        shortest = SUSPICION_ALPHA * max(log10(max(members, 1)), 1.0) * PROTOCOL_PERIOD_NS
        longest = SUSPICION_BETA * shortest
        if members <= MAX_CONFIRMATIONS + 1:
            return shortest  # too few members for confirmations to be possible
        confirmed = log(max(suspecting_members, 1)) / log(MAX_CONFIRMATIONS)
        return max(shortest, longest - (longest - shortest) * confirmed)

    def expire_suspicions(self, now: int) -> None:
        """Declare suspected members dead after their suspicion timeout."""
        for node in list(self._suspects):
            peer = self.peers[node]
            if now - peer.suspected_at >= self.suspicion_timeout(len(peer.suspected_by)):
                self._set_status(now, node, MemberStatus.DEAD)

    def on_resumed(self, now: int) -> None:
        """Restart all suspicion timeouts: this process was paused, so it received no refutation."""
        self._running_since = now
        self.degrade_local_health()
        for node in self._suspects:
            self.peers[node].suspected_at = now

"""One node's table of the fleet's members: their status and incarnations, and suspicion.

Das, Gupta, Motivala, "SWIM" (2002), section 4: a member that does not answer is suspected, and
declared dead unless it refutes the suspicion under a new incarnation. Dadgar, Phillips, Currey,
"Lifeguard" (2017), section IV-B: a suspicion ends the sooner the more members confirm it. The
probes that start suspicions are in `failure_detector.py`. Times are in nanoseconds.
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

PROTOCOL_PERIOD_NS = 500 * MS
MAX_LOCAL_HEALTH = 8  # Lifeguard's multiplier slows probing by this factor at most
SUSPICION_ALPHA = 2  # shortest suspicion in protocol periods, to be multiplied by log10(members)
SUSPICION_BETA = 4  # the longest suspicion, as a multiple of the shortest
MAX_CONFIRMATIONS = 3  # accusers after which a suspicion lasts the shortest time
ISOLATED_AFTER_NS = 3 * SECOND  # without a message from any member this node is isolated
PAUSED_AFTER_NS = SECOND  # a longer gap between two turns means that this process was stopped
NAME_CONFLICT_NS = 30 * SECOND  # how long a number that two processes use is not trusted
STALE_MESSAGES = 3  # of a past incarnation, beside a present one, that show two processes


class Member:
    """Another member as this node sees it."""

    __slots__ = (
        "accusers",
        "incarnation",
        "last_message_at",
        "stale_messages",
        "status",
        "suspected_at",
        "untrusted_until",
    )

    def __init__(self) -> None:
        self.incarnation = 0
        self.status = MemberStatus.ALIVE  # until something shows otherwise
        self.suspected_at = 0
        self.last_message_at = 0  # from the member itself, 0 for none yet
        self.accusers: set[int] = set()
        self.stale_messages = 0
        self.untrusted_until = 0


class Membership:
    """The other members of the fleet by number, and this node's own incarnation."""

    def __init__(self, me: int, nodes: int, incarnation: int, seed: int, now: int = 0) -> None:
        self.me = me
        self.incarnation = incarnation
        self.peers = {node: Member() for node in range(nodes) if node != me}
        self.local_health = 0  # Lifeguard's multiplier: 0 is healthy
        self.updates: list[MemberRecord] = []  # to be disseminated, oldest first
        self.refutations = 0
        self.liveness_changes = 0  # times that a member became dead, or alive again
        self.random = Random(seed)
        self._last_message_at = 0  # from any member
        self._running_since = now  # since the start, or since a pause
        self._suspects: set[int] = set()

    # ---- queries ------------------------------------------------------------

    def is_alive(self, node: int) -> bool:
        """Whether a member counts as alive, which a suspect does."""
        return node == self.me or self.peers[node].status <= MemberStatus.SUSPECT

    def alive_count(self) -> int:
        """How many members count as alive, this one included."""
        return 1 + sum(peer.status <= MemberStatus.SUSPECT for peer in self.peers.values())

    def alive_peers(self) -> list[int]:
        """The members that count as alive, without this one."""
        return [node for node, p in self.peers.items() if p.status <= MemberStatus.SUSPECT]

    def trusted(self, now: int) -> set[int]:
        """The members whose observations count: no number that two processes use."""
        return {node for node, peer in self.peers.items() if peer.untrusted_until <= now}

    def non_alive_records(self) -> list[MemberRecord]:
        """The records of all members with a status other than ALIVE."""
        return [
            MemberRecord(node, peer.incarnation, peer.status)
            for node, peer in self.peers.items()
            if peer.status != MemberStatus.ALIVE
        ]

    def record(self, node: int) -> MemberRecord:
        """The record of one member, this one included."""
        if node == self.me:
            return MemberRecord(node, self.incarnation, MemberStatus.ALIVE)
        peer = self.peers[node]
        return MemberRecord(node, peer.incarnation, peer.status)

    def digest(self) -> int:
        """A checksum of `non_alive_records`, independent of its order."""
        total = 0
        for record in self.non_alive_records():
            total ^= record_checksum(record)
        return total

    def sample(self, count: int, exclude: int = -1) -> list[int]:
        """Up to `count` other alive members, drawn at random."""
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
        """A message from this member in its present incarnation."""
        return Message(kind, self.me, self.incarnation, serial, subject, digest, records, body)

    # ---- messages and records -------------------------------------------------

    def on_message(self, now: int, origin: int, incarnation: int) -> bool:
        """Note a message from a member; returns False for a past incarnation."""
        peer = self.peers[origin]
        self._last_message_at = now
        if incarnation < peer.incarnation:
            # A late datagram, or two processes with one number: then further ones follow.
            if now - peer.last_message_at < PAUSED_AFTER_NS:
                peer.stale_messages += 1
                if peer.stale_messages >= STALE_MESSAGES:
                    peer.stale_messages = 0
                    peer.untrusted_until = now + NAME_CONFLICT_NS
            return False
        if incarnation > peer.incarnation:
            peer.incarnation = incarnation
            if peer.status != MemberStatus.ALIVE:
                self._set_status(now, origin, MemberStatus.ALIVE)
        peer.last_message_at = now
        return True

    def merge(self, now: int, accuser: int, record: MemberRecord) -> bool:
        """Merge a record received from `accuser`; returns whether it changed the table."""
        node, incarnation, status = record.node, record.incarnation, MemberStatus(record.status)
        if node == self.me:
            self._refute(incarnation, status)
            return False
        peer = self.peers[node]
        if incarnation < peer.incarnation:
            return False
        if incarnation == peer.incarnation and status <= peer.status:
            if status == MemberStatus.SUSPECT == peer.status:
                peer.accusers.add(accuser)
            return False
        peer.incarnation = incarnation
        self._set_status(now, node, status)
        if status == MemberStatus.SUSPECT:
            peer.accusers = {accuser}
        return True

    def is_stale(self, record: MemberRecord) -> bool:
        """Whether a record is of an incarnation that this node knows to be past."""
        return record.node != self.me and record.incarnation < self.peers[record.node].incarnation

    def _refute(self, incarnation: int, status: MemberStatus) -> None:
        """Raise this node's incarnation against a record that it is not alive, or a later one."""
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
        peer.accusers = set()
        if status == MemberStatus.SUSPECT:
            self._suspects.add(node)
        else:
            self._suspects.discard(node)
        self.updates.append(self.record(node))

    # ---- isolation and health ---------------------------------------------------

    def is_isolated(self, now: int) -> bool:
        """Whether messages have stopped for so long that this node may be cut off."""
        return self._last_message_at > 0 and now - self._last_message_at > ISOLATED_AFTER_NS

    def receives_no_messages(self, now: int) -> bool:
        """The same, also of a node that has received no message since its start or a pause."""
        return now - max(self._last_message_at, self._running_since) > ISOLATED_AFTER_NS

    def presume_alive(self, now: int) -> None:
        """Set suspect and dead members alive again: it was this node that was isolated."""
        for node, peer in self.peers.items():
            if peer.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
                self._set_status(now, node, MemberStatus.ALIVE)

    def degrade_local_health(self) -> None:
        """Slow this node's probes: it may be the faulty one (Lifeguard, section IV-A)."""
        self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)

    def improve_local_health(self) -> None:
        """Speed up this node's probes again: one was answered."""
        self.local_health = max(self.local_health - 1, 0)

    # ---- suspicion -----------------------------------------------------------

    def suspect(self, now: int, node: int) -> None:
        """Suspect a member by this node's own probe, unless it is suspect already."""
        if self.peers[node].status == MemberStatus.ALIVE:
            self._set_status(now, node, MemberStatus.SUSPECT)
            self.peers[node].accusers = {self.me}

    def suspicion_timeout(self, accusers: int) -> float:
        """How long a suspicion lasts, ns (Lifeguard, section IV-B)."""
        members = self.alive_count()
        shortest = SUSPICION_ALPHA * max(log10(max(members, 1)), 1.0) * PROTOCOL_PERIOD_NS
        longest = SUSPICION_BETA * shortest
        if members <= MAX_CONFIRMATIONS + 1:
            return shortest  # too few members for confirmations to show anything
        confirmed = log(max(accusers, 1)) / log(MAX_CONFIRMATIONS)
        return max(shortest, longest - (longest - shortest) * confirmed)

    def end_suspicions(self, now: int) -> None:
        """Declare dead the suspects whose suspicion timeout has passed."""
        for node in list(self._suspects):
            peer = self.peers[node]
            if now - peer.suspected_at >= self.suspicion_timeout(len(peer.accusers)):
                self._set_status(now, node, MemberStatus.DEAD)

    def on_resumed(self, now: int) -> None:
        """Restart all suspicions: this process was paused, so silence meanwhile shows nothing."""
        self._running_since = now
        self.degrade_local_health()
        for node in self._suspects:
            self.peers[node].suspected_at = now

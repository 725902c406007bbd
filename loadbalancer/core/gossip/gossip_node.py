"""One node of the fleet's gossip: combines the modules of this package.

Sans-I/O: messages in, messages out, time passed in as nanoseconds. `tick` is to be called at
`next_tick_at`. An update that is received is passed on at once, within
the message rate; without updates only SWIM, anti-entropy and leases send any.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import MS, State
from loadbalancer.core.gossip.anti_entropy import AntiEntropy
from loadbalancer.core.gossip.failure_detector import FailureDetector
from loadbalancer.core.gossip.lease_exchange import LeaseExchange
from loadbalancer.core.gossip.local_list import LocalList
from loadbalancer.core.gossip.membership import PAUSED_AFTER_NS, Membership
from loadbalancer.core.gossip.messages import (
    MAX_INCARNATION,
    MAX_SERIAL,
    DrainRecord,
    MemberRecord,
    MemberStatus,
    Message,
    MessageKind,
    Observation,
    Outgoing,
    ReaderRecord,
    Record,
    is_valid,
)
from loadbalancer.core.gossip.own_observations import OwnObservations, Results
from loadbalancer.core.gossip.records import RecordKey, RecordStore, key_of
from loadbalancer.core.gossip.settings import GossipSettings
from loadbalancer.core.gossip.slot_leases import SlotLeases
from loadbalancer.core.gossip.update_sender import GOSSIP_DELAY_NS, MEMBER, READER, UpdateSender
from loadbalancer.core.gossip.verdicts import VerdictChange, Verdicts

if TYPE_CHECKING:
    from loadbalancer.core.endpoints.shared_list import SharedList

TICK_NS = 100 * MS
LEAVE_MESSAGES = 6  # random members to which this node announces that it leaves


class GossipNode:
    """One node of the fleet: what it knows of the others, and what it sends them."""

    def __init__(self, settings: GossipSettings, seed: int, incarnation: int, now: int) -> None:
        self.settings = settings
        self.counters: Counter[str] = Counter()
        self.members = Membership(settings.me, settings.nodes, incarnation, seed, now)
        self.records = RecordStore(settings.zones)
        self.leases = SlotLeases(seed ^ 0x10A25)
        self.shared_list = _shared_list(settings, self.members, seed ^ 0x115E, now)
        self.lease_exchange = LeaseExchange(settings, self.members, self.leases)
        self._detector = FailureDetector(self.members)
        self._updates = UpdateSender(settings, self.members, self.records, self.shared_list, now)
        self.anti_entropy = AntiEntropy(
            self.members, self.records, self._updates, self.shared_list,
            Random(seed ^ 0x5EA75), self.counters, now,
        )  # fmt: skip
        self.local_list = LocalList(self.records, self._updates)
        self.observations = OwnObservations(
            self.members, self.records, self._updates, self.local_list
        )
        self._verdicts = Verdicts(self.records, self.members, settings.nodes, settings.zones, now)
        self._last_turn_at = now

    @property
    def caught_up(self) -> bool:
        """Whether this node has compared its records with others since its start or a pause."""
        return self.anti_entropy.caught_up

    @property
    def next_tick_at(self) -> int:
        """When `tick` is due."""
        return self._updates.next_tick_at

    # ---- events of this node ----------------------------------------------------

    def observe(self, now: int, server: int, results: Results, attempted_at: int) -> None:
        """Publish the results of this node's own attempts at a server, the last at that time."""
        self.observations.observe(now, server, results, attempted_at)

    def on_local_list(
        self, now: int, rev: int, rows: Iterable[tuple[int, int, State]], complete: bool
    ) -> None:
        """This node's own list has a new version (see `LocalList.update`)."""
        self.local_list.update(now, rev, rows, complete)

    def on_list_read(
        self, now: int, rev: int, rows: Mapping[str, str | None], complete: bool
    ) -> None:
        """The list service has answered this node, which is a list reader."""
        assert self.shared_list is not None
        self.shared_list.on_answer(now, rev, rows, complete)
        self._updates.send_soon(now)

    def leave(self) -> list[Outgoing]:
        """The messages that announce a planned stop, so that others need not detect it."""
        members = self.members
        record = MemberRecord(members.me, members.incarnation, MemberStatus.LEFT)
        message = members.message(MessageKind.GOSSIP, records=(record,))
        return [Outgoing(to, message) for to in members.sample(LEAVE_MESSAGES)]

    # ---- messages -------------------------------------------------------------------

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Process a message; returns the messages to send. Its origin must be another member."""
        members = self.members
        if members.is_isolated(now):
            # A node that was cut off considers all others dead. It must catch up before it passes
            # that on: otherwise hundreds of members would have to refute it.
            members.presume_alive(now)
            self.anti_entropy.restart_catch_up(now)
        if not self._accept(now, message):
            return []
        changed = self._merge_records(now, message)
        out = self._detector.on_message(now, message)
        out += self.anti_entropy.on_message(now, message)
        out += self.lease_exchange.on_message(now, message)
        if changed or members.updates:
            self._updates.send_soon(now)
        out = self._charge_and_piggyback(now, out)
        if self.shared_list is not None:
            out += self.shared_list.receive(now, message)
            if self.shared_list.has_queued_pieces:
                self._updates.send_soon(now)
        if members.peers[message.origin].status != MemberStatus.ALIVE and self._updates.take(now):
            # It is dead here under the incarnation that it still uses: let it refute that.
            records = (members.record(message.origin),)
            out.append(
                Outgoing(message.origin, members.message(MessageKind.GOSSIP, records=records))
            )
        return out

    def _accept(self, now: int, message: Message) -> bool:
        """Whether a message is valid, and not of a past incarnation of its origin."""
        valid = 0 <= message.incarnation < MAX_INCARNATION and 0 <= message.serial < MAX_SERIAL
        if not valid:
            self.counters["unsound"] += 1
            return False
        if not self.members.on_message(now, message.origin, message.incarnation):
            self.counters["old"] += 1
            return False
        return True

    def _merge_records(self, now: int, message: Message) -> bool:
        """Merge a message's valid records; returns whether any leads to an update."""
        changed = False
        for record in message.records:
            if not is_valid(record, self.settings.nodes):
                self.counters["unsound"] += 1
            elif self._merge(now, message.origin, record):
                changed = True
        return changed

    def _merge(self, now: int, sender: int, record: Record) -> bool:
        if isinstance(record, MemberRecord):
            return self._merge_member(now, sender, record)
        if isinstance(record, ReaderRecord):
            readers = None if self.shared_list is None else self.shared_list.readers
            changed = readers is not None and readers.merge(now, record)
            self._updates.received(RecordKey(READER, record.node), changed)
            return changed
        if isinstance(record, Observation) and record.origin == self.members.me:
            return False  # of an earlier process of this node, or of another one with its number
        changed = self.records.merge(now, record)
        self._updates.received(key_of(record), changed)
        if changed and isinstance(record, DrainRecord):
            self.local_list.pending.add(record.server)
        return changed

    def _merge_member(self, now: int, sender: int, record: MemberRecord) -> bool:
        changed = self.members.merge(now, sender, record)
        key = RecordKey(MEMBER, record.node)
        if self.members.is_stale(record):
            self._updates.add(key)  # the sender lacks what this node knows
            return True
        if not changed:
            self._updates.received(key, changed=False)
        return changed

    def _charge_and_piggyback(self, now: int, out: list[Outgoing]) -> list[Outgoing]:
        """Charge protocol messages to the message rate, and piggyback updates on them."""
        self._updates.charge(now, len(out))
        if not self.caught_up:
            return out
        return [self._updates.piggyback(now, outgoing) for outgoing in out]

    # ---- time ------------------------------------------------------------------------

    def tick(self, now: int) -> list[Outgoing]:
        """The messages to send now."""
        self._last_turn_at = now
        out = self._detector.tick(now)
        self.records.expire(now)
        self.leases.activate(now)
        self.leases.expire(now)
        if self.lease_exchange.needs_leases and self._updates.may_send(now):
            out += self.lease_exchange.requests(now)
        out += self.anti_entropy.tick(now)
        pieces = self._tick_shared_list(now)
        out = self._charge_and_piggyback(now, out)
        if self.caught_up:
            out += self._updates.gossip(now)
        self._updates.next_tick_at = now + (GOSSIP_DELAY_NS if self._hurries(now) else TICK_NS)
        return out + pieces

    def _hurries(self, now: int) -> bool:
        """Whether anything queued may be sent before the next regular turn."""
        if self.shared_list is not None and self.shared_list.has_queued_pieces:
            return True
        return self._updates.gossip_pending and self._updates.may_send(now)

    def _tick_shared_list(self, now: int) -> list[Outgoing]:
        """The messages of the shared list, which have a rate of their own."""
        shared_list = self.shared_list
        if shared_list is None:
            return []
        shared_list.caught_up = self.caught_up
        out = shared_list.tick(now)
        if shared_list.polling_role.record_changed:
            shared_list.polling_role.record_changed = False
            self._updates.add(RecordKey(READER, self.members.me))
            self._updates.gossip_pending = True
        return out

    def recover_if_paused(self, now: int) -> bool:
        """Detect a pause of this process, and recover from it; to be called before each event.

        Returns whether it was paused since its last turn. Guards against a node that was stopped
        for a minute, suspects all others and passes on outdated records of servers: it catches
        up first. Its records have aged by its clock, which went on; messages that waited in its
        socket have not, so its host discards them.
        """
        if now - self._last_turn_at <= PAUSED_AFTER_NS:
            return False
        self.counters["stalls"] += 1
        self._recover(now)
        return True

    def rejoin(self, now: int, incarnation: int) -> None:
        """Take part again, as another process of this node did meanwhile and has ended.

        Failure: the other members know that process's incarnation, and take every message of an
        earlier one for a late datagram; and it may have leased out slots that this process does
        not know of. So this goes on in an incarnation of its own, and restrained, as at a start.
        """
        self.members.incarnation = max(self.members.incarnation, incarnation)
        self.leases.restrain()
        self._recover(now)

    def _recover(self, now: int) -> None:
        self._detector.on_resumed(now)
        self.members.on_resumed(now)
        self.records.expire(now)
        self.leases.expire(now)
        self.observations.clear()
        self._last_turn_at = now
        self.anti_entropy.restart_catch_up(now)

    # ---- results -----------------------------------------------------------------------

    def effective_state(self, server: int, boot: int, state: State) -> State:
        """A server's state by the latest list version that any node has reported."""
        return self.local_list.effective_state(server, boot, state)

    def verdict_changes(self, now: int) -> list[VerdictChange]:
        """Changed verdicts on servers, from other nodes' observations, for the Balancer."""
        return self._verdicts.changes(now, self.local_list.boots)

    def report(self, now: int) -> list[list[object]]:
        """Every record of a server, for operators (see `Verdicts.report`)."""
        return self._verdicts.report(now)


def _shared_list(
    settings: GossipSettings, members: Membership, seed: int, now: int
) -> SharedList | None:
    """The shared list; None where each node polls the list service for itself."""
    if not settings.reader_count:
        return None
    # Imported here: nodes that do not use it need not load the module.
    from loadbalancer.core.endpoints.shared_list import SharedList

    return SharedList(
        members, settings.nodes, settings.reader_count, settings.max_datagram_bytes, seed, now
    )

"""The gossip protocol of one node, which combines the modules of this package.

It does no I/O: the caller passes in messages and the time (ns), gets messages to send, and calls
`tick` at `next_tick_at`. A received update is forwarded immediately within the message rate. While
there are no updates, only failure detection, anti-entropy and leases cause messages.
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
from loadbalancer.core.gossip.own_observations import AttemptResults, OwnObservations
from loadbalancer.core.gossip.records import RecordKey, RecordStore, key_of
from loadbalancer.core.gossip.settings import GossipSettings
from loadbalancer.core.gossip.slot_leases import SlotLeases
from loadbalancer.core.gossip.update_sender import (
    GOSSIP_DELAY_NS,
    MEMBER_UPDATE,
    READER_UPDATE,
    UpdateSender,
)
from loadbalancer.core.gossip.verdicts import VerdictChange, Verdicts

if TYPE_CHECKING:
    from loadbalancer.core.endpoints.shared_list import SharedList

TICK_NS = 100 * MS  # regular interval between ticks
LEAVE_MESSAGES = 6  # random members that are notified when this node leaves


class GossipNode:
    """The state of one node in the gossip protocol, and the messages that it sends."""

    def __init__(self, settings: GossipSettings, seed: int, incarnation: int, now: int) -> None:
        self.settings = settings
        self.counters: Counter[str] = Counter()
        self.members = Membership(settings.me, settings.nodes, incarnation, seed, now)
        self.records = RecordStore(settings.zones)
        # The random number generators of these objects get different seeds.
        self.leases = SlotLeases(seed ^ 0x10A25)
        self.shared_list = _new_shared_list(settings, self.members, seed ^ 0x115E, now)
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
        self._last_tick_at = now

    @property
    def caught_up(self) -> bool:
        """Whether this node has caught up since its start or its last pause."""
        return self.anti_entropy.caught_up

    @property
    def next_tick_at(self) -> int:
        """When to call `tick` next."""
        return self._updates.next_tick_at

    # Events of this node.

    def observe(self, now: int, server: int, results: AttemptResults, attempted_at: int) -> None:
        """Publish results of this node's own attempts at a server (see `OwnObservations`)."""
        self.observations.observe(now, server, results, attempted_at)

    def on_local_list(
        self, now: int, rev: int, rows: Iterable[tuple[int, int, State]], complete: bool
    ) -> None:
        """Apply a new version of the endpoint list of this node (see `LocalList.update`)."""
        self.local_list.update(now, rev, rows, complete)

    def on_list_read(
        self, now: int, rev: int, rows: Mapping[str, str | None], complete: bool
    ) -> None:
        """Process a response of the list service to this node, which is a list reader."""
        assert self.shared_list is not None
        self.shared_list.on_answer(now, rev, rows, complete)
        self._updates.schedule_gossip(now)

    def leave(self) -> list[Outgoing]:
        """Messages that announce a planned stop, so that other members need not detect it."""
        members = self.members
        record = MemberRecord(members.me, members.incarnation, MemberStatus.LEFT)
        message = members.message(MessageKind.GOSSIP, records=(record,))
        return [Outgoing(to, message) for to in members.sample(LEAVE_MESSAGES)]

    # Messages from other members.

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Process a message of another member; returns the messages to send."""
        members = self.members
        if members.has_lost_contact(now):
            # A node that was cut off considers all others dead. It catches up before it sends any
            # records: otherwise hundreds of members would have to refute theirs.
            members.restore_to_alive(now)
            self.anti_entropy.restart_catch_up(now)
        if not self._accept(now, message):
            return []
        changed = self._merge_records(now, message)
        out = self._detector.on_message(now, message)
        out += self.anti_entropy.on_message(now, message)
        out += self.lease_exchange.on_message(now, message)
        if changed or members.updates:
            self._updates.schedule_gossip(now)
        out = self._charge_and_piggyback(now, out)
        if self.shared_list is not None:
            out += self.shared_list.receive(now, message)
            if self.shared_list.has_queued_pieces:
                self._updates.schedule_gossip(now)
        if members.peers[message.origin].status != MemberStatus.ALIVE and self._updates.take(now):
            # This node does not consider it alive in its present incarnation: let it refute that.
            records = (members.record(message.origin),)
            out.append(
                Outgoing(message.origin, members.message(MessageKind.GOSSIP, records=records))
            )
        return out

    def _accept(self, now: int, message: Message) -> bool:
        """Whether a message is valid, and not from an earlier incarnation of its origin."""
        valid = 0 <= message.incarnation < MAX_INCARNATION and 0 <= message.serial < MAX_SERIAL
        if not valid:
            self.counters["unsound"] += 1
            return False
        if not self.members.on_message(now, message.origin, message.incarnation):
            self.counters["old"] += 1
            return False
        return True

    def _merge_records(self, now: int, message: Message) -> bool:
        """Merge the valid records of a message; returns whether any has caused an update."""
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
            self._updates.on_received(RecordKey(READER_UPDATE, record.node), changed)
            return changed
        if isinstance(record, Observation) and record.origin == self.members.me:
            return False  # from an earlier process of this node, or one with the same node number
        changed = self.records.merge(now, record)
        self._updates.on_received(key_of(record), changed)
        if changed and isinstance(record, DrainRecord):
            self.local_list.pending_drains.add(record.server)
        return changed

    def _merge_member(self, now: int, sender: int, record: MemberRecord) -> bool:
        changed = self.members.merge(now, sender, record)
        key = RecordKey(MEMBER_UPDATE, record.node)
        if self.members.is_stale(record):
            self._updates.add(key)  # the sender has an older record than this node
            return True
        if not changed:
            self._updates.on_received(key, changed=False)
        return changed

    def _charge_and_piggyback(self, now: int, out: list[Outgoing]) -> list[Outgoing]:
        """Charge messages to the message rate, and piggyback updates on them."""
        self._updates.charge(now, len(out))
        if not self.caught_up:
            return out
        return [self._updates.piggyback(now, outgoing) for outgoing in out]

    def tick(self, now: int) -> list[Outgoing]:
        """The messages to send now."""
        self._last_tick_at = now
        out = self._detector.tick(now)
        self.records.expire(now)
        self.leases.start_grace_period(now)
        self.leases.expire(now)
        if self.lease_exchange.needs_leases and self._updates.may_send(now):
            out += self.lease_exchange.requests(now)
        out += self.anti_entropy.tick(now)
        pieces = self._tick_shared_list(now)
        out = self._charge_and_piggyback(now, out)
        if self.caught_up:
            out += self._updates.gossip(now)
        self._updates.next_tick_at = now + (
            GOSSIP_DELAY_NS if self._has_urgent_messages(now) else TICK_NS
        )
        return out + pieces

    def _has_urgent_messages(self, now: int) -> bool:
        """Whether to send queued messages before the next regular tick."""
        if self.shared_list is not None and self.shared_list.has_queued_pieces:
            return True
        return self._updates.gossip_pending and self._updates.may_send(now)

    def _tick_shared_list(self, now: int) -> list[Outgoing]:
        """The messages of the shared list, which the message rate does not limit."""
        shared_list = self.shared_list
        if shared_list is None:
            return []
        shared_list.caught_up = self.caught_up
        out = shared_list.tick(now)
        if shared_list.polling_role.record_changed:
            shared_list.polling_role.record_changed = False
            self._updates.add(RecordKey(READER_UPDATE, self.members.me))
            self._updates.gossip_pending = True
        return out

    def recover_if_paused(self, now: int) -> bool:
        """Recover if this process was paused; to be called before each event.

        Returns whether it was paused since its last tick. A node that was stopped for a minute
        would otherwise suspect all other members and send outdated records about servers, so it
        catches up first. Its records have aged during the pause, because its clock went on.
        Messages that waited in its socket have not, so the caller must discard them.
        """
        if now - self._last_tick_at <= PAUSED_AFTER_NS:
            return False
        self.counters["stalls"] += 1
        self._recover(now)
        return True

    def rejoin(self, now: int, incarnation: int) -> None:
        """Take part again after another process of this node has taken part and ended.

        The other members know the incarnation of that process, and would treat messages of an
        earlier one as delayed datagrams. It may also have leased out slots that this process does
        not know of. So this process continues in a new incarnation, with a new grace period.
        """
        self.members.incarnation = max(self.members.incarnation, incarnation)
        self.leases.reset_grace_period()
        self._recover(now)

    def _recover(self, now: int) -> None:
        self._detector.on_resumed(now)
        self.members.on_resumed(now)
        self.records.expire(now)
        self.leases.expire(now)
        self.observations.clear()
        self._last_tick_at = now
        self.anti_entropy.restart_catch_up(now)

    # Results for the Balancer and for operators.

    def effective_state(self, server: int, boot: int, state: State) -> State:
        """The state of a server according to the latest list version that any node has read."""
        return self.local_list.effective_state(server, boot, state)

    def verdict_changes(self, now: int) -> list[VerdictChange]:
        """Changed verdicts on servers, to report to the Balancer."""
        return self._verdicts.changes(now, self.local_list.boot_times)

    def report(self, now: int) -> list[list[object]]:
        """All records about servers, for operators (see `Verdicts.report`)."""
        return self._verdicts.report(now)


def _new_shared_list(
    settings: GossipSettings, members: Membership, seed: int, now: int
) -> SharedList | None:
    """Create the shared list; None if every node polls the list service itself."""
    if not settings.reader_count:
        return None
    # Imported here so that nodes without a shared list do not load the module.
    from loadbalancer.core.endpoints.shared_list import SharedList

    return SharedList(
        members, settings.nodes, settings.reader_count, settings.max_datagram_bytes, seed, now
    )

"""Sends updates to other members within the message rate of this node.

Updates are piggybacked on the messages of the failure detector and of anti-entropy (SWIM,
section 4.1). New updates are also sent immediately, in gossip messages to a few random members, so
that they reach all nodes in a few hops of some milliseconds each. Times are in nanoseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.gossip.dissemination import DisseminationQueue
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    MemberRecord,
    MessageKind,
    Observation,
    Outgoing,
    ReaderRecord,
    Record,
)
from loadbalancer.core.gossip.records import DIGEST_BUCKETS, RecordKey, RecordStore, key_of
from loadbalancer.core.gossip.settings import GossipSettings
from loadbalancer.core.gossip.token_bucket import TokenBucket

if TYPE_CHECKING:
    from loadbalancer.core.endpoints.shared_list import SharedList

# Delay of a new update, so that updates that arrive together are sent in one batch.
GOSSIP_DELAY_NS = 5 * MS
GOSSIP_FANOUT = 3  # members that a new update is sent to immediately
# Upper limits of sizes on the wire, in bytes; a test compares them with encoded messages.
MESSAGE_HEADER_BYTES = 32
RECORD_BYTES: dict[type[Record], int] = {
    MemberRecord: 16,
    DrainRecord: 40,
    Observation: 52,
    ReaderRecord: 64,
}
DIGEST_BYTES = 5 * (DIGEST_BUCKETS + 1) + 3
# Values of `RecordKey.server` for updates about a node, whose number is then `RecordKey.writer`.
MEMBER_UPDATE, READER_UPDATE = -1, -2


class UpdateSender:
    """The queue of updates, the message rate, and the time of the next tick."""

    def __init__(
        self,
        settings: GossipSettings,
        members: Membership,
        records: RecordStore,
        shared_list: SharedList | None,
        now: int,
    ) -> None:
        self._settings = settings
        self._members = members
        self._records = records
        self._shared_list = shared_list
        self._queue: DisseminationQueue[RecordKey] = DisseminationQueue(settings.nodes)
        burst = max(settings.messages_per_second / 2, GOSSIP_FANOUT + 1)
        self._rate = TokenBucket(settings.messages_per_second, burst, now)
        self._body_bytes = settings.max_datagram_bytes - MESSAGE_HEADER_BYTES
        self.gossip_pending = False  # whether unsent updates wait for the next tick
        self.next_tick_at = now

    def publish(self, now: int, record: DrainRecord | Observation) -> None:
        """Store a record that this node has written, and disseminate it."""
        if self._records.merge(now, record):
            self._queue.add(key_of(record))
            self.schedule_gossip(now)

    def add(self, key: RecordKey) -> None:
        """Queue an update for dissemination."""
        self._queue.add(key)

    def on_received(self, key: RecordKey, changed: bool) -> None:
        """Forward a received record if it `changed` this node; otherwise count a transmission."""
        if changed:
            self._queue.add(key)
        else:
            self._queue.count_transmission(key)

    def clear(self) -> None:
        """Remove all queued updates."""
        self._members.updates.clear()
        self._queue = DisseminationQueue(self._settings.nodes)

    def has_unsent(self) -> bool:
        """Whether some update has not been sent at all."""
        return self._queue.has_unsent()

    def _lookup(self, now: int, key: RecordKey) -> Record | None:
        """The present record of an update; None if it no longer exists."""
        if key.server == MEMBER_UPDATE:
            return self._members.record(key.writer)
        if key.server == READER_UPDATE:
            readers = None if self._shared_list is None else self._shared_list.readers
            return None if readers is None else readers.get(now, key.writer)
        return self._records.get(now, key)

    def schedule_gossip(self, now: int) -> None:
        """Schedule the next tick earlier, to send updates."""
        self.gossip_pending = True
        self.next_tick_at = min(self.next_tick_at, now + GOSSIP_DELAY_NS)

    def may_send(self, now: int) -> bool:
        """Whether the message rate allows a message now."""
        return self._rate.refill(now) >= 1

    def take(self, now: int) -> bool:
        """Charge one message to the message rate; returns False if it does not allow one."""
        return self._rate.take(now)

    def charge(self, now: int, count: int) -> None:
        """Charge messages to the message rate that are sent regardless of it.

        This may leave a debt of up to half a second's messages, which delays gossip messages.
        Without a debt the total would exceed the rate under packet loss. A larger debt would delay
        updates and save no further messages.
        """
        self._rate.refill(now)
        self._rate.tokens = max(self._rate.tokens - count, -self._settings.messages_per_second / 2)

    def gossip(self, now: int) -> list[Outgoing]:
        """Gossip messages with queued updates, to a few random members."""
        if not (self.gossip_pending or self._queue):
            return []
        while self._members.updates:
            self._queue.add(RecordKey(MEMBER_UPDATE, self._members.updates.pop(0).node))
        out = []
        # Updates that were sent before go to only one member per tick, and are piggybacked.
        fanout = GOSSIP_FANOUT if self._queue.has_unsent() else 1
        for to in self._members.sample(max(min(fanout, int(self._rate.refill(now))), 0)):
            outgoing = self.piggyback(now, Outgoing(to, self._members.message(MessageKind.GOSSIP)))
            if not outgoing.message.records:
                break
            self.charge(now, 1)
            out.append(outgoing)
        self.gossip_pending = self._queue.has_unsent()
        return out

    def piggyback(self, now: int, outgoing: Outgoing) -> Outgoing:
        """Add as many updates to a message as fit, unless it has records already."""
        message = outgoing.message
        if message.kind == MessageKind.DONE or message.records:
            return outgoing
        remaining = self._body_bytes - (DIGEST_BYTES if message.digest else 0)
        records: list[Record] = []
        removed: list[RecordKey] = []

        def accept(key: RecordKey) -> bool:
            nonlocal remaining
            record = self._lookup(now, key)
            if record is None:
                removed.append(key)
                return True
            size = RECORD_BYTES[type(record)]
            if size > remaining:
                return False
            remaining -= size
            records.append(record)
            return True

        self._queue.select(accept)
        for key in removed:
            self._queue.discard(key)
        return Outgoing(outgoing.to, message._replace(records=tuple(records)))

    def pack(self, records: list[Record], start: int) -> list[Record]:
        """The records from index `start` on that fit into one message."""
        remaining, end = self._body_bytes, start
        while end < len(records) and RECORD_BYTES[type(records[end])] <= remaining:
            remaining -= RECORD_BYTES[type(records[end])]
            end += 1
        return records[start:end]

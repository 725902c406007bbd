"""Anti-entropy: nodes compare digests of their records and exchange those that differ.

Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987), section 1.3. It
delivers records that dissemination did not. A node that has started or was paused catches up
through anti-entropy, and sends no records to others until it has. Times are in nanoseconds.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING
from zlib import crc32

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import Message, MessageKind, Outgoing, Record
from loadbalancer.core.gossip.records import DIGEST_BUCKETS, RecordStore
from loadbalancer.core.gossip.token_bucket import TokenBucket
from loadbalancer.core.gossip.update_sender import UpdateSender

if TYPE_CHECKING:
    from loadbalancer.core.endpoints.shared_list import SharedList

DIGEST_INTERVAL_NS = SECOND  # mean interval of digests, each sent to one random member
# If more buckets differ, records are sent even while unsent updates could explain the difference.
MAX_DIFFERING_BUCKETS = 3
CATCH_UP_PEERS = 2  # peers that a node requests a catch-up from at the same time
CATCH_UP_RETRY_NS = 300 * MS  # delay before further peers get a catch-up request
CATCH_UP_TIMEOUT_NS = 2 * SECOND  # a node that has not caught up by then continues without it
# Messages per second with differing records. They are sent even above the message rate.
CATCH_UP_MESSAGES = 200
FIRST_DIGEST, REPLY_DIGEST = 0, 1  # serials of a DIGEST; a REPLY_DIGEST gets no reply


class AntiEntropy:
    """Exchanges digests and records with other nodes."""

    def __init__(
        self,
        members: Membership,
        records: RecordStore,
        updates: UpdateSender,
        shared_list: SharedList | None,
        random: Random,
        counters: Counter[str],
        now: int,
    ) -> None:
        self._members = members
        self._records = records
        self._updates = updates
        self._shared_list = shared_list
        self._random = random
        self._counters = counters
        self._rate = TokenBucket(CATCH_UP_MESSAGES, CATCH_UP_MESSAGES / 4, now)
        self._next_digest_at = now + DIGEST_INTERVAL_NS
        self.caught_up = False
        self._catch_up_began = now
        self._catch_up_peers: list[int] = []  # peers that got a catch-up request, oldest first
        self._catch_up_requested_at = 0

    def digest(self) -> tuple[int, ...]:
        """The digest of all records: one number per bucket of servers, then one for all nodes."""
        nodes = self._members.digest()
        if self._shared_list is not None:
            nodes ^= self._shared_list.readers.digest()
        return (*self._records.digest, nodes)

    def on_message(self, now: int, message: Message) -> list[Outgoing]:
        """Reply to a DIGEST with the records that differ; end the catch-up on a DONE."""
        if message.kind == MessageKind.DONE:
            if message.origin in self._catch_up_peers:
                self._end_catch_up(now, "caught up")
            return []
        if message.kind != MessageKind.DIGEST or len(message.digest) != DIGEST_BUCKETS + 1:
            return []
        digest = self.digest()
        differing = {i for i in range(DIGEST_BUCKETS + 1) if digest[i] != message.digest[i]}
        catching_up = message.subject == self._members.me
        out: list[Outgoing] = []
        # A small difference may come from an update that this node has not sent yet.
        is_unexplained = len(differing) > MAX_DIFFERING_BUCKETS or not self._updates.has_unsent()
        if catching_up or is_unexplained:
            out = self._send_records(now, message.origin, differing, catching_up)
        if differing and message.serial == FIRST_DIGEST:
            # The digest of this node, so that the other sends its records as well.
            reply = self._members.message(MessageKind.DIGEST, serial=REPLY_DIGEST, digest=digest)
            out.append(Outgoing(message.origin, reply))
        return out

    def _send_records(
        self, now: int, to: int, buckets: set[int], catching_up: bool
    ) -> list[Outgoing]:
        """Messages with the records in some buckets, limited to CATCH_UP_MESSAGES per second.

        A node that is `catching_up` gets a DONE after the last record.
        """
        members = self._members
        records = [record for bucket in buckets for record in self._records_in_bucket(now, bucket)]
        messages = []
        sent = 0
        while sent < len(records) and self._rate.take(now):
            packed = self._updates.pack(records, sent)
            sent += len(packed)
            messages.append(members.message(MessageKind.GOSSIP, records=tuple(packed)))
        if sent == len(records) and catching_up:
            messages.append(members.message(MessageKind.DONE))
        return [Outgoing(to, message) for message in messages]

    def _records_in_bucket(self, now: int, bucket: int) -> list[Record]:
        if bucket < DIGEST_BUCKETS:
            return list(self._records.records_in_bucket(now, bucket))
        records: list[Record] = list(self._members.non_alive_records())
        if self._shared_list is not None:
            records += self._shared_list.readers.all_records(now)
        return records

    def tick(self, now: int) -> list[Outgoing]:
        """The digests and catch-up requests to send now."""
        members = self._members
        out = [] if self.caught_up else self._catch_up(now)
        if now >= self._next_digest_at:
            jitter = self._random.randrange(DIGEST_INTERVAL_NS)
            self._next_digest_at = now + DIGEST_INTERVAL_NS // 2 + jitter
            message = members.message(MessageKind.DIGEST, serial=FIRST_DIGEST, digest=self.digest())
            out += [Outgoing(peer, message) for peer in members.sample(1)]
        return out

    def _catch_up(self, now: int) -> list[Outgoing]:
        """Request all records from CATCH_UP_PEERS peers at a time.

        Peers are ordered by a hash that includes the number of this node, so that many nodes that
        return at once send their requests to different peers.
        """
        if now - self._catch_up_began > CATCH_UP_TIMEOUT_NS:
            # The counter for a catch-up that no peer has completed before CATCH_UP_TIMEOUT_NS.
            self._end_catch_up(now, "nobody to catch up from")
            return []
        if self._catch_up_peers and now - self._catch_up_requested_at < CATCH_UP_RETRY_NS:
            return []
        members = self._members
        candidates = sorted(
            (peer for peer in members.alive_peers() if peer not in self._catch_up_peers),
            key=lambda peer: crc32(b"%d %d %d" % (members.me, members.incarnation, peer)),
        )
        peers = candidates[:CATCH_UP_PEERS]
        self._catch_up_requested_at = now
        self._catch_up_peers += peers
        digest = self.digest()
        return [
            Outgoing(
                peer, members.message(MessageKind.DIGEST, FIRST_DIGEST, subject=peer, digest=digest)
            )
            for peer in peers
        ]

    def _end_catch_up(self, now: int, result: str) -> None:
        if not self.caught_up:
            self.caught_up = True
            self._counters[result] += 1
            self._counters["catch_up_ms"] = (now - self._catch_up_began) // MS

    def restart_catch_up(self, now: int) -> None:
        """Send no records until they have been compared with those of other nodes again."""
        self._updates.clear()
        self.caught_up = False
        self._catch_up_began = now
        self._catch_up_peers = []

"""One node's part in the shared endpoint list, which a few readers poll and all nodes forward.

Readers poll the list service and push deltas to the other nodes (`delta_sender.py`). Nodes request
lost pieces again (`list_repair.py`). `list_readers.py` and `polling_role.py` decide which nodes are
readers. No I/O and no clock, like the rest of the gossip; times are in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.endpoints.delta_sender import DeltaSender
from loadbalancer.core.endpoints.list_pieces import (
    Piece,
    PieceAssembler,
    PieceRequest,
    PieceStatus,
)
from loadbalancer.core.endpoints.list_readers import INITIAL_TAKEOVER_NS, ListReaders
from loadbalancer.core.endpoints.list_repair import GIVE_UP_NS, ListRepair
from loadbalancer.core.endpoints.list_replica import ListReplica
from loadbalancer.core.endpoints.list_versions import FULL_LIST, ListDelta, PackedDelta, unpack
from loadbalancer.core.endpoints.polling_role import PollingRole
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import Message, MessageKind, Outgoing, ReaderState

# A reader delays its push by this for each reader that ranks before it: their push may cancel it.
PUSH_DELAY_NS = 300 * MS
MAX_WAITING_DELTAS = 8  # complete deltas not applied yet; beyond it, the oldest is dropped
# A delta that removes more than 1/UNCONFIRMED_REMOVAL_DIVISOR of the rows is applied only once
# REMOVAL_CONFIRMATIONS readers have announced its version, or this node has polled the list itself.
UNCONFIRMED_REMOVAL_DIVISOR = 2
REMOVAL_CONFIRMATIONS = 2
# The time between the polls of two nodes that both wait for the confirmation of a removal.
REMOVAL_POLL_INTERVAL_NS = INITIAL_TAKEOVER_NS
REPORTED_STATES = {  # the names of the states in `/peers`
    ReaderState.POLLING: "asking",
    ReaderState.READ: "read",
    ReaderState.FAILED: "failed",
}


class ListUpdate(NamedTuple):
    """An update that the host has to apply: rows by id, None for a removed one."""

    rev: int
    rows: Mapping[str, str | None]
    complete: bool  # whether all rows that are not in `rows` are removed


class PendingPush(NamedTuple):
    """A delta that this node has read, and when to push it."""

    due: int
    packed: PackedDelta


class SharedList:
    """This node's replica of the shared list; `updates` has the updates for its host."""

    def __init__(
        self, members: Membership, nodes: int, count: int, datagram: int, seed: int, now: int
    ) -> None:
        """`count` of `nodes` nodes are readers; messages have at most `datagram` bytes."""
        random = Random(seed)
        self.replica = ListReplica()
        self.readers = ListReaders(members.me, nodes, count, now)
        self.polling_role = PollingRole(members, self.readers, now)
        self.sender = DeltaSender(members, nodes, datagram, random, now)
        self.assembler = PieceAssembler(self.sender.piece_bytes)
        self.counters = self.sender.counters
        self.updates: list[ListUpdate] = []
        self.caught_up = False  # whether this node has compared its records with other nodes'
        self._members = members
        self._node_count = nodes
        self._repair = ListRepair(
            members, self.readers, self.sender, self.assembler, random, self.counters, now
        )
        self._waiting: list[PackedDelta] = []
        self._push: PendingPush | None = None
        self._need_full_list = False  # the last delta gave a wrong checksum with this node's rows
        # Since when a delta has waited for a second reader's confirmation.
        self._removal_since: int | None = None

    @property
    def is_polling(self) -> bool:
        """Whether this node polls the list service."""
        return self.polling_role.is_polling

    @property
    def has_queued_pieces(self) -> bool:
        """Whether pieces wait for the rate limit alone."""
        return self.sender.has_queued_pieces

    def on_answer(self, now: int, rev: int, rows: Mapping[str, str | None], complete: bool) -> None:
        """The list service has answered this node."""
        delta = self.replica.apply_answer(rev, rows, complete)
        self._removal_since, self._need_full_list = None, False
        if delta is not None:
            self.assembler.discard_through(self.replica.version)
            due = now + PUSH_DELAY_NS * self.readers.active_preceding(now)
            self._push = PendingPush(due, self.replica.packed(delta))
            self._apply_waiting(now)
        self.polling_role.on_answer(now, self.replica.version)

    def on_failure(self, now: int, older: bool) -> None:
        """A call of this node has failed, or returned an `older` version."""
        self.polling_role.on_failure(now, older, self.replica.version)

    def on_gossip_disconnected(self, now: int) -> None:
        """Not connected to the gossip: poll once no messages have been received for a while."""
        self.polling_role.update_disconnected(now)

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Process a PIECE or WANT message; returns the pieces to send now.

        Messages of other kinds are ignored.
        """
        if message.kind == MessageKind.PIECE and len(message.digest) == len(Piece._fields):
            self._on_piece(now, Piece(*message.digest), message.body)
        elif message.kind == MessageKind.WANT and (
            request := PieceRequest.from_numbers(message.digest)
        ):
            self.sender.answer_request(now, message.origin, request, self.replica, self.assembler)
        else:
            return []
        return self.sender.flush(now)

    def _on_piece(self, now: int, piece: Piece, body: bytes) -> None:
        if self._push is not None and piece.target >= self._push.packed.target:
            self._push = None  # another reader already pushes this version or a later one
        if piece.target <= self.replica.version:
            self.counters["pieces of what is known"] += 1
            return
        added = self.assembler.add(now, piece, body)
        if added.status is PieceStatus.REFUSED:
            self.counters["pieces twice or unsound"] += 1
            return
        self._repair.on_piece(now)
        self.sender.forward(piece, body)
        if added.delta is not None:
            self.replica.cache(added.delta)
            self._waiting = [*self._waiting[1 - MAX_WAITING_DELTAS :], added.delta]
            self._apply_waiting(now)

    def _apply_waiting(self, now: int) -> None:
        """Apply the deltas that fit, latest first; each may make others fit or obsolete."""
        progress = True
        while progress:
            fitting = [packed for packed in self._waiting if self.replica.fits(packed)]
            latest_first = sorted(fitting, key=lambda packed: packed.target, reverse=True)
            progress = any(self._apply_or_discard(now, packed) for packed in latest_first)
        version = self.replica.version
        self._waiting = [packed for packed in self._waiting if packed.target > version]
        self.assembler.discard_through(version)

    def _apply_or_discard(self, now: int, packed: PackedDelta) -> bool:
        """Apply or discard a delta that fits; returns False if it has to be confirmed first."""
        delta = unpack(packed)
        if delta is not None and self._is_unconfirmed_removal(now, delta):
            return False
        self._waiting.remove(packed)
        if delta is None:
            self.counters["steps that are none"] += 1
        else:
            self._apply(delta)
        return True

    def _apply(self, delta: ListDelta) -> None:
        # While the replica has the list from the configuration (epoch 0), the host's rows may
        # differ from it: after an upgrade they are its predecessor's. So the host gets all rows.
        complete = delta.base == FULL_LIST or not self.replica.version.epoch
        changed = self.replica.apply(delta)
        if changed is None:
            self.counters["steps that disagree"] += 1
            self._need_full_list = True
            return
        self.counters["steps"] += 1
        self._removal_since, self._need_full_list = None, False
        rows = self.replica.rows if complete else changed
        self.updates.append(ListUpdate(delta.target.rev, dict(rows), complete))

    def _is_unconfirmed_removal(self, now: int, delta: ListDelta) -> bool:
        """Whether a delta removes most rows and no second reader has confirmed it.

        Guards against a faulty reader that would remove most servers on all nodes, while the list
        service still has them.
        """
        if self.replica.removed_count(delta) * UNCONFIRMED_REMOVAL_DIVISOR <= len(
            self.replica.rows
        ):
            return False
        confirmations = len(self.readers.readers_with(delta.target))
        if confirmations >= min(REMOVAL_CONFIRMATIONS, self._node_count - 1):
            return False
        if self._removal_since is None:
            self._removal_since = now
            self.counters["steps that one reader alone names"] += 1
        return True

    def tick(self, now: int) -> list[Outgoing]:
        """Decide whether this node polls, and return the messages to send now."""
        self.readers.expire(now)
        self._apply_waiting(now)  # a second reader may have confirmed a removal by now
        requests = self._request_missing(now)
        defer = not self.caught_up or self._repair.may_arrive(now)
        self.polling_role.update(now, self.replica.version, defer, self._must_confirm_removal(now))
        if self._push is not None and now >= self._push.due:
            self.sender.push(self._push.packed)
            self._push = None
        return requests + self.sender.flush(now)

    def _request_missing(self, now: int) -> list[Outgoing]:
        if self._removal_since is not None:
            self._repair.reset()
            return []
        return self._repair.requests(now, self.replica.version, self._need_full_list)

    def _must_confirm_removal(self, now: int) -> bool:
        """Whether it is this node's turn to poll in order to confirm a removal itself."""
        if self._removal_since is None:
            return False
        preceding = len(self.readers.preceding(self._members.is_alive))
        return now - self._removal_since > GIVE_UP_NS + preceding * REMOVAL_POLL_INTERVAL_NS

    def report(self, now: int) -> dict[str, object]:
        """The status for operators: the version, and each reader's record with its age in ms."""
        rows = [
            [r.node, REPORTED_STATES[ReaderState(r.state)], r.epoch, r.rev, r.age // MS]
            for r in sorted(self.readers.all_records(now))
        ]
        version = self.replica.version
        return {
            "epoch": version.epoch, "rev": version.rev, "reads": self.is_polling,
            "rows": len(self.replica.rows), "readers": rows, "counts": dict(self.counters),
        }  # fmt: skip

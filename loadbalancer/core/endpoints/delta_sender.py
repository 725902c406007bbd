"""Sends deltas of the list in pieces: down a tree from the reader, and to nodes on request.

A reader's update goes down a tree over the alive nodes that begins at the reader, in pieces that
each node passes on as they come, so that no node sends more than FANOUT copies.
"""

from __future__ import annotations

from collections import Counter, deque
from random import Random

from loadbalancer.core.endpoints.list_pieces import (
    NO_DELTA,
    Piece,
    PieceAssembler,
    PieceRequest,
    piece_count,
)
from loadbalancer.core.endpoints.list_replica import ListReplica
from loadbalancer.core.endpoints.list_versions import PackedDelta
from loadbalancer.core.gossip.membership import Membership
from loadbalancer.core.gossip.messages import MessageKind, Outgoing
from loadbalancer.core.gossip.token_bucket import TokenBucket

PIECE_HEAD_BYTES = 88  # of a PIECE message without its body, at most (checked by a test)
FANOUT = 4  # children of a node in the tree
NO_TREE = -1  # as the root of a piece that is not passed on
PIECES_PER_S = 250  # that a node sends; a receiver accepts MAX_DATAGRAMS_PER_NODE from one node
BURST = 64  # pieces
MAX_QUEUED = 8192  # pieces; further ones are dropped, and requested by nodes that lack them
BUSY_QUEUED = 200  # pieces in the queue from which on other nodes' requests are ignored
PACKINGS_PER_S = 10  # deltas packed on request: each takes milliseconds
MAX_REQUESTED = 16  # pieces of one request


class DeltaSender:
    """The queue of pieces, and its rate."""

    def __init__(
        self, members: Membership, nodes: int, datagram: int, random: Random, now: int
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.piece_bytes = datagram - PIECE_HEAD_BYTES
        self._members = members
        self._nodes = nodes
        self._random = random
        self._queue: deque[Outgoing] = deque()
        self._rate = TokenBucket(PIECES_PER_S, BURST, now)
        self._packings = TokenBucket(PACKINGS_PER_S, PACKINGS_PER_S, now)

    @property
    def has_queued_pieces(self) -> bool:
        """Whether pieces wait for the rate."""
        return bool(self._queue)

    def may_send(self, now: int) -> bool:
        """Whether the rate allows one message; if so it is charged."""
        return self._rate.take(now)

    def flush(self, now: int) -> list[Outgoing]:
        """The pieces that the rate allows now."""
        out = []
        while self._queue and self._rate.take(now):
            out.append(self._queue.popleft())
        self.counters["pieces sent"] += len(out)
        return out

    # ---- down the tree -------------------------------------------------------------

    def children(self, root: int) -> list[int]:
        """The nodes that this one passes pieces on to in a root's tree.

        The children of a dead child are among them.
        """
        found: list[int] = []
        places = [(self._members.me - root) % self._nodes]
        while places and len(found) < FANOUT * FANOUT:
            first = FANOUT * places.pop() + 1
            for place in range(first, min(first + FANOUT, self._nodes)):
                node = (root + place) % self._nodes
                if self._members.is_alive(node):
                    found.append(node)
                else:
                    places.append(place)
        return found

    def push(self, packed: PackedDelta) -> None:
        """Send a delta of this reader's own down its tree."""
        root = self._members.me
        total, children = piece_count(packed, self.piece_bytes), self.children(root)
        for number in range(total):
            for child in children:
                self._queue_number(child, packed, number, total, root)

    def pass_on(self, piece: Piece, body: bytes) -> None:
        """Pass a piece on to this node's children."""
        if 0 <= piece.root < self._nodes:
            for child in self.children(piece.root):
                self._queue_piece(child, piece, body)

    # ---- answers -------------------------------------------------------------------

    def answer(
        self,
        now: int,
        to: int,
        request: PieceRequest,
        replica: ListReplica,
        assembler: PieceAssembler,
    ) -> None:
        """Queue the pieces that a node requests, as far as this one has them and is not busy."""
        checksum, numbers = request.delta_checksum, request.piece_numbers
        if len(self._queue) > BUSY_QUEUED:
            self.counters["asked while busy"] += 1
            return
        packed = replica.cached(checksum) if checksum != NO_DELTA else None
        if packed is None:
            sent = self._answer_in_part(to, request, assembler)
            unread = not replica.version.epoch
            has_all = request.version >= replica.version
            if sent or unread or has_all or not self._packings.take(now):
                return
            packed, numbers = replica.delta_since(request.version), ()
        total = piece_count(packed, self.piece_bytes)
        start = self._random.randrange(total)
        wanted = [number for number in numbers if 0 <= number < total][:MAX_REQUESTED]
        for number in wanted or [(start + i) % total for i in range(total)]:
            self._queue_number(to, packed, number, total, NO_TREE)

    def _answer_in_part(self, to: int, request: PieceRequest, assembler: PieceAssembler) -> bool:
        """Queue the pieces that this node has of an incomplete delta; whether there were any.

        Under packet loss only the reader has a complete delta at first.
        """
        parts = [assembler.part(request.delta_checksum, n) for n in request.piece_numbers]
        found = [part for part in parts if part is not None]
        for piece, body in found[:MAX_REQUESTED]:
            self._queue_piece(to, piece._replace(root=NO_TREE), body)
        return bool(found)

    def _queue_number(
        self, to: int, packed: PackedDelta, number: int, total: int, root: int
    ) -> None:
        body = packed.data[number * self.piece_bytes : (number + 1) * self.piece_bytes]
        piece = Piece(*packed.target, packed.base, total, number, packed.checksum, root)
        self._queue_piece(to, piece, body)

    def _queue_piece(self, to: int, piece: Piece, body: bytes) -> None:
        if len(self._queue) < MAX_QUEUED:
            message = self._members.message(MessageKind.PIECE, digest=tuple(piece), body=body)
            self._queue.append(Outgoing(to, message))

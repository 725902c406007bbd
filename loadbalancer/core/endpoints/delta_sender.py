"""Sends deltas of the endpoint list in pieces: down a tree from a reader, and on request.

A list reader's delta travels down a tree of the alive nodes that has the reader at its root. Each
node forwards a piece to its children as soon as the piece arrives, so that no node has to send the
delta to more than FANOUT nodes, and to the children of those that are dead.
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

PIECE_HEADER_BYTES = 88  # upper bound for a PIECE message without its body (checked by a test)
FANOUT = 4  # number of children of a node in the tree
NO_TREE = -1  # root of a piece that is not to be forwarded
PIECES_PER_S = 250  # send rate of a node, below the MAX_DATAGRAMS_PER_NODE that others accept
BURST_PIECES = 64  # pieces sent at once after a pause
MAX_QUEUED_PIECES = 8192  # further pieces are dropped; nodes that lack them request them
BUSY_QUEUE_PIECES = 200  # with more pieces queued, other nodes' requests are ignored
PACKINGS_PER_S = 10  # rate of packing deltas for requests; packing one takes milliseconds
MAX_REQUESTED_PIECES = 16  # maximum number of pieces in one request


class DeltaSender:
    """Queues pieces for other nodes, and sends them at a limited rate."""

    def __init__(
        self, members: Membership, nodes: int, datagram: int, random: Random, now: int
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.piece_bytes = datagram - PIECE_HEADER_BYTES
        self._members = members
        self._node_count = nodes
        self._random = random
        self._queue: deque[Outgoing] = deque()
        self._send_tokens = TokenBucket(PIECES_PER_S, BURST_PIECES, now)
        self._packing_tokens = TokenBucket(PACKINGS_PER_S, PACKINGS_PER_S, now)

    @property
    def has_queued_pieces(self) -> bool:
        """Whether pieces wait for the rate limit."""
        return bool(self._queue)

    def take_send_token(self, now: int) -> bool:
        """Charge one message to the rate limit; False if the limit does not allow it now."""
        return self._send_tokens.take(now)

    def flush(self, now: int) -> list[Outgoing]:
        """Remove and return the queued pieces that the rate limit allows now."""
        out = []
        while self._queue and self._send_tokens.take(now):
            out.append(self._queue.popleft())
        self.counters["pieces sent"] += len(out)
        return out

    def children(self, root: int) -> list[int]:
        """The nodes to which this one forwards pieces in the tree with this root.

        The children of a dead child are among them. Nodes have positions in the tree in
        breadth-first order from the root, like the items of a heap.
        """
        children: list[int] = []
        positions = [(self._members.me - root) % self._node_count]
        while positions and len(children) < FANOUT * FANOUT:
            first_child = FANOUT * positions.pop() + 1
            for position in range(first_child, min(first_child + FANOUT, self._node_count)):
                node = (root + position) % self._node_count
                if self._members.is_alive(node):
                    children.append(node)
                else:
                    positions.append(position)
        return children

    def push(self, packed: PackedDelta) -> None:
        """Queue a delta that this node has read for its children in its own tree."""
        root = self._members.me
        total, children = piece_count(packed, self.piece_bytes), self.children(root)
        for number in range(total):
            for child in children:
                self._queue_piece_number(child, packed, number, total, root)

    def forward(self, piece: Piece, body: bytes) -> None:
        """Queue a received piece for this node's children in the tree of its root."""
        if 0 <= piece.root < self._node_count:
            for child in self.children(piece.root):
                self._queue_piece(child, piece, body)

    def answer_request(
        self,
        now: int,
        to: int,
        request: PieceRequest,
        replica: ListReplica,
        assembler: PieceAssembler,
    ) -> None:
        """Queue the pieces that a node requests, unless too many are queued already.

        They are taken from the delta that the node names. If this node has no piece of it, it
        sends another delta, from the requesting node's version to its own later one.
        """
        checksum, numbers = request.delta_checksum, request.piece_numbers
        if len(self._queue) > BUSY_QUEUE_PIECES:
            self.counters["asked while busy"] += 1
            return
        packed = replica.cached(checksum) if checksum != NO_DELTA else None
        if packed is None:
            sent = self._queue_received_pieces(to, request, assembler)
            is_unread = not replica.version.epoch
            is_current = request.version >= replica.version
            if sent or is_unread or is_current or not self._packing_tokens.take(now):
                return
            packed, numbers = replica.delta_since(request.version), ()
        total = piece_count(packed, self.piece_bytes)
        start = self._random.randrange(total)
        wanted = [number for number in numbers if 0 <= number < total][:MAX_REQUESTED_PIECES]
        for number in wanted or [(start + i) % total for i in range(total)]:
            self._queue_piece_number(to, packed, number, total, NO_TREE)

    def _queue_received_pieces(
        self, to: int, request: PieceRequest, assembler: PieceAssembler
    ) -> bool:
        """Queue the requested pieces of a delta that this node itself has only in part.

        Under packet loss only the reader has the complete delta at first. Returns whether this
        node has any of the pieces.
        """
        pieces = [
            assembler.received_piece(request.delta_checksum, number)
            for number in request.piece_numbers
        ]
        received = [found for found in pieces if found is not None]
        for piece, body in received[:MAX_REQUESTED_PIECES]:
            self._queue_piece(to, piece._replace(root=NO_TREE), body)
        return bool(received)

    def _queue_piece_number(
        self, to: int, packed: PackedDelta, number: int, total: int, root: int
    ) -> None:
        body = packed.data[number * self.piece_bytes : (number + 1) * self.piece_bytes]
        piece = Piece(*packed.target, packed.base, total, number, packed.checksum, root)
        self._queue_piece(to, piece, body)

    def _queue_piece(self, to: int, piece: Piece, body: bytes) -> None:
        if len(self._queue) < MAX_QUEUED_PIECES:
            message = self._members.message(MessageKind.PIECE, digest=tuple(piece), body=body)
            self._queue.append(Outgoing(to, message))

"""Deltas of the endpoint list in pieces of one datagram each, and their assembly."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from loadbalancer.core.endpoints.list_versions import (
    FULL_LIST,
    MAX_DELTA_BYTES,
    ListVersion,
    PackedDelta,
)
from loadbalancer.core.gossip.messages import MAX_INTEGER

MAX_PARTIAL_DELTAS = 8  # beyond it, the delta longest without a new piece is dropped
NO_DELTA = 0  # delta checksum of a request by a node that has no piece of a delta
REQUEST_HEADER_LENGTH = 4  # how many numbers of a WANT message precede the piece numbers


class Piece(NamedTuple):
    """The numbers of a PIECE message, in the order of the message."""

    epoch: int  # of the version that the delta leads to, as are `rev` and `checksum`
    rev: int
    checksum: int
    base: int  # as in ListDelta
    total: int  # number of pieces of the delta
    number: int  # of this piece, from 0
    delta_checksum: int  # of the packed delta: pieces of two packings are never combined
    root: int  # node at the root of the tree that it is sent down; -1: not forwarded

    @property
    def target(self) -> ListVersion:
        """The version that the delta leads to."""
        return ListVersion(self.epoch, self.rev, self.checksum)


@dataclass(frozen=True, slots=True)
class PieceRequest:
    """A request for pieces, which a node sends to another one as a WANT message.

    Attributes:
        version: the version of the list that the requesting node has.
        delta_checksum: identifies the packed delta of which it has some pieces; or NO_DELTA.
        piece_numbers: the pieces of that delta that it requests; empty for all pieces.
    """

    version: ListVersion
    delta_checksum: int = NO_DELTA
    piece_numbers: tuple[int, ...] = ()

    @classmethod
    def from_numbers(cls, numbers: Sequence[int]) -> PieceRequest | None:
        """Parse the numbers of a WANT message; None if there are too few."""
        if len(numbers) < REQUEST_HEADER_LENGTH:
            return None
        epoch, rev, checksum, delta_checksum, *piece_numbers = numbers
        return cls(ListVersion(epoch, rev, checksum), delta_checksum, tuple(piece_numbers))

    def numbers(self) -> tuple[int, ...]:
        """The numbers of the WANT message, in the order of the message."""
        return (*self.version, self.delta_checksum, *self.piece_numbers)


class PieceStatus(Enum):
    """What an assembler did with a piece."""

    REFUSED = auto()  # the piece is invalid, or was received before
    STORED = auto()  # its delta is still incomplete
    COMPLETED = auto()  # it was the last missing piece of its delta


class AddedPiece(NamedTuple):
    """What an assembler did with a piece, and the delta that the piece completed, if any."""

    status: PieceStatus
    delta: PackedDelta | None = None


REFUSED = AddedPiece(PieceStatus.REFUSED)
STORED = AddedPiece(PieceStatus.STORED)


def piece_count(packed: PackedDelta, piece_bytes: int) -> int:
    """The number of pieces of at most `piece_bytes` bytes that a packed delta has."""
    return -(-len(packed.data) // piece_bytes)


class PartialDelta:
    """The pieces received so far of one delta."""

    __slots__ = ("bodies", "first", "last_piece_at")

    def __init__(self, first: Piece, now: int) -> None:
        self.first = first
        self.bodies: dict[int, bytes] = {}
        self.last_piece_at = now  # when the last new piece was received

    def missing(self) -> list[int]:
        """The numbers of the pieces that have not been received yet."""
        return [number for number in range(self.first.total) if number not in self.bodies]


class PieceAssembler:
    """Assembles deltas from their pieces, several deltas at once."""

    def __init__(self, piece_bytes: int) -> None:
        self._piece_bytes = piece_bytes
        self.partial: dict[tuple[ListVersion, int, int], PartialDelta] = {}

    def add(self, now: int, piece: Piece, body: bytes) -> AddedPiece:
        """Add a piece, if it is valid and new."""
        if not self.is_valid(piece, body):
            return REFUSED
        key = (piece.target, piece.base, piece.delta_checksum)
        partial = self.partial.get(key)
        if partial is None:
            partial = self.partial[key] = PartialDelta(piece, now)
            if len(self.partial) > MAX_PARTIAL_DELTAS:
                del self.partial[
                    min(self.partial, key=lambda candidate: self.partial[candidate].last_piece_at)
                ]
        if partial.first.total != piece.total or piece.number in partial.bodies:
            return REFUSED
        partial.bodies[piece.number] = body
        partial.last_piece_at = now
        if len(partial.bodies) < piece.total:
            return STORED
        del self.partial[key]
        data = b"".join(partial.bodies[number] for number in range(piece.total))
        delta = PackedDelta(piece.base, piece.target, piece.delta_checksum, data)
        return AddedPiece(PieceStatus.COMPLETED, delta)

    def received_piece(self, delta_checksum: int, number: int) -> tuple[Piece, bytes] | None:
        """A received piece of an incomplete delta, for nodes that lack it."""
        for partial in self.partial.values():
            if partial.first.delta_checksum == delta_checksum and number in partial.bodies:
                return partial.first._replace(number=number), partial.bodies[number]
        return None

    def latest_partial(self) -> PartialDelta | None:
        """The incomplete delta to the latest version, if any."""
        if not self.partial:
            return None
        return max(self.partial.values(), key=lambda partial: partial.first.target)

    def discard_through(self, version: ListVersion) -> None:
        """Discard incomplete deltas to this version and to earlier ones."""
        self.partial = {
            key: partial for key, partial in self.partial.items() if partial.first.target > version
        }

    def is_valid(self, piece: Piece, body: bytes) -> bool:
        """Whether a piece's numbers and the length of its body are within their ranges."""
        return (
            0 < len(body) <= self._piece_bytes
            and 0 <= piece.number < piece.total <= -(-MAX_DELTA_BYTES // self._piece_bytes)
            and piece.base >= FULL_LIST
            and piece.epoch > 0
            and min(piece[:3]) >= 0
            and max(piece) < MAX_INTEGER
        )

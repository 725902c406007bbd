"""Deltas of the list in pieces of one datagram each, and their assembly."""

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

MAX_PARTIAL_DELTAS = 8  # at once; beyond it the one longest without a new piece is dropped
NO_DELTA = 0  # as the checksum of a request: no delta has been begun
REQUEST_HEAD = 4  # numbers of a WANT message before those of the pieces


class Piece(NamedTuple):
    """The numbers of a PIECE message, in their order."""

    epoch: int  # of the version that the delta leads to, as `rev` and `checksum`
    rev: int
    checksum: int
    base: int  # as of a ListDelta
    total: int  # pieces of the delta
    number: int  # of this one, from 0
    delta_checksum: int  # of the packed delta: pieces of two packings are never joined
    root: int  # the node at the root of the tree that it is passed down, or -1

    @property
    def target(self) -> ListVersion:
        """The version that the delta leads to."""
        return ListVersion(self.epoch, self.rev, self.checksum)


@dataclass(frozen=True, slots=True)
class PieceRequest:
    """What a node asks of another, as a WANT message.

    Attributes:
        version: of the list that it has.
        delta_checksum: of the packed delta that it has a part of, or NO_DELTA.
        piece_numbers: of that delta, those that it asks for; empty for all.
    """

    version: ListVersion
    delta_checksum: int = NO_DELTA
    piece_numbers: tuple[int, ...] = ()

    @classmethod
    def from_numbers(cls, numbers: Sequence[int]) -> PieceRequest | None:
        """The request that a WANT message's numbers make; None where they are too few."""
        if len(numbers) < REQUEST_HEAD:
            return None
        epoch, rev, checksum, delta_checksum, *piece_numbers = numbers
        return cls(ListVersion(epoch, rev, checksum), delta_checksum, tuple(piece_numbers))

    def numbers(self) -> tuple[int, ...]:
        """The numbers of a WANT message, in their order."""
        return (*self.version, self.delta_checksum, *self.piece_numbers)


class PieceStatus(Enum):
    """What has become of a piece."""

    REFUSED = auto()  # it is invalid, or has been received already
    STORED = auto()  # its delta is not complete yet
    COMPLETED = auto()  # its delta is complete


class AddedPiece(NamedTuple):
    """What has become of a piece, and the delta that it completed."""

    status: PieceStatus
    delta: PackedDelta | None = None


REFUSED = AddedPiece(PieceStatus.REFUSED)
STORED = AddedPiece(PieceStatus.STORED)


def piece_count(packed: PackedDelta, piece_bytes: int) -> int:
    """How many pieces of at most `piece_bytes` a packed delta has."""
    return -(-len(packed.data) // piece_bytes)


class PartialDelta:
    """The pieces of one delta that have been received."""

    __slots__ = ("first", "parts", "received_at")

    def __init__(self, first: Piece, now: int) -> None:
        self.first = first
        self.parts: dict[int, bytes] = {}
        self.received_at = now  # when the last new piece came

    def missing(self) -> list[int]:
        """The numbers of the pieces that have not been received."""
        return [number for number in range(self.first.total) if number not in self.parts]


class PieceAssembler:
    """The deltas that are being received, several at once."""

    def __init__(self, piece_bytes: int) -> None:
        self._piece_bytes = piece_bytes
        self.partial: dict[tuple[ListVersion, int, int], PartialDelta] = {}

    def add(self, now: int, piece: Piece, body: bytes) -> AddedPiece:
        """Add a piece; returns the delta that it completes."""
        if not self.is_valid(piece, body):
            return REFUSED
        key = (piece.target, piece.base, piece.delta_checksum)
        partial = self.partial.get(key)
        if partial is None:
            partial = self.partial[key] = PartialDelta(piece, now)
            if len(self.partial) > MAX_PARTIAL_DELTAS:
                del self.partial[min(self.partial, key=lambda k: self.partial[k].received_at)]
        if partial.first.total != piece.total or piece.number in partial.parts:
            return REFUSED
        partial.parts[piece.number] = body
        partial.received_at = now
        if len(partial.parts) < piece.total:
            return STORED
        del self.partial[key]
        data = b"".join(partial.parts[number] for number in range(piece.total))
        delta = PackedDelta(piece.base, piece.target, piece.delta_checksum, data)
        return AddedPiece(PieceStatus.COMPLETED, delta)

    def part(self, delta_checksum: int, number: int) -> tuple[Piece, bytes] | None:
        """One piece of a delta that is not complete yet, for others that lack it."""
        for partial in self.partial.values():
            if partial.first.delta_checksum == delta_checksum and number in partial.parts:
                return partial.first._replace(number=number), partial.parts[number]
        return None

    def latest(self) -> PartialDelta | None:
        """The delta to the latest version."""
        if not self.partial:
            return None
        return max(self.partial.values(), key=lambda partial: partial.first.target)

    def discard_until(self, version: ListVersion) -> None:
        """Discard the deltas to versions up to this one."""
        self.partial = {k: p for k, p in self.partial.items() if p.first.target > version}

    def is_valid(self, piece: Piece, body: bytes) -> bool:
        """Whether every number of a piece is within its range."""
        return (
            0 < len(body) <= self._piece_bytes
            and 0 <= piece.number < piece.total <= -(-MAX_DELTA_BYTES // self._piece_bytes)
            and piece.base >= FULL_LIST
            and piece.epoch > 0
            and min(piece[:3]) >= 0
            and max(piece) < MAX_INTEGER
        )

"""Tests for pieces of deltas: their assembly, their validity and their size on the wire."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.core.endpoints.delta_sender import PIECE_HEADER_BYTES
from loadbalancer.core.endpoints.list_pieces import (
    AddedPiece,
    Piece,
    PieceAssembler,
    PieceRequest,
    PieceStatus,
)
from loadbalancer.core.endpoints.list_versions import (
    FULL_LIST,
    ListDelta,
    ListVersion,
    pack,
    unpack,
)
from loadbalancer.core.gossip.messages import (
    Message,
    MessageKind,
)
from loadbalancer.gossip_transport.codec import decode, encode
from tests.core.endpoints.list_history import history


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 10**6))
def test_pieces_reordered_duplicated_or_mixed_give_the_delta_or_nothing(seed: int) -> None:
    random = Random(seed)
    versions = history(seed, 4)
    packings = [
        pack(ListDelta(FULL_LIST, ListVersion(1, i + 1, 0), rows))
        for i, rows in enumerate(versions)
    ]
    pieces = [
        (
            Piece(*p.target, p.base, -(-len(p.data) // 40), number, p.checksum, -1),
            p.data[number * 40 : number * 40 + 40],
        )
        for p in packings
        for number in range(-(-len(p.data) // 40))
    ]
    damaged = [(p._replace(rev=p.rev + 1), body) for p, body in random.sample(pieces, 3)]
    damaged += [(p, body[:-1] + b"?") for p, body in random.sample(pieces, 2)]
    received = pieces + random.sample(pieces, len(pieces) // 2) + damaged
    random.shuffle(received)
    assembler, complete = PieceAssembler(40), 0
    for now, (piece, body) in enumerate(received):
        packed = assembler.add(now, piece, body).delta
        if packed is not None:
            delta = unpack(packed)
            # A damaged piece that arrives before the right one makes the checksum wrong.
            assert delta is None or delta.rows == versions[packed.target.rev - 1]
            complete += delta is not None
        assert len(assembler.partial) <= 8
    assert complete >= 1


def test_pieces_and_requests_with_the_largest_numbers_fit_a_datagram() -> None:
    largest = (1 << 63) - 1
    piece = Piece(largest, largest, largest, largest, 4096, 4095, (1 << 32) - 1, 999)
    body = bytes(256 - PIECE_HEADER_BYTES)
    message = Message(MessageKind.PIECE, 999, (1 << 48) - 1, digest=tuple(piece), body=body)
    data = encode(message, 7)
    assert len(data) <= 256
    assert decode(data, 7) == message
    version, last_pieces = ListVersion(largest, largest, largest), tuple(range(4000, 4016))
    missing = PieceRequest(version, (1 << 32) - 1, last_pieces).numbers()
    assert missing == (largest, largest, largest, (1 << 32) - 1, *last_pieces)
    assert len(encode(Message(MessageKind.WANT, 999, (1 << 48) - 1, digest=missing), 7)) <= 256


def test_a_piece_request_converts_to_and_from_message_numbers() -> None:
    version = ListVersion(2, 41, 7)
    for request in (PieceRequest(version), PieceRequest(version, 5, (3, 1, 2))):
        assert PieceRequest.from_numbers(request.numbers()) == request
    assert PieceRequest(version).numbers() == (2, 41, 7, 0)
    assert PieceRequest.from_numbers((2, 41, 7)) is None


def test_pieces_with_numbers_out_of_range_are_refused() -> None:
    assembler = PieceAssembler(40)
    valid = Piece(1, 1, 0, FULL_LIST, 2, 0, 9, -1)
    invalid = [valid._replace(number=2), valid._replace(total=30_000), valid._replace(rev=-1)]
    invalid += [valid._replace(base=-2), valid._replace(number=-1), valid._replace(epoch=0)]
    invalid += [valid._replace(base=1 << 63)]
    refused = AddedPiece(PieceStatus.REFUSED)
    assert all(assembler.add(0, p, b"x") == refused for p in invalid)
    assert assembler.add(0, valid, b"x" * 41) == refused
    assert assembler.add(0, valid, b"") == refused
    assert assembler.add(0, valid, b"x").status is PieceStatus.STORED
    assert assembler.add(0, valid, b"x") == refused
    assert assembler.add(0, valid._replace(total=3, number=1), b"x") == refused
    assert assembler.add(0, valid._replace(number=1), b"x").status is PieceStatus.COMPLETED

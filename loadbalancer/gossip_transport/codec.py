"""A message as one datagram: a checksum, the version, the tier, and MessagePack.

    0  4 bytes  CRC-32 of all that follows
    4  1 byte   version
    5  2 bytes  the tier, of its name's CRC
    7  ...      MessagePack: [kind, origin, incarnation, serial, subject, [digest], [record...]],
                in a piece of the list its bytes behind them

Records are arrays with their kind first; ages go out in milliseconds. What a reader does not
know (a kind of message or record, further figures behind those it knows) it skips.
"""

from __future__ import annotations

import struct
from zlib import crc32

import msgpack

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.errors import ProtocolError
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    Kind,
    MemberRecord,
    Message,
    Observation,
    ReaderRecord,
    Record,
)

VERSION = 1
_HEAD = struct.Struct(">IBH")
_KINDS: dict[int, type[Record]] = {
    0: MemberRecord,
    1: DrainRecord,
    2: Observation,
    3: ReaderRecord,
}
_NUMBERS: dict[type[Record], int] = {made: number for number, made in _KINDS.items()}
_KNOWN = {int(kind) for kind in Kind}


class BadMessageError(ProtocolError, ValueError):
    """A datagram that is none of ours; the text is what it is counted under."""


def tier(name: str) -> int:
    return crc32(name.encode()) & 0xFFFF


def encode(message: Message, number: int) -> bytes:
    """A message for the tier of this number."""
    rows = [_row(record) for record in message.records]
    fields = [int(message.kind), *message[1:5], list(message.digest), rows]
    if message.body:
        fields.append(message.body)
    packed: bytes = msgpack.packb(fields)
    body = struct.pack(">BH", VERSION, number) + packed
    return struct.pack(">I", crc32(body)) + body


def _row(record: Record) -> list[int]:
    row = [_NUMBERS[type(record)], *map(int, record)]
    if not isinstance(record, MemberRecord):
        row[-1] //= MS
    return row


def decode(data: bytes, number: int) -> Message | None:
    """The message; None where its kind is not known here. BadMessageError on anything else."""
    if len(data) < _HEAD.size:
        raise BadMessageError("short")
    check, version, of = _HEAD.unpack_from(data)
    if crc32(data[4:]) != check:
        raise BadMessageError("broken")
    if version != VERSION:
        raise BadMessageError("another version")
    if of != number:
        raise BadMessageError("another tier")
    try:
        fields = msgpack.unpackb(data[_HEAD.size :])
        kind, origin, incarnation, serial, subject, digest, rows = fields[:7]
        figures = (kind, origin, incarnation, serial, subject, *digest)
        if not all(type(f) is int for f in figures):
            raise BadMessageError("unsound")
        if kind not in _KNOWN:
            return None
        records = tuple(r for r in map(_record, rows) if r is not None)
        body = fields[7] if kind == Kind.PIECE and len(fields) > 7 else b""
        if not isinstance(body, bytes):
            raise BadMessageError("unsound")
    except (ValueError, TypeError, msgpack.UnpackException) as err:
        raise BadMessageError("unsound") from err
    return Message(Kind(kind), origin, incarnation, serial, subject, tuple(digest), records, body)


def _record(row: list[int]) -> Record | None:
    """One record; None where its kind is not known here. ValueError on one that is short."""
    if not isinstance(row, list) or not row or not all(type(f) is int for f in row):
        raise BadMessageError("unsound")
    made = _KINDS.get(row[0])
    if made is None:
        return None
    count = len(made._fields)
    if len(row) <= count:
        raise BadMessageError("unsound")
    figures = row[1 : count + 1]
    if made is not MemberRecord:
        figures[-1] *= MS
    return made(*figures)

"""A gossip message as one datagram: a checksum, the version, the fleet, and MessagePack.

    0  4 bytes  CRC-32 of all that follows
    4  1 byte   version
    5  2 bytes  the fleet, of its name's CRC
    7  ...      MessagePack: [kind, origin, incarnation, serial, subject, [digest], [record...]],
                in a piece of the list its bytes behind them

A record is an array that begins with its kind (RECORD_NUMBERS); ages are in milliseconds. A
reader skips what it does not know: a kind of message or of record, and further fields behind
those it knows.
"""

from __future__ import annotations

import struct
from typing import Any
from zlib import crc32

import msgpack

from loadbalancer.core.balancing.model import MS
from loadbalancer.core.errors import ProtocolError
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    MemberRecord,
    Message,
    MessageKind,
    Observation,
    ReaderRecord,
    Record,
)

VERSION = 1
CHECKSUM = struct.Struct(">I")
HEAD = struct.Struct(">BH")  # version, fleet
BODY_AT = CHECKSUM.size + HEAD.size
RECORD_NUMBERS: dict[type[Record], int] = {
    MemberRecord: 0,
    DrainRecord: 1,
    Observation: 2,
    ReaderRecord: 3,
}
RECORD_TYPES = {number: record_type for record_type, number in RECORD_NUMBERS.items()}
MESSAGE_FIELDS = 7  # of every message; a piece has its bytes as one more
KNOWN_KINDS = {int(kind) for kind in MessageKind}


class BadMessageError(ProtocolError, ValueError):
    """A datagram that is no message of this fleet; the text is the counter it adds to."""


def fleet_number(name: str) -> int:
    """The number of a fleet on the wire."""
    return crc32(name.encode()) & 0xFFFF


def encode(message: Message, fleet: int) -> bytes:
    """The datagram of a message, for the fleet of this number."""
    records = [_encode_record(record) for record in message.records]
    fields = [int(message.kind), *message[1:5], list(message.digest), records]
    if message.body:
        fields.append(message.body)
    packed: bytes = msgpack.packb(fields)
    body = HEAD.pack(VERSION, fleet) + packed
    return CHECKSUM.pack(crc32(body)) + body


def _encode_record(record: Record) -> list[int]:
    row = [RECORD_NUMBERS[type(record)], *map(int, record)]
    if not isinstance(record, MemberRecord):
        row[-1] //= MS
    return row


def decode(data: bytes, fleet: int) -> Message | None:
    """The message of a datagram; None where its kind is not known here.

    Raises:
        BadMessageError: on anything else, with the counter's name.
    """
    _check_head(data, fleet)
    try:
        return _decode_body(msgpack.unpackb(data[BODY_AT:]))
    except (ValueError, TypeError, msgpack.UnpackException) as err:
        raise BadMessageError("unsound") from err


def _check_head(data: bytes, fleet: int) -> None:
    if len(data) < BODY_AT:
        raise BadMessageError("short")
    (checksum,) = CHECKSUM.unpack_from(data)
    if crc32(data[CHECKSUM.size :]) != checksum:
        raise BadMessageError("broken")
    version, sender_fleet = HEAD.unpack_from(data, CHECKSUM.size)
    if version != VERSION:
        raise BadMessageError("another version")
    if sender_fleet != fleet:
        raise BadMessageError("another tier")


def _decode_body(fields: Any) -> Message | None:
    kind, origin, incarnation, serial, subject, digest, rows = fields[:MESSAGE_FIELDS]
    _check_integers((kind, origin, incarnation, serial, subject, *digest))
    if kind not in KNOWN_KINDS:
        return None
    records = tuple(record for record in map(_decode_record, rows) if record is not None)
    body = b""
    if kind == MessageKind.PIECE and len(fields) > MESSAGE_FIELDS:
        body = fields[MESSAGE_FIELDS]
    if not isinstance(body, bytes):
        raise BadMessageError("unsound")
    return Message(
        MessageKind(kind), origin, incarnation, serial, subject, tuple(digest), records, body
    )


def _decode_record(row: Any) -> Record | None:
    """One record; None where its kind is not known here."""
    if not isinstance(row, list) or not row:
        raise BadMessageError("unsound")
    _check_integers(row)
    record_type = RECORD_TYPES.get(row[0])
    if record_type is None:
        return None
    count = len(record_type._fields)
    if len(row) <= count:
        raise BadMessageError("unsound")
    fields = row[1 : count + 1]
    if record_type is not MemberRecord:
        fields[-1] *= MS
    return record_type(*fields)


def _check_integers(values: list[Any] | tuple[Any, ...]) -> None:
    if not all(type(value) is int for value in values):
        raise BadMessageError("unsound")

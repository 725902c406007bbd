"""Encodes a gossip message as one datagram, and decodes it.

    offset  size     contents
    0       4 bytes  CRC-32 of all that follows
    4       1 byte   version
    5       2 bytes  number of the fleet (`fleet_number`)
    7       ...      MessagePack: [kind, origin, incarnation, serial, subject, [digest],
                     [record...]], followed by the body if the message is a PIECE

A record is an array that starts with its type (RECORD_TYPE_CODES); ages are in milliseconds. For
compatibility with later versions, a decoder ignores messages of an unknown kind, records of an
unknown type, and additional fields at the end.
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
HEADER = struct.Struct(">BH")  # version, fleet
BODY_OFFSET = CHECKSUM.size + HEADER.size
RECORD_TYPE_CODES: dict[type[Record], int] = {
    MemberRecord: 0,
    DrainRecord: 1,
    Observation: 2,
    ReaderRecord: 3,
}
RECORD_TYPES_BY_CODE = {number: record_type for record_type, number in RECORD_TYPE_CODES.items()}
MESSAGE_FIELDS = 7  # number of fields in every message; a PIECE has one more, its body
KNOWN_KINDS = {int(kind) for kind in MessageKind}


class BadMessageError(ProtocolError, ValueError):
    """A datagram that is not a valid message of this fleet; the text is the counter to increase."""


def fleet_number(name: str) -> int:
    """The number that identifies a fleet on the wire, from a checksum of its name."""
    return crc32(name.encode()) & 0xFFFF


def encode(message: Message, fleet: int) -> bytes:
    """Encode a message for the fleet with this number."""
    records = [_encode_record(record) for record in message.records]
    fields = [int(message.kind), *message[1:5], list(message.digest), records]
    if message.body:
        fields.append(message.body)
    packed: bytes = msgpack.packb(fields)
    body = HEADER.pack(VERSION, fleet) + packed
    return CHECKSUM.pack(crc32(body)) + body


def _encode_record(record: Record) -> list[int]:
    row = [RECORD_TYPE_CODES[type(record)], *map(int, record)]
    if not isinstance(record, MemberRecord):
        row[-1] //= MS
    return row


def decode(data: bytes, fleet: int) -> Message | None:
    """Decode a datagram; returns None if its kind is unknown.

    Raises:
        BadMessageError: if the datagram is invalid; the text is the name of a counter.
    """
    _check_header(data, fleet)
    try:
        return _decode_body(msgpack.unpackb(data[BODY_OFFSET:]))
    except (ValueError, TypeError, msgpack.UnpackException) as err:
        raise BadMessageError("unsound") from err


def _check_header(data: bytes, fleet: int) -> None:
    if len(data) < BODY_OFFSET:
        raise BadMessageError("short")
    (checksum,) = CHECKSUM.unpack_from(data)
    if crc32(data[CHECKSUM.size :]) != checksum:
        raise BadMessageError("broken")
    version, sender_fleet = HEADER.unpack_from(data, CHECKSUM.size)
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
    """Decode one record; returns None if its type is unknown."""
    if not isinstance(row, list) or not row:
        raise BadMessageError("unsound")
    _check_integers(row)
    record_type = RECORD_TYPES_BY_CODE.get(row[0])
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

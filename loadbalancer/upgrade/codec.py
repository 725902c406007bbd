"""Messages as bytes: a length of four bytes, big endian, and one JSON object.

A message is known by its first key; the keys below are the wire's words for the records of
`messages`. A peer of another version may send further keys or messages: they are ignored.
"""

from __future__ import annotations

import json
import struct
from typing import Any

from loadbalancer.core.errors import ProtocolError
from loadbalancer.upgrade.messages import (
    HandedState,
    ListUpdate,
    Message,
    Reload,
    RetainedCapacity,
    Serving,
    SetStandby,
)

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16 << 20
REQUEST_ID_CHARSET = "latin-1"  # gives every byte a character

HANDED_STATE = "state"
SERVING = "serving"
RETAINED_SLOTS, DESCRIPTORS, REQUEST_IDS, DRAINED = "keeps", "descriptors", "labels", "empty"
LIST_UPDATE = "news"
RELOAD = "reload"
SET_STANDBY = "standby"


class MessageError(ProtocolError):
    """Bytes that are no message."""


def encode(message: Message) -> bytes:
    """A message's frame."""
    return encode_frame(_fields(message))


def encode_frame(fields: dict[str, Any]) -> bytes:
    """The frame of one JSON object."""
    body = json.dumps(fields).encode()
    return LENGTH.pack(len(body)) + body


def decode(fields: dict[str, Any]) -> Message | None:
    """The message of a frame's JSON object, None where its kind is not known.

    Raises:
        MessageError: its kind is known and it is malformed.
    """
    try:
        return _decode(fields)
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as err:
        raise MessageError(f"a malformed message: {err}") from err


class FrameReader:
    """Cuts a stream of bytes into frames.

    Failure: a peer that announces a huge frame would have this process buffer it. A length
    beyond MAX_FRAME_BYTES is an error before any of the frame is read.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Take the stream's next bytes."""
        self._buffer += data

    def next_frame(self) -> dict[str, Any] | None:
        """The next frame's JSON object, None until all of it has come.

        Raises:
            MessageError: it is too long, or no JSON object.
        """
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise MessageError(f"a frame of {length} bytes")
        end = LENGTH.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[LENGTH.size : end])
        del self._buffer[:end]
        return _parse_object(body)


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise MessageError(f"no JSON: {err}") from err
    if not isinstance(fields, dict):
        raise MessageError("no JSON object")
    return fields


def _fields(message: Message) -> dict[str, Any]:
    match message:
        case HandedState(state):
            return {HANDED_STATE: state}
        case Serving():
            return {SERVING: True}
        case RetainedCapacity():
            return _retained_fields(message)
        case ListUpdate(body):
            return {LIST_UPDATE: body.decode("utf-8", "replace")}
        case Reload():
            return {RELOAD: True}
        case SetStandby(on):
            return {SET_STANDBY: on}


def _retained_fields(message: RetainedCapacity) -> dict[str, Any]:
    return {
        RETAINED_SLOTS: {str(backend): slots for backend, slots in message.slots.items()},
        DESCRIPTORS: message.descriptors,
        REQUEST_IDS: [label.decode(REQUEST_ID_CHARSET) for label in message.request_ids],
        DRAINED: message.drained,
    }


def _decode(fields: dict[str, Any]) -> Message | None:
    if HANDED_STATE in fields:
        return HandedState(fields[HANDED_STATE])
    if SERVING in fields:
        return Serving()
    if RETAINED_SLOTS in fields:
        return _decode_retained(fields)
    if LIST_UPDATE in fields:
        return ListUpdate(str(fields[LIST_UPDATE]).encode())
    if RELOAD in fields:
        return Reload()
    if SET_STANDBY in fields:
        return SetStandby(bool(fields[SET_STANDBY]))
    return None


def _decode_retained(fields: dict[str, Any]) -> RetainedCapacity:
    return RetainedCapacity(
        slots={int(key): int(slots) for key, slots in fields[RETAINED_SLOTS].items()},
        descriptors=int(fields[DESCRIPTORS]),
        request_ids=tuple(str(label).encode(REQUEST_ID_CHARSET) for label in fields[REQUEST_IDS]),
        drained=bool(fields.get(DRAINED)),
    )

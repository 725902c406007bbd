"""Encoding of the messages between two processes of one node.

Each frame is a four-byte big-endian length followed by one JSON object. The kind of a message
is recognized by a key that only this kind has; the constants below are the keys on the wire.
Unknown keys and messages of an unknown kind are ignored, as a peer of another version may send
them.
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
    RequestIdsChanged,
    RetainedCapacity,
    Serving,
    SetStandby,
)

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16 << 20
REQUEST_ID_CHARSET = "latin-1"  # maps every byte to one character, so that any id can be encoded

HANDED_STATE = "state"
SERVING = "serving"
RETAINED_SLOTS, DESCRIPTORS, REQUEST_IDS, DRAINED = "keeps", "descriptors", "labels", "empty"
IDS_BEGUN, IDS_RELEASED = "ids_begun", "ids_released"
LIST_UPDATE = "news"
RELOAD = "reload"
SET_STANDBY = "standby"


class MessageError(ProtocolError):
    """A frame or message that can't be decoded."""


def encode(message: Message) -> bytes:
    """Encode a message as a frame."""
    return encode_frame(_fields(message))


def encode_frame(fields: dict[str, Any]) -> bytes:
    """Encode a JSON object as a frame."""
    body = json.dumps(fields).encode()
    return LENGTH.pack(len(body)) + body


def decode(fields: dict[str, Any]) -> Message | None:
    """Decode the JSON object of a frame; returns None for a message of an unknown kind.

    Raises:
        MessageError: the message is of a known kind but malformed.
    """
    try:
        return _decode(fields)
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as err:
        raise MessageError(f"malformed message: {err}") from err


class FrameReader:
    """Splits a byte stream into frames.

    A length above MAX_FRAME_BYTES is rejected as soon as it is read: otherwise a peer that
    announces a huge frame would make this process buffer all of it.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next_frame(self) -> dict[str, Any] | None:
        """Return the JSON object of the next frame, or None until the frame is complete.

        Raises:
            MessageError: the frame is too long, or does not hold a JSON object.
        """
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise MessageError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
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
        raise MessageError(f"frame is not valid JSON: {err}") from err
    if not isinstance(fields, dict):
        raise MessageError("frame is not a JSON object")
    return fields


def _fields(message: Message) -> dict[str, Any]:
    match message:
        case HandedState(state):
            return {HANDED_STATE: state}
        case Serving():
            return {SERVING: True}
        case RetainedCapacity():
            return _retained_fields(message)
        case RequestIdsChanged(begun, released):
            return {IDS_BEGUN: _id_texts(begun), IDS_RELEASED: _id_texts(released)}
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
        REQUEST_IDS: _id_texts(message.request_ids),
        DRAINED: message.drained,
    }


def _id_texts(request_ids: tuple[bytes, ...]) -> list[str]:
    return [request_id.decode(REQUEST_ID_CHARSET) for request_id in request_ids]


def _request_ids(texts: list[Any]) -> tuple[bytes, ...]:
    return tuple(str(text).encode(REQUEST_ID_CHARSET) for text in texts)


def _decode(fields: dict[str, Any]) -> Message | None:
    if HANDED_STATE in fields:
        return HandedState(fields[HANDED_STATE])
    if SERVING in fields:
        return Serving()
    if RETAINED_SLOTS in fields:
        return _decode_retained(fields)
    if IDS_BEGUN in fields:
        return RequestIdsChanged(
            _request_ids(fields[IDS_BEGUN]), _request_ids(fields[IDS_RELEASED])
        )
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
        request_ids=_request_ids(fields[REQUEST_IDS]),
        drained=bool(fields.get(DRAINED)),
    )

"""Decoding of the messages between the two processes, including malformed ones.

`tests/golden/data/node/handover.json` holds the exact bytes of each message.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from loadbalancer.upgrade.codec import (
    LENGTH,
    MAX_FRAME_BYTES,
    FrameReader,
    MessageError,
    decode,
    encode,
)
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

MESSAGES: list[Message] = [
    RequestIdsChanged((b"r-\xff",), (b"r-1", b"r-2")),
    HandedState({"rev": 41}),
    RetainedCapacity({7: 1, (1 << 64) - 3: 0}, 212, (b"r-1", b"\xff"), drained=False),
    ListUpdate(b'{"rev": 8}'),
    SetStandby(on=True),
    SetStandby(on=False),
]


@pytest.fixture
def frames() -> FrameReader:
    return FrameReader()


def frame(body: bytes) -> bytes:
    return LENGTH.pack(len(body)) + body


def read_all(frames: FrameReader) -> list[Message | None]:
    messages = []
    while (fields := frames.next_frame()) is not None:
        messages.append(decode(fields))
    return messages


def test_several_messages_in_one_read_are_decoded_in_order(frames: FrameReader) -> None:
    frames.feed(b"".join(encode(message) for message in MESSAGES))
    assert read_all(frames) == MESSAGES


@pytest.mark.parametrize("message_type", [Serving, Reload])
def test_a_message_without_fields(frames: FrameReader, message_type: type[Any]) -> None:
    frames.feed(encode(message_type()))
    (message,) = read_all(frames)
    assert type(message) is message_type


def test_a_frame_is_returned_once_its_last_byte_is_received(frames: FrameReader) -> None:
    data = encode(SetStandby(on=True))
    for offset in range(len(data) - 1):
        frames.feed(data[offset : offset + 1])
        assert frames.next_frame() is None
    frames.feed(data[-1:])
    assert read_all(frames) == [SetStandby(on=True)]


def test_a_message_of_an_unknown_kind_is_ignored(frames: FrameReader) -> None:
    """A peer sends a message of an unknown kind, then a known one."""
    frames.feed(frame(b'{"priority": 3}') + encode(SetStandby(on=False)))
    assert read_all(frames) == [None, SetStandby(on=False)]


def test_a_too_long_frame_is_rejected_before_its_body_is_received(frames: FrameReader) -> None:
    frames.feed(LENGTH.pack(MAX_FRAME_BYTES + 1))
    with pytest.raises(MessageError):
        frames.next_frame()


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"7", b"\xff", b"[" * 100_000])
def test_a_frame_that_is_not_a_json_object_is_rejected(frames: FrameReader, body: bytes) -> None:
    frames.feed(frame(body))
    with pytest.raises(MessageError):
        frames.next_frame()


RETAINED = {"keeps": {"7": 1}, "descriptors": 212, "labels": ["r-1"], "empty": False}


@pytest.mark.parametrize(
    "fields",
    [
        {"keeps": {"7": 1}},
        RETAINED | {"keeps": []},
        RETAINED | {"keeps": {"seven": 1}},
        RETAINED | {"keeps": {"7": None}},
        RETAINED | {"descriptors": None},
        RETAINED | {"descriptors": float("inf")},
        RETAINED | {"labels": 7},
        RETAINED | {"labels": ["\u4e00"]},
        {"news": "\ud800"},
    ],
    ids=json.dumps,
)
def test_a_malformed_message_is_rejected(fields: dict[str, Any]) -> None:
    with pytest.raises(MessageError):
        decode(fields)

"""Encoding of messages: sizes, and datagrams that are refused."""

from __future__ import annotations

import pytest

from loadbalancer.core.balancing.model import MS, SECOND
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    MemberRecord,
    Message,
    MessageKind,
    Observation,
    Record,
)
from loadbalancer.core.gossip.update_sender import DIGEST_BYTES, MESSAGE_HEADER_BYTES, RECORD_BYTES
from loadbalancer.gossip_transport.codec import BadMessageError, decode, encode
from tests.core.gossip.builders import observation


def test_the_largest_records_fit_the_sizes_in_update_sender() -> None:
    max_server = (1 << 64) - 1
    largest: list[Record] = [
        MemberRecord(999, (1 << 48) - 1, 3),
        DrainRecord(max_server, 1 << 47, 1 << 40, 2, 600 * SECOND),
        Observation(max_server, 1 << 47, 999, (1 << 48) - 1, 1 << 30, 15, 1, 15, 160, 15 * SECOND),
    ]
    header_size = len(encode(Message(MessageKind.DONE, 999, (1 << 48) - 1, 1 << 30, 999), 65535))
    assert header_size <= MESSAGE_HEADER_BYTES
    for record in largest:
        message = Message(MessageKind.GOSSIP, 999, (1 << 48) - 1, 1 << 30, 999, (), (record,))
        data = encode(message, 65535)
        assert len(data) - header_size <= RECORD_BYTES[type(record)]
        assert decode(data, 65535) == message
    digest = encode(
        Message(MessageKind.DIGEST, 999, (1 << 48) - 1, 1, 999, (0xFFFFFFFF,) * 9), 65535
    )
    assert len(digest) <= MESSAGE_HEADER_BYTES + DIGEST_BYTES


def test_each_kind_of_malformed_datagram_has_its_own_counter() -> None:
    message = Message(
        MessageKind.GOSSIP, 1, 2, records=(observation(9, 1, failures=1, age=5 * MS),)
    )
    data = encode(message, 7)
    assert decode(data, 7) == message
    for malformed, cause in (
        (data[:4], "short"), (data[:-1], "broken"), (data[:9] + b"\0" + data[10:], "broken"),
        (encode(message, 8), "another tier"),
    ):  # fmt: skip
        with pytest.raises(BadMessageError, match=cause):
            decode(malformed, 7)

"""Tests of the codec of messages between control machines."""

from __future__ import annotations

import pytest

from loadbalancer.control.machine.codec import BadMessageError
from loadbalancer.control.machine.messages import NodeReport, NodeReports, message_codec
from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.assignment.presence import PresenceUpdate
from loadbalancer.core.assignment.release import NodeRelease, ReleaseGrant
from loadbalancer.core.replicated_log.messages import AppendEntries, Fetch
from tests.control_machines import row

AT, LATER = Position(3, 7), Position(3, 9)


def test_messages_are_decoded_as_they_were_encoded() -> None:
    codec = message_codec()
    change = Change(AT, "cart", (row("a"),), ("b",))
    for message in (
        AppendEntries("east", 3, AT, AT, (change,), 7),
        Fetch("west", AT, 1),
        Fetch("west", AT, 1, snapshot=LATER),
        PresenceUpdate(1, False, ("n1",), ("n2",)),
        NodeReports((NodeReport("n1", ("cart", "pay")),)),
        ReleaseGrant("east", 3, (NodeRelease("n1", ("cart", "pay")),)),
    ):
        assert codec.decode(codec.encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [b"", b"\xc1", b"\x90", b"\x91\x01", b"\x92\xff\x90", b"\x92\xcc\xc8\x90", b"\x92\x01\x90"],
)
def test_malformed_bytes_are_refused(data: bytes) -> None:
    with pytest.raises(BadMessageError):
        message_codec().decode(data)


def test_a_field_of_the_wrong_type_is_refused() -> None:
    """A faulty peer, or one of another release, sends a field of an unexpected type."""
    codec = message_codec()
    good = codec.encode(PresenceUpdate(1, False, ("n1",)))
    for old, new in ((b"\xc2", b"\x01"), (b"\xa2n1", b"\x01"), (b"\x01\xc2", b"\xa1x\xc2")):
        with pytest.raises(BadMessageError):
            codec.decode(good.replace(old, new, 1))

"""Acks that are late, duplicated, from another member, or for an earlier probe."""

from __future__ import annotations

import pytest

from loadbalancer.core.gossip.failure_detector import RELAY_TTL_NS, FailureDetector
from loadbalancer.core.gossip.membership import PROTOCOL_PERIOD_NS, Membership
from loadbalancer.core.gossip.messages import MemberStatus, Message, MessageKind, Outgoing


@pytest.mark.parametrize(
    ("serial_offset", "from_target", "about_target", "status"),
    [
        (0, True, True, MemberStatus.ALIVE),
        (0, False, True, MemberStatus.ALIVE),  # relayed
        (0, False, False, MemberStatus.SUSPECT),  # about another member
        (-1, True, True, MemberStatus.SUSPECT),  # for an earlier probe or process
        (1, True, True, MemberStatus.SUSPECT),  # for no probe
    ],
)
def test_only_an_ack_for_the_same_probe_ends_it(
    serial_offset: int, from_target: bool, about_target: bool, status: MemberStatus
) -> None:
    """A member has died, and an ack that it sent before, or one of another member, arrives.

    If that ended the probe, the death would be detected one round of probes later.
    """
    members = Membership(0, 4, 1, 1)
    detector = FailureDetector(members)
    (ping,) = detector.tick(0)
    target = ping.to
    other = next(peer for peer in members.peers if peer != target)
    ack = Message(
        MessageKind.ACK,
        target if from_target else other,
        1,
        ping.message.serial + serial_offset,
        target if about_target else other,
    )
    for _ in range(2):  # the second is a duplicate
        assert detector.on_message(1, ack) == []
    for period in (1, 2):
        detector.tick(period * PROTOCOL_PERIOD_NS)
    assert members.peers[target].status is status


def test_only_the_first_ack_of_the_target_is_relayed() -> None:
    """A node pings a member on behalf of another one. It must not relay acks of other members, a
    second ack, or one that arrives after RELAY_TTL_NS.
    """
    members = Membership(0, 4, 1, 1)
    detector = FailureDetector(members)
    request = Message(MessageKind.PING_REQUEST, 1, 1, 77, 2)
    (ping,) = detector.on_message(0, request)
    assert (ping.to, ping.message.kind) == (2, MessageKind.PING)

    def ack(origin: int, serial: int) -> list[Outgoing]:
        return detector.on_message(1, Message(MessageKind.ACK, origin, 1, serial, origin))

    assert ack(3, ping.message.serial) == []
    (relayed,) = ack(2, ping.message.serial)
    assert relayed.to == 1
    assert (relayed.message.kind, relayed.message.serial) == (MessageKind.ACK, 77)
    assert relayed.message.subject == 2
    assert ack(2, ping.message.serial) == []
    (ping,) = detector.on_message(2, request)
    detector.tick(RELAY_TTL_NS + 2)
    assert ack(2, ping.message.serial) == []

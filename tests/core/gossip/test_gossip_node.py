"""One gossip node: what it accepts, which members it trusts, and recovery from a pause."""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND, State
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.membership import DUPLICATE_NODE_DISTRUST_NS
from loadbalancer.core.gossip.messages import (
    DrainRecord,
    MemberRecord,
    MemberStatus,
    Message,
    MessageKind,
    Record,
    is_valid,
)
from loadbalancer.core.gossip.own_observations import publishable_results
from loadbalancer.core.gossip.settings import GossipSettings
from loadbalancer.core.gossip.slot_leases import LEASE_TTL_NS, SAFETY_MARGIN_NS
from tests.core.gossip.builders import DRAINING, observation


def test_an_invalid_record_is_skipped_and_the_others_of_its_message_are_merged() -> None:
    """A peer sends records with values out of range, which would break ages and the ranking."""
    good = observation(9, 1, failures=1)
    bad: list[Record] = [
        good._replace(failures=99), good._replace(origin=8), good._replace(age=-1),
        good._replace(ratio_16ths=1 << 40), good._replace(sequence_number=-1),
        MemberRecord(8, 1, 0), MemberRecord(2, 1 << 60, 2), MemberRecord(2, 1, 9),
        DrainRecord(9, 7, -1, DRAINING, 0), DrainRecord(9, 7, 1, State.READY, 0),
    ]  # fmt: skip
    assert not any(is_valid(record, 8) for record in bad)
    node = GossipNode(GossipSettings(8, 0), 1, 1, 0)
    node.receive(1, Message(MessageKind.GOSSIP, 1, 1, records=(*bad, good)))
    assert node.counters["unsound"] == len(bad)
    assert node.records.servers() == [9]


def test_two_processes_with_one_node_number_are_detected_and_not_trusted() -> None:
    """Two processes run with the same node number, and each sends in its own incarnation.

    Both publish observations and request leases, and both would use the slots leased to one.
    """
    node = GossipNode(GossipSettings(4, 0), 1, 1, 0)
    node.on_local_list(0, 1, [(9, 7, State.READY)], True)
    for i in range(4):
        node.receive(
            i, Message(MessageKind.GOSSIP, 1, 20, records=(observation(9, 1, 10 + i, failures=3),))
        )
        node.receive(i, Message(MessageKind.GOSSIP, 1, 10, records=()))
    assert 1 not in node.members.trusted(10)
    node.lease_exchange.grantable = 8
    node.leases.start_grace_period(0)
    node.leases.expire(LEASE_TTL_NS + SAFETY_MARGIN_NS)
    assert node.receive(11, Message(MessageKind.LEASE_REQUEST, 1, 20, 5))[0].message.subject == 0
    assert node.receive(11, Message(MessageKind.LEASE_REQUEST, 2, 20, 5))[0].message.subject == 255
    too_long = Message(
        MessageKind.LEASE_REQUEST, 2, 20, 1 << 40
    )  # a reply can't repeat this serial
    assert node.receive(11, too_long) == []
    assert not node.verdict_changes(10)
    assert 1 in node.members.trusted(10 + DUPLICATE_NODE_DISTRUST_NS)
    assert node.counters["old"] == 4


def test_a_node_that_was_paused_catches_up_before_it_sends_records() -> None:
    """A process is stopped for a minute and continues.

    Without recovery it would send outdated records about servers, and suspect all other members.
    """
    node = GossipNode(GossipSettings(4, 0), 1, 1, 0)
    node.on_local_list(0, 1, [(9, 7, State.READY)], True)
    node.receive(1, Message(MessageKind.DONE, 1, 1))
    node.anti_entropy._catch_up_peers = [1]
    node.receive(1, Message(MessageKind.DONE, 1, 1))
    assert node.caught_up
    node.observe(2, 9, publishable_results(3, True, 0, 1.0), 2)
    node.members.merge(3, 2, MemberRecord(3, 0, MemberStatus.SUSPECT))
    assert node.recover_if_paused(60 * SECOND)
    assert not node.recover_if_paused(60 * SECOND)
    out = node.tick(60 * SECOND)
    assert not node.caught_up
    assert node.counters["stalls"] == 1
    assert MessageKind.DIGEST in {o.message.kind for o in out}
    assert not node.members.receives_no_messages(
        60 * SECOND
    )  # the time of the pause does not count
    assert not any(o.message.records for o in out)  # none of its outdated records
    assert node.members.is_alive(3)  # the suspicion did not expire during the pause


def test_only_a_done_from_a_requested_peer_ends_a_catch_up() -> None:
    """A node catches up, is paused, and catches up again. If a DONE of the first catch-up, or one
    from another node, ended the second, the node would send outdated records.
    """
    node = GossipNode(GossipSettings(8, 0), 1, 1, 0)
    first = {o.to for o in node.tick(0) if o.message.kind == MessageKind.DIGEST}
    assert first
    node.receive(1, Message(MessageKind.DONE, next(n for n in range(1, 8) if n not in first), 1))
    assert not node.caught_up
    assert node.recover_if_paused(60 * SECOND)
    for peer in first:
        node.receive(60 * SECOND, Message(MessageKind.DONE, peer, 1))
    assert not node.caught_up
    requested = {o.to for o in node.tick(60 * SECOND) if o.message.kind == MessageKind.DIGEST}
    node.receive(60 * SECOND, Message(MessageKind.DONE, requested.pop(), 1))
    assert node.caught_up


def test_a_nodes_own_observation_from_a_peer_is_ignored() -> None:
    """A peer sends an observation that an earlier process of this node has written. Only its writer
    can retract it, and that process has ended.
    """
    node = GossipNode(GossipSettings(4, 0), 1, 9, 0)
    record = observation(9, 0, failures=3)
    node.receive(1, Message(MessageKind.GOSSIP, 1, 1, records=(record,)))
    assert node.records.servers() == []
    node.receive(1, Message(MessageKind.GOSSIP, 1, 1, records=(record._replace(origin=2),)))
    assert node.records.servers() == [9]


def test_leases_of_a_dead_grantor_are_not_used() -> None:
    """Other nodes replace the slots of a dead node, so its leases must end before they expire."""
    node = GossipNode(GossipSettings(4, 0), 1, 1, 0)
    for grantor, serial in node.leases.requests(0, [1, 2], wants_more=True):
        node.leases.on_grant(0, grantor, serial, 7)
    assert {grantor for grantor, _ in node.lease_exchange.usable(1)} == {1, 2}
    node.members.merge(1, 2, MemberRecord(1, 0, MemberStatus.DEAD))
    assert node.lease_exchange.usable(1) == [(2, 7)]
    assert {grantor for grantor, _ in node.leases.usable(1)} == {1, 2}

"""The endpoint list of a node, and drains that other nodes have read from theirs."""

from __future__ import annotations

from loadbalancer.core.balancing.model import State
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import DrainRecord, Message, MessageKind
from loadbalancer.core.gossip.settings import GossipSettings
from tests.core.gossip.builders import DRAINING


def test_a_drain_remains_until_a_newer_list_ends_it() -> None:
    """Another node has read a later list, which drains a server that is ready in this node's list.

    If an older version ended the drain, requests would go to a server that is about to stop.
    """
    node = GossipNode(GossipSettings(3, 0), 1, 1, 0)
    node.on_local_list(0, 4, [(9, 7, State.READY)], True)
    node.receive(1, Message(MessageKind.GOSSIP, 1, 5, records=(DrainRecord(9, 7, 6, DRAINING, 0),)))
    assert node.effective_state(9, 7, State.READY) == DRAINING
    node.receive(2, Message(MessageKind.GOSSIP, 2, 5, records=(DrainRecord(9, 7, 5, DRAINING, 0),)))
    node.on_local_list(3, 5, [(9, 7, State.READY)], True)  # older than the version with the drain
    assert node.effective_state(9, 7, State.READY) == DRAINING
    assert (
        node.effective_state(9, 8, State.READY) == State.READY
    )  # it has restarted since the drain
    node.on_local_list(4, 7, [(9, 7, State.READY)], True)
    assert node.effective_state(9, 7, State.READY) == State.READY
    # When the list service restarts its version numbers, drains of higher versions end.
    node.receive(
        5, Message(MessageKind.GOSSIP, 1, 5, records=(DrainRecord(9, 7, 90, DRAINING, 0),))
    )
    assert node.effective_state(9, 7, State.READY) == DRAINING
    node.on_local_list(6, 2, [(9, 7, State.READY)], True)
    assert node.effective_state(9, 7, State.READY) == State.READY


def test_the_drain_of_a_removed_server_has_the_start_time_listed_before() -> None:
    """The row of a removed server has no start time, so other nodes could not match the drain."""
    one, other = (
        GossipNode(GossipSettings(3, 0), 1, 1, 0),
        GossipNode(GossipSettings(3, 1), 2, 1, 0),
    )
    for node in (one, other):
        node.on_local_list(0, 4, [(9, 7, State.READY)], True)
    one.anti_entropy.caught_up = True
    one.on_local_list(1, 5, [(9, 0, State.GONE)], False)
    messages = [o.message for o in one.tick(2) if o.to == 1 and o.message.records]
    assert messages
    other.receive(3, messages[0])
    assert other.effective_state(9, 7, State.READY) == State.DRAINING

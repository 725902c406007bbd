"""This node's own list of servers, and drains of other nodes' lists."""

from __future__ import annotations

from loadbalancer.core.balancing.model import State
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import DrainRecord, Message, MessageKind
from loadbalancer.core.gossip.settings import GossipSettings
from tests.core.gossip.builders import DRAINING


def test_a_drain_holds_until_a_newer_list_ends_it() -> None:
    """Another node has read a later list, which drains a server that ours still has as ready.

    Were the drain dropped with each older version, requests would go to a server that ends.
    """
    node = GossipNode(GossipSettings(3, 0), 1, 1, 0)
    node.on_local_list(0, 4, [(9, 7, State.READY)], True)
    node.receive(1, Message(MessageKind.GOSSIP, 1, 5, records=(DrainRecord(9, 7, 6, DRAINING, 0),)))
    assert node.effective_state(9, 7, State.READY) == DRAINING
    node.receive(2, Message(MessageKind.GOSSIP, 2, 5, records=(DrainRecord(9, 7, 5, DRAINING, 0),)))
    node.on_local_list(3, 5, [(9, 7, State.READY)], True)  # ours lags behind theirs
    assert node.effective_state(9, 7, State.READY) == DRAINING
    assert node.effective_state(9, 8, State.READY) == State.READY  # it has restarted since
    node.on_local_list(4, 7, [(9, 7, State.READY)], True)
    assert node.effective_state(9, 7, State.READY) == State.READY
    # A list service that restarts its version numbers ends drains of higher versions.
    node.receive(
        5, Message(MessageKind.GOSSIP, 1, 5, records=(DrainRecord(9, 7, 90, DRAINING, 0),))
    )
    assert node.effective_state(9, 7, State.READY) == DRAINING
    node.on_local_list(6, 2, [(9, 7, State.READY)], True)
    assert node.effective_state(9, 7, State.READY) == State.READY


def test_a_removed_server_is_published_under_the_start_that_all_know() -> None:
    """The row of a removed server has no start any more: the others would not know it by it."""
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

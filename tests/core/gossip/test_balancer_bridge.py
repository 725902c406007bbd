"""The connection between a Balancer and gossip: leases, drains and verdicts."""

from __future__ import annotations

from loadbalancer.core.balancing.balancer import Balancer
from loadbalancer.core.balancing.model import (
    SECOND,
    Listing,
    ReportedState,
    Settings,
    State,
    Update,
)
from loadbalancer.core.balancing.outlier_detection import eject
from loadbalancer.core.gossip.balancer_bridge import BalancerBridge, BalancerUpdate
from loadbalancer.core.gossip.gossip_node import GossipNode
from loadbalancer.core.gossip.messages import DrainRecord, Message, MessageKind
from loadbalancer.core.gossip.settings import GossipSettings
from tests.core.gossip.builders import CLASS, DRAINING, IdleHost


def test_leases_end_on_close_and_an_isolated_node_has_the_slots_without_gossip() -> None:
    balancer = Balancer(Settings((CLASS,), nodes=4), 1, IdleHost())  # type: ignore[arg-type]
    balancer.start(0)
    node = GossipNode(GossipSettings(4, 0), 1, 1, 0)
    bridge = BalancerBridge(node, balancer)
    balancer.state.concurrency_limit = 20.0
    balancer.on_members(0, Update.FULL, [Listing(b, State.READY) for b in range(16)])

    def caps(update: BalancerUpdate | None) -> int:
        assert update is not None
        bridge.apply(balancer.now, update)
        return sum(b.cap for b in balancer.endpoints.values())

    own = caps(bridge.collect(1))
    ((grantor, serial),) = node.leases.requests(1, [2], True)
    node.leases.on_grant(1, grantor, serial, 255)
    assert caps(bridge.collect(2)) == own + 16 * 2  # two slots of the grantor are in the upper half
    assert caps(bridge.close(3)) == own
    assert bridge.close(3) is None
    without = caps(bridge.collect(4 * SECOND))
    assert without == 16 * 5 > own  # a limit of 20 divided among four nodes


def test_gossip_drains_no_more_than_a_third_of_the_servers() -> None:
    """A peer publishes drains of all servers, which are ready in the list of this node.

    If all were applied, this node would have no server left. A third of them may be drained.
    """
    node = GossipNode(GossipSettings(4, 0), 1, 1, 0)
    balancer = Balancer(Settings((CLASS,), nodes=4), 1, IdleHost())  # type: ignore[arg-type]
    balancer.start(0)
    balancer.on_members(0, Update.FULL, [Listing(b, State.READY) for b in range(9)])
    bridge = BalancerBridge(node, balancer)
    node.on_local_list(0, 1, [(b, 7, State.READY) for b in range(9)], True)
    for b in range(9):
        message = Message(MessageKind.GOSSIP, 1, 1, records=(DrainRecord(b, 7, 5, DRAINING, 0),))
        node.receive(1 + b, message)
    update = bridge.collect(20)
    assert update is not None
    assert len(update.draining) == 3
    bridge.apply(20, update)
    assert sum(b.state == State.READY for b in balancer.endpoints.values()) == 6
    # The list of this node is still older than the drains, so it changes none of them.
    complete = [(b, 7, State.READY) for b in reversed(range(9))]
    node.on_local_list(25, 2, complete, True)
    drained = {
        server
        for server, boot, state in complete
        if node.effective_state(server, boot, state) != state
    }
    assert drained == {row.backend for row in update.draining}
    # When the list itself drains one of the three, gossip may drain another one.
    first = update.draining[0].backend
    node.on_local_list(30, 3, [(first, 7, DRAINING)], False)
    later = bridge.collect(30)
    assert later is not None
    assert len(later.draining) == 1
    assert len(node.local_list.drained_by_gossip) == 3


def test_verdicts_only_reduce_caps_and_do_not_override_own_results() -> None:
    balancer = Balancer(Settings((CLASS,), max_attempts=1), 1, IdleHost())  # type: ignore[arg-type]
    balancer.start(0)
    balancer.on_members(0, Update.FULL, [Listing(b, State.READY) for b in range(4)])
    caps = {b.id: b.cap for b in balancer.endpoints.values()}
    balancer.on_peer_report(1, 0, ReportedState.SLOW, 4.0, False)
    balancer.update_caps()
    assert balancer.endpoints[0].cap < caps[0]
    assert balancer.endpoints[0].latency_ratio == 1.0
    balancer.on_peer_report(2, 0, None, 1.0, False)
    balancer.update_caps()
    assert balancer.endpoints[0].cap == caps[0]
    balancer.on_peer_report(3, 1, ReportedState.SILENT, 1.0, True)
    assert balancer.endpoints[1].ejected_until
    assert balancer.endpoints[1].cold_until
    balancer.on_peer_report(4, 1, None, 1.0, False)
    assert not balancer.endpoints[1].ejected_until
    assert balancer.endpoints[1].probing
    # A retracted verdict does not end an ejection that is due to this node's own results.
    balancer.endpoints[2].consecutive_failures = 4
    eject(balancer.state, 5, balancer.endpoints[2], True, False)
    balancer.on_peer_report(50, 2, None, 1.0, False)
    assert balancer.endpoints[2].ejected_until

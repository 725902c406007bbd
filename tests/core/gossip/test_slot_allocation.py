"""Which slots of a server a node uses, with dead and alive members."""

from __future__ import annotations

from itertools import product

import pytest

from loadbalancer.core.gossip.membership import ISOLATED_AFTER_NS
from loadbalancer.core.gossip.slot_allocation import SlotAllocation
from loadbalancer.core.gossip.slot_leases import LEASE_TTL_NS, SAFETY_MARGIN_NS


@pytest.mark.parametrize(("nodes", "server_slots"), [(2, 3), (4, 5), (5, 15), (6, 4)])
def test_nodes_with_different_views_of_liveness_stay_within_a_servers_slots(
    nodes: int, server_slots: int
) -> None:
    """Each node has any view of which other nodes are dead; the views may all differ.

    Without a limit on the slots that replace those of dead nodes, nodes with different views would
    together send more requests to a server than it has slots.
    """
    exceeds_limit = False
    for rank, limit in product(range(nodes), range(1, 12)):
        total = 0
        for zone_index in range(nodes):
            first_slot = (zone_index - rank) % nodes
            caps = []
            for view in product((False, True), repeat=nodes):
                slots = SlotAllocation(zone_index, nodes, server_slots, view.__getitem__)
                slots.refresh()
                depth = slots.depth(first_slot, limit, 100)
                exceeds_limit = exceeds_limit or depth > limit
                caps.append(max(-(-(depth - first_slot) // nodes), 0))
            total += max(caps)
        assert total <= max(server_slots, limit)  # a higher limit applies without gossip as well
    assert exceeds_limit  # slots of dead nodes were replaced


def test_further_slots_replace_those_of_dead_nodes() -> None:
    for rank in range(10):
        owned = 0
        for zone_index in (2, 5, 7):
            slots = SlotAllocation(zone_index, 10, 15, lambda p: p in (2, 5, 7))
            slots.refresh()
            first_slot = (zone_index - rank) % 10
            depth = slots.depth(first_slot, 4, 24)
            owned += max(-(-(depth - first_slot) // 10), 0)
        assert owned == 4  # as many as the limit allows
    few = SlotAllocation(2, 10, 15, lambda p: p in (2, 5, 7))
    few.refresh()
    assert (
        few.depth(0, 40, 24) == 40
    )  # twelve slots of alive nodes: the same depth as without gossip
    assert few.depth(0, 64, 24) == 46  # up to the fifteenth slot of an alive node
    all_alive = SlotAllocation(0, 10, 15, lambda _p: True)
    all_alive.refresh()
    assert all_alive.depth(0, 4, 24) == 4
    assert all_alive.depth(0, 60, 24) == 15  # a limit above the server's slots
    assert all_alive.depth(0, 60, 1) == 30  # one server: MIN_SLOTS_PER_NODE for each of ten nodes
    assert all_alive.cap(7, 0, 60, 24) == 2
    # All leases have expired by the time a node counts as isolated.
    assert ISOLATED_AFTER_NS > LEASE_TTL_NS + SAFETY_MARGIN_NS
    all_alive.isolated = True  # at least the slots without gossip
    assert all_alive.cap(7, 0, 60, 24) == 6
    assert all_alive.cap(7, 0, 4, 24) == 1

"""Placement of nodes at control machines, and the nodes that move when machines die."""

from __future__ import annotations

from collections import Counter

from loadbalancer.core.assignment.model import MachineSpec
from loadbalancer.core.subscription.placement import LOAD_BOUND, Placement

MACHINES = [
    MachineSpec(f"{region}-{i}", region, f"{region}-z{i % 2}")
    for region in ("east", "west")
    for i in range(3)
]
NODES = {f"n{i}": "east" if i % 2 else "west" for i in range(240)}


def test_only_the_nodes_of_a_dead_machine_move_and_loads_stay_balanced() -> None:
    """One machine dies, then a second one."""
    placement = Placement(NODES, MACHINES)
    names = [spec.name for spec in MACHINES]
    before = {node: placement.machine_for(node, names) for node in NODES}
    for count in (1, 2):
        living = names[count:]
        after = {node: placement.machine_for(node, living) for node in NODES}
        moved = {node for node in NODES if before[node] != after[node]}
        assert moved == {node for node in NODES if before[node] not in living}
        loads = Counter(after.values())
        assert max(loads.values()) <= LOAD_BOUND * len(NODES) / len(living) + 1
        assert set(loads) == set(living)
    regions = {spec.name: spec.region for spec in MACHINES}
    in_own_region = sum(regions[str(before[node])] == NODES[node] for node in NODES)
    assert in_own_region > 0.9 * len(NODES)
    # If no machine of its region is alive, a node is placed in the other region.
    assert placement.machine_for("n1", ["west-0"]) == "west-0"
    assert placement.machine_for("n1", []) is None
    assert placement.machine_for("x", names) is None

"""Handover: no holder is released before others serve, and former holders are released at last."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.assignment import Assignment
from loadbalancer.core.assignment.handover import MAX_RETAINED, Handover
from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec, ServiceSpec
from loadbalancer.core.assignment.rules import AssignmentRules

ZONES = ("z1", "z2")
NODES = [NodeSpec(f"{zone}-{n}", "r", zone, 64) for zone in ZONES for n in range(4)]
NAMES = [node.name for node in NODES]
ZONE_OF = {node.name: node.zone for node in NODES}
SERVICES = [ServiceSpec(f"s{n}", "r", ZONES[: 1 + n % 2], 10.0, 5) for n in range(5)]
ASSIGNER = Assigner(NODES, SERVICES, AssignmentRules())


def assignment_of(holders: dict[str, tuple[str, ...]]) -> Assignment:
    services_by_node = {
        node: tuple(service for service, nodes in holders.items() if node in nodes)
        for node in NAMES
    }
    return Assignment(holders, services_by_node, (), "")


def moving(old: tuple[str, ...], new: tuple[str, ...]) -> Handover:
    """Return a handover of service s from `old` to `new`; all old holders serve."""
    handover = Handover(NODES)
    handover.on_assignment(assignment_of({"s": old}))
    for node in old:
        assert handover.on_serving(node, "s")
    handover.on_assignment(assignment_of({"s": new}))
    return handover


def test_an_old_holder_is_released_only_once_the_new_one_serves() -> None:
    handover = moving(("z1-0", "z1-1"), ("z1-1", "z1-2"))
    assert handover.required("z1-0") == {"s"}
    assert handover.assigned("z1-0") == frozenset()
    assert handover.required("z1-2") == {"s"}
    assert handover.releasable("z1-0") == frozenset()
    assert handover.pending_moves() == 1
    assert handover.on_serving("z1-2", "s")
    assert handover.required("z1-0") == frozenset()
    assert handover.releasable("z1-0") == {"s"}
    assert handover.pending_moves() == 0
    handover.on_released("z1-0", "s")
    assert handover.releasable("z1-0") == frozenset()


def test_one_old_holder_is_released_for_each_new_one() -> None:
    handover = moving(("z1-0", "z1-1"), ("z1-2", "z1-3"))
    assert handover.on_serving("z1-3", "s")
    assert [handover.releasable(node) for node in NAMES[:2]] == [{"s"}, frozenset()]
    assert handover.on_serving("z1-3", "s")  # duplicate
    assert handover.releasable("z1-1") == frozenset()
    assert handover.on_serving("z1-2", "s")
    assert handover.releasable("z1-1") == {"s"}


def test_holders_of_other_zones_do_not_count_if_the_zone_has_its_own() -> None:
    handover = moving(("z1-0", "z2-0"), ("z1-1", "z2-1"))
    assert handover.on_serving("z2-1", "s")
    assert handover.releasable("z2-0") == {"s"}
    assert handover.releasable("z1-0") == frozenset()


def test_holders_of_a_zone_without_new_ones_are_released_when_those_of_others_serve() -> None:
    handover = moving(("z2-0", "z2-1"), ("z1-0", "z1-1"))
    assert handover.on_serving("z1-0", "s")
    assert [len(handover.releasable(node)) for node in ("z2-0", "z2-1")] == [1, 0]
    assert handover.on_serving("z1-1", "s")
    assert [len(handover.releasable(node)) for node in ("z2-0", "z2-1")] == [1, 1]


def test_the_last_serving_holder_is_retained_through_any_number_of_assignments() -> None:
    """New holders die or never serve, one after another. The serving one must be retained."""
    handover = moving(("z1-0",), ("z1-1",))
    for new in ("z1-2", "z1-3", "z1-1", "z2-0"):
        handover.on_assignment(assignment_of({"s": (new,)}))
        assert handover.required("z1-0") == {"s"}
        assert handover.releasable("z1-0") == frozenset()
    handover.on_assignment(assignment_of({"s": ()}))
    assert handover.required("z1-0") == {"s"}


def test_a_deleted_service_is_released_at_once() -> None:
    handover = moving(("z1-0",), ("z1-0", "z1-1"))
    handover.on_assignment(assignment_of({"other": ("z1-1",)}))
    assert handover.releasable("z1-0") == {"s"}


def test_the_loss_of_a_new_holder_retains_the_old_one_again() -> None:
    """The new holder dies after the old one was permitted to release the service.

    The old one may have done so already. Only a later report shows whether it still serves.
    """
    handover = moving(("z1-0",), ("z1-1",))
    assert handover.on_serving("z1-1", "s")
    assert handover.releasable("z1-0") == {"s"}
    generation_before = handover.generation
    handover.on_dead("z1-1")
    assert handover.releasable("z1-0") == frozenset()
    # A report from before does not count: the node may have released the service since.
    assert not handover.on_serving("z1-0", "s", generation_before)
    assert handover.required("z1-0") == frozenset()
    assert handover.on_serving("z1-0", "s", handover.generation)
    assert handover.required("z1-0") == {"s"}


def test_a_service_that_is_assigned_again_counts_only_by_a_later_report() -> None:
    """A service moves away from a node and back while an old report of the node is in transit.

    If that counted, the other holder would be released although the node may have dropped the
    service.
    """
    handover = moving(("z1-0",), ("z1-1",))
    assert handover.on_serving("z1-1", "s")
    generation_before = handover.generation
    handover.on_assignment(assignment_of({"s": ("z1-0",)}))
    assert handover.releasable("z1-0") == frozenset()
    assert not handover.on_serving("z1-0", "s", generation_before)
    assert handover.releasable("z1-1") == frozenset()
    assert handover.on_serving("z1-0", "s", handover.generation)
    assert handover.releasable("z1-1") == {"s"}


def test_a_late_report_of_a_node_that_has_released_does_not_count() -> None:
    """A report arrives after a later one which says that the node has released the service."""
    handover = moving(("z1-0",), ("z1-1",))
    assert handover.on_serving("z1-1", "s")
    generation_before = handover.generation
    handover.on_report("z1-0", (), generation_before)
    assert not handover.on_serving("z1-0", "s", generation_before)
    handover.on_assignment(assignment_of({"s": ("z1-2",)}))
    handover.on_report("z1-0", ("s",), generation_before)
    assert handover.required("z1-1") == {"s"}
    assert handover.releasable("z1-1") == frozenset()


def test_a_dead_nodes_earlier_report_does_not_count() -> None:
    """A node dies, and its last report arrives after that. No other holder may be released."""
    handover = moving(("z1-0",), ("z1-0", "z1-1"))
    generation_before = handover.generation
    handover.on_dead("z1-0")
    handover.on_report("z1-0", ("s",), generation_before)
    handover.on_assignment(assignment_of({"s": ("z1-2",)}))
    assert not handover.on_serving("z1-0", "s", generation_before)
    assert handover.required("z1-0") == frozenset()


def test_a_nodes_report_from_before_its_death_does_not_revoke_later_ones() -> None:
    """A node dies before it serves, returns, and serves.

    Then a report from before its death arrives, that it serves nothing. The old holder, which was
    released meanwhile, must not be retained again.
    """
    handover = moving(("z1-1",), ("z1-0",))
    generation_before = handover.generation
    handover.on_dead("z1-0")
    handover.on_report("z1-0", ("s",), handover.generation)
    assert handover.releasable("z1-1") == {"s"}
    handover.on_report("z1-0", (), generation_before)
    assert handover.releasable("z1-1") == {"s"}
    handover.on_report("z1-0", (), handover.generation)
    assert handover.releasable("z1-1") == frozenset()


def test_a_node_that_may_release_does_not_count_as_serving_by_a_late_report() -> None:
    """A node was permitted to release a service; its report from before that arrives."""
    handover = moving(("z1-0",), ("z1-1",))
    assert handover.on_serving("z1-1", "s")
    generation = handover.generation
    assert not handover.on_serving("z1-0", "s", generation)
    assert handover.releasable("z1-0") == {"s"}
    assert handover.required("z1-0") == frozenset()
    assert handover.generation == generation


def test_a_restarted_machine_releases_no_holder_before_it_knows_which_nodes_serve() -> None:
    """A control machine restarts without state, and receives an old holder's report first."""
    handover = Handover(NODES)
    assert handover.on_serving("z1-0", "s", 0)  # before any assignment
    assert handover.releasable("z1-0") == frozenset()
    assert handover.required("z1-0") == {"s"}
    handover.on_assignment(assignment_of({"s": ("z1-1", "z1-2")}))
    assert handover.releasable("z1-0") == frozenset()
    handover.on_report("z1-1", ("s",), 0)
    assert handover.releasable("z1-0") == frozenset()
    handover.on_report("z1-2", ("s",), 0)
    assert handover.releasable("z1-0") == {"s"}


def test_an_assigned_node_that_has_not_reported_may_be_the_only_holder() -> None:
    handover = Handover(NODES)
    handover.on_assignment(assignment_of({"s": ("z1-0",)}))
    handover.on_assignment(assignment_of({"s": ("z1-1",)}))
    assert handover.releasable("z1-0") == frozenset()


def test_substitutes_serve_until_a_returned_rack_does() -> None:
    """Two nodes die and return without data. Their substitutes must serve until they do."""
    complete = ASSIGNER.assign(NAMES)
    rack = {"z1-0", "z1-1"}
    without = ASSIGNER.assign(set(NAMES) - rack)
    handover = Handover(NODES)
    handover.on_assignment(complete)
    for node, services in complete.services_by_node.items():
        handover.on_report(node, services)
    for node in rack:
        handover.on_dead(node)
    handover.on_assignment(without)
    for node, services in without.services_by_node.items():
        handover.on_report(node, services)
    handover.on_assignment(complete)
    substitutes = {
        (node, service)
        for node, services in without.services_by_node.items()
        for service in set(services) - set(complete.services_by_node[node])
    }
    assert substitutes
    assert all(service in handover.required(node) for node, service in substitutes)
    for node in rack:
        handover.on_report(node, complete.services_by_node[node], handover.generation)
    assert all(service in handover.releasable(node) for node, service in substitutes)
    assert handover.pending_moves() == 0


def test_the_services_that_a_node_reports_are_limited() -> None:
    """A faulty node reports 10,000 services that it was never assigned."""
    handover = Handover(NODES)
    handover.on_assignment(ASSIGNER.assign(NAMES))
    handover.on_report("z1-0", [f"nonsense-{n}" for n in range(10_000)])
    assert len(handover.releasable("z1-0")) == MAX_RETAINED
    assert len(handover.required("z1-0")) <= MAX_RETAINED + len(SERVICES)


def test_an_unknown_node_is_refused() -> None:
    handover = Handover(NODES)
    with pytest.raises(
        InvalidInputError, match="handover: unknown node 'x', must be a registered node"
    ):
        handover.on_serving("x", "s")
    with pytest.raises(InvalidInputError, match="unknown node 'x'"):
        handover.on_assignment(Assignment({"s": ("x",)}, {"x": ("s",)}, (), ""))
    assert handover.generation == 0

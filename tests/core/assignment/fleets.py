"""Fleets, and helper functions on assignments, that the tests of assignment share."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from functools import cache

from benchmarks.assignment import make_nodes, make_services
from loadbalancer.core.assignment.assigner import Assigner
from loadbalancer.core.assignment.assignment import Assignment
from loadbalancer.core.assignment.model import NodeSpec, ServiceSpec
from loadbalancer.core.assignment.rules import AssignmentRules

RULES = AssignmentRules()


def names(nodes: Collection[NodeSpec]) -> frozenset[str]:
    return frozenset(node.name for node in nodes)


def assign(
    nodes: Sequence[NodeSpec],
    alive: Collection[str],
    services: Sequence[ServiceSpec],
    rules: AssignmentRules,
) -> Assignment:
    """Compute one assignment; for several sets of living nodes, sharing an `Assigner` is faster."""
    return Assigner(nodes, services, rules).assign(alive)


def moved(before: Assignment, after: Assignment) -> set[str]:
    """Return the services whose holders differ."""
    return {name for name in before.holders if before.holders[name] != after.holders.get(name)}


def moved_pairs(before: Assignment, after: Assignment) -> int:
    """Count the pairs of node and service that are only in the earlier assignment."""
    return sum(
        len(set(before.holders[name]) - set(after.holders.get(name, ()))) for name in before.holders
    )


def assert_consistent(assignment: Assignment) -> None:
    by_node = {
        (node, service)
        for node, services in assignment.services_by_node.items()
        for service in services
    }
    by_service = {
        (node, service) for service, nodes in assignment.holders.items() for node in nodes
    }
    assert by_node == by_service
    assert sum(map(len, assignment.holders.values())) == len(by_service)


FULL_NODES = make_nodes(1950)
FULL_SERVICES = make_services(4500, 850_000)


@cache
def full() -> Assigner:
    return Assigner(FULL_NODES, FULL_SERVICES, RULES)


@cache
def full_assignment() -> Assignment:
    return full().assign(names(FULL_NODES))


SMALL_NODES = make_nodes(12)
SMALL_SERVICES = make_services(40, 1000)  # one node of a zone has capacity for all of them


@cache
def small() -> Assigner:
    return Assigner(SMALL_NODES, SMALL_SERVICES, RULES)

"""The checkers of the control world on records of logs and nodes, each with one breach in it."""

from __future__ import annotations

import pytest

from loadbalancer.core.assignment.model import Change, Delta, Position, Row
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.updates import UpdateStatus
from simulation.control_invariants.node_checker import DRAIN_GRACE, NodeIncarnation
from simulation.control_world.environment import Environment
from simulation.control_world.settings import EAST, REGIONS, WorldSize

SERVICE = "east-s0"
FIRST = Position(1, 1)
SECOND_POSITION = Position(1, 2)
ACTIVE = Row("b1", "{}", False)
DRAINING = Row("b1", "{}", True)
NODE = NodeIncarnation("node-east-1-0", 1)


@pytest.fixture
def environment() -> Environment:
    """A world's environment in which a first complete change of one service was accepted."""
    environment = Environment(1, WorldSize(), None)
    accept(environment, Change(FIRST, SERVICE, (ACTIVE,), complete=True))
    assert environment.breaches == []
    return environment


def accept(environment: Environment, change: Change) -> None:
    """Let a source propose what a change leads to, and a machine accept it."""
    rows = {row.uid: row for row in change.rows}
    environment.log_checker.on_proposed(EAST, change.position, change.service, rows)
    environment.log_checker.on_committed("machine", EAST, change)


def holder_with(row: Row) -> Holder:
    """A node's holder after one update with this row."""
    holder = Holder(NODE.name, REGIONS, HolderLimits())
    holder.on_assignment(0, {SERVICE: EAST}, frozenset())
    subscription = holder.make_subscription(EAST)
    change = Change(FIRST, SERVICE, (row,), complete=True)
    delta = Delta(EAST, subscription.position, FIRST, (change,))
    assert holder.on_update(0, delta, subscription).status is UpdateStatus.APPLIED
    return holder


def test_two_different_changes_at_one_position_are_a_breach(environment: Environment) -> None:
    other = Change(FIRST, SERVICE, (DRAINING,), complete=True)
    environment.log_checker.on_committed("machine", EAST, other)
    assert "is not what was accepted there" in environment.breaches[0]


def test_a_change_that_follows_nothing_accepted_is_a_breach(environment: Environment) -> None:
    accept(environment, Change(Position(1, 9), SERVICE, (DRAINING,)))
    assert "follows nothing that was accepted" in environment.breaches[0]


def test_a_change_that_nobody_proposed_or_loaded_is_a_breach(environment: Environment) -> None:
    unknown = Change(SECOND_POSITION, SERVICE, (DRAINING,), complete=True)
    environment.log_checker.on_committed("machine", EAST, unknown)
    assert "was neither proposed nor loaded" in environment.breaches[0]


def test_a_loaded_service_needs_no_proposal(environment: Environment) -> None:
    environment.log_checker.on_load(EAST, {SERVICE: {DRAINING.uid: DRAINING}})
    loaded = Change(SECOND_POSITION, SERVICE, (DRAINING,), complete=True)
    environment.log_checker.on_committed("machine", EAST, loaded)
    assert environment.breaches == []


def test_a_change_of_another_service_than_proposed_is_a_breach(environment: Environment) -> None:
    environment.log_checker.on_proposed(EAST, SECOND_POSITION, "east-s1", {})
    environment.log_checker.on_committed("machine", EAST, Change(SECOND_POSITION, SERVICE))
    assert "was proposed for east-s1" in environment.breaches[0]


def test_a_node_with_other_rows_than_accepted_is_a_breach(environment: Environment) -> None:
    environment.node_checker.check(NODE, holder_with(ACTIVE))
    assert environment.breaches == []
    environment.node_checker.check(NODE, holder_with(DRAINING))
    assert "is not as accepted" in environment.breaches[0]


def test_a_node_whose_position_goes_back_is_a_breach(environment: Environment) -> None:
    environment.node_checker.check(NODE, holder_with(ACTIVE))
    environment.node_checker.check(NODE, Holder(NODE.name, REGIONS, HolderLimits()))
    assert "went back to" in environment.breaches[0]


def test_a_drained_backend_in_use_after_the_grace_is_a_breach(environment: Environment) -> None:
    holder = holder_with(ACTIVE)
    drain = Delta(EAST, FIRST, FIRST, (Change(FIRST, SERVICE, (DRAINING,)),))
    environment.node_checker.on_update(NODE, holder, drain, UpdateStatus.APPLIED)
    environment.loop.run(DRAIN_GRACE - 1)
    environment.node_checker.check_drains()
    assert environment.breaches == []
    environment.loop.run(1)
    environment.node_checker.check_drains()
    assert "uses b1, drained at" in environment.breaches[0]


def test_a_release_that_no_other_node_serves_is_a_breach(environment: Environment) -> None:
    environment.loop.run(60 * SECOND)
    holder = holder_with(ACTIVE)
    environment.release_checker.check(NODE, holder)
    holder.on_assignment(environment.now, {}, frozenset({SERVICE}))
    environment.release_checker.check(NODE, holder)
    assert "which nobody else serves" in environment.breaches[0]

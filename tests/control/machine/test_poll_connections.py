"""Tests of a node's polls on several connections, and of polls whose connection is lost."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import pytest

from loadbalancer.control.machine.messages import NodeReport, NodeReports
from loadbalancer.core.assignment.model import Position
from loadbalancer.core.balancing.model import SECOND
from tests.control.machine.socketless import Connection, SocketlessMachine, run_scenario


def _ends(_: SocketlessMachine, earlier: Connection) -> None:
    earlier.host.cancel(earlier)


def _never_ends(_: SocketlessMachine, earlier: Connection) -> None:
    del earlier


@pytest.mark.parametrize("event", [_ends, _never_ends])
def test_the_late_close_of_an_earlier_connection_does_not_affect_the_newer_poll(
    tmp_path: Path, event: Callable[[SocketlessMachine, Connection], None]
) -> None:
    """A node's link fails and the node polls again on a new connection. The machine notices the
    loss of the earlier connection later or never. If that cancelled the newer poll, the node would
    be notified of no change and count as absent while it polls.
    """

    def scenario(control: SocketlessMachine) -> None:
        earlier, newer = control.pending_connection(), control.pending_connection()
        event(control, earlier)
        assert earlier.aborted, "unused, but counts towards the limit on connections"
        assert not newer.answers
        assert control.machine.node_requests.pending_count() == 1
        control.change("cart")
        ((status, answer),) = newer.answers
        assert status == 200
        assert answer is not None
        assert answer.position == control.log.position
        newest = control.pending_connection()
        event(control, newer)
        assert control.is_present(30)
        newest.host.cancel(newest)
        assert not control.is_present(30)

    run_scenario(tmp_path, scenario)


def test_a_cancelled_poll_is_not_answered_by_a_later_change(tmp_path: Path) -> None:
    """A node's connection is lost while its poll is pending, and the node does not return."""

    def scenario(control: SocketlessMachine) -> None:
        connection = control.pending_connection()
        assert control.machine.publisher._subscribers.is_waiting("n1", "east")
        connection.host.cancel(connection)
        assert not control.machine.publisher._subscribers.is_waiting("n1", "east")
        control.change("cart")
        assert not connection.answers

    run_scenario(tmp_path, scenario)


def test_an_answer_for_one_region_does_not_affect_the_poll_for_another(tmp_path: Path) -> None:
    """A node polls for two regions. One poll is refused or redirected and not repeated here, the
    other one is pending. The node must not count as absent meanwhile.
    """

    def scenario(control: SocketlessMachine) -> None:
        waiting = control.pending_connection()
        refused = control.connect()
        refused.poll(Position(5, 0), region="moon")
        assert [status for status, _ in refused.answers] == [400]
        assert control.is_present(30)
        waiting.host.cancel(waiting)
        assert not control.is_present(30)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "query", [{"serving": "pay", "generation": "x"}, {"serving": "a," * 1025, "generation": "1"}]
)
def test_a_refused_poll_does_not_keep_a_dead_node_present(
    tmp_path: Path, query: dict[str, str]
) -> None:
    """A node's poll is refused because its report is invalid, and then the node dies. If the
    refused poll were recorded as open, the node would count as present for an hour.
    """

    def scenario(control: SocketlessMachine) -> None:
        connection = control.connect()
        connection.poll(control.log.position, **query)
        assert [status for status, _ in connection.answers] == [400]
        assert not control.is_present(30)

    run_scenario(tmp_path, scenario)


def test_a_late_poll_without_a_report_restores_the_last_one(tmp_path: Path) -> None:
    """A node polls again after its deadline, without a report because nothing has changed.
    Machines that connect later must still be sent what it serves.
    """

    def scenario(control: SocketlessMachine) -> None:
        nodes = control.machine.nodes
        connection = control.connect()
        connection.poll(Position(0, 0), serving="cart", generation="0")
        assert connection.answers
        nodes.on_tick(time.monotonic_ns() + 5 * SECOND)
        connection.poll(control.log.position)
        sent: list[object] = []
        nodes.send_full_state(sent.append)
        assert NodeReports((NodeReport("n1", ("cart",)),)) in sent

    run_scenario(tmp_path, scenario)

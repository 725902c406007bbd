"""Polls of one node on several connections, and polls whose connection has ended."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import pytest

from loadbalancer.control.machine.messages import NodeReport, NodeReports
from loadbalancer.core.assignment.model import Position
from loadbalancer.core.balancing.model import SECOND
from tests.control.machine.socketless import Connection, Rig, in_loop


def _ends(_: Rig, earlier: Connection) -> None:
    earlier.host.cancel(earlier)


def _never_ends(_: Rig, earlier: Connection) -> None:
    del earlier


@pytest.mark.parametrize("event", [_ends, _never_ends])
def test_an_earlier_connections_late_end_leaves_the_newer_ones_poll_alone(
    tmp_path: Path, event: Callable[[Rig, Connection], None]
) -> None:
    """A node's link fails; it polls again on a new connection, and the machine learns only later,
    or never, that the earlier one has ended. That end must not count as the newer poll's: the
    node would be told of no change, and count as absent while it polls.
    """

    def play(rig: Rig) -> None:
        earlier, newer = rig.waiting(), rig.waiting()
        event(rig, earlier)
        assert earlier.ended, "nobody reads it, and it counts against the bound on connections"
        assert not newer.answers
        assert rig.machine.node_requests.waiting_count() == 1
        rig.change("cart")
        ((status, answer),) = newer.answers
        assert status == 200
        assert answer is not None
        assert answer.position == rig.log.position
        newest = rig.waiting()
        event(rig, newer)
        assert rig.is_present(30)
        newest.host.cancel(newest)
        assert not rig.is_present(30)

    in_loop(tmp_path, play)


def test_a_poll_that_has_ended_is_woken_by_no_change(tmp_path: Path) -> None:
    """A node's connection ends while its poll waits, and the node does not come back."""

    def play(rig: Rig) -> None:
        connection = rig.waiting()
        assert rig.machine.publisher._subscribers.is_waiting("n1", "east")
        connection.host.cancel(connection)
        assert not rig.machine.publisher._subscribers.is_waiting("n1", "east")
        rig.change("cart")
        assert not connection.answers

    in_loop(tmp_path, play)


def test_an_answer_for_one_region_leaves_the_poll_for_another_alone(tmp_path: Path) -> None:
    """A node polls for two regions. One of its polls is refused or redirected, and does not come
    again here; the other one waits. The node must not count as absent meanwhile.
    """

    def play(rig: Rig) -> None:
        waiting = rig.waiting()
        refused = rig.connect()
        refused.poll(Position(5, 0), region="moon")
        assert [status for status, _ in refused.answers] == [400]
        assert rig.is_present(30)
        waiting.host.cancel(waiting)
        assert not rig.is_present(30)

    in_loop(tmp_path, play)


@pytest.mark.parametrize(
    "query", [{"serving": "pay", "generation": "x"}, {"serving": "a," * 1025, "generation": "1"}]
)
def test_a_refused_poll_leaves_its_node_no_longer_present_than_an_answered_one(
    tmp_path: Path, query: dict[str, str]
) -> None:
    """A node's report can't be read, so that its poll is refused, and then the node dies. It
    counted as waiting for an answer, and so as present, for an hour.
    """

    def play(rig: Rig) -> None:
        connection = rig.connect()
        connection.poll(rig.log.position, **query)
        assert [status for status, _ in connection.answers] == [400]
        assert not rig.is_present(30)

    in_loop(tmp_path, play)


def test_a_late_poll_without_a_report_keeps_the_last_one(tmp_path: Path) -> None:
    """A node polls again after its time, without a report as nothing has changed. Machines that
    connected later were not sent what it serves.
    """

    def play(rig: Rig) -> None:
        nodes = rig.machine.nodes
        connection = rig.connect()
        connection.poll(Position(0, 0), serving="cart", generation="0")
        assert connection.answers
        nodes.on_time(time.monotonic_ns() + 5 * SECOND)
        connection.poll(rig.log.position)
        sent: list[object] = []
        nodes.send_full_state(sent.append)
        assert NodeReports((NodeReport("n1", ("cart",)),)) in sent

    in_loop(tmp_path, play)

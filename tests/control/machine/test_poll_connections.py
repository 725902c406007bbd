"""Polls of one node on several connections, and polls whose connection has ended."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from loadbalancer.control.machine import list_form
from loadbalancer.control.machine.file import read_scale
from loadbalancer.control.machine.machine import ControlMachine
from loadbalancer.control.machine.node_requests import SubscriberConnection
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.balancing.model import SECOND
from tests.control_machines import TIMING, row, write_file

HOLD_S = 60.0


class Connection(SubscriberConnection):
    """A node's connection without a socket: what it was answered, and whether it was ended."""

    def __init__(self, machine: ControlMachine) -> None:
        super().__init__(machine.node_requests)
        self.answers: list[tuple[int, list_form.PollResponse | None]] = []
        self.ended = False

    def reply(self, status: int, body: bytes) -> None:
        answer = list_form.decode(body, 100) if status == 200 else None
        self.answers.append((status, answer))

    def abort(self) -> None:
        self.ended = True
        self.host.cancel(self)

    def poll(self, position: Position, **query: str) -> None:
        """Poll for the node n1 and its region, unless the query says otherwise."""
        fields = {"node": "n1", "region": "east", "redirected": "1", "held": "cart,pay"} | query
        lists = {key: [value] for key, value in fields.items() if value}
        self.host.on_list_request(self, version_of(position), HOLD_S, lists)


class Rig:
    """One machine without sockets, with a log of two services."""

    def __init__(self, folder: Path) -> None:
        file = read_scale(str(write_file(folder)))
        self.machine = ControlMachine(file, file.machine("east-a"), TIMING)
        self.log = self.machine.logs["east"]
        self.change("cart")
        self.change("pay")

    def change(self, service: str) -> None:
        """A change is committed."""
        position = Position(1, self.log.position.revision + 1)
        change = Change(position, service, (row(f"u{position.revision}"),))
        self.log.append(change)
        woken = self.machine.publisher.on_change("east", change)
        self.machine.node_requests.wake("east", woken)

    def connect(self) -> Connection:
        return Connection(self.machine)

    def waiting(self) -> Connection:
        """A connection whose poll waits, and whose node knows its assignment."""
        connection = self.connect()
        connection.poll(self.log.position)
        if connection.answers:  # with the assignment
            connection.answers.clear()
            connection.poll(self.log.position)
        assert not connection.answers
        return connection

    def is_present(self, seconds: int) -> bool:
        """Whether the node polls here, after so many seconds without another event."""
        self.machine.nodes.on_time(time.monotonic_ns() + seconds * SECOND)
        return self.machine.nodes.presence.local_count() == 1


def in_loop(folder: Path, play: Callable[[Rig], None]) -> None:
    """Play in a running loop, which timers need."""

    async def run() -> None:
        play(Rig(folder))

    asyncio.run(run())


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

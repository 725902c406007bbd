"""A control machine and nodes' connections to it without sockets, for tests."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from loadbalancer.control.machine import list_format
from loadbalancer.control.machine.file import read_scale_file
from loadbalancer.control.machine.machine import ControlMachine
from loadbalancer.control.machine.node_requests import SubscriberConnection
from loadbalancer.control.machine.version import version_of
from loadbalancer.core.assignment.model import Change, Position
from loadbalancer.core.balancing.model import SECOND
from tests.control_machines import TIMING, row, write_file

HOLD_S = 60.0


class Connection(SubscriberConnection):
    """A node's connection without a socket; records the responses and whether it was aborted."""

    def __init__(self, machine: ControlMachine) -> None:
        super().__init__(machine.node_requests)
        self.answers: list[tuple[int, list_format.PollResponse | None]] = []
        self.aborted = False

    def reply(self, status: int, body: bytes) -> None:
        answer = list_format.decode(body, 100) if status == 200 else None
        self.answers.append((status, answer))

    def abort(self) -> None:
        self.aborted = True
        self.host.cancel(self)

    def poll(self, position: Position, **query: str) -> None:
        """Poll as node n1 for its region, with the given changes to the query."""
        fields = {"node": "n1", "region": "east", "redirected": "1", "held": "cart,pay"} | query
        lists = {key: [value] for key, value in fields.items() if value}
        self.host.on_list_request(self, version_of(position), HOLD_S, lists)


class SocketlessMachine:
    """One control machine without sockets, with two services in its log."""

    def __init__(self, folder: Path) -> None:
        file = read_scale_file(str(write_file(folder)))
        self.machine = ControlMachine(file, file.machine("east-a"), TIMING)
        self.log = self.machine.logs["east"]
        self.change("cart")
        self.change("pay")

    def change(self, service: str) -> None:
        """Commit a change of a service, and wake the nodes that hold it."""
        position = Position(1, self.log.position.revision + 1)
        change = Change(position, service, (row(f"u{position.revision}"),))
        self.log.append(change)
        woken = self.machine.publisher.on_change("east", change)
        self.machine.node_requests.wake("east", woken)

    def connect(self) -> Connection:
        return Connection(self.machine)

    def pending_connection(self) -> Connection:
        """Return a connection with a pending poll, whose node knows its assignment."""
        connection = self.connect()
        connection.poll(self.log.position)
        if connection.answers:  # the first response carries the assignment
            connection.answers.clear()
            connection.poll(self.log.position)
        assert not connection.answers
        return connection

    def is_present(self, seconds: int) -> bool:
        """Return whether exactly one node is present after `seconds` seconds without an event."""
        self.machine.nodes.on_tick(time.monotonic_ns() + seconds * SECOND)
        return self.machine.nodes.presence.local_count() == 1


def run_scenario(folder: Path, scenario: Callable[[SocketlessMachine], None]) -> None:
    """Run a scenario in an event loop, which timers need."""

    async def run() -> None:
        scenario(SocketlessMachine(folder))

    asyncio.run(run())

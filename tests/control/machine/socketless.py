"""One control machine without sockets, and nodes' connections to it."""

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
    """A node's connection without a socket: what it was answered, and whether it was ended."""

    def __init__(self, machine: ControlMachine) -> None:
        super().__init__(machine.node_requests)
        self.answers: list[tuple[int, list_format.PollResponse | None]] = []
        self.ended = False

    def reply(self, status: int, body: bytes) -> None:
        answer = list_format.decode(body, 100) if status == 200 else None
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
        file = read_scale_file(str(write_file(folder)))
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

"""Control machines of one region in a thread of the test's process, on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import logging
import random
import socket
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from pathlib import Path
from typing import Any, TypeVar

from benchmarks.scale.fleet import call
from loadbalancer.config.address import Address
from loadbalancer.control.machine import list_format
from loadbalancer.control.machine.file import ScaleFile, read_scale_file
from loadbalancer.control.machine.machine import ControlMachine
from loadbalancer.core.assignment.model import Row
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.replicated_log.replication import Timing
from tests.harness import LIMIT, until

T = TypeVar("T")
# As in service, but so short that a test need not wait for it.
TIMING = Timing(
    heartbeat_interval_ns=20 * MS,
    election_timeout_ns=150 * MS,
    fetch_timeout_ns=200 * MS,
    fetch_hold_ns=50 * MS,
    reload_wait_ns=100 * MS,
    unreachable_wait_ns=200 * MS,
)
NAMES = ("east-a", "east-b", "east-c")
START_ATTEMPTS = 5
MIN_PORT, MAX_PORT = 12_000, 32_000  # the kernel's range for connections begins at 32,768


def free_ports(count: int) -> list[int]:
    """So many ports that are free by now, below those that outgoing connections get.

    A port of the kernel's own range may go to another process's connection while a machine that
    listened on it is down: the machine could not start again.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(MIN_PORT, MAX_PORT)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in ports:
                ports.append(port)
    return ports


def write_file(folder: Path, top: str = "") -> Path:
    """Three machines, two nodes, two services; the first machine serves `cart` alone too.

    `top` are further lines of the file's head.
    """
    ports = iter(free_ports(10))
    text = f'version = 1\n{top}[regions]\neast = ["east-1"]\n'
    for name in NAMES:
        text += f'[[machine]]\nname = "{name}"\nregion = "east"\nzone = "east-1"\n'
        for key in ("subscribers", "peers", "admin"):
            text += f'{key} = "127.0.0.1:{next(ports)}"\n'
    for name in ("n1", "n2"):
        text += f'[[node]]\nname = "{name}"\nregion = "east"\nzone = "east-1"\ncapacity = 8\n'
    for name in ("cart", "pay"):
        text += f'[[service]]\nname = "{name}"\nregion = "east"\nrate = 1.0\nbackends = 2\n'
    text += f'[[bound]]\nmachine = "east-a"\nservice = "cart"\nlisten = "127.0.0.1:{next(ports)}"\n'
    path = folder / "scale.toml"
    path.write_text(text)
    return path


def row(uid: str, state: str = "active") -> Row:
    """A backend as the log has it."""
    return list_format.row_from_target({"uid": uid, "state": state, "endpoint": "127.0.0.1:9"})


def rows(*uids: str, state: str = "active") -> list[dict[str, Any]]:
    """Backends as an operator submits them."""
    return [{"uid": uid, "endpoint": "127.0.0.1:9", "az": "east-1", "state": state} for uid in uids]


class LogLines(logging.Handler):
    """Collects the lines that control machines log, until it is closed."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.lines: list[str] = []
        self._logger = logging.getLogger("loadbalancer.control.machine")
        self._logger.setLevel(logging.INFO)
        self._logger.addHandler(self)

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())

    def close(self) -> None:
        self._logger.removeHandler(self)
        self._logger.setLevel(logging.NOTSET)
        super().close()


class Machines:
    """The machines of a file, each able to be ended by itself."""

    def __init__(self, file: ScaleFile) -> None:
        self.file = file
        self.loop = asyncio.new_event_loop()
        self.machines: dict[str, ControlMachine] = {}
        self.log = LogLines()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def do(self, work: Callable[[], T]) -> T:
        """Carry out something in the machines' loop."""
        found: Future[T] = Future()

        def run() -> None:
            try:
                found.set_result(work())
            except Exception as err:  # noqa: BLE001  # the caller gets it, whatever it is
                found.set_exception(err)

        self.loop.call_soon_threadsafe(run)
        return found.result(LIMIT)

    def start(self, name: str) -> None:
        """Begin it, with nothing in memory."""

        async def begin() -> ControlMachine:
            machine = ControlMachine(self.file, self.file.machine(name), TIMING)
            try:
                await machine.open()
            except OSError:
                machine.close()
                raise
            return machine

        self.machines[name] = asyncio.run_coroutine_threadsafe(begin(), self.loop).result(LIMIT)

    def end(self, name: str) -> None:
        """As if its process were killed: its connections and listeners are gone."""
        machine = self.machines.pop(name)

        def kill() -> None:
            machine.close()
            for watcher in [*machine.node_requests._pending]:
                watcher.abort()

        self.do(kill)

    def close(self) -> None:
        for name in [*self.machines]:
            self.end(name)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(LIMIT)
        self.log.close()

    def address(self, name: str, key: str = "admin") -> Address:
        found = getattr(self.file.machine(name), key)
        assert isinstance(found, Address)
        return found

    def status(self, name: str) -> dict[str, Any]:
        return self.do(self.machines[name].status)

    def leader(self) -> str:
        """Who leads, once somebody does and all have its log."""
        leaders: list[str] = []

        def led() -> bool:
            rows = [self.status(name) for name in self.machines]
            leaders[:] = [row["machine"] for row in rows if row["role"] == "leader"]
            versions = {row["logs"]["east"]["version"] for row in rows}
            # All but the leader follow, too: one that only catches up counts for no majority.
            roles = sorted(row["role"] for row in rows)
            return (
                len(versions) == 1
                and versions != {0}
                and roles.count("follower") >= 1
                and (len(leaders) == 1 and "empty" not in roles)
            )

        until(led)
        return leaders[0]

    def change(self, *changes: dict[str, Any]) -> list[dict[str, Any]]:
        """Submit changes at the leader; returns its answer."""
        body = json.dumps(list(changes)).encode()
        status, answer = call(self.address(self.leader()), "POST", "/changes", body)
        assert status == 200, answer
        found: list[dict[str, Any]] = json.loads(answer)
        return found

    def poll(self, name: str, query: str) -> tuple[int, str]:
        """A subscriber's poll of one machine."""
        address = self.address(name, "subscribers")
        status, body = call(address, "GET", f"/registry/instances?{query}")
        return status, body.decode()


def started(folder: Path, top: str = "") -> Machines:
    """Three machines at ports that were free; `top` as in `write_file`.

    Between the choice of a free port and its use, another process may have taken it: then all
    begin again at other ports.
    """
    for _ in range(START_ATTEMPTS):
        machines = Machines(read_scale_file(str(write_file(folder, top))))
        try:
            for name in NAMES:
                machines.start(name)
        except OSError as err:
            machines.close()
            if err.errno != errno.EADDRINUSE:
                raise
        else:
            return machines
    raise OSError(errno.EADDRINUSE, f"no free ports in {START_ATTEMPTS} attempts")


@contextlib.contextmanager
def three(folder: Path) -> Iterator[Machines]:
    """Three machines, a leader among them."""
    machines = started(folder)
    try:
        machines.leader()
        yield machines
    finally:
        machines.close()

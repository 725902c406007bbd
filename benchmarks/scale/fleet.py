"""Processes of the scale run: control machines and hosts of hollow nodes, and calls to them."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.scale.budget import Budget
from benchmarks.scale.host_status import HostStatus
from loadbalancer.config.address import Address
from loadbalancer.control.machine.file import Machine, ScaleFile

CALL_TIMEOUT_S = 10.0
CLOSE_TIMEOUT_S = 10.0  # for a host to write its steps out
POLL_INTERVAL_S = 0.25
MAX_LINE_BYTES = 64 << 20  # of a host's report


def call(address: Address, method: str, path: str, body: bytes | None = None) -> tuple[int, bytes]:
    """Make one HTTP call and return status and body; OSError if it fails."""
    connection = HTTPConnection(address.host, address.port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    except HTTPException as err:
        raise OSError(f"{address}: {type(err).__name__}") from None
    finally:
        connection.close()


@dataclass(slots=True)
class Control:
    """One control machine's process."""

    machine: Machine
    file: Path
    log: Path
    budget: Budget
    child: subprocess.Popen[bytes] | None = None  # None before it is started
    stopped: bool = False  # by SIGSTOP

    @property
    def name(self) -> str:
        """The machine's name in the file."""
        return self.machine.spec.name

    def start(self) -> None:
        """Start the process; also after it was killed."""
        command = [sys.executable, "-m", "loadbalancer", "scale", str(self.file)]
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen([*command, "--machine", self.name], stderr=log)
        self.budget.pids.add(self.child.pid)

    def alive(self) -> bool:
        """Whether the process runs and is not stopped."""
        return self.child is not None and self.child.poll() is None and not self.stopped

    def signal(self, number: signal.Signals) -> None:
        """Send a signal; with SIGKILL, wait until the process has ended."""
        assert self.child is not None
        self.child.send_signal(number)
        self.stopped = number == signal.SIGSTOP
        if number == signal.SIGKILL:
            self.child.wait()

    def status(self) -> dict[str, Any]:
        """Return its `/status`; OSError if it does not answer."""
        status, body = call(self.machine.admin, "GET", "/status")
        if status != HTTPStatus.OK:
            raise OSError(f"{self.name}: status {status}")
        answer: dict[str, Any] = json.loads(body)
        return answer

    def close(self) -> None:
        """Kill the process if it runs."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class HostNode(NamedTuple):
    """One hollow node, in the form that a host receives."""

    name: str
    region: str
    zone: str
    number: int


@dataclass(slots=True)
class Host:
    """One process of hollow nodes."""

    name: str
    nodes: list[HostNode]
    steps: Path  # file to which the process writes its nodes' steps
    process: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    empty: HostStatus | None = None  # before any node was started
    last: HostStatus | None = None  # after the last order
    idle: float = 0.0  # part of a core that it takes without nodes

    async def start(self, plan: dict[str, Any], budget: Budget) -> None:
        """Start the process; none of its nodes runs yet."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.scale.hollow",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        budget.pids.add(self.process.pid)
        self.empty = await self._send(plan | {"nodes": self.nodes, "steps": str(self.steps)})

    async def order(self, order: str, nodes: Sequence[str] = ()) -> HostStatus:
        """Give an order, for these nodes where it needs some, and return the report after it.

        Orders wait for each other.
        """
        message: dict[str, Any] = {"order": order}
        if nodes:
            message["nodes"] = nodes
        async with self.lock:
            status = await self._send(message)
            self.last = status
        return status

    async def _send(self, message: dict[str, Any]) -> HostStatus:
        assert self.process is not None
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(json.dumps(message).encode() + b"\n")
        await self.process.stdin.drain()
        line = await self.process.stdout.readline()
        if not line:
            raise OSError(f"host {self.name} has ended with {await self.process.wait()}")
        return HostStatus(**json.loads(line))

    async def close(self) -> None:
        """Let the process write its steps out and end; kill it if it takes too long."""
        if self.process is None or self.process.returncode is not None:
            return
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), CLOSE_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def controls_of(file: ScaleFile, path: Path, folder: Path, budget: Budget) -> dict[str, Control]:
    """Return the file's machines by name, not started."""
    return {
        machine.spec.name: Control(machine, path, folder / f"{machine.spec.name}.log", budget)
        for machine in file.machines
    }


async def until(what: str, seconds: float, condition: Callable[[], Awaitable[bool]]) -> float:
    """Poll until a condition holds and return the seconds it took; TimeoutError names `what`."""
    began = time.monotonic()
    while not await condition():
        if time.monotonic() - began > seconds:
            raise TimeoutError(f"{what}: not within {seconds:g} s")
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - began

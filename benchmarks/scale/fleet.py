"""The run's processes: six control machines and the hollow nodes' hosts, and calls to them."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

from benchmarks.scale.budget import Budget
from loadbalancer.config.address import Address
from loadbalancer.control.machine.file import Machine, ScaleFile

CALL_S = 10.0


def call(address: Address, method: str, path: str, body: bytes | None = None) -> tuple[int, bytes]:
    """One call; OSError where it can't be made."""
    connection = HTTPConnection(address.host, address.port, timeout=CALL_S)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
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
    popen: subprocess.Popen[bytes] | None = None
    stopped: bool = False

    @property
    def name(self) -> str:
        return self.machine.spec.name

    def start(self) -> None:
        words = [sys.executable, "-m", "loadbalancer", "scale", str(self.file)]
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen([*words, "--machine", self.name], stderr=log)
        self.budget.pids.add(self.popen.pid)

    def alive(self) -> bool:
        return self.popen is not None and self.popen.poll() is None and not self.stopped

    def signal(self, number: signal.Signals) -> None:
        """Send it; SIGKILL waits for the end."""
        assert self.popen is not None
        self.popen.send_signal(number)
        self.stopped = number == signal.SIGSTOP
        if number == signal.SIGKILL:
            self.popen.wait()

    def status(self) -> dict[str, Any]:
        """Its /status; OSError where it can't be asked."""
        status, body = call(self.machine.admin, "GET", "/status")
        if status != 200:
            raise OSError(f"{self.name}: status {status}")
        found: dict[str, Any] = json.loads(body)
        return found

    def close(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()


@dataclass(slots=True)
class Host:
    """One process of hollow nodes."""

    name: str
    nodes: list[tuple[str, str, str, int]]  # names, regions, zones and numbers
    steps: Path
    process: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    empty: dict[str, Any] = field(default_factory=dict)  # its status before any node
    last: dict[str, Any] = field(default_factory=dict)
    idle: float = 0.0  # of a core, with no nodes

    async def start(self, plan: dict[str, Any], budget: Budget) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.scale.hollow",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            limit=64 << 20,
        )
        budget.pids.add(self.process.pid)
        self.empty = await self._say(plan | {"nodes": self.nodes, "steps": str(self.steps)})

    async def order(self, order: str, **more: Any) -> dict[str, Any]:
        """Give an order; its status afterwards."""
        async with self.lock:
            self.last = await self._say({"order": order} | more)
        return self.last

    async def _say(self, order: dict[str, Any]) -> dict[str, Any]:
        assert self.process is not None and self.process.stdin and self.process.stdout
        self.process.stdin.write(json.dumps(order).encode() + b"\n")
        await self.process.stdin.drain()
        line = await self.process.stdout.readline()
        if not line:
            raise OSError(f"host {self.name} has ended with {await self.process.wait()}")
        found: dict[str, Any] = json.loads(line)
        return found

    async def close(self) -> None:
        """Let it write its steps out, and end."""
        if self.process is None or self.process.returncode is not None:
            return
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 10.0)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def controls_of(file: ScaleFile, path: Path, folder: Path, budget: Budget) -> dict[str, Control]:
    """The file's machines, not started."""
    return {
        machine.spec.name: Control(machine, path, folder / f"{machine.spec.name}.log", budget)
        for machine in file.machines
    }


async def until(what: str, seconds: float, done: Any) -> float:
    """Wait for a condition, asked again and again; seconds taken. TimeoutError names it."""
    began = time.monotonic()
    while not await done():
        if time.monotonic() - began > seconds:
            raise TimeoutError(f"{what}: not within {seconds:g} s")
        await asyncio.sleep(0.25)
    return time.monotonic() - began

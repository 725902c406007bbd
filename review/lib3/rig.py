"""What the cases 9 and 10 share: processes, stand-ins, HTTP calls, the record.

Loopback addresses only, the real clock, a temporary folder. Every process is ended by its id.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent.parent
PYTHON = str(ROOT / ".venv/bin/python")
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# The kernel takes the ports of outgoing connections above these.
MIN_PORT, MAX_PORT = 12_000, 32_000
SECOND = 1_000_000_000  # nanoseconds, the unit of times in settings


class CannotRunError(Exception):
    """The case could not be played: neither broken nor held."""


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run_command() -> str:
    """The deploy file's command of a node."""
    with (ROOT / "deploy/balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


def free_ports(count: int) -> list[int]:
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(MIN_PORT, MAX_PORT)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in ports:
                ports.append(port)
    return ports


class Record:
    """The case's record.txt: one line an event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self.line(f"trouble: {'yes' if has_trouble() else 'no'}")

    def line(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


class Case:
    """One play of a case: its processes, its temporary folder and its record."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.processes: list[subprocess.Popen[bytes]] = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    def start(
        self, name: str, command: str, environment: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a command as `/bin/sh -c` from the root; its log is kept in the folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ("/bin/sh", "-c", command),
                cwd=ROOT,
                env=os.environ | (environment or {}),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        self.record.line(f"started {name}")
        return process

    def log_of(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        self._temporary.cleanup()


def call(
    address: str, method: str, path: str, body: object = None, timeout_s: float = 7.0
) -> tuple[int, bytes]:
    """One HTTP call; status 0 where there was no whole answer."""
    host, port = address.split(":")
    connection = HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_for(what: str, condition: Callable[[], Any], timeout_s: float) -> Any:
    """Poll until the condition is true; CannotRunError after the time."""
    end = time.monotonic() + timeout_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > end:
            raise CannotRunError(f"not within {timeout_s:g} s: {what}")
        time.sleep(0.05)


def target(uid: str, endpoint: str, zone: str, state: str = "active", **more: Any) -> Any:
    row = {"uid": uid, "endpoint": endpoint, "az": zone, "model": "m2", "pod_group": 1,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0}  # fmt: skip
    return row | more


@contextlib.contextmanager
def played(folder: Path) -> Iterator[Case]:
    case = Case(folder)
    try:
        yield case
    finally:
        case.close()


def main(folder: Path, play: Callable[[Case], bool]) -> None:
    """Play a case and exit: `play` returns whether the rule held."""
    # SIGTERM, as from `timeout`, ends the processes of the case too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    with played(folder) as case:
        try:
            held = play(case)
        except CannotRunError as err:
            case.record.line(f"could not run: {err}")
            for log in sorted(case.folder.glob("*.log")):
                for line in log.read_text(errors="replace").splitlines()[-15:]:
                    case.record.line(f"log of {log.stem}: {line}")
            print(f"could not run: {err}")
            sys.exit(CANNOT_RUN)
        case.record.line("the rule held" if held else "THE RULE WAS BROKEN")
        print("held" if held else "broken")
        sys.exit(HELD if held else BROKEN)


class Loop:
    """An event loop in a thread of its own: the stand-in servers of a case run there."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(10.0)


class Received(NamedTuple):
    """One request that a server received whole."""

    at: float  # monotonic seconds
    request_id: str
    method: str
    path: str


class TopupServer:
    """A sound topup server: answers after `work_s`, and notes each request's last byte.

    Subclasses change how a request is answered.
    """

    def __init__(self, name: str, work_s: float, record: Record | None = None) -> None:
        self.name = name
        self.work_s = work_s
        self.record = record
        self.received: list[Received] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request_line, *lines = head.split("\r\n")
                fields = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines if line)
                }
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                method, path, _ = request_line.split(" ")
                request = Received(time.monotonic(), fields.get("x-request-id", ""), method, path)
                self.received.append(request)
                if self.record is not None:
                    self.record.line(f"{self.name} received {method} {path} {request.request_id}")
                answer = await self.answer(request, fields, body)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, request: Received, fields: dict[str, str], body: bytes) -> bytes | None:
        """The answer's bytes; None: the connection is reset."""
        del fields, body
        await asyncio.sleep(self.work_s)
        return http_answer(200, f"{self.name} served {request.request_id}\n")


def http_answer(status: int, text: str = "", **fields: str) -> bytes:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} -\r\nContent-Length: {len(text)}\r\n{lines}\r\n{text}".encode()


# Settings like those of a small deployment: two classes, as the operators' brief has them.
SETTINGS: dict[str, Any] = {
    "areas": ["east-1"], "balancers": 1, "me": 0, "my_zone": 0, "skus": ["m2"],
    "registry_mode": "ask", "tick": 5_000_000,
    "classes": [
        {"name": "balance", "target": 800_000_000, "deadline": 2 * SECOND, "effect": "pure",
         "credit": 1.0},
        {"name": "credit", "target": 750_000_000, "deadline": 3 * SECOND,
         "effect": "side_effect", "credit": 5.0},
    ],
    "limits": {"max_attempts": 4, "dial_timeout": 250_000_000, "idle_close": 60 * SECOND,
               "max_retry_after": 2 * SECOND, "retry_after": True, "cancelling": True,
               "second_copies": True, "probes": False},
    "load_info": {"how": "off", "columns": []},
    "rules": {"ask_within": 10 * SECOND, "drain_grace": 2 * SECOND, "cold": 8 * SECOND,
              "cold_from": 0.31, "fall": 1_500_000_000, "fall_multiple": 3.0,
              "grace_to_answer": 0},
}  # fmt: skip


class Node:
    """One node, started with the deploy file's `run`."""

    def __init__(
        self,
        case: Case,
        name: str,
        discovery: str,
        settings: Any = None,
        address: str = "",
        **more: Any,
    ) -> None:
        self.address = address or f"127.0.0.1:{free_ports(1)[0]}"
        self._case = case
        self._name = name
        config = {
            "name": name, "listen": self.address, "discovery": discovery,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": True, "targets": []}, "settings": settings or SETTINGS,
        } | more  # fmt: skip
        path = case.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        folder = case.folder / f"{name}.tmp"
        folder.mkdir(exist_ok=True)
        self._environment = {"PROXY_CONFIG": str(path), "TMPDIR": str(folder)}
        self.process = case.start(name, run_command(), self._environment)

    def is_ready(self) -> bool:
        return call(self.address, "GET", "/health/ready", timeout_s=1.0)[0] == 200


class Clients(threading.Thread):
    """A few clients that each send one request after the other, for as long as they run."""

    def __init__(self, address: str, count: int, pause_s: float, record: Record) -> None:
        super().__init__(daemon=True)
        self.answers: Counter[int] = Counter()
        self._address = address
        self._count = count
        self._pause_s = pause_s
        self._record = record
        self._stopped = threading.Event()
        self._lock = threading.Lock()

    def run(self) -> None:
        threads = [threading.Thread(target=self._send, daemon=True) for _ in range(self._count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def stop(self) -> None:
        self._stopped.set()
        self.join(10.0)

    def _send(self) -> None:
        host, port = self._address.split(":")
        connection = HTTPConnection(host, int(port), timeout=4.0)
        while not self._stopped.is_set():
            number = random.getrandbits(64)
            credit = number % 3 == 0
            method, cls, deadline = ("POST", "credit", 3000) if credit else ("GET", "balance", 2000)
            headers = {"Host": "app.svc", "X-Request-ID": f"{number:016x}",
                       "X-Priority-Class": cls, "X-Timeout-Ms": str(deadline)}  # fmt: skip
            body = b"amount=5" if credit else None
            status = 0
            try:
                connection.request(method, f"/{cls}/{number % 997}", body, headers)
                answer = connection.getresponse()
                answer.read()
                status = answer.status
            except (OSError, HTTPException):
                connection.close()
            with self._lock:
                self.answers[status] += 1
            self._record.line(f"client {method} {number:016x}: {status or 'no answer'}")
            self._stopped.wait(self._pause_s)
        connection.close()


class Fake:
    """One of the project's own stand-ins as a process: `python -m MODULE`."""

    def __init__(self, case: Case, name: str, module: str, *arguments: str) -> None:
        words = ("exec", PYTHON, "-B", "-m", module, "--listen", "127.0.0.1:0", *arguments)
        case.start(name, " ".join(words))

        def listening() -> str:
            lines = [line for line in case.log_of(name).splitlines() if "listening on" in line]
            return lines[0].split()[-1] if lines else ""

        self.address: str = wait_for(f"{name} listens", listening, 10.0)

    def call(self, method: str, path: str, body: object = None) -> None:
        status, _ = call(self.address, method, path, body)
        if status != 200:
            raise CannotRunError(f"{method} {path}: status {status}")

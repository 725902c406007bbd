"""Stand-ins and a node as processes, for the demo and the benchmarks."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from fakes.discovery import target
from fakes.files import write_config

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000_000

SETTINGS: dict[str, Any] = {
    "areas": ["east"], "balancers": 1, "me": 0, "my_zone": 0, "skus": ["m2"],
    "registry_mode": "push", "tick": 5_000_000,
    "classes": [
        {"name": "balance", "target": 800_000_000, "deadline": 2 * SECOND, "effect": "pure",
         "credit": 1.0},
        {"name": "credit", "target": 750_000_000, "deadline": 3 * SECOND, "effect": "side_effect",
         "credit": 5.0},
    ],
    "limits": {"max_attempts": 4, "dial_timeout": 250_000_000, "idle_close": 60 * SECOND,
               "max_retry_after": 2 * SECOND, "retry_after": True, "cancelling": True,
               "second_copies": True, "probes": False},
    "load_info": {"how": "off", "columns": []},
    "rules": {"ask_within": 10 * SECOND, "drain_grace": 2 * SECOND, "cold": 8 * SECOND,
              "cold_from": 0.3, "fall": 1_500_000_000, "fall_multiple": 3.0},
}  # fmt: skip


@dataclass(slots=True)
class Process:
    """One stand-in or node: `address` is where it listens, `log` what it said at its end."""

    popen: subprocess.Popen[str]
    address: str
    log: str = ""
    heard: str = ""  # what of it was read before its end
    reader: threading.Thread | None = None
    admin: str = ""  # a node's second address, where it has one

    def read_on(self) -> None:
        """Read its log from now on, so that a full pipe never holds it up."""

        def read() -> None:
            assert self.popen.stdout is not None
            for line in self.popen.stdout:
                self.heard += line

        self.reader = threading.Thread(target=read, daemon=True)
        self.reader.start()

    def call(self, method: str, path: str, body: object = None) -> Any:
        """A control call to a stand-in; its JSON answer, or None where there is none."""
        connection = HTTPConnection(self.address, timeout=10)
        try:
            connection.request(method, path, None if body is None else json.dumps(body))
            answer = connection.getresponse().read()
        finally:
            connection.close()
        return json.loads(answer) if answer else None

    def ready(self) -> bool:
        """Whether a node says at its front that it takes requests."""
        connection = HTTPConnection(self.address, timeout=10)
        try:
            connection.request("GET", "/health/ready")
            return connection.getresponse().status == 200
        finally:
            connection.close()

    def say(self, line: str) -> str:
        """A line to its standard input; the JSON line it answers with, empty at its end.

        A library's log lines (gRPC's, say) come on the same stream: they are kept as heard.
        """
        assert self.popen.stdin is not None and self.popen.stdout is not None
        self.popen.stdin.write(line + "\n")
        self.popen.stdin.flush()
        answer = self.popen.stdout.readline()
        while answer and not answer.startswith(("{", "[")):
            self.heard += answer
            answer = self.popen.stdout.readline()
        return answer

    def cpu(self) -> float:
        """CPU seconds that all its threads have run so far, to the nanosecond."""
        tasks = Path(f"/proc/{self.popen.pid}/task").glob("*/schedstat")
        return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


@contextlib.contextmanager
def started(words: Sequence[str], environ: dict[str, str] | None = None) -> Iterator[Process]:
    """A process until the end of the block; it has said where it listens by then."""
    popen = subprocess.Popen(
        [sys.executable, "-B", *words],
        cwd=ROOT,
        env=os.environ | (environ or {}),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        assert popen.stdout is not None
        said = admin = ""
        for line in popen.stdout:
            said += line
            if "calls at " in line:
                admin = line.strip().rpartition(" ")[2]
            if "listening on " in line:
                break
        else:
            raise RuntimeError(f"{' '.join(words)}: {said}")
        process = Process(popen, line.strip().rpartition(" ")[2], heard=said, admin=admin)
        yield process
        popen.terminate()
        if process.reader is None:
            process.log = process.heard + popen.communicate(timeout=10)[0]
        else:
            process.reader.join(timeout=10)
            process.log = process.heard
    finally:
        popen.kill()
        popen.wait()
        if popen.stdout is not None:
            popen.stdout.close()


@contextlib.contextmanager
def backends(
    count: int, work_ms: float, queue: int = 16, module: str = "fakes.backend"
) -> Iterator[list[Process]]:
    """So many stand-in servers, seeded by their number."""
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(
                started(
                    ("-m", module, "--work-ms", str(work_ms), "--queue", str(queue),
                     "--seed", str(i))
                )
            )
            for i in range(1, count + 1)
        ]  # fmt: skip


@contextlib.contextmanager
def node(
    servers: Sequence[Process],
    discovery: str = "127.0.0.1:1",
    routes: str = "",
    consul: str = "",
    settings: dict[str, Any] | None = None,
    memory_mb: int = 192,
    sockets: int = 1024,
) -> Iterator[Process]:
    """A node before these servers, with a routes file where one is named."""
    known = [target(f"s-{i}", s.address) for i, s in enumerate(servers, 1)]
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
    listed = {"rev": 1, "all": True, "targets": known}
    with tempfile.TemporaryDirectory() as folder:
        path = write_config(
            Path(folder, "config.json"), SETTINGS | (settings or {}), listed,
            discovery=discovery, limits=limits,
        )  # fmt: skip
        environ = {"PROXY_CONFIG": str(path), "PROXY_ROUTES": routes, "PROXY_CONSUL": consul}
        with started(("-m", "loadbalancer"), environ) as process:
            yield process

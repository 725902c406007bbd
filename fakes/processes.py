"""Child processes of tests, benchmarks and the demo: fakes, nodes and control services."""

from __future__ import annotations

import contextlib
import json
import os
import re
import subprocess
import sys
import threading
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent  # the repository's, where processes are started
CALL_TIMEOUT_S = 10.0
END_TIMEOUT_S = 10.0  # for a process to end after SIGTERM
OK = 200
LISTENING_MARK = "listening on "  # the line that ends a process's start; its address follows
ADMIN_MARK = "calls at "  # the line of a node's second address


class StartError(RuntimeError):
    """A process ended before it listened; the text is its command and its log."""


@dataclass(slots=True)
class Process:
    """One running process that listens, and its log: standard output and error together."""

    child: subprocess.Popen[str]
    address: str  # host:port where it listens
    admin_address: str = ""  # host:port of a node's second listener, empty where it has none
    log_text: str = ""  # as far as it was read; complete once the process was ended
    _log_collector: threading.Thread | None = field(default=None, repr=False)

    def collect_log(self) -> None:
        """Read the log in the background from now on, so that a full pipe never blocks it."""
        self._log_collector = threading.Thread(target=self._read_log, daemon=True)
        self._log_collector.start()

    def _read_log(self) -> None:
        assert self.child.stdout is not None
        for line in self.child.stdout:
            self.log_text += line

    def call(self, method: str, path: str, body: object = None) -> Any:
        """Make one HTTP call; the answer's JSON, or None where it has no body."""
        return _call(self.address, method, path, body)

    def call_admin(self, method: str, path: str) -> Any:
        """The same at a node's second address."""
        return _call(self.admin_address, method, path)

    def is_ready(self) -> bool:
        """Whether a node's readiness check passes."""
        connection = HTTPConnection(self.address, timeout=CALL_TIMEOUT_S)
        try:
            connection.request("GET", "/health/ready")
            return connection.getresponse().status == OK
        finally:
            connection.close()

    def send_line(self, line: str) -> str:
        """Write a line to standard input; the JSON line that answers it, empty at the end.

        Log lines of a library, such as gRPC's, come on the same stream: they go to the log.
        """
        self.write_line(line)
        return self.read_json_line()

    def write_line(self, line: str) -> None:
        """Write a line to standard input, and wait for no answer."""
        assert self.child.stdin is not None
        self.child.stdin.write(line + "\n")
        self.child.stdin.flush()

    def read_json_line(self) -> str:
        """The next line of its output that is JSON, empty at the end; others go to the log."""
        assert self.child.stdout is not None
        answer = self.child.stdout.readline()
        while answer and not answer.startswith(("{", "[")):
            self.log_text += answer
            answer = self.child.stdout.readline()
        return answer

    def cpu_seconds(self) -> float:
        """Processor seconds of all its threads so far, to the nanosecond."""
        statistics = Path(f"/proc/{self.child.pid}/task").glob("*/schedstat")
        return sum(int(path.read_text().split()[0]) for path in statistics) / 1e9

    def resident_mb(self) -> float:
        """Resident memory, in units of 1024 * 1024 bytes; 0 once it has ended."""
        status = Path(f"/proc/{self.child.pid}/status").read_text()
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        return int(found[1]) / 1024 if found is not None else 0.0

    def open_descriptors(self) -> int:
        """How many files and sockets it has open."""
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def end(self) -> None:
        """End it with SIGTERM and read the rest of its log."""
        self.child.terminate()
        if self._log_collector is None:
            self.log_text += self.child.communicate(timeout=END_TIMEOUT_S)[0]
        else:
            self._log_collector.join(timeout=END_TIMEOUT_S)


def _call(address: str, method: str, path: str, body: object = None) -> Any:
    connection = HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse().read()
    finally:
        connection.close()
    return json.loads(answer) if answer else None


@contextlib.contextmanager
def running_process(
    arguments: Sequence[str], environment: Mapping[str, str] | None = None
) -> Iterator[Process]:
    """A Python process until the end of the block; it listens when the block begins.

    Args:
        arguments: of the interpreter, such as ("-m", "fakes.discovery").
        environment: variables besides those of this process.

    Raises:
        StartError: it ended before it listened.
    """
    child = subprocess.Popen(
        [sys.executable, "-B", *arguments],
        cwd=ROOT,
        env=os.environ | (environment or {}),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        process = _wait_until_listening(child, arguments)
        yield process
        process.end()
    finally:
        child.kill()
        child.wait()
        if child.stdout is not None:
            child.stdout.close()


def _wait_until_listening(child: subprocess.Popen[str], arguments: Sequence[str]) -> Process:
    assert child.stdout is not None
    log_text = admin_address = ""
    for line in child.stdout:
        log_text += line
        address = line.strip().rpartition(" ")[2]
        if ADMIN_MARK in line:
            admin_address = address
        if LISTENING_MARK in line:
            return Process(child, address, admin_address, log_text)
    raise StartError(f"{' '.join(arguments)}: {log_text}")


@contextlib.contextmanager
def running_backends(count: int, work_ms: float, queue: int = 16) -> Iterator[list[Process]]:
    """Fake backends until the end of the block, each with its number from 1 on as seed.

    Args:
        count: of backends.
        work_ms: mean time that a backend needs for a request.
        queue: requests in flight that each accepts at most.
    """
    options = ("--work-ms", str(work_ms), "--queue", str(queue))
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(
                running_process(("-m", "fakes.backend", *options, "--seed", str(seed)))
            )
            for seed in range(1, count + 1)
        ]

"""Processes of one version of the program, and what the checks use to observe them."""

from __future__ import annotations

import os
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import NamedTuple

WAIT_TIMEOUT_S = 30.0  # reached only where something hangs
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Checkout:
    """One version: its folder, and the shell command that starts its program."""

    folder: Path
    command: str

    def start(
        self, log: Path, environment: dict[str, str], arguments: str = ""
    ) -> subprocess.Popen[bytes]:
        """Start the program with its log in a file."""
        with log.open("wb") as file:
            return subprocess.Popen(
                ["/bin/sh", "-c", f"{self.command} {arguments}"],
                cwd=self.folder,
                env=os.environ | environment,
                stdout=subprocess.DEVNULL,
                stderr=file,
            )


def read_checkout(folder: str) -> Checkout:
    """Return a built checkout with the command that its deploy file names."""
    path = Path(folder).resolve()
    deploy = tomllib.loads((path / "deploy" / "balancer.toml").read_text())
    return Checkout(path, deploy["run"])


def kill(process: subprocess.Popen[bytes]) -> None:
    """Kill a process, which may have ended already, and wait for its end."""
    process.kill()
    process.wait()


class Response(NamedTuple):
    """An HTTP response; status 0 if there was none."""

    status: int
    body: bytes


def call(port: int, method: str, path: str, body: str = "", **headers: str) -> Response:
    """Make one HTTP call on loopback; `_` in a header's name stands for `-`."""
    connection = HTTPConnection("127.0.0.1", port, timeout=CALL_TIMEOUT_S)
    try:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body or None, named)
        response = connection.getresponse()
        return Response(response.status, response.read())
    except (OSError, HTTPException):
        return Response(0, b"")
    finally:
        connection.close()


def wait_until(condition: Callable[[], bool]) -> bool:
    """Poll a condition; return whether it held before the timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def free_ports(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """Return ports of 127.0.0.1 that are free at the moment."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(type=kind)) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]

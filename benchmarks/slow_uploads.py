"""Prints when a client gets its final answer while a server reads its large request slowly.

    python -m benchmarks.slow_uploads

The client has handed its last byte to its kernel, so the answer is due TIMEOUT_MS later, with half
a second of slack. Most of the request still lies in the client's kernel, where the node can't see
it. Exits with 1 if the answer is later.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path

from tests.harness import SETTINGS, listen, node, request, roster, target

BODY_BYTES = 4_000_000
TIMEOUT_MS = 855
SLACK_S = 0.5
MEMORY_MB = 32
RECEIVE_BUFFER_BYTES = 16 << 10  # of the server
PAUSE_S = 0.02  # of the server after each read, so that it reads some 0.8 MB a second
OBJECTIVE_NS = 750_000_000


def read_slowly(server: socket.socket) -> None:
    """Read what comes on the server's first connection, and never answer."""
    sock, _ = server.accept()
    with contextlib.suppress(OSError):
        while sock.recv(RECEIVE_BUFFER_BYTES):
            time.sleep(PAUSE_S)


def measure(folder: Path) -> float:
    """Return the seconds from the client's last byte to its answer."""
    classes = [spec | {"target": OBJECTIVE_NS, "late_worth": 0.0} for spec in SETTINGS["classes"]]
    with listen() as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        threading.Thread(target=read_slowly, args=(server,), daemon=True).start()
        known = roster(target("s-1", server.getsockname()[1]))
        limits = {"memory_mb": MEMORY_MB}
        with node(folder, known, settings={"classes": classes}, limits=limits) as running:
            client = running.connect()
            client.send(request("/credit/1", bytes(BODY_BYTES), timeout=TIMEOUT_MS))
            written_at = time.monotonic()
            client.more()
            return time.monotonic() - written_at


def main() -> int:
    """Measure once; returns the process's status."""
    with tempfile.TemporaryDirectory() as folder:
        took_s = measure(Path(folder))
    due_s = TIMEOUT_MS / 1000 + SLACK_S
    print(f"answer after {took_s:.2f} s, due after {due_s:.2f} s at the latest")
    return int(took_s > due_s)


if __name__ == "__main__":
    sys.exit(main())

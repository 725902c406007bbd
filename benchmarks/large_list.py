"""Prints the peak memory of a node that reads complete lists of many servers, one after the other.

    python -m benchmarks.large_list --servers 3200 --memory-mb 32

Exits with 1 if the peak is over the limit.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import threading
import time
from pathlib import Path

from tests.harness import Peer, accept, listen, node, roster, target

DURATION_S = 4.0
LISTS = 3  # versions that are told; the next call waits
FIRST_PORT = 10_000  # of the servers in the list, none of which is called


def rows(servers: int, version: int) -> dict[str, object]:
    """A complete list of this many servers."""
    targets = (target(f"s-{number:08x}", FIRST_PORT + number) for number in range(servers))
    return roster(*targets, rev=version)


def peak_mb(process: int) -> float:
    """The peak of a process's resident memory so far."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(servers: int, memory_mb: int, folder: Path) -> float:
    """Run a node for DURATION_S beside a list service; returns its peak in MB."""
    waiting: list[Peer] = []

    def serve() -> None:
        for version in range(2, 2 + LISTS):
            with accept(service).sock as sock:
                sock.recv(1 << 16)
                body = json.dumps(rows(servers, version), indent=2).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        waiting.append(accept(service))

    with listen() as service:
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        limits = {"memory_mb": memory_mb, "sockets": 1024}
        port = service.getsockname()[1]
        with node(folder, rows(servers, 1), port, limits=limits) as running:
            time.sleep(DURATION_S)
            return peak_mb(running.process.pid)


def main() -> int:
    """Measure once; returns the process's status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--servers", type=int, default=3200)
    parser.add_argument("--memory-mb", type=int, default=32)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        peak = measure(args.servers, args.memory_mb, Path(folder))
    print(f"{args.servers} servers, {args.memory_mb} MB: peak {peak:.1f} MB")
    return int(peak > args.memory_mb)


if __name__ == "__main__":
    sys.exit(main())

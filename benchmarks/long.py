"""Long answers: what windows cost in time, and what they save in memory.

    python -m benchmarks.long [--quick]

A node and the bare pass-through, which holds each message whole, side by side
before the same servers. In turn: answers read at full speed, and answers whose
readers wait; the node's peak of memory counts against its own before them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from threading import Thread
from typing import Any

from benchmarks.stats import spread
from fakes.node import SETTINGS, running_node
from fakes.processes import Process, running_process

SIZE = 8 << 20
SERVERS = 4
READERS = 12  # at once, each with an answer that nobody reads yet


class Server:
    """Answers any request with SIZE bytes; a loop and thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        listening = asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.server = self.loop.run_until_complete(listening)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.thread = Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
                for _ in range(SIZE >> 16):
                    writer.write(bytes(1 << 16))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


@contextmanager
def relays() -> Iterator[dict[str, Process]]:
    servers: list[Any] = [Server() for _ in range(SERVERS)]
    slow = {"name": "balance", "target": 1_900_000_000, "deadline": 2_000_000_000, "effect": "pure"}
    settings = {"classes": [slow, *SETTINGS["classes"][1:]]}
    words = ("-m", "benchmarks.passthrough", *(s.address for s in servers))
    with (
        running_node(servers, settings=settings, memory_mb=64) as node,
        running_process(words) as bare,
    ):
        yield {"node": node, "bare": bare}


async def ask(address: str, rid: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 16)
    head = (
        f"GET /balance/1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {rid}\r\n"
        "X-Priority-Class: balance\r\nX-Timeout-Ms: 2000\r\n\r\n"
    )
    writer.write(head.encode())
    return reader, writer


async def read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in head.split(b"\r\n")[0], head
    left = SIZE
    while left:
        data = await reader.read(1 << 16)
        assert data, f"ended {left} bytes short"
        left -= len(data)
    writer.close()


async def full_speed(address: str, count: int) -> float:
    """Megabytes a second, one answer after another."""
    began = time.perf_counter()
    for i in range(count):
        await read(*await ask(address, f"f{i}"))
    return count * SIZE / (time.perf_counter() - began) / 1e6


def resident(process: Process) -> float:
    """Megabytes now."""
    text = Path(f"/proc/{process.child.pid}/status").read_text()
    return int(re.findall(r"VmRSS:\s+(\d+)", text)[0]) / 1024


async def waiting_readers(process: Process) -> tuple[float, float]:
    """Growth in MB while READERS answers wait, and the seconds to read them all after."""
    before = resident(process)
    peers = [await ask(process.address, f"w{i}") for i in range(READERS)]
    peak = before
    for _ in range(100):  # a second, for what can be held to have been fetched
        await asyncio.sleep(0.01)
        peak = max(peak, resident(process))
    began = time.perf_counter()
    await asyncio.gather(*(read(*peer) for peer in peers))
    return peak - before, time.perf_counter() - began


def play(runs: int, count: int) -> dict[str, Any]:
    speed: dict[str, list[float]] = {"node": [], "bare": []}
    grown: dict[str, list[float]] = {"node": [], "bare": []}
    for turn in range(runs):
        with relays() as processes:  # anew: what was once taken is seldom given back
            names = [*processes][:: 1 if turn % 2 else -1]
            for name in names:
                address = processes[name].address
                asyncio.run(full_speed(address, 2))
                speed[name].append(asyncio.run(full_speed(address, count)))
            for name in names:
                grown[name].append(asyncio.run(waiting_readers(processes[name]))[0])
    ratios = [a / b for a, b in zip(speed["node"], speed["bare"], strict=True)]
    return {
        "size_mb": SIZE >> 20,
        "waiting_readers": READERS,
        "mb_a_second": {name: spread(values, 0) for name, values in speed.items()},
        "node_over_bare_speed": spread(ratios),
        "grown_mb": {name: spread(values, 1) for name, values in grown.items()},
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="two short runs")
    quick = parser.parse_args().quick
    print(json.dumps(play(2 if quick else 5, 10 if quick else 30)))


if __name__ == "__main__":
    main()

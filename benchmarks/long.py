"""Long responses: what flow control costs in time, and what it saves in memory.

    python -m benchmarks.long [--quick]

A node and the bare pass-through, which buffers each message completely, side by side before the
same servers. In turn: responses read at full speed, and responses whose readers wait; a process's
growth counts from its memory before them. Prints one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from threading import Thread
from typing import Any, NamedTuple

from benchmarks.stats import spread
from fakes.node import SETTINGS, running_node
from fakes.processes import Process, running_process

RESPONSE_BYTES = 8 << 20
CHUNK_BYTES = 1 << 16
SERVERS = 4
WAITING_READERS = 12  # at once, each with a response that nobody reads yet
WAITING_S = 1.0  # in which processes buffer what they do
MEMORY_INTERVAL_S = 0.01
WARM_UP_RESPONSES = 2
NODE_MEMORY_MB = 64
TIMEOUT_MS = 2000  # of a request
CLASSES = [
    {"name": "balance", "target": 1_900_000_000, "deadline": 2_000_000_000, "effect": "pure"},
    *SETTINGS["classes"][1:],
]


class LargeServer:
    """Answers any request with RESPONSE_BYTES, in a thread with a loop of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        listening = asyncio.start_server(self._serve, "127.0.0.1", 0)
        server = self._loop.run_until_complete(listening)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        Thread(target=self._loop.run_forever, daemon=True).start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % RESPONSE_BYTES)
                for _ in range(RESPONSE_BYTES // CHUNK_BYTES):
                    writer.write(bytes(CHUNK_BYTES))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


@contextmanager
def running_proxies() -> Iterator[dict[str, Process]]:
    """A node ("node") and the pass-through ("bare") before the same servers."""
    servers = [LargeServer() for _ in range(SERVERS)]
    arguments = ("-m", "benchmarks.passthrough", *(server.address for server in servers))
    with (
        running_node(servers, settings={"classes": CLASSES}, memory_mb=NODE_MEMORY_MB) as node,
        running_process(arguments) as bare,
    ):
        yield {"node": node, "bare": bare}


# ---- clients ---------------------------------------------------------------------


class Exchange(NamedTuple):
    """A connection whose request is sent."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_response(self) -> None:
        """Read the response to its end, and close."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head.split(b"\r\n")[0], head
        remaining = RESPONSE_BYTES
        while remaining:
            data = await self.reader.read(CHUNK_BYTES)
            assert data, f"ended {remaining} bytes short"
            remaining -= len(data)
        self.writer.close()


async def send_request(address: str, request_id: str) -> Exchange:
    """Send a request on a connection of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=CHUNK_BYTES)
    head = (
        f"GET /balance/1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: balance\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\n\r\n"
    )
    writer.write(head.encode())
    return Exchange(reader, writer)


# ---- measuring -------------------------------------------------------------------


async def full_speed(address: str, count: int) -> float:
    """Megabytes a second, one response after another."""
    began = time.perf_counter()
    for number in range(count):
        exchange = await send_request(address, f"f{number}")
        await exchange.read_response()
    return count * RESPONSE_BYTES / (time.perf_counter() - began) / 1e6


async def waiting_growth(process: Process) -> float:
    """MB by which a process grows while responses wait for their readers, who then read them."""
    before = process.resident_mb()
    exchanges = [
        await send_request(process.address, f"w{number}") for number in range(WAITING_READERS)
    ]
    peak = before
    for _ in range(round(WAITING_S / MEMORY_INTERVAL_S)):
        await asyncio.sleep(MEMORY_INTERVAL_S)
        peak = max(peak, process.resident_mb())
    await asyncio.gather(*(exchange.read_response() for exchange in exchanges))
    return peak - before


def run(runs: int, count: int) -> dict[str, Any]:
    """So many runs; `count`: responses at full speed in each."""
    speeds: dict[str, list[float]] = {"node": [], "bare": []}
    growths: dict[str, list[float]] = {"node": [], "bare": []}
    for number in range(runs):
        # New processes for each run: memory that was once allocated is seldom returned.
        with running_proxies() as proxies:
            names = ["node", "bare"] if number % 2 else ["bare", "node"]
            for name in names:
                address = proxies[name].address
                asyncio.run(full_speed(address, WARM_UP_RESPONSES))
                speeds[name].append(asyncio.run(full_speed(address, count)))
            for name in names:
                growths[name].append(asyncio.run(waiting_growth(proxies[name])))
    ratios = [node / bare for node, bare in zip(speeds["node"], speeds["bare"], strict=True)]
    return {
        "size_mb": RESPONSE_BYTES >> 20,
        "waiting_readers": WAITING_READERS,
        "mb_a_second": {name: spread(values, 0) for name, values in speeds.items()},
        "node_over_bare_speed": spread(ratios),
        "grown_mb": {name: spread(values, 1) for name, values in growths.items()},
    }


def main() -> None:
    """Run the benchmark and print its result."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="two short runs")
    is_quick = parser.parse_args().quick
    result = run(runs=2, count=10) if is_quick else run(runs=5, count=30)
    print(json.dumps(result))


if __name__ == "__main__":
    main()

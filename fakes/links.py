"""The network between nodes: one process that passes every word on, or does not.

    python -m fakes.links --seed 1 PORT...

The ports are where the nodes listen, by their numbers. It says in one JSON line, behind
"listening on", where each node finds each other one: every directed pair is a socket of its
own, so every link can be cut, slowed or spoilt alone. Told by JSON lines on standard input:
{"loss": part, "delay_ms": n, "jitter_ms": n, "double": part, "broken": part} hold for all
links, {"cut": [[from, to], ...]} replaces what is cut, {"books": true} asks for the words
and bytes that each node was sent so far, by kind of fate. Each line is answered by one.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import socket
import sys
from collections import Counter
from random import Random
from typing import Any

MOST_WAITING = 20_000  # delayed words held: past it they are lost, and counted


class Links:
    """All directed pairs; what becomes of a word is drawn in the order that words come."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self.ports = ports
        self.random = Random(seed)
        self.loss = self.delay = self.jitter = self.double = self.broken = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.books: list[Counter[str]] = [Counter() for _ in ports]
        self.waiting = 0
        self.fronts: dict[tuple[int, int], socket.socket] = {}
        for pair in ((a, b) for a in range(len(ports)) for b in range(len(ports)) if a != b):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(("127.0.0.1", 0))
            self.fronts[pair] = sock

    def addresses(self) -> list[list[str]]:
        """By node: where it finds each of the others, itself where it listens."""

        def one(a: int, b: int) -> str:
            port = self.ports[a] if a == b else self.fronts[a, b].getsockname()[1]
            return f"127.0.0.1:{port}"

        count = range(len(self.ports))
        return [[one(a, b) for b in count] for a in count]

    def open(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        for pair, sock in self.fronts.items():
            loop.add_reader(sock, self.read, pair, sock)

    def read(self, pair: tuple[int, int], sock: socket.socket) -> None:
        with contextlib.suppress(OSError):  # a node that has gone refuses what it is sent
            for _ in range(64):
                data = sock.recv(2048)
                self.pass_on(pair, data)

    def pass_on(self, pair: tuple[int, int], data: bytes) -> None:
        books = self.books[pair[1]]
        if pair in self.cut or self.random.random() < self.loss:
            books["lost"] += 1
            return
        if self.random.random() < self.broken:
            at = self.random.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ 1 << self.random.randrange(8)]) + data[at + 1 :]
            books["broken"] += 1
        for _ in range(2 if self.random.random() < self.double else 1):
            wait = self.delay + self.random.random() * self.jitter
            if not wait:
                self.deliver(pair, data)
            elif self.waiting < MOST_WAITING:
                self.waiting += 1
                self.loop.call_later(wait / 1000, self.deliver_late, pair, data)
            else:
                books["lost"] += 1

    def deliver_late(self, pair: tuple[int, int], data: bytes) -> None:
        self.waiting -= 1
        self.deliver(pair, data)

    def deliver(self, pair: tuple[int, int], data: bytes) -> None:
        """From the address that the receiver knows its sender by."""
        source, target = pair
        books = self.books[target]
        books["words"] += 1
        books["bytes"] += len(data)
        with contextlib.suppress(OSError):
            self.fronts[target, source].sendto(data, ("127.0.0.1", self.ports[target]))

    def obey(self, order: dict[str, Any]) -> object:
        self.loss = float(order.get("loss", self.loss))
        self.delay = float(order.get("delay_ms", self.delay))
        self.jitter = float(order.get("jitter_ms", self.jitter))
        self.double = float(order.get("double", self.double))
        self.broken = float(order.get("broken", self.broken))
        if "cut" in order:
            self.cut = {(int(a), int(b)) for a, b in order["cut"]}
        return [dict(b) for b in self.books] if order.get("books") else {}


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("ports", nargs="+", type=int)
    args = parser.parse_args()
    links = Links(args.ports, args.seed)
    loop = asyncio.get_running_loop()
    links.open(loop)
    print(f"listening on {json.dumps(links.addresses(), separators=(',', ':'))}", flush=True)
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(links.obey(json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())

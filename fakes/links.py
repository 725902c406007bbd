"""The network between nodes: one process that forwards every datagram, or drops it.

    python -m fakes.links --seed 1 PORT...

The ports are where the nodes listen, by their numbers. Its first line says behind "listening
on", as JSON, at which address each node finds each other one: every directed pair has a socket
of its own, so that every link can be cut, slowed or made to corrupt alone.

A command is a JSON object on one line, and so is its answer:

    {"loss": part, "delay_ms": n, "jitter_ms": n, "double": part, "broken": part}   all links
    {"cut": [[from, to], ...]}   these links pass nothing, all others do
    {"report": true}             by node: the datagrams and bytes that it was sent, and how many
                                 datagrams to it were lost or broken
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

MAX_DELAYED = 20_000  # datagrams; beyond that they are lost, and counted so
MAX_DATAGRAM_BYTES = 2048
DATAGRAMS_A_TURN = 64  # read from one socket in one turn of the loop
MAX_COMMAND_BYTES = 1 << 20

Pair = tuple[int, int]  # sender and receiver


class Links:
    """All directed pairs; a datagram's fate is drawn in the order in which they come."""

    def __init__(self, ports: list[int], seed: int) -> None:
        self._ports = ports
        self._random = Random(seed)
        self._loss = 0.0
        self._delay_ms = 0.0
        self._jitter_ms = 0.0
        self._double = 0.0
        self._broken = 0.0
        self._cut: set[Pair] = set()
        self._counters: list[Counter[str]] = [Counter() for _ in ports]  # by receiver
        self._delayed = 0
        nodes = range(len(ports))
        pairs = [(a, b) for a in nodes for b in nodes if a != b]
        self._sockets = {pair: _open_socket() for pair in pairs}

    def addresses(self) -> list[list[str]]:
        """By node: where it finds each of the others; for itself, where it listens."""
        nodes = range(len(self._ports))
        return [[f"127.0.0.1:{self._port(a, b)}" for b in nodes] for a in nodes]

    def _port(self, sender: int, receiver: int) -> int:
        if sender == receiver:
            return self._ports[sender]
        return int(self._sockets[sender, receiver].getsockname()[1])

    def open(self, loop: asyncio.AbstractEventLoop) -> None:
        """Forward datagrams from now on."""
        self._loop = loop
        for pair, sock in self._sockets.items():
            loop.add_reader(sock, self._read, pair, sock)

    def _read(self, pair: Pair, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):  # nothing to read; or a node that ended refused some
            for _ in range(DATAGRAMS_A_TURN):
                self._forward(pair, sock.recv(MAX_DATAGRAM_BYTES))

    def _forward(self, pair: Pair, data: bytes) -> None:
        counters = self._counters[pair[1]]
        if pair in self._cut or self._random.random() < self._loss:
            counters["lost"] += 1
            return
        if self._random.random() < self._broken:
            data = self._corrupted(data)
            counters["broken"] += 1
        for _ in range(2 if self._random.random() < self._double else 1):
            delay_ms = self._delay_ms + self._random.random() * self._jitter_ms
            if not delay_ms:
                self._deliver(pair, data)
            elif self._delayed < MAX_DELAYED:
                self._delayed += 1
                self._loop.call_later(delay_ms / 1000, self._deliver_delayed, pair, data)
            else:
                counters["lost"] += 1

    def _corrupted(self, data: bytes) -> bytes:
        """The same bytes with one bit flipped."""
        position = self._random.randrange(len(data))
        flipped = data[position] ^ 1 << self._random.randrange(8)
        return data[:position] + bytes([flipped]) + data[position + 1 :]

    def _deliver_delayed(self, pair: Pair, data: bytes) -> None:
        self._delayed -= 1
        self._deliver(pair, data)

    def _deliver(self, pair: Pair, data: bytes) -> None:
        """Send from the address at which the receiver finds the sender."""
        sender, receiver = pair
        counters = self._counters[receiver]
        counters["datagrams"] += 1
        counters["bytes"] += len(data)
        with contextlib.suppress(OSError):
            self._sockets[receiver, sender].sendto(data, ("127.0.0.1", self._ports[receiver]))

    def apply(self, command: dict[str, Any]) -> object:
        """Carry out one command; its answer."""
        self._loss = float(command.get("loss", self._loss))
        self._delay_ms = float(command.get("delay_ms", self._delay_ms))
        self._jitter_ms = float(command.get("jitter_ms", self._jitter_ms))
        self._double = float(command.get("double", self._double))
        self._broken = float(command.get("broken", self._broken))
        if "cut" in command:
            self._cut = {(int(sender), int(receiver)) for sender, receiver in command["cut"]}
        return [dict(counters) for counters in self._counters] if command.get("report") else {}


def _open_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(("127.0.0.1", 0))
    return sock


async def main() -> None:
    """Forward datagrams and carry out commands until standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("ports", nargs="+", type=int)
    args = parser.parse_args()
    links = Links(args.ports, args.seed)
    loop = asyncio.get_running_loop()
    links.open(loop)
    print(f"listening on {json.dumps(links.addresses(), separators=(',', ':'))}", flush=True)
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(links.apply(json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())

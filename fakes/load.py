"""Clients: a stream of requests at a steady rate, each answer timed."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

TIMEOUTS = {"balance": 2000, "credit": 3000}  # milliseconds
LIMIT_S = 10.0


@dataclass(slots=True)
class Seen:
    """What clients of one class got: statuses (0: no answer) and seconds of those served."""

    statuses: Counter[int] = field(default_factory=Counter)
    times: list[float] = field(default_factory=list)

    def quantile(self, part: float) -> float:
        """Milliseconds; 0 where nothing was served."""
        if not self.times:
            return 0.0
        times = sorted(self.times)
        return times[min(int(part * len(times)), len(times) - 1)] * 1000


class Clients:
    """Connections kept and used again, a further one whenever all are busy."""

    def __init__(self, address: str, seed: int, host: str = "app.svc") -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.name = host
        self.random = Random(seed)
        self.seed = seed  # in ids too: those of several clients' requests differ
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.seen: dict[str, Seen] = {}
        self.count = 0

    async def one(self, cls: str) -> int:
        """One request and its answer, counted; its status, 0 where none came."""
        self.count += 1
        seen = self.seen.setdefault(cls, Seen())
        method = "GET" if cls == "balance" else "POST"
        body = "" if cls == "balance" else "amount=5"
        head = (
            f"{method} /{cls}/{self.random.randrange(10**9)} HTTP/1.1\r\nHost: {self.name}\r\n"
            f"X-Request-ID: r{self.seed}-{self.count}\r\nX-Priority-Class: {cls}\r\n"
            f"X-Timeout-Ms: {TIMEOUTS[cls]}\r\n"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        began = time.perf_counter()
        try:
            status = await asyncio.wait_for(self._exchange(head + "\r\n" + body), LIMIT_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            status = 0
        seen.statuses[status] += 1
        if status == 200:
            seen.times.append(time.perf_counter() - began)
        return status

    async def _exchange(self, text: str) -> int:
        if self.idle:
            reader, writer = self.idle.pop()
        else:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        writer.write(text.encode())
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        size = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
        await reader.readexactly(size)
        if b"connection: close" in head:
            writer.close()
        else:
            self.idle.append((reader, writer))
        return int(head.split(b" ", 2)[1])

    def close(self) -> None:
        for _, writer in self.idle:
            writer.close()


async def play(
    clients: Clients,
    rate: float,
    count: int,
    credit_part: float = 0.2,
    at: dict[int, Callable[[], object]] | None = None,
) -> None:
    """So many requests at a steady rate a second; `at` is called before its request's turn."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    for i in range(count):
        if at is not None and i in at:
            await asyncio.to_thread(at[i])
        wait = began + i / rate - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
        cls = "credit" if clients.random.random() < credit_part else "balance"
        tasks.append(asyncio.create_task(clients.one(cls)))
    await asyncio.gather(*tasks)

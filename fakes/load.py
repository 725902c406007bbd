"""Clients: requests at a steady rate, each answer timed."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

TIMEOUT_MS = {"balance": 2000, "credit": 3000}  # by class, as the requests give it
ANSWER_TIMEOUT_S = 10.0  # of a client that waits
NO_ANSWER = 0  # in place of a status
OK = 200
BODY = "amount=5"
ACCOUNTS = 10**9  # a request's path names one of so many


@dataclass(slots=True)
class ClassResults:
    """What clients of one class got: all statuses, and the times of those that were served."""

    statuses: Counter[int] = field(default_factory=Counter)
    times_s: list[float] = field(default_factory=list)

    def quantile_ms(self, part: float) -> float:
        """A quantile of the times in milliseconds; 0 where nothing was served."""
        if not self.times_s:
            return 0.0
        times = sorted(self.times_s)
        return times[min(int(part * len(times)), len(times) - 1)] * 1000


class Clients:
    """Clients of one node: connections are used again, and opened whenever all are busy.

    Args:
        address: the node's, `IP:PORT`.
        seed: of what is drawn.
        host: of each request's `Host`.
        timeout_ms: by class, each request's `X-Timeout-Ms`.
    """

    def __init__(
        self,
        address: str,
        seed: int,
        host: str = "app.svc",
        timeout_ms: Mapping[str, int] = TIMEOUT_MS,
    ) -> None:
        self.random = Random(seed)
        self.results: dict[str, ClassResults] = {}  # by class
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._host = host
        self._timeout_ms = timeout_ms
        self.count = 0  # requests sent
        self._seed = seed  # in request ids too: those of several Clients differ
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, cls: str) -> int:
        """Send one request of this class; the answer's status, NO_ANSWER where none came."""
        self.count += 1
        results = self.results.setdefault(cls, ClassResults())
        message = self._message(cls)
        began = time.perf_counter()
        try:
            status = await asyncio.wait_for(self._exchange(message), ANSWER_TIMEOUT_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            status = NO_ANSWER
        results.statuses[status] += 1
        if status == OK:
            results.times_s.append(time.perf_counter() - began)
        return status

    def _message(self, cls: str) -> str:
        method, body = ("GET", "") if cls == "balance" else ("POST", BODY)
        lines = [
            f"{method} /{cls}/{self.random.randrange(ACCOUNTS)} HTTP/1.1",
            f"Host: {self._host}",
            f"X-Request-ID: r{self._seed}-{self.count}",
            f"X-Priority-Class: {cls}",
            f"X-Timeout-Ms: {self._timeout_ms[cls]}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines) + "\r\n\r\n" + body

    async def _exchange(self, message: str) -> int:
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(self._ip, self._port)
        writer.write(message.encode())
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        size = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
        await reader.readexactly(size)
        if b"connection: close" in head:
            writer.close()
        else:
            self._idle.append((reader, writer))
        return int(head.split(b" ", 2)[1])

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.close()


async def send_at_rate(
    clients: Clients,
    rate: float,
    count: int,
    credit_part: float = 0.2,
    at: dict[int, Callable[[], object]] | None = None,
) -> None:
    """Send so many requests at a steady rate, and wait for their answers.

    Args:
        rate: requests a second.
        credit_part: the part of them that is of class `credit`, else they are `balance`.
        at: by a request's number, what is called before it is sent.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    for number in range(count):
        if at is not None and number in at:
            await asyncio.to_thread(at[number])
        delay_s = began + number / rate - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        cls = "credit" if clients.random.random() < credit_part else "balance"
        tasks.append(asyncio.create_task(clients.send(cls)))
    await asyncio.gather(*tasks)

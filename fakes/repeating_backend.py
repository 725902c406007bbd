"""A fake backend at the end of a network path, some of whose responses are sent twice.

It runs one request at a time and rejects those that have waited too long. A second copy of a
response follows some milliseconds later, unless a byte of a further request has arrived on the
connection by then. In a test, this process and the path may be late as well: a second copy that
would be more than MAX_LATE_S behind its response ends the connection instead.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from fakes.web import Request, read_request

MAX_LATE_S = 0.008  # behind its response; what comes later is this process being held up
LATE_S = (0.001, 0.005)  # of a second copy after its response


@dataclass
class Executions:
    """What the backends of one test have run, and what else they have sent."""

    by_id: Counter[str] = field(default_factory=Counter)  # executions by request id
    second_copies: int = 0
    rejections: int = 0


class RepeatingBackend:
    """One backend; `serve` handles a connection.

    Args:
        name: part of the content of its responses, after the request's id.
        path_s: how long bytes travel, either way.
        work_s: how long a request runs.
        patience_s: least and longest time that a request waits before it is rejected.
        share: of responses, the part that is sent twice.
        executions: shared by the backends of a test.
    """

    def __init__(
        self,
        name: str,
        path_s: float,
        work_s: float,
        patience_s: tuple[float, float],
        share: float,
        executions: Executions,
    ) -> None:
        self.name = name
        self.path_s = path_s
        self.executions = executions
        self._work_s = work_s
        self._patience_s = patience_s
        self._share = share
        self._random = Random(name)
        self._core = asyncio.Lock()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until the peer ends it."""
        link = _Link(reader, writer, self.path_s)
        arrivals = asyncio.create_task(link.carry())
        try:
            while True:
                request = await read_request(link.arrived)
                response = await self._respond(request)
                link.send(response)
                if self._random.random() < self._share:
                    late_s = self._random.uniform(*LATE_S)
                    asyncio.get_running_loop().call_later(
                        late_s, self._send_again, link, response, link.received
                    )
        except (asyncio.IncompleteReadError, ConnectionError):
            return  # the peer has closed
        finally:
            arrivals.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await arrivals
            writer.close()

    async def _respond(self, request: Request) -> bytes:
        try:
            await asyncio.wait_for(self._core.acquire(), self._random.uniform(*self._patience_s))
        except TimeoutError:
            self.executions.rejections += 1
            return b"HTTP/1.1 503 -\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
        request_id = request.headers["x-request-id"]
        self.executions.by_id[request_id] += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._core.release()
        body = f"{request_id} {self.name}".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def _send_again(self, link: _Link, response: bytes, received: int) -> None:
        if link.received == received and not link.has_input():
            self.executions.second_copies += 1
            link.send(response, is_second=True)


class _Link:
    """One connection, whose bytes arrive `path_s` later than they were sent."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path_s: float
    ) -> None:
        self.arrived = asyncio.StreamReader()
        self.received = 0  # bytes that have arrived
        self._reader = reader
        self._writer = writer
        self._path_s = path_s
        self._responded_at = 0.0

    async def carry(self) -> None:
        """Let the peer's bytes arrive until it closes."""
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            try:
                data = await self._reader.read(1 << 16)
            except ConnectionError:
                data = b""
            loop.call_later(self._path_s, self._arrive, data)

    def _arrive(self, data: bytes) -> None:
        self.received += len(data)
        if data:
            self.arrived.feed_data(data)
        else:
            self.arrived.feed_eof()

    def has_input(self) -> bool:
        """Whether bytes that count as arrived wait in the kernel, or the connection has ended."""
        if self._writer.is_closing():
            return True
        sock = self._writer.get_extra_info("socket")
        return not self._path_s and bool(select.select([sock], [], [], 0)[0])

    def send(self, data: bytes, is_second: bool = False) -> None:
        """Send bytes; a second copy that comes too late for the page ends the connection."""
        asyncio.get_running_loop().call_later(self._path_s, self._deliver, data, is_second)

    def _deliver(self, data: bytes, is_second: bool) -> None:
        now = time.monotonic()
        if not is_second:
            self._responded_at = now
        elif now - self._responded_at > MAX_LATE_S:
            self._writer.transport.abort()
        if not self._writer.is_closing():
            self._writer.write(data)

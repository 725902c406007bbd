"""Servers that read what they are sent and answer by the request's path, or that stall.

A path whose last part is `long-N` is answered with N bytes; any other with a short line that names
the request's id. Requests are read without keeping their content.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

_LONG = re.compile(rb"/long-(\d+)")
PIECE_BYTES = 1 << 16
SLOW_S = 1.0  # from a request to a slow server's answer
STALL_S = 3600.0
ACCEPT_S = 0.02  # in which handlers begin whose connections were just accepted


class ServerKind(Enum):
    """What a server does with a request."""

    PROMPT = "reads it at once and answers"
    SLOW = "reads it at once and answers after a second"
    STALLED = "stops reading after the head"


@dataclass(slots=True)
class Served:
    """What the servers of one run have done."""

    ids: dict[str, int] = field(default_factory=dict)  # executions by request id
    writers: set[asyncio.StreamWriter] = field(default_factory=set)  # of open connections
    handlers: set[asyncio.Task[None]] = field(default_factory=set)  # of these connections
    stopping: asyncio.Event = field(default_factory=asyncio.Event)

    async def pause(self, seconds: float) -> None:
        """Wait, or end the connection once the servers stop.

        Raises:
            EOFError: the servers stop.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.stopping.wait()
                raise EOFError

    async def stop(self, servers: Iterable[asyncio.Server]) -> None:
        """Close the servers and their connections, and wait until all handlers have ended.

        A handler that is cancelled instead makes asyncio's streams log a traceback.
        """
        for server in servers:
            server.close()
        self.stopping.set()
        await asyncio.sleep(ACCEPT_S)
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.gather(*self.handlers)


async def _skip_content(reader: asyncio.StreamReader, head: bytes) -> None:
    length = re.search(rb"(?i)content-length: (\d+)", head)
    if length:
        remaining = int(length[1])
        while remaining:
            data = await reader.read(min(remaining, PIECE_BYTES))
            if not data:
                raise EOFError
            remaining -= len(data)
    elif re.search(rb"(?i)transfer-encoding: chunked", head):
        while size := int(await reader.readline(), 16):
            await reader.readexactly(size + 2)
        await reader.readline()


async def _serve(
    kind: ServerKind, served: Served, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        if kind is ServerKind.STALLED:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await served.pause(STALL_S)
        await _skip_content(reader, head)
        request_id = re.search(rb"(?i)x-request-id: (\S+)", head)
        name = request_id[1].decode() if request_id else ""
        served.ids[name] = served.ids.get(name, 0) + 1
        if kind is ServerKind.SLOW:
            await served.pause(SLOW_S)
        long = _LONG.search(head)
        content = bytes(int(long[1])) if long else f"served {name}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content))
        for start in range(0, len(content), PIECE_BYTES):
            writer.write(content[start : start + PIECE_BYTES])
            await writer.drain()


async def start_server(kind: ServerKind, served: Served) -> asyncio.Server:
    """Start one server on a free port of this machine."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        handler = asyncio.current_task()
        assert handler is not None
        served.writers.add(writer)
        served.handlers.add(handler)
        handler.add_done_callback(served.handlers.discard)
        try:
            with contextlib.suppress(OSError, EOFError, ValueError, asyncio.IncompleteReadError):
                await _serve(kind, served, reader, writer)
        finally:
            served.writers.discard(writer)
            writer.transport.abort()

    return await asyncio.start_server(serve, "127.0.0.1", 0, limit=PIECE_BYTES)

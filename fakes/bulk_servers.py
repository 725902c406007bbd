"""Servers that read what they are sent and answer by the request's path, or that stall.

A path whose last part is `long-N` is answered with N bytes; any other with a short line that names
the request's id. Requests are read without keeping their content.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from dataclasses import dataclass, field
from enum import Enum

_LONG = re.compile(rb"/long-(\d+)")
PIECE_BYTES = 1 << 16


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
            await asyncio.sleep(3600)
        await _skip_content(reader, head)
        request_id = re.search(rb"(?i)x-request-id: (\S+)", head)
        name = request_id[1].decode() if request_id else ""
        served.ids[name] = served.ids.get(name, 0) + 1
        if kind is ServerKind.SLOW:
            await asyncio.sleep(1.0)
        long = _LONG.search(head)
        content = bytes(int(long[1])) if long else f"served {name}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content))
        for start in range(0, len(content), PIECE_BYTES):
            writer.write(content[start : start + PIECE_BYTES])
            await writer.drain()


async def start_server(kind: ServerKind, served: Served) -> asyncio.Server:
    """Start one server on a free port of this machine."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served.writers.add(writer)
        try:
            with contextlib.suppress(OSError, EOFError, ValueError, asyncio.IncompleteReadError):
                await _serve(kind, served, reader, writer)
        finally:
            served.writers.discard(writer)
            writer.transport.abort()

    return await asyncio.start_server(serve, "127.0.0.1", 0, limit=PIECE_BYTES)

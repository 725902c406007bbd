"""A small HTTP/1.1 server for stand-ins: one request at a time on a connection."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

MAX_BODY = 1 << 20


@dataclass(slots=True)
class Asked:
    """A request; header names in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class Reply:
    """An answer. `reset` ends the connection with a reset in its place, `silent` never answers.

    `cut`: the connection ends after so many bytes of the body; `rate`: bytes a second;
    `endless`: the body goes on for ever.
    """

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    reset: bool = False
    silent: bool = False
    cut: int | None = None
    rate: int = 0
    endless: bool = False


Handler = Callable[[Asked], Awaitable[Reply]]


async def _read(reader: asyncio.StreamReader) -> Asked:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _version = head[0].split(" ")
    headers = {}
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    if size > MAX_BODY:
        raise ValueError("the body is too large")
    body = await reader.readexactly(size) if size else b""
    path, _, query = target.partition("?")
    return Asked(method, path, query, headers, body)


async def _spoilt(writer: asyncio.StreamWriter, head: str, reply: Reply) -> None:
    """An answer that is cut, slow or without an end; the connection is over with it."""
    if reply.endless:
        head = re.sub(r"Content-Length: \d+", "Transfer-Encoding: chunked", head)
        writer.write(head.encode())
        while True:
            writer.write(b"1000\r\n" + b" " * 0x1000 + b"\r\n")
            await writer.drain()
    writer.write(head.encode())
    body = reply.body if reply.cut is None else reply.body[: reply.cut]
    step = reply.rate or len(body) or 1
    for at in range(0, len(body), step):
        writer.write(body[at : at + step])
        await writer.drain()
        if reply.rate:
            await asyncio.sleep(1.0)
    if reply.cut is not None:
        writer.transport.abort()


async def _serve(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            asked = await _read(reader)
            reply = await handler(asked)
            if reply.silent:
                await reader.read()
                return
            if reply.reset:
                writer.transport.abort()
                return
            extra = "".join(f"{k}: {v}\r\n" for k, v in reply.headers.items())
            head = f"HTTP/1.1 {reply.status} -\r\nContent-Length: {len(reply.body)}\r\n{extra}\r\n"
            if reply.cut is not None or reply.rate or reply.endless:
                await _spoilt(writer, head, reply)
                return
            writer.write(head.encode() + reply.body)
            await writer.drain()
            if asked.headers.get("connection", "").lower() == "close":
                return
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, OSError):
        return  # gone, or not HTTP: this connection is over
    finally:
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Listen; the first line on standard output names the address."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _serve(handler, reader, writer)

    server = await asyncio.start_server(connected, host, port, limit=1 << 16)
    address = server.sockets[0].getsockname()
    print(f"listening on {address[0]}:{address[1]}", flush=True)
    return server


def split_address(text: str) -> tuple[str, int]:
    """ "host:port"; only loopback addresses."""
    host, _, port = text.rpartition(":")
    if not host.startswith("127."):
        raise SystemExit(f"{text}: stand-ins listen on 127.0.0.0/8 only")
    return host, int(port)

"""A small HTTP/1.1 server for the fakes: one request at a time on a connection."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 1 << 16
MAX_BODY_BYTES = 1 << 20
ENDLESS_CHUNK = b"1000\r\n" + b" " * 0x1000 + b"\r\n"


@dataclass(slots=True)
class Request:
    """One request; header names are in lower case, `query` is what follows the question mark."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class Reply:
    """A response, or the fault that takes its place."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    reset: bool = False  # the connection is reset, and no response sent
    silent: bool = False  # the connection stays open, and no response is sent
    cut: int | None = None  # the connection ends after so many bytes of the body
    rate: int = 0  # bytes of the body a second, 0 for no limit
    endless: bool = False  # the body never ends

    @property
    def is_faulty(self) -> bool:
        """Whether the body is not sent at once and complete."""
        return self.cut is not None or self.rate > 0 or self.endless


Handler = Callable[[Request], Awaitable[Reply]]


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Listen; the first line on standard output names the address."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _serve_connection(handler, reader, writer)

    server = await asyncio.start_server(connected, host, port, limit=MAX_HEAD_BYTES)
    address = server.sockets[0].getsockname()
    print(f"listening on {address[0]}:{address[1]}", flush=True)
    return server


def split_address(text: str) -> tuple[str, int]:
    """Host and port of "host:port"; a fake listens at loopback addresses only."""
    host, _, port = text.rpartition(":")
    if not host.startswith("127."):
        raise SystemExit(f"{text}: fakes listen on 127.0.0.0/8 only")
    return host, int(port)


async def _serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            request = await read_request(reader)
            reply = await handler(request)
            if reply.silent:
                await reader.read()
                return
            if reply.reset:
                writer.transport.abort()
                return
            if reply.is_faulty:
                await _send_faulty(writer, reply)
                return
            writer.write(_head(reply).encode() + reply.body)
            await writer.drain()
            if request.headers.get("connection", "").lower() == "close":
                return
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, OSError):
        return  # the peer has closed, or does not speak HTTP
    finally:
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request.

    Raises:
        asyncio.IncompleteReadError: the stream has ended.
        ValueError: it is not HTTP/1.1, or its body is too large.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _version = lines[0].split(" ")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    if size > MAX_BODY_BYTES:
        raise ValueError("the body is too large")
    body = await reader.readexactly(size) if size else b""
    path, _, query = target.partition("?")
    return Request(method, path, query, headers, body)


def _head(reply: Reply) -> str:
    headers = "".join(f"{name}: {value}\r\n" for name, value in reply.headers.items())
    return f"HTTP/1.1 {reply.status} -\r\nContent-Length: {len(reply.body)}\r\n{headers}\r\n"


async def _send_faulty(writer: asyncio.StreamWriter, reply: Reply) -> None:
    """Send an answer that is cut, slow or endless; the connection ends with it."""
    if reply.endless:
        await _send_endless(writer, _head(reply))
    writer.write(_head(reply).encode())
    body = reply.body if reply.cut is None else reply.body[: reply.cut]
    step = reply.rate or len(body) or 1
    for position in range(0, len(body), step):
        writer.write(body[position : position + step])
        await writer.drain()
        if reply.rate:
            await asyncio.sleep(1.0)
    if reply.cut is not None:
        writer.transport.abort()


async def _send_endless(writer: asyncio.StreamWriter, head: str) -> None:
    """Send chunks until the peer closes, which is an OSError here."""
    writer.write(re.sub(r"Content-Length: \d+", "Transfer-Encoding: chunked", head).encode())
    while True:
        writer.write(ENDLESS_CHUNK)
        await writer.drain()

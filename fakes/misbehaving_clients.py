"""Clients that make a node hold much: each stays within the limits of one client.

Each kind is a coroutine over a connection that is open already; it returns when its client has
nothing more to send or the node has ended the connection, and is cancelled at the end of a run.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterator
from enum import Enum
from random import Random

HALF_BYTES = 1_000_000  # what is sent of a request of twice the size
SLOW_PIECE_BYTES = 3_200
SLOW_PAUSE_S = 0.05  # after each piece: 64 kB a second
SLOW_REQUEST_BYTES = 400_000
CHUNK_BYTES = 2
FIELDS_BYTES = 15_000  # of a head of short fields, below the node's limit
PIPELINED = 8
PIPELINED_BYTES = 15_000  # of each request's content
READ_BYTES = 4_000
READ_PAUSE_S = 0.05  # after each read: 80 kB a second
UNREAD_BYTES = 60_000  # of a response that a node buffers whole
UNREAD_REQUESTS = 100  # sent on one connection
UNREAD_S = 60.0  # for which such a client stays

_numbers: Iterator[int] = itertools.count(1)


class ClientKind(Enum):
    """What a client does on its connection."""

    HALF_REQUEST = "half of a long request with a length, then silence"
    HALF_CHUNKED = "half of a long request in chunks, then silence"
    SMALL_CHUNKS = "content in chunks of two bytes, then silence"
    SHORT_FIELDS = "a head of very many short fields, without its end"
    COMPLETE_HEADS = "a complete head of the largest size, then no content"
    LARGE_HEADS = "requests with heads of the largest size, one after the other"
    SLOW_WRITER = "a long request, written slowly"
    SLOW_READER = "a long response, read slowly"
    UNREAD_RESPONSES = "requests for responses of 60 KB, one after the other, that are never read"
    PIPELINE = "eight requests with content in one write, again and again"
    SILENT = "nothing at all"


def head(path: str, timeout_ms: int = 2500, **fields: str | int) -> bytes:
    """The head of a request with an id of its own; `x_y` is sent as the field X-Y."""
    lines = {
        "Host": "app.svc",
        "X-Request-ID": f"{next(_numbers):016x}",
        "X-Priority-Class": path.split("/")[1],
        "X-Timeout-Ms": timeout_ms,
    } | {name.replace("_", "-"): value for name, value in fields.items()}
    method = "GET" if path.startswith("/balance") else "POST"
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode()


def upload_head(size: int) -> bytes:
    """The head of a request whose content has this size in bytes."""
    return head("/credit/1", Content_Length=size)


async def _send(sock: socket.socket, data: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def _read_to_end(sock: socket.socket) -> None:
    while await asyncio.get_running_loop().sock_recv(sock, 1 << 16):
        pass


async def _half_request(sock: socket.socket, _random: Random) -> None:
    await _send(sock, upload_head(2 * HALF_BYTES) + bytes(HALF_BYTES))
    await _read_to_end(sock)


async def _half_chunked(sock: socket.socket, _random: Random) -> None:
    start = head("/credit/1", Transfer_Encoding="chunked")
    await _send(sock, start + b"%x\r\n" % (2 * HALF_BYTES) + bytes(HALF_BYTES))
    await _read_to_end(sock)


async def _small_chunks(sock: socket.socket, _random: Random) -> None:
    chunks = b"2\r\nab\r\n" * (HALF_BYTES // (10 * CHUNK_BYTES))
    await _send(sock, head("/credit/1", Transfer_Encoding="chunked") + chunks)
    await _read_to_end(sock)


async def _short_fields(sock: socket.socket, _random: Random) -> None:
    start = head("/credit/1")[:-2]
    await _send(sock, start + b"a:b\r\n" * (FIELDS_BYTES // 10))
    await _read_to_end(sock)


async def _complete_heads(sock: socket.socket, _random: Random) -> None:
    await _send(sock, head("/credit/1", Content_Length=4000, X_Pad="p" * FIELDS_BYTES))
    await _read_to_end(sock)


async def _large_heads(sock: socket.socket, _random: Random) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await _send(sock, head("/balance/1", X_Pad="p" * FIELDS_BYTES))
        if not await loop.sock_recv(sock, READ_BYTES):
            return


async def _slow_writer(sock: socket.socket, _random: Random) -> None:
    await _send(sock, upload_head(SLOW_REQUEST_BYTES))
    for _ in range(SLOW_REQUEST_BYTES // SLOW_PIECE_BYTES):
        await _send(sock, bytes(SLOW_PIECE_BYTES))
        await asyncio.sleep(SLOW_PAUSE_S)
    await _read_to_end(sock)


async def _slow_reader(sock: socket.socket, random: Random) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    await _send(sock, head(f"/balance/long-{random.choice((200_000, 2_000_000))}"))
    while await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
        await asyncio.sleep(READ_PAUSE_S)


async def _unread_responses(sock: socket.socket, _random: Random) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    for _ in range(UNREAD_REQUESTS):
        await _send(sock, head(f"/balance/long-{UNREAD_BYTES}"))
        await asyncio.sleep(SLOW_PAUSE_S)
    await asyncio.sleep(UNREAD_S)


async def _pipeline(sock: socket.socket, _random: Random) -> None:
    one = bytes(PIPELINED_BYTES)
    requests = (upload_head(PIPELINED_BYTES) + one for _ in range(PIPELINED))
    await _send(sock, b"".join(requests))
    await _read_to_end(sock)


async def _silent(sock: socket.socket, _random: Random) -> None:
    await _read_to_end(sock)


_ACTIONS: dict[ClientKind, Callable[[socket.socket, Random], Awaitable[None]]] = {
    ClientKind.HALF_REQUEST: _half_request,
    ClientKind.HALF_CHUNKED: _half_chunked,
    ClientKind.SMALL_CHUNKS: _small_chunks,
    ClientKind.SHORT_FIELDS: _short_fields,
    ClientKind.COMPLETE_HEADS: _complete_heads,
    ClientKind.LARGE_HEADS: _large_heads,
    ClientKind.SLOW_WRITER: _slow_writer,
    ClientKind.SLOW_READER: _slow_reader,
    ClientKind.UNREAD_RESPONSES: _unread_responses,
    ClientKind.PIPELINE: _pipeline,
    ClientKind.SILENT: _silent,
}


async def connect(address: tuple[str, int]) -> socket.socket:
    """A connection to an address; the caller closes it.

    Raises:
        OSError: it is not accepted.
    """
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


async def run_client(
    kind: ClientKind, address: tuple[str, int], random: Random, comes_again: bool
) -> None:
    """Play one client; with `comes_again`, a further one each time it ends, until cancelled."""
    while True:
        try:
            sock = await connect(address)
        except OSError:
            await asyncio.sleep(SLOW_PAUSE_S)
            continue
        try:
            await _ACTIONS[kind](sock, random)
        except OSError:
            pass  # the node has reset it, or has ended
        finally:
            sock.close()
        if not comes_again:
            return
        await asyncio.sleep(SLOW_PAUSE_S)

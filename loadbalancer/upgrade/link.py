"""The words between two processes of one node: a greeting with the socket, then frames.

A frame is a length of four bytes, big endian, and a JSON object. A peer that sends
anything else, or too much, loses its link and nothing more.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

VERSION = 1
HELLO = b"windrelay upgrade %4d\n" % VERSION
SIZE = struct.Struct(">I")
MOST_FRAME = 16 << 20

Frame = dict[str, Any]


def greet(sock: socket.socket, listener: socket.socket) -> None:
    """The predecessor's greeting, with its listening socket. OSError where it can't be sent."""
    socket.send_fds(sock, [HELLO], [listener.fileno()])


def be_greeted(sock: socket.socket) -> socket.socket:
    """Say hello and take the listening socket; OSError where no such peer answers in time."""
    sock.sendall(HELLO)
    data, fds, _flags, _address = socket.recv_fds(sock, len(HELLO), 1)
    if len(fds) != 1 or data != HELLO:
        for fd in fds:
            socket.close(fd)
        raise ConnectionError(f"greeted with {data!r} and {len(fds)} sockets")
    return socket.socket(fileno=fds[0])


class Link(asyncio.Protocol):
    """Frames over a connected socket; `told` gets each, `ended` comes once."""

    def __init__(self, told: Callable[[Frame], None], ended: Callable[[], None]) -> None:
        self._told = told
        self._ended: Callable[[], None] | None = ended
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    @property
    def open(self) -> bool:
        return self._ended is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, frame: Frame) -> None:
        if self._transport is not None and self.open:
            body = json.dumps(frame).encode()
            self._transport.write(SIZE.pack(len(body)) + body)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self.open and len(self._buffer) >= SIZE.size:
            (size,) = SIZE.unpack_from(self._buffer)
            if size > MOST_FRAME:
                self.end()
                return
            if len(self._buffer) < SIZE.size + size:
                return
            body = bytes(self._buffer[SIZE.size : SIZE.size + size])
            del self._buffer[: SIZE.size + size]
            try:
                frame = json.loads(body)
                if not isinstance(frame, dict):
                    raise ValueError("a frame is no object")
                self._told(frame)
            except (AttributeError, KeyError, TypeError, ValueError, RecursionError):
                # Of another form than ours: the link is of no use, the process goes on.
                self.end()

    def connection_lost(self, exc: Exception | None) -> None:
        self.end()

    def end(self) -> None:
        ended, self._ended = self._ended, None
        if ended is None:
            return
        if self._transport is not None:
            with contextlib.suppress(OSError):
                self._transport.abort()
        ended()

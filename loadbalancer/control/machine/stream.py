"""Streams between control machines: each dials every other, and speaks on the stream it dialled.

A frame is its length in four bytes and a message by `codec`. The first names the sender and the
fleet's file, and a stream of another fleet, or of nobody in the file, is cut. What waits for a
machine that does not read is bounded: then its stream is cut, and begins anew with a whole word.
"""

from __future__ import annotations

import asyncio
import struct
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

from loadbalancer.config.address import Address
from loadbalancer.control.machine.codec import BadMessageError, Codec

MAX_FRAME = 32 << 20  # bytes
REDIAL_S = 0.5
HELLO_S = 5.0  # for the first frame to come
_LENGTH = struct.Struct(">I")


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame: who speaks, and the digest of what both must have in common."""

    machine: str
    fleet: str


class Streams:
    """One machine's streams to and from the others.

    `told` gets each message and its sender, `up` the name of a machine that has just been
    reached. `counts` tells what was cut or dropped, by reason.
    """

    def __init__(
        self,
        hello: Hello,
        others: Mapping[str, Address],
        codec: Codec,
        backlog: int,
        told: Callable[[str, Any], None],
        up: Callable[[str], None],
    ) -> None:
        self.hello = hello
        self.codec = codec
        self.told = told
        self.counts: Counter[str] = Counter()
        self._others = dict(others)
        self._backlog = backlog
        self._up = up
        self._out: dict[str, asyncio.Transport] = {}
        self.incoming: set[asyncio.Transport] = set()
        self._dials: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def open(self, listen: Address) -> int:
        """Listen, and dial the others for good; returns the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Incoming(self), listen.host, listen.port)
        self._dials = [loop.create_task(self._dial(*other)) for other in self._others.items()]
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """End all streams."""
        for dial in self._dials:
            dial.cancel()
        for transport in [*self._out.values(), *self.incoming]:
            transport.abort()
        if self._server is not None:
            self._server.close()

    def knows(self, hello: Hello) -> bool:
        """Whether such a first frame is one of the other machines'."""
        return hello.fleet == self.hello.fleet and hello.machine in self._others

    def send(self, machine: str, message: Any) -> None:
        """Send it if there is a stream; lost otherwise, as on a network."""
        transport = self._out.get(machine)
        if transport is None or transport.is_closing():
            self.counts["no stream"] += 1
            return
        data = self.codec.encode(message)
        if transport.get_write_buffer_size() + len(data) > self._backlog:
            self.counts["backlog"] += 1
            transport.abort()
            return
        self.counts["sent"] += 1
        self.counts["sent bytes"] += _LENGTH.size + len(data)
        transport.write(_LENGTH.pack(len(data)) + data)

    def send_all(self, message: Any) -> None:
        """Send it on each stream that is up."""
        for machine in [*self._out]:
            self.send(machine, message)

    async def _dial(self, machine: str, address: Address) -> None:
        """Keep a stream to this machine."""
        loop = asyncio.get_running_loop()
        while True:
            ended: asyncio.Future[None] = loop.create_future()
            try:
                transport, _ = await loop.create_connection(
                    lambda ended=ended: _Outgoing(ended),  # type: ignore[misc]
                    address.host,
                    address.port,
                )
            except OSError:
                await asyncio.sleep(REDIAL_S)
                continue
            self._out[machine] = transport
            self.send(machine, self.hello)
            self._up(machine)
            await ended
            self._out.pop(machine, None)
            await asyncio.sleep(REDIAL_S)


class _Outgoing(asyncio.Protocol):
    """A stream that this machine has dialled: it only writes."""

    def __init__(self, ended: asyncio.Future[None]) -> None:
        self._ended = ended

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._ended.done():
            self._ended.set_result(None)


class _Incoming(asyncio.Protocol):
    """A stream that another machine has dialled: it is only read."""

    def __init__(self, streams: Streams) -> None:
        self._streams = streams
        self._data = bytearray()
        self._sender = ""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._streams.incoming.add(self._transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HELLO_S, self._cut, "no hello")

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._streams.incoming.discard(self._transport)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        self._data += data
        start, size = 0, len(self._data)
        while size - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._data, start)
            if length > MAX_FRAME:
                self._cut("frame too long")
                return
            end = start + _LENGTH.size + length
            if end > size:
                break
            if not self._frame(bytes(memoryview(self._data)[start + _LENGTH.size : end])):
                return
            start = end
        del self._data[:start]

    def _frame(self, frame: bytes) -> bool:
        """Take one frame; False where it ended the stream."""
        try:
            message = self._streams.codec.decode(frame)
        except BadMessageError as err:
            self._cut(str(err))
            return False
        if self._sender:
            self._streams.told(self._sender, message)
            return True
        if not isinstance(message, Hello) or not self._streams.knows(message):
            self._cut("stranger")
            return False
        self._sender = message.machine
        if self._timer is not None:
            self._timer.cancel()
        return True

    def _cut(self, why: str) -> None:
        self._streams.counts[why] += 1
        if self._transport is not None:
            self._transport.abort()

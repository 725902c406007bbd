"""Streams between control machines: each dials every other, and sends only on streams it dialled.

A frame is its length in four bytes and a message by `codec`. The first frame is a `Hello` with the
sender's name and the digest of its file; a stream of another fleet, or of a machine that the file
does not name, is closed. The bytes buffered for a machine that does not read are bounded: past
the bound its stream is closed and dialled again, and the full state is sent again.
"""

from __future__ import annotations

import asyncio
import logging
import struct
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

from loadbalancer.config.address import Address
from loadbalancer.control.machine.codec import BadMessageError, Codec
from loadbalancer.faults import run_logged

MAX_FRAME_BYTES = 32 << 20
REDIAL_S = 0.5
HELLO_TIMEOUT_S = 5.0  # for the first frame to come
_LENGTH = struct.Struct(">I")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Hello:
    """A stream's first frame."""

    machine: str  # the sender
    fleet: str  # the digest of what both ends must have in common


class PeerStreams:
    """One machine's streams to and from the others; `counts` has what was sent and dropped."""

    def __init__(
        self,
        hello: Hello,
        others: Mapping[str, Address],
        codec: Codec,
        backlog_bytes: int,
        on_message: Callable[[str, Any], None],
        on_connected: Callable[[str], None],
    ) -> None:
        """`on_message` gets sender and message, `on_connected` a machine that can be sent to."""
        self.hello = hello
        self.codec = codec
        self.on_message = on_message
        self.counts: Counter[str] = Counter()
        self.incoming: set[asyncio.Transport] = set()
        self._incoming_from: dict[str, _IncomingStream] = {}  # the newest one, by machine
        self._others = dict(others)
        self._backlog_bytes = backlog_bytes
        self._on_connected = on_connected
        self._outgoing: dict[str, asyncio.Transport] = {}
        self._dials: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def open(self, listen: Address) -> int:
        """Listen, and begin to dial the others; returns the port.

        Raises:
            OSError: the address can't be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _IncomingStream(self), listen.host, listen.port
        )
        self._dials = [loop.create_task(self._dial(*other)) for other in self._others.items()]
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """End all streams."""
        for dial in self._dials:
            dial.cancel()
        for transport in [*self._outgoing.values(), *self.incoming]:
            transport.abort()
        if self._server is not None:
            self._server.close()

    def accepts(self, hello: Hello) -> bool:
        """Whether a first frame is of another machine of the same fleet."""
        return hello.fleet == self.hello.fleet and hello.machine in self._others

    def on_hello(self, machine: str, stream: _IncomingStream) -> None:
        """A machine has dialled: end its earlier stream, if that has not ended yet.

        Guards against frames of an earlier connection, or of the machine's earlier process, that
        come after newer ones: an old grant or list of present nodes would replace the newest one.
        A machine has one stream to each other at a time, so what comes on it is in order.

        Where the Hello of the earlier connection is read last, it is the newer one that ends. The
        machine sees that, and dials again after REDIAL_S: its next Hello ends the earlier one.
        """
        earlier = self._incoming_from.get(machine)
        self._incoming_from[machine] = stream
        if earlier is not None:
            earlier.abort("replaced")

    def on_lost(self, machine: str, stream: _IncomingStream) -> None:
        """A stream that `machine` had dialled has ended."""
        if self._incoming_from.get(machine) is stream:
            del self._incoming_from[machine]

    def send(self, machine: str, message: Any) -> None:
        """Send a message; it is lost where there is no stream, or too much waits for it."""
        transport = self._outgoing.get(machine)
        if transport is None or transport.is_closing():
            self.counts["no stream"] += 1
            return
        data = self.codec.encode(message)
        if transport.get_write_buffer_size() + len(data) > self._backlog_bytes:
            self.counts["backlog"] += 1
            transport.abort()
            return
        self.counts["sent"] += 1
        self.counts["sent bytes"] += _LENGTH.size + len(data)
        transport.write(_LENGTH.pack(len(data)) + data)

    def send_all(self, message: Any) -> None:
        """Send a message on each stream that is up."""
        for machine in [*self._outgoing]:
            self.send(machine, message)

    async def _dial(self, machine: str, address: Address) -> None:
        """Maintain a stream to this machine: dial again whenever it ends.

        Failure: a fault as a stream begins ends the task, unlogged. That machine is not dialled
        again until a restart, and hears nothing from this one. Any fault is logged, and the
        machine is dialled again like after a lost stream.
        """
        while True:
            try:
                await self._stream_until_lost(machine, address)
            except OSError:
                pass  # it does not listen
            except Exception:
                logger.exception("stream to %s", machine)
            await asyncio.sleep(REDIAL_S)

    async def _stream_until_lost(self, machine: str, address: Address) -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[None] = loop.create_future()
        transport, _ = await loop.create_connection(
            lambda: _OutgoingStream(ended), address.host, address.port
        )
        self._outgoing[machine] = transport
        try:
            self.send(machine, self.hello)
            # After a fault there the stream stays, for the log's messages: a machine that misses
            # an update of who is present asks for the full state.
            run_logged(self._on_connected, machine)
            await ended
        finally:
            self._outgoing.pop(machine, None)
            transport.abort()


class _OutgoingStream(asyncio.Protocol):
    """A stream that this machine has dialled: it only sends."""

    def __init__(self, ended: asyncio.Future[None]) -> None:
        self._ended = ended

    def connection_lost(self, exc: Exception | None) -> None:
        """The stream ended: let the machine be dialled again."""
        del exc
        if not self._ended.done():
            self._ended.set_result(None)


class _IncomingStream(asyncio.Protocol):
    """A stream that another machine has dialled: it is only received from."""

    def __init__(self, streams: PeerStreams) -> None:
        self._streams = streams
        self._buffer = bytearray()
        self._sender = ""  # until its Hello
        self._aborted = False
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the Hello."""
        self._transport = cast(asyncio.Transport, transport)
        self._streams.incoming.add(self._transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HELLO_TIMEOUT_S, self.abort, "no hello")

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the stream."""
        del exc
        if self._transport is not None:
            self._streams.incoming.discard(self._transport)
        self._streams.on_lost(self._sender, self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Handle each complete frame; none that follows the stream's end."""
        if self._aborted:
            return
        self._buffer += data
        start, size = 0, len(self._buffer)
        while size - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                self.abort("frame too long")
                return
            end = start + _LENGTH.size + length
            if end > size:
                break
            if not self._on_frame(bytes(memoryview(self._buffer)[start + _LENGTH.size : end])):
                return
            start = end
        del self._buffer[:start]

    def _on_frame(self, frame: bytes) -> bool:
        """Handle one frame; False where it ended the stream."""
        try:
            message = self._streams.codec.decode(frame)
        except BadMessageError as err:
            self.abort(err.counter)
            return False
        if self._sender:
            self._streams.on_message(self._sender, message)
            return True
        if not isinstance(message, Hello) or not self._streams.accepts(message):
            self.abort("stranger")
            return False
        self._sender = message.machine
        if self._timer is not None:
            self._timer.cancel()
        self._streams.on_hello(self._sender, self)
        return True

    def abort(self, counter: str) -> None:
        """End the stream, and count that under this name."""
        self._aborted = True
        self._streams.counts[counter] += 1
        if self._transport is not None:
            self._transport.abort()

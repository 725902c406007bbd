"""TCP streams between control machines.

Each machine connects to every other one, and sends only on the streams that it has opened itself.
A frame is a length in four bytes, followed by a message encoded by `codec`. The first frame is a
`Hello` with the sender's name and the digest of its control file. A stream with another digest, or
from a machine that the file does not name, is closed. The number of bytes buffered for a machine
that reads too slowly is limited: beyond it the stream is closed and opened again, and the full
state is sent again.
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
REDIAL_S = 0.5  # delay before a lost or refused stream is opened again
HELLO_TIMEOUT_S = 5.0  # for the first frame of an accepted stream
_LENGTH = struct.Struct(">I")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame of a stream."""

    machine: str  # the sender
    fleet: str  # digest of the fleet's configuration, which must be the same at both ends


class PeerStreams:
    """One machine's streams to and from the others.

    `counts` has the numbers of messages and bytes sent, of messages dropped, and of streams
    closed by reason.
    """

    def __init__(
        self,
        hello: Hello,
        others: Mapping[str, Address],
        codec: Codec,
        backlog_bytes: int,
        on_message: Callable[[str, Any], None],
        on_connected: Callable[[str], None],
    ) -> None:
        """Prepare the streams to the machines in `others`; `open` starts them.

        Args:
            hello: the first frame on each stream that this machine opens.
            others: the other machines' addresses, by name.
            codec: encodes and decodes messages.
            backlog_bytes: maximum number of unsent bytes on a stream.
            on_message: called with the sender's name and each message received.
            on_connected: called with a machine's name when a stream to it has been opened.
        """
        self.hello = hello
        self.codec = codec
        self.on_message = on_message
        self.counts: Counter[str] = Counter()
        self.incoming: set[asyncio.Transport] = set()
        self._incoming_from: dict[str, _IncomingStream] = {}  # the latest stream, by machine
        self._others = dict(others)
        self._backlog_bytes = backlog_bytes
        self._on_connected = on_connected
        self._outgoing: dict[str, asyncio.Transport] = {}
        self._dials: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def open(self, listen: Address) -> int:
        """Listen, start connecting to the other machines, and return the port.

        Raises:
            OSError: the machine can't listen on the address.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _IncomingStream(self), listen.host, listen.port
        )
        self._dials = [loop.create_task(self._dial(*other)) for other in self._others.items()]
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Close all streams and the listener."""
        for dial in self._dials:
            dial.cancel()
        for transport in [*self._outgoing.values(), *self.incoming]:
            transport.abort()
        if self._server is not None:
            self._server.close()

    def accepts(self, hello: Hello) -> bool:
        """Return whether a first frame comes from another machine of the same fleet."""
        return hello.fleet == self.hello.fleet and hello.machine in self._others

    def on_hello(self, machine: str, stream: _IncomingStream) -> None:
        """Register a machine's new stream, and close its previous one if that is still open.

        With one stream from each machine at a time, its messages arrive in order. Otherwise frames
        of a previous connection, or of the machine's previous process, could arrive after newer
        ones, and an outdated grant or presence update would replace the latest one.

        If the Hello of the older connection is read last, the newer connection is closed instead.
        The machine notices that and connects again after REDIAL_S; its next Hello closes the older
        connection.
        """
        earlier = self._incoming_from.get(machine)
        self._incoming_from[machine] = stream
        if earlier is not None:
            earlier.abort("replaced")

    def on_lost(self, machine: str, stream: _IncomingStream) -> None:
        """Unregister a stream of `machine` that has been closed."""
        if self._incoming_from.get(machine) is stream:
            del self._incoming_from[machine]

    def send(self, machine: str, message: Any) -> None:
        """Send a message; drop it if there is no stream or too much unsent data on it."""
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
        """Send a message on each open stream."""
        for machine in [*self._outgoing]:
            self.send(machine, message)

    async def _dial(self, machine: str, address: Address) -> None:
        """Keep a stream to this machine open, connecting again whenever it is lost.

        Exceptions are logged and treated like a lost stream. If one ended this task, nothing would
        be logged, and this machine could not reach the other one until a restart.
        """
        while True:
            try:
                await self._stream_until_lost(machine, address)
            except OSError:
                pass  # the machine is not listening
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
            # After an exception here the stream stays open, because the replicated log needs it. A
            # machine that has missed a presence update requests the full state by itself.
            run_logged(self._on_connected, machine)
            await ended
        finally:
            self._outgoing.pop(machine, None)
            transport.abort()


class _OutgoingStream(asyncio.Protocol):
    """A stream that this machine has opened; it is used only for sending."""

    def __init__(self, ended: asyncio.Future[None]) -> None:
        self._ended = ended

    def connection_lost(self, exc: Exception | None) -> None:
        """Signal the loss of the stream, so that it is opened again."""
        del exc
        if not self._ended.done():
            self._ended.set_result(None)


class _IncomingStream(asyncio.Protocol):
    """A stream that another machine has opened; it is used only for receiving."""

    def __init__(self, streams: PeerStreams) -> None:
        self._streams = streams
        self._buffer = bytearray()
        self._sender = ""  # unknown until the Hello
        self._aborted = False
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout for the Hello."""
        self._transport = cast(asyncio.Transport, transport)
        self._streams.incoming.add(self._transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HELLO_TIMEOUT_S, self.abort, "no hello")

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the stream."""
        del exc
        if self._transport is not None:
            self._streams.incoming.discard(self._transport)
        self._streams.on_lost(self._sender, self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Handle each complete frame; ignore data after the stream was aborted."""
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
        """Handle one frame; return False if the stream was aborted because of it."""
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
        """Abort the stream, and increment the counter named `counter`."""
        self._aborted = True
        self._streams.counts[counter] += 1
        if self._transport is not None:
            self._transport.abort()

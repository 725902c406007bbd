"""Reads from connections in bounded pieces, one full piece a turn of the event loop.

The event loop by itself reads up to 256 KB at a time, and goes on reading a connection for up to 32
times while more arrives. A peer that sends at full speed what is costly to parse, such as chunks
of one byte, would keep all other connections waiting for seconds, and each connection could hold
a whole read before any limit is checked.
"""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import Callable, Iterator

from loadbalancer.core.buffer_budget import (
    COSTLY_READ_BYTES,
    MAX_PARSED_BYTES,
    MAX_READ_BYTES,
)

# All connections are read by one thread, one after the other, and each read is copied at once.
_buffer = memoryview(bytearray(MAX_READ_BYTES))


class BoundedReader(asyncio.BufferedProtocol):
    """A protocol whose `data_received` is called with bounded pieces."""

    __slots__ = ()

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Process the next bytes."""

    @abstractmethod
    def read_size(self) -> int:
        """How many bytes to read at a time at the moment, at most MAX_READ_BYTES."""

    @abstractmethod
    def transport_to_read(self) -> asyncio.Transport | None:
        """The transport; None if it is closing, or if reading waits for something else."""

    @abstractmethod
    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next turn of the event loop."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by the event loop: where to read to."""
        del sizehint  # the event loop's own choice
        return _buffer[: self.read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop after it has read."""
        # Most reads are short: they need not be compared with the size that was asked for.
        is_full = nbytes >= COSTLY_READ_BYTES and nbytes == self.read_size()
        self.data_received(bytes(_buffer[:nbytes]))
        if is_full:
            self._end_turn()

    def _end_turn(self) -> None:
        """Pause reading until the next turn, as more bytes may be waiting; others go first."""
        transport = self.transport_to_read()
        if transport is not None:
            transport.pause_reading()
            self.call_next_turn(self._continue_reading)

    def _continue_reading(self) -> None:
        transport = self.transport_to_read()
        if transport is not None:
            transport.resume_reading()


def parts_to_parse(data: bytes, is_plain_content: bool) -> Iterator[bytes]:
    """Divide bytes into parts of at most MAX_PARSED_BYTES, unless they are plain content."""
    if is_plain_content or len(data) <= MAX_PARSED_BYTES:
        yield data
        return
    for start in range(0, len(data), MAX_PARSED_BYTES):
        yield data[start : start + MAX_PARSED_BYTES]

"""Flow control: forwards long messages through bounded buffers, within one process-wide budget.

Request bodies and responses use the same type: bytes come from a source that can be paused and
go to a sink that signals when it accepts no more. A long message is never buffered as a whole.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

# Messages up to this size are buffered completely before they are forwarded.
STREAMING_THRESHOLD_BYTES = 64 << 10
MAX_MESSAGE_BYTES = 32 << 20  # largest content accepted, of a request or a response
# The most that is parsed at a time of a head or of chunks. What the parser holds is checked only
# afterwards, so this is how far it can exceed its limits.
MAX_PARSED_BYTES = 16 << 10
MIN_WINDOW_BYTES = 64 << 10  # smallest window while usage is within the soft limit
WINDOW_FRACTION = 16  # a window is the free bytes below the soft limit, divided by this
BASELINE_MB = 32  # memory of the process without message buffers, connections included
MIN_SOFT_LIMIT_BYTES = 4 << 20


class BodyReader(Protocol):
    """Reads a request body; can be paused until the budget has free capacity."""

    def resume_body(self) -> None:
        """Continue reading the body."""


class BufferBudget:
    """Counts the buffered bytes of request bodies and responses over all connections.

    While more than `soft_limit` bytes are buffered, a flow's window is zero, so that its source
    is paused after each read, and the reading of bodies that are buffered whole is paused too.
    The oldest incomplete body is never paused: if every body waited for memory used by the
    others, none would complete and all would time out.
    """

    __slots__ = ("buffered", "incomplete", "paused", "soft_limit")

    def __init__(self, memory_mb: int) -> None:
        self.soft_limit = max((memory_mb - BASELINE_MB << 20) // 2, MIN_SOFT_LIMIT_BYTES)
        self.buffered = 0
        self.paused: dict[BodyReader, None] = {}
        # Incomplete bodies that are buffered whole, without small ones; oldest first.
        self.incomplete: dict[BodyReader, None] = {}

    def window(self) -> int:
        """Bytes that a flow may buffer before its source is paused.

        The window grows with the free memory: the sooner a backend has delivered its response,
        the sooner its connection can serve other requests. With many flows the window shrinks
        to MIN_WINDOW_BYTES, and above the soft limit it is 0.
        """
        if self.buffered > self.soft_limit:
            return 0
        return max(MIN_WINDOW_BYTES, (self.soft_limit - self.buffered) // WINDOW_FRACTION)

    def pause_if_needed(self, reader: BodyReader) -> bool:
        """Pause a body if memory is short and it is not the oldest incomplete one.

        If this returns True, the caller stops reading until its `resume_body` is called.
        """
        if self.buffered <= self.soft_limit or reader not in self.incomplete:
            return False
        if reader is next(iter(self.incomplete)):
            return False
        self.paused[reader] = None
        return True

    def body_finished(self, reader: BodyReader) -> None:
        """Handle a body that is complete or discarded.

        The oldest remaining body may now always be read, and is resumed if it was paused.
        """
        self.paused.pop(reader, None)
        if self.incomplete.pop(reader, self) is None:
            oldest = next(iter(self.incomplete), None)
            if oldest is not None and oldest in self.paused:
                del self.paused[oldest]
                oldest.resume_body()

    def reserve(self, size: int) -> None:
        """Count `size` more bytes as buffered."""
        self.buffered += size

    def release(self, size: int) -> None:
        """Subtract `size` bytes; resume paused bodies once usage is within the soft limit."""
        self.buffered -= size
        if self.paused and self.buffered <= self.soft_limit:
            waiting, self.paused = self.paused, {}
            for reader in waiting:
                reader.resume_body()


class Source(Protocol):
    """The connection from which the bytes of a flow are read."""

    def pause_flow(self) -> None:
        """Stop reading until `resume_flow` is called."""

    def resume_flow(self) -> None:
        """Continue reading."""


class Sink(Protocol):
    """The connection to which the bytes of a flow are written."""

    def flow_write(self, data: bytes) -> None:
        """Write the next bytes."""

    def flow_end(self) -> None:
        """Finish the message: every byte has been passed to `flow_write`."""


class Flow:
    """One long message on its way from its source to its sink.

    While it has no sink, or one that accepts no more bytes, it buffers one window and then
    pauses its source. `forwarded` is set once bytes have been passed to a sink: they are no
    longer buffered, so the message cannot be sent a second time. `complete` is set once the
    source has delivered its last byte.
    """

    __slots__ = (
        "_blocked", "_budget", "_chunks", "_sink", "_source", "buffered", "complete", "forwarded",
        "paused",
    )  # fmt: skip

    def __init__(self, budget: BufferBudget, source: Source) -> None:
        self._budget = budget
        self._source: Source | None = source
        self._sink: Sink | None = None
        self._chunks: deque[bytes] = deque()
        self._blocked = False
        self.paused = False  # whether the source is paused; changed only by this class
        self.buffered = 0
        self.forwarded = False
        self.complete = False

    def push(self, data: bytes) -> None:
        """Accept the next bytes from the source; drops them after `discard`."""
        if self._source is None:
            return
        self._chunks.append(data)
        self.buffered += len(data)
        self._budget.reserve(len(data))
        self._forward()
        if not self.paused and self.buffered > self._budget.window():
            self.paused = True
            self._source.pause_flow()

    def finish(self) -> None:
        """Mark the message complete and release its source."""
        self.complete = True
        source, self._source = self._source, None
        self._resume(source)
        self._forward()

    def attach(self, sink: Sink) -> None:
        """Set the sink and forward the buffered bytes to it."""
        self._sink = sink
        self._blocked = False
        self._forward()

    def detach(self, sink: Sink) -> None:
        """Remove a closed sink. Another may be attached if nothing has been forwarded."""
        if self._sink is sink:
            self._sink = None

    def block(self) -> None:
        """Stop writing to the sink until `unblock` is called."""
        self._blocked = True

    def unblock(self) -> None:
        """Continue writing to the sink."""
        self._blocked = False
        self._forward()

    def discard(self) -> None:
        """Drop the message: free its buffer, forward nothing more and let the source read on."""
        self._sink = None
        self._chunks.clear()
        buffered, self.buffered = self.buffered, 0
        source, self._source = self._source, None
        self._budget.release(buffered)
        self._resume(source)

    def _resume(self, source: Source | None) -> None:
        if self.paused and source is not None:
            self.paused = False
            source.resume_flow()

    def _forward(self) -> None:
        chunks = self._chunks
        while chunks and self._sink is not None and not self._blocked:
            data = chunks.popleft()
            self.buffered -= len(data)
            self._sink.flow_write(data)
            self.forwarded = True
            self._budget.release(len(data))
        if self.complete and not chunks and self._sink is not None and not self._blocked:
            sink, self._sink = self._sink, None
            sink.flow_end()
        elif self.paused and self._source is not None:
            # Resume only once half the window is free; otherwise the source would be paused and
            # resumed with each write.
            if 2 * self.buffered <= self._budget.window():
                self.paused = False
                self._source.resume_flow()

"""Flow control: long messages in bounded windows, within one budget for the process.

One type for both directions: bytes come from a source that can be paused and go to a
sink that says when it accepts no more. No copy of a whole long message is retained.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

STREAMING_THRESHOLD_BYTES = 64 << 10  # a message up to this size is forwarded in one piece
MAX_MESSAGE_BYTES = 32 << 20  # of any message's content
MIN_WINDOW_BYTES = 64 << 10  # buffered between source and sink while the budget has capacity
WINDOW_FRACTION = 16  # a window is one in so many of the bytes that the budget has free
BASELINE_MB = 32  # memory of the program itself, connections included
MIN_SOFT_LIMIT_BYTES = 4 << 20


class BodyReader(Protocol):
    """Reads a body, and can wait for the budget to have capacity again."""

    def resume_body(self) -> None:
        """Read on."""


class BufferBudget:
    """Bytes of request bodies and responses buffered, over all connections.

    Above `soft_limit` windows shrink to one read, and reading a short body is paused.
    The oldest incomplete body is never paused: with every body waiting for the memory
    of the others none would complete, and all would run into their timeouts.
    """

    __slots__ = ("buffered", "incomplete", "paused", "soft_limit")

    def __init__(self, memory_mb: int) -> None:
        self.soft_limit = max((memory_mb - BASELINE_MB << 20) // 2, MIN_SOFT_LIMIT_BYTES)
        self.buffered = 0
        self.paused: dict[BodyReader, None] = {}
        self.incomplete: dict[BodyReader, None] = {}  # larger bodies, oldest first

    def window(self) -> int:
        """Bytes that a flow may buffer before its source is paused.

        A fraction of what is free: the sooner a backend has delivered its response, the
        sooner its connection serves other requests. With many flows each comes down to
        MIN_WINDOW_BYTES, and to 0 above the soft limit.
        """
        if self.buffered > self.soft_limit:
            return 0
        return max(MIN_WINDOW_BYTES, (self.soft_limit - self.buffered) // WINDOW_FRACTION)

    def pause_if_needed(self, reader: BodyReader) -> bool:
        """Note a body that has to wait; if True, `resume_body` is called when it may go on."""
        if self.buffered <= self.soft_limit or reader not in self.incomplete:
            return False
        if reader is next(iter(self.incomplete)):
            return False
        self.paused[reader] = None
        return True

    def body_finished(self, reader: BodyReader) -> None:
        """A body is complete or dropped: the next oldest is the one that may always grow."""
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
        """Count `size` bytes as buffered no longer, and resume the bodies that waited."""
        self.buffered -= size
        if self.paused and self.buffered <= self.soft_limit:
            waiting, self.paused = self.paused, {}
            for reader in waiting:
                reader.resume_body()


class Source(Protocol):
    """Where the bytes of a flow come from."""

    def pause_flow(self) -> None:
        """Read no more until `resume_flow`."""

    def resume_flow(self) -> None:
        """Read on."""


class Sink(Protocol):
    """Where the bytes of a flow go to."""

    def flow_write(self, data: bytes) -> None:
        """The next bytes."""

    def flow_end(self) -> None:
        """All bytes have been given to `flow_write`."""


class Flow:
    """One long message between its source and its sink.

    Without a sink yet, or with one that accepts no more, it buffers a window and pauses
    its source. `forwarded`: bytes have gone to a sink and are buffered no longer, so the
    message can't be sent a second time. `complete`: the source has given its last byte.
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
        self.paused = False  # the source is; written here alone
        self.buffered = 0
        self.forwarded = False
        self.complete = False

    def push(self, data: bytes) -> None:
        """The next bytes from the source; dropped after `discard`."""
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
        """The source has given everything, and is free for other work."""
        self.complete = True
        source, self._source = self._source, None
        self._resume(source)
        self._forward()

    def attach(self, sink: Sink) -> None:
        """Forward to this sink from now on."""
        self._sink = sink
        self._blocked = False
        self._forward()

    def detach(self, sink: Sink) -> None:
        """This sink is closed; another may follow if nothing has been forwarded."""
        if self._sink is sink:
            self._sink = None

    def block(self) -> None:
        """The sink accepts no more until `unblock`."""
        self._blocked = True

    def unblock(self) -> None:
        """The sink accepts bytes again."""
        self._blocked = False
        self._forward()

    def discard(self) -> None:
        """Give the message up: nothing is buffered or forwarded any more, the source reads on."""
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
            # Not before half the window is free, or each write would pause and resume it.
            if 2 * self.buffered <= self._budget.window():
                self.paused = False
                self._source.resume_flow()

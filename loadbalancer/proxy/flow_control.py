"""Flow control: forwards long messages through bounded buffers, within one process-wide budget.

Request bodies and responses use the same type: bytes come from a source that can be paused and
go to a sink that signals when it accepts no more. A long message is never buffered as a whole.
"""

from __future__ import annotations

from collections import deque
from collections.abc import MutableSequence
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.core.buffer_budget import BufferBudget

MAX_MESSAGE_BYTES = 32 << 20  # largest content accepted, of a request or a response
SMALL_PIECE_BYTES = 1 << 10  # smaller pieces of content are joined
JOINED_PIECE_BYTES = 16 << 10  # size from which a joined piece is not extended


def append_piece(pieces: MutableSequence[bytes], data: bytes) -> None:
    """Append content to its pieces; joins small ones.

    Content in chunks of a few bytes would otherwise take many times its size: an object for each.
    """
    if len(data) >= SMALL_PIECE_BYTES:
        pieces.append(data)
        return
    last = pieces[-1] if pieces else None
    if last is None or len(last) >= JOINED_PIECE_BYTES:
        pieces.append(data)
    elif isinstance(last, bytearray):
        last += data
    else:
        pieces[-1] = bytearray(last)
        pieces[-1] += data


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

    Bytes that the sink has taken and can't write yet count as buffered in the budget, as they are
    in this process's memory.

    While it has no sink, or one that accepts no more bytes, it buffers one window and then
    pauses its source. `forwarded` is set once bytes have been passed to a sink: they are no
    longer buffered, so the message cannot be sent a second time. `complete` is set once the
    source has delivered its last byte.
    """

    __slots__ = (
        "_blocked", "_budget", "_chunks", "_sink", "_source", "_unsent", "buffered", "complete",
        "forwarded", "paused",
    )  # fmt: skip

    def __init__(self, budget: BufferBudget, source: Source) -> None:
        self._budget = budget
        self._source: Source | None = source
        self._sink: Sink | None = None
        self._chunks: deque[bytes] = deque()
        self._blocked = False
        self._unsent = 0  # bytes of the last write that its sink can't write yet
        self.paused = False  # whether the source is paused; changed only by this class
        self.buffered = 0
        self.forwarded = False
        self.complete = False

    def push(self, data: bytes) -> None:
        """Accept the next bytes from the source; drops them after `discard`."""
        if self._source is None:
            return
        append_piece(self._chunks, data)
        self.buffered += len(data)
        self._budget.reserve_flow(len(data))
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

    def attach(self, sink: Sink, is_blocked: bool = False) -> None:
        """Set the sink and forward the buffered bytes to it, once it is not blocked."""
        self._sink = sink
        self._blocked = is_blocked
        self._release_unsent()
        self._forward()

    def detach(self, sink: Sink) -> None:
        """Remove a closed sink. Another may be attached if nothing has been forwarded."""
        if self._sink is sink:
            self._sink = None
            self._release_unsent()

    def block(self) -> None:
        """Stop writing to the sink until `unblock` is called."""
        self._blocked = True

    def unblock(self) -> None:
        """Continue writing to the sink."""
        self._blocked = False
        self._release_unsent()
        self._forward()

    def _release_unsent(self) -> None:
        unsent, self._unsent = self._unsent, 0
        if unsent:
            self._budget.release_flow(unsent)

    def discard(self) -> None:
        """Drop the message: free its buffer, forward nothing more and let the source read on."""
        self._sink = None
        self._chunks.clear()
        buffered, self.buffered = self.buffered, 0
        source, self._source = self._source, None
        self._budget.release_flow(buffered)
        self._release_unsent()
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
            if self._blocked:
                self._unsent += len(data)
            else:
                self._budget.release_flow(len(data))
        if self.complete and not chunks and self._sink is not None and not self._blocked:
            sink, self._sink = self._sink, None
            sink.flow_end()
        elif self.paused and self._source is not None:
            # Resume only once half the window is free; otherwise the source would be paused and
            # resumed with each write.
            if 2 * self.buffered <= self._budget.window():
                self.paused = False
                self._source.resume_flow()

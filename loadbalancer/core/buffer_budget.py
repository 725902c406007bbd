"""Which messages are buffered, and how far each is read, within the account of memory; no I/O.

A short message is buffered whole, so that it may be sent again. A long one is forwarded in windows.
Which of the two a message is, how large a read and a window are, and whose reading waits follows
from what is free.
"""

from __future__ import annotations

import itertools
from typing import Protocol

from loadbalancer.core.memory_account import REQUEST_BYTES, Holder, MemoryAccount

# Messages up to this size are buffered completely before they are forwarded.
STREAMING_THRESHOLD_BYTES = 64 << 10
MIN_WINDOW_BYTES = 64 << 10  # smallest window while usage is within the soft limit
WINDOW_FRACTION = 16  # a window is the free bytes below the soft limit, divided by this
MAX_WAITING_BYTES = 16 << 10  # read behind an open request, above which reading is paused

# Sizes of reads.
MAX_READ_BYTES = 64 << 10  # of content that needs no parsing
# Of what is parsed. The limits of what a parser may hold are checked after each read, so this is
# how far it can exceed them.
MAX_PARSED_BYTES = 16 << 10
SHORT_READ_BYTES = 4 << 10  # while more than the soft limit is buffered
# Of content in many small chunks, each of which takes time to parse; the smallest size of a read.
COSTLY_READ_BYTES = 2 << 10


class BodyReader(Protocol):
    """Reads a request body; can be paused until the budget has free capacity."""

    def resume_body(self) -> None:
        """Continue reading the body."""

    def missing_bytes(self) -> int:
        """The bytes of the body that its head has declared and that have not been read yet."""


class BufferBudget(MemoryAccount):
    """The account of memory, with the request bodies that wait for it.

    While more than `soft_limit` bytes are buffered, a flow's window is zero, so that its source
    is paused after each read, and the reading of bodies that are buffered whole is paused too.
    Small bodies are never paused, and the oldest incomplete one only while flows alone exceed the
    limit: if every body waited for memory used by the others, none would complete and all would
    time out. Flows free their memory by themselves. Without that condition one body after the
    other would become the oldest, be read and wait as a flow for a backend.
    """

    __slots__ = ("incomplete", "paused")

    def __init__(self, memory_mb: int, descriptors: int = 1) -> None:
        super().__init__(memory_mb, descriptors)
        self.paused: dict[BodyReader, None] = {}
        # Incomplete bodies that are buffered whole, without small ones; oldest first.
        self.incomplete: dict[BodyReader, None] = {}

    def promised_bytes(self) -> int:
        """The bytes that are still to come of bodies that are buffered whole.

        The oldest of them is always read on, so all of them come in the end, whatever is held.
        """
        return sum(reader.missing_bytes() for reader in self.incomplete)

    @property
    def flows(self) -> int:
        """The bytes of flows."""
        return self.held[Holder.FLOWS]

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
        if reader is next(iter(self.incomplete)) and self.flows <= self.soft_limit:
            return False
        self.paused[reader] = None
        return True

    def body_finished(self, reader: BodyReader) -> None:
        """Handle a body that is complete or discarded.

        The oldest remaining body may now always be read, and is resumed if it was paused.
        """
        self.paused.pop(reader, None)
        if self.incomplete.pop(reader, self) is None:
            self._resume_oldest()

    def _resume_oldest(self) -> None:
        """Resume the oldest incomplete body, unless flows alone exceed the limit."""
        oldest = next(iter(self.incomplete), None)
        if oldest is not None and oldest in self.paused and self.flows <= self.soft_limit:
            del self.paused[oldest]
            oldest.resume_body()

    def release(self, holder: Holder, size: int) -> None:
        """Subtract `size` bytes; resume paused bodies once usage is within the soft limit."""
        self.held[holder] -= size
        self.buffered -= size
        if self.paused:
            self.resume_paused()

    def release_request(self, head_bytes: int) -> None:
        """Subtract a request that is forgotten; 0 for one that was not counted."""
        if head_bytes:
            self.reserve(Holder.REQUESTS, -REQUEST_BYTES)
            self.release(Holder.REQUEST_HEADS, head_bytes)

    def read_size(self, is_plain_content: bool) -> int:
        """How many bytes of a connection to read at a time.

        Args:
            is_plain_content: whether content is read that is not in chunks.
        """
        if self.is_exceeded():
            return SHORT_READ_BYTES
        return MAX_READ_BYTES if is_plain_content else MAX_PARSED_BYTES

    def is_long_request(self, length: int, size: int) -> bool:
        """Whether so much of a request's content has come that it is forwarded as it comes.

        If its length says that it is long, it is so once it is no longer small. Otherwise hundreds
        of clients that send long content slowly would have up to the threshold buffered each.

        Args:
            length: as declared by the head, in bytes; 0 if it is not known.
            size: of the content that has been read.
        """
        if size > STREAMING_THRESHOLD_BYTES:
            return True
        return length > STREAMING_THRESHOLD_BYTES and size > self.small_content_bytes

    def is_long_response(self, length: int, size: int, may_be_retried: bool) -> bool:
        """Whether a response is streamed as it comes, by its size or for lack of memory.

        Args:
            length: as declared by the head, in bytes; negative if it is not known.
            size: of the content that has been read.
            may_be_retried: whether another attempt may still bring a complete response.
        """
        if max(length, size) > STREAMING_THRESHOLD_BYTES:
            return True
        return not may_be_retried and self.is_exceeded() and size > self.small_content_bytes

    def may_read_ahead(self, waiting_bytes: int) -> bool:
        """Whether more may be read behind an open request, where so many bytes wait already.

        Without this, each client could have as many requests buffered as may be queued, however
        little memory is free.
        """
        return waiting_bytes <= (0 if self.is_exceeded() else MAX_WAITING_BYTES)

    def resume_paused(self) -> None:
        """Resume paused bodies if usage is within the soft limit.

        Only as many are resumed as can each be read once. If all were, hundreds of them would
        exceed the limit by a read each. This is called regularly too: the clients of those
        resumed may send nothing more, and no byte would be released for the others.
        """
        if self.buffered <= self.soft_limit:
            count = (self.soft_limit - self.buffered) // MAX_PARSED_BYTES + 1
            for reader in list(itertools.islice(self.paused, count)):
                del self.paused[reader]
                reader.resume_body()

    def reserve_flow(self, size: int) -> None:
        """Count `size` more bytes as buffered by a flow."""
        self.reserve(Holder.FLOWS, size)

    def release_flow(self, size: int) -> None:
        """Subtract `size` bytes of a flow; resume paused bodies as `release` does."""
        self.release(Holder.FLOWS, size)
        if self.paused:
            self._resume_oldest()

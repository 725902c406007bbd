"""Long messages in bounded windows, and the bytes that the whole process holds.

One type for both directions: bytes come from a source that can be told to pause and
go to a sink that says when it takes no more. No copy of a whole message is kept.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

WHOLE = 64 << 10  # bytes of a message that is passed on in one piece
MOST = 32 << 20  # of any message
WINDOW = 64 << 10  # of one held between its source and its sink, at the least
ROOM_PART = 16  # one in so many of the bytes that may still be held
BASE_MB = 32  # what the program itself takes, connections included


class Reader(Protocol):
    """Whoever reads a body, and can wait for room to read on."""

    def resume_body(self) -> None: ...


class Budget:
    """Bytes of bodies and answers held, over all connections.

    Above `soft` windows shrink to one read, and reading a short body is paused, but
    for the oldest unfinished one: it may always grow, so bodies never wait for one another.
    """

    __slots__ = ("held", "paused", "soft", "unfinished")

    def __init__(self, memory_mb: int) -> None:
        self.soft = max((memory_mb - BASE_MB << 20) // 2, 4 << 20)
        self.held = 0
        self.paused: dict[Reader, None] = {}
        self.unfinished: dict[Reader, None] = {}  # larger bodies, oldest first

    def window(self) -> int:
        """What a flow may hold before its source pauses.

        While there is room, a part of it: the sooner a server has given its answer, the
        sooner its connection serves others. With many flows each comes down to WINDOW.
        """
        return max(WINDOW, (self.soft - self.held) // ROOM_PART) if self.held <= self.soft else 0

    def must_pause(self, conn: Reader) -> bool:
        """Whether a body is to wait; if so resume_body tells when there is room."""
        if self.held <= self.soft or conn not in self.unfinished:
            return False
        if conn is next(iter(self.unfinished)):
            return False
        self.paused[conn] = None
        return True

    def finished(self, conn: Reader) -> None:
        """A body is whole or given up: the next oldest may always grow."""
        self.paused.pop(conn, None)
        if self.unfinished.pop(conn, self) is None:
            oldest = next(iter(self.unfinished), None)
            if oldest is not None and oldest in self.paused:
                del self.paused[oldest]
                oldest.resume_body()

    def take(self, size: int) -> None:
        self.held += size

    def give(self, size: int) -> None:
        self.held -= size
        if self.paused and self.held <= self.soft:
            waiting, self.paused = self.paused, {}
            for conn in waiting:
                conn.resume_body()


class Source(Protocol):
    def pause_flow(self) -> None: ...
    def resume_flow(self) -> None: ...


class Sink(Protocol):
    def flow_write(self, data: bytes) -> None: ...
    def flow_end(self) -> None: ...


class Flow:
    """One long message on its way.

    Without a sink yet, or with one that takes no more, it holds a window and pauses
    its source. `moved` tells that bytes have left: they are held no longer.
    """

    __slots__ = ("_blocked", "_budget", "_chunks", "_paused", "_sink", "_source", "held", "moved",
                 "whole")  # fmt: skip

    def __init__(self, budget: Budget, source: Source) -> None:
        self._budget = budget
        self._source: Source | None = source
        self._sink: Sink | None = None
        self._chunks: deque[bytes] = deque()
        self._blocked = False
        self._paused = False
        self.held = 0
        self.moved = False
        self.whole = False  # the source has given its last byte

    @property
    def paused(self) -> bool:
        return self._paused

    def push(self, data: bytes) -> None:
        """The next bytes from the source."""
        if self._source is None:
            return  # dropped: what still comes is nobody's
        self._chunks.append(data)
        self.held += len(data)
        self._budget.take(len(data))
        self._move()
        if not self._paused and self.held > self._budget.window():
            self._paused = True
            self._source.pause_flow()

    def finish(self) -> None:
        """The source has given everything, and is free for other work."""
        self.whole = True
        source, self._source = self._source, None
        if self._paused and source is not None:
            self._paused = False
            source.resume_flow()
        self._move()

    def attach(self, sink: Sink) -> None:
        """Where the bytes go from now on."""
        self._sink = sink
        self._blocked = False
        self._move()

    def detach(self, sink: Sink) -> None:
        """This sink is of no more use; another may follow if nothing has moved."""
        if self._sink is sink:
            self._sink = None

    def block(self) -> None:
        """The sink takes no more for now."""
        self._blocked = True

    def unblock(self) -> None:
        self._blocked = False
        self._move()

    def drop(self) -> None:
        """Give it up: nothing is held or passed on any more, and the source may read on."""
        source, self._source = self._source, None
        self._sink = None
        self._chunks.clear()
        held, self.held = self.held, 0
        self._budget.give(held)
        if self._paused and source is not None:
            self._paused = False
            source.resume_flow()

    def _move(self) -> None:
        chunks = self._chunks
        while chunks and self._sink is not None and not self._blocked:
            data = chunks.popleft()
            self.held -= len(data)
            self._sink.flow_write(data)
            self.moved = True
            self._budget.give(len(data))
        if self.whole and not chunks and self._sink is not None and not self._blocked:
            sink, self._sink = self._sink, None
            sink.flow_end()
        elif self._paused and self._source is not None and 2 * self.held <= self._budget.window():
            self._paused = False
            self._source.resume_flow()

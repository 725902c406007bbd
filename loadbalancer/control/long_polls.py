"""Long polls: the polls of one host that wait for an answer, one a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeVar

from loadbalancer.sources.watchers import Watcher

T = TypeVar("T")


class _Waiting(NamedTuple, Generic[T]):
    poll: T
    timer: asyncio.TimerHandle


class LongPolls(Generic[T]):
    """Waiting polls by connection, each with what its host has to know of it to answer it."""

    def __init__(self, on_timeout: Callable[[Watcher], None]) -> None:
        """`on_timeout` gets the connection of a poll that has waited for its time."""
        self._on_timeout = on_timeout
        self._waiting: dict[Watcher, _Waiting[T]] = {}

    def __len__(self) -> int:
        """How many polls wait."""
        return len(self._waiting)

    def __contains__(self, watcher: Watcher) -> bool:
        """Whether a poll of this connection waits."""
        return watcher in self._waiting

    def __iter__(self) -> Iterator[Watcher]:
        """The connections of all polls; those that are taken meanwhile do no harm."""
        return iter([*self._waiting])

    def items(self) -> list[tuple[Watcher, T]]:
        """Connections and polls."""
        return [(watcher, waiting.poll) for watcher, waiting in self._waiting.items()]

    def add(self, watcher: Watcher, poll: T, timeout_s: float) -> None:
        """Let a connection's poll wait for at most this time; it replaces an earlier one.

        Failure: the earlier poll's timer stays armed, and answers the newer poll before its time.
        The earlier one is taken first, which cancels its timer.
        """
        self.take(watcher)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self._on_timeout, watcher)
        self._waiting[watcher] = _Waiting(poll, timer)

    def take(self, watcher: Watcher) -> T | None:
        """The connection's poll, which waits no longer; None where none waited."""
        waiting = self._waiting.pop(watcher, None)
        if waiting is None:
            return None
        waiting.timer.cancel()
        return waiting.poll

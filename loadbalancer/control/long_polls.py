"""Pending long polls of one server, at most one for each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeVar

from loadbalancer.sources.watchers import Watcher

T = TypeVar("T")


class _PendingPoll(NamedTuple, Generic[T]):
    poll: T
    timer: asyncio.TimerHandle


class LongPolls(Generic[T]):
    """Pending polls by connection, each with the request data that is needed to answer it."""

    def __init__(self, on_timeout: Callable[[Watcher], None]) -> None:
        """`on_timeout` is called with the connection of a poll whose timeout has elapsed."""
        self._on_timeout = on_timeout
        self._pending: dict[Watcher, _PendingPoll[T]] = {}

    def __len__(self) -> int:
        """Return the number of pending polls."""
        return len(self._pending)

    def __contains__(self, watcher: Watcher) -> bool:
        """Return whether this connection has a pending poll."""
        return watcher in self._pending

    def __iter__(self) -> Iterator[Watcher]:
        """Iterate over a copy of the connections, so that polls may be removed meanwhile."""
        return iter([*self._pending])

    def items(self) -> list[tuple[Watcher, T]]:
        """Return all connections with their pending polls."""
        return [(watcher, pending.poll) for watcher, pending in self._pending.items()]

    def add(self, watcher: Watcher, poll: T, timeout_s: float) -> None:
        """Add a connection's poll and arm its timer, replacing an earlier poll.

        The earlier poll is removed first, which cancels its timer: left armed, that timer would
        answer the newer poll before its timeout.
        """
        self.pop(watcher)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self._on_timeout, watcher)
        self._pending[watcher] = _PendingPoll(poll, timer)

    def pop(self, watcher: Watcher) -> T | None:
        """Remove and return the connection's pending poll, or None if it has none."""
        pending = self._pending.pop(watcher, None)
        if pending is None:
            return None
        pending.timer.cancel()
        return pending.poll

"""A limit on the lines that all readers of a list service request together; no I/O, no clock.

Times are in nanoseconds. The limit holds over any period of one second, not only over seconds of
the clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from loadbalancer.core.balancing.model import SECOND


class Reservation(NamedTuple):
    """Lines that were requested, or returned, at a time (ns)."""

    at: int
    lines: int


class LineLimiter:
    """A sliding-window limit on lines, shared by several readers."""

    __slots__ = ("_reserved", "_reserved_lines", "lines_per_second")

    def __init__(self, lines_per_second: int) -> None:
        if lines_per_second < 1:
            raise ValueError("a reader needs at least one line a second")
        self.lines_per_second = lines_per_second
        self._reserved: deque[Reservation] = deque()  # the oldest first
        self._reserved_lines = 0

    def delay(self, now: int, lines: int) -> int:
        """How long until so many lines may be requested, ns; at most until the limit is unused."""
        self._expire(now)
        free = self.lines_per_second - self._reserved_lines
        needed = min(lines, self.lines_per_second)
        if needed <= free:
            return 0
        for reservation in self._reserved:
            free += reservation.lines
            if needed <= free:
                return max(self._expires_at(reservation) - now, 1)
        return SECOND

    def reserve(self, now: int, lines: int) -> Reservation:
        """Reserve lines; the reservation is for `settle`."""
        reservation = Reservation(now, lines)
        self._reserved.append(reservation)
        self._reserved_lines += lines
        return reservation

    def settle(self, now: int, reservation: Reservation, lines: int) -> None:
        """Replace a reservation by the lines that were returned, which count from now on."""
        if reservation in self._reserved:
            self._reserved.remove(reservation)
            self._reserved_lines -= reservation.lines
        self.reserve(now, lines)

    def _expires_at(self, reservation: Reservation) -> int:
        """When it no longer counts: after as many seconds as its lines are allowed in."""
        seconds = max(-(-reservation.lines // self.lines_per_second), 1)
        return reservation.at + SECOND * seconds

    def _expire(self, now: int) -> None:
        while self._reserved and self._expires_at(self._reserved[0]) <= now:
            self._reserved_lines -= self._reserved.popleft().lines

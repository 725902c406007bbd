"""Limits the lines per second that all readers of a list service request; no I/O, no clock.

A line is one server in an answer of the list service. The limit holds for every period of one
second, not only for seconds of the clock. Times are in nanoseconds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from loadbalancer.core.balancing.model import SECOND


class Reservation(NamedTuple):
    """Lines that were requested or returned, which count from a time (ns) on."""

    counted_from: int
    lines: int


class LineLimiter:
    """A sliding-window limit on lines, shared by several readers."""

    __slots__ = ("_reserved", "_reserved_lines", "lines_per_second")

    def __init__(self, lines_per_second: int) -> None:
        if lines_per_second < 1:
            raise ValueError("the limit must be at least one line a second")
        self.lines_per_second = lines_per_second
        self._reserved: deque[Reservation] = deque()  # oldest first
        self._reserved_lines = 0

    def delay(self, now: int, lines: int) -> int:
        """How long until `lines` lines may be requested, ns.

        More lines than the limit may be requested once no other lines count.
        """
        self._expire(now)
        free_lines = self.lines_per_second - self._reserved_lines
        needed = min(lines, self.lines_per_second)
        if needed <= free_lines:
            return 0
        for reservation in self._reserved:
            free_lines += reservation.lines
            if needed <= free_lines:
                return max(self._expires_at(reservation) - now, 1)
        return SECOND

    def reserve(self, now: int, lines: int) -> Reservation:
        """Reserve lines for a request; pass the reservation to `settle` once it has ended."""
        reservation = Reservation(now, lines)
        self._reserved.append(reservation)
        self._reserved_lines += lines
        return reservation

    def settle(self, now: int, reservation: Reservation, lines: int) -> None:
        """Replace a reservation with the lines that were returned, which count from `now` on."""
        if reservation in self._reserved:
            self._reserved.remove(reservation)
            self._reserved_lines -= reservation.lines
        self.reserve(now, lines)

    def _expires_at(self, reservation: Reservation) -> int:
        """When a reservation stops counting: after the seconds that its lines take at the limit."""
        seconds = max(-(-reservation.lines // self.lines_per_second), 1)
        return reservation.counted_from + SECOND * seconds

    def _expire(self, now: int) -> None:
        while self._reserved and self._expires_at(self._reserved[0]) <= now:
            self._reserved_lines -= self._reserved.popleft().lines

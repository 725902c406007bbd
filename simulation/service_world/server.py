"""One server: its workers' queue, its capacity, and how far it has warmed up."""

from __future__ import annotations

import heapq
from collections import deque
from random import Random

from simulation.service_world.settings import (
    COLD_RULES,
    MEAN_SERVICE_TIME,
    SERVER_CAPACITY,
    WORKERS,
)

TOLERATED_DEVIATIONS = 3  # standard deviations of arrivals above the mean that a cold server bears
TOLERATED_ARRIVALS = 3  # and so many more


class Server:
    """A silent server accepts attempts and answers none; one that is down refuses connections."""

    def __init__(self) -> None:
        self.silent = False
        self.down = False
        self.slowdown = 1  # factor on its service times
        self.capacity = SERVER_CAPACITY
        self.in_flight = 0
        self.max_in_flight = 0  # the most that it ever had
        self.drain_notified_at: dict[int, int] = {}  # by node
        self.started_at = 0  # 0 for long ago
        self._free_at = [0] * WORKERS  # a heap: when each worker has done what it was given
        self._arrivals: deque[int] = deque()  # within the rule's window, while warming up

    def restart(self, now: int) -> None:
        """Start it anew, cold."""
        self.started_at = now
        self.down = False
        self._arrivals.clear()

    def accept(self) -> None:
        """Count an attempt as in flight."""
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)

    def warmth(self, now: int) -> float:
        """The part of its full speed that it has reached, in (0, 1]."""
        if not self.started_at:
            return 1.0
        warmed_up = (now - self.started_at) / COLD_RULES.cold
        return min(COLD_RULES.cold_from + (1.0 - COLD_RULES.cold_from) * warmed_up, 1.0)

    def is_overwhelmed(self, now: int) -> bool:
        """Note an arrival; whether it is one too many for a server as cold as this."""
        warmth = self.warmth(now)
        if warmth >= 1.0:
            return False
        self._arrivals.append(now)
        while self._arrivals[0] <= now - COLD_RULES.fall:
            self._arrivals.popleft()
        expected = COLD_RULES.fall_multiple * warmth * WORKERS * COLD_RULES.fall / MEAN_SERVICE_TIME
        bearable = expected + TOLERATED_DEVIATIONS * expected**0.5 + TOLERATED_ARRIVALS
        return bool(len(self._arrivals) > bearable)

    def work(self, now: int, random: Random) -> int:
        """Queue an attempt at the worker that is free first; returns when it is done.

        Service times are drawn evenly from half to one and a half of the mean.
        """
        slowdown = self.slowdown / self.warmth(now)
        service_time = int(MEAN_SERVICE_TIME * slowdown * (0.5 + random.random()))
        done_at = max(now, heapq.heappop(self._free_at)) + service_time
        heapq.heappush(self._free_at, done_at)
        return done_at

"""Limits on how many servers are drained on the sources' reports alone; times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core.balancing.model import SECOND


@dataclass(frozen=True, slots=True)
class MergeLimits:
    """Limits on the changes that sources' reports alone make to the merged list.

    Attributes:
        max_drained_fraction: the fraction of the present pool that may be drained within
            `window_ns`, but at least one server.
        window_ns: the time to which `max_drained_fraction` refers.
        max_unconfirmed_fraction: the fraction of the pool that may at any one time be drained on
            health checks that no attempt confirms, but at least one server.
        empty_confirm_ns: how long a source must repeat an empty list before it is applied.
        drain_ns: how long a deregistered server drains before it is listed as removed.
        flap_threshold: the penalty from which a server is flapping (see `flap_detector`).
        flap_half_life_ns: the half-life of that penalty.
    """

    max_drained_fraction: float = 0.2
    window_ns: int = 30 * SECOND
    max_unconfirmed_fraction: float = 0.25
    empty_confirm_ns: int = 60 * SECOND
    drain_ns: int = 2 * SECOND
    flap_threshold: float = 4.0
    flap_half_life_ns: int = 30 * SECOND


class DepartureLimiter:
    """Limits departures by a leaky bucket that counts the servers drained on reports alone.

    Its capacity depends on the size of the present pool, which is passed to each call.
    """

    __slots__ = ("_drained_count", "_leaked_until", "_limits")

    def __init__(self, limits: MergeLimits) -> None:
        self._limits = limits
        self._drained_count = 0.0  # servers drained, minus those that have leaked out
        self._leaked_until = 0

    def leak(self, now: int, pool_size: int) -> None:
        """Let the bucket leak at the rate that empties a full one in `window_ns`."""
        leaked = self._capacity(pool_size) * (now - self._leaked_until) / self._limits.window_ns
        self._drained_count = max(self._drained_count - max(leaked, 0.0), 0.0)
        self._leaked_until = now

    def has_capacity(self, pool_size: int) -> bool:
        """Whether one more server may be drained now."""
        return self._drained_count + 1.0 <= self._capacity(pool_size)

    def count_departure(self) -> None:
        """Count one more server drained on reports alone."""
        self._drained_count += 1.0

    def allows_unconfirmed(self, unconfirmed_count: int, pool_size: int) -> bool:
        """Whether beside `unconfirmed_count` servers one more may be drained on checks alone."""
        return unconfirmed_count + 1 <= max(self._limits.max_unconfirmed_fraction * pool_size, 1.0)

    def _capacity(self, pool_size: int) -> float:
        return max(self._limits.max_drained_fraction * pool_size, 1.0)

"""How many servers may be drained on the sources' reports alone; times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core.balancing.model import SECOND


@dataclass(frozen=True, slots=True)
class MergeLimits:
    """Limits on what sources' reports alone change in the merged list.

    Attributes:
        max_drained_part: of the present pool, drained within a window; at least one server.
        window_ns: of `max_drained_part`.
        max_unconfirmed_part: of the pool, drained at any one time on health checks that no
            attempt confirms; at least one server.
        empty_confirm_ns: how long an empty list is repeated until it is believed.
        drain_ns: from the drain of a deregistered server until it is listed as removed.
        flap_threshold: changes of health, decaying, from which a server is flapping.
        flap_half_life_ns: in which changes of health lose half of their count.
    """

    max_drained_part: float = 0.2
    window_ns: int = 30 * SECOND
    max_unconfirmed_part: float = 0.25
    empty_confirm_ns: int = 60 * SECOND
    drain_ns: int = 2 * SECOND
    flap_threshold: float = 4.0
    flap_half_life_ns: int = 30 * SECOND


class DepartureLimiter:
    """A leaky bucket of the servers drained on reports alone.

    Its capacity follows the size of the present pool, which each call is given.
    """

    __slots__ = ("_leaked_at", "_level", "_limits")

    def __init__(self, limits: MergeLimits) -> None:
        self._limits = limits
        self._level = 0.0  # servers drained, less what has leaked
        self._leaked_at = 0

    def leak(self, now: int, pool_size: int) -> None:
        """Let the bucket leak at the rate that empties a full one in a window."""
        leaked = self._capacity(pool_size) * (now - self._leaked_at) / self._limits.window_ns
        self._level = max(self._level - max(leaked, 0.0), 0.0)
        self._leaked_at = now

    def has_capacity(self, pool_size: int) -> bool:
        """Whether one more server may be drained now."""
        return self._level + 1.0 <= self._capacity(pool_size)

    def count_departure(self) -> None:
        """One more server is drained on reports alone."""
        self._level += 1.0

    def allows_unconfirmed(self, unconfirmed: int, pool_size: int) -> bool:
        """Whether, beside these, one more may be drained on health checks alone."""
        return unconfirmed + 1 <= max(self._limits.max_unconfirmed_part * pool_size, 1.0)

    def _capacity(self, pool_size: int) -> float:
        return max(self._limits.max_drained_part * pool_size, 1.0)

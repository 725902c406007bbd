"""Finds servers whose health changes again and again, by a penalty that decays.

Source: the penalty, its half-life and its two thresholds are those of BGP's route flap damping
(RFC 2439).
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_PENALTY = 0.01  # changes; a penalty that has decayed below this counts as none


@dataclass(slots=True)
class FlapDetector:
    """One server's changes of health.

    Attributes:
        penalty: 1 a change, decaying, as of `updated_at` (ns).
        is_flapping: set at the threshold, and cleared at half of it.
    """

    penalty: float = 0.0
    updated_at: int = 0
    is_flapping: bool = False
    was_healthy: bool | None = None  # None before the first update

    def update(self, now: int, is_healthy: bool, threshold: float, half_life_ns: int) -> None:
        """Let the penalty decay, and count a change of health."""
        self.penalty *= 0.5 ** (max(now - self.updated_at, 0) / half_life_ns)
        self.updated_at = now
        if self.was_healthy is not None and is_healthy != self.was_healthy:
            self.penalty += 1.0
        self.was_healthy = is_healthy
        if self.penalty >= threshold:
            self.is_flapping = True
        elif self.penalty < threshold / 2:
            self.is_flapping = False

    def may_decay(self) -> bool:
        """Whether the penalty is not yet negligible."""
        return self.penalty > MIN_PENALTY

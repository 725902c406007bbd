"""Detects servers whose health changes repeatedly, by a penalty that decays exponentially.

The penalty, its half-life and its two thresholds follow BGP's route flap damping (RFC 2439).
"""

from __future__ import annotations

from dataclasses import dataclass

NEGLIGIBLE_PENALTY = 0.01  # a penalty that has decayed to this counts as none


@dataclass(slots=True)
class FlapDetector:
    """The recent changes of one server's health.

    Attributes:
        penalty: grows by 1 with each change, and decays in between; as of `updated_at`.
        updated_at: the time of the last update, ns.
        is_flapping: set once the penalty reaches the threshold, and cleared below half of it.
        was_healthy: the health at the last update; None before the first one.
    """

    penalty: float = 0.0
    updated_at: int = 0
    is_flapping: bool = False
    was_healthy: bool | None = None

    def update(self, now: int, is_healthy: bool, threshold: float, half_life_ns: int) -> None:
        """Let the penalty decay, and add 1 if the health has changed."""
        self.penalty *= 0.5 ** (max(now - self.updated_at, 0) / half_life_ns)
        self.updated_at = now
        if self.was_healthy is not None and is_healthy != self.was_healthy:
            self.penalty += 1.0
        self.was_healthy = is_healthy
        if self.penalty >= threshold:
            self.is_flapping = True
        elif self.penalty < threshold / 2:
            self.is_flapping = False

    def has_penalty(self) -> bool:
        """Whether the penalty has not decayed to a negligible one yet."""
        return self.penalty > NEGLIGIBLE_PENALTY

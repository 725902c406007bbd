"""The most bytes that any node exchanges for control in one minute."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

MINUTE_S = 60.0
READINGS_PER_MINUTE = 12
READING_INTERVAL_S = MINUTE_S / READINGS_PER_MINUTE


class PeakBytes:
    """Maxima over a minute that slides by one reading, in bytes a second."""

    def __init__(self) -> None:
        self.any_node = 0.0
        self.running_node = 0.0  # of nodes that ran before that minute
        self._readings: deque[Mapping[str, int]] = deque(maxlen=READINGS_PER_MINUTE + 1)

    def reset(self) -> None:
        """Begin anew."""
        self.any_node = self.running_node = 0.0
        self._readings.clear()

    def read(self, totals: Mapping[str, int]) -> None:
        """Take one reading: each node's bytes since its start, by name."""
        self._readings.append(totals)
        oldest = self._readings[0]
        grown = [_growth(total, oldest.get(name, 0)) for name, total in totals.items()]
        running = [
            total - oldest[name]
            for name, total in totals.items()
            if name in oldest and total >= oldest[name]
        ]
        self.any_node = max(self.any_node, max(grown, default=0) / MINUTE_S)
        self.running_node = max(self.running_node, max(running, default=0) / MINUTE_S)


def _growth(total: int, before: int) -> int:
    """Growth of a total; one that is lower is of a node that has started again, from 0."""
    return total - before if total >= before else total

"""Links between nodes whose faults are drawn from a seed: what becomes of each message."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from loadbalancer.core.balancing.model import MS


@dataclass
class Links:
    """Delays in nanoseconds; `cut` names directed pairs that nothing passes."""

    random: Random
    loss: float = 0.0
    delay: int = MS // 5
    jitter: int = MS
    double: float = 0.0
    cut: set[tuple[int, int]] = field(default_factory=set)

    def passing(self, source: int, target: int) -> list[int]:
        """How long each copy of a message is on its way; none where it is lost."""
        if (source, target) in self.cut or self.random.random() < self.loss:
            return []
        copies = 2 if self.random.random() < self.double else 1
        return [self.delay + int(self.random.random() * self.jitter) for _ in range(copies)]

    def part(self, one: set[int], other: set[int]) -> None:
        """Cut both ways between two sides."""
        self.cut |= {(a, b) for a in one for b in other} | {(b, a) for a in one for b in other}

"""Links between nodes whose faults are drawn from a seed: what becomes of each message."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from loadbalancer.core.balancing.model import MS


class Link(NamedTuple):
    """One direction between two addresses."""

    source: int
    target: int


@dataclass
class Links:
    """The quality of all links, and the links that are blocked.

    `loss` and `duplication` are probabilities for each message. A message takes `delay`
    nanoseconds and up to `jitter` more.
    """

    random: Random
    loss: float = 0.0
    delay: int = MS // 5
    jitter: int = MS
    duplication: float = 0.0
    blocked: set[Link] = field(default_factory=set)

    def draw_delays(self, source: int, target: int) -> list[int]:
        """When each copy of a message arrives, in nanoseconds from now; none where it is lost."""
        if (source, target) in self.blocked or self.random.random() < self.loss:
            return []
        arrivals = 2 if self.random.random() < self.duplication else 1
        return [self.delay + int(self.random.random() * self.jitter) for _ in range(arrivals)]

    def block(self, sources: Iterable[int], targets: Iterable[int]) -> None:
        """Let nothing pass from any of the sources to any of the targets."""
        targets = tuple(targets)
        self.blocked |= {Link(source, target) for source in sources for target in targets}

    def partition(self, one: Iterable[int], other: Iterable[int]) -> None:
        """Let nothing pass between two sides, in both directions."""
        one, other = tuple(one), tuple(other)
        self.block(one, other)
        self.block(other, one)

    def unblock(self) -> None:
        """End all partitions."""
        self.blocked.clear()

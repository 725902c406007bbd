"""What a run's digest is made of: all that is sent and decided, in order."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from simulation.control_world.event_loop import EventLoop
from simulation.digest import Digest


class Recorder:
    """Adds to a digest at the simulated time; does nothing where there is none."""

    def __init__(self, loop: EventLoop, digest: Digest | None) -> None:
        self._loop = loop
        self._digest = digest

    def decision(self, *values: object) -> None:
        """A machine, a node or a source has decided or applied something."""
        if self._digest is not None:
            self._digest.add(self._loop.now, *values)

    def message(
        self, source: int, target: int, content: Callable[[], object], delays: Sequence[int]
    ) -> None:
        """A message was sent between two addresses; one delay for each copy that arrives.

        `content` gives what the digest takes of the message, and is called only for a digest.
        """
        if self._digest is not None:
            self._digest.add(self._loop.now, source, target, content(), delays)

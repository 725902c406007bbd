"""The processes of one kind by index: which run, which are paused, which incarnation each is."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Generic, TypeVar

from simulation.control_world.event_loop import EventLoop

Process = TypeVar("Process")


class ProcessGroup(Generic[Process]):
    """A process that is killed loses its state; one that is paused continues with all it had."""

    def __init__(self, loop: EventLoop) -> None:
        self.running: dict[int, Process] = {}  # paused ones included
        self.incarnations: Counter[int] = Counter()
        self._loop = loop
        self._pending: dict[int, list[Callable[[Process], None]]] = {}  # of paused processes

    @property
    def paused(self) -> list[int]:
        """The indexes of the paused processes, in the order in which they were paused."""
        return list(self._pending)

    def is_paused(self, index: int) -> bool:
        """Whether the process does nothing until it is resumed."""
        return index in self._pending

    def is_running(self, index: int, process: Process) -> bool:
        """Whether this is the incarnation that runs or is paused."""
        return self.running.get(index) is process

    def kill(self, index: int) -> Process | None:
        """End a process with all its state, and return it; None where it did not run."""
        self._pending.pop(index, None)
        return self.running.pop(index, None)

    def pause(self, index: int) -> None:
        """Stop a process until `resume`; what arrives meanwhile is queued."""
        self._pending.setdefault(index, [])

    def resume(self, index: int) -> None:
        """Let a paused process continue, with what arrived meanwhile."""
        for event in self._pending.pop(index, []):
            self.deliver(index, event)

    def deliver(self, index: int, event: Callable[[Process], None]) -> None:
        """Run an event at a process, or queue it while the process is paused.

        An event for a process that doesn't run is lost.
        """
        if index in self._pending:
            self._pending[index].append(event)
        elif (process := self.running.get(index)) is not None:
            event(process)

    def call_every(
        self,
        index: int,
        process: Process,
        delay: int,
        interval: int,
        action: Callable[[], None],
    ) -> None:
        """Run `action` after `delay` and then at each `interval`, as long as `process` runs.

        The timer goes on while the process is paused, and its actions are skipped.
        """

        def act() -> None:
            if self.is_running(index, process):
                if not self.is_paused(index):
                    action()
                self.call_every(index, process, interval, interval, action)

        self._loop.call_later(delay, act)

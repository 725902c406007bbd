"""Which registered nodes live, as all control machines hear them together.

A node is present at the machine that it asks. Each machine tells the others who is present at
it, and what changed since; a node lives while it is present anywhere, and for `grace` after it
was last. The grace covers the way from a lost machine to another, so that the loss of a control
machine moves no service. Pure: told the time in nanoseconds, no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from flinthatch.model import SECOND


@dataclass(frozen=True, slots=True)
class Presence:
    """One machine's word on who is present at it.

    Follows the sender's word of `serial` - 1, unless `whole`: then `came` is everybody.
    """

    serial: int
    whole: bool
    came: tuple[str, ...]
    left: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LivenessTiming:
    """Nanoseconds."""

    grace: int = 10 * SECOND  # of a node that is present nowhere
    start: int = 20 * SECOND  # of all registered nodes, from this machine's own start on
    silence: int = 3 * SECOND  # of a machine, after which what it told counts as ended


class Liveness:
    """One machine's view of the nodes, and of the other machines."""

    def __init__(
        self, nodes: Iterable[str], now: int, timing: LivenessTiming | None = None
    ) -> None:
        self._timing = timing or LivenessTiming()
        self._nodes = frozenset(nodes)
        self._present: dict[str, set[str]] = {"": set()}  # by machine, "" for this one
        self._heard: dict[str, int] = {}  # when each other machine was last heard
        self._serials: dict[str, int] = {}
        self._serial = 0
        self._came: set[str] = set()  # here, since the last word
        self._left: set[str] = set()
        # Nodes that are present nowhere, and until when they count all the same.
        self._until = dict.fromkeys(self._nodes, now + self._timing.start)

    def on_present(self, node: str) -> None:
        """The node asks here."""
        if node not in self._nodes or node in self._present[""]:
            return
        self._present[""].add(node)
        self._until.pop(node, None)
        self._left.discard(node)
        self._came.add(node)

    def on_absent(self, now: int, node: str) -> None:
        """The node asks here no more."""
        if node in self._present[""]:
            self._present[""].discard(node)
            self._came.discard(node)
            self._left.add(node)
            self._ended(now, (node,))

    def on_machine(self, now: int, machine: str) -> None:
        """Another machine was heard, whatever it said."""
        self._heard[machine] = now

    def on_presence(self, now: int, machine: str, word: Presence) -> bool:
        """Another machine's word; False where one before it was missed: a whole one is needed."""
        self._heard[machine] = now
        if not word.whole and word.serial != self._serials.get(machine, -1) + 1:
            return False
        self._serials[machine] = word.serial
        before = self._present.setdefault(machine, set())
        came = self._nodes.intersection(word.came)
        gone = before - came if word.whole else before.intersection(word.left)
        before -= gone
        before |= came
        for node in came:
            self._until.pop(node, None)
        self._ended(now, gone)
        return True

    def on_time(self, now: int) -> None:
        """Forget what silent machines told."""
        for machine, heard in self._heard.items():
            if now - heard > self._timing.silence:
                self._serials.pop(machine, None)
                self._ended(now, self._present.pop(machine, set()))

    def word(self) -> Presence:
        """What is to be told to the machines that heard the last word."""
        self._serial += 1
        came, left = tuple(sorted(self._came)), tuple(sorted(self._left))
        self._came.clear()
        self._left.clear()
        return Presence(self._serial, False, came, left)

    def whole_word(self) -> Presence:
        """What is to be told to a machine that has just come up: all, as of the last word."""
        told = (self._present[""] - self._came) | self._left
        return Presence(self._serial, True, tuple(sorted(told)))

    def nodes(self, now: int) -> frozenset[str]:
        """The nodes that live."""
        for node in [node for node, until in self._until.items() if until <= now]:
            self._until[node] = 0
        return frozenset(node for node in self._nodes if self._until.get(node, 1))

    def machines(self, now: int) -> frozenset[str]:
        """The other machines that were heard lately."""
        silence = self._timing.silence
        return frozenset(m for m, heard in self._heard.items() if now - heard <= silence)

    def _ended(self, now: int, nodes: Iterable[str]) -> None:
        """These are present at one machine less."""
        for node in nodes:
            if not any(node in present for present in self._present.values()):
                self._until[node] = now + self._timing.grace

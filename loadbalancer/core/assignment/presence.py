"""Which nodes ask at which control machine, as the machines tell one another.

A node is present at the machine that it asks. Each machine tells the others who is present at
it, and then what changed; who is present anywhere was heard. Whether a node that is present
nowhere lives is `liveness`'s to say. Pure: told the time in nanoseconds, no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loadbalancer.core.balancing.model import SECOND

SILENCE = 3 * SECOND  # of a machine, after which what it told counts no more


@dataclass(frozen=True, slots=True)
class PresenceUpdate:
    """One machine's word on who is present at it.

    Follows the sender's word of `serial` - 1, unless `complete`: then `joined` is everybody.
    """

    serial: int
    complete: bool
    joined: tuple[str, ...]
    departed: tuple[str, ...] = ()


class Presence:
    """The nodes that ask here, those that ask elsewhere, and the machines that are heard."""

    def __init__(self, nodes: Iterable[str], silence: int = SILENCE) -> None:
        self._silence = silence
        self._nodes = frozenset(nodes)
        self._here: set[str] = set()
        self._came: set[str] = set()  # here, since the last word
        self._left: set[str] = set()
        self._serial = 0  # of the last word
        self._elsewhere: dict[str, set[str]] = {}  # by machine
        self._serials: dict[str, int] = {}
        self._heard: dict[str, int] = {}  # when each other machine was last heard

    def on_present(self, node: str) -> None:
        """The node asks here."""
        if node in self._nodes and node not in self._here:
            self._here.add(node)
            self._left.discard(node)
            self._came.add(node)

    def on_absent(self, node: str) -> None:
        """The node asks here no more."""
        if node in self._here:
            self._here.discard(node)
            self._came.discard(node)
            self._left.add(node)

    def on_machine_heartbeat(self, now: int, machine: str) -> None:
        """Another machine was heard, whatever it said."""
        self._heard[machine] = now

    def on_update(self, now: int, machine: str, update: PresenceUpdate) -> bool:
        """Another machine's word; False where one before it is missing: a whole one is needed."""
        self._heard[machine] = now
        if not update.complete and update.serial != self._serials.get(machine, -1) + 1:
            return False
        self._serials[machine] = update.serial
        before = set() if update.complete else self._elsewhere.get(machine, set())
        came = self._nodes.intersection(update.joined)
        self._elsewhere[machine] = (before | came).difference(update.departed)
        return True

    def on_time(self, now: int) -> None:
        """Forget what silent machines told."""
        for machine, heard in self._heard.items():
            if now - heard > self._silence:
                self._serials.pop(machine, None)
                self._elsewhere.pop(machine, None)

    def next_update(self) -> PresenceUpdate:
        """What is to be told to the machines that heard the last one."""
        self._serial += 1
        came, left = tuple(sorted(self._came)), tuple(sorted(self._left))
        self._came.clear()
        self._left.clear()
        return PresenceUpdate(self._serial, False, came, left)

    def complete_update(self) -> PresenceUpdate:
        """What is to be told to a machine that has just come up: all, as of the last word."""
        told = (self._here - self._came) | self._left
        return PresenceUpdate(self._serial, True, tuple(sorted(told)))

    def present(self) -> frozenset[str]:
        """The nodes that ask anywhere."""
        return frozenset(self._here).union(*self._elsewhere.values())

    def local_count(self) -> int:
        """How many nodes ask here."""
        return len(self._here)

    def machines(self, now: int) -> frozenset[str]:
        """The other machines that were heard lately."""
        return frozenset(m for m, heard in self._heard.items() if now - heard <= self._silence)

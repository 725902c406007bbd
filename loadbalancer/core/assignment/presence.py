"""Which nodes poll at which control machine, as the machines report it to one another.

A node is present at the machine that it polls. Each machine sends the others a complete update of
its nodes first, and then what changed. A node that is present at any machine gives a sign of life;
whether one that is present nowhere is alive is decided in `liveness`. Pure: time is given in
nanoseconds, no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loadbalancer.core.balancing.model import SECOND

MACHINE_TIMEOUT_NS = 3 * SECOND  # without a message of a machine, its updates are discarded


@dataclass(frozen=True, slots=True)
class PresenceUpdate:
    """The nodes that are present at the sender, or what changed since its last update.

    It follows the sender's update of `serial` - 1, unless `complete`: then `joined` is everybody.
    """

    serial: int
    complete: bool
    joined: tuple[str, ...]
    departed: tuple[str, ...] = ()


class Presence:
    """The nodes that poll here, those that poll at other machines, and which machines are up."""

    def __init__(self, nodes: Iterable[str], machine_timeout_ns: int = MACHINE_TIMEOUT_NS) -> None:
        """`nodes` are the registered ones; others are ignored."""
        self._machine_timeout_ns = machine_timeout_ns
        self._nodes = frozenset(nodes)
        self._local: set[str] = set()
        self._joined: set[str] = set()  # here, since the last update sent
        self._departed: set[str] = set()  # from here, since the last update sent
        self._serial = 0  # of the last update sent
        self._remote: dict[str, set[str]] = {}  # nodes, by other machine
        self._remote_serials: dict[str, int] = {}
        self._last_message: dict[str, int] = {}  # when it came, by other machine

    def on_present(self, node: str) -> None:
        """The node polls here."""
        if node in self._nodes and node not in self._local:
            self._local.add(node)
            self._departed.discard(node)
            self._joined.add(node)

    def on_absent(self, node: str) -> None:
        """The node does not poll here any more."""
        if node in self._local:
            self._local.discard(node)
            self._joined.discard(node)
            self._departed.add(node)

    def on_machine_heartbeat(self, now: int, machine: str) -> None:
        """A message of any kind came from another machine."""
        self._last_message[machine] = now

    def on_update(self, now: int, machine: str, update: PresenceUpdate) -> bool:
        """Another machine's update; False where one before it is missing.

        A complete update is needed then.
        """
        self._last_message[machine] = now
        expected = self._remote_serials.get(machine, -1) + 1
        if not update.complete and update.serial != expected:
            return False
        self._remote_serials[machine] = update.serial
        before = set() if update.complete else self._remote.get(machine, set())
        joined = self._nodes.intersection(update.joined)
        self._remote[machine] = (before | joined).difference(update.departed)
        return True

    def expire_machines(self, now: int) -> None:
        """Forget the updates of machines that have timed out."""
        for machine, last in self._last_message.items():
            if now - last > self._machine_timeout_ns:
                self._remote_serials.pop(machine, None)
                self._remote.pop(machine, None)

    def next_update(self) -> PresenceUpdate:
        """What changed, for the machines that have the last update."""
        self._serial += 1
        joined, departed = tuple(sorted(self._joined)), tuple(sorted(self._departed))
        self._joined.clear()
        self._departed.clear()
        return PresenceUpdate(self._serial, complete=False, joined=joined, departed=departed)

    def complete_update(self) -> PresenceUpdate:
        """All nodes as of the last update, for a machine that has just connected."""
        sent = (self._local - self._joined) | self._departed
        return PresenceUpdate(self._serial, complete=True, joined=tuple(sorted(sent)))

    def present_nodes(self) -> frozenset[str]:
        """The nodes that poll at any machine."""
        return frozenset(self._local).union(*self._remote.values())

    def local_count(self) -> int:
        """How many nodes poll here."""
        return len(self._local)

    def live_machines(self, now: int) -> frozenset[str]:
        """The other machines that have not timed out."""
        return frozenset(
            machine
            for machine, last in self._last_message.items()
            if now - last <= self._machine_timeout_ns
        )

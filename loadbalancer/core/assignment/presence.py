"""Which nodes poll which control machine, as the machines report it to each other.

A node is present at the machine that it polls. Each machine sends the others a complete update of
its nodes when they connect, and then incremental updates. Presence at any machine counts as a
heartbeat of the node; `liveness` decides whether a node that is present at none is alive.

Sans-I/O: the caller passes in the time in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loadbalancer.core.balancing.model import SECOND

# The nodes of a machine are discarded after this time without a message from the machine.
MACHINE_TIMEOUT_NS = 3 * SECOND


@dataclass(frozen=True, slots=True)
class PresenceUpdate:
    """The nodes that are present at the sender, or the changes since its last update.

    If `complete`, `joined` has all nodes. Otherwise the update applies to the state after the
    sender's update with the number `serial` - 1.
    """

    serial: int
    complete: bool
    joined: tuple[str, ...]
    departed: tuple[str, ...] = ()


class Presence:
    """The nodes that poll this machine and the others, and the other machines that are alive."""

    def __init__(self, nodes: Iterable[str], machine_timeout_ns: int = MACHINE_TIMEOUT_NS) -> None:
        """Create the state without any node present; nodes other than `nodes` are ignored."""
        self._machine_timeout_ns = machine_timeout_ns
        self._nodes = frozenset(nodes)
        self._local: set[str] = set()  # nodes that poll this machine
        self._joined: set[str] = set()  # local nodes that joined since the last update sent
        self._departed: set[str] = set()  # local nodes that departed since the last update sent
        self._serial = 0  # of the last update sent
        self._remote: dict[str, set[str]] = {}  # nodes, by other machine
        self._remote_serials: dict[str, int] = {}  # of the last update received
        self._last_message: dict[str, int] = {}  # time of the last message, by other machine

    def on_present(self, node: str) -> None:
        """Record that the node polls this machine."""
        if node in self._nodes and node not in self._local:
            self._local.add(node)
            self._departed.discard(node)
            self._joined.add(node)

    def on_absent(self, node: str) -> None:
        """Record that the node no longer polls this machine."""
        if node in self._local:
            self._local.discard(node)
            self._joined.discard(node)
            self._departed.add(node)

    def on_machine_heartbeat(self, now: int, machine: str) -> None:
        """Record a message of any kind from another machine."""
        self._last_message[machine] = now

    def on_update(self, now: int, machine: str, update: PresenceUpdate) -> bool:
        """Handle another machine's update.

        Returns:
            False if an earlier update is missing. Then a complete update is needed.
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
        """Discard the nodes of machines that have timed out."""
        for machine, last in self._last_message.items():
            if now - last > self._machine_timeout_ns:
                self._remote_serials.pop(machine, None)
                self._remote.pop(machine, None)

    def next_update(self) -> PresenceUpdate:
        """Return the changes since the last update, for the machines that have received that."""
        self._serial += 1
        joined, departed = tuple(sorted(self._joined)), tuple(sorted(self._departed))
        self._joined.clear()
        self._departed.clear()
        return PresenceUpdate(self._serial, complete=False, joined=joined, departed=departed)

    def complete_update(self) -> PresenceUpdate:
        """Return all nodes as of the last update, for a machine that has just connected."""
        sent = (self._local - self._joined) | self._departed
        return PresenceUpdate(self._serial, complete=True, joined=tuple(sorted(sent)))

    def present_nodes(self) -> frozenset[str]:
        """Return the nodes that poll any machine."""
        return frozenset(self._local).union(*self._remote.values())

    def local_count(self) -> int:
        """Return how many nodes poll this machine."""
        return len(self._local)

    def live_machines(self, now: int) -> frozenset[str]:
        """Return the other machines that have not timed out."""
        return frozenset(
            machine
            for machine, last in self._last_message.items()
            if now - last <= self._machine_timeout_ns
        )

"""Which control machine a node subscribes at.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and
Zadimoghaddam, 2018): each node goes to the machine that ranks highest for it and still has
capacity, machines of its own region before others. The base placement is over all machines, living
or not; the nodes of dead ones are placed among the living and return with them, so that no other
node moves. The same inputs give the same placement everywhere. Pure.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from math import ceil

from loadbalancer.core.assignment.model import InvalidInputError, MachineSpec

LOAD_BOUND = 1.25  # times the average number of nodes that one machine may have
MAX_CACHED = 64  # placements, one for each set of living machines
SCORE_BYTES = 8


class Placement:
    """The registered nodes placed at control machines.

    Raises:
        InvalidInputError: there is no machine.
    """

    def __init__(self, nodes: Mapping[str, str], machines: Sequence[MachineSpec]) -> None:
        """`nodes` gives each registered node's region."""
        if not machines:
            raise InvalidInputError("placement: there is no control machine")
        self._machines = {machine.name: machine.region for machine in machines}
        self._ranks = {node: self._ranked(node, region) for node, region in nodes.items()}
        self._order = sorted(self._ranks, key=lambda node: _score(node, ""))
        self._base = self._place(self._order, frozenset(self._machines), Counter())
        self._moved: dict[frozenset[str], dict[str, str]] = {}  # by living machines

    def __contains__(self, node: str) -> bool:
        """Whether the node is registered."""
        return node in self._ranks

    def machine_for(self, node: str, living: Iterable[str]) -> str | None:
        """Where a node belongs; None where it is not registered or no machine lives."""
        alive = frozenset(living).intersection(self._machines)
        if node not in self._ranks or not alive:
            return None
        machine = self._base[node]
        return machine if machine in alive else self._of_dead_machines(alive)[node]

    def others(self, node: str, living: Iterable[str]) -> tuple[str, ...]:
        """All living machines in the order in which the node would turn to them."""
        alive = frozenset(living)
        return tuple(name for name in self._ranks.get(node, ()) if name in alive)

    def _ranked(self, node: str, region: str) -> tuple[str, ...]:
        def key(machine: str) -> tuple[bool, bytes]:
            return self._machines[machine] != region, _score(node, machine)

        return tuple(sorted(self._machines, key=key))

    def _of_dead_machines(self, alive: frozenset[str]) -> dict[str, str]:
        """The nodes of dead machines, placed at the living."""
        moved = self._moved.get(alive)
        if moved is None:
            loads = Counter(name for name in self._base.values() if name in alive)
            moving = [node for node in self._order if self._base[node] not in alive]
            if len(self._moved) >= MAX_CACHED:
                self._moved.clear()
            moved = self._moved[alive] = self._place(moving, alive, loads)
        return moved

    def _place(
        self, nodes: Iterable[str], alive: frozenset[str], loads: Counter[str]
    ) -> dict[str, str]:
        """Place the nodes in this order; `loads` counts the nodes of each machine."""
        max_nodes = ceil(LOAD_BOUND * len(self._ranks) / len(alive))
        placed: dict[str, str] = {}
        for node in nodes:
            living = [name for name in self._ranks[node] if name in alive]
            machine = next(name for name in living if loads[name] < max_nodes)
            loads[machine] += 1
            placed[node] = machine
        return placed


def _score(node: str, machine: str) -> bytes:
    return blake2b(f"{node}\0{machine}".encode(), digest_size=SCORE_BYTES).digest()

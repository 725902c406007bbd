"""Which control machine each node polls.

Rendezvous hashing (Thaler and Ravishankar 1998) with bounded loads (Mirrokni, Thorup and
Zadimoghaddam 2018): each node is placed at the machine that ranks highest for it and has capacity,
with machines of its own region ranked before others. The base placement is over all machines,
whether alive or not. The nodes of dead machines are placed at living ones, and return when their
machines do, so no other node moves.

The placement is a pure function: the same inputs give the same result on every machine.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from math import ceil

from loadbalancer.core.assignment.model import InvalidInputError, MachineSpec

LOAD_BOUND = 1.25  # maximum number of nodes of a machine, as a multiple of the mean
MAX_CACHED = 64  # placements, each for one set of living machines
SCORE_BYTES = 8


class Placement:
    """The placement of the registered nodes at control machines.

    Raises:
        InvalidInputError: `machines` is empty.
    """

    def __init__(self, nodes: Mapping[str, str], machines: Sequence[MachineSpec]) -> None:
        """Compute the base placement; `nodes` has each registered node's region."""
        if not machines:
            raise InvalidInputError("placement: there is no control machine")
        self._machines = {machine.name: machine.region for machine in machines}
        self._ranks = {node: self._ranked(node, region) for node, region in nodes.items()}
        self._order = sorted(self._ranks, key=lambda node: _score(node, ""))
        self._base = self._place(self._order, frozenset(self._machines), Counter())
        # The nodes of dead machines with their new machines, by set of living machines.
        self._moved: dict[frozenset[str], dict[str, str]] = {}

    def __contains__(self, node: str) -> bool:
        """Return whether the node is registered."""
        return node in self._ranks

    def machine_for(self, node: str, living: Iterable[str]) -> str | None:
        """Return the machine of a node; None if it is not registered or no machine is alive."""
        alive = frozenset(living).intersection(self._machines)
        if node not in self._ranks or not alive:
            return None
        machine = self._base[node]
        return machine if machine in alive else self._moved_nodes(alive)[node]

    def ranked_machines(self, node: str, living: Iterable[str]) -> tuple[str, ...]:
        """Return the living machines in the node's order of preference."""
        alive = frozenset(living)
        return tuple(name for name in self._ranks.get(node, ()) if name in alive)

    def _ranked(self, node: str, region: str) -> tuple[str, ...]:
        def key(machine: str) -> tuple[bool, bytes]:
            return self._machines[machine] != region, _score(node, machine)

        return tuple(sorted(self._machines, key=key))

    def _moved_nodes(self, alive: frozenset[str]) -> dict[str, str]:
        """Return the nodes of dead machines with the living machines at which they are placed."""
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
        """Place the nodes in the given order; `loads` has the number of nodes of each machine."""
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

"""Which nodes count as alive: a failure detector with damping.

Without damping, a node that comes and goes would move its services each time. A node counts as dead
after `timeout_ns` without a heartbeat. It counts as back only once heartbeats have come for
`recovery_time_ns` without a gap as long as `timeout_ns`; each death within `flap_memory_ns` doubles
that wait, up to `max_recovery_time_ns`. The doubling is that of route flap damping (RFC 2439) in
its simplest form.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import SECOND

MAX_DOUBLINGS = 32  # enough for any `max_recovery_time_ns`; bounds the shift


@dataclass(frozen=True, slots=True)
class LivenessRules:
    """When a node counts as dead, and when it counts as back.

    Attributes:
        timeout_ns: nanoseconds without a heartbeat after which a node counts as dead.
        recovery_time_ns: nanoseconds of heartbeats after which it counts as back, after one death.
        max_recovery_time_ns: nanoseconds that the doubled recovery time does not exceed.
        flap_memory_ns: nanoseconds; a death so long after the last one counts as the first.

    Raises:
        InvalidInputError: a time is out of its range.
    """

    timeout_ns: int = 3 * SECOND
    recovery_time_ns: int = 5 * SECOND
    max_recovery_time_ns: int = 300 * SECOND
    flap_memory_ns: int = 600 * SECOND

    def __post_init__(self) -> None:
        if not self.timeout_ns > 0:
            raise InvalidInputError(f"liveness: timeout_ns is {self.timeout_ns}, must be over 0")
        if not 0 <= self.recovery_time_ns <= self.max_recovery_time_ns:
            raise InvalidInputError("liveness: recovery_time_ns must be 0 to max_recovery_time_ns")
        if self.flap_memory_ns < 0:
            raise InvalidInputError(
                f"liveness: flap_memory_ns is {self.flap_memory_ns}, must not be negative"
            )


class LivenessChange(NamedTuple):
    """The nodes that count differently now than before."""

    died: tuple[str, ...]
    returned: tuple[str, ...]


@dataclass(slots=True)
class _NodeState:
    """What is known of one node; times in nanoseconds."""

    last_heartbeat: int
    heartbeats_since: int  # start of the present series without a gap as long as `timeout_ns`
    alive: bool = True
    deaths: int = 0  # that follow each other within `flap_memory_ns`
    died_at: int = 0


class Liveness:
    """The state of all registered nodes; heartbeats of others are ignored.

    All count as alive at first, and have `timeout_ns` for their first heartbeat: a control machine
    that has just started can't take silence from before its start for a death.
    """

    def __init__(self, now: int, nodes: Iterable[str], rules: LivenessRules) -> None:
        self.rules = rules
        self._nodes = {name: _NodeState(now, now) for name in nodes}

    @property
    def alive(self) -> frozenset[str]:
        """The nodes that count as alive, as of the last `advance`."""
        return frozenset(name for name, state in self._nodes.items() if state.alive)

    def on_heartbeat(self, now: int, node: str) -> bool:
        """The node gave a sign of life; False where it is not registered."""
        state = self._nodes.get(node)
        if state is None:
            return False
        if now - state.last_heartbeat >= self.rules.timeout_ns:
            state.heartbeats_since = now
        state.last_heartbeat = max(now, state.last_heartbeat)
        return True

    def advance(self, now: int) -> LivenessChange:
        """Take time on to `now`: the nodes that died or returned since the last call."""
        died, returned = [], []
        for name, state in self._nodes.items():
            silent = now - state.last_heartbeat >= self.rules.timeout_ns
            if state.alive and silent:
                self._on_death(now, state)
                died.append(name)
            elif not state.alive and not silent and self._has_recovered(now, name):
                state.alive = True
                returned.append(name)
        return LivenessChange(tuple(sorted(died)), tuple(sorted(returned)))

    def recovery_time_ns(self, node: str) -> int:
        """Nanoseconds of heartbeats after which the node counts as back."""
        doublings = min(max(self._nodes[node].deaths - 1, 0), MAX_DOUBLINGS)
        return min(self.rules.recovery_time_ns << doublings, self.rules.max_recovery_time_ns)

    def _has_recovered(self, now: int, node: str) -> bool:
        return now - self._nodes[node].heartbeats_since >= self.recovery_time_ns(node)

    def _on_death(self, now: int, state: _NodeState) -> None:
        if now - state.died_at >= self.rules.flap_memory_ns:
            state.deaths = 0
        state.alive = False
        state.deaths += 1
        state.died_at = now

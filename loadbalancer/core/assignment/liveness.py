"""Which nodes count as alive: a failure detector with flap damping.

A node counts as dead after `timeout_ns` without a heartbeat. It counts as alive again after it has
sent heartbeats for `recovery_time_ns` without a gap of `timeout_ns`. Without damping, a node that
flaps would move its services each time. So each death within `flap_memory_ns` of the previous one
doubles the recovery time, up to `max_recovery_time_ns`. This is a simple form of route flap damping
(RFC 2439).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import SECOND

MAX_DOUBLINGS = 32  # of the recovery time; enough to reach any `max_recovery_time_ns`


@dataclass(frozen=True, slots=True)
class LivenessRules:
    """When a node counts as dead, and when it counts as alive again.

    Attributes:
        timeout_ns: time without a heartbeat after which a node counts as dead.
        recovery_time_ns: time with heartbeats after which it counts as alive again, after its first
            death.
        max_recovery_time_ns: the maximum that the recovery time reaches by doubling.
        flap_memory_ns: time after a death within which another one doubles the recovery time.

    Raises:
        InvalidInputError: a time is out of its range.
    """

    timeout_ns: int = 3 * SECOND
    recovery_time_ns: int = 5 * SECOND
    max_recovery_time_ns: int = 300 * SECOND
    flap_memory_ns: int = 600 * SECOND

    def __post_init__(self) -> None:
        if not self.timeout_ns > 0:
            raise InvalidInputError(
                f"liveness: timeout_ns is {self.timeout_ns}, must be greater than 0"
            )
        if not 0 <= self.recovery_time_ns <= self.max_recovery_time_ns:
            raise InvalidInputError(
                "liveness: recovery_time_ns must be between 0 and max_recovery_time_ns"
            )
        if self.flap_memory_ns < 0:
            raise InvalidInputError(
                f"liveness: flap_memory_ns is {self.flap_memory_ns}, must not be negative"
            )


class LivenessChange(NamedTuple):
    """The nodes that died, and those that are alive again, since the last call."""

    died: tuple[str, ...]
    returned: tuple[str, ...]


@dataclass(slots=True)
class _NodeState:
    """The state of one node; times in nanoseconds."""

    last_heartbeat: int
    heartbeats_since: int  # start of the current period without a gap of `timeout_ns`
    alive: bool = True
    deaths: int = 0  # each within `flap_memory_ns` of the previous one
    died_at: int = 0


class Liveness:
    """The liveness of all registered nodes; heartbeats of other nodes are ignored.

    At first all nodes count as alive, and have `timeout_ns` to send their first heartbeat: a
    control machine that has just started cannot know of earlier heartbeats.
    """

    def __init__(self, now: int, nodes: Iterable[str], rules: LivenessRules) -> None:
        self.rules = rules
        self._nodes = {name: _NodeState(now, now) for name in nodes}

    @property
    def alive(self) -> frozenset[str]:
        """The nodes that count as alive as of the last call of `advance`."""
        return frozenset(name for name, state in self._nodes.items() if state.alive)

    def on_heartbeat(self, now: int, node: str) -> bool:
        """Handle a heartbeat; return False if the node is not registered."""
        state = self._nodes.get(node)
        if state is None:
            return False
        if now - state.last_heartbeat >= self.rules.timeout_ns:
            state.heartbeats_since = now
        state.last_heartbeat = max(now, state.last_heartbeat)
        return True

    def advance(self, now: int) -> LivenessChange:
        """Advance the time to `now`, and return the nodes that died or returned."""
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
        """Return how long the node must send heartbeats until it counts as alive again."""
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

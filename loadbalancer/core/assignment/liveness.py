"""Who counts as alive, damped: one who comes and goes does not move services each time.

A node counts as dead after `timeout` without a heartbeat. It counts as back only once it has been
heard for `recovery_time` without a gap as long as `timeout`; each death within `flap_memory`
doubles that wait, up to `max_recovery_time`. The doubling is that of route flap damping (RFC 2439)
in its simplest form.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import SECOND


@dataclass(frozen=True, slots=True)
class LivenessRules:
    """Times in nanoseconds.

    Raises:
        InvalidInputError: a time is out of its range.
    """

    timeout: int = 3 * SECOND
    recovery_time: int = 5 * SECOND
    max_recovery_time: int = 300 * SECOND
    flap_memory: int = 600 * SECOND  # a death so long after the last one counts as the first

    def __post_init__(self) -> None:
        if not self.timeout > 0:
            raise InvalidInputError(f"liveness: timeout is {self.timeout}, must be over 0")
        if not 0 <= self.recovery_time <= self.max_recovery_time:
            raise InvalidInputError("liveness: recovery_time must be 0 to max_recovery_time")
        if self.flap_memory < 0:
            raise InvalidInputError(
                f"liveness: flap_memory is {self.flap_memory}, must not be negative"
            )


class LivenessChange(NamedTuple):
    """Who counts differently now than before."""

    died: tuple[str, ...]
    returned: tuple[str, ...]


@dataclass(slots=True)
class _Pulse:
    heard: int
    since: int  # of the present stretch without a long gap
    alive: bool = True
    deaths: int = 0
    died: int = 0


class Liveness:
    """The state of all registered nodes; others' words count for nothing.

    All count as alive when it begins, and have `timeout` to be heard: a control machine that has
    just begun knows nothing against anybody.
    """

    def __init__(self, now: int, nodes: Iterable[str], rules: LivenessRules) -> None:
        self.rules = rules
        self._pulses = {name: _Pulse(now, now) for name in nodes}

    @property
    def alive(self) -> frozenset[str]:
        """Those who count as alive, as of the last `advance`."""
        return frozenset(name for name, pulse in self._pulses.items() if pulse.alive)

    def on_heartbeat(self, now: int, node: str) -> bool:
        """The node was heard; False where it is not registered."""
        pulse = self._pulses.get(node)
        if pulse is None:
            return False
        if now - pulse.heard >= self.rules.timeout:
            pulse.since = now
        pulse.heard = max(now, pulse.heard)
        return True

    def advance(self, now: int) -> LivenessChange:
        """Take time on to `now`: who has died or is back since the last turn."""
        died, returned = [], []
        for name, pulse in self._pulses.items():
            silent = now - pulse.heard >= self.rules.timeout
            if pulse.alive and silent:
                self._die(now, pulse)
                died.append(name)
            elif not pulse.alive and not silent and now - pulse.since >= self.recovery_time(name):
                pulse.alive = True
                returned.append(name)
        return LivenessChange(tuple(sorted(died)), tuple(sorted(returned)))

    def recovery_time(self, node: str) -> int:
        """How long the node must be heard before it counts as back."""
        doublings = min(max(self._pulses[node].deaths - 1, 0), 32)
        return min(self.rules.recovery_time << doublings, self.rules.max_recovery_time)

    def _die(self, now: int, pulse: _Pulse) -> None:
        if now - pulse.died >= self.rules.flap_memory:
            pulse.deaths = 0
        pulse.alive = False
        pulse.deaths += 1
        pulse.died = now

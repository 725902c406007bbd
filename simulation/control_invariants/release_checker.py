"""Invariants of releases: no node releases a service that no other node serves."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.holder import Holder
from simulation.control_invariants.history import AcceptedHistory
from simulation.control_invariants.node_checker import NodeIncarnation

if TYPE_CHECKING:
    from simulation.control_world.environment import Environment

# Until control knows that a node is dead; what it served may count as served until then.
UNKNOWN_DEATH = 8 * SECOND


class ReleaseChecker:
    """Checks what each node has released since its last check.

    While `is_strict`, each zone must have as many nodes that serve a service as are assigned
    there before one releases it. That holds without faults. Under faults machines know different
    things, and it is enough that one other node serves it.
    """

    def __init__(self, environment: Environment, history: AcceptedHistory) -> None:
        self.is_strict = False
        self._environment = environment
        self._history = history
        self._were_serving: dict[NodeIncarnation, frozenset[str]] = {}
        self._server_died_at: dict[str, int] = {}  # by service

    def on_node_killed(self, holder: Holder) -> None:
        """A node was killed: what it served may count as served a while longer."""
        for service in holder.serving():
            self._server_died_at[service] = self._environment.now

    def check(self, node: NodeIncarnation, holder: Holder) -> None:
        """What the node served and has released must be served by others."""
        for service in holder.drain_released():
            if service in self._were_serving.get(node, ()):
                self._check_release(node, service)
        self._were_serving[node] = holder.serving()

    def _check_release(self, node: NodeIncarnation, service: str) -> None:
        environment = self._environment
        if self._is_deleted(service) or self._has_just_been_served(service):
            return
        serving = environment.zones_serving_beside(service, node.name)
        if not serving:
            environment.breach(f"{node.name} released {service}, which nobody else serves")
        missing = Counter(environment.assigned_zones(service)) - Counter(serving)
        if self.is_strict and missing:
            environment.breach(
                f"{node.name} released {service}: others are missing in {dict(missing)}"
            )

    def _is_deleted(self, service: str) -> bool:
        history = self._history.regions[self._environment.topology.home[service]]
        return history.rows_at(service, history.logs[-1].last) is None

    def _has_just_been_served(self, service: str) -> bool:
        """Whether a node that served it has just died, or all had to stop for a deletion."""
        moments = (self._server_died_at.get(service), self._history.deleted_at.get(service))
        now = self._environment.now
        return any(at is not None and now - at < UNKNOWN_DEATH for at in moments)

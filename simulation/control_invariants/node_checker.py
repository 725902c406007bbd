"""Invariants of single nodes: their positions, the rows that they have, and drains."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.core.assignment.model import START, Delta, Position, Update
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.updates import UpdateStatus
from simulation.control_invariants.history import AcceptedHistory

if TYPE_CHECKING:
    from simulation.control_world.environment import Environment

# From when a node is notified of a drain until nothing is sent to the backend.
DRAIN_GRACE = SECOND


class NodeIncarnation(NamedTuple):
    """A node from one start to its end."""

    name: str
    incarnation: int


class NodeRegion(NamedTuple):
    """A node's part of one region's services."""

    node: NodeIncarnation
    region: str


class NodeBackend(NamedTuple):
    """A service's backend at one node."""

    node: NodeIncarnation
    service: str
    uid: str


class Drain(NamedTuple):
    """A drain that a node was notified of."""

    holder: Holder
    position: Position
    notified_at: int


class NodeChecker:
    """Checks each node after each answer, and drains at an interval."""

    def __init__(self, environment: Environment, history: AcceptedHistory) -> None:
        self.checks = 0
        self._environment = environment
        self._history = history
        self._positions: dict[NodeRegion, Position] = {}
        self._drains: dict[NodeBackend, Drain] = {}

    def on_update(
        self, node: NodeIncarnation, holder: Holder, update: Update, status: UpdateStatus
    ) -> None:
        """Note the drains of an update that a node has applied."""
        if status not in (UpdateStatus.APPLIED, UpdateStatus.OVER_LIMIT):
            return
        if isinstance(update, Delta):
            rows = [(change.service, row) for change in update.changes for row in change.rows]
        else:
            rows = [
                (name, row) for name, all_of in update.services.items() for row in all_of.values()
            ]
        for service, row in rows:
            backend = NodeBackend(node, service, row.uid)
            if not row.draining:
                self._drains.pop(backend, None)  # the update itself lists it as active again
            elif holder.rows(service) is not None:
                self._drains[backend] = Drain(holder, update.position, self._environment.now)

    def check(self, node: NodeIncarnation, holder: Holder) -> None:
        """No position goes back, and each service is as it was accepted at the position."""
        self.checks += 1
        for region, history in self._history.regions.items():
            position = holder.position(region)
            key = NodeRegion(node, region)
            if position < self._positions.get(key, START):
                self._environment.breach(f"{node.name} went back to {position} of {region}")
            self._positions[key] = position
            for service in holder.subscribed_services(region) - holder.stale_services(region):
                if holder.rows(service) != history.rows_at(service, position):
                    self._environment.breach(
                        f"{node.name}: {service} is not as accepted at {position}"
                    )

    def check_drains(self) -> None:
        """Nodes keep to all drains that they were notified of."""
        for backend, drain in list(self._drains.items()):
            row = (drain.holder.rows(backend.service) or {}).get(backend.uid)
            if row is None:
                del self._drains[backend]
            elif not row.draining and self._environment.now - drain.notified_at >= DRAIN_GRACE:
                if not self._is_active_again(backend, drain):
                    self._environment.breach(
                        f"{backend.node.name} uses {backend.uid}, drained at {drain.position}"
                    )
                del self._drains[backend]

    def _is_active_again(self, backend: NodeBackend, drain: Drain) -> bool:
        """Whether it was listed as active after the drain, up to the node's position."""
        region = self._environment.topology.home[backend.service]
        history = self._history.regions[region]
        position = drain.holder.position(region)
        logs = [log for log in map(history.log_with, (drain.position, position)) if log]
        if logs[0] is not logs[-1]:
            return True  # after another load, whose rows are compared completely
        service = logs[0].services[backend.service]
        return service.was_active(backend.uid, drain.position.revision, position.revision)

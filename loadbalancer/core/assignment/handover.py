"""Handover of services between nodes: which nodes may release a service, and when.

Release rule. When a service is assigned to other nodes, a former holder may release it only if the
nodes that serve it, not counting the former holder, are as many as the assignment requires. They
are counted in the former holder's zone, or over all zones if the assignment has no holder in that
zone. So one former holder is released for each new holder that serves. The rule has no timeout: if
a new holder never serves, a former one is retained. That costs connections but fails no requests. A
deleted service is released at once. If a new holder is lost before a former one has released the
service, the former one is retained again.

Generations. A node's report is valid only if the node made it after it had received its current
assignment. The generation is incremented whenever the control machine withdraws something from
nodes. Each answer to a node contains the current generation, and the node's reports contain that of
the last answer that it received from this machine (0 if none). A node that may release a service
may have done so at once, so it no longer counts as serving. If the service is assigned to it again,
only a report of that generation or a later one counts. For this reason reports may be duplicated,
delayed and reordered.

The state need not survive a restart. A restarted control machine learns from the nodes' reports
which services they serve, and lets no node release a service before it knows that enough others
serve it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from loadbalancer.core.assignment.assignment import Assignment
from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec

MAX_RETAINED = 256  # services tracked for one node in addition to its assigned ones
MAX_GENERATIONS = 1024  # services of one node that have a minimum generation of their own


class Handover:
    """Tracks for each service which nodes are assigned, serve it, are retained, and may release it.

    A retained node was a holder in an earlier assignment, and serves until enough others do. The
    state is bounded by the assigned pairs of node and service, plus twice `MAX_RETAINED` services
    for each node. Services beyond that bound are neither required nor releasable: the node holds
    them, without being counted, until they can be tracked.
    """

    def __init__(self, nodes: Iterable[NodeSpec]) -> None:
        self.generation = 0
        self._zones = {node.name: node.zone for node in nodes}
        self._assigned: Mapping[str, tuple[str, ...]] = {}  # nodes, by service
        self._assigned_to: Mapping[str, tuple[str, ...]] = {}  # services, by node
        self._serving: dict[str, set[str]] = {}  # nodes, by service; assigned or retained
        self._retained: dict[str, set[str]] = {}  # nodes no longer assigned, by service
        self._retained_by: dict[str, set[str]] = {}  # services, by node
        self._releasable: dict[str, set[str]] = {}  # nodes, by service
        self._releasable_by: dict[str, set[str]] = {}  # services, by node
        # Reports of an earlier generation are ignored: for one service, and for all services.
        self._service_min_generation: dict[str, dict[str, int]] = {}  # by node and service
        self._node_min_generation: dict[str, int] = {}  # by node

    def required(self, node: str) -> frozenset[str]:
        """Return the services that the node must hold: assigned to it, or served until others do.

        Raises:
            InvalidInputError: there is no such node.
        """
        retained = {
            service
            for service in self._retained_by.get(node, ())
            if node in self._serving.get(service, ())
        }
        return self.assigned(node) | retained

    def assigned(self, node: str) -> frozenset[str]:
        """Return the services that the current assignment gives to the node.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check_registered(node)
        return frozenset(self._assigned_to.get(node, ()))

    def releasable(self, node: str) -> frozenset[str]:
        """Return the services that the node may release, if it still holds them.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check_registered(node)
        return frozenset(self._releasable_by.get(node, ()))

    def pending_moves(self) -> int:
        """Return how many pairs of node and service are retained until others serve."""
        return sum(len(nodes) for nodes in self._retained.values())

    def on_assignment(self, assignment: Assignment) -> None:
        """Begin to move services according to a new assignment.

        `on_dead` must have been called for the losses that led to it.

        Raises:
            InvalidInputError: it names a node that is not registered; nothing has changed then.
        """
        for node in assignment.services_by_node:
            self._check_registered(node)
        self.generation += 1
        is_first = not self._assigned
        before, self._assigned = self._assigned, assignment.holders
        self._assigned_to = assignment.services_by_node
        for service in sorted(before.keys() | self._assigned.keys()):
            old, new = before.get(service, ()), self._assigned.get(service, ())
            if old != new:
                self._move(service, frozenset(old), frozenset(new), is_first)
        for service in sorted(self._retained.keys() - self._assigned.keys()):
            self._settle(service)

    def on_serving(self, node: str, service: str, generation: int | None = None) -> bool:
        """Handle a node's report that it holds the service completely and serves it.

        Args:
            node: the node.
            service: the service.
            generation: that of the last answer that the node received; None for the current one.

        Returns:
            False if the report is ignored: it is of an earlier generation, or the node serves too
            many services that are not assigned to it.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check_registered(node)
        if not self._is_valid_report(node, service, generation):
            return False
        if service not in self._assigned_to.get(node, ()):
            if node in self._releasable.get(service, ()):
                return False
            if not self._retain(node, service):
                return False
        self._serving.setdefault(service, set()).add(node)
        self._settle(service)
        return True

    def on_report(self, node: str, serving: Collection[str], generation: int | None = None) -> None:
        """Handle a node's report of all services that it serves; others it has released or lost.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check_registered(node)
        if generation is not None and generation < self._node_min_generation.get(node, 0):
            return
        reported = frozenset(serving)
        tracked = self.assigned(node) | self._retained_by.get(node, set()) | self.releasable(node)
        for service in sorted(tracked - reported):
            self.on_released(node, service)
        for service in sorted(reported):
            self.on_serving(node, service, generation)

    def on_released(self, node: str, service: str) -> None:
        """Handle a node's report that it does not hold the service.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check_registered(node)
        tables = (self._serving, self._retained, self._releasable)
        if any(node in table.get(service, ()) for table in tables):
            self.generation += 1
            self._ignore_earlier_reports(node, service)
            self._forget(node, service)
            _discard(self._serving, service, node)
            self._settle(service)

    def on_dead(self, node: str) -> None:
        """Handle the death of a node: it serves nothing, and its earlier reports are ignored.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check_registered(node)
        self.generation += 1
        self._node_min_generation[node] = self.generation
        self._service_min_generation.pop(node, None)
        retained = self._retained_by.get(node, set()) | self._releasable_by.get(node, set())
        for service in retained:
            self._forget(node, service)
        for service in sorted(retained | self.assigned(node)):
            _discard(self._serving, service, node)
            self._settle(service)

    def _is_valid_report(self, node: str, service: str, generation: int | None) -> bool:
        if generation is None:
            return True
        minimum = self._service_min_generation.get(node, {}).get(service, 0)
        return generation >= max(minimum, self._node_min_generation.get(node, 0))

    def _ignore_earlier_reports(self, node: str, service: str) -> None:
        """Ignore the node's reports on the service that are of an earlier generation.

        If there are too many entries, the oldest one is applied to all services of the node. That
        may ignore valid reports, which the node then repeats.
        """
        generations = self._service_min_generation.setdefault(node, {})
        generations.pop(service, None)
        generations[service] = self.generation
        if len(generations) > MAX_GENERATIONS:
            oldest = next(iter(generations))
            generation = generations.pop(oldest)
            self._node_min_generation[node] = max(
                self._node_min_generation.get(node, 0), generation
            )

    def _move(self, service: str, old: frozenset[str], new: frozenset[str], is_first: bool) -> None:
        """Move a service between holders; `is_first`: there was no assignment before this one."""
        for node in old - new:
            if not self._retain(node, service):
                _discard(self._serving, service, node)
        for node in new - old:
            self._forget(node, service)
            if not is_first and node not in self._serving.get(service, ()):
                self._ignore_earlier_reports(node, service)
        self._settle(service)

    def _settle(self, service: str) -> None:
        """Apply the release rule to all nodes that are retained or may release the service."""
        retained = self._retained.get(service, set())
        releasable = self._releasable.get(service, set())
        if not self._assigned or not retained and not releasable:
            return
        if service not in self._assigned:
            for node in sorted(retained):
                self._release(node, service)
            return
        counts = _ZoneCounts(self._zones, self._assigned[service], self._serving.get(service, ()))
        for node in sorted(releasable):
            if counts.missing(node) > 0:
                self._revoke_release(node, service)
        for node in sorted(retained):
            serves = node in self._serving.get(service, ())
            # The node itself must not count: if it serves (which adds 1), one more is missing.
            if counts.missing(node) + serves <= 0 and self._release(node, service) and serves:
                counts.remove(node)

    def _release(self, node: str, service: str) -> bool:
        """Allow the node to release the service; False if it may already release too many."""
        releasable = self._releasable_by.setdefault(node, set())
        if len(releasable) >= MAX_RETAINED:
            return False
        self._forget(node, service)
        _discard(self._serving, service, node)
        self._releasable_by.setdefault(node, set()).add(service)
        self._releasable.setdefault(service, set()).add(node)
        return True

    def _revoke_release(self, node: str, service: str) -> None:
        """Retain a node that may release the service, in case it has not done so yet.

        Its next report shows whether it still serves the service.
        """
        self._forget(node, service)
        if self._retain(node, service):
            self.generation += 1
            self._ignore_earlier_reports(node, service)

    def _retain(self, node: str, service: str) -> bool:
        """Track the node as a former holder; False if too many services are tracked for it."""
        services = self._retained_by.setdefault(node, set())
        if service not in services and len(services) >= MAX_RETAINED:
            return False
        services.add(service)
        self._retained.setdefault(service, set()).add(node)
        return True

    def _forget(self, node: str, service: str) -> None:
        """Remove the service from those that the node retains or may release."""
        _discard(self._retained, service, node)
        _discard(self._retained_by, node, service)
        _discard(self._releasable, service, node)
        _discard(self._releasable_by, node, service)

    def _check_registered(self, node: str) -> None:
        if node not in self._zones:
            raise InvalidInputError(f"handover: unknown node {node!r}, must be a registered node")


class _ZoneCounts:
    """The number of nodes in each zone that a service is assigned to, and that serve it."""

    def __init__(
        self, zones: Mapping[str, str], assigned: Iterable[str], serving: Iterable[str]
    ) -> None:
        self._zones = zones
        self._assigned = Counter(zones[node] for node in assigned)
        self._serving = Counter(zones[node] for node in serving)

    def missing(self, node: str) -> int:
        """Return how many serving nodes are missing to allow a release by `node`.

        They are counted in the node's zone, or over all zones if the service is not assigned to any
        node of that zone.
        """
        zone = self._zones[node]
        if zone in self._assigned:
            return self._assigned[zone] - self._serving[zone]
        return max(self._assigned.total(), 1) - self._serving.total()

    def remove(self, node: str) -> None:
        """Count a node as no longer serving."""
        self._serving[self._zones[node]] -= 1


def _discard(table: dict[str, set[str]], key: str, item: str) -> None:
    items = table.get(key)
    if items is not None:
        items.discard(item)
        if not items:
            del table[key]

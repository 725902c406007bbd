"""Moves of services between nodes, as the control side sees them: who may release what, and when.

The rule of release: a node that a service moves away from may release it only once the nodes that
serve it, without that node, are as many as the assignment asks for. They are counted in the
node's own zone, or over all zones where the assignment has nobody in that zone. So one node is
released for each new holder that serves. Time never lifts the rule: a new holder that never serves
retains an old one, which costs connections and no request. A service that is deleted is released
at once. Where a holder is lost before an old one has released, the old one is retained again.

A node's report counts only if the node made it after it had received what it is to hold. What takes
something back from nodes begins a new generation, an answer to a node carries the present one, and
the node's reports carry that of the last answer it had from this machine (0 if it had none). A node
that may release a service has perhaps done so at once, so it does not count as serving any more; if
the service comes back to it, only a report as of that generation or a later one counts. So reports
may come twice, late and in any order.

This state need not survive a restart: a machine that starts anew learns from the nodes' reports who
serves what, and releases no node before enough others are known to serve.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from loadbalancer.core.assignment.assignment import Assignment
from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec

MAX_RETAINED = 256  # services that are tracked of one node beside its assigned ones
MAX_GENERATIONS = 1024  # services of one node with a generation of their own


class Handover:
    """Which nodes are assigned, serve, are retained, and may release.

    A retained node was a holder by an earlier assignment and serves on until others do. State is
    bounded by the assigned pairs of node and service, and by twice `MAX_RETAINED` services a node
    beside them. What is beyond that is neither wanted nor releasable: the node holds it, uncounted,
    until it can be tracked.
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
        # The generation from which on a node's reports of a service count, and those of anything.
        self._counts_from: dict[str, dict[str, int]] = {}
        self._all_count_from: dict[str, int] = {}

    def required(self, node: str) -> frozenset[str]:
        """The services that the node is to hold: assigned to it, or served until others do.

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
        """Those of `required` that are the node's own by the assignment.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        return frozenset(self._assigned_to.get(node, ()))

    def releasable(self, node: str) -> frozenset[str]:
        """The services that the node need not hold any more, as far as it does.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        return frozenset(self._releasable_by.get(node, ()))

    def pending_moves(self) -> int:
        """How many pairs of node and service are retained until others serve."""
        return sum(len(nodes) for nodes in self._retained.values())

    # ---- events -------------------------------------------------------------

    def on_assignment(self, assignment: Assignment) -> None:
        """Begin to move to this assignment; `on_dead` comes first for the losses that led to it.

        Raises:
            InvalidInputError: it names a node that is not registered; nothing has changed then.
        """
        for node in assignment.services_by_node:
            self._check(node)
        self.generation += 1
        first = not self._assigned
        before, self._assigned = self._assigned, assignment.holders
        self._assigned_to = assignment.services_by_node
        for service in sorted(before.keys() | self._assigned.keys()):
            old, new = before.get(service, ()), self._assigned.get(service, ())
            if old != new:
                self._move(service, frozenset(old), frozenset(new), first)
        for service in sorted(self._retained.keys() - self._assigned.keys()):
            self._settle(service)

    def on_serving(self, node: str, service: str, generation: int | None = None) -> bool:
        """The node reports that it holds the service completely and serves it.

        `generation` is the one of the last answer that the node was given, None for the current.
        False where the report doesn't count: it is of an earlier generation, or the node serves
        too many services that are not assigned to it.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        if not self._report_counts(node, service, generation):
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
        """The node reports all that it serves: what it doesn't name, it has released or lost.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        if generation is not None and generation < self._all_count_from.get(node, 0):
            return
        named = frozenset(serving)
        tracked = self.assigned(node) | self._retained_by.get(node, set()) | self.releasable(node)
        for service in sorted(tracked - named):
            self.on_released(node, service)
        for service in sorted(named):
            self.on_serving(node, service, generation)

    def on_released(self, node: str, service: str) -> None:
        """The node reports that it does not hold the service.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        tables = (self._serving, self._retained, self._releasable)
        if any(node in table.get(service, ()) for table in tables):
            self.generation += 1
            self._discount_earlier(node, service)
            self._forget(node, service)
            _discard(self._serving, service, node)
            self._settle(service)

    def on_dead(self, node: str) -> None:
        """The node is lost: it serves nothing, and its earlier reports count no more.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        self.generation += 1
        self._all_count_from[node] = self.generation
        self._counts_from.pop(node, None)
        retained = self._retained_by.get(node, set()) | self._releasable_by.get(node, set())
        for service in retained:
            self._forget(node, service)
        for service in sorted(retained | self.assigned(node)):
            _discard(self._serving, service, node)
            self._settle(service)

    # ---- which reports count ------------------------------------------------

    def _report_counts(self, node: str, service: str, generation: int | None) -> bool:
        if generation is None:
            return True
        first = self._counts_from.get(node, {}).get(service, 0)
        return generation >= max(first, self._all_count_from.get(node, 0))

    def _discount_earlier(self, node: str, service: str) -> None:
        """From now on, only the node's reports of this generation on count for the service.

        Where the bound is reached, the oldest entry applies to all services of the node: that
        ignores reports which might have counted, and the node reports again.
        """
        counts_from = self._counts_from.setdefault(node, {})
        counts_from.pop(service, None)
        counts_from[service] = self.generation
        if len(counts_from) > MAX_GENERATIONS:
            oldest = next(iter(counts_from))
            generation = counts_from.pop(oldest)
            self._all_count_from[node] = max(self._all_count_from.get(node, 0), generation)

    # ---- moves --------------------------------------------------------------

    def _move(self, service: str, old: frozenset[str], new: frozenset[str], first: bool) -> None:
        for node in old - new:
            if not self._retain(node, service):
                _discard(self._serving, service, node)
        for node in new - old:
            self._forget(node, service)
            if not first and node not in self._serving.get(service, ()):
                self._discount_earlier(node, service)
        self._settle(service)

    def _settle(self, service: str) -> None:
        """Release the retained nodes that are not needed, and retain those again that are."""
        retained = self._retained.get(service, set())
        releasable = self._releasable.get(service, set())
        if not self._assigned or not retained and not releasable:
            return
        if service not in self._assigned:
            for node in sorted(retained):
                self._release(node, service)
            return
        tally = _Tally(self._zones, self._assigned[service], self._serving.get(service, ()))
        for node in sorted(releasable):
            if tally.missing(node) > 0:
                self._revoke_release(node, service)
        for node in sorted(retained):
            serves = node in self._serving.get(service, ())
            # Without this node one more is missing if it serves (`serves` adds 0 or 1).
            if tally.missing(node) + serves <= 0 and self._release(node, service) and serves:
                tally.remove(node)

    def _release(self, node: str, service: str) -> bool:
        """Let the node release the service; False where too many wait for that already."""
        releasable = self._releasable_by.setdefault(node, set())
        if len(releasable) >= MAX_RETAINED:
            return False
        self._forget(node, service)
        _discard(self._serving, service, node)
        self._releasable_by.setdefault(node, set()).add(service)
        self._releasable.setdefault(service, set()).add(node)
        return True

    def _revoke_release(self, node: str, service: str) -> None:
        """Retain a node that might release, if it has not: its next reports name the service."""
        self._forget(node, service)
        if self._retain(node, service):
            self.generation += 1
            self._discount_earlier(node, service)

    def _retain(self, node: str, service: str) -> bool:
        """Track the node as a former holder; False where it has too many such services."""
        services = self._retained_by.setdefault(node, set())
        if service not in services and len(services) >= MAX_RETAINED:
            return False
        services.add(service)
        self._retained.setdefault(service, set()).add(node)
        return True

    def _forget(self, node: str, service: str) -> None:
        """The node is neither retained for the service nor may it release it."""
        _discard(self._retained, service, node)
        _discard(self._retained_by, node, service)
        _discard(self._releasable, service, node)
        _discard(self._releasable_by, node, service)

    def _check(self, node: str) -> None:
        if node not in self._zones:
            raise InvalidInputError(f"handover: unknown node {node!r}, must be a registered one")


class _Tally:
    """How many nodes a service is assigned to and served by, in each zone."""

    def __init__(
        self, zones: Mapping[str, str], assigned: Iterable[str], serving: Iterable[str]
    ) -> None:
        self._zones = zones
        self._assigned = Counter(zones[node] for node in assigned)
        self._serving = Counter(zones[node] for node in serving)

    def missing(self, node: str) -> int:
        """How many more must serve, in the zone of this node, or in all if it is assigned none."""
        zone = self._zones[node]
        if zone in self._assigned:
            return self._assigned[zone] - self._serving[zone]
        return max(self._assigned.total(), 1) - self._serving.total()

    def remove(self, node: str) -> None:
        """The node does not serve any more."""
        self._serving[self._zones[node]] -= 1


def _discard(table: dict[str, set[str]], key: str, item: str) -> None:
    items = table.get(key)
    if items is not None:
        items.discard(item)
        if not items:
            del table[key]

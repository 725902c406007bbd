"""Moves of services between nodes, as the control side sees them: who has still to hold what.

The rule of release: a node that a service moves away from may release it only once the nodes that
serve it, without that node, are as many as the assignment asks for. They are counted in the
node's own zone, or over all zones where the assignment has nobody in that zone. So one node is
let go for each new holder that serves. Time never lifts the rule: a new holder that never serves
keeps an old one, which costs connections and no request. A service that is gone altogether is
released at once. Where a holder is lost before an old one has released, the old one is kept again.

A node's word counts only if it said it after it was told: what takes something back from nodes
begins a new generation, an answer to a node carries the present one, and the node's words name
that of the last answer it had from this machine (0 if it had none). A node that may release a
service has perhaps done so at once, so it does not count as serving any more; if the service
comes back to it, only a word as of that generation or a later one counts. So words may come
twice, late and in any order.

Nothing of this has to outlive its process: a machine that begins anew learns from the nodes'
words who serves what, and lets nobody go before it knows enough of those who serve.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from loadbalancer.core.assignment.assignment import Assignment
from loadbalancer.core.assignment.model import InvalidInputError, NodeSpec

MOST_FORMER = 256  # services that are noted of one node beside its assigned ones
MOST_TOLD = 1024  # services of one node of which older words are told apart one by one


class Handover:
    """Who is assigned, who serves, who is kept on and who may release.

    State is bounded by the assigned pairs of node and service, and by twice `MOST_FORMER`
    services a node beside them. What is beyond that is neither wanted nor releasable: the node
    keeps it, uncounted, until there is room to tell it otherwise.
    """

    def __init__(self, nodes: Iterable[NodeSpec]) -> None:
        self.generation = 0
        self._zones = {node.name: node.zone for node in nodes}
        self._assigned: Mapping[str, tuple[str, ...]] = {}  # nodes, by service
        self._held: Mapping[str, tuple[str, ...]] = {}  # services, by node
        self._serving: dict[str, set[str]] = {}  # nodes, by service; assigned or former
        self._former: dict[str, set[str]] = {}  # nodes no longer assigned and kept on, by service
        self._former_of: dict[str, set[str]] = {}  # the same the other way round
        self._releasable: dict[str, set[str]] = {}  # nodes, by service
        self._releasable_of: dict[str, set[str]] = {}  # services, by node
        self._told: dict[str, dict[str, int]] = {}  # a node's older words on a service don't count
        self._told_all: dict[str, int] = {}  # nor do a node's on anything

    def wanted(self, node: str) -> frozenset[str]:
        """The services that the node is to hold now: assigned to it, or served by it until others
        do.

        Raises:
            InvalidInputError: there is no such node.
        """
        kept = {
            service
            for service in self._former_of.get(node, ())
            if node in self._serving.get(service, ())
        }
        return self.assigned(node) | kept

    def assigned(self, node: str) -> frozenset[str]:
        """Those of `wanted` that are the node's own by the assignment.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        return frozenset(self._held.get(node, ()))

    def releasable(self, node: str) -> frozenset[str]:
        """The services that the node need not hold any more, as far as it does.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        return frozenset(self._releasable_of.get(node, ()))

    def moving(self) -> int:
        """How many pairs of node and service are kept on until others serve."""
        return sum(len(nodes) for nodes in self._former.values())

    def on_assignment(self, assignment: Assignment) -> None:
        """Begin to move to this assignment. Those whose loss it follows come first, in `on_dead`.

        Raises:
            InvalidInputError: it names a node that is not registered; nothing has changed then.
        """
        for node in assignment.services_by_node:
            self._check(node)
        self.generation += 1
        first = not self._assigned
        before, self._assigned, self._held = (
            self._assigned,
            assignment.holders,
            assignment.services_by_node,
        )
        for service in sorted(before.keys() | self._assigned.keys()):
            old, new = before.get(service, ()), self._assigned.get(service, ())
            if old != new:
                self._move(service, frozenset(old), frozenset(new), first)
        for service in sorted(self._former.keys() - self._assigned.keys()):
            self._settle(service)

    def on_serving(self, node: str, service: str, generation: int | None = None) -> bool:
        """The node says that it holds the service whole and serves it.

        `generation` is the one of the last answer that the node was given, None for the current.
        False where the word doesn't count: it is older than what the node was told since, or the
        node serves too many that are not assigned to it.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        if not self._counts(node, service, generation):
            return False
        if service not in self._held.get(node, ()):
            if node in self._releasable.get(service, ()):
                return False
            if not self._keep(node, service):
                return False
        self._serving.setdefault(service, set()).add(node)
        self._settle(service)
        return True

    def on_report(self, node: str, serving: Collection[str], generation: int | None = None) -> None:
        """The node says all that it serves: what it doesn't name, it has released or lost.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        if generation is not None and generation < self._told_all.get(node, 0):
            return
        named = frozenset(serving)
        noted = self.assigned(node) | self._former_of.get(node, set()) | self.releasable(node)
        for service in sorted(noted - named):
            self.on_released(node, service)
        for service in sorted(named):
            self.on_serving(node, service, generation)

    def on_released(self, node: str, service: str) -> None:
        """The node says that it does not hold the service.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        noted = (self._serving, self._former, self._releasable)
        if any(node in table.get(service, ()) for table in noted):
            self.generation += 1
            self._tell(node, service)
            self._forget(node, service)
            _discard(self._serving, service, node)
            self._settle(service)

    def on_dead(self, node: str) -> None:
        """The node is gone: it serves nothing, and what it said before counts no more.

        Raises:
            InvalidInputError: there is no such node.
        """
        self._check(node)
        self.generation += 1
        self._told_all[node] = self.generation
        self._told.pop(node, None)
        former = self._former_of.get(node, set()) | self._releasable_of.get(node, set())
        for service in former:
            self._forget(node, service)
        for service in sorted(former | self.assigned(node)):
            _discard(self._serving, service, node)
            self._settle(service)

    def _counts(self, node: str, service: str, generation: int | None) -> bool:
        if generation is None:
            return True
        told = self._told.get(node, {}).get(service, 0)
        return generation >= max(told, self._told_all.get(node, 0))

    def _tell(self, node: str, service: str) -> None:
        """From now on, only words on the service count that the node says in this generation."""
        told = self._told.setdefault(node, {})
        told.pop(service, None)
        told[service] = self.generation
        if len(told) > MOST_TOLD:
            oldest = next(iter(told))
            self._told_all[node] = max(self._told_all.get(node, 0), told.pop(oldest))

    def _move(self, service: str, old: frozenset[str], new: frozenset[str], first: bool) -> None:
        for node in old - new:
            if not self._keep(node, service):
                _discard(self._serving, service, node)
        for node in new - old:
            self._forget(node, service)
            if not first and node not in self._serving.get(service, ()):
                self._tell(node, service)
        self._settle(service)

    def _settle(self, service: str) -> None:
        """Let go the former holders that are not needed, or keep those again that are."""
        former = self._former.get(service, set())
        releasable = self._releasable.get(service, set())
        if not self._assigned or not former and not releasable:
            return
        if service not in self._assigned:
            for node in sorted(former):
                self._let_go(node, service)
            return
        tally = _Tally(self._zones, self._assigned[service], self._serving.get(service, ()))
        for node in sorted(releasable):
            if tally.short(node) > 0:
                self._take_back(node, service)
        for node in sorted(former):
            serves = node in self._serving.get(service, ())
            if tally.short(node) + serves <= 0 and self._let_go(node, service) and serves:
                tally.remove(node)

    def _let_go(self, node: str, service: str) -> bool:
        releasable = self._releasable_of.setdefault(node, set())
        if len(releasable) >= MOST_FORMER:
            return False
        self._forget(node, service)
        _discard(self._serving, service, node)
        self._releasable_of.setdefault(node, set()).add(service)
        self._releasable.setdefault(service, set()).add(node)
        return True

    def _take_back(self, node: str, service: str) -> None:
        """Keep a node that was let go, if it has not released: it says so if it has not."""
        self._forget(node, service)
        if self._keep(node, service):
            self.generation += 1
            self._tell(node, service)

    def _keep(self, node: str, service: str) -> bool:
        of_node = self._former_of.setdefault(node, set())
        if service not in of_node and len(of_node) >= MOST_FORMER:
            return False
        of_node.add(service)
        self._former.setdefault(service, set()).add(node)
        return True

    def _forget(self, node: str, service: str) -> None:
        """The node is neither kept on for the service nor let go."""
        _discard(self._former, service, node)
        _discard(self._former_of, node, service)
        _discard(self._releasable, service, node)
        _discard(self._releasable_of, node, service)

    def _check(self, node: str) -> None:
        if node not in self._zones:
            raise InvalidInputError(f"handover: unknown node {node!r}, must be a registered one")


class _Tally:
    """How many nodes a service is assigned to and served by, in each zone."""

    def __init__(
        self, zones: Mapping[str, str], assigned: Iterable[str], serving: Iterable[str]
    ) -> None:
        self._zones = zones
        self._asked = Counter(zones[node] for node in assigned)
        self._serving = Counter(zones[node] for node in serving)

    def short(self, node: str) -> int:
        """How many more must serve, in the zone of this node, or in all if it has none to."""
        zone = self._zones[node]
        if zone in self._asked:
            return self._asked[zone] - self._serving[zone]
        return max(self._asked.total(), 1) - self._serving.total()

    def remove(self, node: str) -> None:
        """The node does not serve any more."""
        self._serving[self._zones[node]] -= 1


def _discard(table: dict[str, set[str]], key: str, item: str) -> None:
    items = table.get(key)
    if items is not None:
        items.discard(item)
        if not items:
            del table[key]

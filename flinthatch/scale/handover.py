"""Moves of services between nodes, as the control side sees them: who has still to hold what.

The rule of release: a node that a service moves away from may release it only once the nodes that
serve it, without that node, are as many as the assignment asks for. They are counted in the
node's own zone, or over all zones where the assignment has nobody in that zone. So one node is
let go for each new holder that serves. Time never lifts the rule: a new holder that never serves
keeps an old one, which costs connections and no request. A service that is gone altogether is
released at once.

A node's word counts only if it said it after it was told: `on_assignment` and `on_dead` begin a
new generation, an answer to a node carries the present one, and the node's words name that of the
last answer it had from this machine (0 if it had none). A node that may release a service has
perhaps done so at once, so it does not count as serving any more; if the service comes back to
it, only a word as of that generation or a later one counts.

Nothing of this has to outlive its process: a machine that begins anew learns from the nodes'
words who serves what, and lets nobody go before it knows enough of those who serve.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from flinthatch.scale.assignment import Assignment
from flinthatch.scale.model import NodeSpec, ScaleError

MOST_FORMER = 256  # services that are noted of one node beside its assigned ones


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
        self._releasable: dict[str, set[str]] = {}  # services, by node
        self._since: dict[tuple[str, str], int] = {}  # a (node, service)'s older words don't count
        self._node_since: dict[str, int] = {}  # nor do a node's

    def wanted(self, node: str) -> frozenset[str]:
        """The services that the node is to hold now: assigned to it, or served by it until others
        do.

        Raises:
            ScaleError: there is no such node.
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
            ScaleError: there is no such node.
        """
        self._check(node)
        return frozenset(self._held.get(node, ()))

    def releasable(self, node: str) -> frozenset[str]:
        """The services that the node need not hold any more, as far as it does.

        Raises:
            ScaleError: there is no such node.
        """
        self._check(node)
        return frozenset(self._releasable.get(node, ()))

    def moving(self) -> int:
        """How many pairs of node and service are kept on until others serve."""
        return sum(len(nodes) for nodes in self._former.values())

    def on_assignment(self, assignment: Assignment) -> None:
        """Begin to move to this assignment. Those whose loss it follows come first, in `on_dead`.

        Raises:
            ScaleError: it names a node that is not registered; nothing has changed then.
        """
        for node in assignment.held:
            self._check(node)
        self.generation += 1
        before, self._assigned, self._held = self._assigned, assignment.holders, assignment.held
        if not before:  # the first one tells nobody anything new
            return
        for service in sorted(before.keys() | self._assigned.keys()):
            old, new = before.get(service, ()), self._assigned.get(service, ())
            if old != new:
                self._move(service, frozenset(old), frozenset(new))

    def on_serving(self, node: str, service: str, generation: int | None = None) -> bool:
        """The node says that it holds the service whole and serves it.

        `generation` is the one of the last answer that the node was given, None for the current.
        False where the word doesn't count: it is older than what the node was told since, or the
        node serves too many that are not assigned to it.

        Raises:
            ScaleError: there is no such node.
        """
        self._check(node)
        if not self._counts(node, service, generation):
            return False
        if node not in self._assigned.get(service, ()):
            if service in self._releasable.get(node, ()):
                return False
            if not self._keep(node, service):
                return False
        self._since.pop((node, service), None)
        self._serving.setdefault(service, set()).add(node)
        self._settle(service)
        return True

    def on_report(self, node: str, serving: Collection[str], generation: int | None = None) -> None:
        """The node says all that it serves: what it doesn't name, it has released or lost.

        Raises:
            ScaleError: there is no such node.
        """
        self._check(node)
        if generation is not None and generation < self._node_since.get(node, 0):
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
            ScaleError: there is no such node.
        """
        self._check(node)
        _discard(self._releasable, node, service)
        _discard(self._serving, service, node)
        self._forget_former(node, service)

    def on_dead(self, node: str) -> None:
        """The node is gone: it serves nothing, and what it said before counts no more.

        Raises:
            ScaleError: there is no such node.
        """
        self._check(node)
        self.generation += 1
        self._node_since[node] = self.generation
        for service in self._held.get(node, ()):
            _discard(self._serving, service, node)
        for service in tuple(self._former_of.get(node, ())):
            _discard(self._serving, service, node)
            self._forget_former(node, service)
        self._releasable.pop(node, None)

    def _counts(self, node: str, service: str, generation: int | None) -> bool:
        if generation is None:
            return True
        least = max(self._since.get((node, service), 0), self._node_since.get(node, 0))
        return generation >= least

    def _move(self, service: str, old: frozenset[str], new: frozenset[str]) -> None:
        for node in old - new:
            self._since.pop((node, service), None)
            if not self._keep(node, service):
                _discard(self._serving, service, node)
        for node in new - old:
            self._forget_former(node, service)
            _discard(self._releasable, node, service)
            if node not in self._serving.get(service, ()):
                self._since[node, service] = self.generation
        self._settle(service)

    def _settle(self, service: str) -> None:
        """Let go the former holders that are not needed any more."""
        former = self._former.get(service)
        if not former:
            return
        gone = service not in self._assigned
        asked = Counter(self._zones[node] for node in self._assigned.get(service, ()))
        serving = Counter(self._zones[node] for node in self._serving.get(service, ()))
        for node in sorted(former):
            zone = self._zones[node]
            serves = node in self._serving.get(service, ())
            if zone in asked:
                short = asked[zone] - (serving[zone] - serves)
            else:
                short = max(asked.total(), 1) - (serving.total() - serves)
            if (short <= 0 or gone) and self._let_go(node, service):
                serving[zone] -= serves

    def _let_go(self, node: str, service: str) -> bool:
        releasable = self._releasable.setdefault(node, set())
        if len(releasable) >= MOST_FORMER:
            return False
        releasable.add(service)
        _discard(self._serving, service, node)
        self._forget_former(node, service)
        return True

    def _keep(self, node: str, service: str) -> bool:
        of_node = self._former_of.setdefault(node, set())
        if service not in of_node and len(of_node) >= MOST_FORMER:
            return False
        of_node.add(service)
        self._former.setdefault(service, set()).add(node)
        return True

    def _forget_former(self, node: str, service: str) -> None:
        _discard(self._former, service, node)
        _discard(self._former_of, node, service)

    def _check(self, node: str) -> None:
        if node not in self._zones:
            raise ScaleError(f"handover: unknown node {node!r}, must be a registered one")


def _discard(table: dict[str, set[str]], key: str, item: str) -> None:
    items = table.get(key)
    if items is not None:
        items.discard(item)
        if not items:
            del table[key]

"""A referee of the sharded configuration's world, with books of its own.

It writes down what was proposed, what was loaded and what was accepted, and looks at every hollow
node after every answer: no position goes back, what is held is what was accepted up to its
position, a drain that a node was told stays, and nobody releases a service that no other serves.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.core.assignment.model import START, Change, Delta, Position, Row, Update
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.replicated_log.change_log import ChangeLog
from loadbalancer.core.subscription.holder import Holder
from loadbalancer.core.subscription.updates import UpdateStatus

UNKNOWN_DEATH = 8 * SECOND  # until control knows that a node is dead
GRACE = SECOND  # from when a drain is told until nothing is sent to the backend

Rows = Mapping[str, Row]


class NodeLife(NamedTuple):
    """A node from one start to its end."""

    name: str
    life: int


class Drained(NamedTuple):
    """A drain that a node was told."""

    holder: Holder
    position: Position
    at: int


@dataclass
class _History:
    """All states of one service, by the revision of the change that led there."""

    revisions: list[int] = field(default_factory=list)
    rows: list[Rows | None] = field(default_factory=list)

    def add(self, revision: int, rows: Rows | None) -> None:
        self.revisions.append(revision)
        self.rows.append(rows)

    def at(self, revision: int) -> Rows | None:
        index = bisect_right(self.revisions, revision)
        return self.rows[index - 1] if index else None


@dataclass
class _Chain:
    """Changes that follow each other, from one load of the region's log on."""

    accepted: dict[int, Change] = field(default_factory=dict)  # by revision
    services: dict[str, _History] = field(default_factory=lambda: defaultdict(_History))
    last: Position = START

    def holds(self, position: Position) -> bool:
        change = self.accepted.get(position.revision)
        return change is not None and change.position == position

    def followed_by(self, position: Position) -> bool:
        return position.revision == self.last.revision + 1 and position.epoch >= self.last.epoch


@dataclass
class _RegionBook:
    chains: list[_Chain] = field(default_factory=list)
    proposed: dict[Position, tuple[str, Rows | None]] = field(default_factory=dict)
    loaded: list[dict[str, Rows]] = field(default_factory=list)

    def chain_of(self, position: Position) -> _Chain | None:
        """The chain that went through a position."""
        return next((chain for chain in reversed(self.chains) if chain.holds(position)), None)

    def at(self, service: str, position: Position) -> Rows | None:
        chain = self.chain_of(position)
        return None if chain is None else chain.services[service].at(position.revision)


class Referee:
    """Looks at the world as nobody in it can."""

    def __init__(
        self,
        home: Mapping[str, str],
        clock: Callable[[], int],
        breach: Callable[[str], None],
        others_serving: Callable[[str, str], list[str]],
        asked_for: Callable[[str], list[str]],
    ) -> None:
        """`home` gives each service's region, `others_serving` the zones of those who serve a
        service beside a node, `asked_for` the zones of those who are to."""
        self.books: dict[str, _RegionBook] = defaultdict(_RegionBook)
        self.checks = 0
        # In a calm world each zone must have as many as are asked for before one is let go. Under
        # faults control's machines know different things, and one other server has to do.
        self.calm = False
        self._home = home
        self._clock = clock
        self._breach = breach
        self._others_serving = others_serving
        self._asked_for = asked_for
        self._positions: dict[tuple[NodeLife, str], Position] = {}
        self._drains: dict[tuple[NodeLife, str, str], Drained] = {}
        self._were_serving: dict[NodeLife, frozenset[str]] = {}
        self._served: dict[str, int] = {}  # when a server of it last died, or all had to stop

    # ---- what was written -----------------------------------------------------

    def on_proposed(self, region: str, position: Position, service: str, rows: Rows | None) -> None:
        """A source proposed that a service's rows be these; None where it is to go."""
        self.books[region].proposed[position] = service, rows

    def on_load(self, region: str, services: Mapping[str, Rows]) -> None:
        """A source gave all its services to a leader without a log."""
        self.books[region].loaded.append({name: dict(rows) for name, rows in services.items()})

    def accepted(self, region: str, position: Position) -> bool:
        """Whether the change at this position was accepted."""
        return self.books[region].chain_of(position) is not None

    def on_committed(self, machine: str, region: str, change: Change) -> None:
        """A machine counts a change as accepted."""
        book = self.books[region]
        position = change.position
        chain = book.chain_of(position)
        if chain is not None:
            if chain.accepted[position.revision] != change:
                self._breach(f"{machine}: {position} is not what was accepted there")
            return
        chain = next((c for c in reversed(book.chains) if c.followed_by(position)), None)
        if chain is None:
            if not change.complete:
                self._breach(f"{machine}: {position} follows nothing that was accepted")
            chain = _Chain()
            book.chains.append(chain)
        elif chain is not book.chains[-1]:
            self._breach(f"{machine}: {position} was accepted after a later load")
        chain.accepted[position.revision] = change
        chain.last = position
        if change.service:
            self._write(book, chain, change)

    def _write(self, book: _RegionBook, chain: _Chain, change: Change) -> None:
        """Take the rows from the source's own words, not from the change."""
        proposed = book.proposed.get(change.position)
        if proposed is not None:
            service, rows = proposed
            if service != change.service:
                self._breach(f"{change.position} was proposed for {service}")
        else:
            rows = None if change.deleted else {row.uid: row for row in change.rows}
            loaded = any(load.get(change.service) == rows for load in book.loaded)
            kept = len(book.chains) > 1 and rows == self._before(book, change.service)
            if not (loaded or kept) or not change.complete:
                self._breach(f"{change.position} was neither proposed nor loaded")
        chain.services[change.service].add(change.position.revision, rows)
        if rows is None:
            self._served[change.service] = self._clock()  # those that serve it stop, in any order

    def _before(self, book: _RegionBook, service: str) -> Rows | None:
        """A service's rows at the end of the chain before the last."""
        chain = book.chains[-2]
        return chain.services[service].at(chain.last.revision)

    def on_restored(self, machine: str, log: ChangeLog) -> None:
        """A machine took over an image, or a load: what it has must be what was accepted."""
        if self.accepted(log.region, log.position):
            self.compare(machine, log)  # of a load that has just ended the changes are told next

    def compare(self, machine: str, log: ChangeLog) -> None:
        """Whether what a machine has is what was accepted up to its position."""
        for service, region in self._home.items():
            accepted = self.books[region].at(service, log.position)
            if region == log.region and log.rows(service) != accepted:
                self._breach(f"{machine}: {service} is not as it was accepted at {log.position}")

    # ---- what nodes hold ------------------------------------------------------

    def on_update(self, node: NodeLife, holder: Holder, update: Update, kind: UpdateStatus) -> None:
        """Note the drains that a node was told."""
        if kind not in (UpdateStatus.APPLIED, UpdateStatus.OVER_LIMIT):
            return
        if isinstance(update, Delta):
            rows = [(change.service, row) for change in update.changes for row in change.rows]
        else:
            rows = [(name, row) for name, held in update.services.items() for row in held.values()]
        for service, row in rows:
            if not row.draining:
                self._drains.pop((node, service, row.uid), None)  # it came back, by its own word
            elif holder.rows(service) is not None:
                drained = Drained(holder, update.position, self._clock())
                self._drains[node, service, row.uid] = drained

    def look_at(self, node: NodeLife, holder: Holder) -> None:
        """One node, after whatever it was told."""
        self.checks += 1
        for region, book in self.books.items():
            position = holder.position(region)
            if position < self._positions.get((node, region), START):
                self._breach(f"{node.name} went back to {position} of {region}")
            self._positions[node, region] = position
            for service in holder.subscription(region) - holder.missing(region):
                if holder.rows(service) != book.at(service, position):
                    self._breach(f"{node.name}: {service} is not as accepted at {position}")
        for service in holder.released():
            if service in self._were_serving.get(node, ()):
                self._released(node, service)
        self._were_serving[node] = holder.serving()

    def _released(self, node: NodeLife, service: str) -> None:
        book = self.books[self._home[service]]
        if book.at(service, book.chains[-1].last) is None:
            return
        if self._clock() - self._served.get(service, -UNKNOWN_DEATH) < UNKNOWN_DEATH:
            return
        others = self._others_serving(service, node.name)
        if not others:
            self._breach(f"{node.name} released {service}, which nobody else serves")
        short = Counter(self._asked_for(service)) - Counter(others)
        if self.calm and short:
            self._breach(f"{node.name} released {service}: others are missing in {dict(short)}")

    def on_node_gone(self, holder: Holder) -> None:
        """A node died: what it served may be taken for served a while longer."""
        for service in holder.serving():
            self._served[service] = self._clock()

    # ---- once a second ------------------------------------------------------

    def look(self) -> None:
        """Whether nodes keep to all drains that they were told."""
        for (node, service, uid), drained in list(self._drains.items()):
            row = (drained.holder.rows(service) or {}).get(uid)
            if row is None:
                del self._drains[node, service, uid]
            elif not row.draining and self._clock() - drained.at >= GRACE:
                if not self._came_back(service, uid, drained):
                    self._breach(f"{node.name} uses {uid}, drained at {drained.position}")
                del self._drains[node, service, uid]

    def _came_back(self, service: str, uid: str, drained: Drained) -> bool:
        """Whether it was listed as active again, up to what the node holds."""
        book = self.books[self._home[service]]
        held = drained.holder.position(self._home[service])
        chains = [c for c in (book.chain_of(drained.position), book.chain_of(held)) if c]
        if chains[0] is not chains[-1]:
            return True  # of another load, compared as a whole
        history = chains[0].services[service]
        return any(
            drained.position.revision < revision <= held.revision
            and rows is not None
            and uid in rows
            and not rows[uid].draining
            for revision, rows in zip(history.revisions, history.rows, strict=True)
        )

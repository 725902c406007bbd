"""A referee of the sharded configuration's world, with books of its own.

It writes down what was proposed, what was loaded and what was accepted, and looks at every hollow
node after every answer: no position goes back, what is held is what was accepted up to its
position, a drain that a node was told stays, and nobody releases a service that no other serves.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from flinthatch.model import SECOND
from flinthatch.scale.changes import ChangeLog
from flinthatch.scale.holder import Holder, Kind
from flinthatch.scale.model import START, Change, Delta, Position, Row, Update

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
    """All states of one service, by the revision of the change that led there.

    Revisions alone are compared: they go on across epochs, and across a log that was lost.
    """

    positions: list[Position] = field(default_factory=list)
    rows: list[Rows | None] = field(default_factory=list)

    def add(self, position: Position, rows: Rows | None) -> None:
        self.positions.append(position)
        self.rows.append(rows)

    def at(self, position: Position) -> Rows | None:
        index = bisect_right(self.positions, position.revision, key=lambda at: at.revision)
        return self.rows[index - 1] if index else None


@dataclass
class _RegionBook:
    accepted: dict[int, Change] = field(default_factory=dict)  # by revision
    at: dict[int, int] = field(default_factory=dict)  # when, by revision
    proposed: dict[Position, tuple[str, Rows | None]] = field(default_factory=dict)
    loaded: list[dict[str, Rows]] = field(default_factory=list)
    services: dict[str, _History] = field(default_factory=lambda: defaultdict(_History))
    last: Position = START


class Referee:
    """Looks at the world as nobody in it can."""

    def __init__(
        self,
        home: Mapping[str, str],
        clock: Callable[[], int],
        breach: Callable[[str], None],
        serving: Callable[[str], Iterable[str]],
    ) -> None:
        """`home` gives each service's region, `serving` the living nodes that serve a service."""
        self.books: dict[str, _RegionBook] = defaultdict(_RegionBook)
        self.checks = 0
        self._home = home
        self._clock = clock
        self._breach = breach
        self._serving = serving
        self._positions: dict[tuple[NodeLife, str], Position] = {}
        self._drains: dict[tuple[NodeLife, str, str], Drained] = {}
        self._served: dict[str, int] = {}  # when a service was last seen at a node that died

    # ---- what was written -----------------------------------------------------

    def on_proposed(self, region: str, position: Position, service: str, rows: Rows | None) -> None:
        """A source proposed that a service's rows be these; None where it is to go."""
        self.books[region].proposed[position] = service, rows

    def on_load(self, region: str, services: Mapping[str, Rows]) -> None:
        """A source gave all its services to a leader without a log."""
        self.books[region].loaded.append({name: dict(rows) for name, rows in services.items()})

    def accepted(self, region: str, position: Position) -> bool:
        """Whether the change at this position was accepted."""
        change = self.books[region].accepted.get(position.revision)
        return change is not None and change.position == position

    def on_committed(self, machine: str, region: str, change: Change) -> None:
        """A machine counts a change as accepted."""
        book = self.books[region]
        revision = change.position.revision
        known = book.accepted.get(revision)
        if known is not None:
            if known != change:
                self._breach(f"{machine}: {change.position} is not what was accepted there")
            return
        before = book.accepted.get(revision - 1)
        if revision < book.last.revision or (before and before.position > change.position):
            self._breach(f"{change.position} was accepted after {book.last}")
        if before is None:
            for history in book.services.values():  # a load begins: nothing of before counts
                history.add(change.position, None)
        book.accepted[revision] = change
        book.at[revision] = self._clock()
        book.last = change.position
        if change.service:
            self._write(region, book, change)

    def _write(self, region: str, book: _RegionBook, change: Change) -> None:
        """Take the rows from the source's own words, not from the change."""
        proposed = book.proposed.get(change.position)
        if proposed is not None:
            service, rows = proposed
            if service != change.service:
                self._breach(f"{change.position} was proposed for {service}")
        else:
            rows = None if change.deleted else {row.uid: row for row in change.rows}
            known = any(load.get(change.service) == rows for load in book.loaded)
            if not known or not change.whole:
                self._breach(f"{change.position} was neither proposed nor loaded")
        book.services[change.service].add(change.position, rows)

    def on_restored(self, machine: str, log: ChangeLog) -> None:
        """A machine took over an image, or a load: what it has must be what was accepted."""
        if log.position.revision <= self.books[log.region].last.revision:
            self.compare(machine, log)  # of a load that has just ended the changes are told next

    def compare(self, machine: str, log: ChangeLog) -> None:
        """Whether what a machine has is what was accepted up to its position."""
        for service, history in self.books[log.region].services.items():
            if log.rows(service) != history.at(log.position):
                self._breach(f"{machine}: {service} is not as it was accepted at {log.position}")

    # ---- what nodes hold ------------------------------------------------------

    def on_update(self, node: NodeLife, holder: Holder, update: Update, kind: Kind) -> None:
        """Note the drains that a node was told."""
        if kind not in (Kind.APPLIED, Kind.OVER_LIMIT):
            return
        if isinstance(update, Delta):
            rows = [(change.service, row) for change in update.changes for row in change.rows]
        else:
            rows = [(name, row) for name, held in update.services.items() for row in held.values()]
        for service, row in rows:
            if not row.leaving:
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
                if holder.rows(service) != book.services[service].at(position):
                    self._breach(f"{node.name}: {service} is not as accepted at {position}")
        for service in holder.released():
            self._released(node, service)

    def _released(self, node: NodeLife, service: str) -> None:
        book = self.books[self._home[service]]
        if book.services[service].at(book.last) is None:
            return
        if self._clock() - self._served.get(service, -UNKNOWN_DEATH) < UNKNOWN_DEATH:
            return
        if not any(name != node.name for name in self._serving(service)):
            self._breach(f"{node.name} released {service}, which nobody else serves")

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
            elif not row.leaving and self._clock() - drained.at >= GRACE:
                if not self._came_back(service, uid, drained):
                    self._breach(f"{node.name} uses {uid}, drained at {drained.position}")
                del self._drains[node, service, uid]

    def _came_back(self, service: str, uid: str, drained: Drained) -> bool:
        """Whether it was listed as active again, up to what the node holds."""
        region = self._home[service]
        history = self.books[region].services[service]
        held = drained.holder.position(region)
        return any(
            drained.position.revision < position.revision <= held.revision
            and rows is not None
            and uid in rows
            and not rows[uid].leaving
            for position, rows in zip(history.positions, history.rows, strict=True)
        )

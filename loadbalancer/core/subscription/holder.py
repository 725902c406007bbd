"""The node's side: what is assigned is held, as of a position in each region's log.

Positions never go back: an update of an older epoch or revision changes nothing, one that does
not follow what is held asks for another. Of an update each service's change is taken whole or not
at all; where a service does not fit any more, what is held of it shrinks by what has left or is
leaving, and takes nothing new. Without any word of control the node serves on with what it holds,
and `age` shows for how long it has been alone.

A service that moves away is held, followed and served until control has said that it may be
released and no request of it is out. Where requests of it never pause, it takes no new ones once
`drain_timeout` has gone by.

What clients ask for and nobody assigned costs a bounded table and a bounded rate of questions.

A host asks control with the `Subscription` of each region: control sends the changes of its
current services, and the others whole. A delta says nothing of services that were not current
when it was asked for, so the host hands the answer over together with the subscription that it
answers: what has become current meanwhile has to come whole again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from loadbalancer.core.assignment.model import (
    START,
    Change,
    Delta,
    InvalidInputError,
    Position,
    Row,
    Snapshot,
    Update,
)
from loadbalancer.core.balancing.model import SECOND
from loadbalancer.core.gossip.token_bucket import TokenBucket

SERVICE_BYTES = 1024  # of a service beside its rows: its record, its entries in tables
ROW_BYTES = 272  # of a row beside its characters: a tuple, two strings, an entry of a table
MOST_NAME = 256  # characters of a service's name that clients may ask for


@dataclass(frozen=True, slots=True)
class HolderLimits:
    """Bounds of one node.

    Raises:
        InvalidInputError: a figure is out of its range.
    """

    max_services: int = 64  # held or about to be
    max_bytes: int = 48 << 20  # of rows and what goes with them
    max_unknown_names: int = 256  # names that clients asked for and that are remembered
    queries_per_s: float = 4.0  # questions of unknown services a second
    query_interval: int = 10 * SECOND  # until one name is asked for again
    drain_timeout: int = (
        30 * SECOND
    )  # from when a service may be released until it takes no new request

    def __post_init__(self) -> None:
        if not 1 <= self.max_services <= 20_000:
            raise InvalidInputError(
                f"limits: max_services is {self.max_services}, must be 1 to 20000"
            )
        if not 1 << 16 <= self.max_bytes <= 1 << 34:
            raise InvalidInputError(
                f"limits: max_bytes is {self.max_bytes}, must be 65536 to 17179869184"
            )
        if not 1 <= self.max_unknown_names <= 100_000:
            raise InvalidInputError(
                f"limits: max_unknown_names is {self.max_unknown_names}, must be 1 to 100000"
            )
        if not 0 < self.queries_per_s <= 1000:
            raise InvalidInputError(
                f"limits: queries_per_s is {self.queries_per_s}, must be over 0, up to 1000"
            )
        if self.max_services * SERVICE_BYTES > self.max_bytes:
            raise InvalidInputError(
                f"limits: max_bytes is {self.max_bytes}, must be at least {SERVICE_BYTES} a service"
            )
        if self.query_interval < 0 or self.drain_timeout < 0:
            raise InvalidInputError("limits: query_interval and drain_timeout must not be negative")


class UpdateStatus(Enum):
    """What came of an update."""

    APPLIED = "applied"
    OLDER = "of an older epoch or revision: ignored"
    GAP = "does not follow what is held: ask for a snapshot"
    OVER_LIMIT = "applied, less what is new in services that don't fit"
    NOT_WANTED = "applied, and nothing of it is held here"
    MALFORMED = "its positions or its changes contradict themselves: ignored"


class UpdateResult(NamedTuple):
    """What came of an update: the services whose rows changed, and those that don't fit.

    One may be both: it has lost what left, and takes nothing new.
    """

    status: UpdateStatus
    changed: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


class Subscription(NamedTuple):
    """What control is asked for of one region, and answers with an update."""

    region: str
    position: Position
    services: frozenset[str]  # to be sent: all that are wanted or still held
    current: frozenset[str]  # those of which changes are enough: the others have to come whole


class ServiceQuery(NamedTuple):
    """ServiceQuery control for this service: a client wants it and it is not held."""

    service: str


@dataclass(slots=True)
class _Held:
    """One service here."""

    region: str
    wanted: bool = True
    rows: dict[str, Row] | None = None  # None until the first whole change, and when deleted
    current: bool = False  # the rows are as of the region's position
    bytes: int = SERVICE_BYTES
    out: int = 0  # requests
    releasable_since: int | None = None
    closed: bool = False  # takes no new request


@dataclass(slots=True)
class _Region:
    position: Position = START
    heard: int | None = None  # when control last said something that is current
    held: set[str] = field(default_factory=set)


class Holder:
    """What one node holds of the services of these regions."""

    def __init__(self, name: str, regions: Iterable[str], limits: HolderLimits) -> None:
        self.name = name
        self.limits = limits
        self.retained_bytes = 0
        self._regions = {region: _Region() for region in regions}
        self._services: dict[str, _Held] = {}
        self._refused: dict[str, int] = {}  # services that don't fit, and what they would take
        self._dropped: dict[str, None] = {}
        self._asked: OrderedDict[str, int] = OrderedDict()  # names, and when they were asked for
        self._asks: TokenBucket | None = None

    def on_wanted(
        self, now: int, wanted: Mapping[str, str], releasable: Collection[str]
    ) -> tuple[str, ...]:
        """Take over what is to be held, services with their regions, and what may be released.

        A service that is in neither is kept, if it has been held at all. One that was not
        wanted and is again has to come whole: control may not have followed it meanwhile. Returns
        the services that are over a bound and are not held for it: to be tried again when
        something was released.

        Raises:
            InvalidInputError: a region is unknown, or another than before; nothing has changed
                then.
        """
        self._check_wanted(wanted)
        for service, held in tuple(self._services.items()):
            if service in wanted:
                held.current = held.current and held.wanted
                held.wanted, held.releasable_since, held.closed = True, None, False
                continue
            held.wanted = False
            if service not in releasable:
                held.releasable_since, held.closed = None, False
                if held.rows is None:
                    self._drop(service)
            elif held.releasable_since is None:
                held.releasable_since = now
        self._settle(now)
        over = []
        for service in sorted(wanted.keys() - self._services.keys()):
            full = self.retained_bytes + SERVICE_BYTES > self.limits.max_bytes
            if full or len(self._services) >= self.limits.max_services:
                over.append(service)
                continue
            self._services[service] = _Held(wanted[service])
            self._regions[wanted[service]].held.add(service)
            self.retained_bytes += SERVICE_BYTES
            self._asked.pop(service, None)
            self._dropped.pop(service, None)
        return tuple(over)

    def subscription(self, region: str) -> frozenset[str]:
        """The services of a region that control is to send: all that are wanted or still held.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return frozenset(self._region(region).held)

    def subscribe(self, region: str) -> Subscription:
        """What to ask control for now.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return Subscription(
            region, self.position(region), self.subscription(region), self.current(region)
        )

    def current(self, region: str) -> frozenset[str]:
        """Those of `subscription` of which changes are enough: the others have to come whole.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return frozenset(
            service
            for service in self._region(region).held
            if self._services[service].current or service in self._refused
        )

    def missing(self, region: str) -> frozenset[str]:
        """Those of `subscription` that have to come whole.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return self.subscription(region) - self.current(region)

    def serving(self) -> frozenset[str]:
        """The services that are held whole and take requests."""
        return frozenset(
            service
            for service, held in self._services.items()
            if held.rows is not None and not held.closed
        )

    def on_update(
        self, now: int, update: Update, asked: Subscription | None = None
    ) -> UpdateResult:
        """Take an update whole, or nothing of it; see `UpdateStatus`.

        `asked` is the subscription that it answers; None where nothing was held or dropped since
        that was made, as with one question at a time.

        Raises:
            InvalidInputError: its region is unknown.
        """
        region = self._region(update.region)
        if isinstance(update, Snapshot):
            taken = self._on_snapshot(region, update)
        else:
            taken = self._on_delta(region, update, asked)
        if taken.status in (UpdateStatus.APPLIED, UpdateStatus.OVER_LIMIT, UpdateStatus.NOT_WANTED):
            region.position = update.position
            region.heard = now
        self._settle(now)
        return taken

    def on_nothing_newer(self, now: int, region: str, position: Position) -> bool:
        """Control says that its log is at this position: whether that is what is held.

        Raises:
            InvalidInputError: the region is unknown.
        """
        state = self._region(region)
        if position != state.position:
            return False
        state.heard = now
        return True

    def position(self, region: str) -> Position:
        """As of where a region's services are held.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return self._region(region).position

    def rows(self, service: str) -> Mapping[str, Row] | None:
        """A service's backends by uid, None where it is not held whole. Not to be changed."""
        held = self._services.get(service)
        return None if held is None else held.rows

    def age(self, now: int, region: str) -> int | None:
        """Nanoseconds since control last said what is current, None before the first time.

        Raises:
            InvalidInputError: the region is unknown.
        """
        heard = self._region(region).heard
        return None if heard is None else now - heard

    def on_request_begins(self, service: str) -> bool:
        """Whether a request may use the service; if so, `on_request_ends` must follow."""
        held = self._services.get(service)
        if held is None or held.rows is None or held.closed:
            return False
        held.out += 1
        return True

    def on_request_ends(self, service: str) -> None:
        """A request that had begun has ended."""
        held = self._services.get(service)
        if held is None or not held.out:
            return
        held.out -= 1
        self._drop_if_idle(service, held)

    def released(self) -> tuple[str, ...]:
        """The services dropped since the last call: nothing of them has to be kept."""
        dropped, self._dropped = tuple(self._dropped), {}
        return dropped

    def on_unknown(self, now: int, service: str) -> ServiceQuery | None:
        """A client asked for a service that is not held: whether to ask control for it."""
        if not 0 < len(service) <= MOST_NAME or service in self._services:
            return None
        if self._asks is None:
            self._asks = TokenBucket(
                self.limits.queries_per_s, max(self.limits.queries_per_s, 1.0), now
            )
        asked = self._asked.get(service)
        if asked is not None and now - asked < self.limits.query_interval:
            return None
        if not self._asks.take(now):
            return None
        self._asked[service] = now
        self._asked.move_to_end(service)
        if len(self._asked) > self.limits.max_unknown_names:
            self._asked.popitem(last=False)
        return ServiceQuery(service)

    def _region(self, name: str) -> _Region:
        region = self._regions.get(name)
        if region is None:
            known = ", ".join(sorted(self._regions))
            raise InvalidInputError(f"update: unknown region {name!r}, must be one of {known}")
        return region

    def _check_wanted(self, wanted: Mapping[str, str]) -> None:
        for service, region in wanted.items():
            self._region(region)
            held = self._services.get(service)
            if held is not None and held.region != region:
                raise InvalidInputError(
                    f"wanted: service {service!r} is of region {held.region!r}, not {region!r}"
                )

    def _on_snapshot(self, region: _Region, snapshot: Snapshot) -> UpdateResult:
        if snapshot.position < region.position:
            return UpdateResult(UpdateStatus.OLDER)
        mine = []
        for service in sorted(region.held):
            rows = snapshot.services.get(service)
            if rows is None:
                self._services[service].current = False
            else:
                all_rows = tuple(rows.values())
                mine.append(Change(snapshot.position, service, all_rows, complete=True))
        return self._apply_all(mine, bool(snapshot.services))

    def _on_delta(self, region: _Region, delta: Delta, asked: Subscription | None) -> UpdateResult:
        if delta.base != region.position:
            newer = delta.position > region.position
            return UpdateResult(UpdateStatus.GAP if newer else UpdateStatus.OLDER)
        if not _sound(delta):
            return UpdateResult(UpdateStatus.MALFORMED)
        mine = [change for change in delta.changes if change.service in region.held]
        if not self._complete(mine):
            return UpdateResult(UpdateStatus.GAP)
        if asked is not None and delta.position > delta.base:
            for service in region.held - asked.current:
                self._services[service].current = False
        return self._apply_all(mine, bool(delta.changes))

    def _complete(self, changes: Iterable[Change]) -> bool:
        """Whether each service's changes go on from what is held of it."""
        whole: set[str] = set()
        for change in changes:
            if change.complete or change.deleted:
                whole.add(change.service)
            elif change.service not in whole and change.service not in self._refused:
                held = self._services[change.service]
                if not held.current:
                    return False
        return True

    def _apply_all(self, changes: Iterable[Change], any_named: bool) -> UpdateResult:
        changed: dict[str, None] = {}
        refused: dict[str, None] = {}
        for change in changes:
            service = change.service
            before = self._services[service].rows
            fits = self._apply(change)
            if not fits:
                refused[service] = None
            if fits or len(before or ()) != len(self._services[service].rows or ()):
                changed[service] = None
        if refused:
            return UpdateResult(UpdateStatus.OVER_LIMIT, tuple(changed), tuple(refused))
        if any_named and not changed:
            return UpdateResult(UpdateStatus.NOT_WANTED)
        return UpdateResult(UpdateStatus.APPLIED, tuple(changed))

    def _apply(self, change: Change) -> bool:
        """Take a change of a service that is held; False where it does not fit."""
        service = change.service
        held = self._services[service]
        fits = change.complete or change.deleted or service not in self._refused
        if fits:
            rows = _changed(held.rows, change)
            size = SERVICE_BYTES + _size(rows)
            fits = (
                size <= held.bytes
                or self.retained_bytes - held.bytes + size <= self.limits.max_bytes
            )
            if fits:
                self._refused.pop(service, None)
                self._replace(held, rows)
                return True
            self._refused[service] = size
        self._replace(held, _reduced(held.rows, change))
        held.current = False
        return False

    def _replace(self, held: _Held, rows: dict[str, Row] | None) -> None:
        size = SERVICE_BYTES + _size(rows)
        self.retained_bytes += size - held.bytes
        held.rows, held.bytes, held.current = rows, size, True

    def _settle(self, now: int) -> None:
        """What time and room allow: close and drop what may go, ask again for what did not fit."""
        for service, held in tuple(self._services.items()):
            since = held.releasable_since
            if since is not None:
                held.closed = held.closed or now - since >= self.limits.drain_timeout
                self._drop_if_idle(service, held)
        for service, size in tuple(self._refused.items()):
            if self.retained_bytes - self._services[service].bytes + size <= self.limits.max_bytes:
                del self._refused[service]

    def _drop_if_idle(self, service: str, held: _Held) -> None:
        if held.releasable_since is not None and not held.out:
            self._drop(service)

    def _drop(self, service: str) -> None:
        held = self._services.pop(service)
        self._regions[held.region].held.discard(service)
        self._refused.pop(service, None)
        self.retained_bytes -= held.bytes
        self._dropped[service] = None


def _follows(position: Position, held: Position) -> bool:
    """Whether what is held may go to this position: neither epoch nor revision goes back."""
    return position.epoch >= held.epoch and position.revision >= held.revision


def _sound(delta: Delta) -> bool:
    if not _follows(delta.position, delta.base):
        return False
    return all(
        change.position <= delta.position and (change.complete or change.position > delta.base)
        for change in delta.changes
    )


def _changed(before: Mapping[str, Row] | None, change: Change) -> dict[str, Row] | None:
    if change.deleted:
        return None
    rows = {} if change.complete or before is None else dict(before)
    for uid in change.removed:
        rows.pop(uid, None)
    rows.update((row.uid, row) for row in change.rows)
    return rows


def _reduced(before: Mapping[str, Row] | None, change: Change) -> dict[str, Row] | None:
    """What is left of the rows, less those that the change takes away or drains."""
    if before is None:
        return None
    named = {row.uid: row for row in change.rows}
    gone = set(change.removed) | {uid for uid, row in named.items() if row.draining}
    if change.complete:
        gone |= before.keys() - named.keys()
    return {uid: row for uid, row in before.items() if uid not in gone}


def _size(rows: Mapping[str, Row] | None) -> int:
    return sum(ROW_BYTES + len(row.uid) + len(row.body) for row in (rows or {}).values())

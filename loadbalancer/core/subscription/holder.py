"""The node's side of subscriptions: the services it holds, as of a position in each region's log.

To hold a service is to have its backends and follow their changes. "Control" is the control machine
that the node polls.

Positions never go back: an update of an older epoch or revision changes nothing, one that does
not follow the present position asks for another. Of an update each service's change is applied
completely or not at all; where a service does not fit any more, its rows shrink by those that were
removed or are draining, and nothing new is added. Without any message of control the node serves
on with what it holds, and `age` shows for how long.

A service that moves away remains held and served until control permits its release and no request
of it is in flight. Where its requests never pause, it is closed to new ones once `drain_timeout`
has passed.

A host polls control with the `Subscription` of each region: control sends the changes of its
current services, and the others completely. A delta does not cover services that were not current
in the poll, so the host passes the answer on together with the subscription that it answers: a
service that has become current meanwhile must be sent completely again.

Its hosts are the simulation's and the scale benchmark's nodes; no process of this package has one.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

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
from loadbalancer.core.subscription.limits import HolderLimits
from loadbalancer.core.subscription.service_table import ServiceTable
from loadbalancer.core.subscription.unknown_services import ServiceQuery, UnknownServices
from loadbalancer.core.subscription.updates import (
    APPLIED_STATUSES,
    Subscription,
    UpdateResult,
    UpdateStatus,
    is_valid,
)


@dataclass(slots=True)
class _Region:
    """One region's log as followed here."""

    position: Position = START
    current_at: int | None = None  # when control last confirmed or sent the newest position


class Holder:
    """What one node holds of the services of these regions."""

    def __init__(self, name: str, regions: Iterable[str], limits: HolderLimits) -> None:
        self.name = name
        self.limits = limits
        self._regions = {region: _Region() for region in regions}
        self._services = ServiceTable(self._regions, limits)
        self._unknown = UnknownServices(limits)

    @property
    def retained_bytes(self) -> int:
        """About how many bytes of memory the services take."""
        return self._services.bytes

    # ---- what is to be held -------------------------------------------------

    def on_assignment(
        self, now: int, wanted: Mapping[str, str], releasable: Collection[str]
    ) -> tuple[str, ...]:
        """Follow an assignment: services with their regions, and what may be released.

        A service that is in neither is retained if its rows have ever come. One that was not
        wanted and is again has to come completely: control may not have followed it meanwhile.
        Returns the services that exceed a bound and are not held for it: to be tried again when
        something was released.

        Raises:
            InvalidInputError: a region is unknown, or another than before; nothing has changed
                then.
        """
        self._check_wanted(wanted)
        for name, service in self._services.items():
            if name in wanted:
                service.current = service.current and service.wanted
                service.wanted = True
                service.retain()
                continue
            service.wanted = False
            if name not in releasable:
                service.retain()
                if service.rows is None:
                    self._services.drop(name)
            elif service.releasable_since is None:
                service.releasable_since = now
        self._services.settle(now)
        exceeding = []
        for name in sorted(wanted.keys() - self._services.names()):
            if self._services.add(name, wanted[name]):
                self._unknown.forget(name)
            else:
                exceeding.append(name)
        return tuple(exceeding)

    def _check_wanted(self, wanted: Mapping[str, str]) -> None:
        for name, region in wanted.items():
            self._region(region)
            service = self._services.get(name)
            if service is not None and service.region != region:
                raise InvalidInputError(
                    f"wanted: service {name!r} is of region {service.region!r}, not {region!r}"
                )

    # ---- what to subscribe to -----------------------------------------------

    def subscribed_services(self, region: str) -> frozenset[str]:
        """The services of a region that control is to send: all that are wanted or still held.

        Raises:
            InvalidInputError: the region is unknown.
        """
        self._region(region)
        return frozenset(self._services.in_region(region))

    def make_subscription(self, region: str) -> Subscription:
        """What to poll control for now.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return Subscription(
            region,
            self.position(region),
            self.subscribed_services(region),
            self.current_services(region),
        )

    def current_services(self, region: str) -> frozenset[str]:
        """Those of `subscribed_services` for which deltas suffice; others must come completely.

        Raises:
            InvalidInputError: the region is unknown.
        """
        self._region(region)
        services = self._services
        return frozenset(name for name in services.in_region(region) if services.is_followed(name))

    def stale_services(self, region: str) -> frozenset[str]:
        """Those of `subscribed_services` that have to come completely.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return self.subscribed_services(region) - self.current_services(region)

    def position(self, region: str) -> Position:
        """The position in the region's log up to which its services are held.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return self._region(region).position

    def age(self, now: int, region: str) -> int | None:
        """Nanoseconds since the position was last known to be the newest; None if it never was.

        Raises:
            InvalidInputError: the region is unknown.
        """
        current_at = self._region(region).current_at
        return None if current_at is None else now - current_at

    def _region(self, name: str) -> _Region:
        region = self._regions.get(name)
        if region is None:
            known = ", ".join(sorted(self._regions))
            raise InvalidInputError(f"update: unknown region {name!r}, must be one of {known}")
        return region

    # ---- requests -----------------------------------------------------------

    def serving(self) -> frozenset[str]:
        """The services that are held completely and take requests."""
        return frozenset(name for name, service in self._services.items() if service.serves)

    def rows(self, service: str) -> Mapping[str, Row] | None:
        """A service's backends by uid, None where it is not held. Not to be changed."""
        found = self._services.get(service)
        return None if found is None else found.rows

    def on_request_begins(self, service: str) -> bool:
        """Whether a request may use the service; if so, `on_request_ends` must follow."""
        found = self._services.get(service)
        if found is None or not found.serves:
            return False
        found.in_flight += 1
        return True

    def on_request_ends(self, service: str) -> None:
        """A request that had begun has ended."""
        found = self._services.get(service)
        if found is None or not found.in_flight:
            return
        found.in_flight -= 1
        self._services.drop_if_idle(service)

    def on_unknown(self, now: int, service: str) -> ServiceQuery | None:
        """A client asked for a service that may not be held: whether to query control for it."""
        if service in self._services:
            return None
        return self._unknown.on_request(now, service)

    def drain_released(self) -> tuple[str, ...]:
        """Drains the services that were dropped since the last call."""
        return self._services.drain_released()

    # ---- updates ------------------------------------------------------------

    def on_update(
        self, now: int, update: Update, request: Subscription | None = None
    ) -> UpdateResult:
        """Apply an update, or ignore all of it; a service over the bound takes removals alone.

        `request` is the subscription that it answers; None where no service was added or dropped
        since that was made, as where the host polls once at a time.

        Raises:
            InvalidInputError: its region is unknown.
        """
        region = self._region(update.region)
        if isinstance(update, Snapshot):
            result = self._on_snapshot(region, update)
        else:
            result = self._on_delta(region, update, request)
        if result.status in APPLIED_STATUSES:
            region.position = update.position
            region.current_at = now
        self._services.settle(now)
        return result

    def on_up_to_date(self, now: int, region: str, position: Position) -> bool:
        """Control says that its log is at this position: whether this node is there too.

        Raises:
            InvalidInputError: the region is unknown.
        """
        state = self._region(region)
        if position != state.position:
            return False
        state.current_at = now
        return True

    def _on_snapshot(self, region: _Region, snapshot: Snapshot) -> UpdateResult:
        if snapshot.position < region.position:
            return UpdateResult(UpdateStatus.OLDER)
        changes = []
        for name in sorted(self._services.in_region(snapshot.region)):
            rows = snapshot.services.get(name)
            if rows is None:
                self._services[name].current = False
            else:
                all_rows = tuple(rows.values())
                changes.append(Change(snapshot.position, name, all_rows, complete=True))
        return self._apply_all(changes, bool(snapshot.services))

    def _on_delta(
        self, region: _Region, delta: Delta, request: Subscription | None
    ) -> UpdateResult:
        if delta.base != region.position:
            newer = delta.position > region.position
            return UpdateResult(UpdateStatus.GAP if newer else UpdateStatus.OLDER)
        if not is_valid(delta):
            return UpdateResult(UpdateStatus.MALFORMED)
        services = self._services.in_region(delta.region)
        changes = [change for change in delta.changes if change.service in services]
        if not self._follow(changes):
            return UpdateResult(UpdateStatus.GAP)
        if request is not None and delta.position > delta.base:
            for name in services - request.current:
                self._services[name].current = False
        return self._apply_all(changes, bool(delta.changes))

    def _follow(self, changes: Iterable[Change]) -> bool:
        """Whether each service's changes follow what is held of it."""
        replaced: set[str] = set()
        for change in changes:
            name = change.service
            if change.complete or change.deleted:
                replaced.add(name)
            elif name in replaced or self._services.is_refused(name):
                continue
            elif not self._services[name].current:
                return False
        return True

    def _apply_all(self, changes: Iterable[Change], names_any: bool) -> UpdateResult:
        """Apply changes of held services; `names_any`: the update has changes of any service."""
        changed: dict[str, None] = {}
        refused: dict[str, None] = {}
        for change in changes:
            name = change.service
            before = self._services[name].rows
            fits = self._services.apply(change)
            if not fits:
                refused[name] = None
            if fits or len(before or ()) != len(self._services[name].rows or ()):
                changed[name] = None
        if refused:
            return UpdateResult(UpdateStatus.OVER_LIMIT, tuple(changed), tuple(refused))
        if names_any and not changed:
            return UpdateResult(UpdateStatus.NOT_WANTED)
        return UpdateResult(UpdateStatus.APPLIED, tuple(changed))

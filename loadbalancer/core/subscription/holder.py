"""The node's side of subscriptions: the services that it holds, and the updates of their backends.

A node holds a service if it has the service's rows (its backends) and receives their changes. It
has a position in the log of each region. Below, "control machine" is the one that the node polls.

Updates. Positions never decrease: an update of an older epoch or revision is ignored. An update
that does not follow the current position is ignored as well, and the host has to request another.
The changes of each service in an update are applied completely or not at all. If a service exceeds
the limits, its rows that were removed or are draining are dropped, and no rows are added. Without
contact to the control machine, the node continues to serve what it holds; `age` returns for how
long.

Release. A service that is no longer assigned to the node is held and served until the control
machine permits its release and it has no request in flight. If its requests never pause, new ones
are refused after `drain_timeout_ns`.

Polls. A host polls the control machine with the `Subscription` of each region. The control machine
sends the changes of the services that the subscription lists as current, and all rows of the
others. So a delta does not cover services that were not current in the poll. The host therefore
passes each answer to `on_update` together with the subscription that it answers. A service that has
become current in the meantime has to be sent completely again.

The hosts of this class are the nodes of the simulation and of the scale benchmark. No process of
this package uses it.
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
    """The node's state in one region's log."""

    position: Position = START
    confirmed_at: int | None = None  # when the control machine last confirmed or sent the position


class Holder:
    """The services that one node holds, in any of the given regions."""

    def __init__(self, name: str, regions: Iterable[str], limits: HolderLimits) -> None:
        self.name = name
        self.limits = limits
        self._regions = {region: _Region() for region in regions}
        self._services = ServiceTable(self._regions, limits)
        self._unknown = UnknownServices(limits)

    @property
    def retained_bytes(self) -> int:
        """The approximate memory use of the services in bytes."""
        return self._services.bytes

    def on_assignment(
        self, now: int, wanted: Mapping[str, str], releasable: Collection[str]
    ) -> tuple[str, ...]:
        """Apply a new assignment.

        A service that is neither wanted nor releasable is retained if its rows have been received.
        A service that is wanted again has to be sent completely, as its changes may not have been
        sent in the meantime.

        Args:
            now: the time in nanoseconds.
            wanted: the services to hold, with their home regions.
            releasable: the services that may be released.

        Returns:
            The wanted services that are not held because a limit would be exceeded. The host has to
            repeat the assignment when services have been released.

        Raises:
            InvalidInputError: a service's region is unknown, or differs from the earlier one;
                nothing has changed then.
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
        self._services.advance(now)
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
                    f"assignment: service {name!r} is of region {service.region!r}, not {region!r}"
                )

    def subscribed_services(self, region: str) -> frozenset[str]:
        """Return the services of a region to subscribe to: all that are wanted or still held.

        Raises:
            InvalidInputError: the region is unknown.
        """
        self._region(region)
        return frozenset(self._services.in_region(region))

    def make_subscription(self, region: str) -> Subscription:
        """Return the subscription with which to poll the control machine for a region.

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
        """Return the services for which deltas are sufficient; others must be sent completely.

        Raises:
            InvalidInputError: the region is unknown.
        """
        self._region(region)
        services = self._services
        return frozenset(
            name for name in services.in_region(region) if services.is_delta_sufficient(name)
        )

    def stale_services(self, region: str) -> frozenset[str]:
        """Return those of `subscribed_services` that have to be sent completely.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return self.subscribed_services(region) - self.current_services(region)

    def position(self, region: str) -> Position:
        """Return the position in the region's log up to which updates were applied.

        Raises:
            InvalidInputError: the region is unknown.
        """
        return self._region(region).position

    def age(self, now: int, region: str) -> int | None:
        """Return the time since the position was last known to be the newest; None if never.

        Raises:
            InvalidInputError: the region is unknown.
        """
        confirmed_at = self._region(region).confirmed_at
        return None if confirmed_at is None else now - confirmed_at

    def _region(self, name: str) -> _Region:
        region = self._regions.get(name)
        if region is None:
            known = ", ".join(sorted(self._regions))
            raise InvalidInputError(f"update: unknown region {name!r}, must be one of {known}")
        return region

    def serving(self) -> frozenset[str]:
        """Return the services that are held completely and accept requests."""
        return frozenset(name for name, service in self._services.items() if service.serves)

    def rows(self, service: str) -> Mapping[str, Row] | None:
        """Return a service's backends by uid, not to be modified; None if it is not held."""
        state = self._services.get(service)
        return None if state is None else state.rows

    def on_request_start(self, service: str) -> bool:
        """Return whether the service accepts a request; if so, `on_request_end` must follow."""
        state = self._services.get(service)
        if state is None or not state.serves:
            return False
        state.in_flight += 1
        return True

    def on_request_end(self, service: str) -> None:
        """Handle the end of a request that `on_request_start` has accepted."""
        state = self._services.get(service)
        if state is None or not state.in_flight:
            return
        state.in_flight -= 1
        self._services.drop_if_idle(service)

    def on_unknown_service(self, now: int, service: str) -> ServiceQuery | None:
        """Return the query to send when a client requests a service that may not be held."""
        if service in self._services:
            return None
        return self._unknown.on_request(now, service)

    def drain_released(self) -> tuple[str, ...]:
        """Return the services that were dropped since the last call."""
        return self._services.drain_released()

    def on_update(
        self, now: int, update: Update, request: Subscription | None = None
    ) -> UpdateResult:
        """Apply an update, or ignore it as a whole.

        Of the changes of a service that exceeds the limits, only removals and drains are applied.

        Args:
            now: the time in nanoseconds.
            update: the update.
            request: the subscription that it answers. May be None if no service was added or
                dropped since the subscription was made.

        Raises:
            InvalidInputError: the update's region is unknown.
        """
        region = self._region(update.region)
        if isinstance(update, Snapshot):
            result = self._on_snapshot(region, update)
        else:
            result = self._on_delta(region, update, request)
        if result.status in APPLIED_STATUSES:
            region.position = update.position
            region.confirmed_at = now
        self._services.advance(now)
        return result

    def on_up_to_date(self, now: int, region: str, position: Position) -> bool:
        """Handle the answer that the log has nothing after `position`.

        Returns:
            Whether the node is at this position.

        Raises:
            InvalidInputError: the region is unknown.
        """
        state = self._region(region)
        if position != state.position:
            return False
        state.confirmed_at = now
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
        if not self._can_apply(changes):
            return UpdateResult(UpdateStatus.GAP)
        if request is not None and delta.position > delta.base:
            for name in services - request.current:
                self._services[name].current = False
        return self._apply_all(changes, bool(delta.changes))

    def _can_apply(self, changes: Iterable[Change]) -> bool:
        """Return whether each service's rows are current, or replaced before they are changed."""
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

    def _apply_all(self, changes: Iterable[Change], has_services: bool) -> UpdateResult:
        """Apply changes of held services; `has_services`: the update concerns any service."""
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
        if has_services and not changed:
            return UpdateResult(UpdateStatus.NOT_WANTED)
        return UpdateResult(UpdateStatus.APPLIED, tuple(changed))

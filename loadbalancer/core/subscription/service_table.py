"""The services that a node holds, with their rows, within a bound on bytes.

A service whose new rows exceed the bound is refused: its rows shrink by those that are removed or
draining, nothing is added, and it takes new rows only by a complete change, once that fits.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loadbalancer.core.assignment.model import Change
from loadbalancer.core.subscription.limits import SERVICE_BYTES, HolderLimits
from loadbalancer.core.subscription.updates import (
    Rows,
    rows_after,
    rows_bytes,
    rows_without_removed,
)


@dataclass(slots=True)
class ServiceState:
    """One service of a node."""

    region: str
    wanted: bool = True
    rows: Rows | None = None  # None until the first complete change, and when deleted
    current: bool = False  # the rows are as of the region's position
    bytes: int = SERVICE_BYTES
    in_flight: int = 0  # requests
    releasable_since: int | None = None
    closed: bool = False  # takes no new request

    @property
    def serves(self) -> bool:
        """Whether it takes requests."""
        return self.rows is not None and not self.closed

    def retain(self) -> None:
        """It may not be released, or not any more."""
        self.releasable_since, self.closed = None, False


class ServiceTable:
    """Services by name. `bytes` is about the memory that they take."""

    def __init__(self, regions: Iterable[str], limits: HolderLimits) -> None:
        self.bytes = 0
        self._limits = limits
        self._services: dict[str, ServiceState] = {}
        self._by_region: dict[str, set[str]] = {region: set() for region in regions}
        self._refused: dict[str, int] = {}  # services, with the bytes that each would need
        self._dropped: dict[str, None] = {}  # since `drain_released` was last called, in order

    def __contains__(self, name: str) -> bool:
        """Whether the service is here."""
        return name in self._services

    def __getitem__(self, name: str) -> ServiceState:
        """A service that is here."""
        return self._services[name]

    def get(self, name: str) -> ServiceState | None:
        """A service; None where it is not here."""
        return self._services.get(name)

    def items(self) -> tuple[tuple[str, ServiceState], ...]:
        """All services as of now: they may be dropped meanwhile."""
        return tuple(self._services.items())

    def names(self) -> frozenset[str]:
        """The names of all services."""
        return frozenset(self._services)

    def in_region(self, region: str) -> set[str]:
        """The names of a region's services. Not to be changed."""
        return self._by_region[region]

    def is_refused(self, name: str) -> bool:
        """Whether the service's rows did not fit, and would not fit now."""
        return name in self._refused

    def is_followed(self, name: str) -> bool:
        """Whether changes of the service are enough: it need not come completely.

        That is so for a refused one too: what would come completely would not fit.
        """
        return self._services[name].current or name in self._refused

    def add(self, name: str, region: str) -> bool:
        """Hold one more service; False where that would exceed a bound."""
        full = self.bytes + SERVICE_BYTES > self._limits.max_bytes
        if full or len(self._services) >= self._limits.max_services:
            return False
        self._services[name] = ServiceState(region)
        self._by_region[region].add(name)
        self.bytes += SERVICE_BYTES
        self._dropped.pop(name, None)
        return True

    def apply(self, change: Change) -> bool:
        """Apply a change of a service that is here; False where it is refused."""
        name = change.service
        service = self._services[name]
        if change.complete or change.deleted or name not in self._refused:
            rows = rows_after(service.rows, change)
            size = SERVICE_BYTES + rows_bytes(rows)
            if size <= service.bytes or self._fits(service, size):
                self._refused.pop(name, None)
                self._replace(service, rows)
                return True
            self._refused[name] = size
        self._replace(service, rows_without_removed(service.rows, change))
        service.current = False
        return False

    def settle(self, now: int) -> None:
        """Close and drop what may be released, and retry what fits by now."""
        for name, service in self.items():
            since = service.releasable_since
            if since is not None:
                service.closed = service.closed or now - since >= self._limits.drain_timeout
                self.drop_if_idle(name)
        for name, size in tuple(self._refused.items()):
            if self._fits(self._services[name], size):
                del self._refused[name]

    def drop_if_idle(self, name: str) -> None:
        """Drop a service that may be released and has no request in flight."""
        service = self._services[name]
        if service.releasable_since is not None and not service.in_flight:
            self.drop(name)

    def drop(self, name: str) -> None:
        """Remove a service."""
        service = self._services.pop(name)
        self._by_region[service.region].discard(name)
        self._refused.pop(name, None)
        self.bytes -= service.bytes
        self._dropped[name] = None

    def drain_released(self) -> tuple[str, ...]:
        """Drains the services that were dropped since the last call."""
        dropped, self._dropped = tuple(self._dropped), {}
        return dropped

    def _fits(self, service: ServiceState, size: int) -> bool:
        """Whether the service may take this many bytes instead of what it takes now."""
        return self.bytes - service.bytes + size <= self._limits.max_bytes

    def _replace(self, service: ServiceState, rows: Rows | None) -> None:
        size = SERVICE_BYTES + rows_bytes(rows)
        self.bytes += size - service.bytes
        service.rows, service.bytes, service.current = rows, size, True

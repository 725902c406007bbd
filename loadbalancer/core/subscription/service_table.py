"""The services that a node holds, with their rows, within a limit on memory.

A service whose new rows exceed the limit is refused: rows that are removed or draining are still
dropped, but none are added. It gets new rows only by a complete change, once that fits.
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
    current: bool = False  # whether the rows are as of the region's position
    bytes: int = SERVICE_BYTES
    in_flight: int = 0  # requests
    releasable_since: int | None = None  # time in ns; None if not releasable
    closed: bool = False  # refuses new requests

    @property
    def serves(self) -> bool:
        """Whether the service accepts requests."""
        return self.rows is not None and not self.closed

    def retain(self) -> None:
        """Revoke the permission to release the service."""
        self.releasable_since, self.closed = None, False


class ServiceTable:
    """The services by name. `bytes` is their approximate memory use."""

    def __init__(self, regions: Iterable[str], limits: HolderLimits) -> None:
        self.bytes = 0
        self._limits = limits
        self._services: dict[str, ServiceState] = {}
        self._by_region: dict[str, set[str]] = {region: set() for region in regions}
        self._refused: dict[str, int] = {}  # bytes that are needed, by service
        self._dropped: dict[str, None] = {}  # in order, since the last `drain_released`

    def __contains__(self, name: str) -> bool:
        """Return whether the table has the service."""
        return name in self._services

    def __getitem__(self, name: str) -> ServiceState:
        """Return a service that is in the table."""
        return self._services[name]

    def get(self, name: str) -> ServiceState | None:
        """Return a service, or None if the table does not have it."""
        return self._services.get(name)

    def items(self) -> tuple[tuple[str, ServiceState], ...]:
        """Return a copy of the items, so that services may be dropped during the iteration."""
        return tuple(self._services.items())

    def names(self) -> frozenset[str]:
        """Return the names of all services."""
        return frozenset(self._services)

    def in_region(self, region: str) -> set[str]:
        """Return the names of a region's services, not to be modified."""
        return self._by_region[region]

    def is_refused(self, name: str) -> bool:
        """Return whether the service's rows did not fit, and would not fit now."""
        return name in self._refused

    def is_delta_sufficient(self, name: str) -> bool:
        """Return whether deltas of a service are sufficient, instead of all its rows.

        This includes refused services, because their complete rows would not fit.
        """
        return self._services[name].current or name in self._refused

    def add(self, name: str, region: str) -> bool:
        """Add a service; return False if that would exceed a limit."""
        full = self.bytes + SERVICE_BYTES > self._limits.max_bytes
        if full or len(self._services) >= self._limits.max_services:
            return False
        self._services[name] = ServiceState(region)
        self._by_region[region].add(name)
        self.bytes += SERVICE_BYTES
        self._dropped.pop(name, None)
        return True

    def apply(self, change: Change) -> bool:
        """Apply a change of a service in the table; return False if the service is refused."""
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

    def advance(self, now: int) -> None:
        """Close and drop releasable services, and accept refused services that fit now."""
        for name, service in self.items():
            since = service.releasable_since
            if since is not None:
                service.closed = service.closed or now - since >= self._limits.drain_timeout_ns
                self.drop_if_idle(name)
        for name, size in tuple(self._refused.items()):
            if self._fits(self._services[name], size):
                del self._refused[name]

    def drop_if_idle(self, name: str) -> None:
        """Drop the service if it may be released and has no request in flight."""
        service = self._services[name]
        if service.releasable_since is not None and not service.in_flight:
            self.drop(name)

    def drop(self, name: str) -> None:
        """Remove the service from the table."""
        service = self._services.pop(name)
        self._by_region[service.region].discard(name)
        self._refused.pop(name, None)
        self.bytes -= service.bytes
        self._dropped[name] = None

    def drain_released(self) -> tuple[str, ...]:
        """Return the services that were dropped since the last call."""
        dropped, self._dropped = tuple(self._dropped), {}
        return dropped

    def _fits(self, service: ServiceState, size: int) -> bool:
        """Return whether all services fit into `max_bytes` if this one takes `size` bytes."""
        return self.bytes - service.bytes + size <= self._limits.max_bytes

    def _replace(self, service: ServiceState, rows: Rows | None) -> None:
        size = SERVICE_BYTES + rows_bytes(rows)
        self.bytes += size - service.bytes
        service.rows, service.bytes, service.current = rows, size, True

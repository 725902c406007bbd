"""Bounds of what one node holds."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import SECOND

SERVICE_BYTES = 1024  # of a service beside its rows: its record, its entries in tables
ROW_BYTES = 272  # of a row beside its characters: a tuple, two strings, an entry of a table

MAX_SERVICES = 20_000
MIN_BYTES, MAX_BYTES = 1 << 16, 1 << 34
MAX_UNKNOWN_NAMES = 100_000
MAX_QUERIES_PER_S = 1000


@dataclass(frozen=True, slots=True)
class HolderLimits:
    """Bounds of one node.

    Attributes:
        max_services: services that are held, or wait for their first complete change.
        max_bytes: bytes of rows and what goes with them.
        max_unknown_names: names of services that clients asked for and that are remembered.
        queries_per_s: queries of unknown services, a second.
        query_interval: nanoseconds until one name is queried again.
        drain_timeout: nanoseconds from when a service is releasable until it is closed.

    Raises:
        InvalidInputError: a figure is out of its range.
    """

    max_services: int = 64
    max_bytes: int = 48 << 20
    max_unknown_names: int = 256
    queries_per_s: float = 4.0
    query_interval: int = 10 * SECOND
    drain_timeout: int = 30 * SECOND

    def __post_init__(self) -> None:
        if not 1 <= self.max_services <= MAX_SERVICES:
            raise InvalidInputError(
                f"limits: max_services is {self.max_services}, must be 1 to {MAX_SERVICES}"
            )
        if not MIN_BYTES <= self.max_bytes <= MAX_BYTES:
            raise InvalidInputError(
                f"limits: max_bytes is {self.max_bytes}, must be {MIN_BYTES} to {MAX_BYTES}"
            )
        if not 1 <= self.max_unknown_names <= MAX_UNKNOWN_NAMES:
            raise InvalidInputError(
                f"limits: max_unknown_names is {self.max_unknown_names}, "
                f"must be 1 to {MAX_UNKNOWN_NAMES}"
            )
        if not 0 < self.queries_per_s <= MAX_QUERIES_PER_S:
            raise InvalidInputError(
                f"limits: queries_per_s is {self.queries_per_s}, "
                f"must be over 0, up to {MAX_QUERIES_PER_S}"
            )
        if self.max_services * SERVICE_BYTES > self.max_bytes:
            raise InvalidInputError(
                f"limits: max_bytes is {self.max_bytes}, "
                f"must be at least {SERVICE_BYTES} a service"
            )
        if self.query_interval < 0 or self.drain_timeout < 0:
            raise InvalidInputError("limits: query_interval and drain_timeout must not be negative")

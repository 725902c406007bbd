"""Limits of the services that one node holds."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.core.assignment.model import InvalidInputError
from loadbalancer.core.balancing.model import SECOND

SERVICE_BYTES = 1024  # memory of a service without its rows: an object and entries of dicts
ROW_BYTES = 272  # memory of a row without its characters: a tuple, two strings, a dict entry

MAX_SERVICES = 20_000
MIN_BYTES, MAX_BYTES = 1 << 16, 1 << 34
MAX_UNKNOWN_NAMES = 100_000
MAX_QUERIES_PER_S = 1000


@dataclass(frozen=True, slots=True)
class HolderLimits:
    """Limits of one node.

    Attributes:
        max_services: maximum number of services that are held or waited for.
        max_bytes: maximum memory of the services in bytes.
        max_unknown_names: maximum number of stored names of unknown services.
        queries_per_s: maximum number of queries for unknown services a second.
        query_interval_ns: minimum time between two queries for the same name.
        drain_timeout_ns: time after which a releasable service refuses new requests.

    Raises:
        InvalidInputError: a value is out of its range.
    """

    max_services: int = 64
    max_bytes: int = 48 << 20
    max_unknown_names: int = 256
    queries_per_s: float = 4.0
    query_interval_ns: int = 10 * SECOND
    drain_timeout_ns: int = 30 * SECOND

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
                f"must be greater than 0 and at most {MAX_QUERIES_PER_S}"
            )
        if self.max_services * SERVICE_BYTES > self.max_bytes:
            raise InvalidInputError(
                f"limits: max_bytes is {self.max_bytes}, "
                f"must be at least {SERVICE_BYTES} for each of max_services"
            )
        if self.query_interval_ns < 0 or self.drain_timeout_ns < 0:
            raise InvalidInputError(
                "limits: query_interval_ns and drain_timeout_ns must not be negative"
            )

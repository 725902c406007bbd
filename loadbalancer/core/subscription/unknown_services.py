"""Queries for services that clients request and the node does not hold, limited in rate."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from loadbalancer.core.gossip.token_bucket import TokenBucket
from loadbalancer.core.subscription.limits import HolderLimits

MAX_NAME = 256  # characters; longer names of services are ignored


class ServiceQuery(NamedTuple):
    """A query to send to the control machine: a client requests a service that is not held."""

    service: str


class UnknownServices:
    """The unknown names that were queried recently, with a limit on their number."""

    def __init__(self, limits: HolderLimits) -> None:
        self._limits = limits
        self._queried: OrderedDict[str, int] = OrderedDict()  # time by name, oldest first
        self._bucket: TokenBucket | None = None  # created with the first name's time

    def __len__(self) -> int:
        """Return the number of stored names."""
        return len(self._queried)

    def on_request(self, now: int, service: str) -> ServiceQuery | None:
        """Return the query to send when a client requests a service that is not held, if any."""
        if not 0 < len(service) <= MAX_NAME:
            return None
        limits = self._limits
        if self._bucket is None:
            # The burst is that of one second, but at least 1: a smaller bucket never has a token.
            self._bucket = TokenBucket(limits.queries_per_s, max(limits.queries_per_s, 1.0), now)
        queried_at = self._queried.get(service)
        if queried_at is not None and now - queried_at < limits.query_interval_ns:
            return None
        if not self._bucket.take(now):
            return None
        self._queried[service] = now
        self._queried.move_to_end(service)
        if len(self._queried) > limits.max_unknown_names:
            self._queried.popitem(last=False)
        return ServiceQuery(service)

    def forget(self, service: str) -> None:
        """Remove a service that is held now."""
        self._queried.pop(service, None)

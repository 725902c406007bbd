"""Services that clients ask for and that are not held: a bounded table, a bounded query rate."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from loadbalancer.core.gossip.token_bucket import TokenBucket
from loadbalancer.core.subscription.limits import HolderLimits

MAX_NAME = 256  # characters of a service's name that clients may ask for


class ServiceQuery(NamedTuple):
    """Query control for this service: a client wants it and it is not held."""

    service: str


class UnknownServices:
    """When each unknown name was last queried."""

    def __init__(self, limits: HolderLimits) -> None:
        self._limits = limits
        self._queried: OrderedDict[str, int] = OrderedDict()  # names and times, oldest first
        self._bucket: TokenBucket | None = None  # made with the first name, when the time is known

    def __len__(self) -> int:
        """How many names are remembered."""
        return len(self._queried)

    def on_request(self, now: int, service: str) -> ServiceQuery | None:
        """A client asked for a service that is not held: the query to send, if any."""
        if not 0 < len(service) <= MAX_NAME:
            return None
        limits = self._limits
        if self._bucket is None:
            # A burst of a second's queries, at least 1: less than one token would permit none.
            self._bucket = TokenBucket(limits.queries_per_s, max(limits.queries_per_s, 1.0), now)
        queried = self._queried.get(service)
        if queried is not None and now - queried < limits.query_interval:
            return None
        if not self._bucket.take(now):
            return None
        self._queried[service] = now
        self._queried.move_to_end(service)
        if len(self._queried) > limits.max_unknown_names:
            self._queried.popitem(last=False)
        return ServiceQuery(service)

    def forget(self, service: str) -> None:
        """The service is held now."""
        self._queried.pop(service, None)

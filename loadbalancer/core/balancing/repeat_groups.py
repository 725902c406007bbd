"""Which endpoints may get the repeat of a request with an idempotency key; no I/O, no clock.

Endpoints of a group share the keys that they have executed, and drop the repeat of one they know.
The class's scope says what a group is: all endpoints, those of a zone, or those of a cell. A repeat
that reaches another group has its effect a second time.

What is not known is not taken for the same. A source that doesn't name an endpoint's cell, or names
a zone that the settings don't have, puts it into no group: a request that it may have executed is
not repeated at all. It isn't repeated at the endpoint itself either, as a new process may have
come up at its address that knows none of the keys.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import UNKNOWN, Effect, Scope
from loadbalancer.core.balancing.records import Attempt, Endpoint, Request

# The number of the group that all endpoints are in.
ALL_ENDPOINTS = 0


def is_bound(request: Request) -> bool:
    """Whether the request may have executed, and may be repeated only within a group."""
    return (
        request.first_executed is not None
        and request.effect == Effect.TOKEN
        and request.scope != Scope.ALL
    )


def is_known(request: Request) -> bool:
    """Whether any endpoint is known to drop a repeat of a request that may have executed."""
    executed = request.first_executed
    return executed is not None and _group(request.scope, executed) != UNKNOWN


def contains(request: Request, endpoint: Endpoint) -> bool:
    """Whether an endpoint is known to drop a repeat of a request that may have executed."""
    executed = request.first_executed
    if executed is None:
        return False
    group = _group(request.scope, executed)
    return group != UNKNOWN and _group(request.scope, endpoint) == group


def _group(scope: Scope, place: Endpoint | Attempt) -> int:
    if scope == Scope.ALL:
        return ALL_ENDPOINTS
    return place.repeat_zone if scope == Scope.ZONE else place.repeat_cell

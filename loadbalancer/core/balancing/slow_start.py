"""Slow start: limits the load of a cold endpoint, one whose process has just started.

A cold endpoint is assumed to have a fraction of its capacity that grows linearly from
`Settings.cold_from` to 1 over `Settings.cold` nanoseconds. Within `Settings.fall` nanoseconds,
all nodes together must not send it more than `Settings.fall_multiple` times its present
capacity. Nodes don't know of each other's sends, so each spaces its own sends to stay within
its part of that budget, and the endpoint has fewer slots in the meantime.
"""

from __future__ import annotations

from loadbalancer.core.balancing.model import SECOND, Settings
from loadbalancer.core.balancing.records import Endpoint
from loadbalancer.core.balancing.state import BalancerState

# The fraction of the budget that is used. The remainder allows for nodes whose endpoint lists
# differ, and for requests that need more work than others.
USED_BUDGET_FRACTION = 0.5
# Slots of all nodes together at a cold endpoint, unless its limit is lower.
MIN_COLD_SLOTS = 2


def mark_if_cold(settings: Settings, endpoint: Endpoint, now: int) -> None:
    """Mark an endpoint that is new in the list as cold if its process has just started."""
    if endpoint.boot and now - endpoint.boot < settings.cold:
        endpoint.cold_until = endpoint.boot + settings.cold


def mark_restarted(settings: Settings, endpoint: Endpoint, boot: int) -> None:
    """Mark a known endpoint as cold: its process was replaced by one started at `boot` (ns)."""
    endpoint.boot = boot
    endpoint.cold_until = max(endpoint.cold_until, boot + settings.cold)


def capacity_fraction(state: BalancerState, endpoint: Endpoint) -> float:
    """The fraction of its capacity that a cold endpoint is assumed to have now, up to 1."""
    settings = state.settings
    warm = 1.0 - (endpoint.cold_until - state.now) / max(settings.cold, 1)
    return settings.cold_from + (1.0 - settings.cold_from) * max(0.0, min(1.0, warm))


def cold_limit(state: BalancerState, endpoint: Endpoint, limit: float) -> float:
    """The concurrency limit of a cold endpoint whose limit when warm is `limit`."""
    # MIN_COLD_SLOTS alone would leave a zone of half-warm endpoints mostly idle.
    return min(limit, max(MIN_COLD_SLOTS, limit * capacity_fraction(state, endpoint)))


def space_sends(state: BalancerState, now: int, endpoint: Endpoint) -> None:
    """Delay this node's next send to a cold endpoint, to stay within its part of the budget.

    While requests are queued, a fast response ends the delay (see
    `outlier_detection.record_success`): when every endpoint is cold, the usual send rate,
    from which the budget is computed, is unknown.
    """
    settings = state.settings
    usual_rate = state.send_rate * settings.nodes / max(state.ready, 1)
    rate = (
        USED_BUDGET_FRACTION
        * settings.fall_multiple
        * capacity_fraction(state, endpoint)
        * usual_rate
    )
    gap = settings.fall if rate <= 0 else min(int(SECOND * endpoint.sharers / rate), settings.fall)
    endpoint.backoff_until = now + gap
    state.wake(endpoint.backoff_until, endpoint)
